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

// runInOutage runs a test on a rig whose log is down and whose lease has expired.
// The arguments d1, d2 and d3 are the daemons with the ids d1, d6 and d9. d1 is
// the last holder, which is not the first in the scope's order. Before the outage
// they had one whole group.
func runInOutage(t *testing.T, spares int, checks bool, test func(r *rig, d1, d2, d3 *rigDaemon, g *group.Group)) {
	t.Helper()
	runInRig(t, 5, checks, func(t *testing.T, r *rig) {
		r.spares = spares
		d1 := r.add("d1")
		r.await("whole", time.Minute, isWhole(d1, 1))
		d2, d3 := r.add("d6"), r.add("d9")
		assert.Assert(t, !lease.First(rigScope, d1.id, d1.alive()))
		time.Sleep(5 * time.Second)
		r.log.SetFaults(platform.LogFaults{Down: true})
		time.Sleep(30 * time.Second) // the lease expires
		test(r, d1, d2, d3, r.onlyGroup(d2))
	})
}

// ordersSince returns the orders that the engines accepted since a moment.
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

// checkServingFor calls checkServing repeatedly for a duration.
func (r *rig) checkServingFor(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		r.mu.Lock()
		daemons := r.daemons
		r.mu.Unlock()
		r.checkServing(daemons...)
	}
}

// TestFallbackHolderRestoresRecordedPlaces kills the holder in a log outage and
// restarts two members, which return without places.
func TestFallbackHolderRestoresRecordedPlaces(t *testing.T) {
	for _, checks := range []bool{true, false} {
		t.Run(fmt.Sprintf("checks fencing %t", checks), func(t *testing.T) {
			runInOutage(t, 0, checks, func(r *rig, d1, d2, d3 *rigDaemon, g *group.Group) {
				d1.kill()
				time.Sleep(50 * time.Millisecond)
				start := time.Now()
				for _, m := range g.Members[:2] {
					r.engineOf(m).restart()
				}
				r.await("whole without the holder", rigLoad+10*time.Second, isWhole(d2, 1))
				r.checkServingFor(time.Minute)
				assert.Equal(r.t, d3.whole(), 1)
				orders := r.ordersSince(start)
				assert.Equal(r.t, len(orders), 2, "only returned members get orders: %v", orders)
				for rank, m := range g.Members[:2] {
					assert.Equal(r.t, len(orders[m.Instance]), 1, "%s: must get exactly one order", m.Instance)
					o := orders[m.Instance][0]
					assert.Equal(r.t, o.token, uint64(1))
					assert.DeepEqual(r.t, *o.assign, group.AssignmentOf(g, g.Members, fleet.Rank(rank)))
				}
			})
		})
	}
}

