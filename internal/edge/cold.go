package edge

import (
	"maps"
	"slices"
	"time"

	"carawayproxy.example/caraway/internal/datastore"
	"carawayproxy.example/caraway/internal/fleet"
	"carawayproxy.example/caraway/internal/ratelimit"
	"carawayproxy.example/caraway/internal/routing"
	"carawayproxy.example/caraway/internal/settings"
)

// coldServers implements datastore.Cold.
type coldServers struct {
	*ratelimit.Cold
	d *Daemon
}

var _ datastore.Cold = coldServers{}

// MarkUnconfirmed implements datastore.Cold.
func (c coldServers) MarkUnconfirmed(id fleet.InstanceID, now time.Time) {
	c.d.directory.MarkUnconfirmed(id, now)
}

// coldServer returns what is known of a server that may be cold.
func (d *Daemon) coldServer(id fleet.InstanceID, now time.Time) ratelimit.ColdServer {
	t := d.routes.Table()
	if t == nil || !t.HasColdServers {
		return ratelimit.ColdServer{}
	}
	name, until := d.directory.ColdUntil(id, now)
	s, ok := t.Service(name)
	if !ok {
		return ratelimit.ColdServer{}
	}
	return ratelimit.ColdServer{Until: until, PerSecond: s.ColdRequestsPerSecond}
}

// coldStart returns how long a server of a service is cold after its start.
func (d *Daemon) coldStart(name string) time.Duration {
	if t := d.routes.Table(); t != nil {
		if s, ok := t.Service(name); ok && s.ColdRequestsPerSecond > 0 {
			return s.ColdStart
		}
	}
	return 0
}

// daemonsThatSend returns the names of all daemons that may send requests to backend
// servers, whether this one hears them or not: all that have announced an address, and
// those that it hears. This daemon itself is left out until the others have read its
// address: they don't count on it before, and divide all among themselves.
func (d *Daemon) daemonsThatSend() []fleet.DaemonID {
	names := map[fleet.DaemonID]bool{}
	for _, name := range d.addresses.names() {
		names[fleet.DaemonID(name)] = true
	}
	for id := range d.mesh.View().Peers {
		if name := settings.InstanceName(id); name != "" {
			id = fleet.DaemonID(name)
		}
		names[id] = true
	}
	if known := d.addressReadAt.Load(); known == 0 || time.Since(d.started) < time.Duration(known)+d.addressSpreadTime() {
		delete(names, fleet.DaemonID(d.settings.Name))
	}
	return slices.Sorted(maps.Keys(names))
}

// addressSpreadTime is how long after this daemon has read its own address the others have
// read it, too, and count on it: the longest time between two of their reads, and that for
// which they keep shares.
func (d *Daemon) addressSpreadTime() time.Duration {
	return d.longestDaemonsInterval() + ratelimit.ShareTTL
}

// unreachableServers records refusals, and that servers that can't be reached may be
// cold when they come back.
type unreachableServers struct {
	*datastore.Refusals
	d *Daemon
}

// RecordRefusal implements dispatch.Refusals.
func (u unreachableServers) RecordRefusal(group fleet.GroupID, epoch fleet.Epoch, reason routing.Refusal, now time.Time) {
	u.Refusals.RecordRefusal(group, epoch, reason, now)
	if reason != routing.RefusedUnreachable || u.d.env.ServerDialer.Lost() {
		return
	}
	if g := u.d.directory.Groups().Groups[group]; g != nil && len(g.Members) > 0 {
		u.d.directory.MarkUnconfirmed(g.Members[0].Instance, now)
	}
}

// markStalledLeader records reports that a group has stalled, whose leader may be silent
// and become cold meanwhile.
func (d *Daemon) markStalledLeader(id fleet.GroupID, reports int) {
	if g := d.directory.Groups().Groups[id]; g != nil && len(g.Members) > 0 {
		d.directory.MarkStalled(g.Members[0].Instance, reports, time.Now())
	}
}
