package ledger

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"carawayproxy.example/caraway/internal/journal"
)

const (
	// writeTimeout limits one attempt to write a batch of queued records.
	writeTimeout = 5 * time.Second
	// maxBatchRecords is the maximum number of records written concurrently.
	maxBatchRecords = 64
	minBackoff      = 100 * time.Millisecond
	maxBackoff      = 2 * time.Second
)

// record is an outcome or abandonment to be written to the ledger.
type record struct {
	token   Token
	kind    journal.Kind
	unknown bool
	answer  Answer
}

// Finish records the outcome of a request. If the record cannot be written in
// time, Run retries it.
func (c *Client) Finish(ctx context.Context, t Token, a Answer) {
	c.answers.put(t.Intent, a)
	c.writeOrQueue(ctx, t, record{kind: KindOutcome, answer: a})
}

// RecordUnknown records that a request was sent and its outcome is unknown, so
// that repeated calls get this result without waiting. A later Finish replaces
// it.
func (c *Client) RecordUnknown(ctx context.Context, t Token) {
	c.writeOrQueue(ctx, t, record{kind: KindOutcome, unknown: true})
}

// Abandon records that the request was not sent and will not be.
func (c *Client) Abandon(ctx context.Context, t Token) {
	c.grants.remove(t.Key, t.Intent)
	c.writeOrQueue(ctx, t, record{kind: KindAbandoned})
}

// Pending returns the number of outcomes and abandonments that are not yet
// recorded. A planned stop waits until it is zero.
func (c *Client) Pending() int { return c.queue.len() }

// writeOrQueue adds the record to the queue and tries to write it once, within
// FinishWait and half of the caller's remaining time. If that fails, Run
// retries it.
func (c *Client) writeOrQueue(ctx context.Context, t Token, r record) {
	r.token = t
	c.queue.add(r, true)
	wait := c.cfg.FinishWait
	if deadline, ok := ctx.Deadline(); ok && time.Until(deadline) > 0 {
		wait = min(wait, time.Until(deadline)/2)
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), wait)
	defer cancel()
	if c.writeRecord(ctx, r) {
		c.queue.remove(r)
		return
	}
	c.cfg.Events.Emit(eventRecordQueued, "kind", r.kind, "key", t.Key.Caller)
	c.queue.release(r)
	c.queue.wake()
}

// enqueue queues a record for Run.
func (c *Client) enqueue(t Token, r record) {
	r.token = t
	c.queue.add(r, false)
	c.queue.wake()
}

// writeRecord proposes one record and reports whether it needs no retry: it was
// accepted or rejected.
func (c *Client) writeRecord(ctx context.Context, r record) bool {
	shard := c.shard(r.token.Key)
	c.metrics.appends.Inc(1)
	res := shard.Proposer.Propose(ctx, r.kind, c.body(r, shard))
	switch res.Outcome {
	case journal.OutcomeAccepted:
		return true
	case journal.OutcomeRejected:
		if res.Verdict.Reason == rejectNoIntent {
			c.cfg.Events.Emit(eventRecordRejected, "kind", r.kind, "key", r.token.Key.Caller, "reason", res.Verdict.Reason)
		}
		return true
	default:
		return false
	}
}

// body returns the body of the record in the log. Answers larger than
// InlineBytes are recorded without their body.
func (c *Client) body(r record, shard Shard) any {
	key := encodeKey(r.token.Key)
	if r.kind == KindAbandoned {
		return abandonedRecord{Key: key, Intent: r.token.Intent, Window: shard.Fold.Window().Milliseconds()}
	}
	out := outcomeRecord{
		Key:     key,
		Intent:  r.token.Intent,
		Unknown: r.unknown,
		Digest:  r.answer.Digest,
		Size:    r.answer.Size,
		Failed:  r.answer.Failed,
		Message: r.answer.Message,
	}
	if len(r.answer.Body) <= c.cfg.InlineBytes {
		out.Body = r.answer.Body
	}
	return out
}

// Run writes queued records and retries them with backoff until ctx ends.
func (c *Client) Run(ctx context.Context) {
	backoff := minBackoff
	for {
		batch := c.queue.take(maxBatchRecords)
		if len(batch) == 0 {
			backoff = minBackoff
			if !c.queue.await(ctx) {
				return
			}
			continue
		}
		if c.writeBatch(ctx, batch) {
			backoff = minBackoff
			continue
		}
		if !sleep(ctx, jitteredBackoff(backoff)) {
			return
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

// writeBatch writes a batch concurrently, because the journal appends concurrent
// proposals together. It reports whether no queued record is left to retry.
func (c *Client) writeBatch(ctx context.Context, batch []record) bool {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for _, r := range batch {
		wg.Go(func() {
			if !c.writeRecord(ctx, r) {
				c.queue.release(r)
				return
			}
			c.queue.remove(r)
			c.cfg.Events.Emit(eventRecordWritten, "kind", r.kind, "key", r.token.Key.Caller)
		})
	}
	wg.Wait()
	return !c.queue.ready()
}

// sleep waits for d and returns false if ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// jitteredBackoff returns a random duration between half of d and d.
func jitteredBackoff(d time.Duration) time.Duration {
	return d/2 + time.Duration(rand.Int64N(int64(d)/2+1))
}