// TestFallbackHolderNeverPromotes kills a member of a group that has a spare.
func TestFallbackHolderNeverPromotes(t *testing.T) {
	runInOutage(t, 1, true, func(r *rig, d1, _, _ *rigDaemon, g *group.Group) {
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

// TestFallbackHolderChangesNoPlace has a member report another place than the
// one in the record known to the fallback holder. A newer record may exist that
// the fallback holder has not read.
func TestFallbackHolderChangesNoPlace(t *testing.T) {
	for name, a := range map[string]fleet.Assignment{
		"another group":            {Group: "placement/00.9.9", Epoch: 1, Service: "drafting"},
		"a later epoch":            {Epoch: 2},
		"a later epoch, then down": {Epoch: 3},
		"another composition":      {Epoch: 1, Members: []string{"x", "y", "z"}},
	} {
		t.Run(name, func(t *testing.T) {
			runInOutage(t, 0, false, func(r *rig, d1, _, _ *rigDaemon, g *group.Group) {
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
				assert.Equal(r.t, len(r.ordersSince(start)), 0, "a group that was changed elsewhere gets no orders")
			})
		})
	}
}

// TestNoFallbackWhileHolderOrLogIsAvailable checks that no other daemon sends
// orders while the holder runs, if the holder is reachable in a log outage or
// the log is available.
func TestNoFallbackWhileHolderOrLogIsAvailable(t *testing.T) {
	for name, alive := range map[string]bool{"reachable in an outage": true, "unreachable without an outage": false} {
		t.Run(name, func(t *testing.T) {
			runInRig(t, 3, true, func(t *testing.T, r *rig) {
				d1 := r.add("d1")
				r.await("whole", time.Minute, isWhole(d1, 1))
				d6 := r.add("d6")
				assert.Assert(t, lease.First(rigScope, d6.id, d6.alive()))
				time.Sleep(5 * time.Second)
				d1.unreachable.Store(!alive)
				r.log.SetFaults(platform.LogFaults{Down: alive})
				time.Sleep(30 * time.Second)
				d1.delay.Store(int64(time.Hour)) // d1's own orders arrive after the test
				start := time.Now()
				for _, e := range r.engines[1:] {
					e.restart()
				}
				time.Sleep(30 * time.Second)
				assert.Equal(t, len(r.ordersSince(start)), 0, "no other daemon sends orders")
			})
		})
	}
}

// TestFallbackHolderYieldsToNextHolder isolates a running holder from the other
// daemons. The holder and the fallback holder both send orders, which must agree.
// Once a new term begins, only its orders are accepted.
func TestFallbackHolderYieldsToNextHolder(t *testing.T) {
	for _, checks := range []bool{true, false} {
		t.Run(fmt.Sprintf("checks fencing %t", checks), func(t *testing.T) {
			runInOutage(t, 0, checks, func(r *rig, d1, d2, _ *rigDaemon, g *group.Group) {
				d1.unreachable.Store(true)
				for i := range 6 {
					start := time.Now()
					r.engineOf(g.Members[i%3]).restart()
					r.await("whole", rigLoad+10*time.Second, isWhole(d2, 1))
					r.checkServingFor(5 * time.Second)
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
				takenOverAt := time.Now()
				r.engineOf(g.Members[1]).kill()
				r.checkServingFor(2 * time.Minute)
				assert.Equal(r.t, d2.whole(), 1)
				for id, orders := range r.ordersSince(takenOverAt.Add(time.Second)) {
					for _, o := range orders {
						assert.Equal(r.t, o.token, uint64(2), "%s got an order of the old term", id)
					}
				}
			})
		})
	}
}

// TestFallbackHolderWithStaleRecord has the holder repair a group in a record
// that no other daemon reads before the log goes down and the holder dies. All
// engines of the old record then return without places. Groups that serve by
// the old record must be whole and share no engine, and the new record must be
// applied once it is read.
func TestFallbackHolderWithStaleRecord(t *testing.T) {
	for _, checks := range []bool{true, false} {
		t.Run(fmt.Sprintf("checks fencing %t", checks), func(t *testing.T) {
			runInRig(t, 5, checks, func(t *testing.T, r *rig) {
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
				r.checkServingFor(time.Minute)
				assert.Equal(t, d2.whole(), 1, "the members of the old record have their places again")
				r.log.SetFaults(platform.LogFaults{})
				r.await("whole by the new record", time.Minute, func() bool {
					r.checkServing(d1, d2, d3)
					return r.onlyGroup(d2).Epoch == 2 && d2.whole() == 1
				})
			})
		})
	}
}

// TestFallbackHolderStopsAtNewerTerm has an engine report a newer term.
func TestFallbackHolderStopsAtNewerTerm(t *testing.T) {
	runInOutage(t, 0, true, func(r *rig, d1, _, _ *rigDaemon, g *group.Group) {
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

// TestFallbackHolderWaitsForOrdersToExpire measures the time from the holder's
// death to the first order of the fallback holder. Orders of the dead holder
// must have expired by then.
func TestFallbackHolderWaitsForOrdersToExpire(t *testing.T) {
	runInOutage(t, 0, false, func(r *rig, d1, d2, _ *rigDaemon, g *group.Group) {
		d1.kill()
		died := time.Now()
		time.Sleep(50 * time.Millisecond)
		r.engineOf(g.Members[0]).restart()
		r.await("whole", rigLoad+10*time.Second, isWhole(d2, 1))
		first := r.ordersSince(died)[g.Members[0].Instance][0].at
		assert.Assert(r.t, first.Sub(died) >= 2*time.Second, "an order is valid for 2 s; the first one came after %s", first.Sub(died))
	})
}

// TestLastHolderContinuesAfterGap lets a lease expire several seconds before
// the log is known to be down: appends get no answer while reads still succeed.
func TestLastHolderContinuesAfterGap(t *testing.T) {
	runInRig(t, 3, true, func(t *testing.T, r *rig) {
		d := r.add("d1")
		r.await("whole", time.Minute, isWhole(d, 1))
		time.Sleep(5 * time.Second)
		d.log.setLate(time.Minute)
		time.Sleep(5 * time.Second)
		r.log.SetFaults(platform.LogFaults{Down: true})
		r.await("lease expired", 5*time.Second, func() bool { return !d.holds() })
		assert.Assert(t, !d.lostLog(), "the outage is not known yet")
		time.Sleep(time.Second)
		r.engineOf(r.onlyGroup(d).Members[0]).restart()
		r.await("whole under the last holder", rigLoad+10*time.Second, isWhole(d, 1))
	})
}
