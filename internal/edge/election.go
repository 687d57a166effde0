package edge

import (
	"context"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"carawayproxy.example/caraway/internal/fleet"
	"carawayproxy.example/caraway/internal/membership"
	"carawayproxy.example/caraway/internal/settings"
)

// claimStagger is the interval at which, while the lease has no holder, one more
// daemon becomes a candidate for it. Most daemons therefore need no call to the
// store.
const claimStagger = 150 * time.Millisecond

// discoveryPeriod is how long after its start a daemon may not have heard of those that
// started with it: until they are listed, links are open, and a heartbeat was echoed.
const discoveryPeriod = 200*time.Millisecond + 2*membership.DefaultHeartbeatInterval

// isFormerProcess reports whether the daemon ID belongs to an earlier process of
// this instance, which has ended.
func (d *Daemon) isFormerProcess(member string) bool {
	return member != string(d.id) && settings.InstanceName(fleet.DaemonID(member)) == d.settings.Name
}

// isCandidate reports whether this daemon may claim the scope. A daemon without links
// to all others may do so only if it hears none that has them: it might not hear the
// holder, and would not know the counts that the control work needs. Daemons that
// receive each other's heartbeats become candidates one after another. Daemons
// with more processors come first, because the control work grows with the
// number of backend servers and would take processor time from the requests on a
// small machine. Among equals the order is by hash, independent of zones and
// addresses.
func (d *Daemon) isCandidate() bool {
	ahead, hasHolder, hasOlder, hearsHub := 0, false, false, false
	d.anyRecentPeer(func(p membership.Peer) bool {
		hearsHub = hearsHub || d.mesh.IsHubAt(p.Heartbeat.Address)
		if !p.Heartbeat.Draining && d.claimsBefore(p.Heartbeat) {
			ahead++
		}
		hasHolder = hasHolder || p.Heartbeat.HoldsScope
		hasOlder = hasOlder || p.Heartbeat.Sequence > uint64(startupPeriod/membership.DefaultHeartbeatInterval)
		d.elector.ObserveRenewal(p.Heartbeat.Renewal)
		return false
	})
	now := time.Since(d.started)
	if hasHolder {
		d.holderSeenAt.Store(int64(now))
		return false
	}
	if !d.mesh.IsHub() && (hearsHub || now < startupPeriod) {
		return false
	}
	wait := time.Duration(ahead) * claimStagger
	if now < startupPeriod && hasOlder {
		wait += startupClaimDelay
	}
	return now-time.Duration(d.holderSeenAt.Load()) > wait
}

// knowsPeers reports whether this daemon has had the time to hear the daemons that claim
// the scope before it, or to read that no other has more processors.
func (d *Daemon) knowsPeers() bool {
	age := time.Since(d.started)
	return age >= discoveryPeriod || age >= 2*discoveryInterval && !slices.ContainsFunc(d.mesh.Endpoints(), func(e membership.Endpoint) bool {
		return e.Processors > d.settings.Processors
	})
}

// claimsBefore reports whether a peer becomes a candidate for the scope before
// this daemon.
func (d *Daemon) claimsBefore(peer membership.Heartbeat) bool {
	if peer.Processors != d.settings.Processors {
		return peer.Processors > d.settings.Processors
	}
	return xxhash.Sum64String(string(peer.From)) < xxhash.Sum64String(string(d.id))
}

// checkStore probes the store when a peer has reported that it is unavailable.
// Long polls alone would detect an outage late.
func (d *Daemon) checkStore(ctx context.Context) {
	claims := d.env.Platform.Claims(scopePlacement)
	wait := storeCheckInterval
	for sleep(ctx, wait) {
		wait = storeCheckInterval
		if d.storeUnavailable.Load() || !d.mesh.IsHub() || !d.anyRecentPeer(func(p membership.Peer) bool { return p.Heartbeat.StoreUnavailable }) {
			continue
		}
		call, cancel := context.WithTimeout(ctx, storeCheckTimeout)
		_, err := claims.Tail(call)
		cancel()
		if err == nil {
			wait = storeCheckValidity
			continue
		}
		if ctx.Err() == nil {
			d.storeUnavailable.Store(true)
			d.mesh.RequestHeartbeat()
			d.events.Emit(eventStoreFailed, "what", "claim log, which a peer reported unavailable", "error", err)
		}
	}
}

// isOutageConfirmed reports whether all daemons with a recent heartbeat that may
// claim the scope report the store as unavailable, and they are at least half as many
// as when the store last responded to this daemon. It also returns true for
// outageEndGrace afterwards. Daemons that see this daemon as the lease holder do not
// claim the scope when the store recovers.
func (d *Daemon) isOutageConfirmed() bool {
	now := d.env.Elapsed()
	answered := d.anyRecentPeer(func(p membership.Peer) bool {
		return !p.Heartbeat.StoreUnavailable && d.mesh.IsHubAt(p.Heartbeat.Address)
	})
	if !answered && 2*int64(d.countRecentPeers()) >= d.peersAtStoreContact.Load() {
		d.outageConfirmedAt.Store(int64(now))
		return true
	}
	return now-time.Duration(d.outageConfirmedAt.Load()) < outageEndGrace
}

// countRecentPeers returns the number of peers with a recent heartbeat that may claim
// the scope.
func (d *Daemon) countRecentPeers() int {
	n := 0
	d.anyRecentPeer(func(p membership.Peer) bool {
		if d.mesh.IsHubAt(p.Heartbeat.Address) {
			n++
		}
		return false
	})
	return n
}

// yieldAfter is how long a holder without links to all others keeps the scope once it
// hears a daemon that has them.
const yieldAfter = 3 * time.Second

// shouldYield reports whether this daemon, which holds the scope, should leave it to a
// daemon that has links to all others.
func (d *Daemon) shouldYield() bool {
	now := time.Since(d.started)
	if d.mesh.IsHub() || !d.anyRecentPeer(func(p membership.Peer) bool {
		return d.mesh.IsHubAt(p.Heartbeat.Address) && !p.Heartbeat.StoreUnavailable && !p.Heartbeat.Draining
	}) {
		d.isFitSince.Store(int64(now))
		return false
	}
	return now-time.Duration(d.isFitSince.Load()) > yieldAfter
}
