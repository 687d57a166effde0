package placement

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"carawayproxy.example/caraway/internal/fleet"
	"carawayproxy.example/caraway/internal/group"
)

const (
	hot    = 200 * time.Millisecond
	staged = 1600 * time.Millisecond
)

// nearWorld is a snapshot of engines of one pool that run two models, "duo" of
// two engines and "quad" of four.
type nearWorld struct {
	s Snapshot
}

func newNearWorld(duos, quads int) *nearWorld {
	w := &nearWorld{s: Snapshot{
		Scope: "placement", Term: 1, Revision: 1,
		Groups:    &group.View{Groups: map[fleet.GroupID]*group.Group{}, ByInstance: map[fleet.InstanceID]fleet.GroupID{}},
		Instances: map[fleet.InstanceID]InstanceState{},
	}}
	for _, m := range []struct {
		name         string
		groups, size int
	}{{"quad", quads, 4}, {"duo", duos, 2}} {
		w.s.Wanted = append(w.s.Wanted, Wanted{
			Service: fleet.ServiceName(m.name), Pool: "pool", Model: m.name, Groups: m.groups, Size: m.size, LoadTime: 16 * time.Second,
		})
	}
	return w
}

// engine adds a free engine.
func (w *nearWorld) engine(id fleet.InstanceID, domain fleet.FabricDomain, near map[string]time.Duration) {
	w.s.Instances[id] = InstanceState{
		Instance: fleet.Instance{ID: id, Address: string(id), Fabric: domain, Pool: "pool", Kind: fleet.KindEngine, Accelerators: 1},
		Report:   fleet.Report{Instance: id, Ready: true, ReceivedAt: time.Now()},
		Listed:   true, Alive: true, LocalLoadTimes: near,
	}
}

// group adds a whole group of new engines, of which the first lost ones are
// down.
func (w *nearWorld) group(id fleet.GroupID, model string, size int, domain fleet.FabricDomain, lost int) {
	g := &group.Group{ID: id, Epoch: 1, Service: fleet.ServiceName(model), Model: model, Fabric: domain, Phase: group.PhaseActive, Scope: "placement", Term: 1}
	for rank := range size {
		member := fleet.InstanceID(fmt.Sprintf("%s-%d", id, rank))
		w.engine(member, domain, map[string]time.Duration{model: hot})
		g.Members = append(g.Members, group.Member{Instance: member, Address: string(member), Fabric: domain, Accelerators: 1})
		w.s.Groups.ByInstance[member] = id
	}
	w.s.Groups.Groups[id] = g
	for rank := range size {
		st := w.s.Instances[g.Members[rank].Instance]
		a := group.AssignmentOf(g, g.Members, fleet.Rank(rank))
		st.Report.Assignment = &a
		st.Alive = rank >= lost
		w.s.Instances[g.Members[rank].Instance] = st
	}
}

func (w *nearWorld) plan() []Action {
	return NewPlanner(Policy{Spread: true, BrokenSettle: 1, MaxLoads: 64, StoreRate: 64}).Plan(w.s, time.Now())
}

func kinds(actions []Action) []string {
	var out []string
	for _, a := range actions {
		out = append(out, fmt.Sprintf("%s %s", a.Kind, a.Group.Service))
	}
	return out
}

// A lost member is replaced by the spare that has the model loaded, before one
// that has it staged and before one without it.
func TestRepairTakesTheNearestSpare(t *testing.T) {
	w := newNearWorld(1, 0)
	w.group("g1", "duo", 2, "d0", 1)
	w.engine("bare", "d0", nil)
	w.engine("b-staged", "d0", map[string]time.Duration{"duo": staged, "quad": hot})
	w.engine("c-hot", "d0", map[string]time.Duration{"duo": hot})
	actions := w.plan()
	assert.DeepEqual(t, kinds(actions), []string{"repair duo"})
	assert.Equal(t, actions[0].Group.Members[0].Instance, fleet.InstanceID("c-hot"))
	assert.Assert(t, actions[0].Cost < 1, "cost %f is not that of %s", actions[0].Cost, hot)
}

