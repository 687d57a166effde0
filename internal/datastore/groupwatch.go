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

// GroupWatcher notifies attempts when their group can no longer answer: its record is
// gone or has a later epoch, or its group leader has another process or assignment.
// It is safe for concurrent use.
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
func (l *GroupWatcher) GroupLost(id fleet.GroupID, epoch fleet.Epoch) <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	key := groupEpoch{id, epoch}
	w := l.watched[key]
	if w == nil {
		w = &watchedGroup{lost: make(chan struct{})}
		w.groupLeader, w.incarnation = l.groupLeaderOf(key)
		l.watched[key] = w
	}
	return w.lost
}

// Lost reports whether the group can no longer answer in that epoch.
func (l *GroupWatcher) IsLost(id fleet.GroupID, epoch fleet.Epoch) bool {
	select {
	case <-l.GroupLost(id, epoch):
		return true
	default:
		return l.epochEnded(groupEpoch{id, epoch})
	}
}

// Run checks the groups every groupCheckInterval until ctx ends.
func (l *GroupWatcher) Run(ctx context.Context) {
	tick := time.NewTicker(groupCheckInterval)
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

// sweep closes the channels of groups that can no longer answer, and removes
// these groups at the next sweep.
func (l *GroupWatcher) sweep() {
	inFlight := l.store.InFlight()
	l.mu.Lock()
	defer l.mu.Unlock()
	for key, w := range l.watched {
		switch {
		case w.done:
			delete(l.watched, key)
		case l.epochEnded(key) || l.groupLeaderReplaced(key, w):
			close(w.lost)
			w.done = true
		case inFlight[key.group] > 0:
			w.idle = 0
		default:
			w.idle++
			if w.idle > maxIdleSweeps {
				delete(l.watched, key)
			}
		}
	}
}

func (l *GroupWatcher) groupLeaderOf(key groupEpoch) (fleet.InstanceID, uint64) {
	g, ok := l.store.cfg.Groups().Groups[key.group]
	if !ok {
		return "", 0
	}
	id := group.ReportedComposition(g, l.store.cfg.Reports)[0].Instance
	r, _ := l.store.cfg.Reports.Report(id)
	return id, r.Incarnation
}

func (l *GroupWatcher) epochEnded(key groupEpoch) bool {
	if key.epoch == 0 {
		return false // a plain instance has no record
	}
	g, ok := l.store.cfg.Groups().Groups[key.group]
	return !ok || g.Epoch != key.epoch
}

// groupLeaderReplaced reports whether the group leader has a new process or another
// assignment.
func (l *GroupWatcher) groupLeaderReplaced(key groupEpoch, w *watchedGroup) bool {
	if w.groupLeader == "" {
		return false
	}
	r, ok := l.store.cfg.Reports.Report(w.groupLeader)
	if !ok || r.Failed {
		return false
	}
	if w.incarnation != 0 && r.Incarnation != w.incarnation {
		return true
	}
	a := r.Assignment
	return a == nil || a.Group != key.group || a.Epoch != key.epoch
}
