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

var day0 = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

// feeder applies records to a book.
type feeder struct {
	t    *testing.T
	book *Book
	next journal.Offset
}

func (f *feeder) apply(author fleet.DaemonID, at time.Time, kind journal.Kind, body any) journal.Verdict {
	f.t.Helper()
	data, err := cbor.Marshal(body)
	assert.NilError(f.t, err)
	v, err := f.book.Apply(f.next, journal.Record{Kind: kind, Author: author, UnixMilli: at.UnixMilli(), Body: data})
	assert.NilError(f.t, err)
	f.next++
	return v
}

func (f *feeder) intent(author fleet.DaemonID, at time.Time, caller string, id byte, digest uint64) journal.Verdict {
	f.t.Helper()
	return f.apply(author, at, KindIntent, intentRecord{
		Key: keyRecord{Caller: caller}, Intent: IntentID{id}, Digest: digest, Window: DefaultWindow.Milliseconds(),
	})
}

func (f *feeder) abandoned(author fleet.DaemonID, at time.Time, caller string, id byte) journal.Verdict {
	f.t.Helper()
	return f.apply(author, at, KindAbandoned, abandonedRecord{
		Key: keyRecord{Caller: caller}, Intent: IntentID{id}, Window: DefaultWindow.Milliseconds(),
	})
}

func (f *feeder) outcome(at time.Time, caller string, id byte, unknown bool) journal.Verdict {
	f.t.Helper()
	a := AnswerOf([]byte("ok"))
	return f.apply("a", at, KindOutcome, outcomeRecord{
		Key: keyRecord{Caller: caller}, Intent: IntentID{id}, Unknown: unknown, Body: a.Body, Digest: a.Digest, Size: a.Size,
	})
}

// pass lets three daemons write at a time, so that the fold's time moves.
func (f *feeder) pass(at time.Time) {
	for i, d := range []fleet.DaemonID{"a", "b", "c"} {
		f.intent(d, at, fmt.Sprintf("tick-%d-%d", at.UnixMilli(), i), 99, 0)
	}
}

