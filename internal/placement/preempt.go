package placement

import (
	"slices"

	"carawayproxy.example/caraway/internal/fleet"
)

// preempt drains a whole group of another service in the broken group's fabric
// domain if that service can give it up and its instances can take the lost
// ranks sooner than other instances could load the model. The broken group waits
// for them. It returns false if there is no such group.
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
		if o.whole && o.wanted != nil && !o.leaving && o.wanted.Expendable > 0 {
			o.wanted.Expendable--
			r.drain(o, "its instances repair "+string(c.group.ID))
			r.wait(c, "the instances of %s will repair it", o.group.ID)
			return true
		}
	}
	return false
}

// canSubstitute reports whether enough available members of group o can load the
// model of the broken group c locally to take its lost ranks.
func (r *round) canSubstitute(o, c *groupState) bool {
	n := 0
	for _, m := range o.composition {
		st := r.snap.Instances[m.Instance]
		if _, local := st.LocalLoadTimes[c.group.Model]; local && isAvailable(st) {
			n++
		}
	}
	return n >= len(c.lost)
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
			r.free[id] = true
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
