package suspect

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"carawayproxy.example/caraway/internal/fleet"
	"carawayproxy.example/caraway/internal/foldtime"
	"carawayproxy.example/caraway/internal/journal"
)

// Kinds of suspect records in the control stream.
const (
	KindConvict journal.Kind = "suspect.convict"
	KindClear   journal.Kind = "suspect.clear"
)

const (
	// maxVerdicts limits the verdicts kept; beyond it the one that expires
	// first is evicted.
	maxVerdicts = 4096
	// maxVerdictTerm limits the duration of a verdict.
	maxVerdictTerm = 24 * time.Hour
	// maxClockSkew is the assumed maximum difference between daemons' clocks.
	maxClockSkew = 5 * time.Minute
	// snapshotFormat is the version of the snapshot encoding.
	snapshotFormat = 1
)

// Verdict is the decision on a fingerprint that the log records until an expiry
// time: a conviction, or a clearance, which takes precedence over the evidence
// of the local daemon.
type Verdict struct {
	Fingerprint Fingerprint       `cbor:"1,keyasint"`
	Service     fleet.ServiceName `cbor:"2,keyasint"`
	Author      fleet.DaemonID    `cbor:"3,keyasint"`
	Until       int64             `cbor:"4,keyasint"` // Unix milliseconds
	Deaths      int               `cbor:"5,keyasint"` // on which the conviction is based
	Cleared     bool              `cbor:"6,keyasint"`
	// Part is set if the fingerprint is that of a part of a prompt.
	Part bool `cbor:"7,keyasint,omitempty"`
	// Decided is when the decision was made, in Unix milliseconds; zero if that
	// is not recorded.
	Decided int64 `cbor:"8,keyasint,omitempty"`
	// Survivals is the number of runs that groups survived.
	Survivals int `cbor:"9,keyasint,omitempty"`
	// Uncertain is set if the evidence did not tell the fingerprint from others, or
	// if groups have survived it. Such a verdict ends once the evidence no longer
	// supports it.
	Uncertain bool `cbor:"10,keyasint,omitempty"`
}

// replaces reports whether the verdict takes the place of another one on the same
// fingerprint. Among convictions the one that lasts longest counts; a clearance
// counts against earlier decisions.
func (v Verdict) replaces(old Verdict) bool {
	if v.Cleared || old.Cleared {
		return v.Decided > old.Decided
	}
	return v.Until > old.Until
}

// standing returns the standing that the verdict imposes.
func (v Verdict) standing() Standing {
	if v.Cleared {
		return Clear
	}
	return Convicted
}

// remaining returns the time until the verdict ends, negative after its end.
func (v Verdict) remaining(now time.Time) time.Duration {
	return time.Duration(v.Until-now.UnixMilli()) * time.Millisecond
}

// InForce reports whether the verdict applies now. A verdict with more time left
// than any valid one was written by a daemon with a wrong clock and is ignored.
func (v Verdict) InForce(now time.Time) bool {
	remaining := v.remaining(now)
	return remaining > 0 && remaining <= maxVerdictTerm+maxClockSkew
}

// DecidedAt returns when the decision was made; zero if that is not recorded.
func (v Verdict) DecidedAt() time.Time {
	if v.Decided == 0 {
		return time.Time{}
	}
	return time.UnixMilli(v.Decided)
}

type convictRecord struct {
	Fingerprint Fingerprint       `cbor:"1,keyasint"`
	Service     fleet.ServiceName `cbor:"2,keyasint"`
	Term        int64             `cbor:"3,keyasint"` // milliseconds
	Deaths      int               `cbor:"4,keyasint"`
}

type clearRecord struct {
	Fingerprint Fingerprint `cbor:"1,keyasint"`
	Term        int64       `cbor:"2,keyasint"` // milliseconds
}

type foldSnapshot struct {
	Format   uint16         `cbor:"1,keyasint"`
	Clock    foldtime.State `cbor:"2,keyasint"`
	Verdicts []Verdict      `cbor:"3,keyasint"` // sorted by fingerprint
}

// Fold folds the verdicts in the control stream. It is safe for concurrent use.
type Fold struct {
	mu       sync.RWMutex
	clock    foldtime.Clock
	verdicts map[Fingerprint]Verdict
}

var _ journal.Fold = (*Fold)(nil)

// NewFold returns an empty Fold.
func NewFold() *Fold { return &Fold{verdicts: map[Fingerprint]Verdict{}} }

// Kinds implements journal.Fold.
func (fold *Fold) Kinds() []journal.Kind { return []journal.Kind{KindConvict, KindClear} }

