package membership

import (
	"fmt"
	"time"

	"carawayproxy.example/caraway/internal/journal"
)

// ReadinessPolicy bounds the age of what a daemon acts on.
type ReadinessPolicy struct {
	// MaxAge is how old the last confirmation of a stream by the log, or by
	// a peer on its behalf, may be; DefaultMaxAge when zero.
	MaxAge time.Duration
	// AliveFor is how long a peer's heartbeat counts, DefaultAliveFor when
	// zero.
	AliveFor time.Duration
	// AnyPeer lets one peer suffice to take silence of the log for an outage
	// of the log. By default the daemon and the peers that it hears must be
	// more than half of the daemons that it would be linked with, so that a
	// cut-off minority does not serve an old configuration.
	AnyPeer bool
}

// DefaultMaxAge leaves two seconds of the seven within which a configuration
// is in force.
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

// Readiness reports whether a daemon may act on what it knows, and why not.
// statuses are those of the streams that requests rest on; everHadPeers tells
// whether the daemon has ever heard a peer. All ages are taken against now, so
// a daemon that was frozen finds its knowledge old however fresh it looked to
// the code that made the view.
func Readiness(now time.Time, v View, statuses []journal.Status, everHadPeers bool, policy ReadinessPolicy) (ready bool, reason string) {
	policy = policy.withDefaults()
	if now.Sub(v.At) > policy.AliveFor {
		return false, "the view of the peers is old"
	}
	for _, s := range statuses {
		ok, why := streamReadiness(now, v, s, everHadPeers, policy)
		if !ok {
			return false, fmt.Sprintf("stream %s: %s", s.Stream, why)
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
		return aloneReadiness(now, v, s, policy)
	}
	return outageReadiness(now, v, s, policy)
}

// aloneReadiness decides for a daemon without peers, to which an outage of
// the log and its own lost way to the log look alike: it serves, but after it
// stood still it first gives the log time to answer.
func aloneReadiness(now time.Time, v View, s journal.Status, policy ReadinessPolicy) (bool, string) {
	if s.LogAt.Before(v.ResumedAt) && now.Sub(v.ResumedAt) <= policy.MaxAge {
		return false, "has stood still and not caught up since"
	}
	return true, ""
}

// outageReadiness decides about a stream that has not been confirmed lately:
// it is an outage of the log if enough peers answer, none has the log, and
// none has come further.
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
	if !policy.AnyPeer && 2*(alive+1) <= v.Wanted+1 {
		return false, fmt.Sprintf("the log is silent and only %d of %d peers answer", alive, v.Wanted)
	}
	return true, ""
}

// confirmedAt returns the local moment at which a peer's log surely held
// nothing beyond the peer's position.
func confirmedAt(p Peer, position StreamPosition) (time.Time, bool) {
	if p.SentAt.IsZero() || position.ConfirmedAgeMilli < 0 {
		return time.Time{}, false
	}
	return p.SentAt.Add(-duration(uint64(position.ConfirmedAgeMilli))), true
}
