package daemon

import (
	"math"
	"time"

	"carawayproxy.example/caraway/internal/backend"
	"carawayproxy.example/caraway/internal/fleet"
	"carawayproxy.example/caraway/internal/group"
)

// targets returns the backend servers to watch: those in the platform's list,
// and the members of groups that the list no longer shows.
func (d *Daemon) targets() []backend.Target {
	instances := d.instances()
	groups := d.groups.View()
	leaders := d.groupLeaders(groups)
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

// countsAsAlive reports whether the planner may count an instance as alive: its
// report is recent and shows no failure, and the instance is in its recorded
// group or reachable from this daemon, which would have to order it there.
func (d *Daemon) countsAsAlive(r fleet.Report, v *group.View, now time.Time) bool {
	if r.Failed || now.Sub(r.ReceivedAt) > aliveReportMaxAge {
		return false
	}
	return isInRecordedGroup(r, v) || !d.watcher.Unreachable(r.Instance)
}

// isInRecordedGroup reports whether an instance's assignment matches the
// recorded group and epoch.
func isInRecordedGroup(r fleet.Report, v *group.View) bool {
	owner, ok := v.ByInstance[r.Instance]
	a := r.Assignment
	return ok && a != nil && a.Group == owner && a.Epoch == v.Groups[owner].Epoch
}

// groupLeaders returns the instances to which requests for the groups are sent.
func (d *Daemon) groupLeaders(v *group.View) map[fleet.InstanceID]bool {
	out := make(map[fleet.InstanceID]bool, len(v.Groups))
	for _, g := range v.Groups {
		out[group.ReportedComposition(g, d.watcher)[0].Instance] = true
	}
	return out
}

// watchRank returns this daemon's rank among the daemons that watch a unit. A
// draining daemon ranks last unless it is the only one.
func (d *Daemon) watchRank(unit string) int {
	alive := d.aliveDaemons()
	if d.draining.Load() && len(alive) > 1 {
		return math.MaxInt
	}
	return fleet.RendezvousRank(unit, d.id, alive)
}
