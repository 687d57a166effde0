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

// Bounds of the schedule.
const (
	faultGapMin  = 2 * time.Second
	faultGapMax  = 12 * time.Second
	faultLastMin = time.Second
	faultLastMax = 25 * time.Second
	maxTogether  = 4 // faults that overlap
)

// fault is one kind of fault: it begins, lasts and ends.
type fault struct {
	name       string
	holdsBytes bool // keeps bytes of the network back
	// begin starts the fault and returns what ends it.
	begin func(s *schedule, r *rand.Rand) (end func())
}

func nothing() {}

// schedule injects faults by a seed.
type schedule struct {
	world   *World
	watch   *watch
	callers *callers
	ops     *operators
	ctx     context.Context
	tasks   sync.WaitGroup

	mu sync.Mutex
	// lost is since when a daemon has had no fault that cuts it off.
	lost map[*daemonHost]int
	back map[*daemonHost]time.Time
	// apart is since when a daemon was found in a small part of the daemons
	// that has lost the log; of the sampling alone.
	apart map[*daemonHost]time.Time
	// down counts the faults that keep the log down.
	down int
}

func newSchedule(ctx context.Context, w *World, c *callers, o *operators) *schedule {
	return &schedule{world: w, watch: w.watch, callers: c, ops: o, ctx: ctx,
		lost: map[*daemonHost]int{}, back: map[*daemonHost]time.Time{}, apart: map[*daemonHost]time.Time{}}
}

// run injects faults until the time, then waits until all have ended.
func (s *schedule) run(r *rand.Rand, until time.Time) {
	defer s.tasks.Wait()
	together := make(chan struct{}, maxTogether)
	for time.Now().Before(until) && s.ctx.Err() == nil {
		f := faults[r.IntN(len(faults))]
		source := rand.New(rand.NewPCG(r.Uint64(), r.Uint64()))
		lasts := between(r, faultLastMin, faultLastMax)
		together <- struct{}{}
		s.tasks.Go(func() {
			s.inject(f, source, lasts)
			<-together
		})
		pause(s.ctx, between(r, faultGapMin, faultGapMax))
	}
}

// runWith injects a long fault beside the others.
func (s *schedule) runWith(long longFault, r *rand.Rand, until time.Time) {
	lasts := min(between(r, long.min, long.max), time.Until(until)+faultLastMax)
	source := rand.New(rand.NewPCG(r.Uint64(), r.Uint64()))
	s.tasks.Go(func() { s.inject(long.fault, source, lasts) })
	s.run(r, until)
}

func between(r *rand.Rand, low, high time.Duration) time.Duration {
	return low + time.Duration(r.Int64N(int64(high-low)))
}

func (s *schedule) inject(f fault, r *rand.Rand, lasts time.Duration) {
	over := s.watch.fault(f.name, f.holdsBytes)
	end := f.begin(s, r)
	pause(s.ctx, lasts)
	end()
	over()
}

// cutOff notes that a daemon is cut off until the returned function is
// called.
func (s *schedule) cutOff(d *daemonHost) (restore func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lost[d]++
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.lost[d]--
		s.back[d] = time.Now()
	}
}

