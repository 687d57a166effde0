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

// aliveWithin is how fresh a report must be for the planner to count its
// instance as alive.
const aliveWithin = 3 * time.Second

// snapshotScope is the lease scope of writing snapshots.
const snapshotScope lease.Scope = "snapshot"

func (d *Daemon) scopes() []lease.Scope {
	return append(d.placementScopes(), snapshotScope)
}

func (d *Daemon) placementScopes() []lease.Scope {
	out := make([]lease.Scope, d.set.PlacementScopes)
	for i := range out {
		out[i] = placementScope(i)
	}
	return out
}

func placementScope(n int) lease.Scope { return lease.Scope(fmt.Sprintf("placement/%02d", n)) }

// scopeOf shards the services over the placement scopes.
func (d *Daemon) scopeOf(name fleet.ServiceName) lease.Scope {
	return placementScope(int(xxhash.Sum64String(string(name)) % uint64(d.set.PlacementScopes)))
}

func (d *Daemon) holds(scope lease.Scope) bool {
	h, ok := d.keeper.Held(scope)
	return ok && h.Valid(time.Now())
}

func (d *Daemon) instances() map[fleet.InstanceID]fleet.Instance {
	instances, _ := d.list.Instances()
	return instances
}

// leavingBySelf reports whether the list or the instance itself says that it
// is leaving.
func (d *Daemon) leavingBySelf(id fleet.InstanceID) bool {
	if i, ok := d.instances()[id]; ok && i.Leaving {
		return true
	}
	r, ok := d.watcher.Report(id)
	return ok && r.Leaving
}

// leaving reports whether the list, the instance itself or a peer says that
// the instance is leaving.
func (d *Daemon) leaving(id fleet.InstanceID) bool {
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

// peerInFlight is the number of requests that live peers have on a group.
func (d *Daemon) peerInFlight(id fleet.GroupID) uint32 {
	var n uint32
	for _, p := range d.mesh.View().Peers {
		if p.Alive {
			n += p.Heartbeat.InFlight[id]
		}
	}
	return n
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

// heardDaemons lists this daemon and all that it hears, also those on their
// way out.
func (d *Daemon) heardDaemons() []fleet.DaemonID {
	out := []fleet.DaemonID{d.id}
	for id, p := range d.mesh.View().Peers {
		if p.Alive {
			out = append(out, id)
		}
	}
	return out
}

// cacheEvents passes an engine's cache events on to the router's index, under
// the group that the engine leads.
func (d *Daemon) cacheEvents(id fleet.InstanceID, events []backend.CacheEvent) {
	owner, ok := d.groups.View().ByInstance[id]
	if !ok {
		return
	}
	for _, e := range events {
		d.index.Observe(owner, e.Prefix, e.Evicted)
	}
}

// forgetEvery is the time between two looks for groups that are gone.
const forgetEvery = time.Second

// forgetPrefixes drops what was remembered of the caches of groups that are
// gone or have another epoch, whose engines began with empty ones.
func (d *Daemon) forgetPrefixes(ctx context.Context) {
	known := map[fleet.GroupID]fleet.Epoch{}
	for pause(ctx, forgetEvery) {
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

// planningSnapshot is what one round of planning of a scope rests on.
func (d *Daemon) planningSnapshot(scope lease.Scope) placement.Snapshot {
	now := time.Now()
	s := placement.Snapshot{
		Revision:  d.services.Catalog().Revision,
		Groups:    d.groups.View(),
		Instances: map[fleet.InstanceID]placement.InstanceState{},
		InFlight:  d.inFlightEverywhere(),
		LogDown:   now.Sub(d.control.Status().LogAt) > membership.DefaultMaxAge,
	}
	for _, p := range d.services.Catalog().Services {
		if p.Spec.Kind == fleet.KindEngine && d.scopeOf(p.Spec.Service) == scope {
			s.Wanted = append(s.Wanted, wanted(p)...)
		}
	}
	d.addInstances(&s, now)
	for _, g := range s.Groups.Groups {
		if g.Phase == group.PhaseActive && d.loading(g) {
			s.LoadsRunning++
		}
	}
	return s
}

// wanted is what a service asks of the planner, one entry for each version.
func wanted(p *service.Published) []placement.Wanted {
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
		i.Leaving = i.Leaving || d.leaving(i.ID)
		s.Instances[i.ID] = placement.InstanceState{
			Instance: i,
			Report:   r,
			Listed:   inList,
			Alive:    ok && d.counts(r, s.Groups, now),
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

// groupsByFabric counts the groups of each fabric domain.
func (d *Daemon) groupsByFabric() map[fleet.FabricDomain]int {
	out := map[fleet.FabricDomain]int{}
	for _, g := range d.groups.View().Groups {
		out[g.Fabric]++
	}
	return out
}

// loading reports whether a member of the group gets its weights now.
func (d *Daemon) loading(g *group.Group) bool {
	for _, m := range g.Members {
		r, ok := d.watcher.Report(m.Instance)
		if ok && !r.Failed && r.Assignment != nil && r.Assignment.Group == g.ID && !r.Ready && r.LoadProgress < 1 {
			return true
		}
	}
	return false
}

func (d *Daemon) inFlightEverywhere() map[fleet.GroupID]uint32 {
	total := d.store.InFlight()
	for _, p := range d.mesh.View().Peers {
		if !p.Alive {
			continue
		}
		for id, n := range p.Heartbeat.InFlight {
			total[id] += n
		}
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
		Reports:        d.watcher.Offer(),
		Silent:         d.watcher.Silent(),
	}
	for id := range d.watched() {
		if d.leavingBySelf(id) {
			h.Leaving = append(h.Leaving, id)
		}
	}
	return h
}

func (d *Daemon) watched() map[fleet.InstanceID]bool {
	out := map[fleet.InstanceID]bool{}
	for _, t := range d.targets() {
		out[t.Instance] = true
	}
	return out
}

// peerAddress is the address that other daemons dial.
func (d *Daemon) peerAddress() string {
	if d.set.PeersAdvertise != "" {
		return d.set.PeersAdvertise
	}
	return d.env.Peers.Addr().String()
}
