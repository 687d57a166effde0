package placement

import (
	"fmt"
	"maps"
	"math"
	"slices"

	"carawayproxy.example/caraway/internal/fleet"
	"carawayproxy.example/caraway/internal/group"
)

// stays reports whether a group shall stay as it is: it is wanted, takes
// requests, no member is leaving and none slows it down for too long.
func (r *round) stays(c *condition) bool {
	return c.want != nil && !c.draining() && !c.leaving && !r.tooSlow(c)
}

// tooSlow reports whether a straggler costs a group more than its replacement.
func (r *round) tooSlow(c *condition) bool {
	if !c.slow || c.want == nil || r.policy.Choice == ChooseWait {
		return false
	}
	if r.policy.Choice == ChooseRebuild {
		return true
	}
	w := r.weights(c.want)
	bearing := (1 - r.policy.StragglerShare) * w.Downtime * r.policy.StragglerStay.Seconds()
	return bearing > r.policy.Hysteresis*r.reloadCost(c)
}

// endDrained dissolves the draining groups that have nothing left to do.
func (r *round) endDrained() {
	for _, c := range r.groups {
		if !c.draining() {
			continue
		}
		drained := r.now.Sub(c.hist.drainSince)
		switch {
		case drained >= r.policy.DrainBound:
			r.renewOrDissolve(c, "its drain has reached its bound")
		case drained >= r.policy.DrainSettle && r.snap.InFlight[c.group.ID] == 0:
			r.renewOrDissolve(c, "it is drained")
		}
	}
}

// renewOrDissolve ends a drained group. One that is still needed and was
// drained for some of its members only gets substitutes for those: the others
// keep their weights.
func (r *round) renewOrDissolve(c *condition, reason string) {
	needed := c.want != nil && r.standing(c.want) < c.want.Groups && !r.held(c.want) && r.canLoad()
	c.lost = r.unfit(c)
	if needed && len(c.lost) > 0 && len(c.lost) < len(c.composition) {
		if subs := r.substitutes(c); subs != nil {
			r.substituteWay(c, ActionRepair, subs).do()
			return
		}
	}
	r.dissolve(c, reason)
}

// unfit lists the ranks whose instance would get no place now.
func (r *round) unfit(c *condition) []int {
	var ranks []int
	for rank, m := range c.composition {
		st, known := r.snap.Instances[m.Instance]
		if !known || !r.usable(m.Instance, st) {
			ranks = append(ranks, rank)
		}
	}
	return ranks
}

// drainLeaving drains the groups that have a leaving member: they get no new
// requests anyhow.
func (r *round) drainLeaving() {
	for _, c := range r.groups {
		if c.leaving && !c.draining() {
			r.drain(c, "a member is leaving")
		}
	}
}

// turnOver drains groups that shall not stay, as far as new groups have taken
// their place or room must be made for them.
func (r *round) turnOver() {
	for _, s := range r.services() {
		r.turnOverService(s)
	}
}

// services lists the services of the scope in the order of the snapshot, and
// those that are wanted no more.
func (r *round) services() []fleet.ServiceName {
	var names []fleet.ServiceName
	seen := map[fleet.ServiceName]bool{}
	for _, w := range r.snap.Wanted {
		if !seen[w.Service] {
			names = append(names, w.Service)
			seen[w.Service] = true
		}
	}
	for _, c := range r.groups {
		if s := c.group.Service; !seen[s] {
			names = append(names, s)
			seen[s] = true
		}
	}
	return names
}

func (r *round) turnOverService(s fleet.ServiceName) {
	wanted := r.wantedGroups(s)
	if wanted == 0 && r.snap.Revision == 0 {
		return
	}
	out, spare := r.unavailable(s), r.wholeGroups(s)-wanted
	room := r.mayBeOut(s, wanted) - out
	for _, c := range r.leastUseful(s) {
		switch {
		case wanted == 0:
			r.drain(c, "the service is wanted no more")
		case !c.whole:
			r.drain(c, r.whyReplaced(c))
		case spare > 0:
			r.drain(c, r.whyReplaced(c))
			spare--
		case room > 0 && r.needsRoom(s):
			r.drain(c, r.whyReplaced(c)+", to make room")
			room--
		}
	}
}

// mayBeOut is how many groups of a service a rollout may take out at once: one
// until the first group of each version wanted has become whole.
func (r *round) mayBeOut(s fleet.ServiceName, wanted int) int {
	for i := range r.snap.Wanted {
		w := &r.snap.Wanted[i]
		proved := func(c *condition) bool { return c.want == w && c.whole }
		if w.Service == s && w.Groups > 0 && !slices.ContainsFunc(r.groups, proved) {
			return 1
		}
	}
	return int(math.Ceil(r.policy.MaxUnavailable * float64(wanted)))
}

// wantedGroups counts the groups that a service wants in all.
func (r *round) wantedGroups(s fleet.ServiceName) int {
	n := 0
	for i := range r.snap.Wanted {
		if r.snap.Wanted[i].Service == s {
			n += r.snap.Wanted[i].Groups
		}
	}
	return n
}

// wholeGroups counts the groups that serve and take requests.
func (r *round) wholeGroups(s fleet.ServiceName) int {
	n := 0
	for _, c := range r.groups {
		if c.group.Service == s && c.whole && !c.draining() {
			n++
		}
	}
	return n
}

