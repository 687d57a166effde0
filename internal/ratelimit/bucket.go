package ratelimit

import (
	"math"
	"slices"
	"sync"
	"time"

	"carawayproxy.example/caraway/internal/fleet"
)

const (
	// full is a credit of one request, less rounding errors.
	full = 1 - 1e-9
	// never is the wait of a daemon that is no owner of a server.
	never = time.Duration(math.MaxInt64)
)

// bucket is this daemon's part of what a server takes from all daemons together.
type bucket struct {
	// share is the number of requests a second that this daemon may send, as of
	// shareAt; zero if it is no owner.
	share   float64
	shareAt time.Time
	// credit is the number of requests that this daemon may send, as of creditAt.
	credit   float64
	creditAt time.Time
}

// fill adds the credit of the time that has passed, up to most.
func (b *bucket) fill(most float64, now time.Time) {
	b.credit = min(b.credit+b.share*max(now.Sub(b.creditAt), 0).Seconds(), most)
	b.creditAt = now
}

// setShare changes the share. A daemon that is no owner keeps no credit.
func (b *bucket) setShare(share float64, now time.Time) {
	b.share, b.shareAt = share, now
	if share == 0 {
		b.credit = 0
	}
}

// wait returns the time until there is a credit of one request.
func (b *bucket) wait() time.Duration {
	switch {
	case b.credit >= full:
		return 0
	case b.share == 0:
		return never
	default:
		return time.Duration((1 - b.credit) / b.share * float64(time.Second))
	}
}

// take charges one request. It returns false if there is no credit for it.
func (b *bucket) take() bool {
	if b.credit < full {
		return false
	}
	b.credit--
	return true
}

// daemonSet caches the daemons that share rates.
type daemonSet struct {
	fetch func() []fleet.DaemonID

	mu      sync.Mutex
	list    []fleet.DaemonID
	version int // rises with each change of list
	at      time.Time
}

// ranking is the position of this daemon in a server's ranking of the daemons. The zero
// value is for no set of daemons.
type ranking struct {
	rank    int // -1 if this daemon is not among them
	version int // of the set that rank is for
}

// rank brings a ranking for a server up to date, and returns the position in it and the
// number of daemons.
func (s *daemonSet) rank(r *ranking, server fleet.InstanceID, self fleet.DaemonID, now time.Time) (rank, n int) {
	daemons, version := s.current(now)
	if r.version != version {
		*r = ranking{rank: -1, version: version}
		if slices.Contains(daemons, self) {
			r.rank = fleet.RendezvousRank(string(server), self, daemons)
		}
	}
	return r.rank, len(daemons)
}

// current returns the daemons, and a number that tells one set of them from another.
func (s *daemonSet) current(now time.Time) (list []fleet.DaemonID, version int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Sub(s.at) >= ShareTTL {
		if list := s.fetch(); s.version == 0 || !slices.Equal(list, s.list) {
			s.list = list
			s.version++
		}
		s.at = now
	}
	return s.list, s.version
}
