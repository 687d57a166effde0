package ledger

import (
	"cmp"
	"container/heap"
	"slices"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"carawayproxy.example/caraway/internal/fleet"
	"carawayproxy.example/caraway/internal/foldtime"
)

// snapshotFormat is the version of the snapshot format.
const snapshotFormat = 1

type snapshotRecord struct {
	Format  uint16         `cbor:"1,keyasint"`
	Clock   foldtime.State `cbor:"2,keyasint"`
	Entries []entryRecord  `cbor:"3,keyasint"` // sorted by key
}

type entryRecord struct {
	_                struct{} `cbor:",toarray"`
	Key              keyRecord
	Phase            Phase
	Intent           IntentID
	Owner            fleet.DaemonID
	Digest           uint64
	ExpiresAt        int64
	AbandonedIntents []IntentID
	// The fields of Entry.Answer.
	Body         []byte
	AnswerDigest uint64
	Size         int
	Failed       bool
	Message      string
}

// Snapshot implements journal.Fold.
func (f *Fold) Snapshot() ([]byte, error) {
	f.mu.RLock()
	s := snapshotRecord{Format: snapshotFormat, Clock: f.clock.State()}
	s.Entries = make([]entryRecord, 0, len(f.entries))
	for _, e := range f.entries {
		s.Entries = append(s.Entries, encodeEntry(e))
	}
	f.mu.RUnlock()
	slices.SortFunc(s.Entries, compareEntries)
	data, err := cbor.Marshal(s)
	return data, errors.WithStack(err)
}

// Restore implements journal.Fold. On an error the state is unchanged.
func (f *Fold) Restore(data []byte) error {
	var s snapshotRecord
	if err := decode(data, &s); err != nil {
		return err
	}
	if s.Format != snapshotFormat {
		return errors.Errorf("ledger snapshot of format %d, want %d", s.Format, snapshotFormat)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.clock.Restore(s.Clock)
	f.entries = make(map[Key]*Entry, len(s.Entries))
	f.expiries = make(expiryHeap, 0, len(s.Entries))
	for _, r := range s.Entries {
		e := r.entry()
		f.entries[e.Key] = e
		f.expiries = append(f.expiries, expiry{expiresAt: e.ExpiresAt, key: e.Key})
	}
	heap.Init(&f.expiries)
	f.wakeAll()
	return nil
}

func (f *Fold) wakeAll() {
	for k := range f.watchers {
		f.wake(k)
	}
}

func encodeEntry(e *Entry) entryRecord {
	return entryRecord{
		Key:              encodeKey(e.Key),
		Phase:            e.Phase,
		Intent:           e.Intent,
		Owner:            e.Owner,
		Digest:           e.Digest,
		ExpiresAt:        e.ExpiresAt,
		AbandonedIntents: e.AbandonedIntents,
		Body:             e.Answer.Body,
		AnswerDigest:     e.Answer.Digest,
		Size:             e.Answer.Size,
		Failed:           e.Answer.Failed,
		Message:          e.Answer.Message,
	}
}

func (r entryRecord) entry() *Entry {
	return &Entry{
		Key:              r.Key.key(),
		Phase:            r.Phase,
		Intent:           r.Intent,
		Owner:            r.Owner,
		Digest:           r.Digest,
		ExpiresAt:        r.ExpiresAt,
		AbandonedIntents: r.AbandonedIntents,
		Answer: Answer{
			Body:    r.Body,
			Digest:  r.AnswerDigest,
			Size:    r.Size,
			Failed:  r.Failed,
			Message: r.Message,
		},
	}
}

func compareEntries(a, b entryRecord) int {
	return cmp.Or(
		cmp.Compare(a.Key.Workspace, b.Key.Workspace),
		cmp.Compare(a.Key.Service, b.Key.Service),
		cmp.Compare(a.Key.Caller, b.Key.Caller),
	)
}
