package membership

import (
	"context"
	"time"
)

// ticksPerHeartbeat is how many times per heartbeat interval gossip is sent and
// the view is rebuilt if it is stale.
const ticksPerHeartbeat = 5

// runHeartbeats sends heartbeats until ctx ends.
func (m *Mesh) runHeartbeats(ctx context.Context) {
	tick := time.NewTicker(m.cfg.HeartbeatInterval / ticksPerHeartbeat)
	defer tick.Stop()
	for n := 0; ; n++ {
		if n%ticksPerHeartbeat == 0 || m.heartbeatRequested.Load() {
			m.sendHeartbeats()
		}
		if m.cfg.Loads != nil {
			m.sendLoads(time.Now())
		}
		m.tick(n%ticksPerHeartbeat == 0)
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
	}
}

// RequestHeartbeat causes the next heartbeat to be sent within a fifth of the
// heartbeat interval.
func (m *Mesh) RequestHeartbeat() { m.heartbeatRequested.Store(true) }

// SendHeartbeat immediately sends a heartbeat over each link.
func (m *Mesh) SendHeartbeat() { m.sendHeartbeats() }

// sendHeartbeats sends a heartbeat over each link and adds the source's leaving
// instances and sightings to the gossip.
func (m *Mesh) sendHeartbeats() {
	m.heartbeatRequested.Store(false)
	h := m.cfg.Source.Heartbeat()
	now := time.Now()
	h.Streams = m.positions(now)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.gossip.addOwn(now, h.Leaving, h.Sightings, h.Acquittals)
	m.sequence++
	h.Sequence = m.sequence
	for _, l := range m.links {
		if err := l.sendHeartbeat(now, h); err != nil {
			l.cancel(err)
		}
	}
}

// loadMessagesPerSecond bounds the messages of changed counts over all links: ten
// a second on each of ten links. With many more links, changes are sent with
// heartbeats only.
const loadMessagesPerSecond = 100

// sendLoads sends the changed counts over each link.
func (m *Mesh) sendLoads(now time.Time) {
	m.mu.Lock()
	links := len(m.links)
	m.mu.Unlock()
	interval := time.Duration(links) * time.Second / loadMessagesPerSecond
	if interval >= m.cfg.HeartbeatInterval || now.Sub(m.loadsSentAt) < interval {
		return
	}
	m.loadsSentAt = now
	loads := m.cfg.Loads()
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, l := range m.links {
		if err := l.sendLoad(loads); err != nil {
			l.cancel(err)
		}
	}
}

// tick sends gossip and, on a full tick or if it is stale, rebuilds the view.
func (m *Mesh) tick(full bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	if now.Sub(m.tickedAt) > m.cfg.AliveFor {
		m.resumedAt = now
	}
	m.tickedAt = now
	for _, l := range m.links {
		m.sendGossip(now, l)
	}
	if full {
		m.gossip.expire(now)
		for _, id := range m.table.expire(now) {
			m.cfg.Events.Emit(eventPeerGone, "peer", id, "reason", "silent")
		}
	}
	if full || m.viewStale {
		m.publish(now)
	}
}

// sendGossip sends the items that were not sent on the link yet. Called with mu
// held.
func (m *Mesh) sendGossip(now time.Time, l *link) {
	items := m.gossip.itemsAfter(now, l.gossipSent, l.peer.From)
	last := m.gossip.lastNumber
	if items == nil {
		l.gossipSent = last
		return
	}
	frame, err := encode(items)
	if err != nil {
		m.cfg.Events.Emit(eventBadMessage, "peer", l.peer.From, "err", err)
		return
	}
	if l.send(frame) {
		l.gossipSent = last
	}
}

// Goodbye notifies the peers that this daemon is about to stop. They remove it
// from their views when its links close.
func (m *Mesh) Goodbye() {
	m.sendHeartbeats()
	m.mu.Lock()
	defer m.mu.Unlock()
	frame, err := encode(&goodbyeMessage{Sequence: m.sequence})
	if err != nil {
		return
	}
	for _, l := range m.links {
		l.send(frame)
	}
}
