package daemon

import (
	"context"
	"time"

	"carawayproxy.example/caraway/internal/admission"
	"carawayproxy.example/caraway/internal/datastore"
	"carawayproxy.example/caraway/internal/dispatch"
	"carawayproxy.example/caraway/internal/fleet"
	"carawayproxy.example/caraway/internal/journal"
	"carawayproxy.example/caraway/internal/membership"
	"carawayproxy.example/caraway/internal/service"
)

// router joins the datastore and its lapses to dispatch's port.
type router struct {
	*datastore.Store
	*datastore.Lapses
}

var _ dispatch.Router = router{}

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
	if ok, reason := k.d.informed(); !ok {
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

// greet announces the daemon in the control stream, again well before the
// announcement ages out, and keeps the mesh's addresses in step with the
// announcements and the platform's list.
func (d *Daemon) greet(ctx context.Context) {
	for {
		d.sayHello(ctx)
		d.mesh.SetPlaces(d.places())
		select {
		case <-time.After(greetEvery):
		case <-ctx.Done():
			return
		}
	}
}

const (
	greetEvery   = time.Second
	helloTimeout = 5 * time.Second
)

func (d *Daemon) sayHello(ctx context.Context) {
	if d.draining.Load() {
		return
	}
	at, known := d.registry.AnnouncedAt(d.id)
	if known && d.control.Status().Next-at < membership.HelloEvery {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, helloTimeout)
	defer cancel()
	res := d.control.Propose(ctx, membership.KindHello, membership.Hello{
		Daemon:      d.id,
		Address:     d.peerAddress(),
		Zone:        fleet.Zone(d.set.Zone),
		Incarnation: uint64(d.started.UnixNano()),
	})
	if res.Fate != journal.FateAccepted && ctx.Err() == nil {
		d.events.Emit(eventHelloFailed, "error", res.Err, "reason", res.Verdict.Reason)
	}
}

// places are the daemons known from the log and from the platform's list.
func (d *Daemon) places() []membership.Place {
	seen := map[string]bool{d.peerAddress(): true}
	var out []membership.Place
	add := func(p membership.Place) {
		if !seen[p.Address] {
			seen[p.Address] = true
			out = append(out, p)
		}
	}
	for _, h := range d.registry.Daemons() {
		add(membership.Place{Address: h.Address, Zone: h.Zone})
	}
	for _, i := range d.instances() {
		if i.Kind == fleet.KindDaemon {
			add(membership.Place{Address: i.Address, Zone: i.Zone})
		}
	}
	return out
}

// readinessEvery is the time between two looks at the daemon's readiness.
const readinessEvery = 200 * time.Millisecond

// tellReadiness emits an event whenever the daemon turns ready or unready.
func (d *Daemon) tellReadiness(ctx context.Context) {
	tick := time.NewTicker(readinessEvery)
	defer tick.Stop()
	was := false
	for {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
		ok, reason := d.Ready()
		switch {
		case ok && !was:
			d.events.Emit(eventReady, "revision", d.services.Catalog().Revision)
		case !ok && was:
			d.events.Emit(eventUnready, "reason", reason)
		}
		was = ok
	}
}
