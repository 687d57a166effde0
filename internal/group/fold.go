package group

import (
	"fmt"
	"maps"
	"sync"
	"sync/atomic"

	"github.com/pkg/errors"

	"carawayproxy.example/caraway/internal/fleet"
	"carawayproxy.example/caraway/internal/invariant"
	"carawayproxy.example/caraway/internal/journal"
	"carawayproxy.example/caraway/internal/lease"
)

// Fold folds the group records of the control stream. It is safe for
// concurrent use.
type Fold struct {
	terms lease.Terms
	view  atomic.Pointer[View] // cached; nil after a change until View is called

	mu      sync.Mutex
	groups  map[fleet.GroupID]*Group
	groupOf map[fleet.InstanceID]fleet.GroupID
	issued  map[lease.Scope]IDMark
}

var _ journal.Fold = (*Fold)(nil)

// NewFold returns an empty Fold that fences records by the given terms. The
// terms must be folded from the same stream.
func NewFold(terms lease.Terms) *Fold {
	return &Fold{
		terms:   terms,
		groups:  map[fleet.GroupID]*Group{},
		groupOf: map[fleet.InstanceID]fleet.GroupID{},
		issued:  map[lease.Scope]IDMark{},
	}
}

// Kinds implements journal.Fold.
func (f *Fold) Kinds() []journal.Kind {
	return []journal.Kind{KindForm, KindRepair, KindDrain, KindDissolve}
}

// View returns the current state of all groups. The caller must not modify it.
func (f *Fold) View() *View {
	if v := f.view.Load(); v != nil {
		return v
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	v := &View{
		Groups:     maps.Clone(f.groups),
		ByInstance: maps.Clone(f.groupOf),
		Issued:     maps.Clone(f.issued),
	}
	checkExclusive(v)
	f.view.Store(v)
	return v
}

// Apply implements journal.Fold.
func (f *Fold) Apply(_ journal.Offset, r journal.Record) (journal.Verdict, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch r.Kind {
	case KindForm:
		return apply(r, f.form)
	case KindRepair:
		return apply(r, f.repair)
	case KindDrain:
		return apply(r, f.drain)
	case KindDissolve:
		return apply(r, f.dissolve)
	}
	return journal.Verdict{}, errors.Errorf("group: record kind %q is unknown", r.Kind)
}

// apply decodes the body of a record and applies rule to it. A record whose body
// cannot be decoded is rejected. A change of a body's format therefore needs a
// new record kind.
func apply[T any](r journal.Record, rule func(fleet.DaemonID, *T) error) (journal.Verdict, error) {
	var body T
	if err := journal.Decode(r.Body, &body); err != nil {
		return journal.Reject("malformed body"), nil
	}
	if err := rule(r.Author, &body); err != nil {
		return journal.Reject(err.Error()), nil
	}
	return journal.Accept(), nil
}

func (f *Fold) form(author fleet.DaemonID, r *FormRecord) error {
	g := &r.Group
	if err := f.fence(author, g.Scope, g.Term); err != nil {
		return err
	}
	if err := f.checkNewID(g); err != nil {
		return err
	}
	if g.Epoch != 1 || g.Phase != PhaseActive || g.Service == "" {
		return errors.New("a new group must have epoch 1, phase active and a service")
	}
	if err := f.checkInstances(g); err != nil {
		return err
	}
	_, mark, _ := ParseID(g.ID)
	f.issued[g.Scope] = mark
	f.put(g)
	return nil
}

func (f *Fold) repair(author fleet.DaemonID, r *RepairRecord) error {
	old, err := f.current(author, r.Scope, r.Term, r.Group)
	if err != nil {
		return err
	}
	if r.Epoch != old.Epoch+1 {
		return fmt.Errorf("epoch %d does not follow %d", r.Epoch, old.Epoch)
	}
	if len(r.Members) != len(old.Members) {
		return fmt.Errorf("%d members for a group of %d", len(r.Members), len(old.Members))
	}
	g := *old
	g.Epoch, g.Term, g.Phase = r.Epoch, r.Term, PhaseActive
	g.Members, g.Spares = r.Members, r.Spares
	if r.ServiceRevision > 0 {
		g.ServiceRevision = r.ServiceRevision
	}
	if err := f.checkInstances(&g); err != nil {
		return err
	}
	f.remove(old)
	f.put(&g)
	return nil
}

func (f *Fold) drain(author fleet.DaemonID, r *DrainRecord) error {
	old, err := f.currentAt(author, r.Scope, r.Term, r.Group, r.Epoch)
	if err != nil {
		return err
	}
	g := *old
	g.Phase, g.Term = PhaseDraining, r.Term
	f.put(&g)
	return nil
}

func (f *Fold) dissolve(author fleet.DaemonID, r *DissolveRecord) error {
	old, err := f.currentAt(author, r.Scope, r.Term, r.Group, r.Epoch)
	if err != nil {
		return err
	}
	f.remove(old)
	return nil
}

// put stores a validated group and assigns its instances to it.
func (f *Fold) put(g *Group) {
	f.groups[g.ID] = g
	for m := range g.All() {
		holder, taken := f.groupOf[m.Instance]
		invariant.Check(!taken || holder == g.ID, InvariantExclusive,
			"instance %s of group %s is also in group %s", m.Instance, g.ID, holder)
		f.groupOf[m.Instance] = g.ID
	}
	f.view.Store(nil)
}

// remove deletes a group and frees its instances.
func (f *Fold) remove(g *Group) {
	delete(f.groups, g.ID)
	for m := range g.All() {
		delete(f.groupOf, m.Instance)
	}
	f.view.Store(nil)
}
