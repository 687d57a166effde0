package placement_test

import (
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"

	"carawayproxy.example/caraway/internal/event"
	"carawayproxy.example/caraway/internal/fleet"
	"carawayproxy.example/caraway/internal/group"
	"carawayproxy.example/caraway/internal/invariant"
	"carawayproxy.example/caraway/internal/lease"
	"carawayproxy.example/caraway/standin/platform"
)

// runInRig runs a test in virtual time and waits for its daemons to stop.
func runInRig(t *testing.T, engines int, checksFencing bool, test func(t *testing.T, r *rig)) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, engines, checksFencing)
		t.Cleanup(r.running.Wait)
		test(t, r)
	})
}

func isWhole(d *rigDaemon, groups int) func() bool { return func() bool { return d.whole() == groups } }

func TestFormsAndRepairs(t *testing.T) {
	runInRig(t, 7, true, func(t *testing.T, r *rig) {
		r.groups = 2
		d := r.add("d1")
		r.await("both groups whole", time.Minute, isWhole(d, 2))
		var dead fleet.InstanceID
		for _, g := range d.fold.View().Groups {
			dead = g.Members[1].Instance
			r.engineOf(g.Members[1]).kill()
			break
		}
		repaired := r.await("repaired", 2*time.Minute, func() bool {
			_, placed := d.fold.View().ByInstance[dead]
			return !placed && d.whole() == 2
		})
		t.Logf("repaired after %s", repaired)
		repairs := metrics.GetOrRegisterCounter("placement.repairs", d.metrics).Count()
		assert.Equal(t, repairs, int64(1))
		down := metrics.GetOrRegisterCounter("placement.group_downtime_ms.drafting", d.metrics).Count()
		assert.Assert(t, down >= repaired.Milliseconds()-1000, "%d ms of downtime counted", down)
		assert.Assert(t, metrics.GetOrRegisterCounter("placement.stranded_accelerator_ms.drafting", d.metrics).Count() > 0)
	})
}

func TestStrayEngineIsReleased(t *testing.T) {
	runInRig(t, 4, true, func(t *testing.T, r *rig) {
		d := r.add("d1")
		r.await("whole", time.Minute, isWhole(d, 1))
		stray := r.engines[3]
		stray.mu.Lock()
		stray.report.Assignment = &fleet.Assignment{Group: "old", Epoch: 3, Service: "drafting"}
		stray.mu.Unlock()
		r.await("released", 3*time.Second, func() bool { rep, _ := stray.state(); return rep.Assignment == nil })
		assert.Equal(t, d.whole(), 1)
	})
}

// TestHolderFrozenBeforeItsOrder freezes a holder between planning and sending
// orders until another daemon has taken over. It must send no order when it
// resumes.
func TestHolderFrozenBeforeItsOrder(t *testing.T) {
	runInRig(t, 4, false, func(t *testing.T, r *rig) {
		var once sync.Once
		resumeAt := make(chan time.Time, 1)
		freeze := func(_ time.Time, e *event.Event, _ []any) {
			if e.Name != "placement.group-broken" {
				return
			}
			once.Do(func() {
				resumeAt <- time.Now().Add(40 * time.Second)
				time.Sleep(40 * time.Second)
			})
		}
		d1 := r.add("d1", func(d *rigDaemon) { d.sink = freeze })
		r.await("whole", time.Minute, isWhole(d1, 1))
		d2 := r.add("d2")
		time.Sleep(5 * time.Second)
		d1.log.setCut(true)
		r.engineOf(r.onlyGroup(d1).Members[0]).restart()
		r.await("taken over", lease.TakeoverBound+time.Second, func() bool {
			l, _ := d2.leases.Current(rigScope)
			return l.Term == 2
		})
		r.await("whole under the new holder", time.Minute, isWhole(d2, 1))
		r.engineOf(r.onlyGroup(d2).Members[0]).restart() // d1 would have to send an order too
		resumed := <-resumeAt
		time.Sleep(time.Until(resumed) + 10*time.Second)
		for range 8 { // d1 continues without log and lease
			r.engineOf(r.onlyGroup(d2).Members[0]).restart()
			time.Sleep(3130 * time.Millisecond)
		}
		for _, e := range r.engines {
			assert.Equal(t, e.lateOrders(1, resumed.Add(-time.Second)), 0, "%s accepted an order from the holder with an expired lease", e.instance.ID)
		}
		d1.log.setCut(false)
		r.await("whole again", time.Minute, isWhole(d2, 1))
	})
}

