package placement

import (
	"slices"

	"carawayproxy.example/caraway/internal/fleet"
)

// preempt drains a whole group of another service in the broken group's fabric
// domain if that service may give it up and its instances, with the free ones of the
// domain, can take the lost ranks sooner than others could load the model. The broken group waits for
// them. It returns false if there is no such group. Of several groups it takes the
// one with the fewest requests in flight, which is drained first.
func (r *round) preempt(c *groupState) bool {
	if r.snap.LogDown {
		return false
	}
	missing := len(c.lost) - r.localSubstitutes(c)
	if r.leavingPlaces(c) >= missing {
		r.awaited[c] = true
		r.wait(c, "instances that leave another group will repair it")
		return true
	}
	var best *groupState
	for _, o := range r.groups {
		if o.group.Fabric != c.group.Fabric || o.group.Service == c.group.Service || r.membersWithModelOf(o, c) < missing {
			continue
		}
		if o.draining() && !o.leaving && !o.broken() || r.preempted[o] {
			r.waitForPreempted(c, o)
			return true
		}
		if !o.whole || o.draining() || o.wanted == nil || o.leaving || !r.mayGive(o.wanted, c.wanted) {
			continue
		}
		if best == nil || r.snap.InFlight[o.group.ID] < r.snap.InFlight[best.group.ID] {
			best = o
		}
	}
	if best == nil {
		return false
	}
	r.preempted[best] = true
	r.drain(best, "its instances repair "+string(c.group.ID))
	r.waitForPreempted(c, best)
	return true
}

// localSubstitutes counts the instances that may take a lost rank now and can load
// the group's model locally.
func (r *round) localSubstitutes(c *groupState) int {
	n := 0
	for _, m := range r.substituteCandidates(c) {
		if _, local := r.snap.Instances[m.Instance].LocalLoadTimes[c.group.Model]; local {
			n++
		}
	}
	return n
}

// leavingPlaces counts the instances of a broken group's fabric domain that are
// being moved out of a group that has ended and can load the group's model locally.
func (r *round) leavingPlaces(c *groupState) int {
	n := 0
	for id, st := range r.snap.Instances {
		if !st.MustLeave || st.Instance.Fabric != c.group.Fabric || st.Instance.Pool != c.wanted.Pool || !isAvailable(st) {
			continue
		}
		_, taken := r.snap.Groups.ByInstance[id]
		if _, local := st.LocalLoadTimes[c.group.Model]; local && !taken {
			n++
		}
	}
	return n
}

func (r *round) waitForPreempted(c, o *groupState) {
	r.awaited[c] = true
	r.wait(c, "the instances of %s will repair it", o.group.ID)
}

// mayGive reports whether a service may give up one group for a broken group of
// another service.
func (r *round) mayGive(from, to *Wanted) bool {
	return mayGive(from.Work, r.servingGroups(from)-1, to.Work, r.servingGroups(to), repairMargin)
}

// servingGroups counts the groups of a service that serve, will serve without
// further instances, or wait for the instances of a preempted group.
func (r *round) servingGroups(w *Wanted) int {
	n := 0
	for _, c := range r.groups {
		if c.wanted == w && !c.draining() && !r.preempted[c] && (!c.broken() || r.awaited[c]) {
			n++
		}
	}
	return n
}

// membersWithModelOf counts the available members of group o that can load the
// model of the broken group c locally.
func (r *round) membersWithModelOf(o, c *groupState) int {
	n := 0
	for _, m := range o.composition {
		st := r.snap.Instances[m.Instance]
		if _, local := st.LocalLoadTimes[c.group.Model]; local && isAvailable(st) {
			n++
		}
	}
	return n
}

// dissolveForRepair dissolves a group of the same service and fabric domain that
// has lost more members than c, if its members can load the model locally and
// the other substitutes of c would have to use the weight store. This restores
// one group immediately instead of two groups later.
func (r *round) dissolveForRepair(c *groupState, others []*groupState) {
	subs := r.substitutes(c)
	if _, loads := r.startupTime(c.wanted, instanceIDs(subs)); subs != nil && !loads {
		return
	}
	for _, o := range slices.Backward(others) {
		withModel := r.membersWithModel(o)
		if o.wanted != c.wanted || o.group.Fabric != c.group.Fabric || r.dissolvedForRepair[o] || len(withModel) < len(c.lost) {
			continue
		}
		r.dissolvedForRepair[o] = true
		r.dissolve(o, "its instances repair "+string(c.group.ID))
		for _, id := range withModel {
			r.setFree(id)
		}
		return
	}
}

// membersWithModel lists the members of a broken group that are healthy and can
// load its model locally.
func (r *round) membersWithModel(c *groupState) []fleet.InstanceID {
	var ids []fleet.InstanceID
	for _, m := range c.composition {
		st := r.snap.Instances[m.Instance]
		if _, local := st.LocalLoadTimes[c.group.Model]; local && isAvailable(st) && !st.Ejected {
			ids = append(ids, m.Instance)
		}
	}
	return ids
}
