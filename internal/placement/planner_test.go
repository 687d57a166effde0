package placement_test

import (
	"fmt"
	"reflect"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"carawayproxy.example/caraway/internal/fleet"
	"carawayproxy.example/caraway/internal/group"
	"carawayproxy.example/caraway/internal/lease"
	"carawayproxy.example/caraway/internal/placement"
)

// fleetState is a fleet for tests of the planner alone. Actions take effect at
// once.
type fleetState struct {
	now     time.Time
	snap    placement.Snapshot
	planner *placement.Planner
}

// newFleet returns a fleet with fabric domains of n instances each and whole
// groups of the given size.
func newFleet(policy placement.Policy, domains, n, groups, size int) *fleetState {
	f := &fleetState{now: time.Unix(1_000_000, 0), planner: placement.NewPlanner(policy)}
	f.snap = placement.Snapshot{
		Scope: rigScope, Term: 1, Revision: 1,
		Groups: &group.View{
			Groups:     map[fleet.GroupID]*group.Group{},
			ByInstance: map[fleet.InstanceID]fleet.GroupID{},
			Issued:     map[lease.Scope]group.IDMark{},
		},
		Instances: map[fleet.InstanceID]placement.InstanceState{},
		InFlight:  map[fleet.GroupID]uint32{},
		Wanted: []placement.Wanted{{
			Service: "drafting", Revision: 1, Pool: "p", Model: "m", Version: "v1", Role: "serve",
			Groups: groups, Size: size, LoadTime: time.Minute,
		}},
	}
	for d := range domains {
		for i := range n {
			f.add(d, i)
		}
	}
	for range groups {
		f.step(time.Second)
	}
	return f
}

func instanceID(domain, i int) fleet.InstanceID {
	return fleet.InstanceID(fmt.Sprintf("e%d-%02d", domain, i))
}

func (f *fleetState) add(domain, i int) {
	id := instanceID(domain, i)
	f.snap.Instances[id] = placement.InstanceState{Listed: true, Alive: true, Report: fleet.Report{Incarnation: 1, TokensPerSecond: 100},
		Instance: fleet.Instance{
			ID: id, Address: string(id) + ":1", Fabric: fleet.FabricDomain(fmt.Sprintf("f%d", domain)), Pool: "p",
			Kind: fleet.KindEngine, Accelerators: 8,
		}}
}

func (f *fleetState) change(id fleet.InstanceID, change func(*placement.InstanceState)) {
	st := f.snap.Instances[id]
	change(&st)
	f.snap.Instances[id] = st
}

func (f *fleetState) lose(id fleet.InstanceID) {
	f.change(id, func(st *placement.InstanceState) { st.Alive = false })
}

// plan advances the time, refreshes the reports and returns a plan.
func (f *fleetState) plan(after time.Duration) []placement.Action {
	f.now = f.now.Add(after)
	for id := range f.snap.Instances {
		f.change(id, func(st *placement.InstanceState) { st.Report.ReceivedAt = f.now })
	}
	return f.planner.Plan(f.snap, f.now)
}

// step is plan with its actions applied.
func (f *fleetState) step(after time.Duration) []placement.Action {
	actions := f.plan(after)
	for _, a := range actions {
		f.apply(a)
	}
	return actions
}

func (f *fleetState) apply(a placement.Action) {
	switch a.Kind {
	case placement.ActionForm:
		f.form(a.Group)
	case placement.ActionDrain:
		g := *a.Group
		g.Phase = group.PhaseDraining
		f.snap.Groups.Groups[g.ID] = &g
	case placement.ActionDissolve:
		f.dissolve(a.Group)
	case placement.ActionRepair:
		f.dissolve(f.snap.Groups.Groups[a.Group.ID])
		f.form(a.Group)
	}
}

