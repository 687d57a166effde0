package placement

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"carawayproxy.example/caraway/internal/fleet"
	"carawayproxy.example/caraway/internal/group"
)

// repairBroken decides about each broken group that is still wanted, those
// with the fewest lost members first.
func (r *round) repairBroken() {
	var broken []*condition
	for _, c := range r.groups {
		switch {
		case !c.broken() || c.want == nil || c.draining():
		case r.unseen(c):
			r.wait(c, "members that nothing is known of may come back")
		default:
			broken = append(broken, c)
		}
	}
	slices.SortStableFunc(broken, func(a, b *condition) int { return cmp.Compare(len(a.lost), len(b.lost)) })
	for at, c := range broken {
		if r.given[c] {
			continue
		}
		if !r.snap.LogDown {
			r.findDonor(c, broken[at+1:])
		}
		r.treat(c, broken)
	}
}

// way is one way to treat a broken group.
type way struct {
	kind   ActionKind
	cost   float64
	reason string
	loads  bool // from the weight store
	do     func()
}

// treat picks and takes one way for a broken group.
func (r *round) treat(c *condition, broken []*condition) {
	if r.stillReached(c) {
		r.wait(c, "lost members may still serve others")
		return
	}
	if r.nearOnly() && !r.snap.LogDown && r.substitutes(c) == nil {
		if !r.borrow(c) {
			r.dissolve(c, "nothing in its fabric domain can complete it soon")
		}
		return
	}
	ways := r.openWays(c, broken)
	best := r.choose(c, ways)
	if (best.loads || r.substitutes(c) == nil) && best.kind != ActionDissolve && r.borrow(c) {
		return
	}
	first := len(r.actions)
	best.do()
	for i := first; i < len(r.actions); i++ {
		a := &r.actions[i]
		a.Cost = best.cost
		a.Rejected = alternatives(ways, best)
	}
}

// unseen reports whether a group that was taken over has members of which nothing
// is known yet.
func (r *round) unseen(c *condition) bool {
	unknown := slices.ContainsFunc(c.composition, func(m group.Member) bool { return m.Instance == "" })
	return unknown && r.now.Sub(c.hist.brokenSince) < r.policy.UnseenSettle
}

// stillReached reports whether requests in flight show that other daemons may
// reach all members of a group that has only just lost one here.
func (r *round) stillReached(c *condition) bool {
	inFlight := r.snap.InFlight[c.group.ID] > 0
	return inFlight && r.now.Sub(c.hist.brokenSince) < r.policy.BrokenSettle
}

// openWays lists the ways that are open besides waiting, with their costs.
func (r *round) openWays(c *condition, broken []*condition) []way {
	if r.snap.LogDown {
		return r.waysWithoutLog(c)
	}
	ways := []way{{}}
	if subs := r.substitutes(c); subs != nil {
		ways = append(ways, r.substituteWay(c, ActionRepair, subs))
	}
	if f, ok := r.roomElsewhere(c); ok {
		ways = append(ways, r.moveWay(c, f))
	}
	ways = append(ways, r.dissolveWay(c, broken))
	cheapest := never
	for _, w := range ways[1:] {
		cheapest = min(cheapest, w.cost)
	}
	ways[0] = r.waitWay(c, cheapest)
	return ways
}

// waysWithoutLog is openWays while the log is down. A promotion goes on waiting
// for the lost members, so waiting for a while before it is not weighed.
func (r *round) waysWithoutLog(c *condition) []way {
	ways := []way{r.waitWay(c, never)}
	if subs := r.spareSubstitutes(c); subs != nil {
		ways = append(ways, r.promoteWay(c, subs))
	}
	return ways
}

// choose picks a way by the policy's choice.
func (r *round) choose(c *condition, ways []way) way {
	wait, best := ways[0], ways[0]
	switch {
	case len(ways) == 1:
	case r.policy.Choice == ChooseRebuild, r.policy.Choice == ChooseWait && r.lostForGood(c):
		best = ways[1]
	case r.policy.Choice == ChooseWait:
	default:
		best = slices.MinFunc(ways, func(a, b way) int { return cmp.Compare(a.cost, b.cost) })
	}
	if best.loads && !r.canLoad() {
		wait.reason = "the weight store has no room"
		return r.plainWait(c, wait)
	}
	return best
}

// rate is the cost of one second of a broken group whose healthy accelerators
// are kept for it.
func (r *round) rate(c *condition) float64 {
	w := r.weights(c.want)
	return w.Downtime + w.Stranded*float64(c.healthy)
}