func TestRuleOfTheFold(t *testing.T) {
	cases := []struct {
		name string
		run  func(f *feeder) journal.Verdict
		want string // reason, empty for accepted
	}{
		{"first intent wins", func(f *feeder) journal.Verdict { return f.intent("a", day0, "k", 1, 7) }, ""},
		{"second intent does not", func(f *feeder) journal.Verdict {
			f.intent("a", day0, "k", 1, 7)
			return f.intent("b", day0, "k", 2, 7)
		}, rejectTaken},
		{"another request under the key", func(f *feeder) journal.Verdict {
			f.intent("a", day0, "k", 1, 7)
			return f.intent("b", day0, "k", 2, 8)
		}, rejectMismatch},
		{"after the abandonment the next wins", func(f *feeder) journal.Verdict {
			f.intent("a", day0, "k", 1, 7)
			f.abandoned("a", day0, "k", 1)
			return f.intent("b", day0, "k", 2, 8)
		}, ""},
		{"an abandonment of a loser frees nothing", func(f *feeder) journal.Verdict {
			f.intent("a", day0, "k", 1, 7)
			f.abandoned("b", day0, "k", 2)
			return f.intent("c", day0, "k", 3, 7)
		}, rejectTaken},
		{"an intent that comes after its abandonment", func(f *feeder) journal.Verdict {
			f.abandoned("a", day0, "k", 1)
			return f.intent("a", day0, "k", 1, 7)
		}, rejectAbandoned},
		{"an outcome of a loser", func(f *feeder) journal.Verdict {
			f.intent("a", day0, "k", 1, 7)
			return f.outcome(day0, "k", 2, false)
		}, rejectNoIntent},
		{"an outcome after another", func(f *feeder) journal.Verdict {
			f.intent("a", day0, "k", 1, 7)
			f.outcome(day0, "k", 1, false)
			return f.outcome(day0, "k", 1, false)
		}, rejectFinal},
		{"a late outcome replaces an unknown one", func(f *feeder) journal.Verdict {
			f.intent("a", day0, "k", 1, 7)
			f.outcome(day0, "k", 1, true)
			return f.outcome(day0, "k", 1, false)
		}, ""},
		{"an abandonment after the outcome", func(f *feeder) journal.Verdict {
			f.intent("a", day0, "k", 1, 7)
			f.outcome(day0, "k", 1, true)
			return f.abandoned("a", day0, "k", 1)
		}, rejectFinal},
		{"within the window", func(f *feeder) journal.Verdict {
			f.intent("a", day0, "k", 1, 7)
			f.pass(day0.Add(23 * time.Hour))
			return f.intent("b", day0.Add(23*time.Hour), "k", 2, 7)
		}, rejectTaken},
		{"after the window", func(f *feeder) journal.Verdict {
			f.intent("a", day0, "k", 1, 7)
			f.pass(day0.Add(25 * time.Hour))
			return f.intent("b", day0.Add(25*time.Hour), "k", 2, 7)
		}, ""},
		{"one wrong clock does not end a key", func(f *feeder) journal.Verdict {
			f.pass(day0)
			f.intent("a", day0, "k", 1, 7)
			for i := range 50 {
				f.intent("wrong", day0.Add(1000*time.Hour), fmt.Sprint("x", i), 9, 7)
			}
			return f.intent("b", day0, "k", 2, 7)
		}, rejectTaken},
		{"a key used first after quiet days lives its window", func(f *feeder) journal.Verdict {
			f.pass(day0)
			monday := day0.Add(72 * time.Hour)
			f.intent("a", monday, "k", 1, 7)
			f.pass(monday)
			return f.intent("b", monday, "k", 2, 7)
		}, rejectTaken},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			got := c.run(&feeder{t: t, book: NewBook(0)})
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

// TestKeyTime: a key with a time of its own is refused once it is out of the
// window, also after its entry is gone.
func TestKeyTime(t *testing.T) {
	f := &feeder{t: t, book: NewBook(0)}
	k := uuidAt(day0)
	assert.Assert(t, f.intent("a", day0, k, 1, 7).Accepted)
	ahead := uuidAt(day0.Add(10 * time.Hour))
	assert.Assert(t, f.intent("a", day0, ahead, 1, 7).Accepted)
	f.pass(day0.Add(25 * time.Hour))
	assert.Equal(t, f.intent("b", day0.Add(25*time.Hour), k, 2, 7).Reason, rejectExpired)
	assert.Assert(t, f.book.Expired(Key{Caller: k}))
	assert.Equal(t, f.intent("b", day0.Add(25*time.Hour), ahead, 2, 7).Reason, rejectTaken)
	f.pass(day0.Add(35 * time.Hour))
	assert.Equal(t, f.intent("b", day0.Add(35*time.Hour), ahead, 2, 7).Reason, rejectExpired)
}

// TestSnapshotIsTheState: the same records give the same bytes, and a
// restored book goes on as the old one would.
func TestSnapshotIsTheState(t *testing.T) {
	one, two := &feeder{t: t, book: NewBook(0)}, &feeder{t: t, book: NewBook(time.Hour)}
	for _, f := range []*feeder{one, two} {
		for i := range 200 {
			caller := fmt.Sprint("k", i)
			f.intent(fleet.DaemonID(fmt.Sprint("d", i%20)), day0.Add(time.Duration(i)*time.Hour), caller, 1, 7)
			if i%3 == 0 {
				f.abandoned("a", day0, caller, 1)
			}
			if i%3 == 1 {
				f.outcome(day0, caller, 1, i%2 == 0)
			}
		}
	}
	a, err := one.book.Snapshot()
	assert.NilError(t, err)
	b, err := two.book.Snapshot()
	assert.NilError(t, err)
	assert.Equal(t, string(a), string(b))
	assert.Assert(t, one.book.Len() < 200, "nothing expired")

	restored := &feeder{t: t, book: NewBook(0)}
	assert.NilError(t, restored.book.Restore(a))
	for _, f := range []*feeder{one, restored} {
		f.intent("d1", day0.Add(300*time.Hour), "k199", 2, 7)
		f.pass(day0.Add(230 * time.Hour))
		f.outcome(day0, "k198", 1, false)
	}
	a, err = one.book.Snapshot()
	assert.NilError(t, err)
	b, err = restored.book.Snapshot()
	assert.NilError(t, err)
	assert.Equal(t, string(a), string(b))

	before := restored.book.Len()
	assert.ErrorContains(t, restored.book.Restore([]byte{1, 2}), "cbor")
	assert.Equal(t, restored.book.Len(), before)
}
