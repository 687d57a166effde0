package journal

import (
	"github.com/pkg/errors"

	"carawayproxy.example/caraway/internal/invariant"
)

// ErrGap marks entries that do not follow on what is folded.
var ErrGap = errors.New("gap in the stream")

// fold takes in entries in order and passes over those it has. The caller
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
		r.foldOne(e)
	}
	return r.err
}

// foldOne takes in the next entry, or stops the replica.
func (r *Replica) foldOne(e Entry) {
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
		if !r.decide(e.Offset, rec) {
			return
		}
	}
	r.ring.add(e)
	r.counts.folded.Inc(1)
	r.moveTo(e.Offset + 1)
}

// decide applies the rule of the record's kind and tells its proposer. It
// reports false when the replica had to stop.
func (r *Replica) decide(at Offset, rec Record) bool {
	if _, repeat := r.window.seen(rec.ID); repeat {
		r.counts.repeats.Inc(1)
		r.events.Emit(eventRepeat, "offset", at, "kind", rec.Kind, "author", rec.Author)
		return true
	}
	if !r.known[rec.Kind] {
		r.stop(errors.Errorf("offset %d: unknown record kind %q", at, rec.Kind))
		return false
	}
	verdict, err := r.verdict(at, rec)
	if err != nil {
		r.stop(errors.Wrapf(err, "offset %d: kind %s", at, rec.Kind))
		return false
	}
	r.window.add(rec.ID, verdict.Accepted)
	fate := FateRejected
	if verdict.Accepted {
		fate = FateAccepted
	}
	r.settle(rec.ID, Result{Fate: fate, Offset: at, Verdict: verdict})
	return true
}

// verdict refuses a record that lands too late and else asks the aggregate.
func (r *Replica) verdict(at Offset, rec Record) (Verdict, error) {
	if rec.Basis > at || at-rec.Basis >= DuplicateWindow {
		r.counts.stale.Inc(1)
		r.events.Emit(eventStale, "offset", at, "basis", rec.Basis, "kind", rec.Kind, "author", rec.Author)
		return Reject("stale: reached the log too long after it was proposed"), nil
	}
	return r.cfg.Fold.Apply(at, rec)
}
