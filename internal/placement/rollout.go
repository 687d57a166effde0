package placement

import (
	"fmt"
	"maps"
	"math"
	"slices"

	"carawayproxy.example/caraway/internal/fleet"
	"carawayproxy.example/caraway/internal/group"
)

// shouldKeep reports whether a group is to be kept: it is wanted, accepts requests,
// has no leaving member and no straggler that justifies a replacement.
func (r *round) shouldKeep(c *groupState) bool {
	return c.wanted != nil && !c.draining() && !c.leaving && !r.shouldReplaceSlow(c)
}

// shouldReplaceSlow reports whether a straggler costs more than replacing its
// group.
func (r *round) shouldReplaceSlow(c *groupState) bool {
	if !c.slow || c.wanted == nil || r.policy.Choice == ChooseWait {
		return false
	}
	if r.policy.Choice == ChooseRebuild {
		return true
	}
	w := r.weights(c.wanted)
	slowCost := (1 - r.policy.StragglerShare) * w.Downtime * r.policy.StragglerStay.Seconds()
	return slowCost > r.policy.Hysteresis*r.reloadCost(c)
}

// endDrained ends the draining groups that have no requests in flight or have
// reached DrainBound.
func (r *round) endDrained() {
	for _, c := range r.groups {
		if !c.draining() {
			continue
		}
		drained := r.now.Sub(c.hist.drainSince)
		switch {
		case drained >= r.policy.DrainBound:
			r.repairOrDissolve(c, "its drain timeout has expired")
		case drained >= r.policy.DrainSettle && r.snap.InFlight[c.group.ID] == 0:
			r.repairOrDissolve(c, "it is drained")
		}
	}
}

// repairOrDissolve ends a drained group. If the group is still needed and only
// some of its members are unusable, those are replaced and the others keep their
// weights. Otherwise the group is dissolved.
func (r *round) repairOrDissolve(c *groupState, reason string) {
	needed := c.wanted != nil && r.retainedGroups(c.wanted) < c.wanted.Groups && !r.isLoadBlocked(c.wanted) && r.canLoad()
	c.lost = r.unusableRanks(c)
	if needed && len(c.lost) > 0 && len(c.lost) < len(c.composition) {
		if subs := r.substitutes(c); subs != nil {
			r.substituteOption(c, ActionRepair, subs).do()
			return
		}
		if r.localOnly() && r.preempt(c) {
			return
		}
	}
	r.dissolve(c, reason)
}

// unusableRanks lists the ranks whose instance could not be assigned a place now.
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

// drainLeaving drains the groups that have a leaving member. Such groups get no
// new requests in any case. If no free instance can replace the member, a group of
// another service is drained at the same time.
func (r *round) drainLeaving() {
	for _, c := range r.groups {
		if !c.leaving || c.draining() || !r.drain(c, "a member is leaving") {
			continue
		}
		if c.wanted == nil || !r.localOnly() || r.snap.LogDown || r.retainedGroups(c.wanted) >= c.wanted.Groups {
			continue
		}
		if c.lost = r.unusableRanks(c); len(c.lost) < len(c.composition) && r.substitutes(c) == nil {
			r.preempt(c)
		}
	}
}

// drainSurplus drains the groups that are not to be kept, as far as new groups
// have replaced them or capacity is needed for new groups.
func (r *round) drainSurplus() {
	for _, s := range r.services() {
		r.drainSurplusOf(s)
	}
}

// services lists the services of the scope in the order of the snapshot, followed
// by those that are no longer wanted.
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

// drainSurplusOf is drainSurplus for one service.
func (r *round) drainSurplusOf(s fleet.ServiceName) {
	wanted := r.wantedGroups(s)
	if wanted == 0 && r.snap.Revision == 0 {
		return
	}
	unavailable, surplus := r.unavailableGroups(s), r.wholeGroups(s)-wanted
	room := r.maxUnavailable(s, wanted) - unavailable
	for _, c := range r.removalCandidates(s) {
		switch {
		case wanted == 0:
			r.drain(c, "the service is no longer wanted")
		case !c.whole:
			r.drain(c, r.removalReason(c))
		case surplus > 0:
			r.drain(c, r.removalReason(c))
			surplus--
		case room > 0 && r.needsRoom(s):
			r.drain(c, r.removalReason(c)+", to make room")
			room--
		}
	}
}

// maxUnavailable is the number of groups of a service that a rollout may take out
// of service at the same time. It is one until one group of each wanted version
// has become whole.
func (r *round) maxUnavailable(s fleet.ServiceName, wanted int) int {
	for i := range r.snap.Wanted {
		w := &r.snap.Wanted[i]
		isProven := func(c *groupState) bool { return c.wanted == w && c.whole }
		if w.Service == s && w.Groups > 0 && !slices.ContainsFunc(r.groups, isProven) {
			return 1
		}
	}
	return int(math.Ceil(r.policy.MaxUnavailable * float64(wanted)))
}

// wantedGroups returns the total number of groups that a service wants.
func (r *round) wantedGroups(s fleet.ServiceName) int {
	n := 0
	for i := range r.snap.Wanted {
		if r.snap.Wanted[i].Service == s {
			n += r.snap.Wanted[i].Groups
		}
	}
	return n
}

// wholeGroups counts the groups that serve and accept new requests.
func (r *round) wholeGroups(s fleet.ServiceName) int {
	n := 0
	for _, c := range r.groups {
		if c.group.Service == s && c.whole && !c.draining() {
			n++
		}
	}
	return n
}

// unavailableGroups counts the groups of a service that are draining, not whole or
// being formed.
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

