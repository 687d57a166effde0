package journal_test

import (
	"testing"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"carawayproxy.example/caraway/internal/journal"
)

// note is a fold of one kind that keeps the bodies it was given.
type note struct {
	kind  journal.Kind
	notes []string
}

func (n *note) Kinds() []journal.Kind { return []journal.Kind{n.kind} }

func (n *note) Apply(_ journal.Offset, r journal.Record) (journal.Verdict, error) {
	n.notes = append(n.notes, string(r.Body))
	return journal.Accept(), nil
}

func (n *note) Snapshot() ([]byte, error) { return journal.Encode(n.notes) }

func (n *note) Restore(data []byte) error {
	var notes []string
	if err := journal.Decode(data, &notes); err != nil {
		return err
	}
	for _, s := range notes {
		if s == "bad" {
			return errors.New("bad note")
		}
	}
	n.notes = notes
	return nil
}

func write(t *testing.T, f journal.Fold, kind journal.Kind, text string) {
	t.Helper()
	v, err := f.Apply(0, journal.Record{Kind: kind, Body: []byte(text)})
	assert.NilError(t, err)
	assert.Assert(t, v.Accepted)
}

func TestMuxHandsRecordsToTheirAggregate(t *testing.T) {
	a, b := &note{kind: "a"}, &note{kind: "b"}
	m := journal.NewMux(a, b)
	write(t, m, "b", "x")
	assert.DeepEqual(t, m.Kinds(), []journal.Kind{"a", "b"})
	assert.Equal(t, len(a.notes), 0)
	assert.DeepEqual(t, b.notes, []string{"x"})
	_, err := m.Apply(0, journal.Record{Kind: "c"})
	assert.ErrorContains(t, err, `unknown record kind "c"`)
}

func TestMuxTakesTheSnapshotOfAnOlderVersion(t *testing.T) {
	old := journal.NewMux(&note{kind: "a"})
	write(t, old, "a", "kept")
	data, err := old.Snapshot()
	assert.NilError(t, err)
	a, b := &note{kind: "a"}, &note{kind: "b"}
	m := journal.NewMux(a, b)
	write(t, m, "b", "gone")
	assert.NilError(t, m.Restore(data))
	assert.DeepEqual(t, a.notes, []string{"kept"})
	assert.Equal(t, len(b.notes), 0)
}

// A snapshot that is not understood as a whole changes nothing.
func TestMuxRestoresAllOrNothing(t *testing.T) {
	for name, theirs := range map[string]journal.Fold{
		"unknown aggregate": journal.NewMux(&note{kind: "a"}, &note{kind: "b"}, &note{kind: "c"}),
		"another aggregate": journal.NewMux(&note{kind: "a"}, &note{kind: "c"}),
		"bad part":          journal.NewMux(&note{kind: "a"}, &note{kind: "b"}),
	} {
		write(t, theirs, "a", "theirs")
		if name == "bad part" {
			write(t, theirs, "b", "bad")
		}
		data, err := theirs.Snapshot()
		assert.NilError(t, err)
		a, b := &note{kind: "a"}, &note{kind: "b"}
		ours := journal.NewMux(a, b)
		write(t, ours, "a", "ours")
		assert.Assert(t, ours.Restore(data) != nil, name)
		assert.DeepEqual(t, a.notes, []string{"ours"})
	}
}