func (f *fleetState) form(g *group.Group) {
	v := f.snap.Groups
	v.Groups[g.ID] = g
	_, mark, _ := group.ParseID(g.ID)
	if v.Issued[g.Scope].Less(mark) {
		v.Issued[g.Scope] = mark
	}
	for m := range g.All() {
		v.ByInstance[m.Instance] = g.ID
	}
	for rank, m := range g.Members {
		a := group.AssignmentOf(g, g.Members, fleet.Rank(rank))
		f.change(m.Instance, func(st *placement.InstanceState) { st.Report.Assignment, st.Report.Ready = &a, true })
	}
}

func (f *fleetState) dissolve(g *group.Group) {
	delete(f.snap.Groups.Groups, g.ID)
	for m := range g.All() {
		delete(f.snap.Groups.ByInstance, m.Instance)
		f.change(m.Instance, func(st *placement.InstanceState) { st.Report.Assignment, st.Report.Ready = nil, false })
	}
}

// groupsOf lists the groups in the order of their ids.
func (f *fleetState) groupsOf() []*group.Group {
	var all []*group.Group
	for _, g := range f.snap.Groups.Groups {
		all = append(all, g)
	}
	slices.SortFunc(all, func(a, b *group.Group) int {
		_, x, _ := group.ParseID(a.ID)
		_, y, _ := group.ParseID(b.ID)
		return int(x.Counter) - int(y.Counter)
	})
	return all
}

// nextAction plans every second until an action other than ActionWait occurs, and
// returns it and the time that this took.
func (f *fleetState) nextAction(bound time.Duration) (placement.Action, time.Duration) {
	start := f.now
	for f.now.Sub(start) < bound {
		for _, a := range f.plan(time.Second) {
			if a.Kind != placement.ActionWait {
				return a, f.now.Sub(start)
			}
		}
	}
	return placement.Action{}, bound
}

func TestFormationStaysInOneFabricDomain(t *testing.T) {
	f := newFleet(placement.Policy{}, 3, 5, 3, 4)
	groups := f.groupsOf()
	assert.Equal(t, len(groups), 3)
	for _, g := range groups {
		for m := range g.All() {
			assert.Equal(t, m.Fabric, g.Fabric)
		}
	}
	f = newFleet(placement.Policy{}, 3, 3, 3, 4)
	assert.Equal(t, len(f.groupsOf()), 0, "nine instances, but no fabric domain has four")
}

func TestFormationTakesOnlyUsableInstances(t *testing.T) {
	makeUnusable := map[string]func(*placement.InstanceState){
		"another pool":    func(st *placement.InstanceState) { st.Instance.Pool = "q" },
		"another kind":    func(st *placement.InstanceState) { st.Instance.Kind = fleet.KindPlain },
		"not listed":      func(st *placement.InstanceState) { st.Listed = false },
		"lost":            func(st *placement.InstanceState) { st.Alive = false },
		"leaving":         func(st *placement.InstanceState) { st.Instance.Leaving = true },
		"reports leaving": func(st *placement.InstanceState) { st.Report.Leaving = true },
	}
	for name, change := range makeUnusable {
		t.Run(name, func(t *testing.T) {
			f := newFleet(placement.Policy{}, 1, 4, 0, 4)
			f.snap.Wanted[0].Groups = 1
			f.change("e0-02", change)
			assert.Equal(t, len(f.step(time.Second)), 0)
			f.add(0, 2)
			assert.Equal(t, len(f.step(time.Second)), 1)
		})
	}
}

