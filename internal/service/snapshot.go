package service

import (
	"sort"

	"github.com/pkg/errors"

	"carawayproxy.example/caraway/internal/fleet"
	"carawayproxy.example/caraway/internal/journal"
)

// foldState is the state of a Fold in a snapshot.
type foldState struct {
	Revision uint64        `cbor:"1,keyasint"`
	Services []recordState `cbor:"2,keyasint"` // sorted by name
}

type recordState struct {
	Service fleet.ServiceName `cbor:"1,keyasint"`
	Owner   string            `cbor:"2,keyasint"`
	Syntax  uint16            `cbor:"3,keyasint"`
	History []HistoryEntry    `cbor:"4,keyasint"`
}

// Snapshot implements journal.Fold.
func (f *Fold) Snapshot() ([]byte, error) {
	f.mu.RLock()
	defer f.mu.RUnlock()
	s := foldState{Revision: f.Catalog().Revision}
	for name, rec := range f.records {
		s.Services = append(s.Services, recordState{Service: name, Owner: rec.owner, Syntax: rec.syntax, History: rec.history})
	}
	sort.Slice(s.Services, func(i, j int) bool { return s.Services[i].Service < s.Services[j].Service })
	return journal.Encode(s)
}

// Restore implements journal.Fold. On an error it leaves the state unchanged.
func (f *Fold) Restore(data []byte) error {
	var s foldState
	if err := journal.Decode(data, &s); err != nil {
		return errors.Wrap(err, "services")
	}
	records := make(map[fleet.ServiceName]*record, len(s.Services))
	next := &Catalog{Revision: s.Revision, Services: map[fleet.ServiceName]*Published{}}
	for _, r := range s.Services {
		if len(r.History) == 0 || r.Syntax > Syntax {
			return errors.Errorf("service %s: %d history entries, syntax %d", r.Service, len(r.History), r.Syntax)
		}
		rec := &record{owner: r.Owner, syntax: r.Syntax, history: r.History}
		records[r.Service] = rec
		latest := rec.latest()
		if latest.Removed {
			continue
		}
		spec, err := Parse(latest.File, []byte(latest.Body))
		if err != nil {
			return errors.Wrapf(err, "service %s", r.Service)
		}
		next.Services[r.Service] = newPublished(spec, latest)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.records = records
	f.setCatalog(next)
	return nil
}
