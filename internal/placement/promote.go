package placement

import (
	"math"
	"slices"
	"time"

	"carawayproxy.example/caraway/internal/group"
)

// promoteOption replaces lost members with reserved spares without a log record.
// The group keeps waiting for the lost members: if they return with their weights
// before the spares have loaded, the promotion is undone. The spares can't be used
// otherwise while the log is down, so they are not counted as idle.
func (r *round) promoteOption(c *groupState, subs []group.Member) option {
	o := r.substituteOption(c, ActionPromote, subs)
	o.cost = r.costPerSecond(c) * r.returnEstimate(c).expectedWithin(r.loadTime(c.wanted)).Seconds()
	return o
}

// expectedWithin returns the expected time until a return with the weights,
// capped at limit.
func (e returnEstimate) expectedWithin(limit time.Duration) time.Duration {
	expected := 0.0
	for _, c := range e.posterior() {
		t := float64(limit)
		if !c.Reload {
			t = float64(c.Mean) * (1 - math.Exp(-ratio(limit, c.Mean)))
		}
		expected += c.Share * t
	}
	return time.Duration(expected)
}

// undoPromotions restores the recorded members of groups whose promoted spares are
// still loading, if all of those members still hold their weights.
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
		Reason:   "its members returned before " + formatInstances(spares) + " loaded",
	})
}

// haveWeights reports whether every recorded member of a group is usable and
// ready in this group and epoch, in any composition.
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