// TestOrderOfAFrozenHolderArrivesLate delays orders after their lease check until a
// takeover and a repair are complete.
func TestOrderOfAFrozenHolderArrivesLate(t *testing.T) {
	for _, checks := range []bool{true, false} {
		t.Run(fmt.Sprintf("checks fencing %t", checks), func(t *testing.T) {
			runInRig(t, 4, checks, func(t *testing.T, r *rig) { testLateOrder(t, r, checks) })
		})
	}
}

func testLateOrder(t *testing.T, r *rig, checks bool) {
	release := make(chan struct{})
	d1 := r.add("d1", func(d *rigDaemon) { d.holdOrders = release })
	r.await("formed", time.Minute, func() bool { return len(d1.fold.View().Groups) == 1 })
	time.Sleep(3 * time.Second) // d1 sends its orders, which are held back
	d1.log.setCut(true)
	d2 := r.add("d2")
	r.await("whole under the new holder", time.Minute, isWhole(d2, 1))
	r.engineOf(r.onlyGroup(d2).Members[0]).kill()
	r.await("repaired", 2*time.Minute, func() bool { return r.onlyGroup(d2).Epoch == 2 && d2.whole() == 1 })
	time.Sleep(30 * time.Millisecond) // between two rounds of d2
	close(release)
	seenBroken := false
	for range 600 {
		time.Sleep(50 * time.Millisecond)
		r.checkServing(d1, d2)
		seenBroken = seenBroken || d2.whole() == 0
	}
	refused := 0
	for _, e := range r.engines {
		refused += e.refused
	}
	assert.Equal(t, refused > 0, checks, "%d late orders rejected", refused)
	assert.Equal(t, seenBroken, !checks, "a late order breaks the group only if engines ignore fencing tokens")
	r.await("whole again", time.Minute, isWhole(d2, 1))
}

func TestNewHolderWaitsOutOrdersWhereFencingIsIgnored(t *testing.T) {
	runInRig(t, 4, false, func(t *testing.T, r *rig) {
		d1 := r.add("d1")
		r.await("whole", time.Minute, isWhole(d1, 1))
		d2 := r.add("d2")
		time.Sleep(5 * time.Second)
		d1.stop()
		time.Sleep(50 * time.Millisecond)
		r.engineOf(r.onlyGroup(d2).Members[0]).restart()
		var held time.Time
		r.await("taken over", lease.TakeoverBound, func() bool {
			_, ok := d2.leaseHolder.Held(rigScope)
			held = time.Now()
			return ok
		})
		r.await("whole", time.Minute, isWhole(d2, 1))
		first := time.Time{}
		for _, e := range r.engines {
			for _, o := range e.orders {
				if o.token == 2 && (first.IsZero() || o.at.Before(first)) {
					first = o.at
				}
			}
		}
		assert.Assert(t, !first.IsZero())
		assert.Assert(t, first.Sub(held) >= 2*time.Second-200*time.Millisecond, "first order %s after the takeover", first.Sub(held))
	})
}

// TestLostAnswersFormEachGroupOnce drops the responses to successful appends, with
// enough instances for more groups than wanted. No group may be formed twice.
func TestLostAnswersFormEachGroupOnce(t *testing.T) {
	runInRig(t, 10, true, func(t *testing.T, r *rig) {
		r.groups = 2
		d := r.add("d1")
		r.await("held", time.Minute, d.holds)
		r.log.SetFaults(platform.LogFaults{LoseResponses: 4})
		r.await("both groups whole", time.Minute, isWhole(d, 2))
		assert.Assert(t, r.log.Stats().Lost > 0)
		r.checkFormedOnce(d)
	})
}

