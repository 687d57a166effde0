package membership

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"carawayproxy.example/caraway/internal/fleet"
	"carawayproxy.example/caraway/internal/suspect"
	"carawayproxy.example/caraway/standin/runs/network"
)

// unequalEndpoints returns daemons of which the first of each zone have more
// processors.
func unequalEndpoints(n, zones, large int) []Endpoint {
	endpoints := manyEndpoints(n, zones)
	for i := range endpoints {
		endpoints[i].Processors = 0.192
		if i < zones*large {
			endpoints[i].Processors = 0.8
		}
	}
	return endpoints
}

func TestHubsAreFewAndLarge(t *testing.T) {
	t.Parallel()
	for _, test := range []struct{ daemons, zones, hubs int }{
		{1, 1, 1}, {7, 3, 7}, {9, 3, 9}, {12, 3, 12}, {22, 5, 15}, {63, 4, 12}, {89, 3, 12}, {195, 5, 15}, {300, 5, 15}, {1238, 8, 16},
	} {
		endpoints := unequalEndpoints(test.daemons, test.zones, 3)
		hubs := Hubs{}.Hubs(endpoints[0], endpoints)
		assert.Equal(t, len(hubs), test.hubs, "of %d", test.daemons)
		large := 0
		for _, e := range endpoints {
			if _, isHub := hubs[e.Address]; isHub && e.Processors > 0.5 {
				large++
			}
			chosen := Hubs{}.Choose(e, endpoints)
			assert.Assert(t, len(chosen) <= test.hubs && !slices.Contains(chosen, e.Address))
			if e.Address == endpoints[0].Address {
				continue
			}
			assert.DeepEqual(t, Hubs{}.Hubs(e, endpoints), hubs)
		}
		assert.Assert(t, large == min(test.hubs, 3*test.zones, test.daemons), "%d of the %d hubs are large", large, test.hubs)
		most, reached := maxHops(Hubs{}, endpoints, nil)
		assert.Assert(t, most <= 2 && reached == test.daemons, "%d hops, %d reached", most, reached)
	}
}

// A zone may be dark, and one daemon in five dead.
func TestHubsConnectTheDaemonsThatAreLeft(t *testing.T) {
	t.Parallel()
	endpoints := unequalEndpoints(195, 5, 3)
	rng := rand.New(rand.NewPCG(1, 1))
	for range 20 {
		dead := map[string]bool{}
		for _, e := range endpoints {
			dead[e.Address] = e.Zone == "zone-2" || rng.IntN(5) == 0
		}
		alive := 0
		for _, e := range endpoints {
			if !dead[e.Address] {
				alive++
			}
		}
		most, reached := maxHops(Hubs{}, endpoints, dead)
		assert.Assert(t, most <= 3 && reached == alive, "%d hops, %d of %d reached", most, reached, alive)
	}
}

// listKeys is the number of keys in the list.
const listKeys = 50

// hubMember is one daemon of a cluster with hubs. It broadcasts changes of a list of
// its own and records what it receives.
type hubMember struct {
	*Mesh
	zone fleet.Zone
	ip   string
	host *network.Host
	stop func()

	mu        sync.Mutex
	inFlight  map[fleet.GroupID]uint32
	newest    [listKeys]uint64 // version of each key of the list
	keys      map[string]bool  // of other broadcasts
	position  ListPosition     // of the last broadcast, zero for none
	asOf      time.Time
	isAuthor  bool
	confirmed uint64
	readAt    uint64   // version at its last own read of the list, which it does not broadcast
	missed    []string // violations
}

// readIfOld reads the list, which ends at a version, if this daemon does not know it as
// of lately.
func (m *hubMember) readIfOld(version uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if time.Since(m.asOf) < 1500*time.Millisecond {
		return
	}
	for v := range version {
		m.newest[(v+1)%listKeys] = v + 1
	}
	m.confirmed, m.position.Next, m.readAt, m.asOf = version, version, version, time.Now()
}

func (m *hubMember) Heartbeat() Heartbeat {
	m.mu.Lock()
	defer m.mu.Unlock()
	return Heartbeat{Ready: true, InFlight: m.inFlight, DocumentReadAge: -1}
}

func (m *hubMember) listPosition(relayed bool) *ListPosition {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.asOf.IsZero() || !relayed && !m.isAuthor {
		return nil
	}
	return &ListPosition{Since: m.readAt, Next: m.position.Next, AgeMilli: ceilMillis(time.Since(m.asOf))}
}

// onListPosition checks that each position is covered by what was received.
func (m *hubMember) onListPosition(p ListPosition, asOf time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for version := p.Since + 1; version <= p.Next; version++ {
		if m.newest[version%listKeys] < version {
			m.missed = append(m.missed, fmt.Sprintf("version %d of %+v", version, p))
		}
	}
	if asOf.After(time.Now()) {
		m.missed = append(m.missed, fmt.Sprintf("as of the future: %+v", p))
	}
	if p.Since <= m.confirmed && p.Next >= m.confirmed {
		m.confirmed, m.position.Next, m.asOf = p.Next, p.Next, asOf
	}
}

