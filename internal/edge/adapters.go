package edge

import (
	"maps"
	"slices"
	"sync"
	"time"

	"carawayproxy.example/caraway/internal/admission"
	"carawayproxy.example/caraway/internal/datastore"
	"carawayproxy.example/caraway/internal/directory"
	"carawayproxy.example/caraway/internal/dispatch"
	"carawayproxy.example/caraway/internal/fleet"
	"carawayproxy.example/caraway/internal/membership"
	"carawayproxy.example/caraway/internal/routes"
	"carawayproxy.example/caraway/internal/service"
)

// router implements dispatch.Router.
type router struct {
	*datastore.Store
	*datastore.GroupWatcher
}

var _ dispatch.Router = router{}

// admissionAdapter implements dispatch.Admission.
type admissionAdapter struct{ c *admission.Controller }

// Admit implements dispatch.Admission.
func (a admissionAdapter) Admit(now time.Time, req admission.Request) (dispatch.Ticket, *fleet.Failure) {
	req.Capacity = 0 // the groups' own limits apply across all daemons
	t, failure := a.c.Admit(now, req)
	if failure != nil {
		return nil, failure
	}
	return t, nil
}

// stallAdapter implements dispatch.StallDetector.
type stallAdapter struct{ d *datastore.StallDetector }

// Attach implements dispatch.StallDetector.
func (a stallAdapter) Attach(group fleet.GroupID) dispatch.StreamMonitor { return a.d.Attach(group) }

// catalogAdapter implements dispatch.CatalogSource. It refuses requests until
// the daemon has a routing document and the list of backend servers.
type catalogAdapter struct{ d *Daemon }

// noCatalogRetryAfter is the retry delay of requests that arrive before the
// daemon knows any backend server. Other daemons can serve the retries.
const noCatalogRetryAfter = 300 * time.Millisecond

// Catalog implements dispatch.CatalogSource.
func (a catalogAdapter) Catalog() (*service.Catalog, *fleet.Failure) {
	t := a.d.routes.Table()
	if t == nil || !a.d.hasServerList.Load() {
		return nil, fleet.NewNotRunFailure(fleet.ReasonStale, noCatalogRetryAfter, "this daemon does not know its backend servers yet")
	}
	return t.Catalog, nil
}

// recentSet holds values that were added within recentTTL.
type recentSet[T comparable] struct {
	mu      sync.Mutex
	addedAt map[T]time.Time
}

// recentTTL is how long a value is included in heartbeats. Peers process each
// value once.
const recentTTL = 2 * time.Second

func newRecentSet[T comparable]() *recentSet[T] { return &recentSet[T]{addedAt: map[T]time.Time{}} }

func (r *recentSet[T]) add(v T) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.addedAt[v] = time.Now()
}

func (r *recentSet[T]) list() []T {
	r.mu.Lock()
	defer r.mu.Unlock()
	maps.DeleteFunc(r.addedAt, func(_ T, at time.Time) bool { return time.Since(at) > recentTTL })
	return slices.Collect(maps.Keys(r.addedAt))
}

// Heartbeat implements membership.Source.
func (d *Daemon) Heartbeat() membership.Heartbeat {
	ready, _ := d.Ready()
	now := time.Now()
	work, requests := d.demand.busyGroups(now)
	sightings, acquittals := d.detector.Evidence()
	return membership.Heartbeat{
		Ready:            ready,
		Draining:         d.draining.Load(),
		ConfigRevision:   d.catalog().Revision,
		InFlight:         d.store.InFlight(),
		Unresponsive:     d.unresponsive.list(),
		Stalled:          d.stalled.list(),
		Sightings:        sightings,
		Acquittals:       acquittals,
		HoldsScope:       d.groupController.HoldsLease(),
		IsReader:         d.isReader(),
		Processors:       d.settings.Processors,
		Work:             work,
		WorkRequests:     requests,
		Renewal:          d.elector.LastRenewal(),
		LinksLost:        d.env.ServerDialer.Lost(),
		DocumentReadAge:  d.documentReadAge(now),
		Evacuations:      d.toldEvacuations(), // after DocumentReadAge, so that it covers that read
		StoreUnavailable: d.storeUnavailable.Load() || d.groupController.HoldsLease() && d.elector.LogUnavailable(),
	}
}

