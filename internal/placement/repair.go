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

// repairBroken decides on each broken group that is still wanted, starting with
// the groups that have the fewest lost members.
func (r *round) repairBroken() {
	var broken []*groupState
	for _, c := range r.groups {
		switch {
		case !c.broken() || c.wanted == nil || c.draining():
		case r.hasUnknownMembers(c):
			r.wait(c, "members that are not known yet may return")
		case r.mayStillServe(c):
			r.wait(c, "the lost members may be silent, or reached by other daemons")
		default:
			broken = append(broken, c)
		}
	}
	slices.SortStableFunc(broken, func(a, b *groupState) int { return cmp.Compare(len(a.lost), len(b.lost)) })
	for at, c := range broken {
		if r.dissolvedForRepair[c] {
			continue
		}
		if !r.snap.LogDown {
			r.dissolveForRepair(c, broken[at+1:])
		}
		r.repairGroup(c, broken)
	}
}

// option is one way to handle a broken group.
type option struct {
	kind   ActionKind
	cost   float64
	reason string
	loads  bool // whether it loads from the weight store
	do     func()
}

// repairGroup chooses and applies an option for a broken group.
func (r *round) repairGroup(c *groupState, broken []*groupState) {
	if r.localOnly() && !r.snap.LogDown && r.substitutes(c) == nil {
		if !r.preempt(c) {
			r.dissolve(c, "no instance in its fabric domain can complete it soon, "+r.describeDomain(c))
		}
		return
	}
	options := r.repairOptions(c, broken)
	best := r.choose(c, options)
	if (best.loads || r.substitutes(c) == nil) && best.kind != ActionDissolve && r.preempt(c) {
		return
	}
	first := len(r.actions)
	best.do()
	for i := first; i < len(r.actions); i++ {
		a := &r.actions[i]
		a.Cost = best.cost
		a.Rejected = alternatives(options, best)
	}
}

// describeDomain says what the fabric domain of a broken group has that could
// complete it.
func (r *round) describeDomain(c *groupState) string {
	others, withModel := 0, 0
	for _, o := range r.groups {
		if o.group.Fabric != c.group.Fabric || o.group.Service == c.group.Service || !o.whole {
			continue
		}
		others++
		for _, m := range o.composition {
			if _, local := r.snap.Instances[m.Instance].LocalLoadTimes[c.group.Model]; local {
				withModel++
			}
		}
	}
	free := r.freeIn(c.wanted.Pool, c.group.Fabric, c.wanted.Model)
	return fmt.Sprintf("%d of %d members are lost, %d of %d free instances and %d members of %d groups of other services have its model",
		len(c.lost), len(c.composition), r.countWithModel(c.wanted, c.group.Fabric), len(free), withModel, others)
}

// hasUnknownMembers reports whether a group that was taken over from another
// holder has members that are not known yet, and UnknownMemberSettle has not
// passed.
func (r *round) hasUnknownMembers(c *groupState) bool {
	unknown := slices.ContainsFunc(c.composition, func(m group.Member) bool { return m.Instance == "" })
	return unknown && r.now.Sub(c.hist.brokenSince) < r.policy.UnknownMemberSettle
}

// mayStillServe reports whether a group that this daemon found broken within
// BrokenSettle may go on with its requests in flight: other daemons may reach all of
// its members, or its lost members are only silent. One that answered nobody and then
// did not renew its entry is neither.
func (r *round) mayStillServe(c *groupState) bool {
	if r.snap.InFlight[c.group.ID] == 0 || r.now.Sub(c.hist.brokenSince) >= r.policy.BrokenSettle {
		return false
	}
	return !slices.ContainsFunc(lostMembers(c), func(m group.Member) bool {
		st, known := r.snap.Instances[m.Instance]
		return st.Ended || st.Unreachable || st.Ejected || !known && r.hist.instance(m.Instance, r.now).wasLostBeforeRemoval()
	})
}

// repairOptions lists the available options with their costs, waiting first.
func (r *round) repairOptions(c *groupState, broken []*groupState) []option {
	if r.snap.LogDown {
		return r.optionsWithoutLog(c)
	}
	options := []option{{}}
	if subs := r.substitutes(c); subs != nil {
		options = append(options, r.substituteOption(c, ActionRepair, subs))
	}
	if f, ok := r.roomElsewhere(c); ok {
		options = append(options, r.moveOption(c, f))
	}
	options = append(options, r.dissolveOption(c, broken))
	cheapest := unavailable
	for _, o := range options[1:] {
		cheapest = min(cheapest, o.cost)
	}
	options[0] = r.waitOption(c, cheapest)
	return options
}

// optionsWithoutLog is repairOptions while the log is down. A promotion keeps
// waiting for the lost members, so a limited wait before it is not evaluated.
func (r *round) optionsWithoutLog(c *groupState) []option {
	options := []option{r.waitOption(c, unavailable)}
	if subs := r.spareSubstitutes(c); subs != nil {
		options = append(options, r.promoteOption(c, subs))
	}
	return options
}

