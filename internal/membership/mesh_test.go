package membership

import (
	"context"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"carawayproxy.example/caraway/internal/fleet"
	"carawayproxy.example/caraway/internal/journal"
	"carawayproxy.example/caraway/internal/suspect"
)

// configBound is the specified time within which a configuration must be in
// force.
const configBound = 7 * time.Second

// leavingBound is the specified time after which a leaving instance must get no
// requests.
const leavingBound = 3 * time.Second

func alive(m *member) int { return m.View().AliveAt(time.Now(), m.cfg.AliveFor) }

func TestNineDaemonsLinkToEachOther(t *testing.T) {
	runCluster(t, 9, func(t *testing.T, c *cluster) {
		time.Sleep(time.Minute)
		for _, m := range c.members {
			assert.Equal(t, alive(m), 8)
			assert.Equal(t, m.View().ExpectedLinks, 8)
			ok, reason := m.ready(time.Now())
			assert.Assert(t, ok, reason)
		}
	})
}

// Changed in-flight counts are sent between heartbeats; unchanged counts cause no
// messages.
func TestLoadsAreSentBetweenHeartbeats(t *testing.T) {
	runCluster(t, 3, func(t *testing.T, c *cluster) {
		author := c.members[0]
		author.set(func(m *member) { m.heartbeat.InFlight = map[fleet.GroupID]uint32{"a": 1, "b": 1} })
		time.Sleep(time.Second) // until the groups have been numbered
		_, before := c.traffic(author)
		time.Sleep(10 * time.Second)
		_, after := c.traffic(author)
		steady := after - before
		for n := range uint32(20) {
			counts := map[fleet.GroupID]uint32{"a": n + 2}
			if n%2 == 0 {
				counts["b"] = n + 1
			}
			author.set(func(m *member) { m.heartbeat.InFlight = counts })
			time.Sleep(DefaultHeartbeatInterval/ticksPerHeartbeat + 2*oneWay)
			for _, m := range c.members[1:] {
				assert.DeepEqual(t, m.AllPeersInFlight(), counts)
				assert.Equal(t, m.PeerInFlight("a"), counts["a"])
			}
			time.Sleep(37 * time.Millisecond)
		}
		_, before = c.traffic(author)
		time.Sleep(10 * time.Second)
		_, after = c.traffic(author)
		assert.Assert(t, after-before <= steady+2, "%d messages instead of %d", after-before, steady)
	})
}

// The counts of a peer that is no longer alive do not count, and a peer's counts do
// not count twice.
func TestInFlightOfLivePeersOnly(t *testing.T) {
	runCluster(t, 3, func(t *testing.T, c *cluster) {
		for n, m := range c.members {
			m.set(func(m *member) {
				m.heartbeat.InFlight = map[fleet.GroupID]uint32{"all": 1, fleet.GroupID(fmt.Sprint(n)): 5}
			})
		}
		time.Sleep(2 * time.Second)
		assert.DeepEqual(t, c.members[0].AllPeersInFlight(), map[fleet.GroupID]uint32{"all": 2, "1": 5, "2": 5})
		c.isolate(c.members[2])
		time.Sleep(DefaultAliveFor + DefaultHeartbeatInterval)
		assert.DeepEqual(t, c.members[0].AllPeersInFlight(), map[fleet.GroupID]uint32{"all": 1, "1": 5})
	})
}

// The view of all peers was built again for each message of each peer, so that the
// cost of a daemon grew with the square of their number.
func TestViewWasBuiltForEveryMessage(t *testing.T) {
	runStaggeredCluster(t, 30, 17*time.Millisecond, func(t *testing.T, c *cluster) {
		m, built := c.members[0], 0
		last := m.view.Load()
		for at := range uint32(3000) {
			if at%100 == 0 {
				c.members[1].set(func(m *member) { m.heartbeat.InFlight = map[fleet.GroupID]uint32{"a": at} })
			}
			time.Sleep(time.Millisecond)
			if v := m.view.Load(); v != last {
				built++
				last = v
			}
		}
		const seconds, most = 3, ticksPerHeartbeat * int(time.Second/DefaultHeartbeatInterval)
		assert.Assert(t, built <= seconds*most+1, "%d views in %d s", built, seconds)
	})
}

