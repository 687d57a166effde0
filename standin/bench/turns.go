package main

import (
	"fmt"
	"os"
	"runtime/pprof"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"

	"carawayproxy.example/caraway/standin/stack"
	"carawayproxy.example/caraway/standin/usage"
)

// Names of the turns, which are also the names of the daemons.
const (
	directName   = "direct"
	daemonName   = "daemon"
	baselineName = "baseline"
)

// addDaemons starts the daemon to measure and, with --baseline, the daemon of
// the other build.
func addDaemons(s *stack.Stack, opt options) error {
	if opt.Baseline != "" {
		if err := addDaemon(s, baselineName, opt.Baseline, opt.BaselineEnv); err != nil {
			return err
		}
	}
	return addDaemon(s, daemonName, s.Bin, opt.Env)
}

// addDaemon starts a daemon from a directory of binaries with extra environment
// variables.
func addDaemon(s *stack.Stack, name, bin string, env []string) error {
	restore, err := setEnv(env)
	if err != nil {
		return err
	}
	defer restore()
	built := s.Bin
	defer func() { s.Bin = built }()
	s.Bin = bin
	_, err = s.AddDaemon(name, "a", "--log-level=warn")
	return err
}

// setEnv sets environment variables for the processes started next. The
// returned function unsets them.
func setEnv(pairs []string) (restore func(), err error) {
	var set []string
	for _, p := range pairs {
		key, value, ok := strings.Cut(p, "=")
		if !ok {
			return nil, errors.Errorf("environment variable %q: want KEY=VALUE", p)
		}
		if err := os.Setenv(key, value); err != nil {
			return nil, errors.Wrap(err, p)
		}
		set = append(set, key)
	}
	return func() {
		for _, key := range set {
			_ = os.Unsetenv(key)
		}
	}, nil
}

// phase sends one load directly to the engines and then through each daemon in
// turn. Every second round reverses the order of the daemons.
func phase(s *stack.Stack, opt options, targets []target) error {
	fmt.Printf("\n%.0f requests/s offered\n", opt.Rate)
	window := new(steadyWindow)
	window.watch(s, s.Daemons[0], opt)
	direct := &turn{name: directName, result: drive(opt, directCalls(targets)), steady: window}
	var turns []*turn
	order := slices.Clone(s.Daemons)
	for range opt.Rounds {
		for _, d := range order {
			t, err := measureDaemon(s, d, opt)
			if err != nil {
				return err
			}
			report(direct, t)
			turns = append(turns, t)
		}
		slices.Reverse(order)
	}
	compare(turns)
	return nil
}

// measureDaemon sends the load through one daemon and measures it.
func measureDaemon(s *stack.Stack, d *stack.Daemon, opt options) (*turn, error) {
	t := &turn{name: d.Name}
	var err error
	if t.memoryBefore, err = usage.Memory(d.Process); err != nil {
		return nil, err
	}
	before, err := readCPUUsage(s, d)
	if err != nil {
		return nil, err
	}
	if d.Name == daemonName {
		stop, err := startProfiles(d, opt)
		if err != nil {
			return nil, err
		}
		defer stop()
	}
	window := new(steadyWindow)
	window.watch(s, d, opt)
	late := time.AfterFunc(opt.Duration*9/10, func() { t.memoryLate, _ = usage.Memory(d.Process) })
	t.result = drive(opt, daemonCalls(d, opt.Clients))
	late.Stop()
	after, err := readCPUUsage(s, d)
	t.cpu = after.since(before)
	t.steady = window
	return t, err
}

// startProfiles starts the CPU profiles requested by the options.
func startProfiles(d *stack.Daemon, opt options) (stop func(), err error) {
	if opt.Profile != "" {
		go func() { _ = usage.Profile(d.Admin, opt.Profile, opt.Duration/2) }()
	}
	if opt.Callers == "" {
		return func() {}, nil
	}
	out, err := os.Create(opt.Callers)
	if err != nil {
		return nil, errors.Wrap(err, "create profile of the callers")
	}
	if err := pprof.StartCPUProfile(out); err != nil {
		return nil, errors.Wrap(err, "start profile of the callers")
	}
	return func() {
		pprof.StopCPUProfile()
		_ = out.Close()
	}, nil
}
