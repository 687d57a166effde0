package datastore

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"carawayproxy.example/caraway/internal/fleet"
	"carawayproxy.example/caraway/internal/group"
	"carawayproxy.example/caraway/internal/routing"
	"carawayproxy.example/caraway/internal/service"
)

// reports is a fixed set of reports that counts how often each is read.
type reports struct {
	of   map[fleet.InstanceID]fleet.Report
	read map[fleet.InstanceID]int
}

func (r reports) Report(id fleet.InstanceID) (fleet.Report, bool) {
	r.read[id]++
	x, ok := r.of[id]
	return x, ok
}

// world is what a store sees in these tests.
type world struct {
	store   *Store
	groups  *group.View
	reports reports
	leaving map[fleet.InstanceID]bool
	// unreached are instances that this daemon can't reach.
	unreached map[fleet.InstanceID]bool
}

// newWorld makes whole groups of a size.
func newWorld(groups, size int) *world {
	w := &world{
		groups:  &group.View{Groups: map[fleet.GroupID]*group.Group{}},
		reports: reports{map[fleet.InstanceID]fleet.Report{}, map[fleet.InstanceID]int{}},
		leaving: map[fleet.InstanceID]bool{},

		unreached: map[fleet.InstanceID]bool{},
	}
	for n := range groups {
		g := &group.Group{ID: fleet.GroupID(fmt.Sprintf("g%d", n)), Epoch: 1, Service: "s", Version: "v", Phase: group.PhaseActive}
		for i := range size {
			id := fleet.InstanceID(fmt.Sprintf("g%d-%d", n, i))
			g.Members = append(g.Members, group.Member{Instance: id, Address: string(id)})
		}
		w.groups.Groups[g.ID] = g
		for rank, m := range g.Members {
			a := group.AssignmentOf(g, g.Members, fleet.Rank(rank))
			w.reports.of[m.Instance] = fleet.Report{Instance: m.Instance, Assignment: &a, Ready: true, MaxRunning: 16, ReceivedAt: time.Now(), Incarnation: 1}
		}
	}
	spec := &service.Published{Spec: service.Spec{Service: "s", Kind: fleet.KindEngine}}
	w.store = New(Config{
		Groups:    func() *group.View { return w.groups },
		Reports:   w.reports,
		Instances: func() map[fleet.InstanceID]fleet.Instance { return nil },
		Catalog: func() *service.Catalog {
			return &service.Catalog{Services: map[fleet.ServiceName]*service.Published{"s": spec}}
		},
		Leaving:      func(id fleet.InstanceID) bool { return w.leaving[id] },
		Unreached:    func(id fleet.InstanceID) bool { return w.unreached[id] },
		PeerInFlight: func(fleet.GroupID) uint32 { return 0 },
		Policy:       routing.DefaultPolicy(),
		Rand:         rand.New(rand.NewPCG(1, 1)),
	})
	return w
}

func (w *world) change(id fleet.InstanceID, change func(*fleet.Report)) {
	r := w.reports.of[id]
	change(&r)
	w.reports.of[id] = r
}

