package placement

import (
	"slices"

	"carawayproxy.example/caraway/internal/fleet"
)

// borrow drains a whole group of another service in the broken group's fabric
// domain, if that service can do without it and its instances can take the lost
// ranks sooner than a load. The broken group waits for them.
func (r *round) preempt(c *groupState) bool {
	if r.snap.LogDown {
		return false
	}
	for _, o := range r.groups {
		if o.group.Fabric != c.group.Fabric || o.group.Service == c.group.Service || !r.canSubstitute(o, c) {
			continue
		}
		if o.draining() {
			r.wait(c, "the instances of %s will repair it", o.group.ID)
			return true
		}
		if o.whole && o.wanted != nil && !o.leaving && o.wanted.Spare > 0 {
			o.wanted.Spare--
			r.drain(o, "its instances repair "+string(c.group.ID))
			r.wait(c, "the instances of %s will repair it", o.group.ID)
			return true
		}
	}
	return false
}

// nearFor reports whether enough members of a group have the model of another,
// broken one at hand to take its lost ranks.
func (r *round) canSubstitute(o, c *groupState) bool {
	n := 0
	for _, m := range o.composition {
		st := r.snap.Instances[m.Instance]
		if _, near := st.LocalLoadTimes[c.group.Model]; near && isAvailable(st) {
			n++
		}
	}
	return n >= len(c.lost)
}

// findDonor takes a more broken group of the same service and fabric domain
// apart when its members have at hand what this one's substitutes would have
// to load: one whole group at once is better than two later.
func (r *round) dissolveDonor(c *groupState, others []*groupState) {
	subs := r.substitutes(c)
	if _, loads := r.startupTime(c.wanted, instanceIDs(subs)); subs != nil && !loads {
		return
	}
	for _, o := range slices.Backward(others) {
		near := r.membersWithModel(o)
		if o.wanted != c.wanted || o.group.Fabric != c.group.Fabric || r.dissolvedDonors[o] || len(near) < len(c.lost) {
			continue
		}
		r.dissolvedDonors[o] = true
		r.dissolve(o, "its instances repair "+string(c.group.ID))
		for _, id := range near {
			r.free[id] = true
		}
		return
	}
}

// nearMembers lists the members of a broken group that are well and have its
// model at hand.
func (r *round) membersWithModel(c *groupState) []fleet.InstanceID {
	var ids []fleet.InstanceID
	for _, m := range c.composition {
		st := r.snap.Instances[m.Instance]
		if _, near := st.LocalLoadTimes[c.group.Model]; near && isAvailable(st) && !st.Ejected {
			ids = append(ids, m.Instance)
		}
	}
	return ids
}
