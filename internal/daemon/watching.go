package daemon

import (
	"math"
	"time"

	"carawayproxy.example/caraway/internal/backend"
	"carawayproxy.example/caraway/internal/fleet"
	"carawayproxy.example/caraway/internal/group"
)

// targets are the backend servers to watch: those listed, and the members of
// groups even while the list has lost them.
func (d *Daemon) targets() []backend.Target {
	instances := d.instances()
	groups := d.groups.View()
	leaders := d.leaders(groups)
	var out []backend.Target
	add := func(t backend.Target) {
		t.Unit = string(t.Instance)
		if owner, ok := groups.ByInstance[t.Instance]; ok {
			t.Unit = string(owner)
		}
		t.Direct = t.Kind == fleet.KindPlain || leaders[t.Instance]
		out = append(out, t)
	}
	for _, i := range instances {
		if i.Kind == fleet.KindEngine || i.Kind == fleet.KindPlain {
			add(backend.Target{Instance: i.ID, Address: i.Address, Kind: i.Kind})
		}
	}
	for _, g := range groups.Groups {
		for m := range g.All() {
			if _, listed := instances[m.Instance]; !listed {
				add(backend.Target{Instance: m.Instance, Address: m.Address, Kind: fleet.KindEngine})
			}
		}
	}
	return out
}

// counts reports whether the planner may count on an instance: a fresh report
// shows it alive, and it is where its group wants it unless this daemon, which
// would have to order it there, reaches it.
func (d *Daemon) counts(r fleet.Report, v *group.View, now time.Time) bool {
	if r.Failed || now.Sub(r.ReceivedAt) > aliveWithin {
		return false
	}
	return inPlace(r, v) || !d.watcher.Unreached(r.Instance)
}

// inPlace reports whether an instance says that it is in the group, and at the
// epoch, that the record has it in.
func inPlace(r fleet.Report, v *group.View) bool {
	owner, ok := v.ByInstance[r.Instance]
	a := r.Assignment
	return ok && a != nil && a.Group == owner && a.Epoch == v.Groups[owner].Epoch
}

// leaders are the instances that requests to the groups are sent to.
func (d *Daemon) leaders(v *group.View) map[fleet.InstanceID]bool {
	out := make(map[fleet.InstanceID]bool, len(v.Groups))
	for _, g := range v.Groups {
		out[group.Compose(g, d.watcher)[0].Instance] = true
	}
	return out
}

// watchRank is this daemon's place among those that watch a unit. Alone it is
// the first; on its way out it is behind all others.
func (d *Daemon) watchRank(unit string) int {
	alive := d.aliveDaemons()
	if d.draining.Load() && len(alive) > 1 {
		return math.MaxInt
	}
	return backend.Rank(unit, d.id, alive)
}
