package lease_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"carawayproxy.example/caraway/internal/fleet"
	"carawayproxy.example/caraway/internal/lease"
	"carawayproxy.example/caraway/standin/platform"
)

// settleTime is sufficient for the first claims and one rebalancing of scopes.
const settleTime = 20 * time.Second

func startMany(c *cluster, n int) {
	for i := range n {
		c.start(fleet.DaemonID(fmt.Sprintf("d%d", i)))
	}
}

func TestScopesAreSpread(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 64)
		c.start("first")
		time.Sleep(5 * time.Second)
		startMany(c, 8)
		time.Sleep(settleTime)
		most := 0
		for _, d := range c.all() {
			n := 0
			for _, s := range c.scopes {
				if _, ok := d.Held(s); ok {
					n++
				}
			}
			t.Logf("%s holds %d", d.id, n)
			most = max(most, n)
		}
		assert.Assert(t, most <= 3*64/9, "one daemon holds %d of 64", most)
		for _, s := range c.scopes {
			assert.Equal(t, len(c.holders(s)), 1)
		}
	})
}

// Nine idle daemons that share 64 scopes append one record of renewals each
// every two seconds.
func TestIdleAppends(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 64)
		startMany(c, 9)
		time.Sleep(settleTime)
		const seconds = 60
		before := c.log.Stats().Appends
		time.Sleep(seconds * time.Second)
		appends := c.log.Stats().Appends - before
		t.Logf("%d appends in %d s", appends, seconds)
		assert.Assert(t, appends <= 9*seconds/2+9, "%d appends in %d s", appends, seconds)
	})
}

func TestTakeoverAfterHolderFailure(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 16)
		startMany(c, 3)
		time.Sleep(settleTime)
		c.kill(c.holder(c.scopes[0]))
		unheld := c.watch(30 * time.Second)
		t.Logf("longest without a holder: %v", unheld)
		assert.Assert(t, unheld <= lease.TakeoverBound, "%v without a holder", unheld)
	})
}

// The other daemons still list the dead daemon as live, so it remains the first
// in the order of its scopes.
func TestTakeoverWithStaleMembership(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 16)
		startMany(c, 9)
		time.Sleep(settleTime)
		dead := c.holder(c.scopes[0])
		dead.stop()
		dead.done.Wait()
		unheld := c.watch(30 * time.Second)
		assert.Assert(t, unheld <= lease.TakeoverBound, "%v without a holder", unheld)
	})
}

func TestReleaseAllowsImmediateTakeover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 16)
		startMany(c, 3)
		time.Sleep(settleTime)
		leaving := c.holder(c.scopes[0])
		c.mu.Lock()
		delete(c.alive, leaving.id) // the other daemons know that it is leaving
		c.mu.Unlock()
		leaving.ReleaseAll(context.Background())
		for _, s := range c.scopes {
			_, ok := leaving.Held(s)
			assert.Assert(t, !ok, "%s is held after its release", s)
		}
		unheld := c.watch(5 * time.Second)
		assert.Assert(t, unheld <= 2*time.Second, "%v without a holder", unheld)
		c.kill(leaving)
	})
}

// A daemon must stop acting even if its release cannot be appended to the log.
func TestReleaseWhileTheLogIsDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 4)
		d := c.start("a")
		time.Sleep(settleTime)
		c.log.SetFaults(platform.LogFaults{Down: true})
		d.ReleaseAll(t.Context())
		for _, s := range c.scopes {
			_, ok := d.Held(s)
			assert.Assert(t, !ok, "%s is held after its release", s)
		}
	})
}

// A holder is paused beyond the validity of its lease and another daemon takes
// over. When the first resumes, it must not hold the scope even before it has
// read the log.
func TestPausedHolderResumesWithoutLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 8)
		startMany(c, 3)
		time.Sleep(settleTime)
		scope := c.scopes[0]
		paused := c.holder(scope)
		old, _ := paused.Held(scope)
		paused.log.pause()
		time.Sleep(20 * time.Second)
		_, ok := paused.Held(scope)
		assert.Assert(t, !ok, "held after 20 s without the log")
		ids := c.holders(scope)
		assert.Equal(t, len(ids), 1)
		assert.Assert(t, ids[0] != paused.id)
		paused.log.resume()
		c.watch(30 * time.Second)
		now, ok := c.holder(scope).Held(scope)
		assert.Assert(t, ok)
		assert.Assert(t, now.Term > old.Term)
	})
}