// Two groups of a domain that lost a member each, and no spare: one is whole
// again at once with a member of the other.
func TestBrokenGroupsGiveEachOtherMembers(t *testing.T) {
	w := newNearWorld(0, 2)
	w.group("g1", "quad", 4, "d0", 1)
	w.group("g2", "quad", 4, "d0", 2)
	actions := w.plan()
	assert.DeepEqual(t, kinds(actions), []string{"dissolve quad", "repair quad"})
	assert.Equal(t, actions[0].Group.ID, fleet.GroupID("g2"))
	assert.Equal(t, actions[1].Group.ID, fleet.GroupID("g1"))
}

// Spares of another model are what its groups are repaired with: a whole new
// group leaves them alone unless it has half of its members at hand.
func TestNewGroupsLeaveOtherModelsSpares(t *testing.T) {
	w := newNearWorld(1, 0)
	w.engine("q1", "d0", map[string]time.Duration{"quad": hot})
	w.engine("q2", "d0", map[string]time.Duration{"quad": hot})
	assert.Equal(t, len(w.plan()), 0)

	w.engine("d1", "d0", map[string]time.Duration{"duo": hot})
	actions := w.plan()
	assert.DeepEqual(t, kinds(actions), []string{"form duo"})
	assert.Equal(t, actions[0].Group.Members[0].Instance, fleet.InstanceID("d1"))
}

// New groups are spread over the domains, so that each keeps spares.
func TestNewGroupsAreSpread(t *testing.T) {
	w := newNearWorld(2, 0)
	for _, domain := range []fleet.FabricDomain{"d0", "d1"} {
		for n := range 4 {
			w.engine(fleet.InstanceID(fmt.Sprintf("%s-%d", domain, n)), domain, nil)
		}
	}
	actions := w.plan()
	assert.Equal(t, len(actions), 2)
	assert.Assert(t, actions[0].Group.Fabric != actions[1].Group.Fabric)
}

// Of groups beyond the number wanted the one goes whose members make room for
// a missing group in their domain.
func TestExcessGroupsMakeRoom(t *testing.T) {
	w := newNearWorld(1, 1)
	w.group("duo.1.1", "duo", 2, "d0", 0)
	w.group("duo.1.2", "duo", 2, "d1", 0)
	for n := range 3 {
		w.engine(fleet.InstanceID(fmt.Sprintf("q%d", n)), "d0", map[string]time.Duration{"quad": hot})
	}
	actions := w.plan()
	assert.DeepEqual(t, kinds(actions), []string{"drain duo"})
	assert.Equal(t, actions[0].Group.ID, fleet.GroupID("duo.1.1"))
}

// A member that is there and has fallen out of its group counts as lost, and
// may take a place in the group's next epoch.
func TestFallenMemberIsReplaced(t *testing.T) {
	w := newNearWorld(1, 0)
	w.group("g1", "duo", 2, "d0", 0)
	st := w.s.Instances["g1-1"]
	st.Ejected, st.Report.Assignment = true, nil
	w.s.Instances["g1-1"] = st
	actions := w.plan()
	assert.DeepEqual(t, kinds(actions), []string{"repair duo"})
	assert.Equal(t, actions[0].Group.Members[1].Instance, fleet.InstanceID("g1-1"))
	assert.Equal(t, actions[0].Group.Epoch, fleet.Epoch(2))
}

func TestPlanSpares(t *testing.T) {
	w := newNearWorld(1, 1)
	w.group("duo.1.1", "duo", 2, "d0", 0)
	w.group("quad.1.1", "quad", 4, "d0", 0)
	w.engine("s1", "d0", nil)
	w.engine("s2", "d0", nil)
	w.engine("s3", "d0", map[string]time.Duration{"duo": hot, "quad": staged})
	got := map[string]int{}
	for _, p := range PlanPreloads(w.s, nil) {
		got[p.Model]++
		if p.Instance == "s3" {
			assert.Equal(t, p.Model, "duo", "an engine stays with what it has loaded")
		}
	}
	assert.DeepEqual(t, got, map[string]int{"duo": 1, "quad": 2})
}

