package service

import (
	"sort"
	"sync"
	"sync/atomic"

	"github.com/pkg/errors"

	"carawayproxy.example/caraway/internal/fleet"
	"carawayproxy.example/caraway/internal/invariant"
	"carawayproxy.example/caraway/internal/journal"
)

const (
	// MaxHistory bounds the history entries of one service.
	MaxHistory = 50
	// MaxHistoryBytes bounds the total size of the bodies in the history of
	// one service, not counting the newest body.
	MaxHistoryBytes = 64 << 10
	// MaxRemoved bounds the number of removed services whose history is kept.
	MaxRemoved = 256
)

// Fold is the fold of the config stream. It holds all services. It is safe for
// concurrent use.
type Fold struct {
	catalog atomic.Pointer[Catalog]

	mu      sync.RWMutex
	records map[fleet.ServiceName]*record
}

// record is a service with its history. A removed service has only a history.
type record struct {
	owner   string
	syntax  uint16
	history []HistoryEntry // oldest first, never empty
}

func (r *record) latest() HistoryEntry { return r.history[len(r.history)-1] }

// revision returns the base revision that a change of the service must have:
// zero if the service does not exist or is removed.
func (r *record) revision() uint64 {
	if r == nil || r.latest().Removed {
		return 0
	}
	return r.latest().Revision
}

var _ journal.Fold = (*Fold)(nil)

// NewFold returns a fold without services, at revision zero.
func NewFold() *Fold {
	f := &Fold{records: map[fleet.ServiceName]*record{}}
	f.catalog.Store(&Catalog{Services: map[fleet.ServiceName]*Published{}})
	return f
}

// Catalog returns the current services. The catalog is immutable.
func (f *Fold) Catalog() *Catalog { return f.catalog.Load() }

// History returns the latest changes of a service, oldest first.
func (f *Fold) History(name fleet.ServiceName) []HistoryEntry {
	f.mu.RLock()
	defer f.mu.RUnlock()
	r := f.records[name]
	if r == nil {
		return nil
	}
	return append([]HistoryEntry(nil), r.history...)
}

// Kinds implements journal.Fold.
func (f *Fold) Kinds() []journal.Kind { return []journal.Kind{KindPublish} }

