package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"carawayproxy.example/caraway/standin/site"
)

// Options are those of one run.
type Options struct {
	Seed     uint64
	Binary   string // carawayd
	Daemons  int
	Engines  int
	Duration time.Duration // of the faults
	Log      io.Writer     // of the daemons
}

// Result is what a run saw.
type Result struct {
	Faults, Calls, Served, Refused, Cut, Failed int
	Findings                                    []string
}

// loopback gives every machine an address of its own on the loopback network.
type loopback struct{ octet int }

// Host implements site.Hosts.
func (l loopback) Host(ip string) site.Host {
	var a, b, c, d int
	if _, err := fmt.Sscanf(ip, "%d.%d.%d.%d", &a, &b, &c, &d); err != nil {
		panic("no address of a world: " + ip)
	}
	return loopHost{fmt.Sprintf("127.%d.%d.%d", l.octet, b, d)}
}

// Freeze implements site.Hosts: the servers hold their requests themselves.
func (loopback) Freeze(string) {}

type loopHost struct{ ip string }

// Addr implements site.Host.
func (h loopHost) Addr(port string) string { return net.JoinHostPort(h.ip, port) }

// Listen implements site.Host.
func (h loopHost) Listen(port string) (net.Listener, error) { return net.Listen("tcp", h.Addr(port)) }

// daemon is one process. Only processes that the soak started are signalled, by
// their ids.
type daemon struct {
	name, ip string
	proxy    *Proxy
	cmd      *exec.Cmd
	exited   chan struct{}
	// starting is held from the look at exited until the next process is there:
	// faults that overlap restart one daemon once.
	starting sync.Mutex
}

// run is one run's state.
type run struct {
	o       Options
	world   *site.World
	daemons []*daemon
	rng     *rand.Rand

	mu     sync.Mutex // guards result, unsafe, refused and the processes
	result Result
	// unsafe and refused are the ids of requests that may run once, and that
	// must not have run at all.
	unsafe, refused []string
	version         int
}

// Run plays one seed. The error is of the soak itself.
func Run(ctx context.Context, o Options) (Result, error) {
	const octets, firstOctet = 100, 20
	hosts := loopback{firstOctet + os.Getpid()%octets}
	world, err := site.NewBackends(site.Options{Engines: o.Engines, Plains: 2}, hosts, (&net.Dialer{Timeout: time.Second}).DialContext)
	if err != nil {
		return Result{}, errors.Wrap(err, "backends")
	}
	defer world.Close()
	r := &run{o: o, world: world, rng: rand.New(rand.NewPCG(o.Seed, 1)), version: 1}
	defer r.stopAll()
	for n := range o.Daemons {
		d := &daemon{name: fmt.Sprintf("edge-%d", n+1), ip: fmt.Sprintf("127.%d.1.%d", hosts.octet, n+1)}
		if d.proxy, err = NewProxy(world.StoreAddress()); err != nil {
			return Result{}, errors.Wrap(err, "proxy")
		}
		defer d.proxy.Close()
		r.daemons = append(r.daemons, d)
		if err := r.start(d, true); err != nil {
			return Result{}, err
		}
	}
	if err := r.await(ctx); err != nil {
		return Result{}, err
	}
	calling, stopCalls := context.WithCancel(ctx)
	var callers sync.WaitGroup
	for n := range callersAtOnce {
		callers.Go(func() { r.call(calling, n) })
	}
	r.breakThings(ctx)
	r.heal()
	time.Sleep(settleTime)
	stopCalls()
	callers.Wait()
	r.judge(ctx)
	return r.result, nil
}

const (
	// callersAtOnce is how many callers call without pause.
	callersAtOnce = 8
	// formTime bounds the time until the first groups serve.
	formTime = 20 * time.Second
	// settleTime is how long calls go on after the last fault.
	settleTime = 3 * time.Second
	// recoverTime bounds the time until every daemon serves again.
	recoverTime = 30 * time.Second
	// mostPause and mostFault bound the pause between two faults, and how long
	// one lasts: faults overlap.
	mostPause = 700 * time.Millisecond
	mostFault = 3 * time.Second
)

