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

// Options configure one run.
type Options struct {
	Seed   uint64
	Binary string // path of carawayd
	// Earlier is the path of carawayd of an earlier version. If it is set, all daemons
	// start with it, and each in turn is replaced by the other version until the last
	// fault.
	Earlier  string
	Daemons  int
	Engines  int
	Duration time.Duration // time during which faults are injected
	Log      io.Writer     // output of the daemons
	// Crashing adds requests that crash each backend server that runs them.
	Crashing bool
	// Limits makes backend servers announce the request rates that they take.
	Limits bool
	// Zones evacuates availability zones and takes them back, and makes fabric domains
	// fall silent and return cold.
	Zones bool
}

// Result counts the faults and responses of a run and lists its findings.
type Result struct {
	Faults, Calls, Served, Rejected, Cut, Failed int
	Replaced                                     int // processes, by those of the other version
	Evacuations, ColdReturns                     int
	Findings                                     []string
}

// loopback is the site.Hosts implementation that gives every machine its own
// address in 127.0.0.0/8.
type loopback struct{ octet int }

// Host implements site.Hosts.
func (l loopback) Host(ip string) site.Host {
	var a, b, c, d int
	if _, err := fmt.Sscanf(ip, "%d.%d.%d.%d", &a, &b, &c, &d); err != nil {
		panic("invalid IPv4 address of a host: " + ip)
	}
	return loopHost{fmt.Sprintf("127.%d.%d.%d", l.octet, b, d)}
}

// Freeze implements site.Hosts. It does nothing: the servers themselves block
// their requests.
func (loopback) Freeze(string) {}

type loopHost struct{ ip string }

// Addr implements site.Host.
func (h loopHost) Addr(port string) string { return net.JoinHostPort(h.ip, port) }

// Listen implements site.Host.
func (h loopHost) Listen(port string) (net.Listener, error) { return net.Listen("tcp", h.Addr(port)) }

// daemon is one carawayd process. The soak signals only processes that it
// started, by their ids.
type daemon struct {
	name, ip string
	proxy    *Proxy
	cmd      *exec.Cmd
	exited   chan struct{}
	// starting is held from the check of exited until the next process has
	// started, so that overlapping faults restart a daemon only once.
	starting sync.Mutex
	earlier  bool // the next process is of the earlier version
}

// run is the state of one run.
type run struct {
	o       Options
	world   *site.World
	daemons []*daemon
	rng     *rand.Rand

	mu     sync.Mutex // guards result, unsafe, rejected, version, the processes and their versions
	result Result
	// unsafe holds the ids of requests that may run at most once, and rejected
	// those that must not have run.
	unsafe, rejected []string
	version          int
}

// Run executes one seed. An error means that the soak itself failed; faults of
// the system under test are findings in the result.
func Run(ctx context.Context, o Options) (Result, error) {
	const octets, firstOctet = 100, 20
	hosts := loopback{firstOctet + os.Getpid()%octets}
	backends := site.Options{Engines: o.Engines, Plains: 2}
	if o.Zones {
		backends.ServerZones, backends.Cold = serverZones, coldServers
	}
	world, err := site.NewBackends(backends, hosts, (&net.Dialer{Timeout: time.Second}).DialContext)
	if err != nil {
		return Result{}, errors.Wrap(err, "backends")
	}
	defer world.Close()
	r := &run{o: o, world: world, rng: rand.New(rand.NewPCG(o.Seed, 1)), version: 1}
	defer r.stopAll()
	for n := range o.Daemons {
		d := &daemon{name: fmt.Sprintf("edge-%d", n+1), ip: fmt.Sprintf("127.%d.1.%d", hosts.octet, n+1), earlier: o.Earlier != ""}
		if d.proxy, err = NewProxy(world.StoreAddress()); err != nil {
			return Result{}, errors.Wrap(err, "proxy")
		}
		defer d.proxy.Close()
		r.daemons = append(r.daemons, d)
		if err := r.start(d, true); err != nil {
			return Result{}, err
		}
	}
	if err := r.awaitServing(ctx); err != nil {
		return Result{}, err
	}
	calling, stopCalls := context.WithCancel(ctx)
	var callers sync.WaitGroup
	for n := range callerCount {
		callers.Go(func() { r.call(calling, n) })
	}
	if o.Crashing {
		world.CrashOn(crashingPart)
		callers.Go(func() { r.callCrashing(calling) })
	}
	if o.Limits {
		callers.Go(func() { r.announceLimits(calling) })
	}
	var events sync.WaitGroup
	changing, stopEvents := context.WithCancel(ctx)
	defer stopEvents()
	if o.Zones {
		events.Go(func() { r.evacuateZones(changing) })
		events.Go(func() { r.returnCold(changing) })
	}
	rolling, stopRolling := context.WithCancel(ctx)
	defer stopRolling()
	var roll sync.WaitGroup
	if o.Earlier != "" {
		roll.Go(func() { r.rollOver(rolling) })
	}
	r.injectFaults(ctx)
	stopRolling()
	roll.Wait()
	stopEvents()
	events.Wait()
	r.heal()
	if o.Zones {
		world.Evacuate(lastZone) // requests that reach it after the bound are violations
	}
	time.Sleep(settleTime)
	healed := time.Now()
	switch {
	case o.Crashing:
		time.Sleep(crashingTime)
	case o.Zones:
		time.Sleep(evacuatedTime - settleTime)
	}
	stopCalls()
	callers.Wait()
	if o.Zones {
		world.TakeBack(lastZone)
	}
	r.checkCrashing(healed)
	r.checkOutcome(ctx)
	return r.result, nil
}

