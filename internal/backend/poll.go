package backend

import (
	"context"
	"time"

	"carawayproxy.example/caraway/internal/fleet"
)

// Polling interval and timeout.
const (
	// PollInterval is the time between two polls of one backend server.
	PollInterval = 500 * time.Millisecond
	pollTimeout  = time.Second
)

// pollLoop polls one backend server at the times that nextPollAt returns, until
// ctx ends.
func (w *Watcher) pollLoop(ctx context.Context, s *targetState) {
	defer w.removeTarget(s)
	var cache cacheCursor
	for ctx.Err() == nil {
		t, pollAt := w.nextPoll(s)
		now := time.Now()
		if !pollAt.After(now) {
			w.pollOnce(ctx, s, t)
			continue
		}
		if w.readsCacheEvents(t) && !cache.nextReadAt().After(now) {
			w.pollCacheEvents(ctx, s, t, &cache)
			continue
		}
		if w.readsCacheEvents(t) && cache.nextReadAt().Before(pollAt) {
			pollAt = cache.nextReadAt()
		}
		pause := time.NewTimer(pollAt.Sub(now))
		select {
		case <-pause.C:
		case <-s.wake:
		case <-ctx.Done():
		}
		pause.Stop()
	}
}

// nextPoll returns the target and the time of its next poll.
func (w *Watcher) nextPoll(s *targetState) (Target, time.Time) {
	w.mu.RLock()
	t := s.target
	w.mu.RUnlock()
	rank := w.cfg.Rank(t.Unit)
	w.mu.RLock()
	defer w.mu.RUnlock()
	return t, s.nextPollAt(rank)
}

// pollOnce polls one target. The report is dated from the start of the poll, so
// that a response which stayed unread while this process was suspended counts
// as old.
func (w *Watcher) pollOnce(ctx context.Context, s *targetState, t Target) {
	startedAt := time.Now()
	w.polls.Inc(1)
	pollCtx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	var r fleet.Report
	var err error
	if t.Kind == fleet.KindEngine {
		r, err = w.cfg.Engines.Report(pollCtx, t.Address)
	} else {
		r, err = w.cfg.Plains.Health(pollCtx, t.Address)
	}
	if ctx.Err() != nil {
		return
	}
	r.ReceivedAt = startedAt
	requestHeartbeat := false
	w.update(t.Instance, s, func(s *targetState) {
		s.lastPollEnd = time.Now()
		wasDetectedFirst := s.detectedFirst
		if err == nil && r.Instance == t.Instance {
			s.recordSuccess(r, s.lastPollEnd)
		} else {
			s.recordFailure(startedAt)
		}
		s.pollRequested = false
		s.promptedByPeer = false
		requestHeartbeat = s.detectedFirst && !wasDetectedFirst
	})
	if requestHeartbeat {
		w.cfg.RequestHeartbeat()
	}
}

// cacheCursor is the position up to which an engine's cache events were read.
type cacheCursor struct {
	last   uint64
	readAt time.Time
}

func (c *cacheCursor) nextReadAt() time.Time { return c.readAt.Add(probeInterval) }

// readsCacheEvents reports whether this daemon reads the cache events of a
// target. They are routing hints for the daemons that send it requests, and
// reading them shows that the target is reachable.
func (w *Watcher) readsCacheEvents(t Target) bool {
	return t.Kind == fleet.KindEngine && t.Direct && w.cfg.CacheEvents != nil
}

func (w *Watcher) pollCacheEvents(ctx context.Context, s *targetState, t Target, c *cacheCursor) {
	pollCtx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	c.readAt = time.Now()
	w.polls.Inc(1)
	events, last, err := w.cfg.Engines.CacheEvents(pollCtx, t.Address, c.last)
	if err != nil {
		w.update(t.Instance, s, (*targetState).requestPoll)
		return
	}
	c.last = last
	if len(events) > 0 {
		w.cfg.CacheEvents(t.Instance, events)
	}
}
