package placement_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"carawayproxy.example/caraway/internal/fleet"
	"carawayproxy.example/caraway/internal/group"
	"carawayproxy.example/caraway/standin/platform"
)

// inOutage runs a test on a rig whose log has gone down after the daemons d1,
// which holds the scope, d2 and d3 had a whole group.
func inOutage(t *testing.T, spares int, checks bool, test func(r *rig, d1, d2, d3 *rigDaemon, g *group.Group)) {
	t.Helper()
	inRig(t, 5, checks, func(t *testing.T, r *rig) {
		r.spares = spares
		d1 := r.add("d1")
		r.await("whole", time.Minute, isWhole(d1, 1))
		d2, d3 := r.add("d2"), r.add("d3")
		time.Sleep(5 * time.Second)
		r.log.SetFaults(platform.LogFaults{Down: true})
		time.Sleep(30 * time.Second) // the hold lapses
		test(r, d1, d2, d3, r.onlyGroup(d2))
	})
}

// ordersSince lists the orders that the engines accepted after a moment.
func (r *rig) ordersSince(at time.Time) map[fleet.InstanceID][]rigOrder {
	out := map[fleet.InstanceID][]rigOrder{}
	for _, e := range r.engines {
		e.mu.Lock()
		for _, o := range e.orders {
			if o.at.After(at) {
				out[e.instance.ID] = append(out[e.instance.ID], o)
			}
		}
		e.mu.Unlock()
	}
	return out
}

// watchServing checks for a while that what serves is whole and exclusive.
func (r *rig) watchServing(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		r.mu.Lock()
		daemons := r.daemons
		r.mu.Unlock()
		r.checkServing(daemons...)
	}
}

// TestCaretakerGivesBackRecordedPlaces lets the holder die in an outage and two
// members return without their places.
func TestCaretakerGivesBackRecordedPlaces(t *testing.T) {
	for _, checks := range []bool{true, false} {
		t.Run(fmt.Sprintf("checks fencing %t", checks), func(t *testing.T) {
			inOutage(t, 0, checks, func(r *rig, d1, d2, d3 *rigDaemon, g *group.Group) {
				d1.kill()
				time.Sleep(50 * time.Millisecond)
				start := time.Now()
				for _, m := range g.Members[:2] {
					r.engineOf(m).restart()
				}
				r.await("whole without the holder", rigLoad+10*time.Second, isWhole(d2, 1))
				r.watchServing(time.Minute)
				assert.Equal(r.t, d3.whole(), 1)
				orders := r.ordersSince(start)
				assert.Equal(r.t, len(orders), 2, "only who returned is ordered: %v", orders)
				for rank, m := range g.Members[:2] {
					assert.Equal(r.t, len(orders[m.Instance]), 1, "%s: one daemon orders, once", m.Instance)
					o := orders[m.Instance][0]
					assert.Equal(r.t, o.token, uint64(1))
					assert.DeepEqual(r.t, *o.assign, group.AssignmentOf(g, g.Members, fleet.Rank(rank)))
				}
			})
		})
	}
}

// TestCaretakerNeverPromotes leaves a group without a member and with a spare.
func TestCaretakerNeverPromotes(t *testing.T) {
	inOutage(t, 1, true, func(r *rig, d1, _, _ *rigDaemon, g *group.Group) {
		d1.kill()
		time.Sleep(50 * time.Millisecond)
		start := time.Now()
		r.engineOf(g.Members[0]).kill()
		r.engineOf(g.Members[1]).restart()
		time.Sleep(2 * time.Minute)
		orders := r.ordersSince(start)
		assert.Equal(r.t, len(orders), 1, "%v", orders)
		assert.Equal(r.t, len(orders[g.Members[1].Instance]), 1)
	})
}

// TestCaretakerChangesNoPlace lets a member return in another place than the
// recorded one, of which this daemon may not have read.
func TestCaretakerChangesNoPlace(t *testing.T) {
	for name, a := range map[string]fleet.Assignment{
		"another group":       {Group: "placement/00.9.9", Epoch: 1, Service: "drafting"},
		"a later epoch":       {Epoch: 2},
		"another composition": {Epoch: 1, Members: []string{"x", "y", "z"}},
	} {
		t.Run(name, func(t *testing.T) {
			inOutage(t, 0, false, func(r *rig, d1, _, _ *rigDaemon, g *group.Group) {
				d1.kill()
				time.Sleep(50 * time.Millisecond)
				start := time.Now()
				if a.Group == "" {
					a.Group = g.ID
				}
				moved := r.engineOf(g.Members[0])
				moved.mu.Lock()
				moved.report.Assignment = &a
				moved.mu.Unlock()
				r.engineOf(g.Members[1]).restart()
				time.Sleep(time.Minute)
				assert.Equal(r.t, len(r.ordersSince(start)), 0, "a group that was changed elsewhere is left alone")
			})
		})
	}
}

// TestCaretakerStepsBack keeps the holder running: as long as it is heard it
// alone orders; when it is not, both may and agree; the next holder is obeyed.
func TestCaretakerStepsBack(t *testing.T) {
	for _, checks := range []bool{true, false} {
		t.Run(fmt.Sprintf("checks fencing %t", checks), func(t *testing.T) {
			inOutage(t, 0, checks, func(r *rig, d1, d2, _ *rigDaemon, g *group.Group) {
				d1.unheard.Store(true)
				for i := range 6 {
					start := time.Now()
					r.engineOf(g.Members[i%3]).restart()
					r.await("whole", rigLoad+10*time.Second, isWhole(d2, 1))
					r.watchServing(5 * time.Second)
					for id, orders := range r.ordersSince(start) {
						assert.Equal(r.t, id, g.Members[i%3].Instance)
						for _, o := range orders {
							assert.Equal(r.t, o.token, uint64(1))
							assert.DeepEqual(r.t, *o.assign, group.AssignmentOf(g, g.Members, fleet.Rank(i%3)))
						}
					}
				}
				d1.kill()
				time.Sleep(50 * time.Millisecond)
				r.engineOf(g.Members[0]).restart()
				r.log.SetFaults(platform.LogFaults{})
				r.await("taken over", time.Minute, func() bool {
					l, _ := d2.leases.Current(rigScope)
					return l.Term == 2
				})
				over := time.Now()
				r.engineOf(g.Members[1]).kill()
				r.watchServing(2 * time.Minute)
				assert.Equal(r.t, d2.whole(), 1)
				for id, orders := range r.ordersSince(over.Add(time.Second)) {
					for _, o := range orders {
						assert.Equal(r.t, o.token, uint64(2), "%s got an order of the old term", id)
					}
				}
			})
		})
	}
}

// TestLastHolderGoesOnAfterAGap lets a hold lapse some seconds before the log
// is known to be down: appends get no answer while reads still do.
func TestLastHolderGoesOnAfterAGap(t *testing.T) {
	inRig(t, 3, true, func(t *testing.T, r *rig) {
		d := r.add("d1")
		r.await("whole", time.Minute, isWhole(d, 1))
		time.Sleep(5 * time.Second)
		d.log.setLate(time.Minute)
		time.Sleep(5 * time.Second)
		r.log.SetFaults(platform.LogFaults{Down: true})
		r.await("lapsed", 5*time.Second, func() bool { return !d.holds() })
		assert.Assert(t, !d.lostLog(), "the outage is not known yet")
		time.Sleep(time.Second)
		r.engineOf(r.onlyGroup(d).Members[0]).restart()
		r.await("whole by the last holder", rigLoad+10*time.Second, isWhole(d, 1))
	})
}
