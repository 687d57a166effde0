package membership

import (
	"sync"

	"carawayproxy.example/caraway/internal/fleet"
)

// peerLoads holds the requests that the live peers have in flight, by peer and in
// total, so that the total of a group does not cost a look at every peer. It is
// safe for concurrent use.
type peerLoads struct {
	mu    sync.Mutex
	peers map[fleet.DaemonID]map[fleet.GroupID]uint32
	total map[fleet.GroupID]uint32
}

func newPeerLoads() *peerLoads {
	return &peerLoads{peers: map[fleet.DaemonID]map[fleet.GroupID]uint32{}, total: map[fleet.GroupID]uint32{}}
}

// set replaces the counts of a peer. It keeps counts.
func (l *peerLoads) set(id fleet.DaemonID, counts map[fleet.GroupID]uint32) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.subtract(id)
	for group, n := range counts {
		l.total[group] += n
	}
	l.peers[id] = counts
}

// change applies changed counts of a peer whose other counts are known.
func (l *peerLoads) change(id fleet.DaemonID, changes map[fleet.GroupID]uint32) {
	l.mu.Lock()
	defer l.mu.Unlock()
	counts := l.peers[id]
	if counts == nil {
		return
	}
	for group, n := range changes {
		l.add(group, n, counts[group])
		if n == 0 {
			delete(counts, group)
		} else {
			counts[group] = n
		}
	}
}

// retain drops the counts of the peers that are not alive.
func (l *peerLoads) retain(alive func(id fleet.DaemonID) bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id := range l.peers {
		if !alive(id) {
			l.subtract(id)
			delete(l.peers, id)
		}
	}
}

// subtract takes a peer's counts out of the total. Called with mu held.
func (l *peerLoads) subtract(id fleet.DaemonID) {
	for group, n := range l.peers[id] {
		l.add(group, 0, n)
	}
}

// add replaces a peer's count in a group's total. Called with mu held.
func (l *peerLoads) add(group fleet.GroupID, n, old uint32) {
	if total := l.total[group] + n - old; total > 0 {
		l.total[group] = total
	} else {
		delete(l.total, group)
	}
}
