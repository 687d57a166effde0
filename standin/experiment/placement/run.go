package placementexp

import (
	"math/rand/v2"
	"time"

	"carawayproxy.example/caraway/internal/group"
	"carawayproxy.example/caraway/internal/placement"
)

const (
	step = time.Second
	// shortStepPeriod is how long the step stays short after a change. changingStep
	// is the longest step while a group is down or a loss is ongoing.
	shortStepPeriod = 6 * time.Second
	changingStep    = 5 * time.Second
)

// Result holds the measures of one run, taken after the initial load of all groups.
type Result struct {
	Scenario string
	Policy   string
	Seed     uint64
	// Downtime is in seconds, summed over the wanted groups that cannot serve.
	Downtime float64
	// Slow is the downtime equivalent to the throughput lost to stragglers, in
	// seconds.
	Slow float64
	// Stranded is in accelerator-seconds: healthy accelerators of groups that
	// cannot serve.
	Stranded float64
	// Idle is in accelerator-seconds: all healthy accelerators that do not
	// serve, including free and reserved ones.
	Idle        float64
	Loads       int // engines that loaded weights
	CutRequests int // requests in flight in groups that a plan ended
	Losses      int
	Halted      bool
	Whole       int // whole groups of the wanted version at the end
}

// Cost returns the weighted sum of the downtime and the stranded accelerators.
func (r Result) Cost(w placement.Weights) float64 {
	return w.Downtime*(r.Downtime+r.Slow) + w.Stranded*r.Stranded
}

// Run simulates one scenario under one policy. Runs with the same seed and
// scenario have the same losses.
func Run(seed uint64, s Scenario, name string, policy placement.Policy) Result {
	start := time.Unix(1_000_000, 0)
	policy.MaxLoads = s.MaxLoads
	r := &runner{
		scenario: s,
		world:    newWorld(s, start),
		planner:  placement.NewPlanner(policy),
		weights:  policy.WithDefaults().Weights,
		result:   Result{Scenario: s.Name, Policy: name, Seed: seed},
	}
	r.warmUp()
	r.start = r.world.now
	r.pending = s.losses(rand.New(rand.NewPCG(seed, 1)), s)
	r.result.Losses = len(r.pending)
	r.world.loads = 0
	for r.elapsed() < s.Length {
		r.advance(r.stepLength())
	}
	r.result.Loads, r.result.CutRequests = r.world.loads, r.world.cutCount
	r.result.Whole = r.countWholeOfVersion()
	return r.result
}

// runner is the state of one run.
type runner struct {
	scenario   Scenario
	world      *world
	planner    *placement.Planner
	weights    placement.Weights
	result     Result
	start      time.Time
	pending    []loss // not yet started, ordered by time
	ongoing    []loss
	generation int
	changing   bool
	lastChange time.Duration // time of the last event or action
	truth      placement.Snapshot
	current    placement.Measure
}

func (r *runner) elapsed() time.Duration { return r.world.now.Sub(r.start) }

// warmUp runs until the initial groups are whole; measuring starts after it.
func (r *runner) warmUp() {
	for r.current.Whole < wantedGroups || r.changing {
		r.plan(false)
		r.world.now = r.world.now.Add(step)
		r.world.advanceLoading(step)
	}
}

// stepLength returns the time until the next event, bounded while the fleet is
// changing.
func (r *runner) stepLength() time.Duration {
	next := r.scenario.Length
	if r.changing || len(r.ongoing) > 0 {
		next = r.elapsed() + changingStep
		if r.elapsed() < r.lastChange+shortStepPeriod {
			next = r.elapsed() + step
		}
	}
	if len(r.pending) > 0 {
		next = min(next, r.pending[0].at)
	}
	for _, l := range r.ongoing {
		next = min(next, l.ends)
	}
	for _, at := range []time.Duration{r.scenario.Rollout, r.scenario.LogDownFrom, r.scenario.LogDownTo} {
		if at > r.elapsed() {
			next = min(next, at)
		}
	}
	return max(step, (next - r.elapsed()).Truncate(step))
}