func (d *daemon) url(path string) string { return "http://" + d.ip + ":7400" + path }

// start starts a daemon's process.
func (r *run) start(d *daemon, first bool) error {
	args := []string{
		"--name=" + d.name, "--availability-zone=a", "--store=" + d.proxy.Address(), "--callers-listen=" + d.ip + ":7400",
		"--readiness-listen=" + d.ip + ":7403", "--admin-listen=" + d.ip + ":7401", "--peers-listen=" + d.ip + ":7402",
		"--drain-grace=500ms", "--drain-timeout=8s",
	}
	if first {
		args = append(args, "--first-start")
	}
	cmd := exec.Command(r.o.Binary, args...)
	cmd.Stdout, cmd.Stderr = r.o.Log, r.o.Log
	if err := cmd.Start(); err != nil {
		return errors.Wrap(err, "start "+d.name)
	}
	exited := make(chan struct{})
	go func() {
		_ = cmd.Wait() // killed processes end with an error
		close(exited)
	}()
	r.mu.Lock()
	d.cmd, d.exited = cmd, exited
	r.mu.Unlock()
	return nil
}

func (r *run) signal(d *daemon, s syscall.Signal) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = d.cmd.Process.Signal(s) // it may have ended
}

func (r *run) stopAll() {
	for _, d := range r.daemons {
		if d.cmd != nil {
			r.signal(d, syscall.SIGCONT)
			r.signal(d, syscall.SIGKILL)
			<-d.exited
		}
	}
}

