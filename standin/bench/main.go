// Command bench measures the overhead of a daemon over direct calls to the
// engines. In one run on loopback, it sends the same load first directly to the
// engines and then through one daemon. It prints the ratios, the daemon's CPU
// time for each request and token, and whether the latencies meet their targets.
package main

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"runtime/debug"
	"time"

	"github.com/pkg/errors"

	carawayv1 "carawayproxy.example/caraway/api/caraway/v1"
	"carawayproxy.example/caraway/standin/stack"
)

// Latency targets for the 95th percentile, as given by the users.
const (
	gapTarget   = 38 * time.Millisecond
	firstTarget = 770 * time.Millisecond
)

const (
	startTimeout   = 40 * time.Second
	callTimeout    = 60 * time.Second
	ticksPerSecond = 200
	// callersGCPercent is the GC percentage of the bench process. A high value
	// spends memory to leave more CPU time to the processes under test.
	callersGCPercent = 400
)

type options struct {
	Rate     float64       `long:"rate" description:"requests a second" default:"470"`
	Tokens   uint32        `long:"tokens" description:"tokens of one request" default:"250"`
	Interval time.Duration `long:"interval" description:"between tokens at the engine" default:"25ms"`
	Engines  int           `long:"engines" description:"engines, each a group of one" default:"12"`
	Clients  int           `long:"clients" description:"connections of callers to the daemon" default:"64"`
	Profile  string        `long:"profile" description:"file for a processor profile of the daemon under full load"`
	Callers  string        `long:"profile-callers" description:"file for a processor profile of the callers under full load"`
	Duration time.Duration `long:"duration" description:"of each phase, 60s at most" default:"20s"`
	Baseline string        `long:"baseline" description:"folder with the carawayd of another build, which takes the same load in turns"`
	Rounds   int           `long:"rounds" description:"turns of each daemon at full load" default:"1"`
	Env      []string      `long:"env" description:"KEY=VALUE for the daemon measured"`

	EngineEnv   []string `long:"engine-env" description:"KEY=VALUE for each engine"`
	BaselineEnv []string `long:"baseline-env" description:"KEY=VALUE for the baseline"`
}

func main() {
	var opt options
	stack.Main("bench", &opt, opt.check, func() error { return run(opt) })
}

func (o *options) check() error {
	if o.Duration > time.Minute {
		return errors.Errorf("--duration: %s exceeds the maximum of 60s", o.Duration)
	}
	return nil
}

func run(opt options) error {
	debug.SetGCPercent(callersGCPercent)
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
	small := opt
	small.Rate = opt.Rate / 10
	fmt.Printf("%.0f engines, %s between tokens, %d tokens a request, %d connections of callers, %s a phase\n", float64(opt.Engines), opt.Interval, opt.Tokens, opt.Clients, opt.Duration)
	if opt.Baseline == "" {
		small.Profile, small.Callers, small.Rounds = "", "", 1
		if err := phase(s, small, targets); err != nil {
			return err
		}
	}
	return phase(s, opt, targets)
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

// target is the engine of one group, with its address for direct callers.
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
	if err := addEngines(s, opt); err != nil {
		return s, nil, err
	}
	if err := addDaemons(s, opt); err != nil {
		return s, nil, err
	}
	if err := s.WaitReady(startTimeout); err != nil {
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

// addEngines starts the engines with the environment of --engine-env.
func addEngines(s *stack.Stack, opt options) error {
	restore, err := setEnv(opt.EngineEnv)
	if err != nil {
		return err
	}
	defer restore()
	for i := range opt.Engines {
		_, err := s.AddEngine(fmt.Sprintf("engine-%d", i), "engines", fmt.Sprintf("fabric-%d", i),
			"--max-running=1000", "--load-time=100ms", "--token-interval="+opt.Interval.String())
		if err != nil {
			return err
		}
	}
	return nil
}

// wholeGroups waits until the given number of groups is whole and returns their
// engines.
func wholeGroups(s *stack.Stack, want int) ([]target, error) {
	var targets []target
	err := stack.Until(startTimeout, func() error {
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
