package datastore

import (
	"sync"
	"time"

	"carawayproxy.example/caraway/internal/fleet"
	"carawayproxy.example/caraway/internal/routing"
)

// How long a group is passed over after its first refusal in a row, and after
// many. What ends a group's refusals is seen by the list within two seconds
// where that can be read.
var passedOver = map[routing.Refusal]struct{ first, most time.Duration }{
	routing.Elsewhere:   {2 * time.Second, 8 * time.Second},
	routing.Unreachable: {time.Second, 4 * time.Second},
	routing.Closed:      {500 * time.Millisecond, 4 * time.Second},
	// A place in a batch comes free every few tens of milliseconds.
	routing.Full: {100 * time.Millisecond, 400 * time.Millisecond},
}

// keepRefusals is how long a group's refusals in a row are remembered after the
// last one.
const keepRefusals = 10 * time.Second

// Refusals remembers which groups have just refused requests of this daemon. A
// group that refuses everything has nothing in flight and would else be the
// first choice of each request, as long as the news of what became of it are
// late. It is safe for concurrent use.
type Refusals struct {
	mu     sync.Mutex
	groups map[refusalKey]*refusals
}

// refusalKey names a group in one epoch: a new one begins anew.
type refusalKey struct {
	group fleet.GroupID
	epoch fleet.Epoch
}

type refusals struct {
	count int
	last  time.Time
	until time.Time
}

// NewRefusals returns an empty memory.
func NewRefusals() *Refusals { return &Refusals{groups: map[refusalKey]*refusals{}} }

// Refused notes a refusal. Those of requests that were under way together count
// as one.
func (r *Refusals) Refused(group fleet.GroupID, epoch fleet.Epoch, why routing.Refusal, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	key := refusalKey{group, epoch}
	g := r.groups[key]
	if g == nil {
		r.forget(now)
		g = &refusals{}
		r.groups[key] = g
	}
	g.last = now
	if now.Before(g.until) {
		return
	}
	times := passedOver[why]
	g.until = now.Add(min(times.first<<min(g.count, 8), times.most))
	g.count++
}

// forget drops what is over. Called with mu held.
func (r *Refusals) forget(now time.Time) {
	for key, g := range r.groups {
		if now.Sub(g.last) > keepRefusals {
			delete(r.groups, key)
		}
	}
}

// Answered notes that a group has taken a request.
func (r *Refusals) Answered(group fleet.GroupID, epoch fleet.Epoch) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.groups, refusalKey{group, epoch})
}

// Refusing reports whether a group is passed over.
func (r *Refusals) Refusing(group fleet.GroupID, epoch fleet.Epoch, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	g := r.groups[refusalKey{group, epoch}]
	return g != nil && now.Before(g.until)
}
