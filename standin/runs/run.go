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
	// firstPublication is when the services come into force.
	firstPublication = 10 * time.Second
	warmUp           = 40 * time.Second // until the first fault
	quietPause       = 45 * time.Second // between the two halves of the faults
	// recoveryBound is how long after the last fault all must be well again.
	recoveryBound = 60 * time.Second
	goodputWindow = 30 * time.Second
	callerPause   = 3 * time.Second
	// restartPause is how long a daemon stays away that is restarted by itself.
	restartPause = 2 * time.Second

	// A planned stop meets stopCalls calls, spread over stopCallsOver.
	stopCalls     = 40
	stopCallsOver = 4 * time.Second
)

// Streams of random choices that a seed has beside the schedule's.
const (
	callerStreams  = 100 // and on
	operatorStream = 200
	settingsStream = 300
)

// Options of one run.
type Options struct {
	Seed uint64
	// Length in virtual time, 10 minutes when zero.
	Length time.Duration
	// Log takes the daemons' log lines from info on; nil for none.
	Log io.Writer
	// tamper seeds a fault that a checker must report; nil for none.
	tamper func(*tampering)
	// calm leaves out the schedule's faults.
	calm bool
	// settled leaves out the operators' changes after the first publication.
	settled bool
	// every is the mean time between two requests of one caller, 3 s when
	// zero.
	every time.Duration
	// snapshots is the time between two snapshots, a minute when zero.
	snapshots time.Duration
	// size of the world, drawn from the seed when zero.
	size Size
	// choices of the settings, drawn from the seed when zero.
	choices choices
}

// tampering is what a seeded fault can touch.
type tampering struct {
	ctx     context.Context
	world   *World
	watch   *watch
	callers *callers
	ops     *operators
	faults  *schedule
}

// Report is what a run met and found.
type Report struct {
	Seed     uint64
	Findings []Finding
	Counts   map[string]int // what was met, by name
}

// Run drives one system through a seeded schedule and returns what it met.
// It must be called inside a synctest bubble.
func Run(o Options) (*Report, error) {
	if o.Length == 0 {
		o.Length = 10 * time.Minute
	}
	r := rand.New(rand.NewPCG(o.Seed, 1))
	watch := newWatch()
	if o.every == 0 {
		o.every = callerPause
	}
	if o.size == (Size{}) {
		o.size = Size{Daemons: 7 + int(o.Seed%3), Fabrics: 2, Engines: 3, Plains: 2}
	}
	if o.choices == (choices{}) {
		o.choices = drawChoices(o.Seed)
	}
	if o.snapshots == 0 {
		o.snapshots = snapshotEvery
	}
	world, err := newWorld(o, watch)
	if err != nil {
		return nil, errors.Wrapf(err, "seed %d", o.Seed)
	}
	defer world.close()
	o.choices.count(watch)
	err = drive(o, r, world)
	watch.mu.Lock()
	defer watch.mu.Unlock()
	return &Report{Seed: o.Seed, Findings: watch.findings, Counts: watch.counts}, err
}

func drive(o Options, r *rand.Rand, w *World) error {
	ctx, stop := context.WithCancel(w.ctx)
	ops := &operators{world: w, watch: w.watch, groups: o.size.Fabrics}
	c := &callers{world: w, watch: w.watch, every: o.every}
	s := newSchedule(ctx, w, c, ops)
	end := time.Now().Add(o.Length)

	w.tasks.Go(func() { sampleWhile(ctx, s) })
	pause(ctx, firstPublication)
	if !ops.publishFirst(ctx) {
		stop()
		return errors.Errorf("seed %d: the first publication was not accepted", o.Seed)
	}
	pause(ctx, warmUp/2)
	requests := []func(context.Context, *rand.Rand){c.generate, c.generate, c.generate, c.book, c.book, c.look}
	for i, request := range requests {
		source := rand.New(rand.NewPCG(o.Seed, callerStreams+uint64(i)))
		w.tasks.Go(func() { c.run(ctx, source, request) })
	}
	if !o.settled {
		w.tasks.Go(func() { ops.run(ctx, rand.New(rand.NewPCG(o.Seed, operatorStream))) })
	}
	pause(ctx, warmUp/2)
	if o.tamper != nil {
		o.tamper(&tampering{ctx: ctx, world: w, watch: w.watch, callers: c, ops: ops, faults: s})
	}
	stopped := s.phases(o, r, end)
	pause(ctx, time.Until(end))
	c.checkRecovery(end.Add(-goodputWindow), func() string { return ops.groupStates(ctx) })
	stop()
	w.watch.add("log calls refused while down", int(w.platform.Log.Stats().Outages))
	c.checkRefusals()
	for d, sp := range stopped {
		c.checkPlannedStop(d, sp)
	}
	return nil
}

