package journal

import (
	"fmt"

	"github.com/pkg/errors"
)

// mux dispatches each record of one stream to the aggregate that handles its
// kind.
type mux struct {
	folds  []Fold
	names  []Kind   // names[i] identifies folds[i] in snapshots: its first kind
	empty  [][]byte // empty[i] is the snapshot of folds[i] without records
	byKind map[Kind]Fold
}

// NewMux returns a fold of several aggregates over one stream. The folds must
// be empty and their kinds must not overlap. NewMux panics if two folds share a
// kind. Snapshots identify an aggregate by its first kind, which therefore must
// not change.
func NewMux(folds ...Fold) Fold {
	m := &mux{folds: folds, byKind: map[Kind]Fold{}}
	for _, f := range folds {
		kinds := f.Kinds()
		for _, k := range kinds {
			if m.byKind[k] != nil {
				panic(fmt.Sprintf("record kind %s is handled by two folds", k))
			}
			m.byKind[k] = f
		}
		data, err := f.Snapshot()
		if err != nil {
			panic(err)
		}
		m.names = append(m.names, kinds[0])
		m.empty = append(m.empty, data)
	}
	return m
}

// Kinds implements Fold.
func (m *mux) Kinds() []Kind {
	var all []Kind
	for _, f := range m.folds {
		all = append(all, f.Kinds()...)
	}
	return all
}

// Apply implements Fold.
func (m *mux) Apply(at Offset, r Record) (Verdict, error) {
	f := m.byKind[r.Kind]
	if f == nil {
		return Verdict{}, errors.Errorf("unknown record kind %q", r.Kind)
	}
	return f.Apply(at, r)
}

// Snapshot implements Fold.
func (m *mux) Snapshot() ([]byte, error) {
	parts := map[Kind][]byte{}
	for i, f := range m.folds {
		data, err := f.Snapshot()
		if err != nil {
			return nil, errors.Wrapf(err, "aggregate %s", m.names[i])
		}
		parts[m.names[i]] = data
	}
	return Encode(parts)
}

// Restore implements Fold. An aggregate that is missing from the snapshot is
// reset to empty: the daemon that wrote the snapshot did not support it and
// would have stopped at its first record. An aggregate that this version does
// not support is an error. If one aggregate fails, all keep their state.
func (m *mux) Restore(data []byte) error {
	parts := map[Kind][]byte{}
	if err := Decode(data, &parts); err != nil {
		return errors.Wrap(err, "decoding the aggregates of the snapshot")
	}
	before := make([][]byte, len(m.folds))
	for i, f := range m.folds {
		old, err := f.Snapshot()
		if err != nil {
			return err
		}
		before[i] = old
		if _, ok := parts[m.names[i]]; !ok {
			parts[m.names[i]] = m.empty[i]
		}
	}
	if len(parts) > len(m.folds) {
		return errors.Errorf("snapshot has %d aggregates, this version supports %d", len(parts), len(m.folds))
	}
	for i, f := range m.folds {
		if err := f.Restore(parts[m.names[i]]); err != nil {
			m.rollBack(before[:i])
			return errors.Wrapf(err, "aggregate %s", m.names[i])
		}
	}
	return nil
}

// rollBack restores the first aggregates from the given snapshots.
func (m *mux) rollBack(before [][]byte) {
	for i, data := range before {
		if err := m.folds[i].Restore(data); err != nil {
			panic(errors.Wrap(err, "restoring the previous state"))
		}
	}
}
