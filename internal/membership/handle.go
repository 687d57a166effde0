package membership

import (
	"time"

	"carawayproxy.example/caraway/internal/fleet"
	"carawayproxy.example/caraway/internal/suspect"
)

// handle takes in one message of a link. An error drops the link.
func (m *Mesh) handle(l *link, frame []byte) error {
	body, err := decode(frame)
	if isUnknownType(err) {
		m.cfg.Events.Emit(eventUnknownMessage, "peer", l.peer.From, "err", err)
		return nil
	}
	if err != nil {
		m.cfg.Events.Emit(eventBadMessage, "peer", l.peer.From, "err", err)
		return err
	}
	switch b := body.(type) {
	case *beatMessage:
		return m.handleBeat(l, b)
	case *loadMessage:
		return m.handleLoad(l, b)
	case *newsMessage:
		m.handleNews(l, b)
	case *goodbyeMessage:
		m.handleGoodbye(l)
	case *requestMessage:
		return m.handleRequest(l, b)
	case *responseMessage:
		m.pending.resolve(l, b)
	}
	return nil
}

func (m *Mesh) handleBeat(l *link, b *beatMessage) error {
	now := time.Now()
	streams, inFlight, err := l.names.unpack(b)
	if err != nil {
		m.cfg.Events.Emit(eventBadMessage, "peer", l.peer.From, "err", err)
		return err
	}
	h := Heartbeat{
		From: l.peer.From, Address: l.peer.Address, Zone: l.peer.Zone, Incarnation: l.peer.Incarnation,
		Sequence: b.Sequence, Ready: b.Ready, Draining: b.Draining,
		ConfigRevision: b.ConfigRevision, Streams: streams, InFlight: inFlight,
		Leads: b.Leads, Reads: b.Reads, Renewed: b.Renewed, StoreAway: b.StoreAway, Processors: b.Processors,
	}
	shown := l.heard(now, b)
	if err := m.handleReports(l, b, shown.sentAt); err != nil {
		m.cfg.Events.Emit(eventBadMessage, "peer", l.peer.From, "err", err)
		return err
	}
	m.mu.Lock()
	taken := m.table.observe(now, h, shown)
	p := m.table.peers[h.From]
	m.dirty = true
	if m.cfg.Loads != nil {
		m.publish(now) // counts that are told at once count at once
	}
	m.mu.Unlock()
	if taken {
		m.confirm(p)
		wake(m.heard)
	}
	return nil
}

// handleLoad takes in counts that a peer tells between two heartbeats.
func (m *Mesh) handleLoad(l *link, b *loadMessage) error {
	changes := make(map[fleet.GroupID]uint32, len(b.InFlight)/2)
	if err := l.names.unpackLoad(b.InFlight, changes); err != nil {
		m.cfg.Events.Emit(eventBadMessage, "peer", l.peer.From, "err", err)
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.table.load(l.peer.From, changes)
	m.publish(time.Now())
	return nil
}

// handleReports hands on what a heartbeat tells of backend servers.
func (m *Mesh) handleReports(l *link, b *beatMessage, sentAt time.Time) error {
	reports, err := l.names.unpackReports(b, sentAt, l.reportsHeard)
	if err != nil {
		return err
	}
	silent, err := unpackNew[fleet.InstanceID](l.names, b.Silent)
	if err != nil {
		return err
	}
	stalled, err := unpackNew[fleet.GroupID](l.names, b.Stalled)
	if err != nil {
		return err
	}
	if len(reports) > 0 && m.cfg.OnReports != nil {
		m.cfg.OnReports(reports)
	}
	if len(silent) > 0 && m.cfg.OnSilent != nil {
		m.cfg.OnSilent(silent)
	}
	if len(stalled) > 0 && m.cfg.OnStalled != nil {
		m.cfg.OnStalled(stalled)
	}
	return nil
}

func (m *Mesh) handleNews(l *link, b *newsMessage) {
	m.mu.Lock()
	leaving, sightings := m.news.takePeer(time.Now(), l.peer.From, b)
	bulletins := m.news.takeBulletins(time.Now(), l.peer.From, b.Bulletins)
	m.dirty = true
	m.mu.Unlock()
	m.tell(leaving, sightings)
	if len(bulletins) > 0 && m.cfg.OnBulletins != nil {
		m.cfg.OnBulletins(bulletins)
	}
}

func (m *Mesh) tell(leaving []fleet.InstanceID, sightings []suspect.Sighting) {
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
	m.table.depart(l.peer.From)
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
