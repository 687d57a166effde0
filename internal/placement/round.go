package placement

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
	"time"

	"carawayproxy.example/caraway/internal/fleet"
	"carawayproxy.example/caraway/internal/group"
)

// condition is what the planner finds about one group.
type groupState struct {
	group       *group.Group
	composition []group.Member
	hist        *groupHistory
	whole       bool
	lost        []int // ranks of the composition whose instance is lost
	leaving     bool  // a member is leaving
	slow        bool  // a member is a straggler
	wanted      *Wanted
	healthy     uint32 // accelerators of the members that are not lost
}

func (c *groupState) broken() bool   { return len(c.lost) > 0 }
func (c *groupState) draining() bool { return c.group.Phase == group.PhaseDraining }

// loading reports whether the group only waits for its engines.
func (c *groupState) loading() bool { return !c.whole && !c.broken() }

// round is one run of the planner over one snapshot.
type round struct {
	policy          Policy
	hist            *history
	snap            Snapshot
	now             time.Time
	groups          []*groupState // of the scope, by id
	free            map[fleet.InstanceID]bool
	placed          map[fleet.InstanceID]bool // given a place in this round
	failedDomains   map[fleet.FabricDomain]bool
	dissolvedDonors map[*groupState]bool // taken apart for another group
	loads           int                  // groups that load now or by this plan
	loadBudget      int                  // loads that this plan may still begin
	formed          int                  // groups formed by this plan
	actions         []Action
}

// Report implements group.Reports over the instances that are alive.
func (r *round) Report(id fleet.InstanceID) (fleet.Report, bool) {
	st, ok := r.snap.Instances[id]
	return st.Report, ok && st.Alive
}

func newRound(p Policy, h *history, s Snapshot, now time.Time, loadBudget int) *round {
	r := &round{policy: p, hist: h, snap: s, now: now, loadBudget: loadBudget}
	r.free = map[fleet.InstanceID]bool{}
	r.placed = map[fleet.InstanceID]bool{}
	r.dissolvedDonors = map[*groupState]bool{}
	r.findFailedDomains()
	for _, id := range slices.Sorted(maps.Keys(s.Groups.Groups)) {
		g := s.Groups.Groups[id]
		if g.Scope == s.Scope {
			r.groups = append(r.groups, r.examine(g))
		}
	}
	r.findFree()
	for _, c := range r.groups {
		if c.loading() && !c.draining() {
			r.loads++
		}
	}
	r.loads = max(r.loads, s.LoadsRunning)
	return r
}

// examine finds out how a group is.
func (r *round) examine(g *group.Group) *groupState {
	c := &groupState{group: g, composition: group.Compose(g, r), wanted: r.wantedOf(g)}
	c.whole = group.Whole(g, r, r.now, r.policy.Freshness).Whole
	for rank, m := range c.composition {
		st, known := r.snap.Instances[m.Instance]
		if !known || !st.Alive || st.Ejected {
			c.lost = append(c.lost, rank)
			continue
		}
		c.healthy += m.Accelerators
		c.leaving = c.leaving || st.Instance.Leaving || st.Report.Leaving
	}
	c.slow = r.markSlow(c)
	c.hist = r.hist.observeGroup(c, r.now)
	return c
}

// markSlow compares the rates of a group's members and reports whether one is
// a straggler.
func (r *round) markSlow(c *groupState) bool {
	var rates []float64
	for _, m := range c.composition {
		rep, _ := r.Report(m.Instance)
		rates = append(rates, rep.TokensPerSecond)
	}
	sorted := slices.Sorted(slices.Values(rates))
	bound := sorted[len(sorted)/2] * r.policy.StragglerShare
	slow := false
	for i, m := range c.composition {
		ih := r.hist.instance(m.Instance, r.now)
		ih.markSlow(r.policy, c.whole && rates[i] < bound, r.now)
		slow = slow || ih.isSlow(r.policy, r.now)
	}
	return slow
}