// onGroupStalled handles a group at which this daemon's streams stalled.
func (d *Daemon) onGroupStalled(id fleet.GroupID) {
	lost := d.env.ServerDialer.Lost()
	d.events.Emit(eventGroupStalled, "group", id, "links_lost", lost)
	if lost {
		return // the streams began on connections that have fallen silent
	}
	go d.checkLinkTo(id)
	switch active := d.stallDetector.CountActive(id); {
	case active > 1:
		d.markStalledLeader(id, directory.StallReports)
	case active == 1:
		d.markStalledLeader(id, 1)
	}
	d.stalled.add(id)
	d.mesh.RequestHeartbeat()
	if d.groupController.HoldsLease() {
		d.groupController.ProbeGroup(id)
	}
}

// onPeerGroupsStalled handles groups at which a peer's streams stalled.
func (d *Daemon) onPeerGroupsStalled(ids []fleet.GroupID) {
	holdsLease := d.groupController.HoldsLease()
	for _, id := range ids {
		d.stallDetector.RecordPeerStall(id)
		if !d.stallDetector.Hears(id, time.Now()) {
			d.markStalledLeader(id, 1)
		}
		if holdsLease {
			d.groupController.ProbeGroup(id)
		}
	}
}

// onEngineUnresponsive handles an engine that does not respond to this daemon,
// which is the lease holder.
func (d *Daemon) onEngineUnresponsive(id fleet.InstanceID) {
	d.unresponsive.add(id)
	d.mesh.RequestHeartbeat()
}

// onPeerEnginesUnresponsive handles engines that do not respond to the lease
// holder.
func (d *Daemon) onPeerEnginesUnresponsive(ids []fleet.InstanceID) {
	now := time.Now()
	for _, id := range ids {
		d.directory.Fail(id, now)
	}
}

// totalInFlight returns the number of requests in flight on each group at all
// daemons.
func (d *Daemon) totalInFlight() map[fleet.GroupID]uint32 {
	total := d.mesh.AllPeersInFlight()
	for id, n := range d.store.InFlight() {
		total[id] += n
	}
	return total
}

// groupsByFabric returns the number of groups in each fabric domain. Backend
// servers that serve alone count as groups of no domain.
func (d *Daemon) groupsByFabric() map[fleet.FabricDomain]int {
	out := map[fleet.FabricDomain]int{}
	for _, g := range d.directory.Groups().Groups {
		out[g.Fabric]++
	}
	for _, s := range d.directory.Instances() {
		if s.Kind == fleet.KindPlain {
			out[""]++
		}
	}
	return out
}

// countDaemons returns the number of daemons that share the groups: those that this
// daemon hears, or as many as one of them hears.
func (d *Daemon) countDaemons() int {
	n, heard := 1, 0
	for _, p := range d.mesh.View().Peers {
		if p.Alive && !p.Heartbeat.Draining {
			n++
			heard = max(heard, p.Heartbeat.Daemons)
		}
	}
	return max(n, heard)
}

// retryFraction is the fraction of the allowed retries of all daemons that is
// divided among them. The rest covers retries at connection level, which daemons
// do not see, and daemons that do not receive each other's heartbeats.
const retryFraction = 0.7

// retryBurst returns this daemon's share of the retries that all daemons
// together may add to a service within the configured window, in addition to
// the retries in proportion to the requests.
func (d *Daemon) retryBurst() int {
	return max(int(retryFraction*d.settings.RetrySlack/float64(d.countDaemons())), 1)
}

// isIdle reports whether the whole system has just started and this daemon has
// received no request yet.
func (d *Daemon) isIdle() bool {
	return d.settings.FirstStart && !d.dispatcher.HasServed() && time.Since(d.started) < idlePeriod
}

// findModel returns the engine service that contains the model, and the model;
// both are nil if the document has none.
func (d *Daemon) findModel(model string) (*routes.Service, *routes.Model) {
	t := d.routes.Table()
	if t == nil {
		return nil, nil
	}
	for i := range t.Document.Services {
		s := &t.Document.Services[i]
		if s.Engine == nil {
			continue
		}
		if m, ok := s.Engine.Model(model); ok {
			return s, m
		}
	}
	return nil, nil
}

// modelSize returns the size of a replica of a model that a service runs, zero if
// it does not run the model.
func (d *Daemon) modelSize(service, model string) int {
	t := d.routes.Table()
	if t == nil {
		return 0
	}
	s, ok := t.Service(service)
	if !ok || s.Engine == nil {
		return 0
	}
	m, ok := s.Engine.Model(model)
	if !ok {
		return 0
	}
	return m.Size
}

func (d *Daemon) modelStagedTime(model string) time.Duration {
	if _, m := d.findModel(model); m != nil {
		return m.StagedTime
	}
	return 0
}

func (d *Daemon) isEngineService(name string) bool {
	t := d.routes.Table()
	if t == nil {
		return false
	}
	s, ok := t.Service(name)
	return ok && s.Engine != nil
}
