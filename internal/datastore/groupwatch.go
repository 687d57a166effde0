package datastore

import (
	"context"
	"sync"
	"time"

	"carawayproxy.example/caraway/internal/fleet"
	"carawayproxy.example/caraway/internal/group"
)

// groupCheckInterval is the time between two checks of the watched groups.
const groupCheckInterval = 200 * time.Millisecond

// maxIdleSweeps is the number of checks for which a group without requests in
// flight stays watched, so that an attempt that is about to start keeps its
// channel.
const maxIdleSweeps = 25

type groupEpoch struct {
	group fleet.GroupID
	epoch fleet.Epoch
}

// watchedGroup is a group that attempts depend on.
type watchedGroup struct {
	lost chan struct{}
	done bool
	idle int // sweeps without a request in flight
	// groupLeader and incarnation are as of the start of the first attempt.
	groupLeader fleet.InstanceID
	incarnation uint64
}

// GroupWatcher notifies attempts when their group can no longer answer: its
// record is gone or has a later epoch, or its group leader has another process
// or assignment. It is safe for concurrent use.
type GroupWatcher struct {
	store *Store

	mu      sync.Mutex
	watched map[groupEpoch]*watchedGroup
}

// NewGroupWatcher returns a watcher of a store's groups. It needs Run to notify.
func NewGroupWatcher(s *Store) *GroupWatcher {
	return &GroupWatcher{store: s, watched: map[groupEpoch]*watchedGroup{}}
}

// GroupLost returns a channel that is closed once the group can no longer answer
// in that epoch.
func (gw *GroupWatcher) GroupLost(id fleet.GroupID, epoch fleet.Epoch) <-chan struct{} {
	gw.mu.Lock()
	defer gw.mu.Unlock()
	key := groupEpoch{id, epoch}
	w := gw.watched[key]
	if w == nil {
		w = &watchedGroup{lost: make(chan struct{})}
		w.groupLeader, w.incarnation = gw.groupLeaderOf(key)
		gw.watched[key] = w
	}
	return w.lost
}

// IsLost reports whether the group can no longer answer in that epoch.
func (gw *GroupWatcher) IsLost(id fleet.GroupID, epoch fleet.Epoch) bool {
	select {
	case <-gw.GroupLost(id, epoch):
		return true
	default:
		return gw.epochEnded(groupEpoch{id, epoch})
	}
}

// Run checks the groups every groupCheckInterval until ctx ends.
func (gw *GroupWatcher) Run(ctx context.Context) {
	tick := time.NewTicker(groupCheckInterval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			gw.sweep()
		case <-ctx.Done():
			return
		}
	}
}

// sweep closes the channels of groups that can no longer answer, and removes
// these groups at the next sweep.
func (gw *GroupWatcher) sweep() {
	inFlight := gw.store.InFlight()
	gw.mu.Lock()
	defer gw.mu.Unlock()
	for key, w := range gw.watched {
		switch {
		case w.done:
			delete(gw.watched, key)
		case gw.epochEnded(key) || gw.groupLeaderReplaced(key, w):
			close(w.lost)
			w.done = true
		case inFlight[key.group] > 0:
			w.idle = 0
		default:
			w.idle++
			if w.idle > maxIdleSweeps {
				delete(gw.watched, key)
			}
		}
	}
}

func (gw *GroupWatcher) groupLeaderOf(key groupEpoch) (fleet.InstanceID, uint64) {
	g, ok := gw.store.cfg.Groups().Groups[key.group]
	if !ok {
		return "", 0
	}
	id := group.ReportedComposition(g, gw.store.cfg.Reports)[0].Instance
	r, _ := gw.store.cfg.Reports.Report(id)
	return id, r.Incarnation
}

func (gw *GroupWatcher) epochEnded(key groupEpoch) bool {
	if key.epoch == 0 {
		return false // a plain instance has no record
	}
	g, ok := gw.store.cfg.Groups().Groups[key.group]
	return !ok || g.Epoch != key.epoch
}

// groupLeaderReplaced reports whether the group leader has a new process or
// another assignment.
func (gw *GroupWatcher) groupLeaderReplaced(key groupEpoch, w *watchedGroup) bool {
	if w.groupLeader == "" {
		return false
	}
	r, ok := gw.store.cfg.Reports.Report(w.groupLeader)
	if !ok || r.Failed {
		return false
	}
	if w.incarnation != 0 && r.Incarnation != w.incarnation {
		return true
	}
	a := r.Assignment
	return a == nil || a.Group != key.group || a.Epoch != key.epoch
}
