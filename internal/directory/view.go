package directory

import (
	"carawayproxy.example/caraway/internal/fleet"
	"carawayproxy.example/caraway/internal/group"
)

// formationKey identifies a formation.
type formationKey struct {
	group   fleet.GroupID
	epoch   fleet.Epoch
	service string
}

// formation is what the servers of one service report of a group in one epoch.
type formation struct {
	formationKey
	model string
	// ranks holds the server of each rank, nil for a rank that none reports.
	ranks []*entry
}

// buildView builds the groups that at least one member reports. A rank that no
// instance reports gets a member with an empty name, for which there is no
// report. Called with mu held.
func (d *Directory) buildView() *group.View {
	shown := map[fleet.GroupID]*formation{}
	for _, f := range d.formations() {
		if other := shown[f.group]; other == nil || f.precedes(other) {
			shown[f.group] = f
		}
	}
	view := &group.View{Groups: make(map[fleet.GroupID]*group.Group, len(shown)), ByInstance: map[fleet.InstanceID]fleet.GroupID{}}
	for id, f := range shown {
		view.Groups[id] = f.build(d.cfg.ServiceOf)
		for _, e := range f.ranks {
			if e != nil {
				view.ByInstance[e.server.Instance] = id
			}
		}
	}
	return view
}

// formations returns all formations. It skips places that no member can have: in a
// group that placement does not name, of a model that the server's service does not
// run, or of a rank beyond the model's size.
func (d *Directory) formations() map[formationKey]*formation {
	out := map[formationKey]*formation{}
	for _, e := range d.entries {
		p := e.server.Place
		if p == nil {
			continue
		}
		model, _, ok := group.ParseID(p.Group)
		if !ok {
			continue
		}
		size := d.cfg.SizeOf(e.server.Service, string(model))
		if int(p.Rank) >= size {
			continue
		}
		key := formationKey{p.Group, p.Epoch, e.server.Service}
		f := out[key]
		if f == nil {
			f = &formation{formationKey: key, model: string(model), ranks: make([]*entry, size)}
			out[key] = f
		}
		if other := f.ranks[p.Rank]; other == nil || d.holdsRank(e, other) {
			f.ranks[p.Rank] = e
		}
	}
	return out
}

// holdsRank reports whether e rather than other holds the rank that both report in
// one epoch of a group. Placement gives a rank to one engine only, so the other
// entry is that of another writer: an engine that has confirmed its place itself
// precedes one that has not, and a known member precedes a new one.
func (d *Directory) holdsRank(e, other *entry) bool {
	if confirmed := !e.answeredAsOf.IsZero(); confirmed != !other.answeredAsOf.IsZero() {
		return confirmed
	}
	if known := d.isKnownMember(e); known != d.isKnownMember(other) {
		return known
	}
	return e.server.Instance < other.server.Instance
}

// isKnownMember reports whether the last view has the server in its place.
func (d *Directory) isKnownMember(e *entry) bool {
	if d.view == nil {
		return false
	}
	p := e.server.Place
	g := d.view.Groups[p.Group]
	return g != nil && g.Epoch == p.Epoch && int(p.Rank) < len(g.Members) && g.Members[p.Rank].Instance == e.server.Instance
}

// precedes reports whether f rather than other is what a group is now: one that is
// complete, and of two of them, or of none, the one of the later epoch. So a single
// entry of a later epoch takes no group away from engines that agree, while the next
// epoch shows as soon as an engine of the former one has left it or failed, or once
// it is complete itself. Placement opens no epoch that is not complete, and uses the
// view only for the groups that it takes over from another holder.
func (f *formation) precedes(other *formation) bool {
	if complete := f.isComplete(); complete != other.isComplete() {
		return complete
	}
	if f.epoch != other.epoch {
		return f.epoch > other.epoch
	}
	return f.service < other.service
}

// isComplete reports whether each rank has a server that has not failed, of which
// the leader may serve.
func (f *formation) isComplete() bool {
	for _, e := range f.ranks {
		if e == nil || !e.failedAt.IsZero() {
			return false
		}
	}
	return f.ranks[0].server.Place.State != PlaceBroken
}

// build returns the group.
func (f *formation) build(serviceOf func(service, model string) fleet.ServiceName) *group.Group {
	g := &group.Group{
		ID:      f.group,
		Epoch:   f.epoch,
		Service: serviceOf(f.service, f.model),
		Model:   f.model,
		Members: make([]group.Member, len(f.ranks)),
		Phase:   group.PhaseActive,
	}
	for rank, e := range f.ranks {
		if e == nil {
			continue
		}
		g.Members[rank] = member(e)
		if g.Fabric == "" {
			g.Fabric = e.server.Fabric
		}
	}
	if leader := f.ranks[0]; leader != nil {
		g.Fabric = leader.server.Fabric
		if leader.server.Place.State == PlaceClosing {
			g.Phase = group.PhaseDraining
		}
	}
	return g
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
