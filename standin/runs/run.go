package runs

import (
	"context"
	"io"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Phases of a run.
const (
	// firstPublication is when the services are published.
	firstPublication = 10 * time.Second
	warmUp           = 40 * time.Second // until the first fault
	faultPause       = 45 * time.Second // between the two halves of the faults
	// recoveryBound is the time allowed for recovery after the last fault.
	recoveryBound  = 60 * time.Second
	recoveryWindow = 30 * time.Second
	callerPause    = 3 * time.Second
	// restartPause is how long a daemon is stopped in restartBehindRetention.
	restartPause = 2 * time.Second

	// A planned stop overlaps stopCalls calls, spread over stopCallsSpread.
	stopCalls       = 40
	stopCallsSpread = 4 * time.Second
)

// Random streams of a seed besides the schedule's.
const (
	callerStreams  = 100 // first of one stream per caller
	operatorStream = 200
	settingsStream = 300
)

// Options configure one run.
type Options struct {
	Seed uint64
	// Length is in virtual time, 10 minutes if zero.
	Length time.Duration
	// Log receives the daemons' log lines of level info and above; nil for none.
	Log io.Writer
	// tamper causes a fault that a checker must report; nil for none.
	tamper func(*tampering)
	// noFaults disables the schedule's faults.
	noFaults bool
	// noOperators disables the operators' changes after the first publication.
	noOperators bool
	// callInterval is the mean interval between two requests of one caller, 3 s
	// if zero.
	callInterval time.Duration
	// snapshotInterval is the interval between two snapshots, 1 minute if zero.
	snapshotInterval time.Duration
	// size of the world; derived from the seed if zero.
	size Size
	// settings of the daemons; drawn from the seed if zero.
	settings drawnSettings
}

// tampering gives Options.tamper access to the parts of a run.
type tampering struct {
	ctx     context.Context
	world   *World
	monitor *monitor
	callers *callers
	ops     *operators
	faults  *schedule
}

// Report holds the findings and counts of a run.
type Report struct {
	Seed     uint64
	Findings []Finding
	Counts   map[string]int // number of events by name
}

// Run runs one system through a seeded schedule and returns the report. It must
// be called inside a synctest bubble.
func Run(o Options) (*Report, error) {
	if o.Length == 0 {
		o.Length = 10 * time.Minute
	}
	r := rand.New(rand.NewPCG(o.Seed, 1))
	m := newMonitor()
	if o.callInterval == 0 {
		o.callInterval = callerPause
	}
	if o.size == (Size{}) {
		o.size = Size{Daemons: 7 + int(o.Seed%3), Fabrics: 2, Engines: 3, Plains: 2}
	}
	if o.settings == (drawnSettings{}) {
		o.settings = drawSettings(o.Seed)
	}
	if o.snapshotInterval == 0 {
		o.snapshotInterval = snapshotInterval
	}
	world, err := newWorld(o, m)
	if err != nil {
		return nil, errors.Wrapf(err, "seed %d", o.Seed)
	}
	defer world.close()
	o.settings.count(m)
	err = drive(o, r, world)
	m.mu.Lock()
	defer m.mu.Unlock()
	return &Report{Seed: o.Seed, Findings: m.findings, Counts: m.counts}, err
}

func drive(o Options, r *rand.Rand, w *World) error {
	ctx, stop := context.WithCancel(w.ctx)
	ops := &operators{world: w, monitor: w.monitor, groups: o.size.Fabrics}
	c := &callers{world: w, monitor: w.monitor, interval: o.callInterval}
	s := newSchedule(ctx, w, c, ops)
	end := time.Now().Add(o.Length)

	w.tasks.Go(func() { sampleUntilDone(ctx, s) })
	sleep(ctx, firstPublication)
	if !ops.publishFirst(ctx) {
		stop()
		return errors.Errorf("seed %d: the first publication was not accepted", o.Seed)
	}
	sleep(ctx, warmUp/2)
	requests := []func(context.Context, *rand.Rand){c.generate, c.generate, c.generate, c.book, c.book, c.look}
	for i, request := range requests {
		source := rand.New(rand.NewPCG(o.Seed, callerStreams+uint64(i)))
		w.tasks.Go(func() { c.run(ctx, source, request) })
	}
	if !o.noOperators {
		w.tasks.Go(func() { ops.run(ctx, rand.New(rand.NewPCG(o.Seed, operatorStream))) })
	}
	sleep(ctx, warmUp/2)
	if o.tamper != nil {
		o.tamper(&tampering{ctx: ctx, world: w, monitor: w.monitor, callers: c, ops: ops, faults: s})
	}
	stopped := s.runPhases(o, r, end)
	sleep(ctx, time.Until(end))
	c.checkRecovery(end.Add(-recoveryWindow), func() string { return ops.groupStates(ctx) })
	stop()
	w.monitor.add("log calls refused while down", int(w.platform.Log.Stats().Outages))
	c.checkRefusals()
	for d, sp := range stopped {
		c.checkPlannedStop(d, sp)
	}
	return nil
}

// runPhases injects faults in two halves. In the middle come a period with only a
// planned stop and one with only a long fault. It returns the planned stop.
func (s *schedule) runPhases(o Options, r *rand.Rand, end time.Time) map[*daemonHost]span {
	faultsEnd := end.Add(-recoveryBound - recoveryWindow)
	half := (time.Until(faultsEnd) - faultPause - faultPause/4 - isolatedFaultTime) / 2
	isolated, overlapping := longFaults(o.Seed, r)
	early := r.IntN(2) == 0
	if !o.noFaults {
		s.runHalf(overlapping, early, r, time.Now().Add(half))
	}
	sleep(s.ctx, faultPause)
	d := s.daemon(r)
	stop := s.stopUnderLoad(d, r)
	s.monitor.count("planned stops while quiet")
	_ = d.start()
	sleep(s.ctx, faultPause/4)
	if !o.noFaults {
		s.injectIsolated(isolated, r)
		s.restartBehindRetention(r)
		s.runHalf(overlapping, !early, r, faultsEnd)
	}
	return map[*daemonHost]span{d: stop}
}

// restartBehindRetention kills a daemon and restarts it after the first records
// of the log have expired.
func (s *schedule) restartBehindRetention(r *rand.Rand) {
	sleep(s.ctx, time.Until(s.monitor.started.Add(firstPublication+retention+restartPause)))
	d := s.daemon(r)
	d.kill()
	sleep(s.ctx, restartPause)
	_ = d.start()
	sleep(s.ctx, restartPause)
}

// runHalf injects faults for one half of a run, with a long fault if hasLong is
// true.
func (s *schedule) runHalf(long longFault, hasLong bool, r *rand.Rand, end time.Time) {
	until := end.Add(-faultTimeMax)
	if hasLong {
		s.runWithLongFault(long, r, until)
		return
	}
	s.run(r, until)
}

// stopUnderLoad stops a daemon as planned while calls to it are in flight and
// new ones arrive, and returns the time span of the stop.
func (s *schedule) stopUnderLoad(d *daemonHost, r *rand.Rand) span {
	var calls sync.WaitGroup
	for i := range stopCalls {
		after := time.Duration(r.Int64N(int64(stopCallsSpread)))
		prompt := s.callers.nextID("stop")
		calls.Go(func() {
			sleep(s.ctx, after)
			if i%2 == 0 {
				s.callers.generateOnce(s.ctx, d, prompt)
			} else {
				s.callers.invoke(s.ctx, d, methodBook, prompt, []byte(prompt))
			}
		})
	}
	sleep(s.ctx, stopCallsSpread/2)
	stop := span{from: time.Now()}
	d.drain()
	stop.to = time.Now()
	calls.Wait()
	return stop
}

// sampleUntilDone samples engines and daemons periodically until ctx ends.
func sampleUntilDone(ctx context.Context, s *schedule) {
	for n := 0; ; n++ {
		s.monitor.sample(s.world)
		if n%10 == 0 {
			s.sampleDaemons()
		}
		select {
		case <-time.After(sampleEvery):
		case <-ctx.Done():
			return
		}
	}
}

func (s *schedule) sampleDaemons() {
	for _, d := range s.world.daemons {
		running, _ := d.daemon()
		if running == nil {
			delete(s.minoritySince, d)
			continue
		}
		ready, _ := running.Ready()
		s.sampleCutOff(d, ready)
		since, reachable := s.reachableSince(d)
		if !reachable {
			continue
		}
		s.monitor.sampleConfig(running.ID(), running.Heartbeat().ConfigRevision, ready, since)
	}
}
