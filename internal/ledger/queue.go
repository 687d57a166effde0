package ledger

import (
	"context"
	"sync"

	"carawayproxy.example/caraway/internal/journal"
)

// pendingID identifies a record to be written.
type pendingID struct {
	intent  IntentID
	kind    journal.Kind
	unknown bool
}

func (r record) id() pendingID {
	return pendingID{intent: r.token.Intent, kind: r.kind, unknown: r.unknown}
}

type pending struct {
	record record
	// inProgress is set while the record is being written.
	inProgress bool
}

// queue holds the records that are not yet written, oldest first.
type queue struct {
	mu      sync.Mutex
	pending map[pendingID]*pending
	order   []pendingID
	signal  chan struct{}
}

func newQueue() *queue {
	return &queue{pending: map[pendingID]*pending{}, signal: make(chan struct{}, 1)}
}

func (q *queue) len() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.pending)
}

// add adds a record. If inProgress is set, take skips it until its release.
func (q *queue) add(r record, inProgress bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.pending[r.id()] != nil {
		return
	}
	q.pending[r.id()] = &pending{record: r, inProgress: inProgress}
	q.order = append(q.order, r.id())
}

func (q *queue) remove(r record) {
	q.mu.Lock()
	defer q.mu.Unlock()
	delete(q.pending, r.id())
}

// take returns up to n records that are not in progress and marks them.
func (q *queue) take(n int) []record {
	q.mu.Lock()
	defer q.mu.Unlock()
	var batch []record
	kept := q.order[:0]
	for _, id := range q.order {
		p := q.pending[id]
		if p == nil {
			continue
		}
		kept = append(kept, id)
		if len(batch) < n && !p.inProgress {
			p.inProgress = true
			batch = append(batch, p.record)
		}
	}
	q.order = kept
	return batch
}

// release makes a record that could not be written available to take.
func (q *queue) release(r record) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if p := q.pending[r.id()]; p != nil {
		p.inProgress = false
	}
}

// ready reports whether a record is queued and not in progress.
func (q *queue) ready() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, p := range q.pending {
		if !p.inProgress {
			return true
		}
	}
	return false
}

// wake wakes await.
func (q *queue) wake() {
	select {
	case q.signal <- struct{}{}:
	default:
	}
}

// await waits for wake and returns false if ctx ends first.
func (q *queue) await(ctx context.Context) bool {
	select {
	case <-q.signal:
		return true
	case <-ctx.Done():
		return false
	}
}
