package membership

import (
	"time"

	"carawayproxy.example/caraway/internal/fleet"
)

// maxDeparted bounds the remembered departures.
const maxDeparted = 4096

// table holds the newest heartbeat of each peer. It is not safe for concurrent
// use.
type table struct {
	peers map[fleet.DaemonID]Peer
	// departed holds the removed peers, so that a late heartbeat does not add
	// them again.
	departed     map[fleet.DaemonID]time.Time
	everHadPeers bool
}

func newTable() *table {
	return &table{peers: map[fleet.DaemonID]Peer{}, departed: map[fleet.DaemonID]time.Time{}}
}

// observe stores a heartbeat unless a newer one is known, and reports whether it
// did. Time bounds from earlier heartbeats remain valid for a newer one.
func (t *table) observe(now time.Time, h Heartbeat, e echoTiming) bool {
	if _, gone := t.departed[h.From]; gone {
		return false
	}
	old, known := t.peers[h.From]
	if known && !isNewer(h, old.Heartbeat) {
		return false
	}
	// A known peer has superseded the others with its address before.
	if (!known || old.Heartbeat.Address != h.Address) && t.superseded(now, h) {
		return false
	}
	t.peers[h.From] = Peer{
		Heartbeat:  h,
		ReceivedAt: now,
		SentAt:     laterOf(e.sentAt, old.SentAt),
		AckedAt:    laterOf(e.ackedAt, old.AckedAt),
		Departing:  old.Departing,
	}
	t.everHadPeers = true
	return true
}

func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// isNewer reports whether a is newer than b, both being heartbeats of one daemon.
func isNewer(a, b Heartbeat) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	return a.Sequence > b.Sequence
}

// superseded reports whether another daemon has taken h's address with a later
// incarnation, and removes daemons whose address h has taken over.
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

// markDeparting marks a peer as about to stop.
func (t *table) markDeparting(id fleet.DaemonID) {
	if p, ok := t.peers[id]; ok {
		p.Departing = true
		t.peers[id] = p
	}
}

// linkLost is called when the last link to a peer has ended. It removes the
// peer if it had sent a goodbye, and reports whether it did.
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

// expire removes peers and departures older than peerRetention and returns the
// removed peers.
func (t *table) expire(now time.Time) []fleet.DaemonID {
	var gone []fleet.DaemonID
	for id, p := range t.peers {
		if now.Sub(p.ReceivedAt) > peerRetention {
			delete(t.peers, id)
			gone = append(gone, id)
		}
	}
	for id, at := range t.departed {
		if now.Sub(at) > peerRetention {
			delete(t.departed, id)
		}
	}
	return gone
}

// snapshot returns a copy of the peers, with Alive as of now.
func (t *table) snapshot(now time.Time, aliveFor time.Duration) map[fleet.DaemonID]Peer {
	out := make(map[fleet.DaemonID]Peer, len(t.peers))
	for id, p := range t.peers {
		p.Alive = p.freshAt(now, aliveFor)
		out[id] = p
	}
	return out
}
