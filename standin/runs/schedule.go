package runs

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"carawayproxy.example/caraway/internal/fleet"
	"carawayproxy.example/caraway/standin/engine"
	"carawayproxy.example/caraway/standin/plain"
	"carawayproxy.example/caraway/standin/platform"
)

// Limits of the schedule.
const (
	faultGapMin         = 2 * time.Second
	faultGapMax         = 12 * time.Second
	faultTimeMin        = time.Second
	faultTimeMax        = 25 * time.Second
	maxConcurrentFaults = 4
)

// fault is one kind of fault.
type fault struct {
	name       string
	holdsBytes bool // holds traffic of the network
	// begin starts the fault and returns the function that ends it.
	begin func(s *schedule, r *rand.Rand) (end func())
}

func noop() {}

// schedule injects random faults derived from a seed.
type schedule struct {
	world   *World
	monitor *monitor
	callers *callers
	ops     *operators
	ctx     context.Context
	tasks   sync.WaitGroup

	mu sync.Mutex
	// cutOffFaults counts a daemon's active faults that cut it off;
	// reconnectedAt is when the last one ended.
	cutOffFaults  map[*daemonHost]int
	reconnectedAt map[*daemonHost]time.Time
	// minoritySince is since when a daemon has been in a minority of the
	// daemons that can't reach the log. Only the sampling uses it.
	minoritySince map[*daemonHost]time.Time
	// logDownFaults counts the active faults that make the log unavailable.
	logDownFaults int
}

func newSchedule(ctx context.Context, w *World, c *callers, o *operators) *schedule {
	return &schedule{world: w, monitor: w.monitor, callers: c, ops: o, ctx: ctx,
		cutOffFaults: map[*daemonHost]int{}, reconnectedAt: map[*daemonHost]time.Time{}, minoritySince: map[*daemonHost]time.Time{}}
}

// run injects faults until the given time, then waits until all have ended.
func (s *schedule) run(r *rand.Rand, until time.Time) {
	defer s.tasks.Wait()
	slots := make(chan struct{}, maxConcurrentFaults)
	for time.Now().Before(until) && s.ctx.Err() == nil {
		f := faults[r.IntN(len(faults))]
		source := rand.New(rand.NewPCG(r.Uint64(), r.Uint64()))
		duration := randomDuration(r, faultTimeMin, faultTimeMax)
		slots <- struct{}{}
		s.tasks.Go(func() {
			s.inject(f, source, duration)
			<-slots
		})
		sleep(s.ctx, randomDuration(r, faultGapMin, faultGapMax))
	}
}

// runWithLongFault is run with a long fault in addition.
func (s *schedule) runWithLongFault(long longFault, r *rand.Rand, until time.Time) {
	duration := min(randomDuration(r, long.min, long.max), time.Until(until)+faultTimeMax)
	source := rand.New(rand.NewPCG(r.Uint64(), r.Uint64()))
	s.tasks.Go(func() { s.inject(long.fault, source, duration) })
	s.run(r, until)
}

func randomDuration(r *rand.Rand, low, high time.Duration) time.Duration {
	return low + time.Duration(r.Int64N(int64(high-low)))
}

func (s *schedule) inject(f fault, r *rand.Rand, duration time.Duration) {
	recordEnd := s.monitor.recordFault(f.name, f.holdsBytes)
	end := f.begin(s, r)
	sleep(s.ctx, duration)
	end()
	recordEnd()
}

// markCutOff records that a daemon is cut off until restore is called.
func (s *schedule) markCutOff(d *daemonHost) (restore func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cutOffFaults[d]++
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.cutOffFaults[d]--
		s.reconnectedAt[d] = time.Now()
	}
}

// reachableSince returns since when a daemon has been able to reach the log or
// its peers. It returns false if the daemon is stopped or cut off.
func (s *schedule) reachableSince(d *daemonHost) (time.Time, bool) {
	running, up := d.daemon()
	s.mu.Lock()
	defer s.mu.Unlock()
	since := s.reconnectedAt[d]
	if up.After(since) {
		since = up
	}
	return since, running != nil && s.cutOffFaults[d] == 0
}