// TestRecheckSeesWhatTheViewDoesNot: a view may be a moment old; the gate
// before sending never is.
func TestRecheckSeesWhatTheViewDoesNot(t *testing.T) {
	for name, breakIt := range map[string]func(w *world){
		"member silent": func(w *world) { w.change("g0-1", func(r *fleet.Report) { r.Failed = true }) },
		"report old": func(w *world) {
			w.change("g0-1", func(r *fleet.Report) { r.ReceivedAt = r.ReceivedAt.Add(-3 * time.Second) })
		},
		"led by a spare": func(w *world) {
			g := *w.groups.Groups["g0"]
			spare := group.Member{Instance: "spare", Address: "spare"}
			g.Spares = []group.Member{spare}
			w.groups = &group.View{Groups: map[fleet.GroupID]*group.Group{"g0": &g}}
			w.reports.of["spare"] = fleet.Report{Instance: "spare", Ready: true, ReceivedAt: time.Now(), Incarnation: 1}
			now := []group.Member{spare, g.Members[1]}
			for rank, m := range now {
				a := group.AssignmentOf(&g, now, fleet.Rank(rank))
				w.change(m.Instance, func(r *fleet.Report) { r.Assignment = &a })
			}
		},
		"leader cut off":   func(w *world) { w.unreached["g0-0"] = true },
		"member not ready": func(w *world) { w.change("g0-0", func(r *fleet.Report) { r.Ready = false }) },
		"member leaving":   func(w *world) { w.leaving["g0-1"] = true },
		"group gone":       func(w *world) { w.groups = &group.View{} },
		"group draining": func(w *world) {
			g := *w.groups.Groups["g0"]
			g.Phase = group.PhaseDraining
			w.groups = &group.View{Groups: map[fleet.GroupID]*group.Group{"g0": &g}}
		},
		"next epoch": func(w *world) {
			g := *w.groups.Groups["g0"]
			g.Epoch++
			w.groups = &group.View{Groups: map[fleet.GroupID]*group.Group{"g0": &g}}
		},
	} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(1, 2)
			d := w.store.Route(routing.Request{Service: "s", Version: "v"})
			assert.Assert(t, d.Chosen != nil, "%v", d.Rejected)
			assert.Assert(t, w.store.Recheck(*d.Chosen))
			breakIt(w)
			assert.Assert(t, !w.store.Recheck(*d.Chosen))
		})
	}
}

// TestOneFailedRecheckRenewsTheView: where many groups went silent together,
// the next choice is not another of them.
func TestOneFailedRecheckRenewsTheView(t *testing.T) {
	w := newWorld(20, 2)
	now := time.Now()
	assert.Equal(t, len(w.store.Candidates("s", now)), 20)
	for n := range 19 {
		w.change(fleet.InstanceID(fmt.Sprintf("g%d-1", n)), func(r *fleet.Report) { r.Failed = true })
	}
	now = now.Add(viewFor)
	candidates := w.store.Candidates("s", now)
	assert.Assert(t, candidates[0].Whole, "looked at again early")
	assert.Assert(t, !w.store.Recheck(candidates[0]))
	var whole []fleet.GroupID
	for _, c := range w.store.Candidates("s", now) {
		if c.Whole {
			whole = append(whole, c.Group)
		}
	}
	assert.DeepEqual(t, whole, []fleet.GroupID{"g19"})
}

// TestGroupThatIsNotWholeIsLookedAtSoon: only what was whole stands for long.
func TestGroupThatIsNotWholeIsLookedAtSoon(t *testing.T) {
	w := newWorld(1, 2)
	now := time.Now()
	w.change("g0-1", func(r *fleet.Report) { r.Ready = false })
	assert.Assert(t, !w.store.Candidates("s", now)[0].Whole)
	w.change("g0-1", func(r *fleet.Report) { r.Ready = true })
	assert.Assert(t, w.store.Candidates("s", now.Add(viewFor))[0].Whole)
}

func TestWholeGroupsAreSeldomLookedAt(t *testing.T) {
	w := newWorld(20, 16)
	now := time.Now()
	const length = 10 * time.Second
	for at := time.Duration(0); at < length; at += viewFor / 2 {
		for id := range w.reports.of {
			w.change(id, func(r *fleet.Report) { r.ReceivedAt = now.Add(at) })
		}
		w.store.Candidates("s", now.Add(at))
	}
	for id, n := range w.reports.read {
		if !strings.HasSuffix(string(id), "-0") { // leaders' loads are read each time
			assert.Assert(t, n <= int(length/wholeFor)+1, "%s: %d", id, n)
		}
	}
}

func TestCandidatesStandInTheOrderOfTheirNames(t *testing.T) {
	candidates := newWorld(9, 1).store.Candidates("s", time.Now())
	assert.Equal(t, len(candidates), 9)
	for i, c := range candidates {
		assert.Equal(t, c.Group, fleet.GroupID(fmt.Sprintf("g%d", i)))
	}
}