// phases injects faults, with a pause in the middle in which nothing but a
// planned stop happens and then nothing but a long fault.
func (s *schedule) phases(o Options, r *rand.Rand, end time.Time) map[*daemonHost]span {
	faultsEnd := end.Add(-recoveryBound - goodputWindow)
	half := (time.Until(faultsEnd) - quietPause - quietPause/4 - alone) / 2
	lone, amid := longFaults(o.Seed, r)
	early := r.IntN(2) == 0
	if !o.calm {
		s.half(amid, early, r, time.Now().Add(half))
	}
	pause(s.ctx, quietPause)
	d := s.daemon(r)
	stop := s.stopUnderLoad(d, r)
	s.watch.count("planned stops while quiet")
	_ = d.start()
	pause(s.ctx, quietPause/4)
	if !o.calm {
		s.lone(lone, r)
		s.restartBehindRetention(r)
		s.half(amid, !early, r, faultsEnd)
	}
	return map[*daemonHost]span{d: stop}
}

// restartBehindRetention kills a daemon and starts it again once the first
// records have expired.
func (s *schedule) restartBehindRetention(r *rand.Rand) {
	pause(s.ctx, time.Until(s.watch.began.Add(firstPublication+retention+restartPause)))
	d := s.daemon(r)
	d.kill()
	pause(s.ctx, restartPause)
	_ = d.start()
	pause(s.ctx, restartPause)
}

// half injects faults for one half of a run, with a long one amid them or not.
func (s *schedule) half(long longFault, with bool, r *rand.Rand, end time.Time) {
	until := end.Add(-faultLastMax)
	if with {
		s.runWith(long, r, until)
		return
	}
	s.run(r, until)
}

// stopUnderLoad stops a daemon as planned while calls to it are under way and
// new ones come, and returns when that was.
func (s *schedule) stopUnderLoad(d *daemonHost, r *rand.Rand) span {
	var calls sync.WaitGroup
	for i := range stopCalls {
		after := time.Duration(r.Int64N(int64(stopCallsOver)))
		prompt := s.callers.next("stop")
		calls.Go(func() {
			pause(s.ctx, after)
			if i%2 == 0 {
				s.callers.generateOnce(s.ctx, d, prompt)
			} else {
				s.callers.invoke(s.ctx, d, methodBook, prompt, []byte(prompt))
			}
		})
	}
	pause(s.ctx, stopCallsOver/2)
	stop := span{from: time.Now()}
	d.drain()
	stop.to = time.Now()
	calls.Wait()
	return stop
}

// sampleWhile looks at engines and daemons again and again.
func sampleWhile(ctx context.Context, s *schedule) {
	for n := 0; ; n++ {
		s.watch.sample(s.world)
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
			delete(s.apart, d)
			continue
		}
		ready, _ := running.Ready()
		s.sampleCutOff(d, ready)
		since, reachable := s.reachableSince(d)
		if !reachable {
			continue
		}
		s.watch.sampleConfig(running.ID(), running.Heartbeat().ConfigRevision, ready, since)
	}
}
