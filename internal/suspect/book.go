package suspect

import (
	"slices"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"carawayproxy.example/caraway/internal/fleet"
	"carawayproxy.example/caraway/internal/foldtime"
	"carawayproxy.example/caraway/internal/journal"
)

// Kinds of the records about suspects.
const (
	KindConvict journal.Kind = "suspect.convict"
	KindClear   journal.Kind = "suspect.clear"
)

const (
	// maxVerdicts bounds the verdicts kept; the one that ends first goes.
	maxVerdicts = 4096
	// maxTerm bounds how long a verdict lasts.
	maxTerm = 24 * time.Hour
	// clockSlack is how far daemons' clocks may differ.
	clockSlack = 5 * time.Minute
	// snapshotFormat is the version of the snapshot's form.
	snapshotFormat = 1
)

// Verdict is what the log says of a fingerprint until a moment: a conviction,
// or a clearance that evidence seen here does not override.
type Verdict struct {
	Fingerprint Fingerprint       `cbor:"1,keyasint"`
	Service     fleet.ServiceName `cbor:"2,keyasint"`
	Author      fleet.DaemonID    `cbor:"3,keyasint"`
	Until       int64             `cbor:"4,keyasint"` // Unix milliseconds
	Deaths      int               `cbor:"5,keyasint"` // that it rests on
	Cleared     bool              `cbor:"6,keyasint"`
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

type bookSnapshot struct {
	Format   uint16         `cbor:"1,keyasint"`
	Clock    foldtime.State `cbor:"2,keyasint"`
	Verdicts []Verdict      `cbor:"3,keyasint"` // by fingerprint
}

// Book is the fold of the verdicts in the control stream. It is safe for
// concurrent use.
type Book struct {
	mu       sync.RWMutex
	clock    foldtime.Clock
	verdicts map[Fingerprint]Verdict
}

var _ journal.Fold = (*Book)(nil)

// NewBook returns an empty book.
func NewBook() *Book { return &Book{verdicts: map[Fingerprint]Verdict{}} }

// Kinds implements journal.Fold.
func (b *Book) Kinds() []journal.Kind { return []journal.Kind{KindConvict, KindClear} }

// Apply implements journal.Fold.
func (b *Book) Apply(_ journal.Offset, r journal.Record) (journal.Verdict, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.clock.Observe(r.Author, r.UnixMilli) {
		b.expire()
	}
	switch r.Kind {
	case KindConvict:
		return b.convict(r)
	case KindClear:
		return b.clear(r)
	default:
		return journal.Verdict{}, errors.Errorf("unknown kind %q", r.Kind)
	}
}

// convict takes a verdict in. A standing one that lasts as long is enough.
func (b *Book) convict(r journal.Record) (journal.Verdict, error) {
	var rec convictRecord
	if err := cbor.Unmarshal(r.Body, &rec); err != nil {
		return journal.Verdict{}, errors.WithStack(err)
	}
	v := Verdict{
		Fingerprint: rec.Fingerprint,
		Service:     rec.Service,
		Author:      r.Author,
		Until:       b.until(r, rec.Term),
		Deaths:      rec.Deaths,
	}
	if old, ok := b.verdicts[v.Fingerprint]; ok && old.Until > r.UnixMilli {
		return journal.Reject("decided already"), nil
	}
	b.put(v)
	return journal.Accept(), nil
}

// put keeps a verdict, within the bound.
func (b *Book) put(v Verdict) {
	b.verdicts[v.Fingerprint] = v
	if len(b.verdicts) > maxVerdicts {
		b.evict()
	}
}

func (b *Book) until(r journal.Record, term int64) int64 {
	term = min(max(term, 0), maxTerm.Milliseconds())
	return max(b.clock.Milli(), r.UnixMilli) + term
}

func (b *Book) clear(r journal.Record) (journal.Verdict, error) {
	var rec clearRecord
	if err := cbor.Unmarshal(r.Body, &rec); err != nil {
		return journal.Verdict{}, errors.WithStack(err)
	}
	old := b.verdicts[rec.Fingerprint]
	b.put(Verdict{
		Fingerprint: rec.Fingerprint,
		Service:     old.Service,
		Author:      r.Author,
		Until:       b.until(r, rec.Term),
		Cleared:     true,
	})
	return journal.Accept(), nil
}

func (b *Book) expire() {
	for f, v := range b.verdicts {
		if v.Until < b.clock.Milli() {
			delete(b.verdicts, f)
		}
	}
}

// evict drops the verdict that ends first.
func (b *Book) evict() {
	all := b.sorted()
	first := slices.MinFunc(all, func(x, y Verdict) int { return int(x.Until - y.Until) })
	delete(b.verdicts, first.Fingerprint)
}

// Verdict returns the verdict on a fingerprint that is in force now. One that
// would last longer than any may comes from a wrong clock and has no force.
func (b *Book) Verdict(f Fingerprint, now time.Time) (Verdict, bool) {
	b.mu.RLock()
	defer b.mu.RUnlock()
	v, ok := b.verdicts[f]
	left := time.Duration(v.Until-now.UnixMilli()) * time.Millisecond
	return v, ok && left > 0 && left <= maxTerm+clockSlack
}

// Verdicts returns all verdicts, by fingerprint.
func (b *Book) Verdicts() []Verdict {
	b.mu.RLock()
	defer b.mu.RUnlock()
	return b.sorted()
}

func (b *Book) sorted() []Verdict {
	all := make([]Verdict, 0, len(b.verdicts))
	for _, v := range b.verdicts {
		all = append(all, v)
	}
	slices.SortFunc(all, func(x, y Verdict) int {
		if x.Fingerprint < y.Fingerprint {
			return -1
		}
		return 1
	})
	return all
}

// Snapshot implements journal.Fold.
func (b *Book) Snapshot() ([]byte, error) {
	b.mu.RLock()
	defer b.mu.RUnlock()
	data, err := cbor.Marshal(bookSnapshot{Format: snapshotFormat, Clock: b.clock.State(), Verdicts: b.sorted()})
	return data, errors.WithStack(err)
}

// Restore implements journal.Fold. The state is unchanged on an error.
func (b *Book) Restore(data []byte) error {
	var s bookSnapshot
	if err := cbor.Unmarshal(data, &s); err != nil {
		return errors.WithStack(err)
	}
	if s.Format != snapshotFormat {
		return errors.Errorf("suspect snapshot of format %d, want %d", s.Format, snapshotFormat)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.clock.Restore(s.Clock)
	b.verdicts = make(map[Fingerprint]Verdict, len(s.Verdicts))
	for _, v := range s.Verdicts {
		b.verdicts[v.Fingerprint] = v
	}
	return nil
}
