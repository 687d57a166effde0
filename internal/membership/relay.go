package membership

import (
	"context"
	"time"

	"carawayproxy.example/caraway/internal/journal"
)

// relayBatch is the maximum number of entries per request.
const relayBatch = 256

// lag records since when a replica has been behind a peer.
type lag struct {
	next  journal.Offset // the replica's position since then
	since time.Time
}

// runRelay fetches records from peers for replicas that are behind, until ctx
// ends. It checks after each received heartbeat and at least twice per
// heartbeat interval.
func (m *Mesh) runRelay(ctx context.Context) {
	lags := map[journal.Stream]lag{}
	tick := time.NewTicker(m.cfg.HeartbeatInterval / 2)
	defer tick.Stop()
	for {
		select {
		case <-m.heartbeatReceived:
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
	if now.Sub(s.LastLogResponse) < logTimeout && now.Sub(l.since) < relayDelay {
		return
	}
	m.fetchFromPeers(ctx, stream, replica, links)
	delete(lags, stream)
}

// fetchFromPeers fetches entries from the furthest peer that provides any,
// trying at most maxFetchPeers.
func (m *Mesh) fetchFromPeers(ctx context.Context, stream journal.Stream, replica Relay, links []*link) {
	for _, l := range links[:min(len(links), maxFetchPeers)] {
		if m.fetchFromPeer(ctx, stream, replica, l) {
			return
		}
	}
}

// fetchFromPeer fetches entries until the peer has no more, and reports whether
// it provided any.
func (m *Mesh) fetchFromPeer(ctx context.Context, stream journal.Stream, replica Relay, l *link) bool {
	fetched := 0
	from := replica.Status().Next
	for ctx.Err() == nil {
		r, err := m.request(ctx, l, requestMessage{Kind: requestEntries, Stream: stream, From: from, Limit: relayBatch})
		if err != nil {
			m.cfg.Events.Emit(eventRequestFailed, "peer", l.peer.From, "stream", stream, "err", err)
			break
		}
		if r.First != from || len(r.Payloads) == 0 {
			break
		}
		next := replica.FoldRelayed(r.entries())
		if next <= from {
			break
		}
		fetched += int(next - from)
		from = next
	}
	if fetched > 0 {
		m.meters.relayed.Inc(int64(fetched))
		m.cfg.Events.Emit(eventRelayed, "peer", l.peer.From, "stream", stream, "entries", fetched, "next", from)
	}
	return fetched > 0
}

// applyConfirmations applies a peer's confirmations to the replicas that have
// reached the peer's position.
func (m *Mesh) applyConfirmations(p Peer) {
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

// positions returns the positions of this daemon's replicas.
func (m *Mesh) positions(now time.Time) map[journal.Stream]StreamPosition {
	out := make(map[journal.Stream]StreamPosition, len(m.cfg.Replicas))
	for stream, replica := range m.cfg.Replicas {
		s := replica.Status()
		p := StreamPosition{Next: s.Next, ConfirmedAgeMilli: -1}
		if !s.ConfirmedAt.IsZero() {
			p.ConfirmedAgeMilli = int64(ceilMillis(now.Sub(s.ConfirmedAt)))
		}
		out[stream] = p
	}
	return out
}