// Apply implements journal.Fold.
func (fold *Fold) Apply(_ journal.Offset, r journal.Record) (journal.Verdict, error) {
	fold.mu.Lock()
	defer fold.mu.Unlock()
	if fold.clock.Observe(r.Author, r.UnixMilli) {
		fold.expire()
	}
	switch r.Kind {
	case KindConvict:
		return fold.convict(r)
	case KindClear:
		return fold.clear(r)
	default:
		return journal.Verdict{}, errors.Errorf("unknown kind %q", r.Kind)
	}
}

// convict records a conviction. It rejects the record if the fingerprint already
// has a verdict that has not expired.
func (fold *Fold) convict(r journal.Record) (journal.Verdict, error) {
	var rec convictRecord
	if err := cbor.Unmarshal(r.Body, &rec); err != nil {
		return journal.Verdict{}, errors.WithStack(err)
	}
	v := Verdict{
		Fingerprint: rec.Fingerprint,
		Service:     rec.Service,
		Author:      r.Author,
		Until:       fold.expiry(r, rec.Term),
		Deaths:      rec.Deaths,
	}
	if old, ok := fold.verdicts[v.Fingerprint]; ok && old.Until > r.UnixMilli {
		return journal.Reject("a verdict is already in force"), nil
	}
	fold.put(v)
	return journal.Accept(), nil
}

// put stores a verdict and keeps their number within maxVerdicts.
func (fold *Fold) put(v Verdict) {
	fold.verdicts[v.Fingerprint] = v
	if len(fold.verdicts) > maxVerdicts {
		fold.evict()
	}
}

// expiry returns when a verdict of the given term (in milliseconds) ends, in
// Unix milliseconds.
func (fold *Fold) expiry(r journal.Record, term int64) int64 {
	term = min(max(term, 0), maxVerdictTerm.Milliseconds())
	return max(fold.clock.Milli(), r.UnixMilli) + term
}

func (fold *Fold) clear(r journal.Record) (journal.Verdict, error) {
	var rec clearRecord
	if err := cbor.Unmarshal(r.Body, &rec); err != nil {
		return journal.Verdict{}, errors.WithStack(err)
	}
	old := fold.verdicts[rec.Fingerprint]
	fold.put(Verdict{
		Fingerprint: rec.Fingerprint,
		Service:     old.Service,
		Author:      r.Author,
		Until:       fold.expiry(r, rec.Term),
		Cleared:     true,
	})
	return journal.Accept(), nil
}

func (fold *Fold) expire() {
	for f, v := range fold.verdicts {
		if v.Until < fold.clock.Milli() {
			delete(fold.verdicts, f)
		}
	}
}

// evict drops the verdict that expires first.
func (fold *Fold) evict() { delete(fold.verdicts, firstToExpire(fold.verdicts)) }

func firstToExpire(verdicts map[Fingerprint]Verdict) Fingerprint {
	first := slices.MinFunc(sortedVerdicts(verdicts), func(x, y Verdict) int { return cmp.Compare(x.Until, y.Until) })
	return first.Fingerprint
}

// Verdict returns the verdict on a fingerprint if it is in force now.
func (fold *Fold) Verdict(f Fingerprint, now time.Time) (Verdict, bool) {
	fold.mu.RLock()
	defer fold.mu.RUnlock()
	v, ok := fold.verdicts[f]
	return v, ok && v.InForce(now)
}

// Verdicts returns all verdicts, sorted by fingerprint.
func (fold *Fold) Verdicts() []Verdict {
	fold.mu.RLock()
	defer fold.mu.RUnlock()
	return sortedVerdicts(fold.verdicts)
}

func sortedVerdicts(verdicts map[Fingerprint]Verdict) []Verdict {
	return slices.SortedFunc(maps.Values(verdicts), func(x, y Verdict) int { return cmp.Compare(x.Fingerprint, y.Fingerprint) })
}

// Snapshot implements journal.Fold.
func (fold *Fold) Snapshot() ([]byte, error) {
	fold.mu.RLock()
	defer fold.mu.RUnlock()
	data, err := cbor.Marshal(foldSnapshot{Format: snapshotFormat, Clock: fold.clock.State(), Verdicts: sortedVerdicts(fold.verdicts)})
	return data, errors.WithStack(err)
}

// Restore implements journal.Fold. On an error the state is unchanged.
func (fold *Fold) Restore(data []byte) error {
	var s foldSnapshot
	if err := cbor.Unmarshal(data, &s); err != nil {
		return errors.WithStack(err)
	}
	if s.Format != snapshotFormat {
		return errors.Errorf("suspect: snapshot has format %d, want %d", s.Format, snapshotFormat)
	}
	fold.mu.Lock()
	defer fold.mu.Unlock()
	fold.clock.Restore(s.Clock)
	fold.verdicts = make(map[Fingerprint]Verdict, len(s.Verdicts))
	for _, v := range s.Verdicts {
		fold.verdicts[v.Fingerprint] = v
	}
	return nil
}
