package daemon

import (
	"context"
	"time"

	"carawayproxy.example/caraway/internal/fleet"
	"carawayproxy.example/caraway/internal/journal"
	"carawayproxy.example/caraway/internal/membership"
	"carawayproxy.example/caraway/internal/settings"
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
	return d.serves()
}

// serves reports whether the daemon may serve requests by what it knows.
func (d *Daemon) serves() (bool, string) { return d.readiness(d.callersPolicy()) }

// callersPolicy is the readiness for callers. With CutOffServe one peer
// suffices for that.
func (d *Daemon) callersPolicy() membership.ReadinessPolicy {
	return membership.ReadinessPolicy{AnyPeer: d.set.WhenCutOff == settings.CutOffServe}
}

// informed reports whether the daemon knows enough of the present to act for
// others: to judge an outage of the log or another daemon's end.
func (d *Daemon) informed() (bool, string) {
	return d.readiness(membership.ReadinessPolicy{})
}

func (d *Daemon) readiness(policy membership.ReadinessPolicy) (bool, string) {
	return membership.Readiness(time.Now(), d.mesh.View(), d.statuses(), d.mesh.EverHadPeers(), policy)
}

// outage reports whether the log is down for all: this daemon has not heard it
// for a while, its peers answer, and none of them has it.
func (d *Daemon) outage() bool {
	now := time.Now()
	if !logSilent(d.control.Status(), now) {
		return false
	}
	informed, _ := d.informed()
	return informed && d.mesh.View().AliveAt(now, membership.DefaultAliveFor) > 0
}

// logSilent reports whether neither the log nor a peer on its behalf has been
// heard for a while.
func logSilent(s journal.Status, now time.Time) bool {
	return now.Sub(s.LogAt) > membership.DefaultMaxAge && now.Sub(s.ConfirmedAt) > membership.DefaultMaxAge
}

// gone reports whether a daemon is known to have stopped for good: it is not
// announced in the log and not heard. One that is announced again a moment
// later costs a caller a wait, never a second run.
func (d *Daemon) gone(id fleet.DaemonID) bool {
	if id == d.id || d.mesh.View().Peers[id].Alive {
		return false
	}
	if informed, _ := d.informed(); !informed {
		return false
	}
	_, announced := d.registry.AnnouncedAt(id)
	return !announced
}
