package journal

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// appendLoop appends queued proposals, one append at a time. Proposals that
// arrive during an append are batched into the next one.
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

// awaitQueue blocks until the replica has started and a proposal is queued. It
// returns false when ctx ends first.
func (r *Replica) awaitQueue(ctx context.Context) bool {
	for ctx.Err() == nil {
		r.mu.Lock()
		ready := r.started && len(r.queue) > 0
		r.mu.Unlock()
		if ready {
			return true
		}
		select {
		case <-r.appendSignal:
		case <-ctx.Done():
		}
	}
	return false
}

// takeBatch removes the next proposals from the queue and counts an append for
// each, because from now on the record may be in the log.
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
			r.settleUnseen(p, err)
			continue
		}
		if bytes += len(p.payload); bytes > maxBatchBytes {
			break
		}
		p.appends++
		p.uncertainAppends++
		batch = append(batch, p)
		r.queue = r.queue[1:]
	}
	return batch
}

// encode encodes the record on its first append and sets its Basis. Later
// appends reuse the payload.
func (r *Replica) encode(p *proposal) error {
	if p.payload != nil {
		return nil
	}
	p.record.Basis = r.next
	data, err := EncodeRecord(p.record)
	p.payload = data
	return err
}

// appendBatch appends a batch and settles or requeues its proposals.
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
		r.foldAppended(payloads, first, sent)
		return
	}
	if errors.Is(err, ErrNotAppended) {
		batch = r.settleNotAppended(batch, err)
	} else {
		r.counts.unknown.Inc(1)
		r.events.Emit(eventAppendUnknown, "records", len(batch), "err", err)
	}
	if len(batch) > 0 {
		r.resolveUnknown(ctx, batch, err)
	}
}

// foldAppended folds the entries of a successful append if they directly follow
// the folded prefix. Otherwise the tail loop reads them.
func (r *Replica) foldAppended(payloads [][]byte, first Offset, sent time.Time) {
	entries := make([]Entry, len(payloads))
	for i, data := range payloads {
		entries[i] = Entry{Offset: first + Offset(i), Payload: data}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.recordLogResponse()
	if r.fold(entries) == nil {
		r.confirm(first, sent)
	}
}

// settleNotAppended settles the proposals that are provably not in the log. It
// returns those that an earlier append without a response may have written.
func (r *Replica) settleNotAppended(batch []*proposal, cause error) []*proposal {
	r.mu.Lock()
	defer r.mu.Unlock()
	var uncertain []*proposal
	for _, p := range batch {
		p.uncertainAppends--
		if p.uncertainAppends > 0 {
			uncertain = append(uncertain, p)
		} else if !p.settled {
			r.settleUnseen(p, cause)
		}
	}
	return uncertain
}

// resolveUnknown reads the stream after an append without a response to learn
// whether it took effect. Records that are not in the log are appended again
// with the same ids, so that each counts once even if both appends land. If the
// stream cannot be read either, or a record has used up its appends, the
// outcome stays unknown and the proposers get that result immediately.
func (r *Replica) resolveUnknown(ctx context.Context, batch []*proposal, cause error) {
	readErr := r.catchUp(ctx)
	r.mu.Lock()
	var retry []*proposal
	for _, p := range batch {
		switch {
		case p.settled:
		case readErr != nil || p.uncertainAppends >= maxUncertainAppends || p.appends >= maxAppends:
			r.settleUnseen(p, cause)
		default:
			retry = append(retry, p)
		}
	}
	r.queue = append(retry, r.queue...)
	r.mu.Unlock()
	if len(retry) > 0 {
		sleep(ctx, appendRetryDelay)
	}
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
