package dispatch

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"carawayproxy.example/caraway/internal/fleet"
)

// runTimeEWMAWeight is the weight of a new sample in a service's moving average.
const runTimeEWMAWeight = 0.05

// runTimes holds a moving average, per service, of the time from the first to
// the last token.
type runTimes struct {
	mu   sync.RWMutex
	mean map[fleet.ServiceName]time.Duration
}

func (r *runTimes) get(s fleet.ServiceName) time.Duration {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.mean[s]
}

func (r *runTimes) add(s fleet.ServiceName, took time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.mean == nil {
		r.mean = map[fleet.ServiceName]time.Duration{}
	}
	old, known := r.mean[s]
	if !known {
		r.mean[s] = took
		return
	}
	r.mean[s] = old + time.Duration(runTimeEWMAWeight*float64(took-old))
}

// isolatedGroups holds the groups on which this daemon runs a suspect request
// isolated; its other requests are not sent there.
type isolatedGroups struct {
	count  atomic.Int32
	mu     sync.Mutex
	groups map[fleet.GroupID]int
}

func (s *isolatedGroups) add(g fleet.GroupID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.groups == nil {
		s.groups = map[fleet.GroupID]int{}
	}
	s.groups[g]++
	s.count.Add(1)
}

func (s *isolatedGroups) remove(g fleet.GroupID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.groups[g]--
	if s.groups[g] == 0 {
		delete(s.groups, g)
	}
	s.count.Add(-1)
}

// exclude returns the failed groups and the isolated ones.
func (s *isolatedGroups) exclude(failed []fleet.GroupID) []fleet.GroupID {
	if s.count.Load() == 0 {
		return failed
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	out := slices.Clip(slices.Clone(failed))
	for g := range s.groups {
		out = append(out, g)
	}
	return out
}
