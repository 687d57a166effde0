package placement

import (
	"math"
	"slices"
	"time"

	"carawayproxy.example/caraway/internal/group"
)

// promoteWay replaces lost members by reserved spares without a record. The
// lost members are waited for meanwhile: if they return with their weights
// before the spares have loaded, the promotion is undone. The spares have no
// other use while the log is down, so they are not counted as idle.
func (r *round) promoteOption(c *groupState, subs []group.Member) option {
	w := r.substituteOption(c, ActionPromote, subs)
	w.cost = r.costPerSecond(c) * r.returnEstimate(c).expectedWithin(r.loadTime(c.wanted)).Seconds()
	return w
}

// until returns the expected time to a return with the weights, at most limit.
func (o returnEstimate) expectedWithin(limit time.Duration) time.Duration {
	expected := 0.0
	for _, c := range o.posterior() {
		t := float64(limit)
		if !c.Reload {
			t = float64(c.Mean) * (1 - math.Exp(-ratio(limit, c.Mean)))
		}
		expected += c.Share * t
	}
	return time.Duration(expected)
}

// undoPromotions puts the record's members back into the groups whose spares
// still load, where all of those members hold their weights.
func (r *round) undoPromotions() {
	if r.policy.Choice != ChooseByCost {
		return
	}
	for _, c := range r.groups {
		if c.wanted == nil || c.draining() || !c.loading() || sameMembers(c.composition, c.group.Members) {
			continue
		}
		if r.haveWeights(c.group) {
			r.undoPromotion(c)
		}
	}
}

func (r *round) undoPromotion(c *groupState) {
	isMember := func(m group.Member) bool {
		return slices.ContainsFunc(c.group.Members, func(o group.Member) bool { return o.Instance == m.Instance })
	}
	spares := slices.DeleteFunc(slices.Clone(c.composition), isMember)
	r.add(Action{
		Kind:     ActionPromote,
		Service:  c.group.Service,
		Replaces: instanceIDs(spares),
		Group:    c.group,
		Reason:   "its members are back before " + formatInstances(spares) + " loaded",
	})
}

// haveWeights reports whether every member of a group's record is there to
// stay and is ready in this group at this epoch, in whatever composition.
func (r *round) haveWeights(g *group.Group) bool {
	for _, m := range g.Members {
		st := r.snap.Instances[m.Instance]
		a := st.Report.Assignment
		in := a != nil && a.Group == g.ID && a.Epoch == g.Epoch && a.Version == g.Version
		if !in || !st.Report.Ready || !r.isUsable(m.Instance, st) {
			return false
		}
	}
	return true
}

func sameMembers(a, b []group.Member) bool {
	return slices.EqualFunc(a, b, func(x, y group.Member) bool { return x.Instance == y.Instance })
}