// unavailable counts the groups of a service that are on their way out or in.
func (r *round) unavailable(s fleet.ServiceName) int {
	n := 0
	for _, c := range r.groups {
		if c.group.Service == s && (c.draining() || !c.whole) {
			n++
		}
	}
	for _, a := range r.actions {
		if a.Service == s && a.Kind == ActionForm {
			n++
		}
	}
	return n
}

// needsRoom reports whether a version of the service is short of groups, may
// be loaded and has no fabric domain with room for one more.
func (r *round) needsRoom(s fleet.ServiceName) bool {
	for i := range r.snap.Wanted {
		w := &r.snap.Wanted[i]
		if w.Service != s || r.held(w) || r.standing(w) >= w.Groups {
			continue
		}
		if r.canLoad() && len(r.domainsWithRoom(w)) == 0 {
			return true
		}
	}
	return false
}

// leastUseful lists the groups of a service that shall not stay, and those
// beyond the number wanted, broken ones first.
func (r *round) leastUseful(s fleet.ServiceName) []*condition {
	var whole, rest []*condition
	excess := r.excess()
	gives := r.givers(excess)
	for _, c := range r.byRoom(excess) {
		if c.group.Service != s || c.draining() || c.leaving {
			continue
		}
		if r.stays(c) {
			if excess[c.want] <= 0 || r.nearOnly() && !gives[c] {
				continue
			}
			excess[c.want]--
		}
		if c.whole {
			whole = append(whole, c)
		} else {
			rest = append(rest, c)
		}
	}
	return append(rest, whole...)
}

// excess counts the groups of each kind beyond the number wanted.
func (r *round) excess() map[*Wanted]int {
	excess := map[*Wanted]int{}
	for i := range r.snap.Wanted {
		w := &r.snap.Wanted[i]
		excess[w] = r.standing(w) - w.Groups
	}
	return excess
}

// byRoom lists the groups in the order in which they are taken apart when there
// are too many: those first whose members make room in their fabric domain for
// a group that is missing, then the latest.
func (r *round) byRoom(excess map[*Wanted]int) []*condition {
	groups := slices.Clone(r.groups)
	slices.Reverse(groups)
	makesRoom := func(c *condition) bool {
		for w, n := range excess {
			free := len(r.roomFor(w, c.group.Fabric))
			if n < 0 && c.want != w && free < w.Size && r.nearIn(w, c.group.Fabric)+len(c.composition) >= w.Size {
				return true
			}
		}
		return false
	}
	slices.SortStableFunc(groups, func(a, b *condition) int {
		switch roomA, roomB := makesRoom(a), makesRoom(b); {
		case roomA == roomB:
			return 0
		case roomA:
			return -1
		default:
			return 1
		}
	})
	return groups
}

// givers picks the groups whose engines make up a group that another service is
// missing: the fewest of one fabric domain that do, beside the engines that are
// free there. Where none do, nothing is taken apart.
func (r *round) givers(excess map[*Wanted]int) map[*condition]bool {
	var best []*condition
	for w, n := range excess {
		if n >= 0 {
			continue
		}
		for f := range r.domains() {
			given := r.giversIn(w, f, excess)
			if len(given) > 0 && (best == nil || len(given) < len(best) || len(given) == len(best) && given[0].group.ID < best[0].group.ID) {
				best = given
			}
		}
	}
	gives := map[*condition]bool{}
	for _, c := range best {
		gives[c] = true
	}
	return gives
}

// domains are the fabric domains of the groups.
func (r *round) domains() map[fleet.FabricDomain]bool {
	domains := map[fleet.FabricDomain]bool{}
	for _, c := range r.groups {
		domains[c.group.Fabric] = true
	}
	return domains
}

// giversIn lists the groups of one fabric domain that make up a missing group,
// none when they can't.
func (r *round) giversIn(w *Wanted, f fleet.FabricDomain, excess map[*Wanted]int) []*condition {
	have := r.nearIn(w, f)
	left := maps.Clone(excess)
	var given []*condition
	for _, c := range slices.Backward(r.groups) {
		if have >= w.Size {
			break
		}
		if c.group.Fabric != f || c.want == nil || left[c.want] <= 0 || !c.whole || !r.stays(c) {
			continue
		}
		near := 0
		for _, m := range c.composition {
			if _, ok := r.snap.Instances[m.Instance].LocalLoadTimes[w.Model]; ok {
				near++
			}
		}
		if near == 0 {
			continue
		}
		left[c.want]--
		have += near
		given = append(given, c)
	}
	if have < w.Size {
		return nil
	}
	return given
}

// whyReplaced says why a group shall not stay.
func (r *round) whyReplaced(c *condition) string {
	switch {
	case c.want == nil:
		return "another version is wanted"
	case c.slow:
		return "a member is slow"
	}
	return "there are more groups than wanted"
}

func (r *round) drain(c *condition, reason string) {
	for _, a := range r.actions {
		if a.Group != nil && a.Group.ID == c.group.ID {
			return
		}
	}
	r.add(Action{Kind: ActionDrain, Service: c.group.Service, Group: c.group, Reason: reason})
}

// halt says that a rollout has stopped.
func (r *round) halt(w *Wanted) {
	reason := fmt.Sprintf("%d loads of version %s failed in a row", r.hist.version(w).failures, w.Version)
	target := &group.Group{Service: w.Service, Model: w.Model, Version: w.Version, Adapters: w.Adapters, Role: w.Role, Scope: r.snap.Scope}
	r.add(Action{Kind: ActionHalt, Service: w.Service, Group: target, Reason: reason})
}