// choose selects an option according to the policy's Choice.
func (r *round) choose(c *groupState, options []option) option {
	wait, best := options[0], options[0]
	switch {
	case len(options) == 1:
	case r.policy.Choice == ChooseRebuild, r.policy.Choice == ChooseWait && r.hasDelistedMember(c):
		best = options[1]
	case r.policy.Choice == ChooseWait:
	default:
		best = slices.MinFunc(options, func(a, b option) int { return cmp.Compare(a.cost, b.cost) })
	}
	if best.loads && !r.canLoad() {
		wait.reason = "the weight store is at its load limit"
		return r.withWaitAction(c, wait)
	}
	return best
}

// costPerSecond is the cost of one second in which a group is broken and its
// healthy accelerators stay reserved for it.
func (r *round) costPerSecond(c *groupState) float64 {
	w := r.weights(c.wanted)
	return w.Downtime + w.Stranded*float64(c.healthy)
}

// reloadCost is the cost of a group while all of its members load.
func (r *round) reloadCost(c *groupState) float64 {
	w := r.weights(c.wanted)
	all := float64(accelerators(c.composition))
	return (w.Downtime + w.Stranded*all) * r.loadTime(c.wanted).Seconds()
}

// returnEstimate returns the expected return of a group's lost members.
func (r *round) returnEstimate(c *groupState) returnEstimate {
	elapsed := r.now.Sub(c.hist.brokenSince)
	if r.failedDomains[c.group.Fabric] {
		return returnEstimate{elapsed: elapsed, classes: []ReturnClass{
			{Share: 0.5, Mean: r.policy.DomainReturn},
			{Share: 0.5, Mean: r.policy.DomainReturn, Reload: true},
		}}
	}
	if r.hasDelistedMember(c) {
		return returnEstimate{elapsed: elapsed, classes: []ReturnClass{{Share: 1, Mean: r.policy.Replacement, Reload: true}}}
	}
	classes := r.hist.classes(r.policy)
	for i := range classes {
		classes[i].Mean = time.Duration(float64(classes[i].Mean) * lastReturnFactor(len(c.lost)))
	}
	return returnEstimate{elapsed: elapsed, classes: classes}
}

// hasDelistedMember reports whether the platform has removed a lost member from
// its list.
func (r *round) hasDelistedMember(c *groupState) bool {
	return slices.ContainsFunc(lostMembers(c), func(m group.Member) bool {
		return !r.snap.Instances[m.Instance].Listed
	})
}

// lastReturnFactor is the expected time until the last of n returns in units of
// the mean time of one. It is the n-th harmonic number.
func lastReturnFactor(n int) float64 {
	sum := 0.0
	for i := 1; i <= n; i++ {
		sum += 1 / float64(i)
	}
	return sum
}

func (r *round) waitOption(c *groupState, fallback float64) option {
	cost := r.returnEstimate(c).waitCost(r.costPerSecond(c), r.reloadCost(c), fallback)
	cost += r.relapseCost(c)
	return r.withWaitAction(c, option{kind: ActionWait, cost: cost, reason: formatInstances(lostMembers(c)) + " expected back"})
}

// relapseCost is the expected cost of losing a flapping member again.
func (r *round) relapseCost(c *groupState) float64 {
	cost := 0.0
	for _, rank := range c.lost {
		ih := r.hist.instance(c.composition[rank].Instance, r.now)
		if n := ih.recentLosses(r.policy.FlapWindow, r.now); n >= r.policy.FlapCount {
			cost += float64(n) * r.reloadCost(c)
		}
	}
	return cost
}

func (r *round) withWaitAction(c *groupState, o option) option {
	o.do = func() { r.wait(c, "%s", o.reason) }
	return o
}

// substitutes selects an instance of the same fabric domain for each lost rank. It
// returns nil if there are too few.
func (r *round) substitutes(c *groupState) []group.Member {
	return firstN(r.substituteCandidates(c), len(c.lost))
}

// substituteCandidates lists the instances that may take a lost rank: reserved
// spares, then free instances, then members that were ejected.
func (r *round) substituteCandidates(c *groupState) []group.Member {
	subs := r.usableSpares(c)
	free := r.freeIn(c.wanted.Pool, c.group.Fabric, c.wanted.Model)
	if r.localOnly() {
		free = r.keepWithModel(free, c.wanted.Model)
	}
	for _, id := range free {
		subs = append(subs, r.member(id))
	}
	for _, m := range lostMembers(c) {
		if st := r.snap.Instances[m.Instance]; st.Ejected && r.isUsable(m.Instance, st) {
			subs = append(subs, r.member(m.Instance))
		}
	}
	return subs
}

// spareSubstitutes is substitutes restricted to reserved spares.
func (r *round) spareSubstitutes(c *groupState) []group.Member {
	return firstN(r.usableSpares(c), len(c.lost))
}

func firstN(subs []group.Member, n int) []group.Member {
	if len(subs) < n {
		return nil
	}
	return subs[:n:n]
}