// needsRoom reports whether a version of the service lacks groups, may be loaded
// and has no fabric domain with enough instances for one more group.
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

// removalCandidates lists the groups of a service that are not to be kept and those
// beyond the wanted number, groups that can't serve first.
func (r *round) removalCandidates(s fleet.ServiceName) []*groupState {
	var whole, rest []*groupState
	excess := r.excess()
	if !r.hasRemovable(s, excess) {
		return nil
	}
	isReassignable := r.reassignableGroups(excess)
	for _, c := range r.byRemovalOrder(excess) {
		if c.group.Service != s || c.draining() || c.leaving {
			continue
		}
		if r.shouldKeep(c) {
			if excess[c.wanted] <= 0 || r.localOnly() && !isReassignable[c] {
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

// hasRemovable reports whether a service has a group that is not to be kept or is
// beyond the wanted number.
func (r *round) hasRemovable(s fleet.ServiceName, excess map[*Wanted]int) bool {
	return slices.ContainsFunc(r.groups, func(c *groupState) bool {
		return c.group.Service == s && !c.draining() && !c.leaving && (!r.shouldKeep(c) || excess[c.wanted] > 0)
	})
}

// excess returns the number of groups beyond the wanted number by Wanted entry. It
// is negative if groups are missing.
func (r *round) excess() map[*Wanted]int {
	excess := map[*Wanted]int{}
	for i := range r.snap.Wanted {
		w := &r.snap.Wanted[i]
		excess[w] = r.retainedGroups(w) - w.Groups
	}
	return excess
}

// byRemovalOrder lists the groups in the order in which surplus groups are drained:
// first those whose members free enough capacity in their fabric domain for a
// missing group, then the newest.
func (r *round) byRemovalOrder(excess map[*Wanted]int) []*groupState {
	groups := slices.Clone(r.groups)
	slices.Reverse(groups)
	var first, rest []*groupState
	for _, c := range groups {
		if r.makesRoom(c, excess) {
			first = append(first, c)
		} else {
			rest = append(rest, c)
		}
	}
	return append(first, rest...)
}

// makesRoom reports whether the members of a group free enough capacity in their
// fabric domain for a missing group of another service.
func (r *round) makesRoom(c *groupState, excess map[*Wanted]int) bool {
	for w, n := range excess {
		if n >= 0 || c.wanted == w || r.countWithModel(w, c.group.Fabric)+len(c.composition) < w.Size {
			continue
		}
		if len(r.candidates(w, c.group.Fabric)) < w.Size {
			return true
		}
	}
	return false
}

// reassignableGroups selects the surplus groups whose engines, together with the
// free engines of their fabric domain, can form a group that another service
// lacks. It selects the smallest such set within one fabric domain, and none if
// there is no such set.
func (r *round) reassignableGroups(excess map[*Wanted]int) map[*groupState]bool {
	var best []*groupState
	for w, n := range excess {
		if n >= 0 {
			continue
		}
		for f := range r.domains() {
			found := r.reassignableGroupsIn(w, f, excess)
			if len(found) > 0 && (best == nil || len(found) < len(best) || len(found) == len(best) && found[0].group.ID < best[0].group.ID) {
				best = found
			}
		}
	}
	isReassignable := map[*groupState]bool{}
	for _, c := range best {
		isReassignable[c] = true
	}
	return isReassignable
}

// domains returns the fabric domains of the groups.
func (r *round) domains() map[fleet.FabricDomain]bool {
	domains := map[fleet.FabricDomain]bool{}
	for _, c := range r.groups {
		domains[c.group.Fabric] = true
	}
	return domains
}

// reassignableGroupsIn lists the surplus groups of one fabric domain that can
// form a missing group, nil if they don't suffice.
func (r *round) reassignableGroupsIn(w *Wanted, f fleet.FabricDomain, excess map[*Wanted]int) []*groupState {
	have := r.countWithModel(w, f)
	left := maps.Clone(excess)
	var found []*groupState
	for _, c := range slices.Backward(r.groups) {
		if have >= w.Size {
			break
		}
		if c.group.Fabric != f || c.wanted == nil || left[c.wanted] <= 0 || !c.whole || !r.shouldKeep(c) {
			continue
		}
		local := 0
		for _, m := range c.composition {
			if _, ok := r.snap.Instances[m.Instance].LocalLoadTimes[w.Model]; ok {
				local++
			}
		}
		if local == 0 {
			continue
		}
		left[c.wanted]--
		have += local
		found = append(found, c)
	}
	if have < w.Size {
		return nil
	}
	return found
}

// removalReason returns the reason why a group is not kept.
func (r *round) removalReason(c *groupState) string {
	switch {
	case c.wanted == nil:
		return "another version is wanted"
	case c.slow:
		return "a member is slow"
	}
	return "there are more groups than wanted"
}

// drain adds an ActionDrain for a group, and reports false if the plan has another
// action for it already.
func (r *round) drain(c *groupState, reason string) bool {
	for _, a := range r.actions {
		if a.Group != nil && a.Group.ID == c.group.ID {
			return false
		}
	}
	r.add(Action{Kind: ActionDrain, Service: c.group.Service, Group: c.group, Reason: reason})
	return true
}

// reportHalt adds an ActionHalt for a rollout that has stopped.
func (r *round) reportHalt(w *Wanted) {
	reason := fmt.Sprintf("%d consecutive loads of version %s failed", r.hist.version(w).failures, w.Version)
	target := &group.Group{Service: w.Service, Model: w.Model, Version: w.Version, Adapters: w.Adapters, Role: w.Role, Scope: r.snap.Scope}
	r.add(Action{Kind: ActionHalt, Service: w.Service, Group: target, Reason: reason})
}
