package group

import (
	"maps"
	"slices"

	"github.com/pkg/errors"

	"carawayproxy.example/caraway/internal/fleet"
	"carawayproxy.example/caraway/internal/journal"
	"carawayproxy.example/caraway/internal/lease"
)

// snapshotFormat is the version of the snapshot encoding.
const snapshotFormat = 1

type snapshot struct {
	Format uint16   `cbor:"1,keyasint"`
	Groups []*Group `cbor:"2,keyasint"` // sorted by id
	Issued []issued `cbor:"3,keyasint"` // sorted by scope
}

type issued struct {
	Scope lease.Scope `cbor:"1,keyasint"`
	Mark  IDMark      `cbor:"2,keyasint"`
}

// Snapshot implements journal.Fold. Groups and scopes are sorted, so equal
// states have equal encodings.
func (f *Fold) Snapshot() ([]byte, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := snapshot{Format: snapshotFormat}
	for _, id := range slices.Sorted(maps.Keys(f.groups)) {
		s.Groups = append(s.Groups, f.groups[id])
	}
	for _, scope := range slices.Sorted(maps.Keys(f.issued)) {
		s.Issued = append(s.Issued, issued{Scope: scope, Mark: f.issued[scope]})
	}
	data, err := journal.Encode(s)
	return data, errors.Wrap(err, "group: snapshot")
}

// Restore implements journal.Fold. It rejects a snapshot that violates the rules
// of the fold and then leaves the state unchanged.
func (f *Fold) Restore(data []byte) error {
	var s snapshot
	if err := journal.Decode(data, &s); err != nil {
		return errors.Wrap(err, "group: restore")
	}
	if s.Format != snapshotFormat {
		return errors.Errorf("group: snapshot format %d is unknown", s.Format)
	}
	fresh := NewFold(f.terms)
	for _, i := range s.Issued {
		fresh.issued[i.Scope] = i.Mark
	}
	for _, g := range s.Groups {
		if g == nil || fresh.groups[g.ID] != nil {
			return errors.New("group: snapshot has an empty or duplicate group")
		}
		if err := fresh.checkInstances(g); err != nil {
			return errors.Wrapf(err, "group: snapshot of %s", g.ID)
		}
		fresh.put(g)
	}
	f.replace(fresh.groups, fresh.groupOf, fresh.issued)
	return nil
}

func (f *Fold) replace(groups map[fleet.GroupID]*Group, owner map[fleet.InstanceID]fleet.GroupID, marks map[lease.Scope]IDMark) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.groups, f.groupOf, f.issued = groups, owner, marks
	f.view.Store(nil)
}