func (s *schedule) daemon(r *rand.Rand) *daemonHost {
	return s.world.daemons[r.IntN(len(s.world.daemons))]
}

func (s *schedule) engine(r *rand.Rand) *engineHost {
	return s.world.engines[r.IntN(len(s.world.engines))]
}

func (s *schedule) plain(r *rand.Rand) *plainHost {
	return s.world.plains[r.IntN(len(s.world.plains))]
}

// cut cuts a random direction, or both, between two hosts.
func (s *schedule) cut(r *rand.Rand, a, b string) (end func()) {
	switch r.IntN(3) {
	case 0:
		s.world.net.Cut(a, b)
	case 1:
		s.world.net.Cut(b, a)
	default:
		s.world.net.CutBoth(a, b)
	}
	return func() { s.world.net.Heal(a, b) }
}

// setLog changes the log's faults. Overlapping faults of the log keep each
// other's changes.
func (s *schedule) setLog(change func(f *platform.LogFaults)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := s.world.platform.Log.Faults()
	change(&f)
	f.Down = s.logDownFaults > 0
	s.world.platform.Log.SetFaults(f)
}

// logDown makes the log unavailable until end is called, or longer if another
// fault does so too.
func (s *schedule) logDown() (end func()) {
	s.setLog(func(*platform.LogFaults) { s.logDownFaults++ })
	return func() { s.setLog(func(*platform.LogFaults) { s.logDownFaults-- }) }
}

func (s *schedule) engineFault(r *rand.Rand, change func(f *engine.Faults)) {
	for range 3 {
		s.engine(r).setFaults(change)
	}
}

