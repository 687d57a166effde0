package daemon

import (
	"sync"
	"time"

	"carawayproxy.example/caraway/internal/fleet"
)

const (
	// peerLeavingTTL is how long a peer's report that an instance is leaving
	// stays valid.
	peerLeavingTTL = 10 * time.Minute
	// listOverruleAge is how much newer than a peer's report the platform's
	// list must be to overrule it. It exceeds the lag of the list.
	listOverruleAge = 15 * time.Second
)

// leavingSet holds the peers' reports of leaving instances. It is safe for
// concurrent use.
type leavingSet struct {
	mu    sync.Mutex
	since map[fleet.InstanceID]time.Time
}

func (s *leavingSet) add(ids []fleet.InstanceID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.since == nil {
		s.since = map[fleet.InstanceID]time.Time{}
	}
	now := time.Now()
	for _, id := range ids {
		s.since[id] = now
	}
}

// has reports whether a peer's report that the instance is leaving is still
// valid. listedAt is when the platform's list last showed the instance as not
// leaving, or zero if it never did.
func (s *leavingSet) has(id fleet.InstanceID, now, listedAt time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	since, ok := s.since[id]
	if !ok {
		return false
	}
	overruled := !listedAt.IsZero() && listedAt.Sub(since) > listOverruleAge
	if overruled || now.Sub(since) > peerLeavingTTL {
		delete(s.since, id)
		return false
	}
	return true
}
