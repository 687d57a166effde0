package ledger

import (
	"fmt"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/google/uuid"
	"gotest.tools/v3/assert"

	"carawayproxy.example/caraway/internal/fleet"
	"carawayproxy.example/caraway/internal/journal"
)

var startTime = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

// foldWriter applies records to a fold at consecutive offsets.
type foldWriter struct {
	t    *testing.T
	fold *Fold
	next journal.Offset
}

func (f *foldWriter) apply(author fleet.DaemonID, at time.Time, kind journal.Kind, body any) journal.Verdict {
	f.t.Helper()
	data, err := cbor.Marshal(body)
	assert.NilError(f.t, err)
	v, err := f.fold.Apply(f.next, journal.Record{Kind: kind, Author: author, UnixMilli: at.UnixMilli(), Body: data})
	assert.NilError(f.t, err)
	f.next++
	return v
}

func (f *foldWriter) intent(author fleet.DaemonID, at time.Time, caller string, id byte, digest uint64) journal.Verdict {
	f.t.Helper()
	return f.apply(author, at, KindIntent, intentRecord{
		Key: keyRecord{Caller: caller}, Intent: IntentID{id}, Digest: digest, Window: DefaultWindow.Milliseconds(),
	})
}

func (f *foldWriter) abandoned(author fleet.DaemonID, at time.Time, caller string, id byte) journal.Verdict {
	f.t.Helper()
	return f.apply(author, at, KindAbandoned, abandonedRecord{
		Key: keyRecord{Caller: caller}, Intent: IntentID{id}, Window: DefaultWindow.Milliseconds(),
	})
}

func (f *foldWriter) outcome(at time.Time, caller string, id byte, unknown bool) journal.Verdict {
	f.t.Helper()
	a := AnswerOf([]byte("ok"))
	return f.apply("a", at, KindOutcome, outcomeRecord{
		Key: keyRecord{Caller: caller}, Intent: IntentID{id}, Unknown: unknown, Body: a.Body, Digest: a.Digest, Size: a.Size,
	})
}

// advanceTime applies records of three daemons with the given time, which is
// what moves the fold's clock.
func (f *foldWriter) advanceTime(at time.Time) {
	for i, d := range []fleet.DaemonID{"a", "b", "c"} {
		f.intent(d, at, fmt.Sprintf("tick-%d-%d", at.UnixMilli(), i), 99, 0)
	}
}

func TestApply(t *testing.T) {
	cases := []struct {
		name string
		run  func(f *foldWriter) journal.Verdict
		want string // reason, empty for accepted
	}{
		{"first intent wins", func(f *foldWriter) journal.Verdict { return f.intent("a", startTime, "k", 1, 7) }, ""},
		{"second intent does not", func(f *foldWriter) journal.Verdict {
			f.intent("a", startTime, "k", 1, 7)
			return f.intent("b", startTime, "k", 2, 7)
		}, rejectTaken},
		{"another request under the key", func(f *foldWriter) journal.Verdict {
			f.intent("a", startTime, "k", 1, 7)
			return f.intent("b", startTime, "k", 2, 8)
		}, rejectMismatch},
		{"the next intent wins after an abandonment", func(f *foldWriter) journal.Verdict {
			f.intent("a", startTime, "k", 1, 7)
			f.abandoned("a", startTime, "k", 1)
			return f.intent("b", startTime, "k", 2, 8)
		}, ""},
		{"an abandonment of a losing intent does not release the key", func(f *foldWriter) journal.Verdict {
			f.intent("a", startTime, "k", 1, 7)
			f.abandoned("b", startTime, "k", 2)
			return f.intent("c", startTime, "k", 3, 7)
		}, rejectTaken},
		{"an intent after its own abandonment", func(f *foldWriter) journal.Verdict {
			f.abandoned("a", startTime, "k", 1)
			return f.intent("a", startTime, "k", 1, 7)
		}, rejectAbandoned},
		{"an outcome of a losing intent", func(f *foldWriter) journal.Verdict {
			f.intent("a", startTime, "k", 1, 7)
			return f.outcome(startTime, "k", 2, false)
		}, rejectNoIntent},
		{"an outcome after another", func(f *foldWriter) journal.Verdict {
			f.intent("a", startTime, "k", 1, 7)
			f.outcome(startTime, "k", 1, false)
			return f.outcome(startTime, "k", 1, false)
		}, rejectFinal},
		{"a late outcome replaces an unknown one", func(f *foldWriter) journal.Verdict {
			f.intent("a", startTime, "k", 1, 7)
			f.outcome(startTime, "k", 1, true)
			return f.outcome(startTime, "k", 1, false)
		}, ""},
		{"an abandonment after the outcome", func(f *foldWriter) journal.Verdict {
			f.intent("a", startTime, "k", 1, 7)
			f.outcome(startTime, "k", 1, true)
			return f.abandoned("a", startTime, "k", 1)
		}, rejectFinal},
		{"within the window", func(f *foldWriter) journal.Verdict {
			f.intent("a", startTime, "k", 1, 7)
			f.advanceTime(startTime.Add(23 * time.Hour))
			return f.intent("b", startTime.Add(23*time.Hour), "k", 2, 7)
		}, rejectTaken},
		{"after the window", func(f *foldWriter) journal.Verdict {
			f.intent("a", startTime, "k", 1, 7)
			f.advanceTime(startTime.Add(25 * time.Hour))
			return f.intent("b", startTime.Add(25*time.Hour), "k", 2, 7)
		}, ""},
		{"one wrong clock does not expire a key", func(f *foldWriter) journal.Verdict {
			f.advanceTime(startTime)
			f.intent("a", startTime, "k", 1, 7)
			for i := range 50 {
				f.intent("wrong", startTime.Add(1000*time.Hour), fmt.Sprint("x", i), 9, 7)
			}
			return f.intent("b", startTime, "k", 2, 7)
		}, rejectTaken},
		{"a key first used after days without records is kept for its window", func(f *foldWriter) journal.Verdict {
			f.advanceTime(startTime)
			monday := startTime.Add(72 * time.Hour)
			f.intent("a", monday, "k", 1, 7)
			f.advanceTime(monday)
			return f.intent("b", monday, "k", 2, 7)
		}, rejectTaken},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			got := c.run(&foldWriter{t: t, fold: NewFold(0)})
			assert.Equal(t, got.Reason, c.want)
			assert.Equal(t, got.Accepted, c.want == "")
		})
	}
}

