package daemon

import (
	"context"
	"time"

	"carawayproxy.example/caraway/internal/journal"
	"carawayproxy.example/caraway/internal/membership"
)

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

// statuses are those of the streams that every request rests on.
func (d *Daemon) statuses() []journal.Status {
	return []journal.Status{d.config.Status(), d.control.Status()}
}

// Ready reports whether the daemon takes requests from the balancer, and why
// not.
func (d *Daemon) Ready() (bool, string) {
	if d.draining.Load() {
		return false, "draining"
	}
	return d.informed()
}

// informed reports whether the daemon knows enough of the present to act.
func (d *Daemon) informed() (bool, string) {
	return membership.Readiness(time.Now(), d.mesh.View(), d.statuses(), d.mesh.EverHadPeers(), membership.ReadinessPolicy{})
}
