package dispatch

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"carawayproxy.example/caraway/internal/fleet"
)

// runTimeWeight is the weight of a new run in a service's mean.
const runTimeWeight = 0.05

// runTimes holds the mean time from first to last token of each service.
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
	r.mean[s] = old + time.Duration(runTimeWeight*float64(took-old))
}

// solo holds the groups on which this daemon runs a suspect alone, so that
// its other requests keep away.
type solo struct {
	count  atomic.Int32
	mu     sync.Mutex
	groups map[fleet.GroupID]int
}

func (s *solo) add(g fleet.GroupID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.groups == nil {
		s.groups = map[fleet.GroupID]int{}
	}
	s.groups[g]++
	s.count.Add(1)
}

func (s *solo) remove(g fleet.GroupID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.groups[g]--
	if s.groups[g] == 0 {
		delete(s.groups, g)
	}
	s.count.Add(-1)
}

// exclude returns the tried groups with those that are taken alone.
func (s *solo) exclude(tried []fleet.GroupID) []fleet.GroupID {
	if s.count.Load() == 0 {
		return tried
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	out := slices.Clip(slices.Clone(tried))
	for g := range s.groups {
		out = append(out, g)
	}
	return out
}
