package group

import (
	"maps"
	"slices"

	"github.com/pkg/errors"

	"carawayproxy.example/caraway/internal/fleet"
	"carawayproxy.example/caraway/internal/journal"
	"carawayproxy.example/caraway/internal/lease"
)

// snapshotFormat is the version of the snapshot's encoding.
const snapshotFormat = 1

type snapshot struct {
	Format uint16   `cbor:"1,keyasint"`
	Groups []*Group `cbor:"2,keyasint"` // by id
	Issued []issued `cbor:"3,keyasint"` // by scope
}

type issued struct {
	Scope lease.Scope `cbor:"1,keyasint"`
	Mark  IDMark      `cbor:"2,keyasint"`
}

// Snapshot implements journal.Fold. Groups and scopes are sorted, so the same
// state gives the same bytes.
func (b *Book) Snapshot() ([]byte, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := snapshot{Format: snapshotFormat}
	for _, id := range slices.Sorted(maps.Keys(b.groups)) {
		s.Groups = append(s.Groups, b.groups[id])
	}
	for _, scope := range slices.Sorted(maps.Keys(b.issued)) {
		s.Issued = append(s.Issued, issued{Scope: scope, Mark: b.issued[scope]})
	}
	data, err := journal.Encode(s)
	return data, errors.Wrap(err, "group: snapshot")
}

// Restore implements journal.Fold. A snapshot that breaks the rules of the
// fold is refused and leaves the state as it was.
func (b *Book) Restore(data []byte) error {
	var s snapshot
	if err := journal.Decode(data, &s); err != nil {
		return errors.Wrap(err, "group: restore")
	}
	if s.Format != snapshotFormat {
		return errors.Errorf("group: snapshot format %d is unknown", s.Format)
	}
	fresh := NewBook(b.terms)
	for _, i := range s.Issued {
		fresh.issued[i.Scope] = i.Mark
	}
	for _, g := range s.Groups {
		if g == nil || fresh.groups[g.ID] != nil {
			return errors.New("group: snapshot has a group twice or an empty one")
		}
		if err := fresh.checkInstances(g); err != nil {
			return errors.Wrapf(err, "group: snapshot of %s", g.ID)
		}
		fresh.put(g)
	}
	b.replace(fresh.groups, fresh.owner, fresh.issued)
	return nil
}

func (b *Book) replace(groups map[fleet.GroupID]*Group, owner map[fleet.InstanceID]fleet.GroupID, marks map[lease.Scope]IDMark) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.groups, b.owner, b.issued = groups, owner, marks
	b.view.Store(nil)
}