func TestOwnDispatchesCountUntilTheyEnd(t *testing.T) {
	w := newWorld(1, 1)
	w.store.Started("g0", 100)
	w.store.Started("g0", 50)
	c := w.store.Candidates("s", time.Now())[0]
	assert.Equal(t, c.OwnInFlight, uint32(2))
	assert.Equal(t, c.SinceReport, uint32(2))
	assert.Equal(t, c.OwnWaitTokens, uint64(150))
	w.store.Ended("g0", 100)
	w.store.Ended("g0", 50)
	assert.Equal(t, len(w.store.InFlight()), 0)
	assert.Equal(t, w.store.Candidates("s", time.Now())[0].OwnInFlight, uint32(0))
}

func TestLapses(t *testing.T) {
	for name, tc := range map[string]struct {
		change func(w *world)
		lapsed bool
	}{
		"nothing":         {change: func(*world) {}},
		"member silent":   {change: func(w *world) { w.change("g0-1", func(r *fleet.Report) { r.Failed = true }) }},
		"leader restarts": {change: func(w *world) { w.change("g0-0", func(r *fleet.Report) { r.Incarnation = 2 }) }, lapsed: true},
		"leader released": {change: func(w *world) { w.change("g0-0", func(r *fleet.Report) { r.Assignment = nil }) }, lapsed: true},
		"group gone":      {change: func(w *world) { w.groups = &group.View{} }, lapsed: true},
	} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(1, 2)
			l := NewLapses(w.store)
			closed := l.Lapsed("g0", 1)
			w.store.Started("g0", 1)
			tc.change(w)
			l.sweep()
			select {
			case <-closed:
				assert.Assert(t, tc.lapsed)
			default:
				assert.Assert(t, !tc.lapsed)
			}
		})
	}
}

// TestMemberThatPeersHear: requests go to the leader, so that another member
// answers peers only does not matter, and that the leader does, does.
func TestMemberThatPeersHear(t *testing.T) {
	w := newWorld(1, 2)
	w.unreached["g0-1"] = true
	assert.Assert(t, w.store.Route(routing.Request{Service: "s", Version: "v"}).Chosen != nil)
	w.unreached["g0-0"] = true
	clear(w.store.views)
	c := w.store.Candidates("s", time.Now())[0]
	assert.Assert(t, !c.Whole)
	assert.Equal(t, c.WholeReason, "g0-0 "+unreached)
}

// BenchmarkRoute is one routing decision with its view, at a number of groups
// of 16, with a view that is used again and with one that is made anew.
func BenchmarkRoute(b *testing.B) {
	for _, groups := range []int{20, 225} {
		for _, fresh := range []bool{true, false} {
			b.Run(fmt.Sprintf("groups=%d/anew=%t", groups, fresh), func(b *testing.B) {
				w := newWorld(groups, 16)
				for b.Loop() {
					if fresh {
						clear(w.store.views)
					}
					w.store.Route(routing.Request{Service: "s", Version: "v", MaxTokens: 100})
				}
			})
		}
	}
}

// BenchmarkSteady is one of 47 decisions a second at 225 groups of 16: with
// every group looked at for each view, and with those found whole kept.
func BenchmarkSteady(b *testing.B) {
	const interval = time.Second / 47
	for _, keep := range []bool{false, true} {
		b.Run(fmt.Sprintf("keep=%t", keep), func(b *testing.B) {
			w := newWorld(225, 16)
			now := time.Now()
			for id := range w.reports.of {
				w.change(id, func(r *fleet.Report) { r.ReceivedAt = now.Add(time.Hour) })
			}
			for b.Loop() {
				now = now.Add(interval)
				if v := w.store.views["s"]; v != nil && !keep {
					clear(v.looks)
				}
				candidates := w.store.Candidates("s", now)
				w.store.cfg.Policy.Choose(routing.Request{Service: "s", Version: "v", MaxTokens: 100}, candidates, w.store.cfg.Rand)
			}
		})
	}
}