// A daemon that was paused claims a scope based on an old renewal. The holder has
// renewed since, so the claim must be rejected.
func TestClaimFromStaleViewIsRejected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 8)
		startMany(c, 3)
		time.Sleep(settleTime)
		scope := c.scopes[0]
		holder := c.holder(scope)
		seen, _ := holder.fold.Current(scope)
		time.Sleep(10 * time.Second)
		for _, d := range c.all() {
			if d == holder {
				continue
			}
			res := d.replica.Propose(t.Context(), lease.KindClaim, lease.Claim{Items: []lease.ClaimItem{
				{Scope: scope, Term: seen.Term + 1, Seen: seen.Renewals},
			}})
			assert.Equal(t, res.Verdict.Reason, "renewed since the claimant's last read")
		}
		assert.DeepEqual(t, c.holders(scope), []fleet.DaemonID{holder.id})
	})
}

// The claims are accepted but the responses are lost. The daemon must learn of
// them by reading the log.
func TestClaimWithLostResponse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 8)
		c.log.SetFaults(platform.LogFaults{LoseResponses: 3})
		d := c.start("a")
		time.Sleep(2 * time.Second)
		assert.Assert(t, c.log.Stats().Lost > 0)
		c.checkFirstTerm(d)
	})
}

// The claims are accepted, the responses are lost and the log cannot be read, so
// the outcome is unknown. The daemon must not hold the scopes until it has read
// its claims.
func TestClaimWithUnknownOutcome(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 8)
		c.log.SetFaults(platform.LogFaults{LoseResponses: 1})
		d := c.start("a")
		d.log.setReads(true)
		time.Sleep(time.Second)
		assert.Assert(t, c.log.Stats().Lost > 0)
		_, held := d.Held(c.scopes[0])
		assert.Assert(t, !held, "held by a claim that was not read from the log")
		d.log.setReads(false)
		time.Sleep(time.Second)
		c.checkFirstTerm(d)
		time.Sleep(settleTime)
		c.checkFirstTerm(d)
	})
}

// checkFirstTerm asserts that a daemon holds every scope under term 1.
func (c *cluster) checkFirstTerm(d *daemon) {
	c.t.Helper()
	for _, s := range c.scopes {
		hold, ok := d.Held(s)
		assert.Assert(c.t, ok, "%s is not held", s)
		assert.Equal(c.t, hold.Term, lease.Term(1))
	}
}

// During an outage of the log all holds expire and no scope is taken over.
// Afterwards every scope has a holder within TakeoverBound.
func TestLogOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 8)
		startMany(c, 3)
		time.Sleep(settleTime)
		terms := map[lease.Scope]lease.Term{}
		for _, s := range c.scopes {
			l, _ := c.all()[0].fold.Current(s)
			terms[s] = l.Term
		}
		c.log.SetFaults(platform.LogFaults{Down: true})
		c.watch(time.Minute)
		for _, s := range c.scopes {
			assert.Equal(t, len(c.holders(s)), 0)
			l, _ := c.all()[0].fold.Current(s)
			assert.Equal(t, l.Term, terms[s])
		}
		c.log.SetFaults(platform.LogFaults{})
		time.Sleep(lease.TakeoverBound)
		for _, s := range c.scopes {
			assert.Equal(t, len(c.holders(s)), 1)
		}
	})
}

// A log that responds only after 1.5 s must not cause holds to expire.
func TestSlowLogKeepsHolds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 8)
		startMany(c, 3)
		time.Sleep(settleTime)
		c.log.SetFaults(platform.LogFaults{Delay: 1500 * time.Millisecond})
		unheld := c.watch(time.Minute)
		assert.Equal(t, unheld, time.Duration(0))
	})
}

// A daemon that was paused within a check of the leases dated the holder's latest
// renewal back to before the pause, and claimed the scope at once. A holder that does
// not read the claim, since it is paused then, held it for some seconds more.
func TestPausedObserverTookAFreshRenewalForAnOldOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1)
		daemons := []*daemon{c.start("d0"), c.start("d1")}
		c.watch(3 * time.Second)
		holder := c.holder(c.scopes[0])
		const pause = 10 * time.Second
		for _, d := range daemons {
			if d != holder {
				d.stepPause.Store(int64(pause))
			}
		}
		c.watch(pause - 100*time.Millisecond)
		assert.Equal(t, c.holder(c.scopes[0]), holder)
		holder.log.pause()
		c.watch(lease.TakeoverBound)
		assert.Assert(t, c.holder(c.scopes[0]) != holder)
	})
}