// The messages of changed counts are bounded over all links.
func TestLoadsAreBoundedOverAllLinks(t *testing.T) {
	for _, n := range []int{3, 9, 30} {
		runCluster(t, n, func(t *testing.T, c *cluster) {
			author := c.members[0]
			count := func(change bool) int64 {
				_, before := c.traffic(author)
				for at := range uint32(100) {
					if change {
						author.set(func(m *member) { m.heartbeat.InFlight = map[fleet.GroupID]uint32{"a": at} })
					}
					time.Sleep(100 * time.Millisecond)
				}
				_, after := c.traffic(author)
				return after - before
			}
			steady := count(false)
			more := count(true) - steady
			assert.Assert(t, more <= 10*loadMessagesPerSecond+int64(n), "%d daemons: %d additional messages in ten seconds", n, more)
		})
	}
}

// On many links changed counts were sent less often than heartbeats, which carry all
// counts, and only cost messages.
func TestCountsWereSentBesideHeartbeatsOnManyLinks(t *testing.T) {
	const n, steps = 56, 30
	runCluster(t, n, func(t *testing.T, c *cluster) {
		author := c.members[0]
		count := func(change bool) int64 {
			_, before := c.traffic(author)
			for at := range uint32(steps) {
				if change {
					author.set(func(m *member) { m.heartbeat.InFlight = map[fleet.GroupID]uint32{"a": at} })
				}
				time.Sleep(100 * time.Millisecond)
			}
			_, after := c.traffic(author)
			return after - before
		}
		steady := count(false)
		more := count(true) - steady
		// One of two spans may hold one heartbeat more, in both directions.
		assert.Assert(t, more <= 2*n, "%d additional messages in %d ms", more, steps*100)
	})
}

func TestRelayReachesDaemonsWithoutTheLogInTime(t *testing.T) {
	tests := map[string]struct {
		members int
		prepare func(c *cluster)
	}{
		"only one reads the log":  {9, func(c *cluster) {}},
		"three hops":              {4, (*cluster).chain},
		"eight hops":              {9, (*cluster).chain},
		"one of eight peers left": {9, func(c *cluster) { c.isolate(c.members[8]); c.net.Heal(c.members[8].ip, c.members[0].ip) }},
		"peer with the log freezes": {9, func(c *cluster) {
			c.net.Freeze(c.members[1].ip)
			c.members[1].set(func(m *member) { m.logUnavailable = false })
		}},
		"one-way cut from the first": {9, func(c *cluster) { c.net.Cut(c.members[0].ip, c.members[3].ip) }},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			runCluster(t, test.members, func(t *testing.T, c *cluster) {
				for _, m := range c.members[1:] {
					m.set(func(m *member) { m.logUnavailable = true })
				}
				test.prepare(c)
				time.Sleep(20 * time.Second)
				c.log.append("config", "revision 1")
				took := c.waitForAll(configBound, name, func(m *member) bool { return m.next("config") == 1 })
				t.Logf("in force on all daemons after %v", took)
			})
		})
	}
}

func TestConfirmationsCrossTheMesh(t *testing.T) {
	t.Parallel()
	runCluster(t, 9, func(t *testing.T, c *cluster) {
		for _, m := range c.members[1:] {
			m.set(func(m *member) { m.logUnavailable = true })
		}
		for range 60 {
			time.Sleep(time.Second)
			for _, m := range c.members {
				ok, reason := m.ready(time.Now())
				assert.Assert(t, ok, reason)
			}
		}
	})
}

func TestIsolatedDaemonTurnsUnreadyAndRecovers(t *testing.T) {
	runCluster(t, 9, func(t *testing.T, c *cluster) {
		lost := c.members[4]
		lost.set(func(m *member) { m.logUnavailable = true })
		c.isolate(lost)
		time.Sleep(configBound)
		ok, reason := lost.ready(time.Now())
		assert.Assert(t, !ok)
		t.Log(reason)
		c.heal(lost)
		c.waitForAll(configBound, "ready again", func(m *member) bool { ok, _ := m.ready(time.Now()); return ok })
	})
}

