package placementexp

import (
	"fmt"
	"slices"
	"time"

	"carawayproxy.example/caraway/internal/fleet"
	"carawayproxy.example/caraway/internal/group"
	"carawayproxy.example/caraway/internal/journal"
	"carawayproxy.example/caraway/internal/lease"
	"carawayproxy.example/caraway/internal/placement"
)

const (
	scope      lease.Scope       = "placement/00"
	service    fleet.ServiceName = "drafting"
	holder     fleet.DaemonID    = "d1"
	reformTime                   = 2 * time.Second
	// detectDelay is the time until the planner detects a lost instance.
	detectDelay = 2 * time.Second
	// unlistDelay is how long a replaced instance stays listed.
	unlistDelay = time.Minute
	// maxRequestTime is the longest duration of a request.
	maxRequestTime = 20 * time.Second
	// requestsPerGroup is the number of requests in flight on a serving group.
	requestsPerGroup      = 8
	engineTokensPerSecond = 1000.0
)

// staticLease is a lease table with one permanent holder.
type staticLease struct{}

func (staticLease) Current(lease.Scope) (lease.Lease, bool) {
	return lease.Lease{Scope: scope, Term: 1, Holder: holder}, true
}

// engine is one instance of the fleet and the state of its engine.
type engine struct {
	instance    fleet.Instance
	slot        int
	incarnation uint64
	down        bool
	downAt      time.Time
	replaced    bool    // gone, and replaced by another instance
	speed       float64 // share of its rate
	assigned    *fleet.Assignment
	loaded      string
	loadLeft    time.Duration // remaining time to load or reform
	ready       bool
}

// world is the simulated fleet of one run.
type world struct {
	scenario Scenario
	now      time.Time
	engines  map[fleet.InstanceID]*engine
	bySlot   []*engine
	fold     *group.Fold
	promoted map[fleet.GroupID]*group.Group
	version  fleet.Version
	drained  map[fleet.GroupID]time.Time
	cutCount int
	loads    int
}

func newWorld(s Scenario, start time.Time) *world {
	w := &world{
		scenario: s,
		now:      start,
		engines:  map[fleet.InstanceID]*engine{},
		bySlot:   make([]*engine, s.slots()),
		fold:     group.NewFold(staticLease{}),
		promoted: map[fleet.GroupID]*group.Group{},
		version:  "v1",
		drained:  map[fleet.GroupID]time.Time{},
	}
	for slot := range w.bySlot {
		w.addInstance(slot, 0)
	}
	return w
}

// addInstance adds a new instance in a slot.
func (w *world) addInstance(slot, generation int) {
	id := fleet.InstanceID(fmt.Sprintf("e%02d-%d", slot, generation))
	e := &engine{slot: slot, incarnation: 1, speed: 1, instance: fleet.Instance{
		ID:           id,
		Address:      string(id) + ":7000",
		Zone:         "zone-a",
		Fabric:       fleet.FabricDomain(fmt.Sprintf("f%d", slot/w.scenario.InstancesPerDomain)),
		Pool:         "engines",
		Kind:         fleet.KindEngine,
		Accelerators: accelerators,
	}}
	w.engines[id] = e
	w.bySlot[slot] = e
}

// beginLoss starts a loss.
func (w *world) beginLoss(l loss) {
	e := w.bySlot[l.slot]
	if l.slow > 0 {
		e.speed = l.slow
		return
	}
	e.down, e.downAt, e.replaced = true, w.now, l.replaced
}

// endLoss ends a loss.
func (w *world) endLoss(l loss, generation int) {
	e := w.bySlot[l.slot]
	switch {
	case l.slow > 0:
		e.speed = 1
	case l.replaced:
		w.addInstance(l.slot, generation)
	default:
		e.down = false
		if l.reload {
			e.incarnation++
			e.assigned, e.loaded, e.ready, e.loadLeft = nil, "", false, 0
		}
	}
}

// wanted returns the current demand of the service.
func (w *world) wanted(weights placement.Weights) placement.Wanted {
	revision := uint64(1)
	if w.version != "v1" {
		revision = 2
	}
	return placement.Wanted{
		Service: service, Revision: revision, Pool: "engines", Model: "m", Version: w.version, Role: "serve",
		Groups: wantedGroups, Size: groupSize, Spares: w.scenario.Spares, LoadTime: loadTime, Weights: weights,
	}
}

