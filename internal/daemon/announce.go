package daemon

import (
	"context"
	"time"

	"carawayproxy.example/caraway/internal/fleet"
	"carawayproxy.example/caraway/internal/journal"
	"carawayproxy.example/caraway/internal/membership"
)

// runAnnouncements keeps this daemon announced in the control stream, updates
// the peer endpoints of the mesh from the announcements and the platform's
// list, and withdraws the announcements of absent daemons.
func (d *Daemon) runAnnouncements(ctx context.Context) {
	absent := absentSince{}
	for {
		d.announce(ctx)
		d.mesh.SetEndpoints(d.peerEndpoints())
		d.withdrawAbsent(ctx, absent)
		select {
		case <-time.After(announceInterval):
		case <-ctx.Done():
			return
		}
	}
}

const (
	announceInterval = time.Second
	announceTimeout  = 5 * time.Second
)

// announce proposes this daemon's announcement if the last one is missing or
// at least membership.HelloInterval records old, well before it ages out of the
// registry.
func (d *Daemon) announce(ctx context.Context) {
	if d.draining.Load() {
		return
	}
	at, known := d.registry.AnnouncedAt(d.id)
	if known && d.control.Status().Next-at < membership.HelloInterval {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	res := d.control.Propose(ctx, membership.KindHello, membership.Hello{
		Daemon:      d.id,
		Address:     d.peerAddress(),
		Zone:        fleet.Zone(d.settings.Zone),
		Incarnation: uint64(d.started.UnixNano()),
	})
	if res.Outcome != journal.OutcomeAccepted && ctx.Err() == nil {
		d.events.Emit(eventAnnounceFailed, "error", res.Err, "reason", res.Verdict.Reason)
	}
}

// peerEndpoints returns the endpoints of the other daemons in the log and in
// the platform's list.
func (d *Daemon) peerEndpoints() []membership.Endpoint {
	seen := map[string]bool{d.peerAddress(): true}
	var out []membership.Endpoint
	add := func(e membership.Endpoint) {
		if !seen[e.Address] {
			seen[e.Address] = true
			out = append(out, e)
		}
	}
	for _, h := range d.registry.Daemons() {
		add(membership.Endpoint{Address: h.Address, Zone: h.Zone})
	}
	for _, i := range d.instances() {
		if i.Kind == fleet.KindDaemon {
			add(membership.Endpoint{Address: i.Address, Zone: i.Zone})
		}
	}
	return out
}

// absenceTimeout is how long a daemon must send no heartbeats before its
// announcement is withdrawn. A daemon that is still running announces itself
// again.
const absenceTimeout = 2 * time.Minute

// absentSince maps announced daemons that send no heartbeats to the time at
// which that was first observed.
type absentSince map[fleet.DaemonID]time.Time

// withdrawAbsent withdraws the announcement of a daemon that stopped without
// withdrawing it, so that the number of announced daemons, by which an outage
// of the log is judged, stays correct. Only the holder of the snapshot scope
// does so, for at most one daemon per call.
func (d *Daemon) withdrawAbsent(ctx context.Context, absent absentSince) {
	now := time.Now()
	peers := d.mesh.View().Peers
	announced := map[fleet.DaemonID]bool{}
	for _, h := range d.registry.Daemons() {
		announced[h.Daemon] = true
		if h.Daemon == d.id || peers[h.Daemon].Alive {
			delete(absent, h.Daemon)
			continue
		}
		since, ok := absent[h.Daemon]
		if !ok {
			absent[h.Daemon] = now
			continue
		}
		if now.Sub(since) < absenceTimeout || !d.holdsLease(snapshotScope) {
			continue
		}
		ctx, cancel := context.WithTimeout(ctx, announceTimeout)
		defer cancel()
		d.control.Propose(ctx, membership.KindGoodbye, membership.Goodbye{Daemon: h.Daemon})
		d.events.Emit(eventAnnouncementWithdrawn, "peer", h.Daemon, "unheard", now.Sub(since))
		return
	}
	for id := range absent {
		if !announced[id] {
			delete(absent, id)
		}
	}
}
