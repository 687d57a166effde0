package placement

import (
	"slices"

	"carawayproxy.example/caraway/internal/fleet"
)

// borrow drains a whole group of another service in the broken group's fabric
// domain, if that service can do without it and its instances can take the lost
// ranks sooner than a load. The broken group waits for them.
func (r *round) borrow(c *condition) bool {
	if r.snap.LogDown {
		return false
	}
	for _, o := range r.groups {
		if o.group.Fabric != c.group.Fabric || o.group.Service == c.group.Service || !r.nearFor(o, c) {
			continue
		}
		if o.draining() {
			r.wait(c, "the instances of %s will repair it", o.group.ID)
			return true
		}
		if o.whole && o.want != nil && !o.leaving && o.want.Spare > 0 {
			o.want.Spare--
			r.drain(o, "its instances repair "+string(c.group.ID))
			r.wait(c, "the instances of %s will repair it", o.group.ID)
			return true
		}
	}
	return false
}

// nearFor reports whether enough members of a group have the model of another,
// broken one at hand to take its lost ranks.
func (r *round) nearFor(o, c *condition) bool {
	n := 0
	for _, m := range o.composition {
		st := r.snap.Instances[m.Instance]
		if _, near := st.LocalLoadTimes[c.group.Model]; near && present(st) {
			n++
		}
	}
	return n >= len(c.lost)
}

// findDonor takes a more broken group of the same service and fabric domain
// apart when its members have at hand what this one's substitutes would have
// to load: one whole group at once is better than two later.
func (r *round) findDonor(c *condition, others []*condition) {
	subs := r.substitutes(c)
	if _, loads := r.timeFor(c.want, instances(subs)); subs != nil && !loads {
		return
	}
	for _, o := range slices.Backward(others) {
		near := r.nearMembers(o)
		if o.want != c.want || o.group.Fabric != c.group.Fabric || r.given[o] || len(near) < len(c.lost) {
			continue
		}
		r.given[o] = true
		r.dissolve(o, "its instances repair "+string(c.group.ID))
		for _, id := range near {
			r.free[id] = true
		}
		return
	}
}

// nearMembers lists the members of a broken group that are well and have its
// model at hand.
func (r *round) nearMembers(c *condition) []fleet.InstanceID {
	var ids []fleet.InstanceID
	for _, m := range c.composition {
		st := r.snap.Instances[m.Instance]
		if _, near := st.LocalLoadTimes[c.group.Model]; near && present(st) && !st.Ejected {
			ids = append(ids, m.Instance)
		}
	}
	return ids
}