func TestBrokenGroups(t *testing.T) {
	expensiveStranding := placement.Weights{Downtime: 1, Stranded: 3}
	cases := []struct {
		name            string
		policy          placement.Policy
		domains, n      int
		groups          int
		lose            []fleet.InstanceID
		unlist          bool
		want            placement.ActionKind
		earliest, bound time.Duration
	}{
		{"waits for a short outage, then repairs", placement.Policy{}, 1, 5, 1, []fleet.InstanceID{"e0-00"}, false, placement.ActionRepair, 3 * time.Second, 30 * time.Second},
		{"ChooseRebuild does not wait", placement.Policy{Choice: placement.ChooseRebuild}, 1, 5, 1, []fleet.InstanceID{"e0-00"}, false, placement.ActionRepair, 0, time.Second},
		{"ChooseWait waits", placement.Policy{Choice: placement.ChooseWait}, 1, 5, 1, []fleet.InstanceID{"e0-00"}, false, "", time.Hour, time.Hour},
		{"does not wait for a delisted member", placement.Policy{}, 1, 5, 1, []fleet.InstanceID{"e0-00"}, true, placement.ActionRepair, 0, time.Second},
		{"moves if the domain has no substitute", placement.Policy{}, 2, 4, 1, []fleet.InstanceID{"e0-00"}, false, placement.ActionForm, 3 * time.Second, time.Minute},
		{"waits without a substitute", placement.Policy{}, 1, 4, 1, []fleet.InstanceID{"e0-00"}, false, "", time.Minute, time.Minute},
		{"dissolves if stranded accelerators are expensive", placement.Policy{Weights: expensiveStranding}, 1, 4, 1, []fleet.InstanceID{"e0-00"}, false, placement.ActionDissolve, 0, 5 * time.Minute},
		{"dissolves one of two broken groups", placement.Policy{}, 1, 8, 2, []fleet.InstanceID{"e0-00", "e0-04"}, true, placement.ActionDissolve, 0, time.Second},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := newFleet(c.policy, c.domains, c.n, c.groups, 4)
			for _, id := range c.lose {
				f.lose(id)
				f.change(id, func(st *placement.InstanceState) { st.Listed = !c.unlist })
			}
			a, after := f.nextAction(c.bound)
			assert.Equal(t, a.Kind, c.want, a.Reason)
			assert.Assert(t, after >= c.earliest, "after %s", after)
			if a.Kind == placement.ActionRepair {
				assert.Equal(t, a.Group.Epoch, fleet.Epoch(2))
				assert.Equal(t, a.Group.Members[0].Instance, fleet.InstanceID("e0-04"))
				assert.Assert(t, a.Cost > 0 && len(a.Rejected) > 0)
			}
		})
	}
}

func TestFlappingMemberIsReplacedAtOnce(t *testing.T) {
	f := newFleet(placement.Policy{}, 1, 5, 1, 4)
	for range 2 {
		f.lose("e0-00")
		f.plan(time.Second)
		f.change("e0-00", func(st *placement.InstanceState) { st.Alive = true })
		f.plan(time.Minute)
	}
	f.lose("e0-00")
	a, after := f.nextAction(time.Minute)
	assert.Equal(t, a.Kind, placement.ActionRepair)
	assert.Assert(t, after <= time.Second, "after %s", after)
}

func TestGroupWithRequestsInFlightIsNotRepairedAtOnce(t *testing.T) {
	f := newFleet(placement.Policy{Choice: placement.ChooseRebuild}, 1, 5, 1, 4)
	f.snap.InFlight[f.groupsOf()[0].ID] = 1
	f.lose("e0-00")
	_, after := f.nextAction(time.Minute)
	assert.Equal(t, after, 6*time.Second)
}

func TestOnlyPromotionWhileTheLogIsDown(t *testing.T) {
	f := newFleet(placement.Policy{}, 1, 10, 0, 4)
	f.snap.Wanted[0].Groups, f.snap.Wanted[0].Spares = 1, 1
	f.step(time.Second)
	g := f.groupsOf()[0]
	assert.Equal(t, len(g.Spares), 1)
	f.snap.LogDown = true
	f.snap.Wanted[0].Groups = 2 // there are enough instances, but no record can be appended
	f.lose(g.Members[2].Instance)
	a, _ := f.nextAction(time.Minute)
	assert.Equal(t, a.Kind, placement.ActionPromote)
	assert.Equal(t, a.Group.Epoch, fleet.Epoch(1))
	assert.Equal(t, a.Group.Members[2].Instance, g.Spares[0].Instance)
	f.lose(g.Spares[0].Instance)
	a, _ = f.nextAction(time.Minute)
	assert.Equal(t, a.Kind, placement.ActionKind(""), "there is no other spare")
}