// advance advances time by d and then plans.
func (r *runner) advance(d time.Duration) {
	r.accumulate(d)
	r.world.now = r.world.now.Add(d)
	r.world.advanceLoading(d)
	r.applyEvents()
	r.plan(r.elapsed() >= r.scenario.LogDownFrom && r.elapsed() < r.scenario.LogDownTo)
	r.world.removeReplaced()
}

// applyEvents starts and ends losses and starts the rollout.
func (r *runner) applyEvents() {
	var remaining []loss
	for _, l := range r.ongoing {
		if l.ends <= r.elapsed() {
			r.generation++
			r.lastChange = r.elapsed()
			r.world.endLoss(l, r.generation)
		} else {
			remaining = append(remaining, l)
		}
	}
	r.ongoing = remaining
	for len(r.pending) > 0 && r.pending[0].at <= r.elapsed() {
		r.world.beginLoss(r.pending[0])
		r.ongoing = append(r.ongoing, r.pending[0])
		r.lastChange = r.elapsed()
		r.pending = r.pending[1:]
	}
	if r.scenario.Rollout > 0 && r.elapsed() >= r.scenario.Rollout {
		r.world.version = "v2"
	}
}

// plan runs the planner once and executes its actions.
func (r *runner) plan(logDown bool) {
	truth := r.world.snapshot(r.weights, logDown, true)
	r.truth = truth
	r.current = placement.MeasureServices(truth, r.world.now, 0)[service]
	seen := truth
	if r.world.hasUndetectedLoss() {
		seen = r.world.snapshot(r.weights, logDown, false)
	}
	seen.InFlight = r.world.inFlightByGroup(truth)
	r.world.releaseUnplaced(seen)
	actions := r.planner.Plan(seen, r.world.now)
	for _, a := range actions {
		r.result.Halted = r.result.Halted || a.Kind == placement.ActionHalt
		if a.Kind != placement.ActionWait && a.Kind != placement.ActionHalt {
			r.lastChange = r.elapsed()
		}
		r.world.execute(a, truth)
	}
	r.world.assignEngines(seen)
	r.changing = len(actions) > 0 || r.current.Down() > 0 || len(r.world.drained) > 0 || r.hasOutdatedGroup()
}

// hasOutdatedGroup reports whether a group of a version other than the wanted
// one exists.
func (r *runner) hasOutdatedGroup() bool {
	for _, g := range r.truth.Groups.Groups {
		if g.Version != r.world.version {
			return true
		}
	}
	return false
}

// accumulate adds the next d of the current state to the measures.
func (r *runner) accumulate(d time.Duration) {
	healthy := 0
	for _, e := range r.world.engines {
		if !e.down {
			healthy += accelerators
		}
	}
	sec := d.Seconds()
	r.result.Downtime += float64(r.current.Down()) * sec
	r.result.Stranded += float64(r.current.Stranded) * sec
	r.result.Idle += float64(healthy-r.countServing()*groupSize*accelerators) * sec
	r.result.Slow += r.world.stragglerLoss(r.truth) * sec
}

// countServing returns the number of whole groups of any version.
func (r *runner) countServing() int {
	n := 0
	for _, g := range r.truth.Groups.Groups {
		if group.Whole(g, reports(r.truth.Instances), r.world.now, time.Hour).Whole {
			n++
		}
	}
	return n
}

// countWholeOfVersion returns the number of whole groups of the wanted version.
func (r *runner) countWholeOfVersion() int {
	n := 0
	for _, g := range r.truth.Groups.Groups {
		if g.Version == r.world.version && group.Whole(g, reports(r.truth.Instances), r.world.now, time.Hour).Whole {
			n++
		}
	}
	return n
}
