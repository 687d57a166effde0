package directory

import (
	"cmp"
	"slices"

	"carawayproxy.example/caraway/internal/fleet"
	"carawayproxy.example/caraway/internal/group"
)

// buildView builds the groups that at least one member reports. If members
// report different epochs of a group, the highest one wins. A rank that no
// instance reports gets a member with an empty name, for which there is no
// report. Called with mu held.
func (d *Directory) buildView() *group.View {
	view := &group.View{Groups: map[fleet.GroupID]*group.Group{}, ByInstance: map[fleet.InstanceID]fleet.GroupID{}}
	var placed []*entry
	for _, e := range d.entries {
		if e.server.Place != nil {
			placed = append(placed, e)
		}
	}
	slices.SortFunc(placed, func(a, b *entry) int {
		return cmp.Or(cmp.Compare(b.server.Place.Epoch, a.server.Place.Epoch), cmp.Compare(a.server.Instance, b.server.Instance))
	})
	for _, e := range placed {
		p := e.server.Place
		g := view.Groups[p.Group]
		if g == nil {
			if g = d.newGroup(e); g == nil {
				continue
			}
			view.Groups[p.Group] = g
		}
		if g.Epoch != p.Epoch || int(p.Rank) >= len(g.Members) {
			continue
		}
		if p.Rank == 0 {
			g.Fabric = e.server.Fabric
			if p.State == PlaceClosing {
				g.Phase = group.PhaseDraining
			}
		}
		g.Members[p.Rank] = member(e)
		view.ByInstance[e.server.Instance] = p.Group
	}
	return view
}

// newGroup returns an empty group for a member's place, or nil if placement
// does not generate such a group name or the model is unknown.
func (d *Directory) newGroup(e *entry) *group.Group {
	p := e.server.Place
	model, _, ok := group.ParseID(p.Group)
	size := 0
	if ok {
		size = d.cfg.SizeOf(string(model))
	}
	if size == 0 {
		return nil
	}
	return &group.Group{
		ID:      p.Group,
		Epoch:   p.Epoch,
		Service: d.cfg.ServiceOf(e.server.Service, string(model)),
		Model:   string(model),
		Fabric:  e.server.Fabric,
		Members: make([]group.Member, size),
		Phase:   group.PhaseActive,
	}
}

func member(e *entry) group.Member {
	return group.Member{
		Instance:     e.server.Instance,
		Address:      e.server.Address,
		Zone:         e.server.Zone,
		Fabric:       e.server.Fabric,
		Accelerators: 1,
	}
}