func TestLeavingMemberDrainsFirst(t *testing.T) {
	f := newFleet(placement.Policy{}, 1, 5, 1, 4)
	old := f.groupsOf()[0]
	f.snap.InFlight[old.ID] = 2
	f.change(old.Members[0].Instance, func(st *placement.InstanceState) { st.Report.Leaving = true })
	a := f.step(time.Second)
	assert.Equal(t, a[0].Kind, placement.ActionDrain)
	for range 60 {
		assert.Equal(t, len(f.step(time.Second)), 0, "requests are in flight")
	}
	f.snap.InFlight[old.ID] = 0
	a = f.step(time.Second)
	assert.Equal(t, len(a), 1)
	assert.Equal(t, a[0].Kind, placement.ActionRepair)
	assert.Equal(t, a[0].Group.Epoch, fleet.Epoch(2))
	assert.Equal(t, a[0].Group.Phase, group.PhaseActive)
	assert.Equal(t, a[0].Group.Members[0].Instance, fleet.InstanceID("e0-04"))
	assert.DeepEqual(t, a[0].Group.Members[1:], old.Members[1:])
}

func TestLeavingMemberWithoutSubstituteEndsItsGroup(t *testing.T) {
	f := newFleet(placement.Policy{}, 1, 4, 1, 4)
	f.change("e0-00", func(st *placement.InstanceState) { st.Instance.Leaving = true })
	assert.Equal(t, f.step(time.Second)[0].Kind, placement.ActionDrain)
	a, after := f.nextAction(time.Minute)
	assert.Equal(t, a.Kind, placement.ActionDissolve)
	assert.Equal(t, after, 4*time.Second)
}

// TestLeavingMemberWithRoom checks that the replacement is formed in the same
// plan. The group gets no new requests in any case, so draining it later has no
// benefit.
func TestLeavingMemberWithRoom(t *testing.T) {
	f := newFleet(placement.Policy{}, 1, 8, 1, 4)
	f.change("e0-00", func(st *placement.InstanceState) { st.Report.Leaving = true })
	a := f.step(time.Second)
	assert.Equal(t, len(a), 2)
	assert.Equal(t, a[0].Kind, placement.ActionDrain)
	assert.Equal(t, a[1].Kind, placement.ActionForm)
	b, _ := f.nextAction(time.Minute)
	assert.Equal(t, b.Kind, placement.ActionDissolve)
	assert.Equal(t, b.Group.ID, a[0].Group.ID)
}

func TestAdapterRoleAndSizeRollOut(t *testing.T) {
	changes := map[string]func(*placement.Wanted){
		"adapter": func(w *placement.Wanted) { w.Adapters = []fleet.Adapter{"nepali"} },
		"role":    func(w *placement.Wanted) { w.Role = "draft" },
		"size":    func(w *placement.Wanted) { w.Size = 3 },
		"model":   func(w *placement.Wanted) { w.Model = "n" },
	}
	for name, change := range changes {
		t.Run(name, func(t *testing.T) {
			f := newFleet(placement.Policy{}, 1, 4, 1, 4)
			change(&f.snap.Wanted[0])
			kinds := []placement.ActionKind{placement.ActionDrain, placement.ActionDissolve, placement.ActionForm}
			for _, kind := range kinds {
				a, _ := f.nextAction(time.Minute)
				assert.Equal(t, a.Kind, kind)
				f.apply(a)
			}
		})
	}
}

func TestDrainHasABound(t *testing.T) {
	f := newFleet(placement.Policy{}, 1, 4, 1, 4)
	id := f.groupsOf()[0].ID
	f.snap.InFlight[id] = 2
	f.snap.Wanted[0].Groups = 0
	assert.Equal(t, f.step(time.Second)[0].Kind, placement.ActionDrain)
	a, after := f.nextAction(10 * time.Minute)
	assert.Equal(t, a.Kind, placement.ActionDissolve)
	assert.Equal(t, after, 121*time.Second)
}

