package daemon

import (
	"context"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"carawayproxy.example/caraway/internal/backend"
	"carawayproxy.example/caraway/internal/fleet"
	"carawayproxy.example/caraway/internal/group"
	"carawayproxy.example/caraway/internal/lease"
	"carawayproxy.example/caraway/internal/membership"
	"carawayproxy.example/caraway/internal/placement"
	"carawayproxy.example/caraway/internal/service"
)

// aliveReportMaxAge is the maximum age of an instance's report for the planner
// to count the instance as alive.
const aliveReportMaxAge = 3 * time.Second

// snapshotScope is the lease scope of the daemon that writes snapshots.
const snapshotScope lease.Scope = "snapshot"

func (d *Daemon) scopes() []lease.Scope {
	return append(d.placementScopes(), snapshotScope)
}

func (d *Daemon) placementScopes() []lease.Scope {
	out := make([]lease.Scope, d.settings.PlacementScopes)
	for i := range out {
		out[i] = placementScope(i)
	}
	return out
}

func placementScope(n int) lease.Scope { return lease.Scope(fmt.Sprintf("placement/%02d", n)) }

// scopeOf returns the placement scope of a service. Services are sharded over
// the scopes by hash.
func (d *Daemon) scopeOf(name fleet.ServiceName) lease.Scope {
	return placementScope(int(xxhash.Sum64String(string(name)) % uint64(d.settings.PlacementScopes)))
}

func (d *Daemon) holdsLease(scope lease.Scope) bool {
	h, ok := d.leaseManager.Held(scope)
	return ok && h.Valid(time.Now())
}

func (d *Daemon) instances() map[fleet.InstanceID]fleet.Instance {
	instances, _ := d.list.Instances()
	return instances
}

// isLeavingFirstHand reports whether the platform's list or the instance itself
// reports that the instance is leaving. Peers' reports do not count.
func (d *Daemon) isLeavingFirstHand(id fleet.InstanceID) bool {
	if i, ok := d.instances()[id]; ok && i.Leaving {
		return true
	}
	r, ok := d.watcher.Report(id)
	return ok && r.Leaving
}

// isLeaving reports whether the platform's list, the instance itself or a peer
// reports that the instance is leaving.
func (d *Daemon) isLeaving(id fleet.InstanceID) bool {
	instances, readAt := d.list.Instances()
	i, listed := instances[id]
	if listed && i.Leaving {
		return true
	}
	if !listed {
		readAt = time.Time{}
	}
	if r, ok := d.watcher.Report(id); ok && r.Leaving {
		return true
	}
	return d.peerLeaving.has(id, time.Now(), readAt)
}

func (d *Daemon) aliveDaemons() []fleet.DaemonID {
	out := []fleet.DaemonID{d.id}
	for id, p := range d.mesh.View().Peers {
		if p.Alive && !p.Heartbeat.Draining {
			out = append(out, id)
		}
	}
	return out
}

// reachableDaemons returns this daemon and all live peers, including those that
// are draining.
func (d *Daemon) reachableDaemons() []fleet.DaemonID {
	out := []fleet.DaemonID{d.id}
	for id, p := range d.mesh.View().Peers {
		if p.Alive {
			out = append(out, id)
		}
	}
	return out
}

// indexCacheEvents adds an engine's cache events to the prefix index, under the
// group that contains the engine.
func (d *Daemon) indexCacheEvents(id fleet.InstanceID, events []backend.CacheEvent) {
	owner, ok := d.groups.View().ByInstance[id]
	if !ok {
		return
	}
	for _, e := range events {
		d.index.Observe(owner, e.Prefix, e.Evicted)
	}
}

// prefixCleanupInterval is the time between two runs of the prefix cleanup.
const prefixCleanupInterval = time.Second

// dropStalePrefixes removes groups from the prefix index that no longer exist
// or have a new epoch, whose engines start with empty caches.
func (d *Daemon) dropStalePrefixes(ctx context.Context) {
	known := map[fleet.GroupID]fleet.Epoch{}
	for sleep(ctx, prefixCleanupInterval) {
		groups := d.groups.View().Groups
		for id, epoch := range known {
			if g, ok := groups[id]; !ok || g.Epoch != epoch {
				d.index.Forget(id)
				delete(known, id)
			}
		}
		for id, g := range groups {
			known[id] = g.Epoch
		}
	}
}

