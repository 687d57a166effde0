package ratelimit

import (
	"sync"
	"sync/atomic"
	"time"

	"carawayproxy.example/caraway/internal/event"
	"carawayproxy.example/caraway/internal/fleet"
)

// Process is one start of a backend server. Its next start has asked for nothing.
type Process struct {
	Server      fleet.InstanceID
	Incarnation uint64
}

// Pauses tracks the times for which backend servers want no requests from this
// daemon. It is safe for concurrent use.
type Pauses struct {
	events *event.Logger
	count  atomic.Int64 // of until

	mu    sync.Mutex
	until map[Process]time.Time
}

// NewPauses returns Pauses without any.
func NewPauses(events *event.Logger) *Pauses {
	return &Pauses{events: events, until: map[Process]time.Time{}}
}

// ObservePause records that a server has asked for a pause, and reports whether it
// lasts longer than those that were known. source says where it was learned.
func (p *Pauses) ObservePause(server fleet.InstanceID, incarnation uint64, length time.Duration, source string, now time.Time) (longer bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	process, until := Process{server, incarnation}, now.Add(length)
	known, paused := p.until[process]
	if paused && !until.After(known) {
		return false
	}
	for other, end := range p.until {
		if !now.Before(end) {
			delete(p.until, other)
		}
	}
	if !now.Before(known) {
		p.events.Emit(eventPaused, "instance", server, "incarnation", incarnation, "length", length, "source", source)
	}
	p.until[process] = until
	p.count.Store(int64(len(p.until)))
	return true
}

// Wait returns the time until this daemon may send the server a request, zero if it
// may now.
func (p *Pauses) Wait(server fleet.InstanceID, incarnation uint64, now time.Time) time.Duration {
	if p.count.Load() == 0 {
		return 0
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return max(p.until[Process{server, incarnation}].Sub(now), 0)
}
