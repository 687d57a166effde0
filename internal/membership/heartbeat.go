package membership

import (
	"context"
	"time"
)

// ticksPerBeat is how often between two heartbeats the view is renewed and
// news is passed on.
const ticksPerBeat = 5

// runBeats beats until ctx ends.
func (m *Mesh) runBeats(ctx context.Context) {
	tick := time.NewTicker(m.cfg.Beat / ticksPerBeat)
	defer tick.Stop()
	for n := 0; ; n++ {
		if n%ticksPerBeat == 0 || m.hurried.Load() {
			m.beat()
		}
		if m.cfg.Loads != nil {
			m.sendLoads(time.Now())
		}
		m.tick(n%ticksPerBeat == 0)
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
	}
}

// Hurry makes the next heartbeat leave within a fifth of a beat.
func (m *Mesh) Hurry() { m.hurried.Store(true) }

// Beat sends a heartbeat over each link now.
func (m *Mesh) Beat() { m.beat() }

// beat sends a heartbeat over each link and takes in the source's news.
func (m *Mesh) beat() {
	m.hurried.Store(false)
	h := m.cfg.Source.Heartbeat()
	now := time.Now()
	h.Streams = m.positions(now)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.news.takeOwn(now, h.Leaving, h.Sightings)
	m.sequence++
	h.Sequence = m.sequence
	for _, l := range m.links {
		if err := l.sendBeat(now, h); err != nil {
			l.cancel(err)
		}
	}
}

// loadsPerSecond bounds the messages of changed counts over all links: ten a
// second on each of ten links. With many more they come with heartbeats only.
const loadsPerSecond = 100

// sendLoads tells each peer which counts have changed.
func (m *Mesh) sendLoads(now time.Time) {
	m.mu.Lock()
	links := len(m.links)
	m.mu.Unlock()
	if now.Sub(m.loadsAt) < time.Duration(links)*time.Second/loadsPerSecond {
		return
	}
	m.loadsAt = now
	loads := m.cfg.Loads()
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, l := range m.links {
		if err := l.sendLoad(loads); err != nil {
			l.cancel(err)
		}
	}
}

// tick passes news on and renews the view.
func (m *Mesh) tick(full bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	if now.Sub(m.tickedAt) > m.cfg.AliveFor {
		m.resumedAt = now
	}
	m.tickedAt = now
	for _, l := range m.links {
		m.sendNews(now, l)
	}
	if full {
		m.news.expire(now)
		for _, id := range m.table.expire(now) {
			m.cfg.Events.Emit(eventPeerGone, "peer", id, "reason", "silent")
		}
	}
	if full || m.dirty {
		m.publish(now)
	}
}

// sendNews sends what the link's peer has not been told. Called with mu held.
func (m *Mesh) sendNews(now time.Time, l *link) {
	n := m.news.after(now, l.newsSent, l.peer.From)
	last := m.news.last
	if n == nil {
		l.newsSent = last
		return
	}
	frame, err := encode(n)
	if err != nil {
		m.cfg.Events.Emit(eventBadMessage, "peer", l.peer.From, "err", err)
		return
	}
	if l.send(frame) {
		l.newsSent = last
	}
}

// Goodbye tells the peers at once that this daemon stops. They stop counting
// it when its links close.
func (m *Mesh) Goodbye() {
	m.beat()
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