// snapshot returns the fleet as the planner sees it, or its actual state if truth
// is set.
func (w *world) snapshot(weights placement.Weights, logDown, truth bool) placement.Snapshot {
	s := placement.Snapshot{
		Scope: scope, Term: 1, Revision: 1, Groups: w.fold.View(), LogDown: logDown,
		Wanted:    []placement.Wanted{w.wanted(weights)},
		Instances: make(map[fleet.InstanceID]placement.InstanceState, len(w.engines)),
	}
	for id, e := range w.engines {
		seen := w.now.Sub(e.downAt) >= detectDelay || truth
		s.Instances[id] = placement.InstanceState{
			Instance: e.instance,
			Report:   w.report(e),
			Listed:   !e.replaced || w.now.Sub(e.downAt) < unlistDelay,
			Alive:    !e.down || !seen,
		}
	}
	return s
}

// inFlightByGroup returns the number of requests in flight on each group.
func (w *world) inFlightByGroup(truth placement.Snapshot) map[fleet.GroupID]uint32 {
	all := map[fleet.GroupID]uint32{}
	for id, g := range truth.Groups.Groups {
		all[id] = uint32(w.inFlight(g, truth))
	}
	return all
}

// hasUndetectedLoss reports whether the planner has yet to detect a lost instance.
func (w *world) hasUndetectedLoss() bool {
	for _, e := range w.engines {
		if e.down && w.now.Sub(e.downAt) < detectDelay {
			return true
		}
	}
	return false
}

func (w *world) report(e *engine) fleet.Report {
	r := fleet.Report{
		Instance: e.instance.ID, Incarnation: e.incarnation, Assignment: e.assigned, Ready: e.ready,
		TokensPerSecond: engineTokensPerSecond * e.speed, ReceivedAt: w.now,
	}
	if e.loadLeft > 0 && e.loadLeft < loadTime {
		r.LoadProgress = 1 - float64(e.loadLeft)/float64(loadTime)
	}
	return r
}

// inFlight returns the number of requests in flight on a group.
func (w *world) inFlight(g *group.Group, s placement.Snapshot) int {
	if !group.Whole(g, reports(s.Instances), w.now, 0).Whole {
		return 0
	}
	if g.Phase == group.PhaseActive {
		return requestsPerGroup
	}
	left := maxRequestTime - w.now.Sub(w.drained[g.ID])
	return max(0, int(requestsPerGroup*left/maxRequestTime))
}

type reports map[fleet.InstanceID]placement.InstanceState

// Report implements group.Reports.
func (r reports) Report(id fleet.InstanceID) (fleet.Report, bool) {
	st, ok := r[id]
	return st.Report, ok && st.Alive
}

// execute executes an action, as the executor does.
func (w *world) execute(a placement.Action, truth placement.Snapshot) {
	g := a.Group
	switch a.Kind {
	case placement.ActionForm:
		w.propose(group.KindForm, group.FormRecord{Group: *g})
	case placement.ActionRepair:
		w.countCut(g.ID, truth)
		w.propose(group.KindRepair, group.RepairRecord{Scope: scope, Term: 1, Group: g.ID, Epoch: g.Epoch, Members: g.Members, Spares: g.Spares})
	case placement.ActionDrain:
		w.drained[g.ID] = w.now
		w.propose(group.KindDrain, group.DrainRecord{Scope: scope, Term: 1, Group: g.ID, Epoch: g.Epoch})
	case placement.ActionDissolve:
		w.countCut(g.ID, truth)
		delete(w.drained, g.ID)
		w.propose(group.KindDissolve, group.DissolveRecord{Scope: scope, Term: 1, Group: g.ID, Epoch: g.Epoch})
	case placement.ActionPromote:
		w.promoted[g.ID] = g
	}
}

// countCut counts the requests that are cut when a group ends.
func (w *world) countCut(id fleet.GroupID, truth placement.Snapshot) {
	if g := truth.Groups.Groups[id]; g != nil {
		w.cutCount += w.inFlight(g, truth)
	}
}

