package membership

import (
	"maps"
	"time"

	"carawayproxy.example/caraway/internal/fleet"
)

// maxDeparted bounds the remembered departures.
const maxDeparted = 4096

// table holds the peers' newest heartbeats. It is not safe for concurrent use.
type table struct {
	peers map[fleet.DaemonID]Peer
	// departed holds peers that are not to come back by a late heartbeat.
	departed map[fleet.DaemonID]time.Time
	everHad  bool
}

func newTable() *table {
	return &table{peers: map[fleet.DaemonID]Peer{}, departed: map[fleet.DaemonID]time.Time{}}
}

// observe takes a heartbeat in unless a newer one is known, and reports
// whether it did. What older heartbeats have shown stays true of a newer one.
func (t *table) observe(now time.Time, h Heartbeat, e evidence) bool {
	if _, gone := t.departed[h.From]; gone {
		return false
	}
	old, known := t.peers[h.From]
	if known && !newer(h, old.Heartbeat) {
		return false
	}
	if t.superseded(now, h) {
		return false
	}
	t.peers[h.From] = Peer{
		Heartbeat: h,
		HeardAt:   now,
		SentAt:    later(e.sentAt, old.SentAt),
		HeardUsAt: later(e.heardUsAt, old.HeardUsAt),
		Departing: old.Departing,
	}
	t.everHad = true
	return true
}

// load takes in counts of a peer that have changed since its last message. Views
// share the old ones.
func (t *table) load(id fleet.DaemonID, changes map[fleet.GroupID]uint32) {
	p, known := t.peers[id]
	if !known {
		return
	}
	counts := maps.Clone(p.Heartbeat.InFlight)
	if counts == nil {
		counts = map[fleet.GroupID]uint32{}
	}
	for group, count := range changes {
		if count == 0 {
			delete(counts, group)
		} else {
			counts[group] = count
		}
	}
	p.Heartbeat.InFlight = counts
	t.peers[id] = p
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// newer orders heartbeats of one daemon.
func newer(a, b Heartbeat) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	return a.Sequence > b.Sequence
}

// superseded reports whether another daemon has taken h's address with a
// later incarnation, and removes those whose address h takes.
func (t *table) superseded(now time.Time, h Heartbeat) bool {
	for id, p := range t.peers {
		if id == h.From || p.Heartbeat.Address != h.Address {
			continue
		}
		if p.Heartbeat.Incarnation > h.Incarnation {
			return true
		}
		t.remove(now, id)
	}
	return false
}

// depart marks a peer as stopping.
func (t *table) depart(id fleet.DaemonID) {
	if p, ok := t.peers[id]; ok {
		p.Departing = true
		t.peers[id] = p
	}
}

// linkLost tells that the last link to a peer ended. One that said goodbye is
// removed; it reports whether the peer was.
func (t *table) linkLost(now time.Time, id fleet.DaemonID) bool {
	if !t.peers[id].Departing {
		return false
	}
	t.remove(now, id)
	return true
}

func (t *table) remove(now time.Time, id fleet.DaemonID) {
	delete(t.peers, id)
	if len(t.departed) < maxDeparted {
		t.departed[id] = now
	}
}

// expire forgets peers and departures that are long past and returns the
// peers.
func (t *table) expire(now time.Time) []fleet.DaemonID {
	var gone []fleet.DaemonID
	for id, p := range t.peers {
		if now.Sub(p.HeardAt) > forgetAfter {
			delete(t.peers, id)
			gone = append(gone, id)
		}
	}
	for id, at := range t.departed {
		if now.Sub(at) > forgetAfter {
			delete(t.departed, id)
		}
	}
	return gone
}

// snapshot returns a copy of the peers as they stand now.
func (t *table) snapshot(now time.Time, aliveFor time.Duration) map[fleet.DaemonID]Peer {
	out := make(map[fleet.DaemonID]Peer, len(t.peers))
	for id, p := range t.peers {
		p.Alive = p.freshAt(now, aliveFor)
		out[id] = p
	}
	return out
}
