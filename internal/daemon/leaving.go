package daemon

import (
	"sync"
	"time"

	"carawayproxy.example/caraway/internal/fleet"
)

const (
	// leavingFor is how long a peer's word that an instance is leaving counts
	// at most.
	leavingFor = 10 * time.Minute
	// listSettles is how much newer than a peer's word the platform's list
	// must be to overrule it, more than the list lags.
	listSettles = 15 * time.Second
)

// leavingSet is what peers say of leaving instances. It is safe for
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

// has reports whether a peer's word on the instance still counts. listedAt is
// when the platform's list last showed the instance as not leaving, zero for
// never.
func (s *leavingSet) has(id fleet.InstanceID, now, listedAt time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	since, ok := s.since[id]
	if !ok {
		return false
	}
	overruled := !listedAt.IsZero() && listedAt.Sub(since) > listSettles
	if overruled || now.Sub(since) > leavingFor {
		delete(s.since, id)
		return false
	}
	return true
}
