package journal

import (
	"context"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"
)

const (
	// appendTimeout bounds one call of Append.
	appendTimeout = 5 * time.Second
	// appendRetryDelay passes before records of an append without an answer,
	// which the log did not show, are sent again.
	appendRetryDelay = 200 * time.Millisecond
	// maxAppendAttempts bounds the appends without an answer of one record,
	// maxAppendCalls all of its appends, refused ones among them.
	maxAppendAttempts = 4
	maxAppendCalls    = 8
	// maxBatchRecords and maxBatchBytes bound one append.
	maxBatchRecords = 256
	maxBatchBytes   = 2 * MaxRecordBytes
)

// ErrClosed is the error of a proposal to a replica that has ended.
var ErrClosed = errors.New("replica has ended")

// proposal is one record on its way. The replica's mu guards it.
type proposal struct {
	record   Record
	payload  []byte      // encoded at the first attempt
	calls    int         // appends that were tried
	attempts int         // of these, appends that may have carried it
	settled  bool        // done has its result, or nobody waits for one
	done     chan Result // holds one
}

// Propose implements Proposer.
func (r *Replica) Propose(ctx context.Context, kind Kind, body any) Result {
	p, err := r.newProposal(kind, body)
	if err == nil {
		err = r.enqueue(p)
	}
	if err != nil {
		return Result{Fate: FateNotAppended, Err: err}
	}
	select {
	case res := <-p.done:
		return res
	case <-ctx.Done():
		return r.giveUp(p, ctx.Err())
	}
}

func (r *Replica) newProposal(kind Kind, body any) (*proposal, error) {
	if !r.known[kind] {
		return nil, errors.Errorf("stream %s has no record kind %q", r.cfg.Stream, kind)
	}
	data, err := Encode(body)
	if err != nil {
		return nil, errors.Wrapf(err, "body of %s", kind)
	}
	if len(data) > MaxRecordBytes-recordOverhead {
		return nil, errors.Wrapf(ErrTooLarge, "%d bytes", len(data))
	}
	rec := Record{
		Format:    RecordFormat,
		ID:        RecordID(uuid.New()),
		Kind:      kind,
		Author:    r.cfg.Self,
		UnixMilli: time.Now().UnixMilli(),
		Body:      data,
	}
	return &proposal{record: rec, done: make(chan Result, 1)}, nil
}

func (r *Replica) enqueue(p *proposal) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case r.closed:
		return ErrClosed
	case r.err != nil:
		return r.err
	case r.logDown:
		return errors.Wrap(ErrNotAppended, "the log does not answer")
	}
	r.pending[p.record.ID] = p
	r.queue = append(r.queue, p)
	r.wake()
	return nil
}

func (r *Replica) wake() {
	select {
	case r.kick <- struct{}{}:
	default:
	}
}

// giveUp ends the wait for a proposal's fate.
func (r *Replica) giveUp(p *proposal, cause error) Result {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !p.settled {
		r.settleOpen(p, cause)
	}
	return <-p.done
}

// settle hands a result to whoever waits for the record. The caller holds mu.
func (r *Replica) settle(id RecordID, res Result) {
	p := r.pending[id]
	if p == nil {
		return
	}
	delete(r.pending, id)
	p.settled = true
	p.done <- res
}

// settleOpen settles a proposal that has not been seen in the log. The caller
// holds mu.
func (r *Replica) settleOpen(p *proposal, cause error) {
	res := Result{Fate: FateUnknown, Err: cause}
	if p.attempts == 0 {
		res.Fate = FateNotAppended
	}
	r.settle(p.record.ID, res)
}

// settleAll settles what is pending. The caller holds mu.
func (r *Replica) settleAll(cause error) {
	for _, p := range r.pending {
		r.settleOpen(p, cause)
	}
	r.queue = nil
}

// settleUnsent settles the proposals that wait for a log which does not
// answer. The caller holds mu.
func (r *Replica) settleUnsent(cause error) {
	kept := r.queue[:0]
	for _, p := range r.queue {
		if p.attempts > 0 {
			kept = append(kept, p)
			continue
		}
		r.settleOpen(p, cause)
	}
	clear(r.queue[len(kept):])
	r.queue = kept
}

// settleSeen settles proposals whose verdict came with an adopted state. The
// caller holds mu.
func (r *Replica) settleSeen() {
	for id := range r.pending {
		accepted, ok := r.window.seen(id)
		if !ok {
			continue
		}
		res := Result{Fate: FateRejected, Verdict: Reject("decided before the state was adopted")}
		if accepted {
			res = Result{Fate: FateAccepted, Verdict: Accept()}
		}
		r.settle(id, res)
	}
}