// planningSnapshot returns the input of one planning round of a scope.
func (d *Daemon) planningSnapshot(scope lease.Scope) placement.Snapshot {
	now := time.Now()
	s := placement.Snapshot{
		Revision:  d.services.Catalog().Revision,
		Groups:    d.groups.View(),
		Instances: map[fleet.InstanceID]placement.InstanceState{},
		InFlight:  d.totalInFlight(),
		LogDown:   now.Sub(d.control.Status().LastLogResponse) > membership.DefaultMaxAge,
	}
	for _, p := range d.services.Catalog().Services {
		if p.Spec.Kind == fleet.KindEngine && d.scopeOf(p.Spec.Service) == scope {
			s.Wanted = append(s.Wanted, wantedGroups(p)...)
		}
	}
	d.addInstances(&s, now)
	for _, g := range s.Groups.Groups {
		if g.Phase == group.PhaseActive && d.isLoading(g) {
			s.LoadsRunning++
		}
	}
	return s
}

// wantedGroups returns the groups that a service needs, one entry per version.
func wantedGroups(p *service.Published) []placement.Wanted {
	var out []placement.Wanted
	for _, v := range p.Spec.Versions {
		out = append(out, placement.Wanted{
			Service:  p.Spec.Service,
			Revision: p.Revision,
			Pool:     p.Spec.Pool,
			Model:    p.Spec.Model,
			Version:  v.Name,
			Adapters: p.Spec.Adapters,
			Role:     v.Role,
			Groups:   v.Groups,
			Size:     p.Spec.Replicas.Instances,
			Spares:   p.Spec.Replicas.Spares,
			LoadTime: p.Spec.Replicas.LoadTime,
			Weights:  placement.Weights{Downtime: p.Spec.Weights.Downtime, Stranded: p.Spec.Weights.Stranded},
		})
	}
	return out
}

func (d *Daemon) addInstances(s *placement.Snapshot, now time.Time) {
	listed := d.instances()
	add := func(i fleet.Instance, inList bool) {
		r, ok := d.watcher.Report(i.ID)
		i.Leaving = i.Leaving || d.isLeaving(i.ID)
		s.Instances[i.ID] = placement.InstanceState{
			Instance: i,
			Report:   r,
			Listed:   inList,
			Alive:    ok && d.countsAsAlive(r, s.Groups, now),
		}
	}
	for _, i := range listed {
		if i.Kind == fleet.KindEngine {
			add(i, true)
		}
	}
	for _, g := range s.Groups.Groups {
		for m := range g.All() {
			if _, known := s.Instances[m.Instance]; !known {
				add(fleet.Instance{
					ID: m.Instance, Address: m.Address, Zone: m.Zone, Fabric: g.Fabric, Kind: fleet.KindEngine,
					Accelerators: m.Accelerators, ChecksFencing: m.ChecksFencing,
				}, false)
			}
		}
	}
}

// groupsByFabric returns the number of groups in each fabric domain.
func (d *Daemon) groupsByFabric() map[fleet.FabricDomain]int {
	out := map[fleet.FabricDomain]int{}
	for _, g := range d.groups.View().Groups {
		out[g.Fabric]++
	}
	return out
}

// isLoading reports whether a member of the group is loading its weights.
func (d *Daemon) isLoading(g *group.Group) bool {
	for _, m := range g.Members {
		r, ok := d.watcher.Report(m.Instance)
		if ok && !r.Failed && r.Assignment != nil && r.Assignment.Group == g.ID && !r.Ready && r.LoadProgress < 1 {
			return true
		}
	}
	return false
}

func (d *Daemon) totalInFlight() map[fleet.GroupID]uint32 {
	total := d.mesh.AllPeersInFlight()
	for id, n := range d.store.InFlight() {
		total[id] += n
	}
	return total
}

// Heartbeat implements membership.Source.
func (d *Daemon) Heartbeat() membership.Heartbeat {
	ready, _ := d.Ready()
	h := membership.Heartbeat{
		Ready:          ready,
		Draining:       d.draining.Load(),
		ConfigRevision: d.services.Catalog().Revision,
		InFlight:       d.store.InFlight(),
		Sightings:      d.tracker.Sightings(),
		Reports:        d.watcher.LocalReports(),
		Unresponsive:   d.watcher.Unresponsive(),
	}
	for id := range d.watchedInstances() {
		if d.isLeavingFirstHand(id) {
			h.Leaving = append(h.Leaving, id)
		}
	}
	return h
}

func (d *Daemon) watchedInstances() map[fleet.InstanceID]bool {
	out := map[fleet.InstanceID]bool{}
	for _, t := range d.targets() {
		out[t.Instance] = true
	}
	return out
}

// peerAddress returns the address that other daemons dial.
func (d *Daemon) peerAddress() string {
	if d.settings.PeersAdvertise != "" {
		return d.settings.PeersAdvertise
	}
	return d.env.Peers.Addr().String()
}
