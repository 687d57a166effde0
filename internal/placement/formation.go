package placement

import (
	"cmp"
	"slices"
	"time"

	"carawayproxy.example/caraway/internal/fleet"
	"carawayproxy.example/caraway/internal/group"
)

// formMissing forms the wanted groups that do not exist yet.
func (r *round) formMissing() {
	for _, w := range r.byShortage() {
		if r.isRolloutHalted(w) {
			r.reportHalt(w)
			continue
		}
		for n := r.retainedGroups(w); n < w.Groups && !r.isLoadBlocked(w) && r.canLoad(); n++ {
			domains := r.domainsWithRoom(w)
			if len(domains) == 0 && r.retainedGroups(w) == 0 {
				r.admitExcluded(w.Pool)
				domains = r.domainsWithRoom(w)
			}
			if len(domains) == 0 {
				break
			}
			r.form(w, domains[0], "the service wants more groups")
		}
	}
}

// byShortage lists the wanted services. If only instances that hold a model
// locally may be placed, the services that are shortest of groups come first,
// because engines may hold several models.
func (r *round) byShortage() []*Wanted {
	var wanted []*Wanted
	for i := range r.snap.Wanted {
		wanted = append(wanted, &r.snap.Wanted[i])
	}
	if r.localOnly() {
		short := func(w *Wanted) float64 { return shortage(w, w.Groups-r.retainedGroups(w)) }
		slices.SortStableFunc(wanted, func(a, b *Wanted) int { return cmp.Compare(short(b), short(a)) })
	}
	return wanted
}

// retainedGroups counts the groups that match w and are to be kept, including the
// changes of the current plan.
func (r *round) retainedGroups(w *Wanted) int {
	n := 0
	for _, c := range r.groups {
		if c.wanted == w && r.shouldKeep(c) {
			n++
		}
	}
	for _, a := range r.actions {
		switch {
		case a.Kind == ActionForm && matches(a.Group, w):
			n++
		case a.Kind == ActionDissolve && matches(a.Group, w) && a.Group.Phase == group.PhaseActive:
			n--
		}
	}
	return n
}

func matches(g *group.Group, w *Wanted) bool {
	return g.Service == w.Service && g.Version == w.Version && g.Role == w.Role && sameAdapters(g.Adapters, w.Adapters)
}

// domainsWithRoom lists the fabric domains with enough instances for one group.
// By default the domain with the fewest comes first, which keeps large free
// blocks for later groups. See Policy.Spread.
func (r *round) domainsWithRoom(w *Wanted) []fleet.FabricDomain {
	room := map[fleet.FabricDomain]int{}
	startupTimes := map[fleet.FabricDomain]time.Duration{} // until a new group is ready
	coldLeader := map[fleet.FabricDomain]int{}             // 1 if a new group would have one
	var domains []fleet.FabricDomain
	for f, ids := range r.freeByFabric {
		if len(ids) < w.Size {
			continue
		}
		candidates := r.candidates(w, f)
		if len(candidates) < w.Size {
			continue
		}
		domains = append(domains, f)
		room[f] = len(candidates)
		startupTimes[f], _ = r.startupTime(w, candidates[:w.Size])
		coldLeader[f] = r.coldOrder(candidates[0])
	}
	slices.SortFunc(domains, func(a, b fleet.FabricDomain) int {
		if r.policy.Spread {
			return cmp.Or(cmp.Compare(startupTimes[a], startupTimes[b]), cmp.Compare(coldLeader[a], coldLeader[b]), cmp.Compare(room[b], room[a]), cmp.Compare(a, b))
		}
		return cmp.Or(cmp.Compare(room[a], room[b]), cmp.Compare(a, b))
	})
	return domains
}

// form adds a new group in a fabric domain that has enough instances for it.
func (r *round) form(w *Wanted, f fleet.FabricDomain, reason string) {
	ids := r.candidates(w, f)
	took, loads := r.startupTime(w, ids[:w.Size])
	mark := r.snap.Groups.NextID(r.snap.Scope, r.snap.Term)
	mark.Counter += uint64(r.formed)
	g := &group.Group{
		ID:              group.FormatID(r.snap.Scope, mark),
		Epoch:           1,
		Service:         w.Service,
		Model:           w.Model,
		Version:         w.Version,
		Adapters:        w.Adapters,
		Role:            w.Role,
		Fabric:          f,
		Phase:           group.PhaseActive,
		Scope:           r.snap.Scope,
		Term:            r.snap.Term,
		ServiceRevision: w.Revision,
	}
	g.Members = r.assign(ids[:w.Size])
	g.Spares = r.assign(ids[w.Size : w.Size+r.sparesFor(w, len(ids))])
	r.formed++
	if loads {
		r.startLoad()
	}
	weights := r.weights(w)
	cost := (weights.Downtime + weights.Stranded*float64(accelerators(g.Members))) * took.Seconds()
	r.add(Action{Kind: ActionForm, Service: w.Service, Group: g, Reason: reason, Cost: cost})
}

// sparesFor returns the number of free instances of a domain that a new group may
// reserve as spares without using instances that another missing group needs.
func (r *round) sparesFor(w *Wanted, free int) int {
	spares := min(w.Spares, w.Size-1, free-w.Size)
	if further := w.Groups - r.retainedGroups(w) - 1; further > 0 {
		fit := min(further, (free-w.Size)/w.Size)
		spares = min(spares, free-w.Size-fit*w.Size)
	}
	return max(spares, 0)
}

// assign removes the instances from the free ones and returns them as members.
func (r *round) assign(ids []fleet.InstanceID) []group.Member {
	var members []group.Member
	for _, id := range ids {
		r.occupy(id)
		members = append(members, r.member(id))
	}
	return members
}
