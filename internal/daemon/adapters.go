package daemon

import (
	"context"
	"time"

	"carawayproxy.example/caraway/internal/admission"
	"carawayproxy.example/caraway/internal/datastore"
	"carawayproxy.example/caraway/internal/dispatch"
	"carawayproxy.example/caraway/internal/fleet"
	"carawayproxy.example/caraway/internal/journal"
	"carawayproxy.example/caraway/internal/routing"
	"carawayproxy.example/caraway/internal/service"
)

// router implements dispatch.Router on the datastore and its group watcher. It
// restricts a workspace that floods a service to its share of the groups.
type router struct {
	*datastore.Store
	*datastore.GroupWatcher
	admission *admission.Controller
}

var _ dispatch.Router = router{}

// Route implements dispatch.Router.
func (r router) Route(req routing.Request) routing.Decision {
	req.Groups = r.admission.GroupRange(time.Now(), req.Service, req.Workspace)
	return r.Store.Route(req)
}

// admissionGate adapts the admission controller to dispatch and sets the
// capacity of requests that have none to this daemon's share.
type admissionGate struct{ d *Daemon }

func (g admissionGate) Admit(now time.Time, req admission.Request) (dispatch.Ticket, *fleet.Failure) {
	if req.Capacity == 0 {
		req.Capacity = g.d.capacityShare(req.Service, now)
	}
	t, failure := g.d.admission.Admit(now, req)
	if failure != nil {
		return nil, failure
	}
	return t, nil
}

// capacityShare returns this daemon's share of the number of requests that the
// whole groups of a service can run concurrently, or zero if no group reports
// a limit.
func (d *Daemon) capacityShare(name fleet.ServiceName, now time.Time) uint32 {
	var total uint32
	for _, c := range d.store.Candidates(name, now) {
		if c.Whole {
			total += c.MaxRunning
		}
	}
	if total == 0 {
		return 0
	}
	daemons := uint32(len(d.aliveDaemons()))
	return (total + daemons - 1) / daemons
}

// catalogSource provides the catalog to dispatch and rejects requests while the
// daemon's state may be stale.
type catalogSource struct{ d *Daemon }

const staleRetryAfter = 2 * time.Second

func (s catalogSource) Catalog() (*service.Catalog, *fleet.Failure) {
	if ok, reason := s.d.canServe(); !ok {
		return nil, fleet.NewNotRunFailure(fleet.ReasonStale, staleRetryAfter, "this daemon is not up to date: %s", reason)
	}
	return s.d.services.Catalog(), nil
}

// peerSource resolves the cyclic dependency between the replicas, which catch
// up from peers, and the mesh, which relays entries for the replicas.
type peerSource struct{ d *Daemon }

var _ journal.PeerSource = peerSource{}

func (p peerSource) FetchState(ctx context.Context, stream journal.Stream) (journal.State, error) {
	return p.d.mesh.FetchState(ctx, stream)
}

func (p peerSource) FetchEntries(ctx context.Context, stream journal.Stream, from journal.Offset, limit int) ([]journal.Entry, error) {
	return p.d.mesh.FetchEntries(ctx, stream, from, limit)
}