// wantedOf returns what the group is for, nil when nothing wants it as it is.
func (r *round) wantedOf(g *group.Group) *Wanted {
	for i := range r.snap.Wanted {
		w := &r.snap.Wanted[i]
		same := w.Service == g.Service && w.Model == g.Model && w.Version == g.Version && w.Role == g.Role
		if same && w.Size == len(g.Members) && sameAdapters(w.Adapters, g.Adapters) {
			return w
		}
	}
	return nil
}

func sameAdapters(a, b []fleet.Adapter) bool {
	return slices.Equal(slices.Sorted(slices.Values(a)), slices.Sorted(slices.Values(b)))
}

// findDark notes the fabric domains of which nearly all instances are lost.
func (r *round) findFailedDomains() {
	all := map[fleet.FabricDomain]int{}
	lost := map[fleet.FabricDomain]int{}
	for _, st := range r.snap.Instances {
		if !st.Listed || st.Instance.Kind != fleet.KindEngine {
			continue
		}
		all[st.Instance.Fabric]++
		if !st.Alive {
			lost[st.Instance.Fabric]++
		}
	}
	r.failedDomains = map[fleet.FabricDomain]bool{}
	for f, n := range all {
		r.failedDomains[f] = n > 1 && float64(lost[f]) >= r.policy.DarkShare*float64(n)
	}
	for id, st := range r.snap.Instances {
		if r.failedDomains[st.Instance.Fabric] {
			r.hist.instance(id, r.now).discardCurrentLoss()
		}
	}
}

// findFree notes the instances that may be given a place.
func (r *round) findFree() {
	for id, st := range r.snap.Instances {
		if _, taken := r.snap.Groups.ByInstance[id]; taken {
			continue
		}
		if r.isUsable(id, st) {
			r.free[id] = true
		}
	}
}

// usable reports whether an instance may take a place in a group.
func (r *round) isUsable(id fleet.InstanceID, st InstanceState) bool {
	return isAvailable(st) && !st.MustLeave && !r.hist.instance(id, r.now).isExcluded(r.policy, r.now)
}

// present reports whether an instance is an engine that is there to stay, be
// it unsteady or not.
func isAvailable(st InstanceState) bool {
	in := st.Instance
	return in.Kind == fleet.KindEngine && st.Listed && st.Alive && !in.Leaving && !st.Report.Leaving
}

// occupy takes an instance out of the free ones.
func (r *round) occupy(id fleet.InstanceID) {
	delete(r.free, id)
	r.placed[id] = true
}

// admitShunned makes the shunned instances of a pool free as well: a group of
// unsteady instances is better than none.
func (r *round) admitExcluded(pool fleet.Pool) {
	for id, st := range r.snap.Instances {
		if _, taken := r.snap.Groups.ByInstance[id]; taken || r.placed[id] {
			continue
		}
		if st.Instance.Pool == pool && isAvailable(st) && !st.MustLeave {
			r.free[id] = true
		}
	}
}

// freeIn returns the free instances of a pool and fabric domain, those first
// that have the model at hand, then steady ones.
func (r *round) freeIn(pool fleet.Pool, f fleet.FabricDomain, model string) []fleet.InstanceID {
	var ids []fleet.InstanceID
	for id := range r.free {
		in := r.snap.Instances[id].Instance
		if in.Pool == pool && in.Fabric == f {
			ids = append(ids, id)
		}
	}
	losses := func(id fleet.InstanceID) int {
		return r.hist.instance(id, r.now).recentLosses(r.policy.FlapWindow, r.now)
	}
	slices.SortFunc(ids, func(a, b fleet.InstanceID) int {
		return cmp.Or(cmp.Compare(r.loadOrder(a, model), r.loadOrder(b, model)), cmp.Compare(losses(a), losses(b)), cmp.Compare(a, b))
	})
	return ids
}

