package backend

import (
	"reflect"
	"time"

	"carawayproxy.example/caraway/internal/fleet"
)

// The daemons divide the polling among themselves per unit, which is a replica
// group or an instance that belongs to no group. Each unit has a fixed ranking
// of daemons, see fleet.RendezvousRank.
const (
	// activeWatchers is the number of daemons that poll a unit at every interval.
	activeWatchers = 2
	// standbyPollAge is the age of the newest report at which the next daemon in
	// the ranking starts to poll.
	standbyPollAge = 900 * time.Millisecond
	// fallbackPollAge is the age of the newest report at which every daemon
	// polls, whatever its rank. If that poll is answered at once, there is no gap
	// in the 2 s for which a report is valid.
	fallbackPollAge = 1200 * time.Millisecond
	// probeInterval is the time between two attempts of each daemon to reach a
	// backend server that it sends requests to.
	probeInterval = 4 * time.Second
)

// targetState is the state of one backend server: the newest report, from a
// poll of this daemon or relayed by a peer, and the results of this daemon's
// own polls. It is not safe for concurrent use.
type targetState struct {
	target Target
	wake   chan struct{} // wakes the poll loop before its timer fires

	newest    fleet.Report // of successful polls, local and relayed
	hasReport bool         // newest is set

	polledLocally bool      // newest is from a local poll
	respondedAt   time.Time // when the response to that poll arrived

	lastPollEnd time.Time // end of the last local poll
	// failedSince is the start of the first of the current run of failed local
	// polls, zero if the last local poll succeeded.
	failedSince    time.Time
	lastFailureAt  time.Time // start of the latest failed local poll of that run
	pollRequested  bool      // since the last local poll, an attempt or a peer's poll has failed
	promptedByPeer bool      // a peer has reported failing polls since the last local poll
	detectedFirst  bool      // local polls fail, and began to before a peer reported failing polls
}

// isFailing reports whether the last local poll failed.
func (s *targetState) isFailing() bool { return !s.failedSince.IsZero() }

// isUnresponsive reports whether the instance is considered unresponsive: the
// last local poll failed, and no peer has shown that only this daemon cannot
// reach it. A peer shows this by a successful poll that started after the local
// polls began to fail. It counts until a local poll fails that started more than
// fallbackPollAge later.
func (s *targetState) isUnresponsive() bool {
	if !s.isFailing() {
		return false
	}
	reachedByPeer := s.hasReport && s.newest.ReceivedAt.After(s.failedSince) &&
		s.lastFailureAt.Sub(s.newest.ReceivedAt) <= fallbackPollAge
	return !reachedByPeer
}

// report returns the report for readers, and false if no poll has ended yet.
func (s *targetState) report() (fleet.Report, bool) {
	r := s.newest
	r.Instance = s.target.Instance
	r.Failed = s.isUnresponsive()
	if r.Failed {
		r.FailedSince = s.failedSince
	}
	return r, s.hasReport || s.isFailing()
}

// recordSuccess records a local poll whose response arrived at the given time.
func (s *targetState) recordSuccess(r fleet.Report, at time.Time) {
	s.failedSince = time.Time{}
	s.lastFailureAt = time.Time{}
	s.detectedFirst = false
	if s.hasReport && !r.ReceivedAt.After(s.newest.ReceivedAt) {
		return
	}
	s.newest = r
	s.hasReport = true
	s.polledLocally = true
	s.respondedAt = at
}

// recordFailure records a failed local poll that started at startedAt.
func (s *targetState) recordFailure(startedAt time.Time) {
	if !s.isFailing() {
		s.failedSince = startedAt
		s.detectedFirst = !s.promptedByPeer
	}
	s.lastFailureAt = startedAt
}

// recordRelayed records a peer's report unless the known report is newer.
func (s *targetState) recordRelayed(r fleet.Report) {
	if s.hasReport && !s.isOlderThan(r) {
		return
	}
	s.newest = r
	s.hasReport = true
	s.polledLocally = false
}

// isOlderThan reports whether a relayed report is newer than the known one: its
// poll started later, and it is not of an earlier process. If the peer's poll
// started while the local one was in flight, the engine may have answered the
// two in either order. In that case the relayed report is accepted only if it
// shows the same assignment.
func (s *targetState) isOlderThan(r fleet.Report) bool {
	if !r.ReceivedAt.After(s.newest.ReceivedAt) || r.Incarnation < s.newest.Incarnation {
		return false
	}
	inFlight := s.polledLocally && r.ReceivedAt.Before(s.respondedAt)
	return !inFlight || reflect.DeepEqual(r.Assignment, s.newest.Assignment)
}

// nextPollAt returns when this daemon, given its rank for the unit, polls next.
func (s *targetState) nextPollAt(rank int) time.Time {
	if s.lastPollEnd.IsZero() {
		return time.Time{}
	}
	next := s.lastPollEnd.Add(PollInterval)
	wait := fallbackPollAge
	switch {
	case rank < activeWatchers, s.isFailing(), s.pollRequested, !s.hasReport:
		return next
	case rank == activeWatchers:
		wait = standbyPollAge
	}
	pollAt := s.newest.ReceivedAt.Add(wait)
	if probeAt := s.lastPollEnd.Add(probeInterval); s.target.Direct && s.target.Kind == fleet.KindPlain && probeAt.Before(pollAt) {
		pollAt = probeAt
	}
	if pollAt.Before(next) {
		return next
	}
	return pollAt
}
