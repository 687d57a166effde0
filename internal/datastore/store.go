// Package datastore holds this daemon's current state of each replica group: its
// record, its members' reports, and the requests dispatched since those reports.
// It provides the router's candidates and the final check before an attempt is
// sent.
package datastore

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"carawayproxy.example/caraway/internal/fleet"
	"carawayproxy.example/caraway/internal/group"
	"carawayproxy.example/caraway/internal/routing"
	"carawayproxy.example/caraway/internal/service"
)

// Freshness is the maximum age of a member's report for its group to be whole.
const Freshness = 2 * time.Second

const shardCount = 16

// Config configures a Store. All functions must be safe for concurrent use and
// cheap.
type Config struct {
	Groups    func() *group.View
	Reports   group.Reports
	Instances func() map[fleet.InstanceID]fleet.Instance
	Catalog   func() *service.Catalog
	// Leaving reports whether any source lists the instance as leaving.
	Leaving func(id fleet.InstanceID) bool
	// Evacuated reports whether the operator evacuates an availability zone; nil for none.
	Evacuated func(zone fleet.Zone) bool
	// PeerInFlight returns the number of other daemons' requests on a group.
	PeerInFlight func(id fleet.GroupID) uint32
	// Unreachable reports whether this daemon itself can't reach an instance,
	// regardless of peers' reports; nil if all reports are this daemon's own.
	Unreachable func(id fleet.InstanceID) bool
	// RegionOf returns the region of an availability zone, "" if it is not known; nil if
	// none is.
	RegionOf func(zone fleet.Zone) fleet.Region
	// Stalled reports whether a group that accepts requests appears to be
	// stalled; nil if that is not tracked.
	Stalled func(id fleet.GroupID, now time.Time) bool
	// Refusals tracks the groups that recently refused requests; nil if they
	// are not tracked.
	Refusals *Refusals
	// Rates tracks the request rates that backend servers announce; nil if they
	// announce none.
	Rates Rates
	// Pauses tracks the pauses that backend servers ask for; nil if they ask for
	// none.
	Pauses Pauses
	// Cold limits the requests to servers that are cold; nil if none ever is.
	Cold Cold
	// Limit returns the maximum number of requests on a group, given how many
	// it can run at once; nil for no limit.
	Limit  func(c *routing.Candidate) uint32
	Policy routing.Policy
	Rand   *rand.Rand
}

// Rates tracks the request rates that backend servers announce.
type Rates interface {
	// Wait returns the time until this daemon may send the server a request.
	Wait(server fleet.InstanceID, now time.Time) time.Duration
	// Take charges a request that is about to be sent. It returns false if this
	// daemon's share of the rate is used up.
	Take(server fleet.InstanceID, now time.Time) bool
}

// Pauses tracks the times for which backend servers want no requests from this
// daemon.
type Pauses interface {
	// Wait returns the time until this daemon may send the server a request.
	Wait(server fleet.InstanceID, incarnation uint64, now time.Time) time.Duration
}

// Cold limits this daemon's requests to backend servers that are cold.
type Cold interface {
	// Wait reports whether a server counts as cold, and returns the time until this daemon
	// may send it a request.
	Wait(server fleet.InstanceID, now time.Time) (cold bool, wait time.Duration)
	// Take charges a request that is about to be sent. It returns false if the server is
	// cold and this daemon's share is used up.
	Take(server fleet.InstanceID, now time.Time) bool
	// MarkUnconfirmed records that the server may have become cold up to now.
	MarkUnconfirmed(server fleet.InstanceID, now time.Time)
}

// Store tracks the groups and this daemon's requests on them. It is safe for
// concurrent use.
type Store struct {
	cfg    Config
	shards [shardCount]shard

	randMu sync.Mutex

	scratch sync.Pool // of *[]routing.Candidate, for Route

	viewMu sync.Mutex
	views  map[fleet.ServiceName]*view
}

type shard struct {
	mu    sync.Mutex
	loads map[fleet.GroupID]*load
}