func TestOutageOfTheLogKeepsAllReady(t *testing.T) {
	runCluster(t, 5, func(t *testing.T, c *cluster) {
		c.log.append("config", "revision 1")
		time.Sleep(time.Second)
		for _, m := range c.members {
			m.set(func(m *member) { m.logUnavailable = true })
		}
		for range 120 {
			time.Sleep(time.Second)
			for _, m := range c.members {
				ok, reason := m.ready(time.Now())
				assert.Assert(t, ok, reason)
			}
		}
	})
}

func TestMinorityWithoutTheLogTurnsUnready(t *testing.T) {
	runCluster(t, 9, func(t *testing.T, c *cluster) {
		for _, a := range c.members[:4] {
			a.set(func(m *member) { m.logUnavailable = true })
			for _, b := range c.members[4:] {
				c.net.CutBoth(a.ip, b.ip)
			}
		}
		time.Sleep(configBound)
		for i, m := range c.members {
			ok, reason := m.ready(time.Now())
			assert.Equal(t, ok, i >= 4, reason)
			ok, reason = m.readyBy(time.Now(), ReadinessPolicy{AnyPeer: true})
			assert.Assert(t, ok, reason)
		}
		lone := c.members[0]
		for _, other := range c.members[1:4] {
			c.net.CutBoth(lone.ip, other.ip)
		}
		time.Sleep(configBound)
		ok, _ := lone.readyBy(time.Now(), ReadinessPolicy{AnyPeer: true})
		assert.Assert(t, !ok, "no live peer")
	})
}

// After a freeze or a partition a daemon reads old heartbeats from its buffers.
// They must not count as recent confirmations.
func TestBufferedHeartbeatsConfirmNothing(t *testing.T) {
	runCluster(t, 2, func(t *testing.T, c *cluster) {
		late, peer := c.members[0], c.members[1]
		late.set(func(m *member) { m.logUnavailable = true })
		time.Sleep(time.Second)
		c.net.CutBoth(peer.ip, late.ip)
		time.Sleep(time.Second)
		peer.stop()
		stopped := time.Now()
		// The heal falls between two heartbeats: a write to the stopped peer at
		// the same time could close the link before the buffered bytes are read.
		time.Sleep(2*time.Second + DefaultHeartbeatInterval/10)
		before := late.View().Peers[peer.cfg.Self].Heartbeat.Sequence
		c.net.Heal(peer.ip, late.ip)
		time.Sleep(200 * time.Millisecond)
		assert.Assert(t, late.View().Peers[peer.cfg.Self].Heartbeat.Sequence > before, "buffered heartbeats arrived")
		got := late.replicas["config"].Status().ConfirmedAt
		assert.Assert(t, !got.After(stopped), "confirmed %v after the peer stopped", got.Sub(stopped))
	})
}

func TestFrozenDaemonIsUnreadyUntilItCaughtUp(t *testing.T) {
	t.Parallel()
	runCluster(t, 3, func(t *testing.T, c *cluster) {
		frozen := c.members[0]
		frozen.set(func(m *member) { m.logUnavailable = true })
		c.net.Freeze(frozen.ip)
		time.Sleep(10 * time.Minute)
		c.log.append("config", "revision 1")
		time.Sleep(time.Second)
		c.net.Thaw(frozen.ip)
		for frozen.next("config") == 0 {
			ok, _ := frozen.ready(time.Now())
			assert.Assert(t, !ok)
			time.Sleep(time.Millisecond)
		}
		c.waitForAll(configBound, "ready again", func(m *member) bool { ok, _ := m.ready(time.Now()); return ok })
	})
}

func TestOneWayCutEndsTheLinkOnBothSides(t *testing.T) {
	runCluster(t, 3, func(t *testing.T, c *cluster) {
		a, b := c.members[0], c.members[1]
		c.net.Cut(a.ip, b.ip)
		time.Sleep(DefaultAliveFor + DefaultHeartbeatInterval)
		assert.Assert(t, !b.View().Peers[a.cfg.Self].Alive, "b no longer receives heartbeats of a")
		assert.Assert(t, !a.View().Peers[b.cfg.Self].Alive,
			"a detects that b does not receive its heartbeats")
		time.Sleep(10 * time.Second)
		assert.Equal(t, alive(a), 1)
		assert.Equal(t, alive(b), 1)
		c.net.Heal(a.ip, b.ip)
		c.waitForAll(2*redialMax, "linked again", func(m *member) bool { return alive(m) == 2 })
	})
}

