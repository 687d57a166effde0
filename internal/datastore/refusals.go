package datastore

import (
	"sync"
	"time"

	"carawayproxy.example/caraway/internal/fleet"
	"carawayproxy.example/caraway/internal/routing"
)

// refusalBackoff is how long a group is excluded from routing after the first of
// consecutive refusals, and the maximum to which that doubles. The platform's
// list, where it can be read, shows within two seconds whatever ends a group's
// refusals.
var refusalBackoff = map[routing.Refusal]struct{ initial, max time.Duration }{
	routing.RefusedNotServing:   {2 * time.Second, 8 * time.Second},
	routing.RefusedUnreachable:  {time.Second, 4 * time.Second},
	routing.RefusedNotAccepting: {500 * time.Millisecond, 4 * time.Second},
	// A slot in a batch becomes free every few tens of milliseconds.
	routing.RefusedAtCapacity: {100 * time.Millisecond, 400 * time.Millisecond},
}

// refusalRetention is how long a group's refusal count is kept after its last
// refusal.
const refusalRetention = 10 * time.Second

// Refusals tracks the groups that recently refused requests of this daemon. A
// group that refuses everything has nothing in flight, so it would be the first
// choice of each request until the change of its state reaches this daemon. It
// is safe for concurrent use.
type Refusals struct {
	mu     sync.Mutex
	groups map[refusalKey]*groupRefusals
}

// refusalKey identifies a group in one epoch; the count restarts with each epoch.
type refusalKey struct {
	group fleet.GroupID
	epoch fleet.Epoch
}

type groupRefusals struct {
	count int
	last  time.Time
	until time.Time
}

// NewRefusals returns a tracker without any refusals.
func NewRefusals() *Refusals { return &Refusals{groups: map[refusalKey]*groupRefusals{}} }

// RecordRefusal records a refusal. Refusals that arrive while the group is excluded
// are those of concurrent requests and count as one.
func (r *Refusals) RecordRefusal(group fleet.GroupID, epoch fleet.Epoch, reason routing.Refusal, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	key := refusalKey{group, epoch}
	g := r.groups[key]
	if g == nil {
		r.expire(now)
		g = &groupRefusals{}
		r.groups[key] = g
	}
	g.last = now
	if now.Before(g.until) {
		return
	}
	backoff := refusalBackoff[reason]
	g.until = now.Add(min(backoff.initial<<min(g.count, 8), backoff.max))
	g.count++
}

// expire removes counts older than refusalRetention. Called with mu held.
func (r *Refusals) expire(now time.Time) {
	for key, g := range r.groups {
		if now.Sub(g.last) > refusalRetention {
			delete(r.groups, key)
		}
	}
}

// Reset resets the refusals of a group that has accepted a request.
func (r *Refusals) Reset(group fleet.GroupID, epoch fleet.Epoch) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.groups, refusalKey{group, epoch})
}

// Refusing reports whether a group is excluded from routing for its refusals.
func (r *Refusals) Refusing(group fleet.GroupID, epoch fleet.Epoch, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	g := r.groups[refusalKey{group, epoch}]
	return g != nil && now.Before(g.until)
}
