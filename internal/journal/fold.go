package journal

import (
	"github.com/pkg/errors"

	"carawayproxy.example/caraway/internal/invariant"
)

// ErrGap is returned for entries that do not directly follow the folded prefix.
var ErrGap = errors.New("gap in the stream")

// fold applies entries in order and skips those already folded. The caller
// holds mu.
func (r *Replica) fold(entries []Entry) error {
	before := r.next
	defer func() {
		if r.next != before {
			r.counts.next.Update(int64(r.next))
			r.notify()
		}
	}()
	for _, e := range entries {
		if r.err != nil {
			return r.err
		}
		if e.Offset < r.next {
			continue
		}
		if e.Offset > r.next {
			return ErrGap
		}
		r.foldEntry(e)
	}
	return r.err
}

// foldEntry applies the entry at the next offset. The replica stops if the
// record cannot be decoded or applied.
func (r *Replica) foldEntry(e Entry) {
	invariant.Check(e.Offset == r.next, "journal.contiguous", "stream %s folds %d after %d", r.cfg.Stream, e.Offset, r.next)
	rec, err := DecodeRecord(e.Payload)
	switch {
	case errors.Is(err, ErrMalformed):
		r.counts.malformed.Inc(1)
		r.events.Emit(eventMalformed, "offset", e.Offset, "err", err)
	case err != nil:
		r.stop(errors.Wrapf(err, "offset %d", e.Offset))
		return
	default:
		if !r.applyRecord(e.Offset, rec) {
			return
		}
	}
	r.ring.add(e)
	r.counts.folded.Inc(1)
	r.advance(e.Offset + 1)
}

// applyRecord applies one record to the fold and settles its proposal. It
// reports false if the replica has stopped.
func (r *Replica) applyRecord(at Offset, rec Record) bool {
	if _, isDuplicate := r.window.lookup(rec.ID); isDuplicate {
		r.counts.duplicates.Inc(1)
		r.events.Emit(eventDuplicate, "offset", at, "kind", rec.Kind, "author", rec.Author)
		return true
	}
	if !r.known[rec.Kind] {
		r.stop(errors.Errorf("offset %d: unknown record kind %q", at, rec.Kind))
		return false
	}
	verdict, err := r.evaluate(at, rec)
	if err != nil {
		r.stop(errors.Wrapf(err, "offset %d: kind %s", at, rec.Kind))
		return false
	}
	r.window.add(rec.ID, verdict.Accepted)
	outcome := OutcomeRejected
	if verdict.Accepted {
		outcome = OutcomeAccepted
	}
	r.settle(rec.ID, Result{Outcome: outcome, Offset: at, Verdict: verdict})
	return true
}

// evaluate rejects a record that is too far from its basis and otherwise lets
// the aggregate decide.
func (r *Replica) evaluate(at Offset, rec Record) (Verdict, error) {
	if rec.Basis > at || at-rec.Basis >= DuplicateWindow {
		r.counts.stale.Inc(1)
		r.events.Emit(eventStale, "offset", at, "basis", rec.Basis, "kind", rec.Kind, "author", rec.Author)
		return Reject("stale: reached the log too long after it was proposed"), nil
	}
	return r.cfg.Fold.Apply(at, rec)
}