const (
	// callerCount is the number of concurrent callers.
	callerCount = 8
	// formTime limits the time until the first groups serve.
	formTime = 20 * time.Second
	// settleTime is how long callers continue after the last fault. Daemons are in
	// touch again then.
	settleTime = site.StableWindow
	// crashingTime is how long requests that crash servers continue after that.
	crashingTime = 5 * time.Second
	// crashingInterval is the time between two such requests.
	crashingInterval = 150 * time.Millisecond
	// soundParts is the number of parts of prompts that do not, next to the one that
	// all prompts have.
	soundParts = 6
	// limitedServers announce a rate at a time, for limitTime, of minLimit to minLimit +
	// maxLimit requests a second.
	limitedServers     = 8
	limitTime          = 9 * time.Second
	minLimit, maxLimit = 0.3, 2.0
	// crashingPart is the part of a prompt that crashes engines.
	crashingPart = "bad"
	// recoverTime limits the time until every daemon serves again.
	recoverTime = 30 * time.Second
	// rollPause is the time between two replacements of a process by the other version.
	rollPause = time.Second
	// maxFaultPause is the longest pause between two faults and maxFaultTime the
	// longest duration of one, so faults overlap.
	maxFaultPause = 700 * time.Millisecond
	maxFaultTime  = 3 * time.Second
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
	binary := r.o.Binary
	r.mu.Lock()
	if d.earlier {
		binary = r.o.Earlier
	}
	r.mu.Unlock()
	cmd := exec.Command(binary, args...)
	cmd.Stdout, cmd.Stderr = r.o.Log, r.o.Log
	if err := cmd.Start(); err != nil {
		return errors.Wrap(err, "start "+d.name)
	}
	exited := make(chan struct{})
	go func() {
		_ = cmd.Wait() // a killed process returns an error
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
	_ = d.cmd.Process.Signal(s) // fails if the process has ended
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

// awaitServing waits until each daemon has served a stream.
func (r *run) awaitServing(ctx context.Context) error {
	end := time.Now().Add(formTime)
	for n, d := range r.daemons {
		for try := 0; ; try++ {
			id := fmt.Sprintf("await-%d-%d-%d", r.o.Seed, n, try)
			if r.world.CallAt(d.url("/stream/x"), http.MethodPost, id, site.ModelOfTwo, "", nil).IsComplete(id) {
				break
			}
			if ctx.Err() != nil || time.Now().After(end) {
				return errors.Errorf("%s served no stream within %s", d.name, formTime)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	return nil
}

// injectFaults injects overlapping faults for the duration of the run.
func (r *run) injectFaults(ctx context.Context) {
	var faults sync.WaitGroup
	end := time.Now().Add(r.o.Duration)
	for time.Now().Before(end) && ctx.Err() == nil {
		d := r.daemons[r.rng.IntN(len(r.daemons))]
		duration := time.Duration(r.rng.Int64N(int64(maxFaultTime)))
		kind, pick := r.rng.IntN(len(faultKinds)), r.rng.IntN(r.o.Engines)
		r.mu.Lock()
		r.result.Faults++
		r.mu.Unlock()
		faults.Go(func() { faultKinds[kind](r, d, duration, pick) })
		time.Sleep(time.Duration(r.rng.Int64N(int64(maxFaultPause))))
	}
	faults.Wait()
}

// faultKinds are the kinds of faults: a killed, stopped or paused daemon, a
// broken connection to the store, an unavailable store, an unresponsive engine,
// delayed orders, a new document, and a truncated server list.
var faultKinds = []func(r *run, d *daemon, duration time.Duration, pick int){
	func(r *run, d *daemon, _ time.Duration, _ int) { r.restartExcused(d, syscall.SIGKILL) },
	func(r *run, d *daemon, _ time.Duration, _ int) { r.restartExcused(d, syscall.SIGTERM) },
	func(r *run, d *daemon, duration time.Duration, _ int) {
		r.signal(d, syscall.SIGSTOP)
		time.Sleep(duration)
		r.signal(d, syscall.SIGCONT)
		r.world.ExcuseLimits()
	},
	func(_ *run, d *daemon, duration time.Duration, pick int) {
		d.proxy.SetMode([]Mode{Delay, Blackhole, DropResponses, Reset}[pick%4])
		time.Sleep(duration)
		d.proxy.SetMode(Forward)
	},
	func(r *run, _ *daemon, duration time.Duration, _ int) {
		r.world.Store.SetUnavailable(true)
		time.Sleep(duration)
		r.world.Store.SetUnavailable(false)
	},
	func(r *run, _ *daemon, _ time.Duration, pick int) {
		if pick < r.o.Engines/3 { // two thirds of the engines stay live
			r.world.FreezeEngine(r.world.Engine(pick))
		}
	},
	func(r *run, _ *daemon, duration time.Duration, pick int) {
		e := r.world.Engine(pick)
		r.world.Update(func() { e.OrderDelay = 2 * time.Second })
		time.Sleep(duration)
		r.world.Update(func() { e.OrderDelay = 0 })
	},
	func(r *run, _ *daemon, _ time.Duration, _ int) {
		r.mu.Lock()
		r.version++
		version := r.version
		r.mu.Unlock()
		r.world.Publish(r.world.Document(version))
	},
	func(r *run, _ *daemon, _ time.Duration, _ int) { r.world.Store.TruncateHistory("keyed.servers") },
}

// restartExcused restarts a daemon and starts the count of its requests at servers
// that announce rates anew.
func (r *run) restartExcused(d *daemon, s syscall.Signal) {
	r.restart(d, s)
	r.world.ExcuseLimits()
}

// restart ends a daemon by a signal and starts a new process.
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
		return // another fault has restarted it
	}
	if err := r.start(d, false); err != nil {
		r.addFinding("%v", err)
	}
}

// rollOver replaces the daemons' processes one after the other by the version that
// they do not run, until ctx ends.
func (r *run) rollOver(ctx context.Context) {
	for n := 0; ctx.Err() == nil; n++ {
		d := r.daemons[n%len(r.daemons)]
		r.mu.Lock()
		d.earlier = !d.earlier
		r.result.Replaced++
		r.mu.Unlock()
		r.restartExcused(d, syscall.SIGTERM)
		select {
		case <-time.After(rollPause):
		case <-ctx.Done():
		}
	}
}

func (r *run) heal() {
	r.world.Store.SetUnavailable(false)
	for _, d := range r.daemons {
		d.proxy.SetMode(Forward)
		r.signal(d, syscall.SIGCONT)
	}
}

func (r *run) addFinding(format string, args ...any) {
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
		var observed ObservedCall
		if rng.IntN(3) == 0 {
			observed = ObservedCall{ID: id, AtMostOnce: true, WantBody: "entry " + id}
			observed.Response = r.world.CallAt(d.url("/unsafe/x"), http.MethodPost, id, "", observed.WantBody, nil)
		} else {
			observed = ObservedCall{ID: id, Stream: true}
			header := site.Prompt([]string{"aa", fmt.Sprintf("b%d", n%soundParts)}, n)
			observed.Response = r.world.CallAt(d.url("/stream/x"), http.MethodPost, id, model, "", header)
		}
		r.recordCall(observed)
		time.Sleep(20 * time.Millisecond)
	}
}

// callCrashing sends a request that crashes plain servers and, in turn with it,
// prompts of which one part crashes engines, to all daemons in turn.
func (r *run) callCrashing(ctx context.Context) {
	for n := 0; ctx.Err() == nil; n++ {
		d := r.daemons[n/2%len(r.daemons)]
		id := fmt.Sprintf("crash-%d-%d", r.o.Seed, n)
		if n%2 == 0 {
			r.world.CallAt(d.url("/safe/x"), http.MethodPost, id, "", site.CrashingBody, nil)
		} else {
			r.world.CallAt(d.url("/stream/x"), http.MethodPost, id, site.ModelOfTwo, id, site.Prompt([]string{"aa", crashingPart}, n))
		}
		time.Sleep(crashingInterval)
	}
}

// announceLimits makes a few backend servers at a time announce the request rate that
// they take, each for some seconds, until ctx ends.
func (r *run) announceLimits(ctx context.Context) {
	rng := rand.New(rand.NewPCG(r.o.Seed, 1<<32))
	addresses := r.world.ServerAddresses()
	for ctx.Err() == nil {
		limited := make([]string, limitedServers)
		for i := range limited {
			limited[i] = addresses[rng.IntN(len(addresses))]
			r.world.SetRequestLimit(limited[i], minLimit+rng.Float64()*maxLimit)
		}
		select {
		case <-time.After(limitTime):
		case <-ctx.Done():
		}
		for _, a := range limited {
			r.world.SetRequestLimit(a, 0)
		}
	}
}

// checkCrashing checks that few requests that crash servers reached one after the
// daemons were in touch again.
func (r *run) checkCrashing(healed time.Time) {
	for cause, crashes := range map[string]int{site.CrashingBody: site.CrashesOfRequest, crashingPart: site.CrashesOfPart} {
		if late := r.world.LateCrashingRuns(cause, crashes, healed); late > site.MaxLateSends {
			r.addFinding("%d requests with %q reached servers after the last fault and %d crashes", late, cause, crashes)
		}
	}
}

func (r *run) recordCall(c ObservedCall) {
	if finding := c.Check(); finding != "" {
		r.addFinding("%s", finding)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.result.Calls++
	switch {
	case c.Response.Err == nil && c.Response.Status == http.StatusOK:
		r.result.Served++
	case c.Response.Status == http.StatusServiceUnavailable:
		r.result.Rejected++
		r.rejected = append(r.rejected, c.ID)
	case c.Response.Status == http.StatusOK:
		r.result.Cut++
	default:
		r.result.Failed++
	}
	if c.AtMostOnce {
		r.unsafe = append(r.unsafe, c.ID)
	}
}

// checkOutcome checks the observations of the backend servers, and that every
// daemon serves again.
func (r *run) checkOutcome(ctx context.Context) {
	for _, v := range r.world.Violations() {
		r.addFinding("engine violation: %s", v)
	}
	for _, id := range r.unsafe {
		if n := r.world.RunCount(id); n > 1 {
			r.addFinding("%s ran %d times", id, n)
		}
	}
	for _, id := range r.rejected {
		if n := r.world.RunCount(id); n > 0 {
			r.addFinding("%s was rejected as not run but ran %d times", id, n)
		}
	}
	end := time.Now().Add(recoverTime)
	for _, d := range r.daemons {
		for n := 0; ; n++ {
			id := fmt.Sprintf("after-%s-%d", d.name, n)
			if r.world.CallAt(d.url("/stream/x"), http.MethodPost, id, site.ModelOfTwo, "", nil).IsComplete(id) {
				break
			}
			if ctx.Err() != nil || time.Now().After(end) {
				r.addFinding("%s served no stream within %s after the last fault", d.name, recoverTime)
				break
			}
			time.Sleep(200 * time.Millisecond)
		}
	}
}