// reachableSince is since when a daemon has been able to learn what others
// know; false while it is not.
func (s *schedule) reachableSince(d *daemonHost) (time.Time, bool) {
	running, up := d.daemon()
	s.mu.Lock()
	defer s.mu.Unlock()
	since := s.back[d]
	if up.After(since) {
		since = up
	}
	return since, running != nil && s.lost[d] == 0
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

// cut cuts one direction or both between two hosts.
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

// setLog changes the log's switches; faults of the log that overlap leave each
// other's in place.
func (s *schedule) setLog(change func(f *platform.LogFaults)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := s.world.platform.Log.Faults()
	change(&f)
	f.Down = s.down > 0
	s.world.platform.Log.SetFaults(f)
}

// logDown takes the log down until the returned function is called, and longer
// if another fault keeps it down.
func (s *schedule) logDown() (end func()) {
	s.setLog(func(*platform.LogFaults) { s.down++ })
	return func() { s.setLog(func(*platform.LogFaults) { s.down-- }) }
}

func (s *schedule) engineFault(r *rand.Rand, change func(f *engine.Faults)) {
	for range 3 {
		s.engine(r).set(change)
	}
}

// faults are the short kinds, equally likely.
var faults = []fault{
	{"daemon killed", false, func(s *schedule, r *rand.Rand) func() {
		d := s.daemon(r)
		d.kill()
		return func() { _ = d.start() }
	}},
	{"daemon frozen", true, func(s *schedule, r *rand.Rand) func() {
		d := s.daemon(r)
		restore := s.cutOff(d)
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
		restore := s.cutOff(d)
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
		delay := between(r, 200*time.Millisecond, 3*time.Second)
		s.setLog(func(f *platform.LogFaults) { f.Delay = delay })
		return func() { s.setLog(func(f *platform.LogFaults) { f.Delay = 0 }) }
	}},
	{"log answers lost", false, func(s *schedule, r *rand.Rand) func() {
		lose := 1 + r.IntN(20)
		s.setLog(func(f *platform.LogFaults) { f.LoseAnswers = lose })
		return nothing
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
		e.set(func(f *engine.Faults) { f.Frozen = true })
		return func() { e.set(func(f *engine.Faults) { f.Frozen = false }) }
	}},
	{"engine straggles", false, func(s *schedule, r *rand.Rand) func() {
		e := s.engine(r)
		e.set(func(f *engine.Faults) { f.Straggle = 20 })
		return func() { e.set(func(f *engine.Faults) { f.Straggle = 0 }) }
	}},
	{"engine leaves", false, func(s *schedule, r *rand.Rand) func() {
		e := s.engine(r)
		e.set(func(f *engine.Faults) { f.Leaving = true })
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
		return nothing
	}},
	{"answers crossed", false, func(s *schedule, r *rand.Rand) func() {
		s.engineFault(r, func(f *engine.Faults) { f.Cross = 2 })
		s.plain(r).set(func(f *plain.Faults) { f.Cross = 2 })
		return nothing
	}},
	{"answers doubled", false, func(s *schedule, r *rand.Rand) func() {
		s.engineFault(r, func(f *engine.Faults) { f.Duplicate = 2 })
		return nothing
	}},
	{"answers late", false, func(s *schedule, r *rand.Rand) func() {
		s.engineFault(r, func(f *engine.Faults) { f.Late, f.LateDelayMS = 2, 4000 })
		p := s.plain(r)
		p.set(func(f *plain.Faults) { f.DelayMS = 4000 })
		return func() { p.set(func(f *plain.Faults) { f.DelayMS = 0 }) }
	}},
	{"plain answers lost", false, func(s *schedule, r *rand.Rand) func() {
		s.plain(r).set(func(f *plain.Faults) { f.LoseAnswers = 3 })
		return nothing
	}},
	{"plain server killed", false, func(s *schedule, r *rand.Rand) func() {
		p := s.plain(r)
		p.kill()
		return func() { _ = p.start() }
	}},
	{"plain server leaves", false, func(s *schedule, r *rand.Rand) func() {
		p := s.plain(r)
		p.set(func(f *plain.Faults) { f.Leaving = true })
		return func() { p.kill(); _ = p.start() }
	}},
	{"crashing request", false, func(s *schedule, r *rand.Rand) func() {
		s.callers.crash(s.ctx, r)
		return nothing
	}},
	{"operators race", false, func(s *schedule, r *rand.Rand) func() {
		s.ops.race(s.ctx, r)
		return nothing
	}},
	{"instance listed as leaving", false, func(s *schedule, r *rand.Rand) func() {
		id := fleet.InstanceID(s.engine(r).id())
		s.world.platform.Instances.SetLeaving(id, true)
		return func() { s.world.platform.Instances.SetLeaving(id, false) }
	}},
}
