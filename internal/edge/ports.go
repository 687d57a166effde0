package edge

import (
	"maps"
	"slices"
	"sync"
	"time"

	"carawayproxy.example/caraway/internal/admission"
	"carawayproxy.example/caraway/internal/datastore"
	"carawayproxy.example/caraway/internal/dispatch"
	"carawayproxy.example/caraway/internal/fleet"
	"carawayproxy.example/caraway/internal/membership"
	"carawayproxy.example/caraway/internal/routes"
	"carawayproxy.example/caraway/internal/service"
	"carawayproxy.example/caraway/internal/suspect"
)

// router joins the datastore and its lapses to dispatch's port.
type router struct {
	*datastore.Store
	*datastore.Lapses
}

var _ dispatch.Router = router{}

// gate adapts the admission controller to dispatch's port.
type gate struct{ c *admission.Controller }

// Admit implements dispatch.Admission.
func (g gate) Admit(now time.Time, req admission.Request) (dispatch.Ticket, *fleet.Failure) {
	req.Capacity = 0 // the groups' own limits hold for all daemons together
	t, failure := g.c.Admit(now, req)
	if failure != nil {
		return nil, failure
	}
	return t, nil
}

// pulse adapts the datastore's pulses to dispatch's port.
type pulse struct{ p *datastore.Pulses }

// Attach implements dispatch.Pulse.
func (p pulse) Attach(group fleet.GroupID) dispatch.Beat { return p.p.Attach(group) }

// noSuspects stands in where requests that crash engines are not followed.
type noSuspects struct{}

var _ dispatch.Suspects = noSuspects{}

func (noSuspects) Standing(suspect.Fingerprint) suspect.Standing { return suspect.Clear }

func (noSuspects) Started(fleet.GroupID, fleet.Epoch, suspect.Fingerprint) {}

func (noSuspects) Ended(fleet.GroupID, fleet.Epoch, suspect.Fingerprint) {}

func (noSuspects) Died(fleet.GroupID, fleet.Epoch, fleet.FabricDomain, fleet.ServiceName) {}

// knowledge refuses while there is no routing document or list yet.
type knowledge struct{ d *Daemon }

// retryUnlisted is when callers may come back to a daemon that does not know
// any backend server yet; others do.
const retryUnlisted = 300 * time.Millisecond

// Catalog implements dispatch.Knowledge.
func (k knowledge) Catalog() (*service.Catalog, *fleet.Failure) {
	t := k.d.routes.Table()
	if t == nil || !k.d.listed.Load() {
		return nil, fleet.Refuse(fleet.ReasonStale, retryUnlisted, "this daemon does not know its backend servers yet")
	}
	return t.Catalog, nil
}

// recent holds what was found a short while ago, for the next heartbeats.
type recent[T comparable] struct {
	mu    sync.Mutex
	found map[T]time.Time
}

// recentFor is how long a finding is told; peers take each in once.
const recentFor = 2 * time.Second

func newRecent[T comparable]() *recent[T] { return &recent[T]{found: map[T]time.Time{}} }

func (r *recent[T]) add(v T) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.found[v] = time.Now()
}

func (r *recent[T]) list() []T {
	r.mu.Lock()
	defer r.mu.Unlock()
	maps.DeleteFunc(r.found, func(_ T, at time.Time) bool { return time.Since(at) > recentFor })
	return slices.Collect(maps.Keys(r.found))
}

// Heartbeat implements membership.Source.
func (d *Daemon) Heartbeat() membership.Heartbeat {
	ready, _ := d.Ready()
	return membership.Heartbeat{
		Ready:          ready,
		Draining:       d.draining.Load(),
		ConfigRevision: d.catalog().Revision,
		InFlight:       d.store.InFlight(),
		Silent:         d.failures.list(),
		Stalled:        d.stalls.list(),
		Leads:          d.conductor.Leads(),
		Reads:          d.reads(),
		Processors:     d.set.Processors,
		Renewed:        d.tenure.Renewed(),
		StoreAway:      d.storeAway.Load() || d.conductor.Leads() && d.tenure.Away(),
	}
}

// foundStalled is told of a group at which this daemon's streams stopped.
func (d *Daemon) foundStalled(id fleet.GroupID) {
	d.events.Emit(eventStalled, "group", id)
	d.stalls.add(id)
	d.mesh.Hurry()
	if d.conductor.Leads() {
		d.conductor.Doubt(id)
	}
}

// heardStalled is told of groups at which a peer's streams stopped.
func (d *Daemon) heardStalled(ids []fleet.GroupID) {
	leads := d.conductor.Leads()
	for _, id := range ids {
		d.pulses.Doubt(id)
		if leads {
			d.conductor.Doubt(id)
		}
	}
}

// foundDown is told of an engine that does not answer this daemon, which
// leads.
func (d *Daemon) foundDown(id fleet.InstanceID) {
	d.failures.add(id)
	d.mesh.Hurry()
}

// heardSilent is told of engines that do not answer the daemon that leads.
func (d *Daemon) heardSilent(ids []fleet.InstanceID) {
	now := time.Now()
	for _, id := range ids {
		d.directory.Fail(id, now)
	}
}

func (d *Daemon) peerInFlight(id fleet.GroupID) uint32 {
	var n uint32
	for _, p := range d.mesh.View().Peers {
		if p.Alive {
			n += p.Heartbeat.InFlight[id]
		}
	}
	return n
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

// daemons counts the daemons that share the groups.
func (d *Daemon) daemons() int {
	n := 1
	for _, p := range d.mesh.View().Peers {
		if p.Alive && !p.Heartbeat.Draining {
			n++
		}
	}
	return n
}

// retryPart of the retries that all daemons may add together is divided over
// them; the rest covers those that connections were retried with unseen, and
// daemons that do not hear each other.
const retryPart = 0.7

// retryBurst is this daemon's part of the retries that all daemons together may
// add to a service's within the settings' window, beside their part of the
// requests.
func (d *Daemon) retryBurst() int {
	return max(int(retryPart*float64(d.set.RetrySlack)/float64(d.daemons())), 1)
}

// idle reports whether the whole system has just begun and no request has come
// here yet.
func (d *Daemon) idle() bool {
	return d.set.FirstStart && !d.dispatcher.Asked() && time.Since(d.started) < idleFor
}

// engineOf returns the engine of which a model is one, nil when the document
// has none.
func (d *Daemon) engineOf(model string) (*routes.Service, *routes.Model) {
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

func (d *Daemon) sizeOf(model string) int {
	if _, m := d.engineOf(model); m != nil {
		return m.Size
	}
	return 0
}

func (d *Daemon) stagedTime(model string) time.Duration {
	if _, m := d.engineOf(model); m != nil {
		return m.StagedTime
	}
	return 0
}

func (d *Daemon) generates(name string) bool {
	t := d.routes.Table()
	if t == nil {
		return false
	}
	s, ok := t.Service(name)
	return ok && s.Engine != nil
}