func (w *world) propose(kind journal.Kind, body any) {
	data, err := journal.Encode(body)
	if err != nil {
		panic(err)
	}
	v, err := w.fold.Apply(0, journal.Record{Kind: kind, Author: holder, Body: data})
	if err != nil || !v.Accepted {
		panic(fmt.Sprintf("%s: %v %v", kind, v.Reason, err))
	}
}

// releaseUnplaced releases the engines that report an assignment but are in no
// group. It runs before the plan because the executor's orders take effect before
// its proposals.
func (w *world) releaseUnplaced(seen placement.Snapshot) {
	for id, e := range w.engines {
		_, placed := seen.Groups.ByInstance[id]
		if !placed && !e.down && e.assigned != nil {
			w.assign(e, nil)
		}
	}
}

// assignEngines updates the assignment of each engine.
func (w *world) assignEngines(seen placement.Snapshot) {
	seen.Groups = w.fold.View()
	admitted := placement.AdmitOrders(seen, w.scenario.MaxLoads)
	placed := map[fleet.InstanceID]*fleet.Assignment{}
	held := map[fleet.InstanceID]bool{}
	for id, g := range seen.Groups.Groups {
		c := group.ReportedComposition(g, reports(seen.Instances))
		if p := w.promoted[id]; p != nil && p.Epoch == g.Epoch {
			c = p.Members
		}
		for rank, m := range c {
			a := group.AssignmentOf(g, c, fleet.Rank(rank))
			placed[m.Instance] = &a
			held[m.Instance] = !admitted[id]
		}
	}
	for id, e := range w.engines {
		if !e.down && !held[id] && !sameAssignment(e.assigned, placed[id]) {
			w.assign(e, placed[id])
		}
	}
}

func sameAssignment(a, b *fleet.Assignment) bool {
	if a == nil || b == nil {
		return a == b
	}
	return a.Group == b.Group && a.Epoch == b.Epoch && a.Rank == b.Rank && slices.Equal(a.Members, b.Members)
}

func (w *world) assign(e *engine, a *fleet.Assignment) {
	e.assigned, e.ready = a, false
	switch {
	case a == nil:
		e.loaded, e.loadLeft = "", 0
	case e.loaded == string(a.Version):
		e.loadLeft = reformTime
	default:
		e.loadLeft = loadTime
		w.loads++
	}
}

// advanceLoading advances all loading engines, which share the rate of the weight
// store.
func (w *world) advanceLoading(d time.Duration) {
	loading := 0
	for _, e := range w.engines {
		if e.assigned != nil && !e.ready && e.loaded != string(e.assigned.Version) {
			loading++
		}
	}
	share := min(1, float64(w.scenario.MaxLoads*groupSize)/float64(max(loading, 1)))
	for _, e := range w.engines {
		if e.down || e.assigned == nil || e.ready {
			continue
		}
		if w.scenario.BadVersion && e.assigned.Version != "v1" {
			continue
		}
		e.loadLeft -= time.Duration(float64(d) * share)
		if e.loadLeft <= 0 {
			e.loadLeft, e.ready, e.loaded = 0, true, string(e.assigned.Version)
		}
	}
}

// stragglerLoss sums the share of its rate that each serving group loses to its
// slowest member.
func (w *world) stragglerLoss(truth placement.Snapshot) float64 {
	sum := 0.0
	for _, g := range truth.Groups.Groups {
		if !group.Whole(g, reports(truth.Instances), w.now, 0).Whole {
			continue
		}
		least := 1.0
		for _, m := range group.ReportedComposition(g, reports(truth.Instances)) {
			least = min(least, w.engines[m.Instance].speed)
		}
		sum += 1 - least
	}
	return sum
}

// removeReplaced removes replaced instances that are no longer in a group.
func (w *world) removeReplaced() {
	v := w.fold.View()
	for id, e := range w.engines {
		_, inGroup := v.ByInstance[id]
		if e.replaced && !inGroup && w.bySlot[e.slot] != e {
			delete(w.engines, id)
		}
	}
}