// reloadCost is what a group costs while it loads with all its members.
func (r *round) reloadCost(c *condition) float64 {
	w := r.weights(c.want)
	all := float64(accelerators(c.composition))
	return (w.Downtime + w.Stranded*all) * r.loadTime(c.want).Seconds()
}

// outlook is what is expected of the return of a group's lost members.
func (r *round) outlook(c *condition) outlook {
	elapsed := r.now.Sub(c.hist.brokenSince)
	if r.dark[c.group.Fabric] {
		return outlook{elapsed: elapsed, classes: []ReturnClass{
			{Share: 0.5, Mean: r.policy.DomainReturn},
			{Share: 0.5, Mean: r.policy.DomainReturn, Reload: true},
		}}
	}
	if r.lostForGood(c) {
		return outlook{elapsed: elapsed, classes: []ReturnClass{{Share: 1, Mean: r.policy.Replacement, Reload: true}}}
	}
	classes := r.hist.classes(r.policy)
	for i := range classes {
		classes[i].Mean = time.Duration(float64(classes[i].Mean) * lastOf(len(c.lost)))
	}
	return outlook{elapsed: elapsed, classes: classes}
}

// lostForGood reports whether the platform has taken a lost member off its
// list.
func (r *round) lostForGood(c *condition) bool {
	return slices.ContainsFunc(lostOf(c), func(m group.Member) bool {
		return !r.snap.Instances[m.Instance].Listed
	})
}

// lastOf is how much longer the last of n returns takes than one.
func lastOf(n int) float64 {
	sum := 0.0
	for i := 1; i <= n; i++ {
		sum += 1 / float64(i)
	}
	return sum
}

func (r *round) waitWay(c *condition, fallback float64) way {
	cost := r.outlook(c).wait(r.rate(c), r.reloadCost(c), fallback)
	cost += r.relapse(c)
	return r.plainWait(c, way{kind: ActionWait, cost: cost, reason: names(lostOf(c)) + " expected back"})
}

// relapse is the expected cost of losing a flapping member again.
func (r *round) relapse(c *condition) float64 {
	cost := 0.0
	for _, rank := range c.lost {
		ih := r.hist.instance(c.composition[rank].Instance, r.now)
		if n := ih.recentLosses(r.policy.FlapWindow, r.now); n >= r.policy.FlapCount {
			cost += float64(n) * r.reloadCost(c)
		}
	}
	return cost
}

func (r *round) plainWait(c *condition, w way) way {
	w.do = func() { r.wait(c, "%s", w.reason) }
	return w
}

// substitutes picks an instance of the same fabric domain for each lost rank,
// reserved spares first; nil when there are too few.
func (r *round) substitutes(c *condition) []group.Member {
	subs := r.usableSpares(c)
	free := r.freeIn(c.want.Pool, c.group.Fabric, c.want.Model)
	if r.nearOnly() {
		free = r.dropFar(free, c.want.Model)
	}
	for _, id := range free {
		subs = append(subs, r.member(id))
	}
	for _, m := range lostOf(c) {
		if st := r.snap.Instances[m.Instance]; st.Ejected && r.usable(m.Instance, st) {
			subs = append(subs, r.member(m.Instance))
		}
	}
	return firstOf(subs, len(c.lost))
}

// spareSubstitutes is substitutes with reserved spares alone.
func (r *round) spareSubstitutes(c *condition) []group.Member {
	return firstOf(r.usableSpares(c), len(c.lost))
}

func firstOf(subs []group.Member, n int) []group.Member {
	if len(subs) < n {
		return nil
	}
	return subs[:n:n]
}

// usableSpares are the group's instances outside its composition that could
// take a rank.
func (r *round) usableSpares(c *condition) []group.Member {
	var spares []group.Member
	for m := range c.group.All() {
		st, known := r.snap.Instances[m.Instance]
		inUse := slices.ContainsFunc(c.composition, func(o group.Member) bool { return o.Instance == m.Instance })
		if known && !inUse && r.usable(m.Instance, st) {
			spares = append(spares, m)
		}
	}
	return spares
}

// substituteWay replaces the lost members, by a new epoch or by promotion.
func (r *round) substituteWay(c *condition, kind ActionKind, subs []group.Member) way {
	w := r.weights(c.want)
	idle := float64(c.healthy + accelerators(subs))
	took, loads := r.timeFor(c.want, instances(subs))
	cost := (w.Downtime + w.Stranded*idle) * took.Seconds()
	reason := fmt.Sprintf("%s replaces %s", names(subs), names(lostOf(c)))
	return way{kind: kind, cost: cost, reason: reason, loads: loads, do: func() {
		if loads {
			r.startLoad()
		}
		r.add(Action{
			Kind:     kind,
			Service:  c.group.Service,
			Replaces: instances(lostOf(c)),
			Group:    r.substitute(c, kind, subs),
			Reason:   reason,
		})
	}}
}