func TestGoodbyeTakesEffectImmediately(t *testing.T) {
	runCluster(t, 9, func(t *testing.T, c *cluster) {
		gone := c.members[8]
		gone.Goodbye()
		time.Sleep(10 * time.Millisecond)
		for _, m := range c.members[:8] {
			assert.Assert(t, m.View().Peers[gone.cfg.Self].Departing)
		}
		gone.stop()
		time.Sleep(10 * time.Millisecond)
		for _, m := range c.members[:8] {
			_, known := m.View().Peers[gone.cfg.Self]
			assert.Assert(t, !known)
		}
	})
}

func TestReplacementDaemonSupersedesPredecessor(t *testing.T) {
	runCluster(t, 9, func(t *testing.T, c *cluster) {
		old := c.members[2]
		old.host.Kill()
		old.stop()
		c.members[2] = c.start(2, 2)
		c.setAddresses()
		c.waitForAll(2*redialMax, "linked", func(m *member) bool { return alive(m) == 8 })
		for _, m := range c.members {
			_, known := m.View().Peers[old.cfg.Self]
			assert.Assert(t, !known)
		}
	})
}

func TestGossipReachesEveryDaemonOnce(t *testing.T) {
	runCluster(t, 9, func(t *testing.T, c *cluster) {
		c.chain()
		time.Sleep(20 * time.Second)
		died := suspect.Sighting{ID: [16]byte{1}, Group: "g-1", InFlight: []suspect.Fingerprint{7}, At: time.Now()}
		c.members[0].set(func(m *member) {
			m.heartbeat = Heartbeat{Leaving: []fleet.InstanceID{"i-1"}, Sightings: []suspect.Sighting{died}}
		})
		c.members[0].leaving = []fleet.InstanceID{"i-1"}
		c.members[0].sightings = []suspect.Sighting{died}
		receivedOnce := func(m *member) bool {
			return m.get(func(m *member) int { return len(m.leaving) }) == 1 &&
				m.get(func(m *member) int { return len(m.sightings) }) == 1
		}
		took := c.waitForAll(leavingBound, "gossip received", receivedOnce)
		t.Logf("eight hops took %v", took)
		time.Sleep(2 * gossipRetention)
		c.waitForAll(0, "received once", receivedOnce)
		got := c.members[8].sightings[0]
		assert.Equal(t, got.Group, died.Group)
		delay := got.At.Sub(died.At)
		assert.Assert(t, delay >= 0 && delay < leavingBound, "a sighting's age accumulates across hops")
		assert.Equal(t, len(c.members[8].View().Leaving), 0)
	})
}

func TestFetchPrefersTheFurthestPeer(t *testing.T) {
	runCluster(t, 9, func(t *testing.T, c *cluster) {
		for _, m := range c.members[2:] {
			m.set(func(m *member) { m.logUnavailable = true })
		}
		c.isolate(c.members[0])
		c.net.Heal(c.members[0].ip, c.members[1].ip)
		c.members[0].set(func(m *member) { m.logUnavailable = true })
		for range 300 {
			c.log.append("config", "x")
		}
		time.Sleep(2 * time.Second)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		state, err := c.members[0].FetchState(ctx, "config")
		assert.NilError(t, err)
		assert.Equal(t, state.Next, journal.Offset(300))
		entries, err := c.members[0].FetchEntries(ctx, "config", 10, 5)
		assert.NilError(t, err)
		assert.Equal(t, len(entries), 5)
		assert.Equal(t, entries[4].Offset, journal.Offset(14))
		none, err := c.members[0].FetchEntries(ctx, "config", 300, 5)
		assert.NilError(t, err)
		assert.Equal(t, len(none), 0)
	})
}

func TestFetchWithoutPeersEndsWithItsContext(t *testing.T) {
	runCluster(t, 1, func(t *testing.T, c *cluster) {
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err := c.members[0].FetchState(ctx, "config")
		assert.ErrorIs(t, err, ErrNoPeer)
	})
}
