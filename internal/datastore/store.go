// Package datastore holds what this daemon knows of each replica group at the
// moment: its record, its members' reports, and the dispatches since. It
// makes the router's candidates from that and is the gate that is asked again
// immediately before an attempt is sent.
package datastore

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"carawayproxy.example/caraway/internal/fleet"
	"carawayproxy.example/caraway/internal/group"
	"carawayproxy.example/caraway/internal/routing"
	"carawayproxy.example/caraway/internal/service"
)

// Freshness is how old a member's report may be for its group to be whole.
const Freshness = 2 * time.Second

const shardCount = 16

// Config is what a Store works with. All functions are safe for concurrent
// use and cheap.
type Config struct {
	Groups    func() *group.View
	Reports   group.Reports
	Instances func() map[fleet.InstanceID]fleet.Instance
	Catalog   func() *service.Catalog
	// Leaving reports whether any source says that the instance is leaving.
	Leaving func(id fleet.InstanceID) bool
	// PeerInFlight is the number of requests other daemons have on a group.
	PeerInFlight func(id fleet.GroupID) uint32
	// Unreached reports whether this daemon itself can't reach an instance,
	// whatever peers report of it; nil when reports are its own.
	Unreached func(id fleet.InstanceID) bool
	// Silent reports whether a group that takes requests seems to have
	// stopped; nil for not knowing.
	Silent func(id fleet.GroupID, now time.Time) bool
	// Refusals tells which groups have just refused requests; nil for not
	// knowing.
	Refusals *Refusals
	// Limit is how many requests a group may have, given how many it can run
	// at once; nil for no limit.
	Limit  func(c *routing.Candidate) uint32
	Policy routing.Policy
	Rand   *rand.Rand
}

// Store is safe for concurrent use.
type Store struct {
	cfg    Config
	shards [shardCount]shard

	randMu sync.Mutex

	viewMu sync.Mutex
	views  map[fleet.ServiceName]*view
}

type shard struct {
	mu    sync.Mutex
	loads map[fleet.GroupID]*load
}

// load is what this daemon has sent to one group.
type load struct {
	inFlight uint32
	sent     []dispatch // lately, oldest first
}

type dispatch struct {
	at     time.Time
	tokens uint32
}

// keepSent bounds how long a dispatch may correct a report, as a report is
// never older than this and still used.
const keepSent = Freshness + time.Second

// New returns a store.
func New(cfg Config) *Store {
	if cfg.Unreached == nil {
		cfg.Unreached = func(fleet.InstanceID) bool { return false }
	}
	s := &Store{cfg: cfg, views: map[fleet.ServiceName]*view{}}
	for i := range s.shards {
		s.shards[i].loads = map[fleet.GroupID]*load{}
	}
	return s
}

func (s *Store) shard(id fleet.GroupID) *shard {
	return &s.shards[xxhash.Sum64String(string(id))%shardCount]
}

// Started tells of a dispatch to a group.
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
	l.sent = append(dropOld(l.sent, now), dispatch{at: now, tokens: maxTokens})
}

// Ended tells of the end of a dispatch.
func (s *Store) Ended(id fleet.GroupID, _ uint32) {
	sh := s.shard(id)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	l := sh.loads[id]
	if l == nil || l.inFlight == 0 {
		return
	}
	l.inFlight--
	if l.inFlight == 0 && len(dropOld(l.sent, time.Now())) == 0 {
		delete(sh.loads, id)
	}
}

func dropOld(sent []dispatch, now time.Time) []dispatch {
	n := 0
	for n < len(sent) && now.Sub(sent[n].at) > keepSent {
		n++
	}
	return sent[n:]
}

// InFlight returns this daemon's own requests on each group that has any.
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

// Route chooses a group for an attempt now.
func (s *Store) Route(req routing.Request) routing.Decision {
	candidates := s.Candidates(req.Service, time.Now())
	s.randMu.Lock()
	defer s.randMu.Unlock()
	return s.cfg.Policy.Choose(req, candidates, s.cfg.Rand)
}

// Candidates returns the groups of a service in the order of their names, so
// that a part of them is the same for each request. Who belongs to a group and
// whether it is whole may be wholeFor old; Recheck tells what holds now. The
// load is of now.
func (s *Store) Candidates(name fleet.ServiceName, now time.Time) []routing.Candidate {
	candidates := slices.Clone(s.view(name, now))
	for i := range candidates {
		s.fillLoad(&candidates[i], now)
	}
	return candidates
}

// fillLoad adds the leader's reported load and the dispatches since.
func (s *Store) fillLoad(c *routing.Candidate, now time.Time) {
	r, _ := s.cfg.Reports.Report(c.Leader)
	figuresAt := r.ReceivedAt.Add(-r.LoadAge)
	c.Running = r.Running
	c.Queued = r.Queued
	c.MaxRunning = r.MaxRunning
	c.PendingTokens = r.PendingTokens
	c.TokensPerSecond = r.TokensPerSecond
	c.ReportAge = now.Sub(figuresAt)
	c.PeerInFlight = s.cfg.PeerInFlight(c.Group)
	if s.cfg.Silent != nil {
		c.Silent = s.cfg.Silent(c.Group, now)
	}
	if s.cfg.Refusals != nil {
		c.Refusing = s.cfg.Refusals.Refusing(c.Group, c.Epoch, now)
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
	for i := len(l.sent) - 1; i >= 0 && l.sent[i].at.After(figuresAt); i-- {
		c.SinceReport++
		c.OwnWaitTokens += uint64(l.sent[i].tokens)
	}
}

// Recheck reports whether a chosen group still may be used: its record still
// has that epoch, the same instance leads it, it is whole by fresh reports, and
// it is not on its way out. When it may not, the next choice among the groups
// of its service rests on none that was looked at before.
func (s *Store) Recheck(c routing.Candidate) bool {
	ok := s.stands(c, time.Now())
	if !ok {
		s.doubt(c.Service)
	}
	return ok
}

func (s *Store) stands(c routing.Candidate, now time.Time) bool {
	if g, ok := s.cfg.Groups().Groups[c.Group]; ok {
		members := group.Compose(g, s.cfg.Reports)
		return g.Epoch == c.Epoch && g.Phase == group.PhaseActive && members[0].Instance == c.Leader && !s.anyLeaving(members) &&
			!s.cfg.Unreached(c.Leader) && group.Whole(g, s.cfg.Reports, now, Freshness).Whole
	}
	if c.Group != PlainGroup(c.Leader) {
		return false
	}
	whole, _ := s.plainWhole(c.Leader, now)
	return whole && !s.cfg.Leaving(c.Leader)
}
