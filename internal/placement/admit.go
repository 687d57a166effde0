package placement

import (
	"cmp"
	"maps"
	"slices"

	"carawayproxy.example/caraway/internal/fleet"
	"carawayproxy.example/caraway/internal/group"
)

// pendingGroup is a group with members that still need an order to join it.
type pendingGroup struct {
	id      fleet.GroupID
	lost    int // members that are not alive
	toOrder int // members that still need an order
}

// AdmitOrders returns the groups of the scope whose members may be sent orders
// now. Groups that return at the same time, such as after the failure of a fabric
// domain, would share the bandwidth of the weight store and all finish late.
// Therefore at most maxLoads groups load at a time: groups without lost members
// first, then those with the fewest members to load.
func AdmitOrders(s Snapshot, maxLoads int) map[fleet.GroupID]bool {
	admitted := map[fleet.GroupID]bool{}
	var pending []pendingGroup
	loading := 0
	for _, id := range slices.Sorted(maps.Keys(s.Groups.Groups)) {
		g := s.Groups.Groups[id]
		if g.Scope != s.Scope {
			continue
		}
		p, loads := examineOrders(g, aliveReports(s.Instances))
		switch {
		case loads:
			loading++
			admitted[id] = true
		case p.toOrder == 0:
			admitted[id] = true
		default:
			pending = append(pending, p)
		}
	}
	slices.SortStableFunc(pending, func(a, b pendingGroup) int {
		return cmp.Or(cmp.Compare(a.lost, b.lost), cmp.Compare(a.toOrder, b.toOrder))
	})
	for _, p := range pending[:min(len(pending), max(maxLoads-loading, 0))] {
		admitted[p.id] = true
	}
	return admitted
}

// examineOrders counts the lost members of a group and those that still need an
// order, and reports whether any of its engines is loading.
func examineOrders(g *group.Group, r aliveReports) (p pendingGroup, loads bool) {
	p.id = g.ID
	for _, m := range group.ReportedComposition(g, r) {
		rep, alive := r.Report(m.Instance)
		a := rep.Assignment
		switch {
		case !alive:
			p.lost++
		case a == nil || a.Group != g.ID || a.Epoch != g.Epoch:
			p.toOrder++
		case !rep.Ready:
			loads = true
		}
	}
	return p, loads
}
