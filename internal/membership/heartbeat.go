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
			m.sendTotals(time.Now())
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
	h.Daemons = m.countDaemons(now)
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
	m.sendGossip(now)
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

// listPositionInterval is the least time between two positions of the list on a link
// without other news.
const listPositionInterval = 250 * time.Millisecond

// sendGossip sends each peer the items that were not sent on its link yet, and how far
// the list is covered by them. Called with mu held.
func (m *Mesh) sendGossip(now time.Time) {
	round := gossipRound{now: now, frames: map[frameKey][]byte{}}
	if m.cfg.ListPosition != nil {
		round.author, round.relayed = m.cfg.ListPosition(false), m.cfg.ListPosition(true)
	}
	for _, l := range m.links {
		if err := m.sendGossipTo(l, round); err != nil {
			m.cfg.Events.Emit(eventBadMessage, "peer", l.peer.From, "err", err)
		}
	}
}

// gossipRound is what one round of gossip sends on all links.
type gossipRound struct {
	now time.Time
	// frames holds the encoded messages, which are the same for most links. Absent
	// ones are nil.
	frames map[frameKey][]byte
	// author and relayed are the positions of the list that this daemon's own
	// broadcasts, and those of all daemons, cover; nil if they are not known.
	author, relayed *ListPosition
}

// frameKey identifies an encoded message: of this daemon's own items or of relayed
// ones, for a peer that this daemon serves or for another one, after the last item
// sent before.
type frameKey struct {
	relayed, served bool
	last            uint64
}

// encode returns the frame of a message, which is the same for all links with the key.
func (r gossipRound) encode(key frameKey, message func() *gossipMessage) ([]byte, error) {
	frame, known := r.frames[key]
	if known {
		return frame, nil
	}
	if msg := message(); msg != nil {
		var err error
		if frame, err = encode(msg); err != nil {
			return nil, err
		}
	}
	r.frames[key] = frame
	return frame, nil
}

// sendGossipTo sends one peer the items that were not sent on its link yet, and the
// position of the list. It sends nothing, to try again, while the link is congested.
func (m *Mesh) sendGossipTo(l *link, round gossipRound) error {
	last, to := m.gossip.lastNumber, l.peer.From
	sendsOwn, serves := m.sendsOwn(to), m.servesPeer(to)
	position := l.listPosition(round, sendsOwn, serves)
	if l.gossipSent == last && (position == nil || round.now.Sub(l.listSentAt) < listPositionInterval) {
		return nil
	}
	var frames [][]byte
	add := func(frame []byte, err error) error {
		if frame != nil {
			frames = append(frames, frame)
		}
		return err
	}
	if sendsOwn {
		key, message := frameKey{false, serves, l.gossipSent}, func() *gossipMessage { return m.gossip.itemsAfter(round.now, l.gossipSent, to) }
		var err error
		if m.gossip.relay != nil {
			err = add(round.encode(key, message))
		} else if msg := message(); msg != nil { // it depends on the peer
			err = add(encode(msg))
		}
		if err != nil {
			return err
		}
		key, message = frameKey{true, serves, l.gossipSent}, func() *gossipMessage { return m.gossip.relayedAfter(round.now, l.gossipSent, to) }
		if err := add(round.encode(key, message)); err != nil {
			return err
		}
	}
	if position != nil { // last, since it covers the others
		if err := add(encode(&gossipMessage{List: position, Echo: l.echo(round.now)})); err != nil {
			return err
		}
	}
	if len(l.out)+len(frames) > cap(l.out) {
		l.meters.dropped.Inc(1)
		return nil // all are sent later
	}
	for _, frame := range frames {
		if !l.send(frame) {
			l.cancel(errCongested)
		}
	}
	l.gossipSent = last
	if position != nil {
		l.listSentAt = round.now
	}
	return nil
}

// listPosition returns the position of the list to send on a link, nil for none. Items
// of this daemon are sent on the link if sendsOwn is set, and those of others if relays
// is. Changes before the first position were not sent on it.
func (l *link) listPosition(round gossipRound, sendsOwn, relays bool) *ListPosition {
	var p ListPosition
	switch {
	case relays && round.relayed != nil:
		p = *round.relayed
	case sendsOwn && round.author != nil:
		p = *round.author
	default:
		l.listKnown = false
		return nil
	}
	switch {
	case !l.listKnown:
		l.listEra, l.listSince, l.listKnown = p.Era, p.Next, true
	case l.listEra != p.Era: // all changes of the new era were sent
		l.listEra, l.listSince = p.Era, 0
	}
	p.Since = max(p.Since, l.listSince)
	return &p
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
