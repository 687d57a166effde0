package ledger

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"carawayproxy.example/caraway/internal/journal"
)

const (
	// writeTimeout bounds one try to record an outcome.
	writeTimeout = 5 * time.Second
	// maxBatchRecords is how many records are tried at once.
	maxBatchRecords = 64
	minBackoff      = 100 * time.Millisecond
	maxBackoff      = 2 * time.Second
)

// record is what remains to be written about a token.
type record struct {
	token   Token
	kind    journal.Kind
	unknown bool
	answer  Answer
}

// Finish records the outcome of a request that was run. When the log does
// not take it in time, Run keeps trying.
func (c *Client) Finish(ctx context.Context, t Token, a Answer) {
	c.answers.put(t.Intent, a)
	c.writeOrQueue(ctx, t, record{kind: KindOutcome, answer: a})
}

// Doubt records that a request was sent and got no answer that can be
// trusted, so that repeats learn it without a wait. A later Finish replaces
// it.
func (c *Client) Doubt(ctx context.Context, t Token) {
	c.writeOrQueue(ctx, t, record{kind: KindOutcome, unknown: true})
}

// Abandon records that the request was never sent and never will be.
func (c *Client) Abandon(ctx context.Context, t Token) {
	c.grants.remove(t.Key, t.Intent)
	c.writeOrQueue(ctx, t, record{kind: KindAbandoned})
}

// Pending returns how many outcomes and abandonments are not yet recorded. A
// planned stop waits for zero.
func (c *Client) Pending() int { return c.queue.len() }

// writeOrQueue tries once within FinishWait and half of the caller's time, and leaves the rest to Run. The record
// is pending from the start.
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

// enqueue leaves a record to Run.
func (c *Client) enqueue(t Token, r record) {
	r.token = t
	c.queue.add(r, false)
	c.queue.wake()
}

// writeRecord writes one record and reports whether nothing remains to be done.
func (c *Client) writeRecord(ctx context.Context, r record) bool {
	shard := c.shard(r.token.Key)
	c.metrics.appends.Inc(1)
	res := shard.Proposer.Propose(ctx, r.kind, c.body(r, shard))
	switch res.Fate {
	case journal.FateAccepted:
		return true
	case journal.FateRejected:
		if res.Verdict.Reason == rejectNoIntent {
			c.cfg.Events.Emit(eventRecordRejected, "kind", r.kind, "key", r.token.Key.Caller, "reason", res.Verdict.Reason)
		}
		return true
	default:
		return false
	}
}

func (c *Client) body(r record, shard Shard) any {
	key := encodeKey(r.token.Key)
	if r.kind == KindAbandoned {
		return abandonedRecord{Key: key, Intent: r.token.Intent, Window: shard.Book.Window().Milliseconds()}
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

// Run records what could not be recorded at once, until ctx ends.
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

// writeBatch tries a batch together, for the journal appends together what is
// proposed together, and reports whether all of it is recorded.
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

func jitteredBackoff(d time.Duration) time.Duration {
	return d/2 + time.Duration(rand.Int64N(int64(d)/2+1))
}
