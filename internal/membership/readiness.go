package membership

import (
	"fmt"
	"time"

	"carawayproxy.example/caraway/internal/journal"
)

// ReadinessPolicy bounds the age of the state that a daemon acts on.
type ReadinessPolicy struct {
	// MaxAge is the maximum age of a stream's last confirmation by the log, or
	// by a peer on behalf of the log; DefaultMaxAge if zero.
	MaxAge time.Duration
	// AliveFor is how long a peer counts as alive after a heartbeat;
	// DefaultAliveFor if zero.
	AliveFor time.Duration
	// AnyPeer lets one live peer suffice to conclude that a log that does not
	// answer is down. By default the daemon and its live peers must be more
	// than half of the daemons it should be linked with, so that a partitioned
	// minority does not serve an old configuration.
	AnyPeer bool
}

// DefaultMaxAge leaves two of the seven seconds within which a configuration must
// be in force.
const DefaultMaxAge = 5 * time.Second

func (p ReadinessPolicy) withDefaults() ReadinessPolicy {
	if p.MaxAge == 0 {
		p.MaxAge = DefaultMaxAge
	}
	if p.AliveFor == 0 {
		p.AliveFor = DefaultAliveFor
	}
	return p
}

// Readiness reports whether a daemon may act on its state, and the reason if
// not. statuses are those of the streams that requests depend on; everHadPeers
// is whether any peer's heartbeat was ever received. All ages are relative to
// now, so that a daemon that was frozen sees its state as old, even if the
// state was fresh when the view was built.
func Readiness(now time.Time, v View, statuses []journal.Status, everHadPeers bool, policy ReadinessPolicy) (ready bool, reason string) {
	policy = policy.withDefaults()
	if now.Sub(v.At) > policy.AliveFor {
		return false, "the view of the peers is old"
	}
	for _, s := range statuses {
		ok, reason := streamReadiness(now, v, s, everHadPeers, policy)
		if !ok {
			return false, fmt.Sprintf("stream %s: %s", s.Stream, reason)
		}
	}
	return true, ""
}

func streamReadiness(now time.Time, v View, s journal.Status, everHadPeers bool, policy ReadinessPolicy) (bool, string) {
	switch {
	case s.Err != nil:
		return false, "can't fold: " + s.Err.Error()
	case s.ConfirmedAt.IsZero():
		return false, "not caught up since start"
	case now.Sub(s.ConfirmedAt) <= policy.MaxAge:
		return true, ""
	case !everHadPeers:
		return standaloneReadiness(now, v, s, policy)
	}
	return outageReadiness(now, v, s, policy)
}

// standaloneReadiness decides for a daemon without peers, which can't tell an
// outage of the log from a loss of its own connection to the log. It is ready,
// but after it was frozen it first gives the log time to answer.
func standaloneReadiness(now time.Time, v View, s journal.Status, policy ReadinessPolicy) (bool, string) {
	if s.LastLogResponse.Before(v.ResumedAt) && now.Sub(v.ResumedAt) <= policy.MaxAge {
		return false, "has stood still and not caught up since"
	}
	return true, ""
}

// outageReadiness decides about a stream without a recent confirmation. The log
// counts as down if enough peers are alive, none of them can reach the log, and
// none is ahead.
func outageReadiness(now time.Time, v View, s journal.Status, policy ReadinessPolicy) (bool, string) {
	alive := v.AliveAt(now, policy.AliveFor)
	if alive == 0 {
		return false, "neither the log nor a peer answers"
	}
	for id, p := range v.Peers {
		if !p.freshAt(now, policy.AliveFor) {
			continue
		}
		position, has := p.Heartbeat.Streams[s.Stream]
		if !has {
			continue
		}
		if position.Next > s.Next {
			return false, fmt.Sprintf("behind %s by %d records", id, position.Next-s.Next)
		}
		if confirmed, ok := confirmedAt(p, position); ok && now.Sub(confirmed) <= policy.MaxAge {
			return false, fmt.Sprintf("%s has the log, this daemon has yet to confirm", id)
		}
	}
	if !policy.AnyPeer && 2*(alive+1) <= v.ExpectedLinks+1 {
		return false, fmt.Sprintf("the log is silent and only %d of %d peers answer", alive, v.ExpectedLinks)
	}
	return true, ""
}

// confirmedAt returns a local time at which the log contained nothing beyond the
// peer's position, and whether there is one.
func confirmedAt(p Peer, position StreamPosition) (time.Time, bool) {
	if p.SentAt.IsZero() || position.ConfirmedAgeMilli < 0 {
		return time.Time{}, false
	}
	return p.SentAt.Add(-boundedMillis(uint64(position.ConfirmedAgeMilli))), true
}
