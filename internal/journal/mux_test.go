package journal_test

import (
	"testing"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"carawayproxy.example/caraway/internal/journal"
)

// notesFold handles one kind and stores the record bodies.
type notesFold struct {
	kind  journal.Kind
	notes []string
}

func (n *notesFold) Kinds() []journal.Kind { return []journal.Kind{n.kind} }

func (n *notesFold) Apply(_ journal.Offset, r journal.Record) (journal.Verdict, error) {
	n.notes = append(n.notes, string(r.Body))
	return journal.Accept(), nil
}

func (n *notesFold) Snapshot() ([]byte, error) { return journal.Encode(n.notes) }

func (n *notesFold) Restore(data []byte) error {
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

func applyNote(t *testing.T, f journal.Fold, kind journal.Kind, text string) {
	t.Helper()
	v, err := f.Apply(0, journal.Record{Kind: kind, Body: []byte(text)})
	assert.NilError(t, err)
	assert.Assert(t, v.Accepted)
}

func TestMuxDispatchesRecordsByKind(t *testing.T) {
	a, b := &notesFold{kind: "a"}, &notesFold{kind: "b"}
	m := journal.NewMux(a, b)
	applyNote(t, m, "b", "x")
	assert.DeepEqual(t, m.Kinds(), []journal.Kind{"a", "b"})
	assert.Equal(t, len(a.notes), 0)
	assert.DeepEqual(t, b.notes, []string{"x"})
	_, err := m.Apply(0, journal.Record{Kind: "c"})
	assert.ErrorContains(t, err, `unknown record kind "c"`)
}

// The snapshot lacks an aggregate that this version has added.
func TestMuxRestoresSnapshotOfOlderVersion(t *testing.T) {
	old := journal.NewMux(&notesFold{kind: "a"})
	applyNote(t, old, "a", "kept")
	data, err := old.Snapshot()
	assert.NilError(t, err)
	a, b := &notesFold{kind: "a"}, &notesFold{kind: "b"}
	m := journal.NewMux(a, b)
	applyNote(t, m, "b", "gone")
	assert.NilError(t, m.Restore(data))
	assert.DeepEqual(t, a.notes, []string{"kept"})
	assert.Equal(t, len(b.notes), 0)
}

// If one aggregate cannot be restored, none changes.
func TestMuxRestoresAllOrNothing(t *testing.T) {
	for name, theirs := range map[string]journal.Fold{
		"unknown aggregate": journal.NewMux(&notesFold{kind: "a"}, &notesFold{kind: "b"}, &notesFold{kind: "c"}),
		"another aggregate": journal.NewMux(&notesFold{kind: "a"}, &notesFold{kind: "c"}),
		"bad part":          journal.NewMux(&notesFold{kind: "a"}, &notesFold{kind: "b"}),
	} {
		applyNote(t, theirs, "a", "theirs")
		if name == "bad part" {
			applyNote(t, theirs, "b", "bad")
		}
		data, err := theirs.Snapshot()
		assert.NilError(t, err)
		a, b := &notesFold{kind: "a"}, &notesFold{kind: "b"}
		ours := journal.NewMux(a, b)
		applyNote(t, ours, "a", "ours")
		assert.Assert(t, ours.Restore(data) != nil, name)
		assert.DeepEqual(t, a.notes, []string{"ours"})
	}
}
