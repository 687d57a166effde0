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
func (r *round) shouldKeep(c *groupState) bool {
	return c.wanted != nil && !c.draining() && !c.leaving && !r.shouldReplaceSlow(c)
}

// tooSlow reports whether a straggler costs a group more than its replacement.
func (r *round) shouldReplaceSlow(c *groupState) bool {
	if !c.slow || c.wanted == nil || r.policy.Choice == ChooseWait {
		return false
	}
	if r.policy.Choice == ChooseRebuild {
		return true
	}
	w := r.weights(c.wanted)
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
			r.repairOrDissolve(c, "its drain has reached its bound")
		case drained >= r.policy.DrainSettle && r.snap.InFlight[c.group.ID] == 0:
			r.repairOrDissolve(c, "it is drained")
		}
	}
}

// renewOrDissolve ends a drained group. One that is still needed and was
// drained for some of its members only gets substitutes for those: the others
// keep their weights.
func (r *round) repairOrDissolve(c *groupState, reason string) {
	needed := c.wanted != nil && r.retainedGroups(c.wanted) < c.wanted.Groups && !r.isLoadBlocked(c.wanted) && r.canLoad()
	c.lost = r.unusableRanks(c)
	if needed && len(c.lost) > 0 && len(c.lost) < len(c.composition) {
		if subs := r.substitutes(c); subs != nil {
			r.substituteOption(c, ActionRepair, subs).do()
			return
		}
	}
	r.dissolve(c, reason)
}

// unfit lists the ranks whose instance would get no place now.
func (r *round) unusableRanks(c *groupState) []int {
	var ranks []int
	for rank, m := range c.composition {
		st, known := r.snap.Instances[m.Instance]
		if !known || !r.isUsable(m.Instance, st) {
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
func (r *round) drainSurplus() {
	for _, s := range r.services() {
		r.drainSurplusOf(s)
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

func (r *round) drainSurplusOf(s fleet.ServiceName) {
	wanted := r.wantedGroups(s)
	if wanted == 0 && r.snap.Revision == 0 {
		return
	}
	out, spare := r.unavailableGroups(s), r.wholeGroups(s)-wanted
	room := r.maxUnavailable(s, wanted) - out
	for _, c := range r.removalCandidates(s) {
		switch {
		case wanted == 0:
			r.drain(c, "the service is wanted no more")
		case !c.whole:
			r.drain(c, r.removalReason(c))
		case spare > 0:
			r.drain(c, r.removalReason(c))
			spare--
		case room > 0 && r.needsRoom(s):
			r.drain(c, r.removalReason(c)+", to make room")
			room--
		}
	}
}

// mayBeOut is how many groups of a service a rollout may take out at once: one
// until the first group of each version wanted has become whole.
func (r *round) maxUnavailable(s fleet.ServiceName, wanted int) int {
	for i := range r.snap.Wanted {
		w := &r.snap.Wanted[i]
		proved := func(c *groupState) bool { return c.wanted == w && c.whole }
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
func (r *round) unavailableGroups(s fleet.ServiceName) int {
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
		if w.Service != s || r.isLoadBlocked(w) || r.retainedGroups(w) >= w.Groups {
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
func (r *round) removalCandidates(s fleet.ServiceName) []*groupState {
	var whole, rest []*groupState
	excess := r.excess()
	gives := r.donors(excess)
	for _, c := range r.byRemovalOrder(excess) {
		if c.group.Service != s || c.draining() || c.leaving {
			continue
		}
		if r.shouldKeep(c) {
			if excess[c.wanted] <= 0 || r.localOnly() && !gives[c] {
				continue
			}
			excess[c.wanted]--
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
		excess[w] = r.retainedGroups(w) - w.Groups
	}
	return excess
}

// byRoom lists the groups in the order in which they are taken apart when there
// are too many: those first whose members make room in their fabric domain for
// a group that is missing, then the latest.
func (r *round) byRemovalOrder(excess map[*Wanted]int) []*groupState {
	groups := slices.Clone(r.groups)
	slices.Reverse(groups)
	makesRoom := func(c *groupState) bool {
		for w, n := range excess {
			free := len(r.candidates(w, c.group.Fabric))
			if n < 0 && c.wanted != w && free < w.Size && r.countWithModel(w, c.group.Fabric)+len(c.composition) >= w.Size {
				return true
			}
		}
		return false
	}
	slices.SortStableFunc(groups, func(a, b *groupState) int {
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
func (r *round) donors(excess map[*Wanted]int) map[*groupState]bool {
	var best []*groupState
	for w, n := range excess {
		if n >= 0 {
			continue
		}
		for f := range r.domains() {
			given := r.donorsIn(w, f, excess)
			if len(given) > 0 && (best == nil || len(given) < len(best) || len(given) == len(best) && given[0].group.ID < best[0].group.ID) {
				best = given
			}
		}
	}
	gives := map[*groupState]bool{}
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
func (r *round) donorsIn(w *Wanted, f fleet.FabricDomain, excess map[*Wanted]int) []*groupState {
	have := r.countWithModel(w, f)
	left := maps.Clone(excess)
	var given []*groupState
	for _, c := range slices.Backward(r.groups) {
		if have >= w.Size {
			break
		}
		if c.group.Fabric != f || c.wanted == nil || left[c.wanted] <= 0 || !c.whole || !r.shouldKeep(c) {
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
		left[c.wanted]--
		have += near
		given = append(given, c)
	}
	if have < w.Size {
		return nil
	}
	return given
}

// whyReplaced says why a group shall not stay.
func (r *round) removalReason(c *groupState) string {
	switch {
	case c.wanted == nil:
		return "another version is wanted"
	case c.slow:
		return "a member is slow"
	}
	return "there are more groups than wanted"
}

func (r *round) drain(c *groupState, reason string) {
	for _, a := range r.actions {
		if a.Group != nil && a.Group.ID == c.group.ID {
			return
		}
	}
	r.add(Action{Kind: ActionDrain, Service: c.group.Service, Group: c.group, Reason: reason})
}

// halt says that a rollout has stopped.
func (r *round) reportHalt(w *Wanted) {
	reason := fmt.Sprintf("%d loads of version %s failed in a row", r.hist.version(w).failures, w.Version)
	target := &group.Group{Service: w.Service, Model: w.Model, Version: w.Version, Adapters: w.Adapters, Role: w.Role, Scope: r.snap.Scope}
	r.add(Action{Kind: ActionHalt, Service: w.Service, Group: target, Reason: reason})
}
