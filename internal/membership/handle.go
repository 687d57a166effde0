package membership

import (
	"time"

	"carawayproxy.example/caraway/internal/fleet"
	"carawayproxy.example/caraway/internal/suspect"
)

// handle processes one message of a link. An error closes the link.
func (m *Mesh) handle(l *link, frame []byte) error {
	body, err := decode(frame)
	if isUnknownType(err) {
		m.cfg.Events.Emit(eventUnknownMessage, "peer", l.peer.From, "err", err)
		return nil
	}
	if err != nil {
		m.cfg.Events.Emit(eventBadMessage, "peer", l.peer.From, "err", err)
		if endsLink(frame) {
			return err
		}
		l.gossipMissed = l.gossipMissed || messageType(frame[1]) == typeGossip
		return nil
	}
	switch b := body.(type) {
	case *heartbeatMessage:
		return m.handleHeartbeat(l, b)
	case *loadMessage:
		return m.handleLoad(l, b)
	case *totalsMessage:
		return m.handleTotals(l, b)
	case *gossipMessage:
		m.handleGossip(l, b)
	case *goodbyeMessage:
		m.handleGoodbye(l)
	case *requestMessage:
		return m.handleRequest(l, b)
	case *responseMessage:
		m.pending.resolve(l, b)
	}
	return nil
}

func (m *Mesh) handleHeartbeat(l *link, b *heartbeatMessage) error {
	now := time.Now()
	streams, inFlight, err := l.receivedNames.unpack(b)
	if err != nil {
		m.cfg.Events.Emit(eventBadMessage, "peer", l.peer.From, "err", err)
		return err
	}
	work, err := l.receivedNames.unpackWork(b.Work)
	if err != nil {
		m.cfg.Events.Emit(eventBadMessage, "peer", l.peer.From, "err", err)
		return err
	}
	h := Heartbeat{
		From: l.peer.From, Address: l.peer.Address, Zone: l.peer.Zone, Incarnation: l.peer.Incarnation, TunnelKey: l.peer.TunnelKey,
		Sequence: b.Sequence, Ready: b.Ready, Draining: b.Draining,
		ConfigRevision: b.ConfigRevision, Streams: streams,
		HoldsScope: b.HoldsScope, IsReader: b.IsReader, Renewal: b.Renewal, StoreUnavailable: b.StoreUnavailable,
		Processors: b.Processors, Work: work, WorkRequests: b.WorkRequests, LinksLost: b.LinksLost,
		Daemons: int(b.Daemons), DocumentReadAge: -1, Evacuations: b.Evacuations,
	}
	if b.DocumentAge > 0 {
		h.DocumentReadAge = boundedMillis(b.DocumentAge - 1)
	}
	if b.Evacuations != nil && m.cfg.OnEvacuations != nil {
		m.cfg.OnEvacuations(*b.Evacuations)
	}
	timing := l.recordReceived(now, b)
	if err := m.handleReports(l, b, timing.sentAt); err != nil {
		m.cfg.Events.Emit(eventBadMessage, "peer", l.peer.From, "err", err)
		return err
	}
	m.mu.Lock()
	before := m.table.peers[h.From]
	accepted := m.table.observe(now, h, timing)
	p := m.table.peers[h.From]
	if accepted {
		m.loads.set(h.From, inFlight)
	}
	m.viewStale = true
	if m.cfg.Loads != nil && (h.HoldsScope || changesState(before.Heartbeat, h)) {
		m.publish(now)
	}
	m.mu.Unlock()
	if accepted {
		m.applyConfirmations(p)
		wake(m.heartbeatReceived)
	}
	return nil
}

// handleLoad applies counts that a peer sent between two heartbeats.
func (m *Mesh) handleLoad(l *link, b *loadMessage) error {
	changes := make(map[fleet.GroupID]uint32, len(b.InFlight)/2)
	if err := l.receivedNames.unpackLoad(b.InFlight, changes); err != nil {
		m.cfg.Events.Emit(eventBadMessage, "peer", l.peer.From, "err", err)
		return err
	}
	m.loads.change(l.peer.From, changes)
	return nil
}

// changesState reports whether a peer's heartbeat tells another state than its
// last one, which should not wait for the next regular update of the view.
func changesState(before, h Heartbeat) bool {
	return before.Incarnation != h.Incarnation || before.ConfigRevision != h.ConfigRevision || before.Ready != h.Ready || before.Draining != h.Draining || before.HoldsScope != h.HoldsScope ||
		before.IsReader != h.IsReader || before.StoreUnavailable != h.StoreUnavailable || before.LinksLost != h.LinksLost
}

// handleReports passes a heartbeat's reports, unresponsive instances and stalled
// groups to the callbacks.
func (m *Mesh) handleReports(l *link, b *heartbeatMessage, sentAt time.Time) error {
	reports, err := l.receivedNames.unpackReports(b, sentAt, l.reportsReceived)
	if err != nil {
		return err
	}
	unresponsive, err := unpackNew[fleet.InstanceID](l.receivedNames, b.Unresponsive)
	if err != nil {
		return err
	}
	stalled, err := unpackNew[fleet.GroupID](l.receivedNames, b.Stalled)
	if err != nil {
		return err
	}
	if len(reports) > 0 && m.cfg.OnReports != nil {
		m.cfg.OnReports(reports)
	}
	if len(unresponsive) > 0 && m.cfg.OnUnresponsive != nil {
		m.cfg.OnUnresponsive(unresponsive)
	}
	if len(stalled) > 0 && m.cfg.OnStalled != nil {
		m.cfg.OnStalled(stalled)
	}
	return nil
}

func (m *Mesh) handleGossip(l *link, b *gossipMessage) {
	// An item that came on another link at the same time must have been applied before
	// a position that covers it.
	m.gossipHandling.Lock()
	defer m.gossipHandling.Unlock()
	m.mu.Lock()
	last := m.gossip.lastNumber
	leaving, sightings, acquittals := m.gossip.addFromPeer(time.Now(), l.peer.From, b)
	broadcasts, _ := m.gossip.addBroadcasts(time.Now(), l.peer.From, b.Broadcasts)
	if b.Relayed {
		m.gossip.markRelayed(last)
	}
	m.viewStale = true
	m.mu.Unlock()
	m.notify(leaving, sightings)
	if len(acquittals) > 0 && m.cfg.OnAcquittals != nil {
		m.cfg.OnAcquittals(acquittals)
	}
	if len(broadcasts) > 0 && m.cfg.OnBroadcasts != nil {
		m.cfg.OnBroadcasts(broadcasts)
	}
	if b.List == nil || m.cfg.OnListPosition == nil || l.gossipMissed {
		return
	}
	if sentAt := l.timingOf(time.Now(), b.Echo).sentAt; !sentAt.IsZero() {
		m.cfg.OnListPosition(*b.List, sentAt.Add(-b.List.Age()))
	}
}

func (m *Mesh) notify(leaving []fleet.InstanceID, sightings []suspect.Sighting) {
	if len(leaving) > 0 && m.cfg.OnLeaving != nil {
		m.cfg.OnLeaving(leaving)
	}
	if len(sightings) > 0 && m.cfg.OnSightings != nil {
		m.cfg.OnSightings(sightings)
	}
}

func (m *Mesh) handleGoodbye(l *link) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.table.markDeparting(l.peer.From)
	m.publish(time.Now())
}

func (m *Mesh) handleRequest(l *link, req *requestMessage) error {
	frame, err := encode(m.serve(req))
	if err != nil {
		return err
	}
	l.send(frame)
	return nil
}