// load is this daemon's requests on one group.
type load struct {
	inFlight   uint32
	dispatches []dispatch // recent ones, oldest first
}

type dispatch struct {
	at     time.Time
	tokens uint32
}

// dispatchRetention is how long a dispatch is kept to correct a report. No report
// that is older is used.
const dispatchRetention = Freshness + time.Second

// New returns a store.
func New(cfg Config) *Store {
	if cfg.Unreachable == nil {
		cfg.Unreachable = func(fleet.InstanceID) bool { return false }
	}
	if cfg.RegionOf == nil {
		cfg.RegionOf = func(fleet.Zone) fleet.Region { return "" }
	}
	if cfg.Evacuated == nil {
		cfg.Evacuated = func(fleet.Zone) bool { return false }
	}
	s := &Store{cfg: cfg, views: map[fleet.ServiceName]*view{}}
	s.scratch.New = func() any { return new([]routing.Candidate) }
	for i := range s.shards {
		s.shards[i].loads = map[fleet.GroupID]*load{}
	}
	return s
}

func (s *Store) shard(id fleet.GroupID) *shard {
	return &s.shards[xxhash.Sum64String(string(id))%shardCount]
}

// Started records a dispatch to a group.
func (s *Store) Started(id fleet.GroupID, maxTokens uint32) {
	sh := s.shard(id)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	l := sh.loads[id]
	if l == nil {
		l = &load{}
		sh.loads[id] = l
	}
	now := time.Now()
	l.inFlight++
	l.dispatches = append(dropExpired(l.dispatches, now), dispatch{at: now, tokens: maxTokens})
}

// Ended records the end of a dispatch.
func (s *Store) Ended(id fleet.GroupID, _ uint32) {
	sh := s.shard(id)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	l := sh.loads[id]
	if l == nil || l.inFlight == 0 {
		return
	}
	l.inFlight--
	if l.inFlight == 0 && len(dropExpired(l.dispatches, time.Now())) == 0 {
		delete(sh.loads, id)
	}
}

func dropExpired(dispatches []dispatch, now time.Time) []dispatch {
	n := 0
	for n < len(dispatches) && now.Sub(dispatches[n].at) > dispatchRetention {
		n++
	}
	return dispatches[n:]
}

// InFlight returns the number of this daemon's requests on each group that has
// any.
func (s *Store) InFlight() map[fleet.GroupID]uint32 {
	out := map[fleet.GroupID]uint32{}
	for i := range s.shards {
		sh := &s.shards[i]
		sh.mu.Lock()
		for id, l := range sh.loads {
			if l.inFlight > 0 {
				out[id] = l.inFlight
			}
		}
		sh.mu.Unlock()
	}
	return out
}

// Route chooses a group for an attempt.
func (s *Store) Route(req routing.Request) routing.Decision {
	candidates := s.scratch.Get().(*[]routing.Candidate)
	defer s.scratch.Put(candidates) // a decision holds copies
	*candidates = s.appendCandidates((*candidates)[:0], req.Service, time.Now())
	s.randMu.Lock()
	defer s.randMu.Unlock()
	return s.cfg.Policy.Choose(req, *candidates, s.cfg.Rand)
}

// Candidates returns the groups of a service, sorted by name so that a subset of
// them is the same for each request. A group's members and whether it is whole
// may be out of date by wholeTTL; Recheck uses the current state. The load is
// current.
func (s *Store) Candidates(name fleet.ServiceName, now time.Time) []routing.Candidate {
	return s.appendCandidates(nil, name, now)
}

// appendCandidates appends the groups of a service to candidates, which is empty.
func (s *Store) appendCandidates(candidates []routing.Candidate, name fleet.ServiceName, now time.Time) []routing.Candidate {
	candidates = append(candidates, s.view(name, now)...)
	for i := range candidates {
		s.fillLoad(&candidates[i], now)
	}
	return candidates
}

