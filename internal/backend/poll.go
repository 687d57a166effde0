package backend

import (
	"context"
	"time"

	"carawayproxy.example/caraway/internal/fleet"
)

// Bounds of polling.
const (
	// PollEvery is the time between two polls of one backend server.
	PollEvery   = 500 * time.Millisecond
	pollTimeout = time.Second
)

// watch polls one backend server whenever that is due, until ctx ends.
func (w *Watcher) watch(ctx context.Context, s *seen) {
	defer w.forget(s)
	var cache cacheReading
	for ctx.Err() == nil {
		t, due := w.next(s)
		now := time.Now()
		if !due.After(now) {
			w.pollOnce(ctx, s, t)
			continue
		}
		if w.readsCache(t) && !cache.due().After(now) {
			w.pollCache(ctx, s, t, &cache)
			continue
		}
		if w.readsCache(t) && cache.due().Before(due) {
			due = cache.due()
		}
		pause := time.NewTimer(due.Sub(now))
		select {
		case <-pause.C:
		case <-s.wake:
		case <-ctx.Done():
		}
		pause.Stop()
	}
}

// next returns the target and when it is to be polled.
func (w *Watcher) next(s *seen) (Target, time.Time) {
	w.mu.RLock()
	t := s.target
	w.mu.RUnlock()
	rank := w.cfg.Rank(t.Unit)
	w.mu.RLock()
	defer w.mu.RUnlock()
	return t, s.dueAt(rank)
}

// pollOnce asks for one report. The report counts from when it was asked for,
// so that an answer that lay unread while this process was paused is old.
func (w *Watcher) pollOnce(ctx context.Context, s *seen, t Target) {
	asked := time.Now()
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
	r.ReceivedAt = asked
	hurry := false
	w.change(t.Instance, s, func(s *seen) {
		s.endedAt = time.Now()
		known := s.found
		if err == nil && r.Instance == t.Instance {
			s.answered(r, s.endedAt)
		} else {
			s.unanswered(asked)
		}
		s.doubted = false
		s.prompted = false
		hurry = s.found && !known
	})
	if hurry {
		w.cfg.Hurry()
	}
}

// cacheReading is how far an engine's cache events were read.
type cacheReading struct {
	last   uint64
	readAt time.Time
}

func (c *cacheReading) due() time.Time { return c.readAt.Add(reachEvery) }

// readsCache reports whether this daemon reads a target's cache events. They
// are hints for those that send it requests, and show that it is reached.
func (w *Watcher) readsCache(t Target) bool {
	return t.Kind == fleet.KindEngine && t.Direct && w.cfg.CacheEvents != nil
}

func (w *Watcher) pollCache(ctx context.Context, s *seen, t Target, c *cacheReading) {
	pollCtx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	c.readAt = time.Now()
	w.polls.Inc(1)
	events, last, err := w.cfg.Engines.CacheEvents(pollCtx, t.Address, c.last)
	if err != nil {
		w.change(t.Instance, s, (*seen).doubt)
		return
	}
	c.last = last
	if len(events) > 0 {
		w.cfg.CacheEvents(t.Instance, events)
	}
}
