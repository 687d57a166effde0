package daemon

import (
	"context"
	"time"

	"carawayproxy.example/caraway/internal/membership"
)

const (
	drainPoll       = 50 * time.Millisecond
	releaseTimeout  = 2 * time.Second
	goodbyeTimeout  = 2 * time.Second
	shutdownTimeout = 2 * time.Second
)

// Drain begins a planned stop; Run returns once it has ended.
func (d *Daemon) Drain() {
	d.drain.Do(func() {
		d.draining.Store(true)
		close(d.drainNow)
	})
}

// stopGracefully carries out a planned stop: unready at once, a while of
// still accepting until the balancer has noticed, then no new requests, those
// in flight to their end, outcomes recorded, leases released, peers told.
func (d *Daemon) stopGracefully(ctx context.Context, servers []endpoint) {
	d.events.Emit(eventDraining, "in_flight", d.dispatcher.InFlight())
	d.mesh.Goodbye()
	pause(ctx, d.set.DrainGrace)
	d.dispatcher.Drain()
	d.releaseLeases(ctx)

	deadline, cancel := context.WithTimeout(ctx, d.set.DrainTimeout)
	defer cancel()
	for d.dispatcher.InFlight() > 0 || d.records.Pending() > 0 {
		if !pause(deadline, drainPoll) {
			d.events.Emit(eventDrainCut, "in_flight", d.dispatcher.InFlight(), "outcomes", d.records.Pending())
			return
		}
	}
	d.sayGoodbye(deadline)
	shutdown(deadline, servers)
	d.events.Emit(eventDrained)
}

func (d *Daemon) releaseLeases(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	d.keeper.ReleaseAll(ctx)
}

func (d *Daemon) sayGoodbye(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, goodbyeTimeout)
	defer cancel()
	d.control.Propose(ctx, membership.KindGoodbye, membership.Goodbye{Daemon: d.id})
}

// shutdown lets answers that were given be written to their end.
func shutdown(ctx context.Context, servers []endpoint) {
	ctx, cancel := context.WithTimeout(ctx, shutdownTimeout)
	defer cancel()
	for _, s := range servers {
		_ = s.server.Shutdown(ctx)
	}
}

// pause waits and reports whether ctx still stands.
func pause(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
