package membership

import (
	"context"
	"time"

	"carawayproxy.example/caraway/internal/journal"
)

// relayBatch is how many entries one request asks for.
const relayBatch = 256

// lag is since when a replica has been behind an offset that a peer has.
type lag struct {
	next  journal.Offset // own position when first seen behind
	since time.Time
}

// runRelay takes records from peers for replicas that are behind, until ctx
// ends. It looks after each heartbeat heard and at least at each beat.
func (m *Mesh) runRelay(ctx context.Context) {
	lags := map[journal.Stream]lag{}
	tick := time.NewTicker(m.cfg.Beat / 2)
	defer tick.Stop()
	for {
		select {
		case <-m.heard:
		case <-tick.C:
		case <-ctx.Done():
			return
		}
		for stream, replica := range m.cfg.Replicas {
			m.relayStream(ctx, stream, replica, lags)
		}
	}
}

func (m *Mesh) relayStream(ctx context.Context, stream journal.Stream, replica Relay, lags map[journal.Stream]lag) {
	s := replica.Status()
	links := m.linksByOffset(stream, s.Next)
	if s.Err != nil || len(links) == 0 {
		delete(lags, stream)
		return
	}
	now := time.Now()
	l, behind := lags[stream]
	if !behind || l.next != s.Next {
		l = lag{next: s.Next, since: now}
		lags[stream] = l
	}
	if now.Sub(s.LogAt) < logSilence && now.Sub(l.since) < relayPatience {
		return
	}
	m.takeEntries(ctx, stream, replica, links)
	delete(lags, stream)
}

// takeEntries fetches from the furthest peer until the replica has what it
// has, or the fetch brings nothing.
func (m *Mesh) takeEntries(ctx context.Context, stream journal.Stream, replica Relay, links []*link) {
	for _, l := range links[:min(len(links), maxAsked)] {
		if m.takeFrom(ctx, stream, replica, l) {
			return
		}
	}
}

// takeFrom reports whether any entry came from the peer.
func (m *Mesh) takeFrom(ctx context.Context, stream journal.Stream, replica Relay, l *link) bool {
	taken := 0
	from := replica.Status().Next
	for ctx.Err() == nil {
		r, err := m.ask(ctx, l, requestMessage{Kind: requestEntries, Stream: stream, From: from, Limit: relayBatch})
		if err != nil {
			m.cfg.Events.Emit(eventRequestFailed, "peer", l.peer.From, "stream", stream, "err", err)
			break
		}
		if r.First != from || len(r.Payloads) == 0 {
			break
		}
		next := replica.Offer(r.entries())
		if next <= from {
			break
		}
		taken += int(next - from)
		from = next
	}
	if taken > 0 {
		m.meters.relayed.Inc(int64(taken))
		m.cfg.Events.Emit(eventRelayed, "peer", l.peer.From, "stream", stream, "entries", taken, "next", from)
	}
	return taken > 0
}

// confirm passes a peer's confirmations on to the replicas that have come as
// far.
func (m *Mesh) confirm(p Peer) {
	for stream, replica := range m.cfg.Replicas {
		position, has := p.Heartbeat.Streams[stream]
		if !has {
			continue
		}
		at, ok := confirmedAt(p, position)
		s := replica.Status()
		if ok && s.Err == nil && s.Next >= position.Next && at.After(s.ConfirmedAt) {
			replica.Confirm(position.Next, at)
		}
	}
}

// positions tells how far the own replicas have come.
func (m *Mesh) positions(now time.Time) map[journal.Stream]StreamPosition {
	out := make(map[journal.Stream]StreamPosition, len(m.cfg.Replicas))
	for stream, replica := range m.cfg.Replicas {
		s := replica.Status()
		p := StreamPosition{Next: s.Next, ConfirmedAgeMilli: -1}
		if !s.ConfirmedAt.IsZero() {
			p.ConfirmedAgeMilli = int64(milli(now.Sub(s.ConfirmedAt)))
		}
		out[stream] = p
	}
	return out
}
