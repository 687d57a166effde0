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

// groupState is the planner's view of one group in a round.
type groupState struct {
	group       *group.Group
	composition []group.Member
	hist        *groupHistory
	whole       bool
	lost        []int // ranks of the composition whose instance is lost
	leaving     bool  // a member is leaving
	slow        bool  // a member is a straggler
	wanted      *Wanted
	healthy     uint32 // accelerators of members that are not lost
}

func (c *groupState) broken() bool   { return len(c.lost) > 0 }
func (c *groupState) draining() bool { return c.group.Phase == group.PhaseDraining }

// loading reports whether the group lacks no member but is not ready yet.
func (c *groupState) loading() bool { return !c.whole && !c.broken() }

// round holds the state of one planning round over one snapshot.
type round struct {
	policy             Policy
	hist               *history
	snap               Snapshot
	now                time.Time
	groups             []*groupState // groups of the scope, ordered by id
	free               map[fleet.InstanceID]bool
	freeByFabric       map[fleet.FabricDomain][]fleet.InstanceID // every instance that has been in free
	placed             map[fleet.InstanceID]bool                 // assigned in this round
	failedDomains      map[fleet.FabricDomain]bool
	dissolvedForRepair map[*groupState]bool // dissolved to repair another group
	preempted          map[*groupState]bool // drained in this plan to repair another group
	awaited            map[*groupState]bool // broken, waits for the instances of a preempted group
	loads              int                  // groups that are loading or start loading in this plan
	loadBudget         int                  // loads that this plan may still start
	formed             int                  // groups formed by this plan
	actions            []Action
}

// Report implements group.Reports for the instances that are alive.
func (r *round) Report(id fleet.InstanceID) (fleet.Report, bool) {
	st, ok := r.snap.Instances[id]
	return st.Report, ok && st.Alive
}