// substitute makes the group with the lost members replaced. A promotion keeps
// the epoch and all of the record's instances; a repair keeps the usable ones.
func (r *round) substitute(c *condition, kind ActionKind, subs []group.Member) *group.Group {
	g := *c.group
	g.Members = slices.Clone(c.composition)
	for i, rank := range c.lost {
		g.Members[rank] = subs[i]
		r.occupy(subs[i].Instance)
	}
	g.Spares = nil
	rest := r.usableSpares(c)
	if kind == ActionPromote {
		rest = slices.Collect(c.group.All())
	} else {
		g.Epoch++
		g.Term, g.Phase = r.snap.Term, group.PhaseActive
		g.ServiceRevision = c.want.Revision
	}
	for _, m := range rest {
		inUse := slices.ContainsFunc(g.Members, func(o group.Member) bool { return o.Instance == m.Instance })
		if !inUse {
			g.Spares = append(g.Spares, m)
		}
	}
	return &g
}

// roomElsewhere finds another fabric domain with room for the whole group.
func (r *round) roomElsewhere(c *condition) (fleet.FabricDomain, bool) {
	for _, f := range r.domainsWithRoom(c.want) {
		if f != c.group.Fabric {
			return f, true
		}
	}
	return "", false
}

// moveWay forms the group anew in another fabric domain.
func (r *round) moveWay(c *condition, f fleet.FabricDomain) way {
	took, loads := r.timeFor(c.want, r.roomFor(c.want, f)[:c.want.Size])
	w := r.weights(c.want)
	cost := (w.Downtime + w.Stranded*float64(accelerators(c.composition))) * took.Seconds() * r.policy.Hysteresis
	reason := fmt.Sprintf("moves from fabric domain %s to %s", c.group.Fabric, f)
	return way{kind: ActionForm, cost: cost, reason: reason, loads: loads, do: func() {
		r.form(c.want, f, reason)
		r.dissolve(c, reason)
	}}
}

// dissolveWay frees the healthy members at once; the group is formed again
// when there are enough free instances. It is worth more when another broken
// group of the same fabric domain can be repaired with them.
func (r *round) dissolveWay(c *condition, broken []*condition) way {
	w := r.weights(c.want)
	cost := w.Downtime*r.outlook(c).mean().Seconds() + r.reloadCost(c)
	reason := "its instances are of more use free"
	if other := r.needier(c, broken); other != nil {
		gain := r.rate(other)*r.outlook(other).mean().Seconds() - r.reloadCost(other)
		cost -= math.Max(gain, 0)
		reason = "its instances can repair " + string(other.group.ID)
	}
	return way{kind: ActionDissolve, cost: cost, reason: reason, do: func() { r.dissolve(c, reason) }}
}

// needier returns another broken group of the same service and fabric domain
// that the healthy members of this one could repair and that has no other
// substitutes. Of two such groups the one with the larger id gives way.
func (r *round) needier(c *condition, broken []*condition) *condition {
	for _, o := range broken {
		same := o.group.Service == c.group.Service && o.group.Fabric == c.group.Fabric
		if !same || o.group.ID >= c.group.ID || len(o.lost) > len(c.composition)-len(c.lost) {
			continue
		}
		if r.substitutes(o) == nil {
			return o
		}
	}
	return nil
}

// dissolve frees the instances of a group.
func (r *round) dissolve(c *condition, reason string) {
	r.add(Action{Kind: ActionDissolve, Service: c.group.Service, Group: c.group, Reason: reason})
}

func lostOf(c *condition) []group.Member {
	var lost []group.Member
	for _, rank := range c.lost {
		lost = append(lost, c.composition[rank])
	}
	return lost
}

func alternatives(ways []way, best way) []Alternative {
	var rejected []Alternative
	for _, w := range ways {
		if w.kind != best.kind {
			rejected = append(rejected, Alternative{Kind: w.kind, Cost: w.cost})
		}
	}
	return rejected
}

func accelerators(members []group.Member) uint32 {
	n := uint32(0)
	for _, m := range members {
		n += m.Accelerators
	}
	return n
}

func instances(members []group.Member) []fleet.InstanceID {
	var ids []fleet.InstanceID
	for _, m := range members {
		ids = append(ids, m.Instance)
	}
	return ids
}

// names lists instances on one line, at most three of them.
func names(members []group.Member) string {
	const most = 3
	if len(members) > most {
		return fmt.Sprintf("%v and %d more", instances(members[:most]), len(members)-most)
	}
	return fmt.Sprint(instances(members))
}
