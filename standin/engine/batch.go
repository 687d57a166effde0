package engine

import (
	"context"
	"sort"
	"time"
)

const loadSampleInterval = 100 * time.Millisecond

// waiter is a request that waits for a slot in the batch.
type waiter struct {
	priority uint32
	admitted chan struct{}
}

// batch is the set of requests that generate together, with a queue. Callers
// hold the engine's lock.
type batch struct {
	size    int
	running int
	waiting []*waiter // by priority, then by arrival
	tokens  uint64    // remaining tokens of all running and waiting requests
}

// add admits a request to the batch, or queues it by priority if the batch is
// full.
func (b *batch) add(priority uint32) *waiter {
	w := &waiter{priority: priority, admitted: make(chan struct{})}
	if b.running < b.size {
		b.running++
		close(w.admitted)
		return w
	}
	index := sort.Search(len(b.waiting), func(i int) bool { return b.waiting[i].priority < priority })
	b.waiting = append(b.waiting, nil)
	copy(b.waiting[index+1:], b.waiting[index:])
	b.waiting[index] = w
	return w
}

// freeSlot passes a finished request's slot to the first waiting request.
func (b *batch) freeSlot() {
	if len(b.waiting) == 0 {
		b.running--
		return
	}
	close(b.waiting[0].admitted)
	b.waiting = b.waiting[1:]
}

// remove removes a request from the queue or the batch.
func (b *batch) remove(w *waiter) {
	for i, x := range b.waiting {
		if x == w {
			b.waiting = append(b.waiting[:i], b.waiting[i+1:]...)
			return
		}
	}
	b.freeSlot()
}

// join waits for a slot in the batch. The returned function frees the slot.
func (e *Engine) join(ctx context.Context, priority uint32, tokens uint64) (leave func(), err error) {
	e.mu.Lock()
	w := e.batch.add(priority)
	e.batch.tokens += tokens
	broken := e.broken
	e.mu.Unlock()
	leave = func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.batch.remove(w)
		e.batch.tokens -= tokens
	}
	select {
	case <-w.admitted:
		return leave, nil
	case <-broken:
		err = errGroupNotWhole
	case <-ctx.Done():
		err = ctx.Err()
	}
	leave()
	return nil, err
}

// tokenInterval returns the time to the next token of a stream in the current
// batch.
func (e *Engine) tokenInterval() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.tokenIntervalLocked()
}

func (e *Engine) tokenIntervalLocked() time.Duration {
	occupancy := float64(e.batch.running) / float64(e.batch.size)
	d := float64(e.cfg.TokenInterval) * (1 + e.cfg.BatchSlowdown*occupancy)
	if e.faults.Straggle > 1 {
		d *= e.faults.Straggle
	}
	return time.Duration(d)
}

// loadSample is the load at one point in time.
type loadSample struct {
	at              time.Time
	running, queued int
	tokens          uint64
	tokensPerSecond float64
}

func (e *Engine) sampleLoad() {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	e.loads = append(e.loads, e.currentLoad(now))
	cutoff := now.Add(-2*e.cfg.ReportLag - loadSampleInterval)
	for len(e.loads) > 1 && e.loads[0].at.Before(cutoff) {
		e.loads = e.loads[1:]
	}
}

func (e *Engine) currentLoad(now time.Time) loadSample {
	return loadSample{
		at:              now,
		running:         e.batch.running,
		queued:          len(e.batch.waiting),
		tokens:          e.batch.tokens,
		tokensPerSecond: float64(e.batch.size) / e.fullBatchInterval().Seconds(),
	}
}

// fullBatchInterval returns the time between two tokens of one stream in a full
// batch.
func (e *Engine) fullBatchInterval() time.Duration {
	d := float64(e.cfg.TokenInterval) * (1 + e.cfg.BatchSlowdown)
	if e.faults.Straggle > 1 {
		d *= e.faults.Straggle
	}
	return time.Duration(d)
}

// laggedLoad returns the newest sample that is at least ReportLag old, or the
// oldest sample if none is.
func (e *Engine) laggedLoad(now time.Time) loadSample {
	if len(e.loads) == 0 {
		return e.currentLoad(now)
	}
	sample := e.loads[0]
	for _, s := range e.loads {
		if now.Sub(s.at) >= e.cfg.ReportLag {
			sample = s
		}
	}
	return sample
}