func TestServicesThatAreNotKnownAreLeftAlone(t *testing.T) {
	f := newFleet(placement.Policy{}, 1, 4, 1, 4)
	f.snap.Wanted, f.snap.Revision = nil, 0
	assert.Equal(t, len(f.plan(time.Second)), 0)
	f.snap.Revision = 2
	assert.Equal(t, f.plan(time.Second)[0].Kind, placement.ActionDrain)
}

func TestOtherScopesAreLeftAlone(t *testing.T) {
	f := newFleet(placement.Policy{}, 1, 5, 1, 4)
	f.snap.Scope = "placement/01"
	f.snap.Wanted = nil
	f.lose("e0-00")
	assert.Equal(t, len(f.plan(time.Minute)), 0)
}

func TestRolloutFormsBeforeDraining(t *testing.T) {
	f := newFleet(placement.Policy{}, 1, 8, 1, 4)
	f.snap.Wanted[0].Version, f.snap.Wanted[0].Revision = "v2", 2
	a := f.step(time.Second)
	assert.Equal(t, len(a), 1)
	assert.Equal(t, a[0].Kind, placement.ActionForm)
	a = f.step(time.Second)
	assert.Equal(t, a[0].Kind, placement.ActionDrain)
	assert.Equal(t, a[0].Group.Version, fleet.Version("v1"))
}

func TestFailingRolloutStops(t *testing.T) {
	f := newFleet(placement.Policy{}, 1, 12, 3, 4)
	f.snap.Wanted[0].Version, f.snap.Wanted[0].Revision = "v2", 2
	drains, halted := 0, false
	for range 3600 {
		for _, a := range f.step(time.Second) {
			switch a.Kind {
			case placement.ActionDrain:
				drains++
			case placement.ActionForm:
				for _, m := range a.Group.Members {
					f.change(m.Instance, func(st *placement.InstanceState) { st.Report.Ready = false })
				}
			case placement.ActionHalt:
				halted = true
			}
		}
	}
	assert.Assert(t, halted)
	assert.Equal(t, drains, 1, "the other groups keep serving")
	f.snap.Wanted[0].Version, f.snap.Wanted[0].Revision = "v1", 3
	a := f.step(time.Second)
	assert.Equal(t, a[0].Kind, placement.ActionForm, "the next revision is not halted")
}

// TestSameInputsSamePlan runs random histories through two planners, which must
// return the same plans. No plan may place an instance in two groups.
func TestSameInputsSamePlan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(placement.Policy{}, 2, 9, 3, 4)
		g := newFleet(placement.Policy{}, 2, 9, 3, 4)
		for range rapid.IntRange(1, 25).Draw(t, "rounds") {
			id := instanceID(rapid.IntRange(0, 1).Draw(t, "domain"), rapid.IntRange(0, 8).Draw(t, "instance"))
			change := rapid.IntRange(0, 4).Draw(t, "what")
			after := time.Duration(rapid.IntRange(1, 60).Draw(t, "seconds")) * time.Second
			for _, x := range []*fleetState{f, g} {
				x.change(id, func(st *placement.InstanceState) {
					switch change {
					case 0, 1:
						st.Alive = !st.Alive
					case 2:
						st.Listed = !st.Listed
					case 3:
						st.Report.Leaving = !st.Report.Leaving
					}
				})
			}
			a, b := f.step(after), g.step(after)
			assert.Assert(t, reflect.DeepEqual(a, b))
			checkPlaces(t, f)
		}
	})
}

// checkPlaces asserts that no instance is in two groups.
func checkPlaces(t *rapid.T, f *fleetState) {
	places := map[fleet.InstanceID]fleet.GroupID{}
	for id, g := range f.snap.Groups.Groups {
		for m := range g.All() {
			other, assigned := places[m.Instance]
			assert.Assert(t, !assigned, "%s is in %s and %s", m.Instance, id, other)
			places[m.Instance] = id
		}
	}
}
