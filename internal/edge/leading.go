package edge

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"

	"carawayproxy.example/caraway/internal/fleet"
	"carawayproxy.example/caraway/internal/membership"
	"carawayproxy.example/caraway/internal/settings"
)

// While nobody leads, one daemon more claims the scope after each standAfter, so
// that most of them need no call.
const standAfter = 150 * time.Millisecond

// former reports whether a daemon's id is that of an earlier process of this
// instance, which has ended.
func (d *Daemon) former(member string) bool {
	return member != string(d.id) && settings.InstanceOf(fleet.DaemonID(member)) == d.set.Name
}

// stands reports whether this daemon may claim the scope. Those that hear each
// other take turns, those with more processors first: the work grows with the
// backend servers, and a small machine would starve its callers for it. Among
// equals the order has nothing to do with their places.
func (d *Daemon) stands() bool {
	ahead, leader, older := 0, false, false
	d.hears(func(p membership.Peer) bool {
		if !p.Heartbeat.Draining && d.goesAhead(p.Heartbeat) {
			ahead++
		}
		leader = leader || p.Heartbeat.Leads
		older = older || p.Heartbeat.Sequence > uint64(youngFor/membership.DefaultBeat)
		d.tenure.Heard(p.Heartbeat.Renewed)
		return false
	})
	now := time.Since(d.started)
	if leader {
		d.leaderAt.Store(int64(now))
		return false
	}
	wait := time.Duration(ahead) * standAfter
	if now < youngFor && older {
		wait += youngDelay
	}
	return now-time.Duration(d.leaderAt.Load()) > wait
}

// goesAhead reports whether a peer may claim the scope before this daemon.
func (d *Daemon) goesAhead(peer membership.Heartbeat) bool {
	if peer.Processors != d.set.Processors {
		return peer.Processors > d.set.Processors
	}
	return xxhash.Sum64String(string(peer.From)) < xxhash.Sum64String(string(d.id))
}

// checkStore asks the store, when a peer has told that it is away, whether it is
// so here as well: reads that wait for news would tell late.
func (d *Daemon) checkStore(ctx context.Context) {
	claims := d.env.Platform.Claims(scopePlacement)
	wait := storeCheckEvery
	for pause(ctx, wait) {
		wait = storeCheckEvery
		if d.storeAway.Load() || !d.hears(func(p membership.Peer) bool { return p.Heartbeat.StoreAway }) {
			continue
		}
		call, cancel := context.WithTimeout(ctx, storeCheck)
		_, err := claims.Tail(call)
		cancel()
		if err == nil {
			wait = storeChecked
			continue
		}
		if ctx.Err() == nil {
			d.storeAway.Store(true)
			d.mesh.Hurry()
			d.events.Emit(eventReadFailed, "what", "claims, which a peer does not reach", "error", err)
		}
	}
}

// vouched reports whether the store answers no daemon that is heard, and at
// least half of those are heard that were when it last answered this one, or
// whether this was so a moment ago. A daemon that hears this one lead does not
// claim the scope when the store is back.
func (d *Daemon) vouched() bool {
	now := d.env.Elapsed()
	answered := d.hears(func(p membership.Peer) bool { return !p.Heartbeat.StoreAway })
	if !answered && 2*int64(d.countHeard()) >= d.peersThen.Load() {
		d.vouchedAt.Store(int64(now))
		return true
	}
	return now-time.Duration(d.vouchedAt.Load()) < vouchGrace
}

// countHeard counts the peers that were heard lately.
func (d *Daemon) countHeard() int {
	n := 0
	d.hears(func(membership.Peer) bool {
		n++
		return false
	})
	return n
}