// TestLateAppendsFormEachGroupOnce applies the first formation record after its
// proposer timed out and formed the group from other instances.
func TestLateAppendsFormEachGroupOnce(t *testing.T) {
	defer invariant.SetHandler(func(b invariant.Breach) { t.Error(b.Error()) })()
	runInRig(t, 10, true, func(t *testing.T, r *rig) {
		r.groups = 2
		var unknown atomic.Bool
		d := r.add("d1", func(d *rigDaemon) {
			d.sink = func(_ time.Time, e *event.Event, _ []any) {
				unknown.CompareAndSwap(false, e.Name == "placement.unknown")
			}
		})
		r.await("held", time.Minute, d.holds)
		d.log.setLate(40 * time.Second)
		r.await("proposal timed out", time.Minute, unknown.Load)
		d.log.setLate(0)
		r.engines[0].kill()
		r.await("both groups whole", time.Minute, isWhole(d, 2))
		_, applied := d.log.lateAppends()
		assert.Equal(t, applied, 0, "the late append was applied too early")
		r.checkFormedOnce(d)
		_, applied = d.log.lateAppends()
		assert.Assert(t, applied > 0)
	})
}

// checkFormedOnce asserts for a minute that exactly two groups of three exist and
// that no other group was ever formed.
func (r *rig) checkFormedOnce(d *rigDaemon) {
	for range 600 {
		time.Sleep(100 * time.Millisecond)
		v := d.fold.View()
		assert.Equal(r.t, len(v.Groups), 2)
		assert.Equal(r.t, len(v.ByInstance), 6)
		assert.Equal(r.t, v.Issued[rigScope].Counter, uint64(2))
		assert.Equal(r.t, d.whole(), 2)
	}
}

func TestTakeoverRepairsWithinItsBound(t *testing.T) {
	runInRig(t, 4, true, func(t *testing.T, r *rig) {
		d1 := r.add("d1")
		r.await("whole", time.Minute, isWhole(d1, 1))
		d2 := r.add("d2")
		time.Sleep(5 * time.Second)
		d1.stop()
		time.Sleep(50 * time.Millisecond)
		r.engineOf(r.onlyGroup(d2).Members[2]).restart()
		took := r.await("whole", lease.TakeoverBound+rigLoad+2*time.Second, isWhole(d2, 1))
		t.Logf("whole %s after the holder and a member died", took)
	})
}

// TestPromotionWhileTheLogIsDown kills a member during a log outage of ten minutes.
// The last holder promotes the reserved spare without a record.
func TestPromotionWhileTheLogIsDown(t *testing.T) {
	runInRig(t, 4, true, func(t *testing.T, r *rig) {
		r.spares = 1
		d := r.add("d1")
		r.await("whole", time.Minute, isWhole(d, 1))
		time.Sleep(10 * time.Second)
		r.log.SetFaults(platform.LogFaults{Down: true})
		time.Sleep(30 * time.Second) // the lease expires
		_, held := d.leaseHolder.Held(rigScope)
		assert.Equal(t, held, false)
		g := r.onlyGroup(d)
		assert.Equal(t, len(g.Spares), 1)
		r.engineOf(g.Members[1]).kill()
		took := r.await("promoted", 2*time.Minute, isWhole(d, 1))
		t.Logf("whole %s after the death", took)
		time.Sleep(9 * time.Minute)
		r.log.SetFaults(platform.LogFaults{})
		for range 300 {
			time.Sleep(100 * time.Millisecond)
			assert.Equal(t, d.whole(), 1, "the promoted group stays whole when the log is available again")
		}
		assert.Equal(t, r.onlyGroup(d).Epoch, fleet.Epoch(1))
	})
}

// TestPromotionIsUndone pauses a member while the log is down. When it returns with
// its weights, its group must not wait for the spare to load.
func TestPromotionIsUndone(t *testing.T) {
	runInRig(t, 4, true, func(t *testing.T, r *rig) {
		r.spares = 1
		d := r.add("d1")
		r.await("whole", time.Minute, isWhole(d, 1))
		r.log.SetFaults(platform.LogFaults{Down: true})
		time.Sleep(30 * time.Second)
		g := r.onlyGroup(d)
		paused, spare := r.engineOf(g.Members[1]), r.engineOf(g.Spares[0])
		paused.kill()
		r.await("promoted", 5*time.Second, func() bool { rep, _ := spare.state(); return rep.Assignment != nil })
		time.Sleep(50 * time.Millisecond) // the other members have their orders too
		paused.resume()
		r.await("whole again", rigLoad/2, isWhole(d, 1))
		assert.DeepEqual(t, group.ReportedComposition(g, currentReports(r.engines)), g.Members)
		for range 200 {
			time.Sleep(100 * time.Millisecond)
			assert.Equal(t, d.whole(), 1, "the group stays whole when the spare would have loaded")
		}
	})
}