// await waits until each daemon has served a stream.
func (r *run) await(ctx context.Context) error {
	end := time.Now().Add(formTime)
	for n, d := range r.daemons {
		for try := 0; ; try++ {
			id := fmt.Sprintf("await-%d-%d-%d", r.o.Seed, n, try)
			if r.world.CallAt(d.url("/stream/x"), http.MethodPost, id, site.ModelOfTwo, "", nil).Whole(id) {
				break
			}
			if ctx.Err() != nil || time.Now().After(end) {
				return errors.Errorf("%s did not serve within %s", d.name, formTime)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	return nil
}

// breakThings makes faults one after another, which overlap.
func (r *run) breakThings(ctx context.Context) {
	var faults sync.WaitGroup
	end := time.Now().Add(r.o.Duration)
	for time.Now().Before(end) && ctx.Err() == nil {
		d := r.daemons[r.rng.IntN(len(r.daemons))]
		lasts := time.Duration(r.rng.Int64N(int64(mostFault)))
		kind, pick := r.rng.IntN(len(kinds)), r.rng.IntN(r.o.Engines)
		r.mu.Lock()
		r.result.Faults++
		r.mu.Unlock()
		faults.Go(func() { kinds[kind](r, d, lasts, pick) })
		time.Sleep(time.Duration(r.rng.Int64N(int64(mostPause))))
	}
	faults.Wait()
}

// kinds are the faults.
var kinds = []func(r *run, d *daemon, lasts time.Duration, pick int){
	func(r *run, d *daemon, _ time.Duration, _ int) { r.restart(d, syscall.SIGKILL) },
	func(r *run, d *daemon, _ time.Duration, _ int) { r.restart(d, syscall.SIGTERM) },
	func(r *run, d *daemon, lasts time.Duration, _ int) {
		r.signal(d, syscall.SIGSTOP)
		time.Sleep(lasts)
		r.signal(d, syscall.SIGCONT)
	},
	func(_ *run, d *daemon, lasts time.Duration, pick int) {
		d.proxy.Set([]Manner{Delay, Silent, OneWay, Reset}[pick%4])
		time.Sleep(lasts)
		d.proxy.Set(Pass)
	},
	func(r *run, _ *daemon, lasts time.Duration, _ int) {
		r.world.Store.SetAway(true)
		time.Sleep(lasts)
		r.world.Store.SetAway(false)
	},
	func(r *run, _ *daemon, _ time.Duration, pick int) {
		if pick < r.o.Engines/3 { // the others stay
			r.world.Darken(r.world.Engines[pick])
		}
	},
	func(r *run, _ *daemon, lasts time.Duration, pick int) {
		e := r.world.Engines[pick]
		r.world.Switch(func() { e.LateOrders = 2 * time.Second })
		time.Sleep(lasts)
		r.world.Switch(func() { e.LateOrders = 0 })
	},
	func(r *run, _ *daemon, _ time.Duration, _ int) {
		r.mu.Lock()
		r.version++
		version := r.version
		r.mu.Unlock()
		r.world.Publish(site.Document(version))
	},
	func(r *run, _ *daemon, _ time.Duration, _ int) { r.world.Store.Forget("keyed.servers") },
}

// restart ends a daemon by a signal and starts it again.
func (r *run) restart(d *daemon, s syscall.Signal) {
	r.mu.Lock()
	exited := d.exited
	r.mu.Unlock()
	r.signal(d, syscall.SIGCONT)
	r.signal(d, s)
	<-exited
	d.starting.Lock()
	defer d.starting.Unlock()
	r.mu.Lock()
	again := d.exited != exited
	r.mu.Unlock()
	if again {
		return // another fault has started it
	}
	if err := r.start(d, false); err != nil {
		r.find("%v", err)
	}
}

func (r *run) heal() {
	r.world.Store.SetAway(false)
	for _, d := range r.daemons {
		d.proxy.Set(Pass)
		r.signal(d, syscall.SIGCONT)
	}
}

func (r *run) find(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.result.Findings = append(r.result.Findings, fmt.Sprintf(format, args...))
}

// call sends requests until ctx ends, each to a random daemon.
func (r *run) call(ctx context.Context, caller int) {
	rng := rand.New(rand.NewPCG(r.o.Seed, uint64(caller)+2))
	for n := 0; ctx.Err() == nil; n++ {
		d := r.daemons[rng.IntN(len(r.daemons))]
		id := fmt.Sprintf("c%d-%d-%d", caller, r.o.Seed, n)
		model := []string{site.ModelOfTwo, site.ModelOfThree}[rng.IntN(2)]
		var seen Seen
		if rng.IntN(3) == 0 {
			seen = Seen{ID: id, Once: true, Body: "entry " + id}
			seen.Answer = r.world.CallAt(d.url("/unsafe/x"), http.MethodPost, id, "", seen.Body, nil)
		} else {
			seen = Seen{ID: id, Stream: true}
			seen.Answer = r.world.CallAt(d.url("/stream/x"), http.MethodPost, id, model, "", nil)
		}
		r.note(seen)
		time.Sleep(20 * time.Millisecond)
	}
}

func (r *run) note(s Seen) {
	if finding := s.Check(); finding != "" {
		r.find("%s", finding)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.result.Calls++
	switch {
	case s.Answer.Err == nil && s.Answer.Status == http.StatusOK:
		r.result.Served++
	case s.Answer.Status == http.StatusServiceUnavailable:
		r.result.Refused++
		r.refused = append(r.refused, s.ID)
	case s.Answer.Status == http.StatusOK:
		r.result.Cut++
	default:
		r.result.Failed++
	}
	if s.Once {
		r.unsafe = append(r.unsafe, s.ID)
	}
}

// judge checks what the backend servers saw, and that every daemon serves again.
func (r *run) judge(ctx context.Context) {
	for _, v := range r.world.Violations() {
		r.find("engines: %s", v)
	}
	for _, id := range r.unsafe {
		if n := r.world.Runs(id); n > 1 {
			r.find("%s ran %d times", id, n)
		}
	}
	for _, id := range r.refused {
		if n := r.world.Runs(id); n > 0 {
			r.find("%s was refused as not run and ran %d times", id, n)
		}
	}
	end := time.Now().Add(recoverTime)
	for _, d := range r.daemons {
		for n := 0; ; n++ {
			id := fmt.Sprintf("after-%s-%d", d.name, n)
			if r.world.CallAt(d.url("/stream/x"), http.MethodPost, id, site.ModelOfTwo, "", nil).Whole(id) {
				break
			}
			if ctx.Err() != nil || time.Now().After(end) {
				r.find("%s does not serve %s after the last fault", d.name, recoverTime)
				break
			}
			time.Sleep(200 * time.Millisecond)
		}
	}
}
