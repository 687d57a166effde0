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

// settle is enough for the first claims and for the scopes to be spread.
const settle = 20 * time.Second

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
		time.Sleep(settle)
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

// Nine idle daemons that share 64 scopes: one record of renewals each two
// seconds for each daemon.
func TestIdleAppends(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 64)
		startMany(c, 9)
		time.Sleep(settle)
		const seconds = 60
		before := c.log.Stats().Appends
		time.Sleep(seconds * time.Second)
		appends := c.log.Stats().Appends - before
		t.Logf("%d appends in %d s", appends, seconds)
		assert.Assert(t, appends <= 9*seconds/2+9, "%d appends in %d s", appends, seconds)
	})
}

func TestTakeoverAfterADeath(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 16)
		startMany(c, 3)
		time.Sleep(settle)
		c.kill(c.holder(c.scopes[0]))
		without := c.watch(30 * time.Second)
		t.Logf("longest without a holder: %v", without)
		assert.Assert(t, without <= lease.TakeoverBound, "%v without a holder", without)
	})
}

// The others still count the dead daemon as alive, so it stays first in the
// order of its scopes.
func TestTakeoverWithAStaleView(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 16)
		startMany(c, 9)
		time.Sleep(settle)
		dead := c.holder(c.scopes[0])
		dead.stop()
		dead.done.Wait()
		without := c.watch(30 * time.Second)
		assert.Assert(t, without <= lease.TakeoverBound, "%v without a holder", without)
	})
}

func TestReleaseFreesAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 16)
		startMany(c, 3)
		time.Sleep(settle)
		leaving := c.holder(c.scopes[0])
		c.mu.Lock()
		delete(c.alive, leaving.id) // it is leaving: nobody counts on it
		c.mu.Unlock()
		leaving.ReleaseAll(context.Background())
		for _, s := range c.scopes {
			_, ok := leaving.Held(s)
			assert.Assert(t, !ok, "%s is held after its release", s)
		}
		without := c.watch(5 * time.Second)
		assert.Assert(t, without <= 2*time.Second, "%v without a holder", without)
		c.kill(leaving)
	})
}

// The release can't reach the log; the daemon stops acting all the same.
func TestReleaseWhileTheLogIsDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 4)
		d := c.start("a")
		time.Sleep(settle)
		c.log.SetFaults(platform.LogFaults{Down: true})
		d.ReleaseAll(t.Context())
		for _, s := range c.scopes {
			_, ok := d.Held(s)
			assert.Assert(t, !ok, "%s is held after its release", s)
		}
	})
}

// A holder is paused past its lease, another takes over, the first wakes: at
// the first look it must not hold, before it has read anything.
func TestFrozenHolderWakesWithoutTheLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 8)
		startMany(c, 3)
		time.Sleep(settle)
		scope := c.scopes[0]
		frozen := c.holder(scope)
		old, _ := frozen.Held(scope)
		frozen.gate.shut()
		time.Sleep(20 * time.Second)
		_, ok := frozen.Held(scope)
		assert.Assert(t, !ok, "held after 20 s without the log")
		ids := c.holders(scope)
		assert.Equal(t, len(ids), 1)
		assert.Assert(t, ids[0] != frozen.id)
		frozen.gate.reopen()
		c.watch(30 * time.Second)
		now, ok := c.holder(scope).Held(scope)
		assert.Assert(t, ok)
		assert.Assert(t, now.Term > old.Term)
	})
}

// An observer that was paused sees an old renewal. The holder has renewed
// since, so the observer's claim must not count.
func TestClaimFromAnOldViewIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 8)
		startMany(c, 3)
		time.Sleep(settle)
		scope := c.scopes[0]
		holder := c.holder(scope)
		seen, _ := holder.book.Current(scope)
		time.Sleep(10 * time.Second)
		for _, d := range c.all() {
			if d == holder {
				continue
			}
			res := d.replica.Propose(t.Context(), lease.KindClaim, lease.Claim{Items: []lease.ClaimItem{
				{Scope: scope, Term: seen.Term + 1, Seen: seen.Renewals},
			}})
			assert.Equal(t, res.Verdict.Reason, "renewed since the claimant looked")
		}
		assert.DeepEqual(t, c.holders(scope), []fleet.DaemonID{holder.id})
	})
}

// The claims take effect and their answers are lost; the log is read back.
func TestLostAnswerToAClaim(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 8)
		c.log.SetFaults(platform.LogFaults{LoseAnswers: 3})
		d := c.start("a")
		time.Sleep(2 * time.Second)
		assert.Assert(t, c.log.Stats().Lost > 0)
		c.checkFirstTerm(d)
	})
}

// The claims take effect, their answers are lost and the log can't be read
// back, so that their fate is unknown.
func TestUnknownFateOfAClaim(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 8)
		c.log.SetFaults(platform.LogFaults{LoseAnswers: 1})
		d := c.start("a")
		d.gate.setReads(true)
		time.Sleep(time.Second)
		assert.Assert(t, c.log.Stats().Lost > 0)
		_, held := d.Held(c.scopes[0])
		assert.Assert(t, !held, "held by a claim that was not read")
		d.gate.setReads(false)
		time.Sleep(time.Second)
		c.checkFirstTerm(d)
		time.Sleep(settle)
		c.checkFirstTerm(d)
	})
}

// checkFirstTerm asserts that a daemon holds every scope by its first claim.
func (c *cluster) checkFirstTerm(d *daemon) {
	c.t.Helper()
	for _, s := range c.scopes {
		hold, ok := d.Held(s)
		assert.Assert(c.t, ok, "%s is not held", s)
		assert.Equal(c.t, hold.Term, lease.Term(1))
	}
}

// While the log is down nobody takes over and holds lapse; afterwards the
// scopes are held again within the bound.
func TestLogOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 8)
		startMany(c, 3)
		time.Sleep(settle)
		terms := map[lease.Scope]lease.Term{}
		for _, s := range c.scopes {
			l, _ := c.all()[0].book.Current(s)
			terms[s] = l.Term
		}
		c.log.SetFaults(platform.LogFaults{Down: true})
		c.watch(time.Minute)
		for _, s := range c.scopes {
			assert.Equal(t, len(c.holders(s)), 0)
			l, _ := c.all()[0].book.Current(s)
			assert.Equal(t, l.Term, terms[s])
		}
		c.log.SetFaults(platform.LogFaults{})
		time.Sleep(lease.TakeoverBound)
		for _, s := range c.scopes {
			assert.Equal(t, len(c.holders(s)), 1)
		}
	})
}

// A slow log that answers after 1.5 s keeps the holds standing.
func TestSlowLogKeepsHolds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 8)
		startMany(c, 3)
		time.Sleep(settle)
		c.log.SetFaults(platform.LogFaults{Delay: 1500 * time.Millisecond})
		without := c.watch(time.Minute)
		assert.Equal(t, without, time.Duration(0))
	})
}