// member makes the group member of an instance.
func (r *round) member(id fleet.InstanceID) group.Member {
	in := r.snap.Instances[id].Instance
	return group.Member{
		Instance:      id,
		Address:       in.Address,
		Zone:          in.Zone,
		Accelerators:  in.Accelerators,
		ChecksFencing: in.ChecksFencing,
		Fabric:        in.Fabric,
	}
}

// canLoad reports whether the weight store has room for one more load.
func (r *round) canLoad() bool { return r.loads < r.policy.MaxLoads && r.loadBudget > 0 }

// startLoad takes one place at the weight store.
func (r *round) startLoad() {
	r.loads++
	r.loadBudget--
}

// nearness orders instances by how long they need for a model: those that have
// it at hand, those that have none, those that would give another one up.
func (r *round) loadOrder(id fleet.InstanceID, model string) time.Duration {
	near := r.snap.Instances[id].LocalLoadTimes
	if took, ok := near[model]; ok {
		return took
	}
	if len(near) == 0 {
		return math.MaxInt64 - 1
	}
	return math.MaxInt64
}

// nearIn counts the free instances of a fabric domain that have a service's
// model at hand.
func (r *round) countWithModel(w *Wanted, f fleet.FabricDomain) int {
	n := 0
	for _, id := range r.freeIn(w.Pool, f, w.Model) {
		if _, ok := r.snap.Instances[id].LocalLoadTimes[w.Model]; ok {
			n++
		}
	}
	return n
}

// nearOnly reports whether only instances that have its model at hand may be
// placed in a group.
func (r *round) localOnly() bool { return r.policy.NearOnly && !r.snap.FastLoads }

// dropFar leaves out the instances that would have to load a model.
func (r *round) keepWithModel(ids []fleet.InstanceID, model string) []fleet.InstanceID {
	return slices.DeleteFunc(ids, func(id fleet.InstanceID) bool {
		_, near := r.snap.Instances[id].LocalLoadTimes[model]
		return !near
	})
}

// roomFor lists the free instances of a fabric domain that a whole new group
// may take. Instances that have another model at hand are what its groups are
// repaired with: they are taken only when they complete a group of which half
// has its own model at hand.
func (r *round) candidates(w *Wanted, f fleet.FabricDomain) []fleet.InstanceID {
	ids := r.freeIn(w.Pool, f, w.Model)
	if r.localOnly() {
		return r.keepWithModel(ids, w.Model)
	}
	own := r.countWithModel(w, f)
	if 2*own >= w.Size && own > 0 {
		return ids
	}
	return slices.DeleteFunc(ids, func(id fleet.InstanceID) bool { return r.loadOrder(id, w.Model) == math.MaxInt64 })
}

// timeFor is how long the instances need to be ready for a service together,
// and whether one of them loads from the weight store.
func (r *round) startupTime(w *Wanted, ids []fleet.InstanceID) (took time.Duration, loads bool) {
	for _, id := range ids {
		near, ok := r.snap.Instances[id].LocalLoadTimes[w.Model]
		if !ok {
			return r.loadTime(w), true
		}
		took = max(took, near)
	}
	return took, len(ids) == 0
}

// loadTime is how long a load would take that is asked for now.
func (r *round) loadTime(w *Wanted) time.Duration {
	turns := 1 + r.loads/r.policy.MaxLoads
	return time.Duration(turns) * w.LoadTime
}

func (r *round) weights(w *Wanted) Weights {
	if w == nil || w.Weights == (Weights{}) {
		return r.policy.Weights
	}
	return w.Weights
}

func (r *round) add(a Action) { r.actions = append(r.actions, a) }

// wait adds the decision to leave a group as it is.
func (r *round) wait(c *groupState, reason string, args ...any) {
	r.add(Action{Kind: ActionWait, Service: c.group.Service, Group: c.group, Reason: fmt.Sprintf(reason, args...)})
}
