package membership

import (
	"maps"
	"time"

	"carawayproxy.example/caraway/internal/fleet"
)

// A daemon that links to hubs only does not hear the counts of requests in flight of
// the others. The hubs of its availability zone hear all and tell it the totals.

const (
	// totalsInterval is the time between two messages with changed totals.
	totalsInterval = 200 * time.Millisecond
	// totalsTTL is how long totals are used, several times totalsInterval.
	totalsTTL = time.Second
)

// totals holds the requests that the other daemons have in flight, by a hub's count.
type totals struct {
	at       time.Time
	inFlight map[fleet.GroupID]uint32
}

// sendTotals sends the changed totals to the daemons of this zone that want them.
func (m *Mesh) sendTotals(now time.Time) {
	if now.Sub(m.totalsSentAt) < totalsInterval {
		return
	}
	m.totalsSentAt = now
	m.mu.Lock()
	defer m.mu.Unlock()
	t := m.topology.Load()
	if !t.isHub {
		return
	}
	var all map[fleet.GroupID]uint32
	for _, l := range m.links {
		if !l.peer.WantsTotals || !t.others[l.peer.Address] || !t.serves(l.peer.Zone) {
			continue
		}
		if all == nil {
			all = m.loads.sum(m.cfg.Loads())
		}
		if err := l.sendTotals(all); err != nil {
			l.cancel(err)
		}
	}
}

// sendTotals queues the totals that have changed since the last message, also if
// there are none: it shows that the others are current.
func (l *link) sendTotals(all map[fleet.GroupID]uint32) error {
	var b totalsMessage
	for group, count := range all {
		if l.totalsSent[group] != count {
			b.InFlight = append(b.InFlight, l.sentNames.number(string(group)), count)
		}
	}
	for group, count := range l.totalsSent {
		if _, still := all[group]; !still && count > 0 {
			b.InFlight = append(b.InFlight, l.sentNames.number(string(group)), 0)
		}
	}
	l.totalsSent = all
	b.Names = l.sentNames.takeUnsent()
	frame, err := encode(&b)
	if err != nil {
		return err
	}
	if !l.send(frame) {
		return errCongested
	}
	return nil
}

// handleTotals applies the totals of a hub. They count this daemon's own requests as
// it last told the hub of them.
func (m *Mesh) handleTotals(l *link, b *totalsMessage) error {
	err := l.receivedNames.add(b.Names)
	if err == nil {
		if l.totals == nil {
			l.totals = map[fleet.GroupID]uint32{}
		}
		err = l.receivedNames.unpackLoad(b.InFlight, l.totals)
	}
	if err != nil {
		m.cfg.Events.Emit(eventBadMessage, "peer", l.peer.From, "err", err)
		return err
	}
	m.mu.Lock()
	own := l.loadSent
	m.mu.Unlock()
	others := make(map[fleet.GroupID]uint32, len(l.totals))
	for group, count := range l.totals {
		switch n := own[group]; {
		case count == 0:
			delete(l.totals, group)
		case count > n:
			others[group] = count - n
		}
	}
	m.totals.Store(&totals{at: time.Now(), inFlight: others})
	return nil
}

// sum returns the counts of all live peers and the given ones.
func (l *peerLoads) sum(own map[fleet.GroupID]uint32) map[fleet.GroupID]uint32 {
	l.mu.Lock()
	defer l.mu.Unlock()
	all := make(map[fleet.GroupID]uint32, len(l.total)+len(own))
	for group, n := range l.total {
		all[group] = n
	}
	for group, n := range own {
		all[group] += n
	}
	return all
}

// currentTotals returns the totals of a hub, nil if there are no current ones.
func (m *Mesh) currentTotals() *totals {
	if t := m.totals.Load(); t != nil && time.Since(t.at) < totalsTTL {
		return t
	}
	return nil
}

// PeerInFlight returns the number of requests that the other live daemons have in
// flight on a group.
func (m *Mesh) PeerInFlight(id fleet.GroupID) uint32 {
	if t := m.currentTotals(); t != nil {
		return t.inFlight[id]
	}
	m.loads.mu.Lock()
	defer m.loads.mu.Unlock()
	return m.loads.total[id]
}

// AllPeersInFlight returns the number of requests that the other live daemons have
// in flight on each group that has any.
func (m *Mesh) AllPeersInFlight() map[fleet.GroupID]uint32 {
	if t := m.currentTotals(); t != nil {
		return maps.Clone(t.inFlight)
	}
	return m.loads.sum(nil)
}