// broadcastChange broadcasts the next change of the list.
func (m *hubMember) broadcastChange(version uint64) {
	m.Broadcast([]Broadcast{{Key: fmt.Sprint(version % listKeys), Version: version, Body: []byte{0xa0}}})
	m.mu.Lock()
	defer m.mu.Unlock()
	m.newest[version%listKeys] = version
	m.position.Next, m.confirmed, m.asOf, m.isAuthor = version, version, time.Now(), true
}

type hubCluster struct {
	net     *network.Network
	members []*hubMember
	list    []Endpoint
}

// runHubs runs f with n daemons in a number of zones in virtual time.
func runHubs(t *testing.T, n, zones int, f func(t *testing.T, c *hubCluster)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		c := &hubCluster{net: network.New(func(string, string) time.Duration { return oneWay })}
		c.list = unequalEndpoints(n, zones, 3)
		for i := range c.list {
			c.members = append(c.members, c.start(t, i))
		}
		defer func() {
			for _, m := range c.members {
				m.stop()
			}
		}()
		time.Sleep(3 * time.Second)
		f(t, c)
	})
}

func (c *hubCluster) start(t *testing.T, i int) *hubMember {
	e := c.list[i]
	ip, _, err := net.SplitHostPort(e.Address)
	assert.NilError(t, err)
	m := &hubMember{zone: e.Zone, ip: ip, host: c.net.Host(ip), keys: map[string]bool{}}
	m.Mesh = NewMesh(Config{
		Self: fleet.DaemonID(fmt.Sprintf("daemon-%02d", i)), Address: e.Address, Zone: e.Zone, Processors: e.Processors,
		Incarnation: uint64(time.Now().UnixNano()), Source: m, Dial: m.host.Dial, Policy: Hubs{},
		Loads: func() map[fleet.GroupID]uint32 { return m.Heartbeat().InFlight },
		OnBroadcasts: func(broadcasts []Broadcast) {
			m.mu.Lock()
			defer m.mu.Unlock()
			for _, b := range broadcasts {
				m.keys[b.Key] = true
				if n, err := strconv.Atoi(b.Key); err == nil {
					m.newest[n] = max(m.newest[n], b.Version)
				}
			}
		},
		OnSightings:    func([]suspect.Sighting) {},
		ListPosition:   m.listPosition,
		OnListPosition: m.onListPosition,
	})
	l, err := m.host.Listen("7000")
	assert.NilError(t, err)
	server := &http.Server{Handler: m.Handler()}
	ctx, cancel := context.WithCancel(context.Background())
	var tasks sync.WaitGroup
	tasks.Go(func() { _ = server.Serve(l) })
	tasks.Go(func() { m.Run(ctx) })
	m.stop = func() {
		cancel()
		_ = server.Close()
		tasks.Wait()
	}
	m.SetEndpoints(c.list)
	return m
}

// hub and other return a member with links to all, and one without.
func (c *hubCluster) hub() *hubMember   { return c.find(true) }
func (c *hubCluster) other() *hubMember { return c.find(false) }

func (c *hubCluster) find(isHub bool) *hubMember {
	for _, m := range c.members {
		if m.IsHub() == isHub {
			return m
		}
	}
	return nil
}

func (c *hubCluster) countWithKey(key string) int {
	n := 0
	for _, m := range c.members {
		m.mu.Lock()
		if m.keys[key] {
			n++
		}
		m.mu.Unlock()
	}
	return n
}

// A hop of news takes a fifth of a heartbeat interval at most, and there are two.
func TestNewsReachesDaemonsThatAreNotLinked(t *testing.T) {
	const daemons = 40
	runHubs(t, daemons, 4, func(t *testing.T, c *hubCluster) {
		for _, m := range c.members {
			assert.Assert(t, m.IsHub() || len(m.View().Peers) <= 12, "%d peers", len(m.View().Peers))
			assert.Equal(t, m.LinksAll(), false)
		}
		for name, author := range map[string]*hubMember{"hub": c.hub(), "other": c.other()} {
			author.Broadcast([]Broadcast{{Key: name, Version: 1 << 40, Body: []byte{0xa0}}})
			time.Sleep(3*DefaultHeartbeatInterval/ticksPerHeartbeat + 10*oneWay)
			assert.Equal(t, c.countWithKey(name), daemons-1, "broadcast of a %s", name)
		}
		heard := uint64(0)
		for _, p := range c.other().View().Peers {
			heard = max(heard, uint64(p.Heartbeat.Daemons))
		}
		assert.Equal(t, heard, uint64(daemons))
	})
}

