package placementexp

import (
	"math/rand/v2"
	"time"

	"carawayproxy.example/caraway/internal/group"
	"carawayproxy.example/caraway/internal/placement"
)

const (
	step = time.Second
	// stir is how long steps are short after something happened, changing the
	// longest step while a group is down or a loss lasts.
	stir     = 6 * time.Second
	changing = 5 * time.Second
)

// Result is what one run measured after the first groups had loaded.
type Result struct {
	Scenario string
	Policy   string
	Seed     uint64
	// Downtime is in seconds, summed over the wanted groups that can't serve.
	Downtime float64
	// Slow is the downtime that equals what stragglers took, in seconds.
	Slow float64
	// Stranded is in accelerator-seconds: healthy accelerators of groups
	// that can't serve.
	Stranded float64
	// Idle is in accelerator-seconds: all healthy accelerators that do not
	// serve, free ones and reserved ones included.
	Idle   float64
	Loads  int // engines that loaded weights
	Cut    int // requests in flight when their group was ended by a plan
	Losses int
	Halted bool
	Whole  int // groups of the version wanted at the end
}

// Cost weighs the measures.
func (r Result) Cost(w placement.Weights) float64 {
	return w.Downtime*(r.Downtime+r.Slow) + w.Stranded*r.Stranded
}

// Run runs one scenario with one policy. Runs of the same seed and scenario
// meet the same losses.
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
	r.losses = s.losses(rand.New(rand.NewPCG(seed, 1)), s)
	r.result.Losses = len(r.losses)
	r.world.loads = 0
	for r.past() < s.Length {
		r.advance(r.stepLength())
	}
	r.result.Loads, r.result.Cut = r.world.loads, r.world.cut
	r.result.Whole = r.wholeOfVersion()
	return r.result
}

// runner is the state of one run.
type runner struct {
	scenario Scenario
	world    *world
	planner  *placement.Planner
	weights  placement.Weights
	result   Result
	start    time.Time
	losses   []loss // not begun, by time
	ongoing  []loss
	returned int
	busy     bool
	stirred  time.Duration // when something last happened
	truth    placement.Snapshot
	current  placement.Measure
}

func (r *runner) past() time.Duration { return r.world.now.Sub(r.start) }

// warmUp lets the first groups form and load; the measures begin after it.
func (r *runner) warmUp() {
	for r.current.Whole < wantedGroups || r.busy {
		r.plan(false)
		r.world.now = r.world.now.Add(step)
		r.world.load(step)
	}
}

// stepLength is the time until the next event, short while the fleet changes.
func (r *runner) stepLength() time.Duration {
	next := r.scenario.Length
	if r.busy || len(r.ongoing) > 0 {
		next = r.past() + changing
		if r.past() < r.stirred+stir {
			next = r.past() + step
		}
	}
	if len(r.losses) > 0 {
		next = min(next, r.losses[0].at)
	}
	for _, l := range r.ongoing {
		next = min(next, l.ends)
	}
	for _, at := range []time.Duration{r.scenario.Rollout, r.scenario.LogDownFrom, r.scenario.LogDownTo} {
		if at > r.past() {
			next = min(next, at)
		}
	}
	return max(step, (next - r.past()).Truncate(step))
}

// advance lets some time pass and plans at its end.
func (r *runner) advance(d time.Duration) {
	r.measure(d)
	r.world.now = r.world.now.Add(d)
	r.world.load(d)
	r.events()
	r.plan(r.past() >= r.scenario.LogDownFrom && r.past() < r.scenario.LogDownTo)
	r.world.forget()
}

// events begins and ends losses and starts the rollout.
func (r *runner) events() {
	var still []loss
	for _, l := range r.ongoing {
		if l.ends <= r.past() {
			r.returned++
			r.stirred = r.past()
			r.world.end(l, r.returned)
		} else {
			still = append(still, l)
		}
	}
	r.ongoing = still
	for len(r.losses) > 0 && r.losses[0].at <= r.past() {
		r.world.begin(r.losses[0])
		r.ongoing = append(r.ongoing, r.losses[0])
		r.stirred = r.past()
		r.losses = r.losses[1:]
	}
	if r.scenario.Rollout > 0 && r.past() >= r.scenario.Rollout {
		r.world.version = "v2"
	}
}

// plan runs the planner once and carries its actions out.
func (r *runner) plan(logDown bool) {
	truth := r.world.snapshot(r.weights, logDown, true)
	r.truth = truth
	r.current = placement.MeasureServices(truth, r.world.now, 0)[service]
	seen := truth
	if r.world.undetected() {
		seen = r.world.snapshot(r.weights, logDown, false)
	}
	seen.InFlight = r.world.inFlights(truth)
	r.world.releaseStrays(seen)
	actions := r.planner.Plan(seen, r.world.now)
	for _, a := range actions {
		r.result.Halted = r.result.Halted || a.Kind == placement.ActionHalt
		if a.Kind != placement.ActionWait && a.Kind != placement.ActionHalt {
			r.stirred = r.past()
		}
		r.world.take(a, truth)
	}
	r.world.order(seen)
	r.busy = len(actions) > 0 || r.current.Down() > 0 || len(r.world.drained) > 0 || r.outdated()
}

// outdated reports whether a group of another version than the wanted stands.
func (r *runner) outdated() bool {
	for _, g := range r.truth.Groups.Groups {
		if g.Version != r.world.version {
			return true
		}
	}
	return false
}

// measure adds up the time that passes now.
func (r *runner) measure(d time.Duration) {
	healthy := 0
	for _, e := range r.world.engines {
		if !e.down {
			healthy += accelerators
		}
	}
	sec := d.Seconds()
	r.result.Downtime += float64(r.current.Down()) * sec
	r.result.Stranded += float64(r.current.Stranded) * sec
	r.result.Idle += float64(healthy-r.serving()*groupSize*accelerators) * sec
	r.result.Slow += r.world.slow(r.truth) * sec
}

// serving counts the whole groups, whatever their version.
func (r *runner) serving() int {
	n := 0
	for _, g := range r.truth.Groups.Groups {
		if group.Whole(g, reports(r.truth.Instances), r.world.now, time.Hour).Whole {
			n++
		}
	}
	return n
}

// wholeOfVersion counts the whole groups of the version wanted.
func (r *runner) wholeOfVersion() int {
	n := 0
	for _, g := range r.truth.Groups.Groups {
		if g.Version == r.world.version && group.Whole(g, reports(r.truth.Instances), r.world.now, time.Hour).Whole {
			n++
		}
	}
	return n
}
