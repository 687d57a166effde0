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
	// appendRetryDelay is the delay before records are appended again after an
	// append without a response that did not reach the log.
	appendRetryDelay = 200 * time.Millisecond
	// maxUncertainAppends is the maximum number of appends without a response for
	// one record. maxAppends is the maximum number of all its appends,
	// including those with ErrNotAppended.
	maxUncertainAppends = 4
	maxAppends          = 8
	// maxBatchRecords and maxBatchBytes are the limits of one append.
	maxBatchRecords = 256
	maxBatchBytes   = 2 * MaxRecordBytes
)

// ErrClosed is returned for a proposal to a replica whose Run has ended.
var ErrClosed = errors.New("replica has ended")

// proposal is one record that waits for its result. The replica's mu guards it.
type proposal struct {
	record           Record
	payload          []byte      // encoded at the first append
	appends          int         // all appends of the record
	uncertainAppends int         // appends that may have written the record
	settled          bool        // the result was sent to done
	done             chan Result // buffered, receives one result
}

// Propose implements Proposer.
func (r *Replica) Propose(ctx context.Context, kind Kind, body any) Result {
	p, err := r.newProposal(kind, body)
	if err == nil {
		err = r.enqueue(p)
	}
	if err != nil {
		return Result{Outcome: OutcomeNotAppended, Err: err}
	}
	select {
	case res := <-p.done:
		return res
	case <-ctx.Done():
		return r.cancelProposal(p, ctx.Err())
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
	case r.logUnavailable:
		return errors.Wrap(ErrNotAppended, "the log does not answer")
	}
	r.pending[p.record.ID] = p
	r.queue = append(r.queue, p)
	r.signalAppendLoop()
	return nil
}

// signalAppendLoop wakes the append loop.
func (r *Replica) signalAppendLoop() {
	select {
	case r.appendSignal <- struct{}{}:
	default:
	}
}

// cancelProposal settles a proposal whose context has ended and returns its
// result.
func (r *Replica) cancelProposal(p *proposal, cause error) Result {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !p.settled {
		r.settleUnseen(p, cause)
	}
	return <-p.done
}

// settle sends the result to the proposer of the record, if it is pending. The
// caller holds mu.
func (r *Replica) settle(id RecordID, res Result) {
	p := r.pending[id]
	if p == nil {
		return
	}
	delete(r.pending, id)
	p.settled = true
	p.done <- res
}

// settleUnseen settles a proposal that was not seen in the log, as
// OutcomeNotAppended if no append can have written it and as OutcomeUnknown
// otherwise. The caller holds mu.
func (r *Replica) settleUnseen(p *proposal, cause error) {
	res := Result{Outcome: OutcomeUnknown, Err: cause}
	if p.uncertainAppends == 0 {
		res.Outcome = OutcomeNotAppended
	}
	r.settle(p.record.ID, res)
}

// settleAll settles all pending proposals. The caller holds mu.
func (r *Replica) settleAll(cause error) {
	for _, p := range r.pending {
		r.settleUnseen(p, cause)
	}
	r.queue = nil
}

// settleUnsent settles the queued proposals that no append can have written.
// The caller holds mu.
func (r *Replica) settleUnsent(cause error) {
	kept := r.queue[:0]
	for _, p := range r.queue {
		if p.uncertainAppends > 0 {
			kept = append(kept, p)
			continue
		}
		r.settleUnseen(p, cause)
	}
	clear(r.queue[len(kept):])
	r.queue = kept
}

// settleFromWindow settles the proposals whose verdicts are in the window of an
// adopted state. The caller holds mu.
func (r *Replica) settleFromWindow() {
	for id := range r.pending {
		accepted, ok := r.window.lookup(id)
		if !ok {
			continue
		}
		res := Result{Outcome: OutcomeRejected, Verdict: Reject("decided before the state was adopted")}
		if accepted {
			res = Result{Outcome: OutcomeAccepted, Verdict: Accept()}
		}
		r.settle(id, res)
	}
}