// A daemon that hears few others routed as if these were all.
func TestInFlightOfDaemonsThatAreNotLinked(t *testing.T) {
	runHubs(t, 40, 4, func(t *testing.T, c *hubCluster) {
		for _, m := range c.members {
			m.mu.Lock()
			m.inFlight = map[fleet.GroupID]uint32{"g": 1, fleet.GroupID("of " + m.zone): 2}
			m.mu.Unlock()
		}
		time.Sleep(DefaultHeartbeatInterval + 2*totalsInterval)
		for _, m := range c.members {
			assert.Equal(t, m.PeerInFlight("g"), uint32(39))
			assert.Equal(t, m.AllPeersInFlight()[fleet.GroupID("of "+m.zone)], uint32(18))
		}
		for _, m := range c.members {
			m.mu.Lock()
			m.inFlight = nil
			m.mu.Unlock()
		}
		time.Sleep(DefaultHeartbeatInterval + 2*totalsInterval)
		for _, m := range c.members {
			assert.Equal(t, len(m.AllPeersInFlight()), 0)
		}
	})
}

// A position of the list must never reach a daemon before a change that it covers,
// whatever happens to the links: the daemon would not read the list, and would send
// requests to servers that have left.
func TestListPositionCoveredAChangeThatWasNotReceived(t *testing.T) {
	for seed := range uint64(4) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			runHubs(t, 18, 3, func(t *testing.T, c *hubCluster) {
				rng := rand.New(rand.NewPCG(seed, 7))
				author := c.hub()
				version := uint64(0)
				for step := range 120 {
					for range rng.IntN(4) {
						version++
						author.broadcastChange(version)
					}
					a, b := c.members[rng.IntN(len(c.members))], c.members[rng.IntN(len(c.members))]
					switch {
					case a == b:
					case rng.IntN(3) == 0:
						c.net.CutBoth(a.ip, b.ip)
					default:
						c.net.Heal(a.ip, b.ip)
					}
					if step%20 == 0 {
						for _, x := range c.members {
							for _, y := range c.members {
								c.net.Heal(x.ip, y.ip)
							}
						}
					}
					time.Sleep(time.Duration(rng.IntN(300)) * time.Millisecond)
					for _, m := range c.members {
						if m != author {
							m.readIfOld(version)
						}
					}
				}
				for _, x := range c.members {
					for _, y := range c.members {
						c.net.Heal(x.ip, y.ip)
					}
				}
				time.Sleep(10 * time.Second)
				for _, m := range c.members {
					if m != author {
						m.readIfOld(version)
					}
				}
				version++
				author.broadcastChange(version)
				time.Sleep(time.Second)
				current := 0
				for _, m := range c.members {
					m.mu.Lock()
					assert.Equal(t, len(m.missed), 0, "%s: %v", m.cfg.Self, m.missed)
					if m.confirmed == version {
						current++
					}
					m.mu.Unlock()
				}
				assert.Assert(t, current > len(c.members)/2, "%d of %d daemons are current", current, len(c.members))
			})
		})
	}
}

// An undecodable message of news may have held a change of the list.
func TestListPositionAfterNewsThatCouldNotBeDecoded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var confirmed atomic.Int64
		m := NewMesh(Config{Self: "a", Source: &hubMember{}, OnListPosition: func(ListPosition, time.Time) { confirmed.Add(1) }})
		l := newLink(nil, helloMessage{From: "b", Address: "b:1"}, true, &m.meters)
		l.recordSent(time.Now(), 1)
		position := mustEncode(&gossipMessage{List: &ListPosition{Next: 3}, Echo: Echo{Sequence: 1}})
		assert.NilError(t, m.handle(l, position))
		assert.Equal(t, confirmed.Load(), int64(1))
		assert.NilError(t, m.handle(l, []byte{wireVersion, byte(typeGossip), 0xff}))
		assert.NilError(t, m.handle(l, position))
		assert.Equal(t, confirmed.Load(), int64(1))
	})
}

// A daemon's news reaches those whose hubs it has lost its links to, by the hubs that it
// still has.
func TestNewsOfADaemonThatLostItsLinksToAZonesHubs(t *testing.T) {
	runHubs(t, 40, 4, func(t *testing.T, c *hubCluster) {
		author := c.other()
		for _, m := range c.members {
			if m.IsHub() && m.zone != author.zone {
				c.net.CutBoth(author.ip, m.ip)
			}
		}
		time.Sleep(10 * time.Second) // until the links have ended
		author.Broadcast([]Broadcast{{Key: "late", Version: 1 << 40, Body: []byte{0xa0}}})
		time.Sleep(4*DefaultHeartbeatInterval/ticksPerHeartbeat + 10*oneWay)
		assert.Equal(t, c.countWithKey("late"), len(c.members)-1)
	})
}
