package backend

import (
	"reflect"
	"time"

	"github.com/cespare/xxhash/v2"

	"carawayproxy.example/caraway/internal/fleet"
)

// How daemons share the watching of one unit: a replica group, or an instance
// that is in none.
const (
	// activeWatchers is how many daemons poll a unit at every interval.
	activeWatchers = 2
	// standbyPatience is the age of the newest report from which the next
	// daemon polls as well.
	standbyPatience = 900 * time.Millisecond
	// patience is the age of the newest report from which every daemon polls
	// by itself, whoever should have. A poll that is answered at once then
	// leaves no gap in the 2 s for which a report counts.
	patience = 1200 * time.Millisecond
	// reachEvery is the time between two tries of each daemon to reach a
	// backend server that it would send requests to.
	reachEvery = 4 * time.Second
)

// Rank returns the place of a daemon among those that live, itself included,
// in the order in which they watch a unit. Zero is the first. It rests on the
// names alone, so daemons that see the same others agree without a message.
func Rank(unit string, self fleet.DaemonID, alive []fleet.DaemonID) int {
	own := weight(unit, self)
	rank := 0
	for _, id := range alive {
		w := weight(unit, id)
		if id != self && (w > own || w == own && id < self) {
			rank++
		}
	}
	return rank
}

// weight is the rendezvous hash of a daemon for a unit.
func weight(unit string, id fleet.DaemonID) uint64 {
	var space [128]byte
	key := append(space[:0], id...)
	key = append(key, 0)
	key = append(key, unit...)
	return xxhash.Sum64(key)
}

// seen is what is known of one backend server: the newest report that it gave
// to this daemon or to a peer, and how this daemon's own polls went. It is not
// safe for concurrent use.
type seen struct {
	target Target
	wake   chan struct{} // ends the poll loop's pause

	newest fleet.Report // of successful polls, own and relayed
	known  bool         // newest is set

	own        bool      // newest is of an own poll
	answeredAt time.Time // when that poll was answered

	endedAt     time.Time // of the own last poll
	failedSince time.Time // when the first of the own failing polls was asked, zero for none
	failedAt    time.Time // when the last of them was asked
	doubted     bool      // an attempt failed since the own last poll, or a peer's poll
	prompted    bool      // by a peer's poll
	found       bool      // own polls fail, and began to before a peer said so
}

// failing reports whether this daemon's own last poll failed.
func (s *seen) failing() bool { return !s.failedSince.IsZero() }

// failed reports whether the instance counts as silent: the own last poll
// failed, and no peer proves that the fault lies on this daemon's way only. A
// peer does by a successful poll that was asked after the own failing began,
// and until own polls have failed for patience since.
func (s *seen) failed() bool {
	if !s.failing() {
		return false
	}
	contradicted := s.known && s.newest.ReceivedAt.After(s.failedSince) && s.failedAt.Sub(s.newest.ReceivedAt) <= patience
	return !contradicted
}

// report returns what readers get, false while nothing is known.
func (s *seen) report() (fleet.Report, bool) {
	r := s.newest
	r.Instance = s.target.Instance
	r.Failed = s.failed()
	if r.Failed {
		r.FailedSince = s.failedSince
	}
	return r, s.known || s.failing()
}

// answered takes the answer that an own poll got at a moment.
func (s *seen) answered(r fleet.Report, at time.Time) {
	s.failedSince = time.Time{}
	s.failedAt = time.Time{}
	s.found = false
	if s.known && !r.ReceivedAt.After(s.newest.ReceivedAt) {
		return
	}
	s.newest = r
	s.known = true
	s.own = true
	s.answeredAt = at
}

// unanswered notes an own poll that failed.
func (s *seen) unanswered(asked time.Time) {
	if !s.failing() {
		s.failedSince = asked
		s.found = !s.prompted
	}
	s.failedAt = asked
}

// relayed takes a peer's report, unless a newer one is known.
func (s *seen) relayed(r fleet.Report) {
	if s.known && !s.precedes(r) {
		return
	}
	s.newest = r
	s.known = true
	s.own = false
}

// precedes reports whether a relayed report is newer than the one known: it
// was asked for later, and it is of no earlier process. A poll that was under
// way when the peer asked may have been answered before or after, so against
// such a one the peer's word on the assignment does not count.
func (s *seen) precedes(r fleet.Report) bool {
	if !r.ReceivedAt.After(s.newest.ReceivedAt) || r.Incarnation < s.newest.Incarnation {
		return false
	}
	underWay := s.own && r.ReceivedAt.Before(s.answeredAt)
	return !underWay || reflect.DeepEqual(r.Assignment, s.newest.Assignment)
}

// dueAt returns when this daemon, of the given rank, is to poll next.
func (s *seen) dueAt(rank int) time.Time {
	if s.endedAt.IsZero() {
		return time.Time{}
	}
	next := s.endedAt.Add(PollEvery)
	wait := patience
	switch {
	case rank < activeWatchers, s.failing(), s.doubted, !s.known:
		return next
	case rank == activeWatchers:
		wait = standbyPatience
	}
	due := s.newest.ReceivedAt.Add(wait)
	if reach := s.endedAt.Add(reachEvery); s.target.Direct && s.target.Kind == fleet.KindPlain && reach.Before(due) {
		due = reach
	}
	if due.Before(next) {
		return next
	}
	return due
}
