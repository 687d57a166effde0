package placement

import (
	"cmp"
	"maps"
	"slices"

	"carawayproxy.example/caraway/internal/fleet"
	"carawayproxy.example/caraway/internal/group"
)

// pendingGroup is a group with members that are still to be ordered into it.
type pendingGroup struct {
	id      fleet.GroupID
	lost    int // members that are not alive
	toOrder int // members to be ordered
}

// AdmitOrders returns the groups of the scope whose members may be ordered
// now. Groups that all return at once, as after a dark fabric domain, would
// share the weight store and all be late; so only maxLoads groups load at a
// time, those that lack no member and load the least first.
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

// examineOrders finds the members still to be ordered, and whether some of the
// group's engines are loading.
func examineOrders(g *group.Group, r aliveReports) (p pendingGroup, loads bool) {
	p.id = g.ID
	for _, m := range group.Compose(g, r) {
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
