package group

import (
	"fmt"
	"iter"

	"github.com/pkg/errors"

	"carawayproxy.example/caraway/internal/fleet"
	"carawayproxy.example/caraway/internal/invariant"
	"carawayproxy.example/caraway/internal/lease"
)

// InvariantExclusive is the name of the invariant that no instance is in two
// groups.
const InvariantExclusive = "group.exclusive"

// All iterates over the members and then the spares.
func (g *Group) All() iter.Seq[Member] {
	return func(yield func(Member) bool) {
		for _, m := range g.Members {
			if !yield(m) {
				return
			}
		}
		for _, m := range g.Spares {
			if !yield(m) {
				return
			}
		}
	}
}

// fence returns an error unless the author holds the scope under its current
// term.
func (f *Fold) fence(author fleet.DaemonID, scope lease.Scope, term lease.Term) error {
	l, ok := f.terms.Current(scope)
	switch {
	case !ok:
		return fmt.Errorf("scope %q has no lease", scope)
	case term != l.Term:
		return fmt.Errorf("term %d of scope %q is not the current %d", term, scope, l.Term)
	case l.Released:
		return fmt.Errorf("term %d of scope %q is released", term, scope)
	case author != l.Holder:
		return fmt.Errorf("author %q does not hold scope %q", author, scope)
	}
	return nil
}

// current returns the group that a record refers to. It returns an error if the
// record may not change the group under the given scope and term.
func (f *Fold) current(author fleet.DaemonID, scope lease.Scope, term lease.Term, id fleet.GroupID) (*Group, error) {
	if err := f.fence(author, scope, term); err != nil {
		return nil, err
	}
	g, ok := f.groups[id]
	if !ok {
		return nil, fmt.Errorf("group %q does not exist", id)
	}
	if g.Scope != scope {
		return nil, fmt.Errorf("group %q belongs to scope %q", id, g.Scope)
	}
	return g, nil
}

// currentAt is like current, for records that also name the group's current
// epoch.
func (f *Fold) currentAt(author fleet.DaemonID, scope lease.Scope, term lease.Term, id fleet.GroupID, epoch fleet.Epoch) (*Group, error) {
	g, err := f.current(author, scope, term, id)
	if err != nil {
		return nil, err
	}
	if g.Epoch != epoch {
		return nil, fmt.Errorf("group %q is at epoch %d, not %d", id, g.Epoch, epoch)
	}
	return g, nil
}

// checkNewID returns an error if the id does not match the group's scope and
// term or was issued before.
func (f *Fold) checkNewID(g *Group) error {
	scope, mark, ok := ParseID(g.ID)
	if !ok || scope != g.Scope || mark.Term != g.Term {
		return fmt.Errorf("id %q does not name scope %q and term %d", g.ID, g.Scope, g.Term)
	}
	if !f.issued[scope].Less(mark) {
		return fmt.Errorf("id %q was already issued", g.ID)
	}
	return nil
}

// checkInstances returns an error unless each instance of the membership is
// listed once, belongs to no other group, and is in the group's fabric domain.
func (f *Fold) checkInstances(g *Group) error {
	if len(g.Members) == 0 {
		return errors.New("a group must have at least one member")
	}
	if len(g.Spares) >= len(g.Members) {
		return fmt.Errorf("%d spares for %d members: there must be fewer spares than members", len(g.Spares), len(g.Members))
	}
	instances := map[fleet.InstanceID]bool{}
	addresses := map[string]bool{}
	for m := range g.All() {
		if m.Instance == "" || m.Address == "" {
			return errors.New("a member must have an instance and an address")
		}
		if instances[m.Instance] || addresses[m.Address] {
			return fmt.Errorf("instance %q or its address is listed twice", m.Instance)
		}
		instances[m.Instance], addresses[m.Address] = true, true
		if m.Fabric != g.Fabric {
			return fmt.Errorf("instance %q is in fabric domain %q, the group in %q", m.Instance, m.Fabric, g.Fabric)
		}
		if holder, taken := f.groupOf[m.Instance]; taken && holder != g.ID {
			return fmt.Errorf("instance %q is in group %q", m.Instance, holder)
		}
	}
	return nil
}

// checkExclusive checks that no instance of a view is in two groups and that
// ByInstance is consistent with the groups.
func checkExclusive(v *View) {
	listed := 0
	for id, g := range v.Groups {
		for m := range g.All() {
			listed++
			invariant.Check(v.ByInstance[m.Instance] == id, InvariantExclusive,
				"instance %s of group %s is also in group %s", m.Instance, id, v.ByInstance[m.Instance])
		}
	}
	invariant.Check(listed == len(v.ByInstance), InvariantExclusive,
		"groups have %d members and spares, the index has %d instances", listed, len(v.ByInstance))
}
