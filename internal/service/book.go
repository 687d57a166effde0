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
	// MaxHistoryBytes bounds the bodies in the history of one service,
	// beyond the newest one.
	MaxHistoryBytes = 64 << 10
	// MaxRemoved bounds the removed services whose history is kept.
	MaxRemoved = 256
)

// Book is the fold of all services of the config stream.
type Book struct {
	catalog atomic.Pointer[Catalog]

	mu      sync.RWMutex
	records map[fleet.ServiceName]*record
}

// record is a service with its past. A removed one has only a past.
type record struct {
	owner   string
	syntax  uint16
	history []HistoryEntry // oldest first, never empty
}

func (r *record) newest() HistoryEntry { return r.history[len(r.history)-1] }

// revision is the base that a change of the service must name.
func (r *record) revision() uint64 {
	if r == nil || r.newest().Removed {
		return 0
	}
	return r.newest().Revision
}

var _ journal.Fold = (*Book)(nil)

// NewBook returns a book without services, at revision zero.
func NewBook() *Book {
	b := &Book{records: map[fleet.ServiceName]*record{}}
	b.catalog.Store(&Catalog{Services: map[fleet.ServiceName]*Published{}})
	return b
}

// Catalog returns the services in force. It is immutable.
func (b *Book) Catalog() *Catalog { return b.catalog.Load() }

// History returns the latest changes of a service, oldest first.
func (b *Book) History(name fleet.ServiceName) []HistoryEntry {
	b.mu.RLock()
	defer b.mu.RUnlock()
	r := b.records[name]
	if r == nil {
		return nil
	}
	return append([]HistoryEntry(nil), r.history...)
}

// Kinds implements journal.Fold.
func (b *Book) Kinds() []journal.Kind { return []journal.Kind{KindPublish} }

// Apply implements journal.Fold. A publication counts if every base revision
// is current and every author may change the service. A body that can't be
// decoded or a file that does not parse does not count; a syntax that this
// version does not know is an error.
func (b *Book) Apply(_ journal.Offset, r journal.Record) (journal.Verdict, error) {
	var p Publication
	if err := journal.Decode(r.Body, &p); err != nil {
		return journal.Reject("malformed body"), nil
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	specs, reason, err := parseAll(p)
	if err != nil {
		return journal.Verdict{}, err
	}
	if reason != "" {
		return journal.Reject(reason), nil
	}
	if conflicts := b.conflicts(p); len(conflicts) > 0 {
		v := journal.Reject(string(conflicts[0].Reason))
		v.Detail = Decision{Conflicts: conflicts}
		return v, nil
	}
	revision := b.enact(p, specs, r.UnixMilli)
	return journal.Verdict{Accepted: true, Detail: Decision{Revision: revision}}, nil
}

// parseAll parses the files of a publication. The reason says why it can't
// count; the error that this version can't tell.
func parseAll(p Publication) (specs map[fleet.ServiceName]*Spec, reason string, err error) {
	specs = map[fleet.ServiceName]*Spec{}
	for _, c := range p.Changes {
		if c.Syntax > Syntax {
			return nil, "", errors.Errorf("service %s: syntax %d, this version knows up to %d", c.Service, c.Syntax, Syntax)
		}
	}
	for _, c := range p.Changes {
		if _, twice := specs[c.Service]; twice {
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

// Conflicts returns which changes of a publication could not take effect now.
func (b *Book) Conflicts(p Publication) []Conflict {
	b.mu.RLock()
	defer b.mu.RUnlock()
	return b.conflicts(p)
}

func (b *Book) conflicts(p Publication) []Conflict {
	var all []Conflict
	for _, c := range p.Changes {
		rec := b.records[c.Service]
		current := rec.revision()
		switch {
		case c.BaseRevision != current || (current == 0 && c.Body == ""):
			all = append(all, conflict(c, rec, ReasonBase))
		case current != 0 && rec.owner != "" && rec.owner != p.Author:
			all = append(all, conflict(c, rec, ReasonOwner))
		}
	}
	return all
}

func conflict(c Change, rec *record, reason ConflictReason) Conflict {
	out := Conflict{Service: c.Service, Reason: reason, BaseRevision: c.BaseRevision, CurrentRevision: rec.revision()}
	if rec == nil {
		return out
	}
	won := rec.newest()
	out.Author, out.File, out.UnixMilli, out.Owner = won.Author, won.File, won.UnixMilli, rec.owner
	out.Diff = Diff(won.Body, c.Body)
	return out
}

// enact takes in an accepted publication and returns its revision.
func (b *Book) enact(p Publication, specs map[fleet.ServiceName]*Spec, unixMilli int64) uint64 {
	old := b.Catalog()
	next := &Catalog{Revision: old.Revision + 1, Services: make(map[fleet.ServiceName]*Published, len(old.Services)+1)}
	for name, pub := range old.Services {
		next.Services[name] = pub
	}
	for _, c := range p.Changes {
		entry := HistoryEntry{
			Revision: next.Revision, Author: p.Author, UnixMilli: unixMilli,
			File: c.File, Note: p.Note, Body: c.Body, Removed: c.Body == "",
		}
		b.remember(c, entry)
		if entry.Removed {
			delete(next.Services, c.Service)
			continue
		}
		next.Services[c.Service] = published(specs[c.Service], entry)
	}
	b.forgetRemoved()
	b.swap(next)
	return next.Revision
}

func published(spec *Spec, e HistoryEntry) *Published {
	return &Published{Spec: *spec, Body: e.Body, Revision: e.Revision, Author: e.Author, UnixMilli: e.UnixMilli}
}

// swap puts a catalog into force.
func (b *Book) swap(next *Catalog) {
	old := b.Catalog()
	invariant.Check(next.Revision >= old.Revision, "service.revision-grows", "catalog from revision %d to %d", old.Revision, next.Revision)
	b.catalog.Store(next)
}

// remember adds a change to the service's history within its bounds.
func (b *Book) remember(c Change, e HistoryEntry) {
	rec := b.records[c.Service]
	if rec == nil {
		rec = &record{}
		b.records[c.Service] = rec
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

// forgetRemoved drops the services that were removed first.
func (b *Book) forgetRemoved() {
	var removed []fleet.ServiceName
	for name, rec := range b.records {
		if rec.newest().Removed {
			removed = append(removed, name)
		}
	}
	if len(removed) <= MaxRemoved {
		return
	}
	sort.Slice(removed, func(i, j int) bool {
		a, c := b.records[removed[i]].newest().Revision, b.records[removed[j]].newest().Revision
		return a < c || (a == c && removed[i] < removed[j])
	})
	for _, name := range removed[:len(removed)-MaxRemoved] {
		delete(b.records, name)
	}
}