// Apply implements journal.Fold. It accepts a publication if every base
// revision is current and the author may change every service. It rejects a
// body that can't be decoded and a file that does not parse, and returns an
// error for a syntax that this version does not know.
func (f *Fold) Apply(_ journal.Offset, r journal.Record) (journal.Verdict, error) {
	var p Publication
	if err := journal.Decode(r.Body, &p); err != nil {
		return journal.Reject("malformed body"), nil
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	specs, reason, err := parseChanges(p)
	if err != nil {
		return journal.Verdict{}, err
	}
	if reason != "" {
		return journal.Reject(reason), nil
	}
	if conflicts := f.conflicts(p); len(conflicts) > 0 {
		v := journal.Reject(string(conflicts[0].Reason))
		v.Detail = Decision{Conflicts: conflicts}
		return v, nil
	}
	revision := f.applyPublication(p, specs, r.UnixMilli)
	return journal.Verdict{Accepted: true, Detail: Decision{Revision: revision}}, nil
}

// parseChanges parses the files of a publication. It returns a reason if the
// publication must be rejected, and an error if this version can't decide that
// because it does not know the syntax.
func parseChanges(p Publication) (specs map[fleet.ServiceName]*Spec, reason string, err error) {
	specs = map[fleet.ServiceName]*Spec{}
	for _, c := range p.Changes {
		if c.Syntax > Syntax {
			return nil, "", errors.Errorf("service %s: syntax %d, this version knows up to %d", c.Service, c.Syntax, Syntax)
		}
	}
	for _, c := range p.Changes {
		if _, duplicate := specs[c.Service]; duplicate {
			return nil, "a service is changed twice", nil
		}
		specs[c.Service] = nil
		if c.Body == "" {
			continue
		}
		spec, err := Parse(c.File, []byte(c.Body))
		if err != nil {
			return nil, "a service file does not parse", nil
		}
		if spec.Service != c.Service || spec.Owner != c.Owner {
			return nil, "a service file does not match its change", nil
		}
		specs[c.Service] = spec
	}
	if len(specs) == 0 || p.Author == "" {
		return nil, "no changes or no author", nil
	}
	return specs, "", nil
}

// Conflicts returns the changes of a publication that can't take effect now.
func (f *Fold) Conflicts(p Publication) []Conflict {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.conflicts(p)
}

func (f *Fold) conflicts(p Publication) []Conflict {
	var all []Conflict
	for _, c := range p.Changes {
		rec := f.records[c.Service]
		current := rec.revision()
		switch {
		case c.BaseRevision != current || (current == 0 && c.Body == ""):
			all = append(all, newConflict(c, rec, ReasonBase))
		case current != 0 && rec.owner != "" && rec.owner != p.Author:
			all = append(all, newConflict(c, rec, ReasonOwner))
		}
	}
	return all
}

func newConflict(c Change, rec *record, reason ConflictReason) Conflict {
	out := Conflict{Service: c.Service, Reason: reason, BaseRevision: c.BaseRevision, CurrentRevision: rec.revision()}
	if rec == nil {
		return out
	}
	latest := rec.latest()
	out.Author, out.File, out.UnixMilli, out.Owner = latest.Author, latest.File, latest.UnixMilli, rec.owner
	out.Diff = Diff(latest.Body, c.Body)
	return out
}

// applyPublication applies an accepted publication and returns its revision.
func (f *Fold) applyPublication(p Publication, specs map[fleet.ServiceName]*Spec, unixMilli int64) uint64 {
	old := f.Catalog()
	next := &Catalog{Revision: old.Revision + 1, Services: make(map[fleet.ServiceName]*Published, len(old.Services)+1)}
	for name, pub := range old.Services {
		next.Services[name] = pub
	}
	for _, c := range p.Changes {
		entry := HistoryEntry{
			Revision: next.Revision, Author: p.Author, UnixMilli: unixMilli,
			File: c.File, Note: p.Note, Body: c.Body, Removed: c.Body == "",
		}
		f.appendHistory(c, entry)
		if entry.Removed {
			delete(next.Services, c.Service)
			continue
		}
		next.Services[c.Service] = newPublished(specs[c.Service], entry)
	}
	f.pruneRemoved()
	f.setCatalog(next)
	return next.Revision
}

func newPublished(spec *Spec, e HistoryEntry) *Published {
	return &Published{Spec: *spec, Body: e.Body, Revision: e.Revision, Author: e.Author, UnixMilli: e.UnixMilli}
}

// setCatalog replaces the current catalog.
func (f *Fold) setCatalog(next *Catalog) {
	old := f.Catalog()
	invariant.Check(next.Revision >= old.Revision, "service.revision-grows", "catalog from revision %d to %d", old.Revision, next.Revision)
	f.catalog.Store(next)
}

// appendHistory adds a change to the history of its service and trims the
// history to its bounds.
func (f *Fold) appendHistory(c Change, e HistoryEntry) {
	rec := f.records[c.Service]
	if rec == nil {
		rec = &record{}
		f.records[c.Service] = rec
	}
	rec.owner = c.Owner
	rec.syntax = c.Syntax
	rec.history = append(rec.history, e)
	if extra := len(rec.history) - MaxHistory; extra > 0 {
		rec.history = append([]HistoryEntry(nil), rec.history[extra:]...)
	}
	bytes := 0
	for i := len(rec.history) - 2; i >= 0; i-- {
		if bytes += len(rec.history[i].Body); bytes > MaxHistoryBytes {
			rec.history[i].Body = ""
		}
	}
}

// pruneRemoved deletes the histories of the services that were removed first,
// beyond MaxRemoved.
func (f *Fold) pruneRemoved() {
	var removed []fleet.ServiceName
	for name, rec := range f.records {
		if rec.latest().Removed {
			removed = append(removed, name)
		}
	}
	if len(removed) <= MaxRemoved {
		return
	}
	sort.Slice(removed, func(i, j int) bool {
		a, c := f.records[removed[i]].latest().Revision, f.records[removed[j]].latest().Revision
		return a < c || (a == c && removed[i] < removed[j])
	})
	for _, name := range removed[:len(removed)-MaxRemoved] {
		delete(f.records, name)
	}
}
