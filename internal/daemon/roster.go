package daemon

import (
	"context"
	"time"

	"carawayproxy.example/caraway/internal/fleet"
	"carawayproxy.example/caraway/internal/journal"
	"carawayproxy.example/caraway/internal/membership"
)

// greet announces the daemon in the control stream, again well before the
// announcement ages out, and keeps the mesh's addresses in step with the
// announcements and the platform's list.
func (d *Daemon) greet(ctx context.Context) {
	gone := absences{}
	for {
		d.sayHello(ctx)
		d.mesh.SetPlaces(d.places())
		d.takeBack(ctx, gone)
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

// goneAfter is how long a daemon must be unheard before its announcement is
// taken back. A daemon that lives after all announces itself again.
const goneAfter = 2 * time.Minute

// absences is since when announced daemons have not been heard.
type absences map[fleet.DaemonID]time.Time

// takeBack takes back the announcement of a daemon that has ended without a
// goodbye, so that the count of daemons that an outage of the log is judged by
// stays true. Only the holder of the snapshot scope does, one in each call.
func (d *Daemon) takeBack(ctx context.Context, gone absences) {
	now := time.Now()
	peers := d.mesh.View().Peers
	announced := map[fleet.DaemonID]bool{}
	for _, h := range d.registry.Daemons() {
		announced[h.Daemon] = true
		if h.Daemon == d.id || peers[h.Daemon].Alive {
			delete(gone, h.Daemon)
			continue
		}
		since, ok := gone[h.Daemon]
		if !ok {
			gone[h.Daemon] = now
			continue
		}
		if now.Sub(since) < goneAfter || !d.holds(snapshotScope) {
			continue
		}
		ctx, cancel := context.WithTimeout(ctx, helloTimeout)
		defer cancel()
		d.control.Propose(ctx, membership.KindGoodbye, membership.Goodbye{Daemon: h.Daemon})
		d.events.Emit(eventTakenBack, "peer", h.Daemon, "unheard", now.Sub(since))
		return
	}
	for id := range gone {
		if !announced[id] {
			delete(gone, id)
		}
	}
}