// faults are the kinds of short faults, all equally likely.
var faults = []fault{
	{"daemon killed", false, func(s *schedule, r *rand.Rand) func() {
		d := s.daemon(r)
		d.kill()
		return func() { _ = d.start() }
	}},
	{"daemon frozen", true, func(s *schedule, r *rand.Rand) func() {
		d := s.daemon(r)
		restore := s.markCutOff(d)
		s.world.net.Freeze(d.ip)
		return func() { s.world.net.Thaw(d.ip); restore() }
	}},
	{"daemon stopped as planned", false, func(s *schedule, r *rand.Rand) func() {
		d := s.daemon(r)
		d.drain()
		return func() { _ = d.start() }
	}},
	{"cut between daemons", true, func(s *schedule, r *rand.Rand) func() {
		return s.cut(r, s.daemon(r).ip, s.daemon(r).ip)
	}},
	{"daemon cut from the log", true, func(s *schedule, r *rand.Rand) func() {
		return s.cut(r, s.daemon(r).ip, platformIP)
	}},
	{"daemon cut from log and peers", true, func(s *schedule, r *rand.Rand) func() {
		d := s.daemon(r)
		restore := s.markCutOff(d)
		s.world.net.CutBoth(d.ip, platformIP)
		for _, other := range s.world.daemons {
			s.world.net.CutBoth(d.ip, other.ip)
		}
		return func() {
			s.world.net.Heal(d.ip, platformIP)
			for _, other := range s.world.daemons {
				s.world.net.Heal(d.ip, other.ip)
			}
			restore()
		}
	}},
	{"daemon cut from an engine", true, func(s *schedule, r *rand.Rand) func() {
		return s.cut(r, s.daemon(r).ip, s.engine(r).ip)
	}},
	{"log down", false, func(s *schedule, _ *rand.Rand) func() {
		return s.logDown()
	}},
	{"log slow", false, func(s *schedule, r *rand.Rand) func() {
		delay := randomDuration(r, 200*time.Millisecond, 3*time.Second)
		s.setLog(func(f *platform.LogFaults) { f.Delay = delay })
		return func() { s.setLog(func(f *platform.LogFaults) { f.Delay = 0 }) }
	}},
	{"log answers lost", false, func(s *schedule, r *rand.Rand) func() {
		lose := 1 + r.IntN(20)
		s.setLog(func(f *platform.LogFaults) { f.LoseResponses = lose })
		return noop
	}},
	{"list down", false, func(s *schedule, _ *rand.Rand) func() {
		s.world.platform.Instances.SetDown(true)
		return func() { s.world.platform.Instances.SetDown(false) }
	}},
	{"engine killed", false, func(s *schedule, r *rand.Rand) func() {
		e := s.engine(r)
		e.kill()
		return func() { _ = e.start() }
	}},
	{"engine frozen", true, func(s *schedule, r *rand.Rand) func() {
		e := s.engine(r)
		e.setFaults(func(f *engine.Faults) { f.Frozen = true })
		return func() { e.setFaults(func(f *engine.Faults) { f.Frozen = false }) }
	}},
	{"engine straggles", false, func(s *schedule, r *rand.Rand) func() {
		e := s.engine(r)
		e.setFaults(func(f *engine.Faults) { f.Straggle = 20 })
		return func() { e.setFaults(func(f *engine.Faults) { f.Straggle = 0 }) }
	}},
	{"engine leaves", false, func(s *schedule, r *rand.Rand) func() {
		e := s.engine(r)
		e.setFaults(func(f *engine.Faults) { f.Leaving = true })
		return func() { e.kill(); _ = e.start() }
	}},
	{"fabric domain dark", false, func(s *schedule, r *rand.Rand) func() {
		fabric := s.engine(r).fabric
		each := func(f func(*engineHost)) {
			for _, e := range s.world.engines {
				if e.fabric == fabric {
					f(e)
				}
			}
		}
		each((*engineHost).kill)
		return func() { each(func(e *engineHost) { _ = e.start() }) }
	}},
	{"answers truncated", false, func(s *schedule, r *rand.Rand) func() {
		s.engineFault(r, func(f *engine.Faults) { f.Truncate = 2 })
		return noop
	}},
	{"answers crossed", false, func(s *schedule, r *rand.Rand) func() {
		s.engineFault(r, func(f *engine.Faults) { f.Cross = 2 })
		s.plain(r).setFaults(func(f *plain.Faults) { f.Cross = 2 })
		return noop
	}},
	{"answers doubled", false, func(s *schedule, r *rand.Rand) func() {
		s.engineFault(r, func(f *engine.Faults) { f.Duplicate = 2 })
		return noop
	}},
	{"answers late", false, func(s *schedule, r *rand.Rand) func() {
		s.engineFault(r, func(f *engine.Faults) { f.Late, f.LateDelayMS = 2, 4000 })
		p := s.plain(r)
		p.setFaults(func(f *plain.Faults) { f.DelayMS = 4000 })
		return func() { p.setFaults(func(f *plain.Faults) { f.DelayMS = 0 }) }
	}},
	{"plain answers lost", false, func(s *schedule, r *rand.Rand) func() {
		s.plain(r).setFaults(func(f *plain.Faults) { f.LoseAnswers = 3 })
		return noop
	}},
	{"plain server killed", false, func(s *schedule, r *rand.Rand) func() {
		p := s.plain(r)
		p.kill()
		return func() { _ = p.start() }
	}},
	{"plain server leaves", false, func(s *schedule, r *rand.Rand) func() {
		p := s.plain(r)
		p.setFaults(func(f *plain.Faults) { f.Leaving = true })
		return func() { p.kill(); _ = p.start() }
	}},
	{"crashing request", false, func(s *schedule, r *rand.Rand) func() {
		s.callers.crash(s.ctx, r)
		return noop
	}},
	{"operators race", false, func(s *schedule, r *rand.Rand) func() {
		s.ops.race(s.ctx, r)
		return noop
	}},
	{"instance listed as leaving", false, func(s *schedule, r *rand.Rand) func() {
		id := fleet.InstanceID(s.engine(r).id())
		s.world.platform.Instances.SetLeaving(id, true)
		return func() { s.world.platform.Instances.SetLeaving(id, false) }
	}},
}
