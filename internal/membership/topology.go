package membership

import (
	"time"

	"carawayproxy.example/caraway/internal/fleet"
)

// topology is what a daemon makes of the known daemons: whom it dials and, with the
// Hubs policy, who has links to all. It is immutable.
type topology struct {
	chosen []string // addresses to dial
	// isHub is set if this daemon has links to all others. The addresses of those
	// that have not are in others. Daemons of earlier releases, which are not known
	// here, link to all.
	isHub    bool
	others   map[string]bool
	zone     fleet.Zone          // of this daemon
	hubZones map[fleet.Zone]bool // zones that have a hub
}

// linksAll reports whether all daemons link to each other.
func (t *topology) linksAll() bool { return t.isHub && len(t.others) == 0 }

// serves reports whether this daemon, a hub, passes news on to the daemons of a zone
// that are not hubs: those of its own, and of zones that have none.
func (t *topology) serves(zone fleet.Zone) bool { return zone == t.zone || !t.hubZones[zone] }

// updateTopology applies a change of the known daemons or of their zones. Called with
// mu held.
func (m *Mesh) updateTopology() {
	zones := map[string]fleet.Zone{}
	for _, p := range m.table.peers {
		zones[p.Heartbeat.Address] = p.Heartbeat.Zone
	}
	known := make([]Endpoint, len(m.endpoints))
	for i, e := range m.endpoints {
		if e.Zone == "" {
			e.Zone = zones[e.Address]
		}
		known[i] = e
	}
	t := &topology{chosen: m.cfg.Policy.Choose(m.self(), known), isHub: true, zone: m.cfg.Zone}
	if p, ok := m.cfg.Policy.(Hubs); ok {
		hubs := p.Hubs(m.self(), known)
		t.others, t.hubZones = map[string]bool{}, map[fleet.Zone]bool{}
		for _, zone := range hubs {
			t.hubZones[zone] = true
		}
		for _, e := range known {
			if _, isHub := hubs[e.Address]; !isHub && e.Address != m.cfg.Address {
				t.others[e.Address] = true
			}
		}
		_, t.isHub = hubs[m.cfg.Address]
	}
	m.topology.Store(t)
	m.gossip.relay = nil
	if !t.linksAll() {
		m.gossip.relay = m
	}
}

// IsHub reports whether this daemon has links to all others, as far as it knows them.
func (m *Mesh) IsHub() bool { return m.topology.Load().isHub }

// IsHubAt reports whether the daemon at an address has links to all others, as far as
// this daemon knows them.
func (m *Mesh) IsHubAt(address string) bool { return !m.topology.Load().others[address] }

// LinksAll reports whether all daemons link to each other, as far as this daemon
// knows them.
func (m *Mesh) LinksAll() bool {
	_, bounded := m.cfg.Policy.(Bounded)
	return !bounded && m.topology.Load().linksAll()
}

// sendsOwn reports whether this daemon sends its own items to a peer itself. One that
// has links to all sends them to its like and to the daemons that it serves: the others
// get them from those that serve them, so that each item crosses into a zone only a few
// times. Called with mu held.
func (m *Mesh) sendsOwn(to fleet.DaemonID) bool {
	t, l := m.topology.Load(), m.links[to]
	return l != nil && (!t.isHub || !t.others[l.peer.Address] || t.serves(l.peer.Zone))
}

// servesPeer reports whether this daemon passes the items of others on to a peer.
// Called with mu held.
func (m *Mesh) servesPeer(to fleet.DaemonID) bool {
	t, l := m.topology.Load(), m.links[to]
	return l != nil && t.isHub && t.others[l.peer.Address] && t.serves(l.peer.Zone)
}

// passesOn implements relayRule. What comes from a daemon without links to all is also
// passed on to those that have them, as the sender may have lost its link to some. Called
// with mu held.
func (m *Mesh) passesOn(item *gossipItem, to fleet.DaemonID) bool {
	t, source, destination := m.topology.Load(), m.links[item.from], m.links[to]
	if !t.isHub || destination == nil {
		return false
	}
	if t.others[destination.peer.Address] {
		return t.serves(destination.peer.Zone)
	}
	return !item.relayed && source != nil && t.others[source.peer.Address]
}

// teaches implements relayRule. Called with mu held.
func (m *Mesh) teaches(to fleet.DaemonID) bool {
	return m.topology.Load().isHub && m.sendsOwn(to)
}

// countDaemons returns the number of daemons that are heard, with this one. Called with
// mu held.
func (m *Mesh) countDaemons(now time.Time) int {
	n := 1
	for _, p := range m.table.peers {
		if p.freshAt(now, m.cfg.AliveFor) && !p.Heartbeat.Draining {
			n++
		}
	}
	return n
}

// LinkAlso adds addresses to those that this daemon dials; none ends that. Links that
// are open stay.
func (m *Mesh) LinkAlso(addresses []string) {
	m.mu.Lock()
	m.extra = addresses
	m.mu.Unlock()
	wake(m.endpointsChanged)
}

// Endpoints returns the known daemons.
func (m *Mesh) Endpoints() []Endpoint {
	m.mu.Lock()
	defer m.mu.Unlock()
	return append([]Endpoint(nil), m.endpoints...)
}
