package placement_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"carawayproxy.example/caraway/internal/fleet"
	"carawayproxy.example/caraway/internal/group"
	"carawayproxy.example/caraway/internal/lease"
	"carawayproxy.example/caraway/standin/platform"
)

// inOutage runs a test on a rig whose log has gone down after the daemons d1,
// which holds the scope and is not the first in its order, d6 and d9 had a whole
// group.
func inOutage(t *testing.T, spares int, checks bool, test func(r *rig, d1, d2, d3 *rigDaemon, g *group.Group)) {
	t.Helper()
	inRig(t, 5, checks, func(t *testing.T, r *rig) {
		r.spares = spares
		d1 := r.add("d1")
		r.await("whole", time.Minute, isWhole(d1, 1))
		d2, d3 := r.add("d6"), r.add("d9")
		assert.Assert(t, !lease.First(rigScope, d1.id, d1.alive()))
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
			if !o.at.Before(at) {
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
		"another group":               {Group: "placement/00.9.9", Epoch: 1, Service: "drafting"},
		"a later epoch":               {Epoch: 2},
		"a later epoch, then silence": {Epoch: 3},
		"another composition":         {Epoch: 1, Members: []string{"x", "y", "z"}},
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
				if a.Epoch == 3 {
					moved.kill()
				}
				r.engineOf(g.Members[1]).restart()
				time.Sleep(time.Minute)
				assert.Equal(r.t, len(r.ordersSince(start)), 0, "a group that was changed elsewhere is left alone")
			})
		})
	}
}

// TestCaretakerLeavesAHolderAlone keeps the holder running, heard in an outage
// or unheard while the log is there: nobody orders in its place.
func TestCaretakerLeavesAHolderAlone(t *testing.T) {
	for name, heard := range map[string]bool{"heard in an outage": true, "unheard without one": false} {
		t.Run(name, func(t *testing.T) {
			inRig(t, 3, true, func(t *testing.T, r *rig) {
				d1 := r.add("d1")
				r.await("whole", time.Minute, isWhole(d1, 1))
				d6 := r.add("d6")
				assert.Assert(t, lease.First(rigScope, d6.id, d6.alive()))
				time.Sleep(5 * time.Second)
				d1.unheard.Store(!heard)
				r.log.SetFaults(platform.LogFaults{Down: heard})
				time.Sleep(30 * time.Second)
				d1.delay.Store(int64(time.Hour)) // its own orders come too late to count
				start := time.Now()
				for _, e := range r.engines[1:] {
					e.restart()
				}
				time.Sleep(30 * time.Second)
				assert.Equal(t, len(r.ordersSince(start)), 0, "nobody orders for the holder")
			})
		})
	}
}

// TestCaretakerStepsBack keeps the holder running where nobody hears it: both
// order and agree; the next holder is obeyed.
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

// TestCaretakerBehindTheLog lets the holder repair a group in a record that no
// other daemon reads before the log goes down and the holder dies; then all
// engines of the old record return without places. What serves by the old record
// is whole and exclusive, and the new one is obeyed as soon as it is read.
func TestCaretakerBehindTheLog(t *testing.T) {
	for _, checks := range []bool{true, false} {
		t.Run(fmt.Sprintf("checks fencing %t", checks), func(t *testing.T) {
			inRig(t, 5, checks, func(t *testing.T, r *rig) {
				d1 := r.add("d1")
				r.await("whole", time.Minute, isWhole(d1, 1))
				d2, d3 := r.add("d2"), r.add("d3")
				time.Sleep(5 * time.Second)
				old := r.onlyGroup(d2)
				d2.log.setCut(true)
				d3.log.setCut(true)
				r.engineOf(old.Members[0]).kill()
				r.await("repaired", time.Minute, func() bool { return r.onlyGroup(d1).Epoch == 2 && d1.whole() == 1 })
				r.log.SetFaults(platform.LogFaults{Down: true})
				d2.log.setCut(false)
				d3.log.setCut(false)
				d1.kill()
				time.Sleep(50 * time.Millisecond)
				for _, m := range old.Members {
					r.engineOf(m).restart()
				}
				r.watchServing(time.Minute)
				assert.Equal(t, d2.whole(), 1, "the old record's members are back in their places")
				r.log.SetFaults(platform.LogFaults{})
				r.await("whole by the new record", time.Minute, func() bool {
					r.checkServing(d1, d2, d3)
					return r.onlyGroup(d2).Epoch == 2 && d2.whole() == 1
				})
			})
		})
	}
}

// TestCaretakerEndsAtANewerTerm lets an engine show that a newer term exists.
func TestCaretakerEndsAtANewerTerm(t *testing.T) {
	inOutage(t, 0, true, func(r *rig, d1, _, _ *rigDaemon, g *group.Group) {
		d1.kill()
		time.Sleep(50 * time.Millisecond)
		e := r.engineOf(g.Members[0])
		e.restart()
		e.mu.Lock()
		e.highest = 2
		e.mu.Unlock()
		time.Sleep(20 * time.Second)
		assert.Equal(r.t, e.refusals(), 1)
		start := time.Now()
		r.engineOf(g.Members[1]).restart()
		time.Sleep(time.Minute)
		assert.Equal(r.t, len(r.ordersSince(start)), 0)
		assert.Equal(r.t, e.refusals(), 1)
	})
}

// TestCaretakerWaitsOutTheHoldersOrders measures from the holder's death to
// the caretaker's first order.
func TestCaretakerWaitsOutTheHoldersOrders(t *testing.T) {
	inOutage(t, 0, false, func(r *rig, d1, d2, _ *rigDaemon, g *group.Group) {
		d1.kill()
		died := time.Now()
		time.Sleep(50 * time.Millisecond)
		r.engineOf(g.Members[0]).restart()
		r.await("whole", rigLoad+10*time.Second, isWhole(d2, 1))
		first := r.ordersSince(died)[g.Members[0].Instance][0].at
		assert.Assert(r.t, first.Sub(died) >= 2*time.Second, "an order lasts 2 s; the first came after %s", first.Sub(died))
	})
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