// Engines without a model load what makes up whole groups of the model that is
// shortest of them, where the fewest are missing first.
func TestSparesMakeUpMissingGroups(t *testing.T) {
	type engine struct {
		domain  fleet.FabricDomain
		near    string
		loading string
	}
	for _, test := range []struct {
		name        string
		duos, quads int
		engines     []engine // e-0, e-1 and so on
		want        []string // loads in their order
	}{
		{"one is missing", 4, 2, []engine{{"d0", "quad", ""}, {"d0", "quad", ""}, {"d0", "quad", ""}, {"d0", "", ""}}, []string{"e-3 quad"}},
		{"fewest missing first", 0, 2,
			[]engine{{"d0", "", ""}, {"d0", "", ""}, {"d0", "quad", ""}, {"d0", "quad", ""}, {"d1", "", ""}, {"d1", "quad", ""}, {"d1", "quad", ""}, {"d1", "quad", ""}},
			[]string{"e-4 quad", "e-0 quad", "e-1 quad"}},
		{"what loads counts", 0, 1, []engine{{"d0", "", "quad"}, {"d0", "", "quad"}, {"d0", "quad", ""}, {"d0", "", ""}}, []string{"e-3 quad"}},
		{"the other model where the shortest can't be made up", 4, 4, []engine{{"d0", "", ""}, {"d0", "", ""}}, []string{"e-0 duo", "e-1 duo"}},
		{"what will be made up later", 0, 4, []engine{{"d0", "", ""}, {"d0", "", ""}}, []string{"e-0 quad", "e-1 quad"}},
	} {
		t.Run(test.name, func(t *testing.T) {
			w := newNearWorld(test.duos, test.quads)
			loading := map[fleet.InstanceID]string{}
			for i, e := range test.engines {
				id := fleet.InstanceID(fmt.Sprintf("e-%d", i))
				near := map[string]time.Duration{}
				if e.near != "" {
					near[e.near] = hot
				}
				w.engine(id, e.domain, near)
				if e.loading != "" {
					loading[id] = e.loading
				}
			}
			var got []string
			for _, p := range PlanPreloads(w.s, loading) {
				if len(w.s.Instances[p.Instance].LocalLoadTimes) == 0 && loading[p.Instance] == "" {
					got = append(got, fmt.Sprintf("%s %s", p.Instance, p.Model))
				}
			}
			assert.DeepEqual(t, got, test.want)
		})
	}
}

// After a takeover the list may not show all members yet: a group of which some
// are not known is left alone for a while, and so are its members.
func TestGroupWithUnseenMembersIsLeftAlone(t *testing.T) {
	w := newNearWorld(0, 2)
	w.group("g1", "quad", 4, "d0", 1)
	w.group("g2", "quad", 4, "d0", 0)
	unknown := w.s.Groups.Groups["g2"]
	delete(w.s.Instances, unknown.Members[0].Instance)
	unknown.Members[0] = group.Member{}
	planner := NewPlanner(Policy{Spread: true, BrokenSettle: 1, UnseenSettle: 2 * time.Second, MaxLoads: 64, StoreRate: 64})
	now := time.Now()
	for _, after := range []time.Duration{0, 1900 * time.Millisecond} {
		for _, a := range planner.Plan(w.s, now.Add(after)) {
			assert.Equal(t, a.Kind, ActionWait, "%s of %s after %s: %s", a.Kind, a.Group.ID, after, a.Reason)
		}
	}
	assert.DeepEqual(t, kinds(planner.Plan(w.s, now.Add(2100*time.Millisecond))), []string{"dissolve quad", "repair quad"})
}

