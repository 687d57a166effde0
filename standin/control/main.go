// Command control measures the cost of the daemons' control plane without any
// callers: CPU time, memory, bytes between daemons and appends to the log, for
// different numbers of daemons and engines.
package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/pkg/errors"

	"carawayproxy.example/caraway/standin/platform"
	"carawayproxy.example/caraway/standin/stack"
	"carawayproxy.example/caraway/standin/usage"
)

const (
	startTimeout = 60 * time.Second
	settleTime   = 10 * time.Second
)

type options struct {
	Daemons  []int         `long:"daemons" description:"numbers of daemons to measure; 3 and 9 when not given"`
	Engines  []int         `long:"engines" description:"numbers of engines to measure, in groups of three; 12 and 60 when not given"`
	Profile  string        `long:"profile" description:"file for a processor profile of one daemon"`
	Duration time.Duration `long:"duration" description:"of one measurement, 60s at most" default:"20s"`
}

func main() {
	opt := options{Daemons: []int{3, 9}, Engines: []int{12, 60}}
	stack.Main("control", &opt, opt.check, func() error { return run(opt) })
}

func (o *options) check() error {
	if o.Duration > time.Minute {
		return errors.Errorf("--duration: %s exceeds the maximum of 60s", o.Duration)
	}
	return nil
}

func run(opt options) error {
	dir, err := os.MkdirTemp("", "caraway-control-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	bin := filepath.Join(dir, "bin")
	if err := stack.Build(bin); err != nil {
		return err
	}
	fmt.Println("daemons  engines  core % a daemon  MiB a daemon  peer B/s sent a daemon  polls/s a daemon  appends/s  log reads/s")
	for _, engines := range opt.Engines {
		for _, daemons := range opt.Daemons {
			if err := measure(bin, filepath.Join(dir, fmt.Sprintf("%d-%d", daemons, engines)), daemons, engines, opt); err != nil {
				return err
			}
		}
	}
	return nil
}

const serviceFile = `service: measured
kind: engine
pool: engines
model: m
versions:
  - name: v1
    groups: %d
workspaces:
  - name: w
replicas:
  instances: 3
  load_time: 1s
`

// counts holds counters summed over all daemons, and those of the log.
type counts struct {
	cpu       time.Duration
	peerBytes float64
	polls     float64 // polls of backend servers
	log       platform.LogStats
}

// measure starts a stack of the given size and prints one row of the table.
func measure(bin, dir string, daemons, engines int, opt options) error {
	d := opt.Duration
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	s, err := start(bin, dir, daemons, engines)
	if s != nil {
		defer s.Stop()
	}
	if err != nil {
		return err
	}
	time.Sleep(settleTime)
	before, err := readCounts(s)
	if err != nil {
		return err
	}
	if opt.Profile != "" {
		go func() { _ = usage.Profile(s.Daemons[0].Admin, opt.Profile, d/2) }()
	}
	time.Sleep(d)
	after, err := readCounts(s)
	if err != nil {
		return err
	}
	var memory uint64
	for _, x := range s.Daemons {
		m, err := usage.Memory(x.Process)
		if err != nil {
			return err
		}
		memory += m
	}
	n, seconds := float64(daemons), d.Seconds()
	fmt.Printf("%7d  %7d  %15.2f  %12.1f  %22.0f  %16.1f  %9.2f  %11.1f\n", daemons, engines,
		100*(after.cpu-before.cpu).Seconds()/n/seconds,
		float64(memory)/n/(1<<20),
		(after.peerBytes-before.peerBytes)/n/seconds,
		(after.polls-before.polls)/n/seconds,
		float64(after.log.Appends-before.log.Appends)/seconds,
		float64(after.log.Reads-before.log.Reads)/seconds)
	return nil
}

// start starts the stack, publishes one service in groups of three engines and
// waits until all groups serve.
func start(bin, dir string, daemons, engines int) (*stack.Stack, error) {
	s, err := stack.New(bin, dir)
	if err != nil {
		return nil, err
	}
	for i := range engines {
		if _, err := s.AddEngine(fmt.Sprintf("engine-%d", i), "engines", fmt.Sprintf("fabric-%d", i/12), "--load-time=500ms"); err != nil {
			return s, err
		}
	}
	for i := range daemons {
		if _, err := s.AddDaemon(fmt.Sprintf("daemon-%d", i), fmt.Sprintf("zone-%d", i%3)); err != nil {
			return s, err
		}
	}
	if err := s.WaitReady(startTimeout); err != nil {
		return s, err
	}
	file := filepath.Join(dir, "measured.caraway.yaml")
	if err := os.WriteFile(file, []byte(fmt.Sprintf(serviceFile, engines/3)), 0o644); err != nil {
		return s, err
	}
	if _, err := s.Ctl(s.Daemons[0], "publish", "--author=m", "--revisions="+filepath.Join(dir, "revisions"), file); err != nil {
		return s, err
	}
	want := fmt.Sprintf("%d/%d", engines/3, engines/3)
	return s, stack.Until(startTimeout, func() error {
		out, err := s.Ctl(s.Daemons[0], "services")
		if err == nil && !strings.Contains(out, want) {
			err = errors.New(out)
		}
		return err
	})
}

func readCounts(s *stack.Stack) (counts, error) {
	var c counts
	for _, x := range s.Daemons {
		cpu, err := usage.CPUTime(x.Process)
		if err != nil {
			return c, err
		}
		c.cpu += cpu
		var metrics map[string]struct{ Count float64 }
		if err := getJSON(x.Admin, "/metrics", &metrics); err != nil {
			return c, err
		}
		c.peerBytes += metrics["membership.bytes_sent"].Count
		c.polls += metrics["backend.polls"].Count
	}
	return c, getJSON(s.Platform.Address, "/standin/log", &c.log)
}

func getJSON(address, path string, dst any) error {
	resp, err := http.Get("http://" + address + path)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	return errors.Wrap(json.NewDecoder(resp.Body).Decode(dst), path)
}
