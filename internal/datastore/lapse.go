package datastore

import (
	"context"
	"sync"
	"time"

	"carawayproxy.example/caraway/internal/fleet"
	"carawayproxy.example/caraway/internal/group"
)

// lapseEvery is the time between two looks at the groups that are waited on.
const lapseEvery = 200 * time.Millisecond

// idleSweeps is how many looks a group with nothing in flight is kept for, so
// that an attempt which is about to start loses nothing.
const idleSweeps = 25

type lapseKey struct {
	group fleet.GroupID
	epoch fleet.Epoch
}

// lapse is a group that attempts wait on.
type lapse struct {
	closed chan struct{}
	done   bool
	idle   int // sweeps without a request in flight
	// leader and incarnation are those of the moment the first attempt began.
	leader      fleet.InstanceID
	incarnation uint64
}

// Lapses tells attempts that their group can no longer answer: its record is
// gone or has a later epoch, or its rank zero is another process. It is safe
// for concurrent use.
type Lapses struct {
	store *Store

	mu      sync.Mutex
	waiting map[lapseKey]*lapse
}

// NewLapses returns the lapses of a store's groups; Run must go on beside it.
func NewLapses(s *Store) *Lapses {
	return &Lapses{store: s, waiting: map[lapseKey]*lapse{}}
}

// Lapsed returns a channel that is closed once the group can no longer answer
// in that epoch.
func (l *Lapses) Lapsed(id fleet.GroupID, epoch fleet.Epoch) <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	key := lapseKey{id, epoch}
	w := l.waiting[key]
	if w == nil {
		w = &lapse{closed: make(chan struct{})}
		w.leader, w.incarnation = l.leaderOf(key)
		l.waiting[key] = w
	}
	return w.closed
}

// Lost reports whether the group can no longer answer in that epoch.
func (l *Lapses) Lost(id fleet.GroupID, epoch fleet.Epoch) bool {
	select {
	case <-l.Lapsed(id, epoch):
		return true
	default:
		return l.gone(lapseKey{id, epoch})
	}
}

// Run looks at the groups until ctx ends.
func (l *Lapses) Run(ctx context.Context) {
	tick := time.NewTicker(lapseEvery)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			l.sweep()
		case <-ctx.Done():
			return
		}
	}
}

// sweep closes the channels of groups that lapsed and forgets them a sweep
// later.
func (l *Lapses) sweep() {
	inFlight := l.store.InFlight()
	l.mu.Lock()
	defer l.mu.Unlock()
	for key, w := range l.waiting {
		switch {
		case w.done:
			delete(l.waiting, key)
		case l.gone(key) || l.replaced(key, w):
			close(w.closed)
			w.done = true
		case inFlight[key.group] > 0:
			w.idle = 0
		default:
			w.idle++
			if w.idle > idleSweeps {
				delete(l.waiting, key)
			}
		}
	}
}

func (l *Lapses) leaderOf(key lapseKey) (fleet.InstanceID, uint64) {
	g, ok := l.store.cfg.Groups().Groups[key.group]
	if !ok {
		return "", 0
	}
	id := group.Compose(g, l.store.cfg.Reports)[0].Instance
	r, _ := l.store.cfg.Reports.Report(id)
	return id, r.Incarnation
}

func (l *Lapses) gone(key lapseKey) bool {
	if key.epoch == 0 {
		return false // a plain instance has no record
	}
	g, ok := l.store.cfg.Groups().Groups[key.group]
	return !ok || g.Epoch != key.epoch
}

// replaced reports whether rank zero has a new process or another assignment.
func (l *Lapses) replaced(key lapseKey, w *lapse) bool {
	if w.leader == "" {
		return false
	}
	r, ok := l.store.cfg.Reports.Report(w.leader)
	if !ok || r.Failed {
		return false
	}
	if w.incarnation != 0 && r.Incarnation != w.incarnation {
		return true
	}
	a := r.Assignment
	return a == nil || a.Group != key.group || a.Epoch != key.epoch
}