// fillLoad adds the group leader's reported load and the dispatches since the
// report.
func (s *Store) fillLoad(c *routing.Candidate, now time.Time) {
	r, _ := s.cfg.Reports.Report(c.GroupLeader)
	measuredAt := r.ReceivedAt.Add(-r.LoadAge)
	c.Incarnation = r.Incarnation
	c.Running = r.Running
	c.Queued = r.Queued
	c.MaxRunning = r.MaxRunning
	c.PendingTokens = r.PendingTokens
	c.TokensPerSecond = r.TokensPerSecond
	c.ReportAge = now.Sub(measuredAt)
	c.PeerInFlight = s.cfg.PeerInFlight(c.Group)
	if s.cfg.Stalled != nil {
		c.Stalled = s.cfg.Stalled(c.Group, now)
	}
	if s.cfg.Refusals != nil {
		c.Refusing = s.cfg.Refusals.Refusing(c.Group, c.Epoch, now)
	}
	if s.cfg.Rates != nil {
		c.RateWait = s.cfg.Rates.Wait(c.GroupLeader, now)
	}
	if s.cfg.Pauses != nil {
		c.PauseWait = s.cfg.Pauses.Wait(c.GroupLeader, c.Incarnation, now)
	}
	if s.cfg.Cold != nil {
		if c.Evacuated {
			s.cfg.Cold.MarkUnconfirmed(c.GroupLeader, now)
		}
		c.Cold, c.ColdWait = s.cfg.Cold.Wait(c.GroupLeader, now)
	}
	if s.cfg.Limit != nil {
		c.Limit = s.cfg.Limit(c)
	}
	sh := s.shard(c.Group)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	l := sh.loads[c.Group]
	if l == nil {
		return
	}
	c.OwnInFlight = l.inFlight
	for i := len(l.dispatches) - 1; i >= 0 && l.dispatches[i].at.After(measuredAt); i-- {
		c.UnreportedDispatches++
		c.UnreportedTokens += uint64(l.dispatches[i].tokens)
	}
}

// Recheck reports whether a chosen group may still be used: its record has the
// same epoch and is active, its group leader is the same instance and
// reachable, it is whole by fresh reports, and no member is leaving or in an
// availability zone that is evacuated. If it may not be used, the next view of its
// service uses no cached groups.
func (s *Store) Recheck(c routing.Candidate) bool {
	ok := s.usable(c, time.Now())
	if !ok {
		s.invalidateView(c.Service)
	}
	return ok
}

// Charge charges a request that is about to be sent to a group to the request rate
// that its leader announces, or takes while it is cold. It returns false if the
// request may not be sent now, because of that rate or of a pause that the leader has
// asked for.
func (s *Store) Charge(c routing.Candidate) bool {
	now := time.Now()
	if s.cfg.Pauses != nil && s.cfg.Pauses.Wait(c.GroupLeader, c.Incarnation, now) > 0 {
		return false
	}
	if s.cfg.Cold != nil {
		if _, wait := s.cfg.Cold.Wait(c.GroupLeader, now); wait > 0 {
			return false
		}
	}
	if s.cfg.Rates != nil && !s.cfg.Rates.Take(c.GroupLeader, now) {
		return false
	}
	return s.cfg.Cold == nil || s.cfg.Cold.Take(c.GroupLeader, now)
}

func (s *Store) usable(c routing.Candidate, now time.Time) bool {
	if g, ok := s.cfg.Groups().Groups[c.Group]; ok {
		members := group.ReportedComposition(g, s.cfg.Reports)
		return g.Epoch == c.Epoch && g.Phase == group.PhaseActive && members[0].Instance == c.GroupLeader && !s.anyLeaving(members) && !s.anyEvacuated(members) &&
			!s.cfg.Unreachable(c.GroupLeader) && group.Whole(g, s.cfg.Reports, now, Freshness).Whole
	}
	if c.Group != PlainGroup(c.GroupLeader) {
		return false
	}
	whole, _ := s.plainWhole(c.GroupLeader, now)
	return whole && !s.cfg.Leaving(c.GroupLeader) && !s.cfg.Evacuated(c.Zone)
}
