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

// router joins the datastore and its lapses to dispatch's port, and keeps a
// workspace that floods a service to its part of the groups.
type router struct {
	*datastore.Store
	*datastore.Lapses
	admission *admission.Controller
}

var _ dispatch.Router = router{}

// Route implements dispatch.Router.
func (r router) Route(req routing.Request) routing.Decision {
	req.Part = r.admission.Part(time.Now(), req.Service, req.Workspace)
	return r.Store.Route(req)
}

// gate adapts the admission controller to dispatch's port and adds this
// daemon's part of the capacity.
type gate struct{ d *Daemon }

func (g gate) Admit(now time.Time, req admission.Request) (dispatch.Ticket, *fleet.Failure) {
	if req.Capacity == 0 {
		req.Capacity = g.d.capacity(req.Service, now)
	}
	t, failure := g.d.admission.Admit(now, req)
	if failure != nil {
		return nil, failure
	}
	return t, nil
}

// capacity is this daemon's part of what the whole groups of a service can
// run at once, zero when they do not say.
func (d *Daemon) capacity(name fleet.ServiceName, now time.Time) uint32 {
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

// knowledge refuses while the daemon may be out of date.
type knowledge struct{ d *Daemon }

const staleRetryAfter = 2 * time.Second

func (k knowledge) Catalog() (*service.Catalog, *fleet.Failure) {
	if ok, reason := k.d.serves(); !ok {
		return nil, fleet.Refuse(fleet.ReasonStale, staleRetryAfter, "this daemon is not up to date: %s", reason)
	}
	return k.d.services.Catalog(), nil
}

// peerSource breaks the circle between replicas, which catch up from peers,
// and the mesh, which relays for replicas.
type peerSource struct{ d *Daemon }

var _ journal.PeerSource = peerSource{}

func (p peerSource) FetchState(ctx context.Context, stream journal.Stream) (journal.State, error) {
	return p.d.mesh.FetchState(ctx, stream)
}

func (p peerSource) FetchEntries(ctx context.Context, stream journal.Stream, from journal.Offset, limit int) ([]journal.Entry, error) {
	return p.d.mesh.FetchEntries(ctx, stream, from, limit)
}