// usableSpares returns the group's usable instances that are not in its
// composition.
func (r *round) usableSpares(c *groupState) []group.Member {
	var spares []group.Member
	for m := range c.group.All() {
		st, known := r.snap.Instances[m.Instance]
		inUse := slices.ContainsFunc(c.composition, func(o group.Member) bool { return o.Instance == m.Instance })
		if known && !inUse && r.isUsable(m.Instance, st) {
			spares = append(spares, m)
		}
	}
	return spares
}

// substituteOption replaces the lost members, either by a repair in a new epoch
// or by a promotion.
func (r *round) substituteOption(c *groupState, kind ActionKind, subs []group.Member) option {
	w := r.weights(c.wanted)
	idle := float64(c.healthy + accelerators(subs))
	took, loads := r.startupTime(c.wanted, instanceIDs(subs))
	cost := (w.Downtime + w.Stranded*idle) * took.Seconds()
	reason := fmt.Sprintf("%s replaces %s", formatInstances(subs), formatInstances(lostMembers(c)))
	return option{kind: kind, cost: cost, reason: reason, loads: loads, do: func() {
		if loads {
			r.startLoad()
		}
		r.add(Action{
			Kind:     kind,
			Service:  c.group.Service,
			Replaces: instanceIDs(lostMembers(c)),
			Group:    r.substitute(c, kind, subs),
			Reason:   reason,
		})
	}}
}

// substitute returns the group with its lost members replaced. A promotion keeps
// the epoch and all recorded instances; a repair keeps only the usable ones.
func (r *round) substitute(c *groupState, kind ActionKind, subs []group.Member) *group.Group {
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
		g.ServiceRevision = c.wanted.Revision
	}
	for _, m := range rest {
		inUse := slices.ContainsFunc(g.Members, func(o group.Member) bool { return o.Instance == m.Instance })
		if !inUse {
			g.Spares = append(g.Spares, m)
		}
	}
	return &g
}

// roomElsewhere returns another fabric domain with enough instances for the group.
func (r *round) roomElsewhere(c *groupState) (fleet.FabricDomain, bool) {
	for _, f := range r.domainsWithRoom(c.wanted) {
		if f != c.group.Fabric {
			return f, true
		}
	}
	return "", false
}

// moveOption replaces the group with a new one in another fabric domain.
func (r *round) moveOption(c *groupState, f fleet.FabricDomain) option {
	took, loads := r.startupTime(c.wanted, r.candidates(c.wanted, f)[:c.wanted.Size])
	w := r.weights(c.wanted)
	cost := (w.Downtime + w.Stranded*float64(accelerators(c.composition))) * took.Seconds() * r.policy.Hysteresis
	reason := fmt.Sprintf("moves from fabric domain %s to %s", c.group.Fabric, f)
	return option{kind: ActionForm, cost: cost, reason: reason, loads: loads, do: func() {
		r.form(c.wanted, f, reason)
		r.dissolve(c, reason)
	}}
}

// dissolveOption releases the healthy members immediately. The group is formed
// again once there are enough free instances. The cost is reduced if the members
// can repair another broken group of the same fabric domain.
func (r *round) dissolveOption(c *groupState, broken []*groupState) option {
	w := r.weights(c.wanted)
	cost := w.Downtime*r.returnEstimate(c).meanTime().Seconds() + r.reloadCost(c)
	reason := "its instances are more useful elsewhere"
	if other := r.findRepairable(c, broken); other != nil {
		gain := r.costPerSecond(other)*r.returnEstimate(other).meanTime().Seconds() - r.reloadCost(other)
		cost -= math.Max(gain, 0)
		reason = "its instances can repair " + string(other.group.ID)
	}
	return option{kind: ActionDissolve, cost: cost, reason: reason, do: func() { r.dissolve(c, reason) }}
}

// findRepairable returns another broken group of the same service and fabric domain
// that has no substitutes and that the healthy members of c could repair, nil if
// there is none. Only a group with a smaller id qualifies, so that two such groups
// are not both dissolved for each other.
func (r *round) findRepairable(c *groupState, broken []*groupState) *groupState {
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

// dissolve adds an ActionDissolve for a group.
func (r *round) dissolve(c *groupState, reason string) {
	r.add(Action{Kind: ActionDissolve, Service: c.group.Service, Group: c.group, Reason: reason})
}

func lostMembers(c *groupState) []group.Member {
	var lost []group.Member
	for _, rank := range c.lost {
		lost = append(lost, c.composition[rank])
	}
	return lost
}

func alternatives(options []option, best option) []Alternative {
	var rejected []Alternative
	for _, o := range options {
		if o.kind != best.kind {
			rejected = append(rejected, Alternative{Kind: o.kind, Cost: o.cost})
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

func instanceIDs(members []group.Member) []fleet.InstanceID {
	var ids []fleet.InstanceID
	for _, m := range members {
		ids = append(ids, m.Instance)
	}
	return ids
}

// formatInstances formats at most three instance ids and the number of the others.
func formatInstances(members []group.Member) string {
	const most = 3
	if len(members) > most {
		return fmt.Sprintf("%v and %d more", instanceIDs(members[:most]), len(members)-most)
	}
	return fmt.Sprint(instanceIDs(members))
}
