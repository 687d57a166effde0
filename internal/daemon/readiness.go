package daemon

import (
	"context"
	"time"

	"carawayproxy.example/caraway/internal/fleet"
	"carawayproxy.example/caraway/internal/journal"
	"carawayproxy.example/caraway/internal/membership"
	"carawayproxy.example/caraway/internal/settings"
)

// readinessInterval is the time between two readiness checks.
const readinessInterval = 200 * time.Millisecond

// reportReadiness emits an event when the daemon becomes ready or unready.
func (d *Daemon) reportReadiness(ctx context.Context) {
	tick := time.NewTicker(readinessInterval)
	defer tick.Stop()
	wasReady := false
	for {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
		ok, reason := d.Ready()
		switch {
		case ok && !wasReady:
			d.events.Emit(eventReady, "revision", d.services.Catalog().Revision)
		case !ok && wasReady:
			d.events.Emit(eventUnready, "reason", reason)
		}
		wasReady = ok
	}
}

// requiredStreamStatuses returns the statuses of the streams that every request
// depends on.
func (d *Daemon) requiredStreamStatuses() []journal.Status {
	return []journal.Status{d.config.Status(), d.control.Status()}
}

// Ready reports whether the daemon accepts requests from the balancer. If not,
// it also returns the reason.
func (d *Daemon) Ready() (bool, string) {
	if d.draining.Load() {
		return false, "draining"
	}
	return d.canServe()
}

// canServe reports whether the daemon's state is recent enough to serve
// requests. If not, it also returns the reason.
func (d *Daemon) canServe() (bool, string) { return d.readiness(d.callerReadinessPolicy()) }

// callerReadinessPolicy returns the readiness policy for callers' requests.
// With CutOffServe, one reachable peer suffices.
func (d *Daemon) callerReadinessPolicy() membership.ReadinessPolicy {
	return membership.ReadinessPolicy{AnyPeer: d.settings.WhenCutOff == settings.CutOffServe}
}

// hasCurrentView reports whether the daemon's view is recent enough to judge an
// outage of the log or the end of another daemon.
func (d *Daemon) hasCurrentView() (bool, string) {
	return d.readiness(membership.ReadinessPolicy{})
}

func (d *Daemon) readiness(policy membership.ReadinessPolicy) (bool, string) {
	return membership.Readiness(time.Now(), d.mesh.View(), d.requiredStreamStatuses(), d.mesh.EverHadPeers(), policy)
}

// isLogOutage reports whether the log is unavailable to all daemons: this
// daemon has had no response from it for DefaultMaxAge, peers are alive, and
// none of them confirms the log.
func (d *Daemon) isLogOutage() bool {
	now := time.Now()
	if !isLogUnavailable(d.control.Status(), now) {
		return false
	}
	informed, _ := d.hasCurrentView()
	return informed && d.mesh.View().AliveAt(now, membership.DefaultAliveFor) > 0
}

// isLogUnavailable reports whether neither the log has responded nor a peer has
// confirmed it within DefaultMaxAge.
func isLogUnavailable(s journal.Status, now time.Time) bool {
	return now.Sub(s.LastLogResponse) > membership.DefaultMaxAge && now.Sub(s.ConfirmedAt) > membership.DefaultMaxAge
}

// hasStopped reports whether a daemon has stopped for good: it is not announced
// in the log and sends no heartbeats. If it announces itself again shortly
// afterwards, a caller may wait longer, but no request runs twice.
func (d *Daemon) hasStopped(id fleet.DaemonID) bool {
	if id == d.id || d.mesh.View().Peers[id].Alive {
		return false
	}
	if informed, _ := d.hasCurrentView(); !informed {
		return false
	}
	_, announced := d.registry.AnnouncedAt(id)
	return !announced
}