func newRound(p Policy, h *history, s Snapshot, now time.Time, loadBudget int) *round {
	r := &round{policy: p, hist: h, snap: s, now: now, loadBudget: loadBudget}
	r.free, r.freeByFabric = map[fleet.InstanceID]bool{}, map[fleet.FabricDomain][]fleet.InstanceID{}
	r.placed = map[fleet.InstanceID]bool{}
	r.dissolvedForRepair = map[*groupState]bool{}
	r.preempted, r.awaited = map[*groupState]bool{}, map[*groupState]bool{}
	r.findFailedDomains()
	for _, id := range slices.Sorted(maps.Keys(s.Groups.Groups)) {
		g := s.Groups.Groups[id]
		if g.Scope == s.Scope && !s.isEvacuated(g) {
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

// examine determines the state of a group.
func (r *round) examine(g *group.Group) *groupState {
	c := &groupState{group: g, composition: group.ReportedComposition(g, r), wanted: r.wantedOf(g)}
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

// markSlow compares the token rates of a group's members, updates their straggler
// state and reports whether one of them is a straggler.
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

// wantedOf returns the entry of Wanted that the group matches, nil if none.
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

// findFailedDomains marks the fabric domains that have lost nearly all of their
// instances.
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
		r.failedDomains[f] = n > 1 && float64(lost[f]) >= r.policy.DomainFailureShare*float64(n)
	}
	for id, st := range r.snap.Instances {
		if r.failedDomains[st.Instance.Fabric] {
			r.hist.instance(id, r.now).discardCurrentLoss()
		}
	}
}

// findFree marks the instances that may be assigned a place.
func (r *round) findFree() {
	for id, st := range r.snap.Instances {
		if _, taken := r.snap.Groups.ByInstance[id]; taken {
			continue
		}
		if r.isUsable(id, st) {
			r.setFree(id)
		}
	}
}

// setFree marks an instance as one that may be assigned a place.
func (r *round) setFree(id fleet.InstanceID) {
	r.free[id] = true
	f := r.snap.Instances[id].Instance.Fabric
	if !slices.Contains(r.freeByFabric[f], id) {
		r.freeByFabric[f] = append(r.freeByFabric[f], id)
	}
}

// isUsable reports whether an instance may be assigned a place in a group.
func (r *round) isUsable(id fleet.InstanceID, st InstanceState) bool {
	return isAvailable(st) && !st.MustLeave && !r.hist.instance(id, r.now).isExcluded(r.policy, r.now)
}

// isAvailable reports whether an instance is an engine that is listed, alive, not
// leaving and in no zone that is evacuated. Flapping instances and stragglers are
// included.
func isAvailable(st InstanceState) bool {
	in := st.Instance
	return in.Kind == fleet.KindEngine && st.Listed && st.Alive && !in.Leaving && !st.Report.Leaving && !st.Evacuated
}

// occupy removes an instance from the free ones.
func (r *round) occupy(id fleet.InstanceID) {
	delete(r.free, id)
	r.placed[id] = true
}

// admitExcluded also marks the excluded instances of a pool as free. A group of
// unreliable instances is better than no group.
func (r *round) admitExcluded(pool fleet.Pool) {
	for id, st := range r.snap.Instances {
		if _, taken := r.snap.Groups.ByInstance[id]; taken || r.placed[id] {
			continue
		}
		if st.Instance.Pool == pool && isAvailable(st) && !st.MustLeave {
			r.setFree(id)
		}
	}
}

// freeIn returns the free instances of a pool and fabric domain, ordered by the
// time that they need for the model and then by their recent losses.
func (r *round) freeIn(pool fleet.Pool, f fleet.FabricDomain, model string) []fleet.InstanceID {
	var ids []fleet.InstanceID
	for _, id := range r.freeByFabric[f] {
		if r.free[id] && r.snap.Instances[id].Instance.Pool == pool {
			ids = append(ids, id)
		}
	}
	losses := func(id fleet.InstanceID) int {
		return r.hist.instance(id, r.now).recentLosses(r.policy.FlapWindow, r.now)
	}
	slices.SortFunc(ids, func(a, b fleet.InstanceID) int {
		return cmp.Or(cmp.Compare(r.loadOrder(a, model), r.loadOrder(b, model)), cmp.Compare(losses(a), losses(b)), cmp.Compare(r.coldOrder(a), r.coldOrder(b)), cmp.Compare(a, b))
	})
	return ids
}

// member returns the group member for an instance.
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

// canLoad reports whether one more group may start loading from the weight store.
func (r *round) canLoad() bool { return r.loads < r.policy.MaxLoads && r.loadBudget > 0 }

// startLoad reserves a load from the weight store.
func (r *round) startLoad() {
	r.loads++
	r.loadBudget--
}

// loadOrder returns a sort key for the time that an instance needs for a model:
// the local load time if it holds the model, then instances without any model,
// then instances that would have to replace another model.
func (r *round) loadOrder(id fleet.InstanceID, model string) time.Duration {
	times := r.snap.Instances[id].LocalLoadTimes
	if took, ok := times[model]; ok {
		return took
	}
	if len(times) == 0 {
		return math.MaxInt64 - 1
	}
	return math.MaxInt64
}

// coldOrder returns a sort key that puts warm instances before cold ones: the first one
// of a new group becomes its leader, which gets the requests.
func (r *round) coldOrder(id fleet.InstanceID) int {
	if r.snap.Instances[id].Cold {
		return 1
	}
	return 0
}

// countWithModel counts the free instances of a fabric domain that can load a
// service's model locally.
func (r *round) countWithModel(w *Wanted, f fleet.FabricDomain) int {
	n := 0
	for _, id := range r.freeByFabric[f] {
		st := r.snap.Instances[id]
		if _, ok := st.LocalLoadTimes[w.Model]; ok && r.free[id] && st.Instance.Pool == w.Pool {
			n++
		}
	}
	return n
}

// localOnly reports whether only instances that can load the model locally may be
// placed in a group.
func (r *round) localOnly() bool { return r.policy.LocalModelsOnly && !r.snap.FastLoads }

// keepWithModel removes the instances that can't load the model locally.
func (r *round) keepWithModel(ids []fleet.InstanceID, model string) []fleet.InstanceID {
	return slices.DeleteFunc(ids, func(id fleet.InstanceID) bool {
		_, local := r.snap.Instances[id].LocalLoadTimes[model]
		return !local
	})
}

// candidates lists the free instances of a fabric domain that may form a new
// group. Instances that hold another model are kept to repair that model's groups.
// They are included only if at least half of the new group can load its model
// locally.
func (r *round) candidates(w *Wanted, f fleet.FabricDomain) []fleet.InstanceID {
	ids := r.freeIn(w.Pool, f, w.Model)
	if r.localOnly() {
		return r.keepWithModel(ids, w.Model)
	}
	local := r.countWithModel(w, f)
	if 2*local >= w.Size && local > 0 {
		return ids
	}
	return slices.DeleteFunc(ids, func(id fleet.InstanceID) bool { return r.loadOrder(id, w.Model) == math.MaxInt64 })
}

// startupTime returns the time until all the instances are ready for a service,
// and whether one of them has to load from the weight store.
func (r *round) startupTime(w *Wanted, ids []fleet.InstanceID) (took time.Duration, loads bool) {
	for _, id := range ids {
		localTime, ok := r.snap.Instances[id].LocalLoadTimes[w.Model]
		if !ok {
			return r.loadTime(w), true
		}
		took = max(took, localTime)
	}
	return took, len(ids) == 0
}

// loadTime returns the time that a load from the weight store takes if it is
// requested now, including the queue of other loads.
func (r *round) loadTime(w *Wanted) time.Duration {
	batches := 1 + r.loads/r.policy.MaxLoads
	return time.Duration(batches) * w.LoadTime
}

func (r *round) weights(w *Wanted) Weights {
	if w == nil || w.Weights == (Weights{}) {
		return r.policy.Weights
	}
	return w.Weights
}

func (r *round) add(a Action) { r.actions = append(r.actions, a) }

// wait adds an ActionWait for a group.
func (r *round) wait(c *groupState, reason string, args ...any) {
	r.add(Action{Kind: ActionWait, Service: c.group.Service, Group: c.group, Reason: fmt.Sprintf(reason, args...)})
}
