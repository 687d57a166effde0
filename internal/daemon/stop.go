package daemon

import (
	"context"
	"time"

	"carawayproxy.example/caraway/internal/membership"
)

const (
	drainPollInterval = 50 * time.Millisecond
	releaseTimeout    = 2 * time.Second
	goodbyeTimeout    = 2 * time.Second
	shutdownTimeout   = 2 * time.Second
)

// Drain starts a planned stop. Run returns once the stop is complete.
func (d *Daemon) Drain() {
	d.drainOnce.Do(func() {
		d.draining.Store(true)
		close(d.drainStarted)
	})
}

// stopGracefully performs a planned stop. The daemon becomes unready and
// notifies its peers, accepts requests for DrainGrace until the balancer has
// noticed, rejects new requests, releases its leases, waits until the requests
// in flight have ended and their outcomes are recorded, and withdraws its
// announcement and shuts the servers down.
func (d *Daemon) stopGracefully(ctx context.Context, servers []boundServer) {
	d.events.Emit(eventDraining, "in_flight", d.dispatcher.InFlight())
	d.mesh.Goodbye()
	sleep(ctx, d.settings.DrainGrace)
	d.dispatcher.Drain()
	d.releaseLeases(ctx)

	deadline, cancel := context.WithTimeout(ctx, d.settings.DrainTimeout)
	defer cancel()
	for d.dispatcher.InFlight() > 0 || d.ledgerClient.Pending() > 0 {
		if !sleep(deadline, drainPollInterval) {
			d.events.Emit(eventDrainTimeout, "in_flight", d.dispatcher.InFlight(), "outcomes", d.ledgerClient.Pending())
			return
		}
	}
	d.withdrawAnnouncement(deadline)
	shutdown(deadline, servers)
	d.events.Emit(eventDrained)
}

func (d *Daemon) releaseLeases(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	d.leaseManager.ReleaseAll(ctx)
}

func (d *Daemon) withdrawAnnouncement(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, goodbyeTimeout)
	defer cancel()
	d.control.Propose(ctx, membership.KindGoodbye, membership.Goodbye{Daemon: d.id})
}

// shutdown waits until responses in progress are written.
func shutdown(ctx context.Context, servers []boundServer) {
	ctx, cancel := context.WithTimeout(ctx, shutdownTimeout)
	defer cancel()
	for _, s := range servers {
		_ = s.server.Shutdown(ctx)
	}
}

// sleep waits for d and returns true, or returns false as soon as ctx ends.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
