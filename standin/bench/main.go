// Command bench measures what a daemon adds to calling an engine directly: the
// same load goes straight to the engines and then through one daemon, in one
// run on loopback. It prints ratios, the daemon's processor time for each
// request and token, and whether the gaps between tokens keep their target.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/jessevdk/go-flags"
	"github.com/pkg/errors"

	carawayv1 "carawayproxy.example/caraway/api/caraway/v1"
	"carawayproxy.example/caraway/api/caraway/v1/carawayv1connect"
	"carawayproxy.example/caraway/internal/httpx"
	"carawayproxy.example/caraway/standin/proc"
	"carawayproxy.example/caraway/standin/stack"
)

// Targets, from the users' letter.
const (
	gapTarget   = 38 * time.Millisecond
	firstTarget = 770 * time.Millisecond
)

const (
	startLimit = 40 * time.Second
	callLimit  = 60 * time.Second
	ticksASec  = 200
)

type options struct {
	Rate     float64       `long:"rate" description:"requests a second" default:"470"`
	Tokens   uint32        `long:"tokens" description:"tokens of one request" default:"250"`
	Interval time.Duration `long:"interval" description:"between tokens at the engine" default:"25ms"`
	Engines  int           `long:"engines" description:"engines, each a group of one" default:"12"`
	Clients  int           `long:"clients" description:"connections of callers to the daemon" default:"64"`
	Profile  string        `long:"profile" description:"file for a processor profile of the daemon under full load"`
	Duration time.Duration `long:"duration" description:"of each phase, 60s at most" default:"20s"`
}

func main() {
	var opt options
	if _, err := flags.Parse(&opt); err != nil {
		os.Exit(2)
	}
	if opt.Duration > time.Minute {
		fmt.Fprintln(os.Stderr, "--duration: want 60s at most")
		os.Exit(2)
	}
	if err := run(opt); err != nil {
		fmt.Fprintln(os.Stderr, "bench failed:", err)
		os.Exit(1)
	}
}