// In a domain that lost members of each of its groups, and has only engines that
// would have to load a model, those that have it at hand serve together at once:
// none of them waits in a group for a load.
func TestNobodyWaitsInAGroupForALoad(t *testing.T) {
	w := newNearWorld(2, 2)
	w.group("g1", "quad", 4, "d0", 1)
	w.group("g2", "quad", 4, "d0", 2)
	w.group("g3", "duo", 2, "d0", 1)
	for i := range 4 {
		w.engine(fleet.InstanceID(fmt.Sprintf("cold-%d", i)), "d0", nil)
	}
	planner := NewPlanner(Policy{Spread: true, NearOnly: true, BrokenSettle: 1, MaxLoads: 64, StoreRate: 64})
	actions := planner.Plan(w.s, time.Now())
	assert.DeepEqual(t, kinds(actions), []string{"dissolve quad", "repair quad", "dissolve duo"})
	assert.Equal(t, actions[1].Group.ID, fleet.GroupID("g1"))

	// What is free then makes up whole groups of what it has at hand.
	w = newNearWorld(2, 2)
	for i, near := range []map[string]time.Duration{{"duo": hot, "quad": staged}, {"quad": hot}, {"duo": hot}, nil, nil, nil} {
		w.engine(fleet.InstanceID(fmt.Sprintf("e-%d", i)), "d0", near)
	}
	actions = planner.Plan(w.s, time.Now())
	assert.DeepEqual(t, kinds(actions), []string{"form duo"})
	assert.DeepEqual(t, instanceIDs(actions[0].Group.Members), []fleet.InstanceID{"e-0", "e-2"})

	// While loads take no time, all may be placed.
	w.s.FastLoads = true
	assert.DeepEqual(t, kinds(planner.Plan(w.s, time.Now())), []string{"form quad", "form duo"})
}

// A model that is short of groups gets one from those that another one can do
// without: all of one fabric domain, and only if they suffice.
func TestGroupsThatAreGivenUpMakeUpAnother(t *testing.T) {
	planner := func() *Planner {
		return NewPlanner(Policy{Spread: true, NearOnly: true, BrokenSettle: 1, MaxLoads: 64, StoreRate: 64})
	}
	both := map[string]time.Duration{"duo": hot, "quad": staged}
	world := func() *nearWorld {
		w := newNearWorld(2, 1)
		for _, g := range []struct{ id, domain string }{{"g1", "d0"}, {"g2", "d1"}, {"g3", "d0"}, {"g4", "d1"}} {
			w.group(fleet.GroupID(g.id), "duo", 2, fleet.FabricDomain(g.domain), 0)
		}
		for id, st := range w.s.Instances {
			st.LocalLoadTimes = both
			w.s.Instances[id] = st
		}
		return w
	}
	w := world()
	actions := planner().Plan(w.s, time.Now())
	assert.DeepEqual(t, kinds(actions), []string{"drain duo", "drain duo"})
	assert.Equal(t, actions[0].Group.Fabric, actions[1].Group.Fabric)

	w = world()
	w.engine("spare-1", "d1", both)
	w.engine("spare-2", "d1", both)
	actions = planner().Plan(w.s, time.Now())
	assert.DeepEqual(t, kinds(actions), []string{"drain duo"})
	assert.Equal(t, actions[0].Group.Fabric, fleet.FabricDomain("d1"))

	w = world()
	w.s.Wanted[1].Groups = 3 // only one can be done without
	assert.Equal(t, len(planner().Plan(w.s, time.Now())), 0, "half a group is of no use")
}

// Engines that have two models at hand make up the one of which more is missing.
func TestLargestLackIsFormedFirst(t *testing.T) {
	both := map[string]time.Duration{"duo": hot, "quad": hot}
	w := newNearWorld(4, 2)
	w.group("g1", "quad", 4, "d1", 0)
	for i := range 4 {
		w.engine(fleet.InstanceID(fmt.Sprintf("e-%d", i)), "d0", both)
	}
	planner := NewPlanner(Policy{Spread: true, NearOnly: true, BrokenSettle: 1, MaxLoads: 64, StoreRate: 64})
	assert.DeepEqual(t, kinds(planner.Plan(w.s, time.Now())), []string{"form duo", "form duo"})
	w.group("g2", "duo", 2, "d1", 0)
	w.group("g3", "duo", 2, "d1", 0)
	w.group("g4", "duo", 2, "d1", 0)
	assert.DeepEqual(t, kinds(planner.Plan(w.s, time.Now())), []string{"form quad"})
}