func uuidAt(at time.Time) string {
	id := uuid.Must(uuid.NewV7())
	for i, shift := range []int{40, 32, 24, 16, 8, 0} {
		id[i] = byte(at.UnixMilli() >> shift)
	}
	return id.String()
}

// A key that contains a time is rejected once that time is outside the window,
// even after the entry has expired.
func TestKeyWithTimeExpires(t *testing.T) {
	f := &foldWriter{t: t, fold: NewFold(0)}
	k := uuidAt(startTime)
	assert.Assert(t, f.intent("a", startTime, k, 1, 7).Accepted)
	ahead := uuidAt(startTime.Add(10 * time.Hour))
	assert.Assert(t, f.intent("a", startTime, ahead, 1, 7).Accepted)
	f.advanceTime(startTime.Add(25 * time.Hour))
	assert.Equal(t, f.intent("b", startTime.Add(25*time.Hour), k, 2, 7).Reason, rejectExpired)
	assert.Assert(t, f.fold.Expired(Key{Caller: k}))
	assert.Equal(t, f.intent("b", startTime.Add(25*time.Hour), ahead, 2, 7).Reason, rejectTaken)
	f.advanceTime(startTime.Add(35 * time.Hour))
	assert.Equal(t, f.intent("b", startTime.Add(35*time.Hour), ahead, 2, 7).Reason, rejectExpired)
}

// The same records produce the same snapshot, and a restored fold behaves like
// the original.
func TestSnapshotRoundTrip(t *testing.T) {
	one, two := &foldWriter{t: t, fold: NewFold(0)}, &foldWriter{t: t, fold: NewFold(time.Hour)}
	for _, f := range []*foldWriter{one, two} {
		for i := range 200 {
			caller := fmt.Sprint("k", i)
			f.intent(fleet.DaemonID(fmt.Sprint("d", i%20)), startTime.Add(time.Duration(i)*time.Hour), caller, 1, 7)
			if i%3 == 0 {
				f.abandoned("a", startTime, caller, 1)
			}
			if i%3 == 1 {
				f.outcome(startTime, caller, 1, i%2 == 0)
			}
		}
	}
	a, err := one.fold.Snapshot()
	assert.NilError(t, err)
	b, err := two.fold.Snapshot()
	assert.NilError(t, err)
	assert.Equal(t, string(a), string(b))
	assert.Assert(t, one.fold.Len() < 200, "nothing expired")

	restored := &foldWriter{t: t, fold: NewFold(0)}
	assert.NilError(t, restored.fold.Restore(a))
	for _, f := range []*foldWriter{one, restored} {
		f.intent("d1", startTime.Add(300*time.Hour), "k199", 2, 7)
		f.advanceTime(startTime.Add(230 * time.Hour))
		f.outcome(startTime, "k198", 1, false)
	}
	a, err = one.fold.Snapshot()
	assert.NilError(t, err)
	b, err = restored.fold.Snapshot()
	assert.NilError(t, err)
	assert.Equal(t, string(a), string(b))

	before := restored.fold.Len()
	assert.ErrorContains(t, restored.fold.Restore([]byte{1, 2}), "cbor")
	assert.Equal(t, restored.fold.Len(), before)
}