func run(opt options) error {
	dir, err := os.MkdirTemp("", "caraway-bench-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	s, targets, err := start(opt, dir)
	if s != nil {
		defer s.Stop()
	}
	if err != nil {
		return err
	}
	d := s.Daemons[0]
	small := opt
	small.Rate = opt.Rate / 10
	fmt.Printf("%.0f engines, %s between tokens, %d tokens a request, %d connections of callers, %s a phase\n", float64(opt.Engines), opt.Interval, opt.Tokens, opt.Clients, opt.Duration)
	for _, phase := range []options{small, opt} {
		direct := drive(phase, directCalls(targets))
		before, err := proc.CPUTime(d.Process)
		if err != nil {
			return err
		}
		if phase.Rate == opt.Rate && opt.Profile != "" {
			go func() { _ = proc.Profile(d.Admin, opt.Profile, opt.Duration/2) }()
		}
		idle, err := proc.Memory(d.Process)
		if err != nil {
			return err
		}
		var loaded uint64
		late := time.AfterFunc(phase.Duration*9/10, func() { loaded, _ = proc.Memory(d.Process) })
		through := drive(phase, daemonCalls(d, opt.Clients))
		late.Stop()
		after, err := proc.CPUTime(d.Process)
		if err != nil {
			return err
		}
		report(phase, direct, through, after-before)
		fmt.Printf("  daemon's memory: %d MiB before, %d MiB late in the phase\n", idle>>20, loaded>>20)
	}
	return nil
}

const serviceFile = `service: bench
kind: engine
pool: engines
model: bench-1b
versions:
  - name: v1
    groups: %d
workspaces:
  - name: load
replicas:
  instances: 1
limits:
  max_tokens: 4096
  default_deadline: 60s
`

// target is one engine as a direct caller reaches it.
type target struct {
	address string
	group   *carawayv1.GroupStatus
}

func start(opt options, dir string) (*stack.Stack, []target, error) {
	bin := filepath.Join(dir, "bin")
	if err := stack.Build(bin); err != nil {
		return nil, nil, err
	}
	s, err := stack.New(bin, dir)
	if err != nil {
		return nil, nil, err
	}
	for i := range opt.Engines {
		_, err := s.AddEngine(fmt.Sprintf("engine-%d", i), "engines", fmt.Sprintf("fabric-%d", i),
			"--max-running=1000", "--load-time=100ms", "--token-interval="+opt.Interval.String())
		if err != nil {
			return s, nil, err
		}
	}
	if _, err := s.AddDaemon("daemon", "a", "--log-level=warn"); err != nil {
		return s, nil, err
	}
	if err := s.WaitReady(startLimit); err != nil {
		return s, nil, err
	}
	file := filepath.Join(dir, "bench.caraway.yaml")
	if err := os.WriteFile(file, []byte(fmt.Sprintf(serviceFile, opt.Engines)), 0o644); err != nil {
		return s, nil, err
	}
	if _, err := s.Ctl(s.Daemons[0], "publish", "--author=bench", "--revisions="+filepath.Join(dir, "revisions"), file); err != nil {
		return s, nil, err
	}
	targets, err := wholeGroups(s, opt.Engines)
	return s, targets, err
}

func wholeGroups(s *stack.Stack, want int) ([]target, error) {
	var targets []target
	err := stack.Until(startLimit, func() error {
		out, err := s.Ctl(s.Daemons[0], "groups", "-o", "json")
		if err != nil {
			return err
		}
		var resp carawayv1.ListGroupsResponse
		if err := json.Unmarshal([]byte(out), &resp); err != nil {
			return err
		}
		targets = nil
		for _, g := range resp.Groups {
			for _, e := range s.Engines {
				if g.Whole && e.ID == g.Members[0] {
					targets = append(targets, target{address: e.Address, group: g})
				}
			}
		}
		if len(targets) < want {
			return errors.Errorf("%d of %d groups are whole", len(targets), want)
		}
		return nil
	})
	return targets, err
}

// result is what one phase measured, times in microseconds.
type result struct {
	mu      sync.Mutex
	first   *hdrhistogram.Histogram
	gap     *hdrhistogram.Histogram
	tokens  int
	done    int
	failed  int
	lastErr error
	took    time.Duration
}

// next is one message of a stream: how many tokens it brought, and whether it
// ended the stream.
type next func() (tokens int, ended bool, err error)

// open begins the nth request.
type open func(ctx context.Context, n int, prompt string, tokens uint32) (next, error)

// drive starts requests at a steady rate for the phase and waits for their
// ends.
func drive(opt options, begin open) *result {
	r := &result{first: hdrhistogram.New(1, 60_000_000, 3), gap: hdrhistogram.New(1, 60_000_000, 3)}
	var wg sync.WaitGroup
	began := time.Now()
	tick := time.NewTicker(time.Second / ticksASec)
	defer tick.Stop()
	started := 0
	for time.Since(began) < opt.Duration {
		<-tick.C
		due := int(time.Since(began).Seconds() * opt.Rate)
		for ; started < due; started++ {
			n := started
			wg.Go(func() { r.one(begin, n, opt.Tokens) })
		}
	}
	wg.Wait()
	r.took = time.Since(began)
	return r
}

func (r *result) one(begin open, n int, tokens uint32) {
	ctx, cancel := context.WithTimeout(context.Background(), callLimit)
	defer cancel()
	began := time.Now()
	receive, err := begin(ctx, n, fmt.Sprintf("question %d", n), tokens)
	if err != nil {
		r.fail(err)
		return
	}
	gaps := make([]int64, 0, tokens)
	var first, last time.Time
	got := 0
	for {
		k, ended, err := receive()
		now := time.Now()
		if err != nil {
			r.fail(err)
			return
		}
		if k > 0 && got == 0 {
			first = now
		} else if k > 0 {
			gaps = append(gaps, now.Sub(last).Microseconds())
		}
		got += k
		last = now
		if ended {
			break
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.done++
	r.tokens += got
	_ = r.first.RecordValue(first.Sub(began).Microseconds())
	for _, g := range gaps {
		_ = r.gap.RecordValue(g)
	}
}

func (r *result) fail(err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.failed++
	r.lastErr = err
}

func directCalls(targets []target) open {
	var engines []carawayv1connect.EngineServiceClient
	for _, t := range targets {
		engines = append(engines, carawayv1connect.NewEngineServiceClient(httpx.NewClient(httpx.Dialer()), "http://"+t.address))
	}
	return func(ctx context.Context, n int, prompt string, tokens uint32) (next, error) {
		i := n % len(engines)
		s, err := engines[i].Run(ctx, connect.NewRequest(&carawayv1.RunRequest{
			RequestId: prompt, AttemptId: prompt, Service: "bench", Version: "v1", Prompt: prompt, MaxTokens: tokens,
			Group: targets[i].group.Group, Epoch: targets[i].group.Epoch,
		}))
		if err != nil {
			return nil, err
		}
		return func() (int, bool, error) {
			if !s.Receive() {
				return 0, false, ended(s.Err())
			}
			return len(s.Msg().Tokens), s.Msg().End != nil, nil
		}, nil
	}
}

func daemonCalls(d *stack.Daemon, clients int) open {
	var pool []carawayv1connect.InferenceServiceClient
	for range clients {
		pool = append(pool, carawayv1connect.NewInferenceServiceClient(httpx.NewClient(httpx.Dialer()), "http://"+d.Callers))
	}
	return func(ctx context.Context, n int, prompt string, tokens uint32) (next, error) {
		s, err := pool[n%len(pool)].Generate(ctx, connect.NewRequest(&carawayv1.GenerateRequest{
			Workspace: "load", Service: "bench", Prompt: prompt, MaxTokens: tokens,
		}))
		if err != nil {
			return nil, err
		}
		return func() (int, bool, error) {
			if !s.Receive() {
				return 0, false, ended(s.Err())
			}
			return len(s.Msg().Tokens), s.Msg().End != nil, nil
		}, nil
	}
}

func ended(err error) error {
	if err == nil {
		return errors.New("the stream stopped without an end")
	}
	return err
}

func report(opt options, direct, through *result, cpu time.Duration) {
	fmt.Printf("\n%.0f requests/s offered\n", opt.Rate)
	fmt.Printf("  %-28s %12s %12s %8s\n", "", "direct", "daemon", "ratio")
	row := func(name string, a, b int64) {
		fmt.Printf("  %-28s %10.2fms %10.2fms %8.2f\n", name, float64(a)/1000, float64(b)/1000, float64(b)/float64(max(a, 1)))
	}
	row("first token, median", direct.first.ValueAtQuantile(50), through.first.ValueAtQuantile(50))
	row("first token, 95 in 100", direct.first.ValueAtQuantile(95), through.first.ValueAtQuantile(95))
	row("between tokens, median", direct.gap.ValueAtQuantile(50), through.gap.ValueAtQuantile(50))
	row("between tokens, 95 in 100", direct.gap.ValueAtQuantile(95), through.gap.ValueAtQuantile(95))
	fmt.Printf("  %-28s %12d %12d\n", "requests ended", direct.done, through.done)
	fmt.Printf("  %-28s %12d %12d\n", "requests failed", direct.failed, through.failed)
	fmt.Printf("  %-28s %12.0f %12.0f\n", "tokens/s", float64(direct.tokens)/direct.took.Seconds(), float64(through.tokens)/through.took.Seconds())
	if through.lastErr != nil {
		fmt.Println("  last failure:", through.lastErr)
	}
	fmt.Printf("  daemon's processor time: %.2f cores, %s a request, %s a token\n", cpu.Seconds()/through.took.Seconds(),
		(cpu / time.Duration(max(through.done, 1))).Round(time.Microsecond), (cpu / time.Duration(max(through.tokens, 1))).Round(10*time.Nanosecond))
	kept := through.gap.ValueAtQuantile(95) <= gapTarget.Microseconds() && through.first.ValueAtQuantile(95) <= firstTarget.Microseconds() && through.failed == 0
	fmt.Printf("  target (%s between tokens, first within %s, for 95 in 100, none failed): kept %t\n", gapTarget, firstTarget, kept)
}
