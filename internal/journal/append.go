package journal

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// appendLoop appends what is queued, one append at a time. Proposals that
// arrive meanwhile go together in the next one.
func (r *Replica) appendLoop(ctx context.Context) {
	for r.awaitQueue(ctx) {
		if r.cfg.Budget != nil && r.cfg.Budget.Wait(ctx) != nil {
			return
		}
		batch := r.takeBatch()
		if len(batch) > 0 {
			r.appendBatch(ctx, batch)
		}
	}
}

// awaitQueue waits for proposals and a state to base them on.
func (r *Replica) awaitQueue(ctx context.Context) bool {
	for ctx.Err() == nil {
		r.mu.Lock()
		ready := r.started && len(r.queue) > 0
		r.mu.Unlock()
		if ready {
			return true
		}
		select {
		case <-r.kick:
		case <-ctx.Done():
		}
	}
	return false
}

// takeBatch removes the next proposals from the queue and counts an attempt
// on each, because from here on they may be in the log.
func (r *Replica) takeBatch() []*proposal {
	r.mu.Lock()
	defer r.mu.Unlock()
	var batch []*proposal
	bytes := 0
	for len(r.queue) > 0 && len(batch) < maxBatchRecords {
		p := r.queue[0]
		if p.settled {
			r.queue = r.queue[1:]
			continue
		}
		if err := r.encode(p); err != nil {
			r.settleOpen(p, err)
			continue
		}
		if bytes += len(p.payload); bytes > maxBatchBytes {
			break
		}
		p.calls++
		p.attempts++
		batch = append(batch, p)
		r.queue = r.queue[1:]
	}
	return batch
}

func (r *Replica) encode(p *proposal) error {
	if p.payload != nil {
		return nil
	}
	p.record.Basis = r.next
	data, err := EncodeRecord(p.record)
	p.payload = data
	return err
}

func (r *Replica) appendBatch(ctx context.Context, batch []*proposal) {
	payloads := make([][]byte, len(batch))
	for i, p := range batch {
		payloads[i] = p.payload
	}
	r.counts.appends.Inc(1)
	r.counts.records.Inc(int64(len(batch)))
	sent := time.Now()
	callCtx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	first, err := r.cfg.Log.Append(callCtx, r.cfg.Stream, payloads)
	if err == nil {
		r.acknowledged(payloads, first, sent)
		return
	}
	if errors.Is(err, ErrNotAppended) {
		batch = r.refused(batch, err)
	} else {
		r.counts.unknown.Inc(1)
		r.events.Emit(eventAppendLost, "records", len(batch), "err", err)
	}
	if len(batch) > 0 {
		r.resolve(ctx, batch, err)
	}
}

// acknowledged folds what the log has just taken, if nothing came between.
// Otherwise the tail brings it.
func (r *Replica) acknowledged(payloads [][]byte, first Offset, sent time.Time) {
	entries := make([]Entry, len(payloads))
	for i, data := range payloads {
		entries[i] = Entry{Offset: first + Offset(i), Payload: data}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.logAnswered()
	if r.fold(entries) == nil {
		r.confirm(first, sent)
	}
}

// refused settles the proposals that provably are not in the log and returns
// those that an earlier append may have carried.
func (r *Replica) refused(batch []*proposal, cause error) []*proposal {
	r.mu.Lock()
	defer r.mu.Unlock()
	var open []*proposal
	for _, p := range batch {
		p.attempts--
		if p.attempts > 0 {
			open = append(open, p)
		} else if !p.settled {
			r.settleOpen(p, cause)
		}
	}
	return open
}

// resolve reads the log back after an append without an answer. What the log
// does not show is sent again under the same ids, so that it counts once
// whichever arrives. When the log can't be read either, the fate stays
// unknown and the proposers are told at once.
func (r *Replica) resolve(ctx context.Context, batch []*proposal, cause error) {
	readErr := r.catchUp(ctx)
	r.mu.Lock()
	var again []*proposal
	for _, p := range batch {
		switch {
		case p.settled:
		case readErr != nil || p.attempts >= maxAppendAttempts || p.calls >= maxAppendCalls:
			r.settleOpen(p, cause)
		default:
			again = append(again, p)
		}
	}
	r.queue = append(again, r.queue...)
	r.mu.Unlock()
	if len(again) > 0 {
		sleep(ctx, appendRetryDelay)
	}
}

// sleep waits for d or the end of ctx.
func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
