// Package datastore holds what this daemon knows of each replica group at the
// moment: its record, its members' reports, and the dispatches since. It
// makes the router's candidates from that and is the gate that is asked again
// immediately before an attempt is sent.
package datastore

import (
	"cmp"
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
	Policy    routing.Policy
	Rand      *rand.Rand
}

// Store is safe for concurrent use.
type Store struct {
	cfg    Config
	shards [shardCount]shard

	randMu sync.Mutex

	viewMu sync.Mutex
	views  map[fleet.ServiceName]view
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
	s := &Store{cfg: cfg, views: map[fleet.ServiceName]view{}}
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
// whether it is whole may be viewFor old; Recheck tells what holds now. The
// load is of now.
func (s *Store) Candidates(name fleet.ServiceName, now time.Time) []routing.Candidate {
	candidates := slices.Clone(s.view(name, now))
	for i := range candidates {
		s.fillLoad(&candidates[i], now)
	}
	return candidates
}

// viewFor is how long a service's view is used again. Finding out whether a
// group of 16 is whole takes about as long as routing over five groups.
const viewFor = 50 * time.Millisecond

// view is the groups of a service without their loads. It is not changed.
type view struct {
	at         time.Time
	candidates []routing.Candidate
}

func (s *Store) view(name fleet.ServiceName, now time.Time) []routing.Candidate {
	s.viewMu.Lock()
	defer s.viewMu.Unlock()
	if v, ok := s.views[name]; ok && now.Sub(v.at) < viewFor {
		return v.candidates
	}
	v := view{at: now, candidates: s.look(name, now)}
	slices.SortFunc(v.candidates, func(a, b routing.Candidate) int { return cmp.Compare(a.Group, b.Group) })
	if v.candidates == nil {
		delete(s.views, name)
	} else {
		s.views[name] = v
	}
	return v.candidates
}

// look makes the view of a service anew.
func (s *Store) look(name fleet.ServiceName, now time.Time) []routing.Candidate {
	pub := s.cfg.Catalog().Services[name]
	if pub == nil {
		return nil
	}
	if pub.Spec.Kind == fleet.KindPlain {
		return s.plainCandidates(pub, now)
	}
	var out []routing.Candidate
	for _, g := range s.cfg.Groups().Groups {
		if g.Service == name {
			out = append(out, s.groupCandidate(g, now))
		}
	}
	return out
}

// unreached is why a group is not used whose leader answers other daemons only.
const unreached = "does not answer this daemon"

func (s *Store) groupCandidate(g *group.Group, now time.Time) routing.Candidate {
	w := group.Whole(g, s.cfg.Reports, now, Freshness)
	members := group.Compose(g, s.cfg.Reports)
	leader := members[0]
	if w.Whole && s.cfg.Unreached(leader.Instance) {
		w = group.Wholeness{Reason: string(leader.Instance) + " " + unreached}
	}
	return routing.Candidate{
		Group:       g.ID,
		Epoch:       g.Epoch,
		Service:     g.Service,
		Leader:      leader.Instance,
		Address:     leader.Address,
		Zone:        leader.Zone,
		Fabric:      g.Fabric,
		Version:     g.Version,
		Adapters:    g.Adapters,
		Role:        g.Role,
		Whole:       w.Whole,
		WholeReason: w.Reason,
		Draining:    g.Phase == group.PhaseDraining,
		Leaving:     s.anyLeaving(members),
	}
}

func (s *Store) anyLeaving(members []group.Member) bool {
	for _, m := range members {
		if s.cfg.Leaving(m.Instance) {
			return true
		}
	}
	return false
}

// plainCandidates makes a group of one of each instance of a plain service.
func (s *Store) plainCandidates(pub *service.Published, now time.Time) []routing.Candidate {
	var out []routing.Candidate
	for _, i := range s.cfg.Instances() {
		if i.Kind != fleet.KindPlain || i.Pool != pub.Spec.Pool {
			continue
		}
		c := routing.Candidate{
			Group:   PlainGroup(i.ID),
			Service: pub.Spec.Service,
			Leader:  i.ID,
			Address: i.Address,
			Zone:    i.Zone,
			Fabric:  i.Fabric,
			Leaving: s.cfg.Leaving(i.ID),
		}
		c.Whole, c.WholeReason = s.plainWhole(i.ID, now)
		out = append(out, c)
	}
	return out
}

// PlainGroup is the id of the group of one that a plain instance makes.
func PlainGroup(id fleet.InstanceID) fleet.GroupID { return fleet.GroupID("plain/" + string(id)) }

func (s *Store) plainWhole(id fleet.InstanceID, now time.Time) (bool, string) {
	r, ok := s.cfg.Reports.Report(id)
	switch {
	case !ok || r.Failed:
		return false, "does not answer"
	case s.cfg.Unreached(id):
		return false, unreached
	case now.Sub(r.ReceivedAt) > Freshness:
		return false, "report is old"
	case !r.Ready:
		return false, "not ready"
	default:
		return true, ""
	}
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
// has that epoch, it is whole by fresh reports, and it is not on its way out.
func (s *Store) Recheck(c routing.Candidate) bool {
	now := time.Now()
	if g, ok := s.cfg.Groups().Groups[c.Group]; ok {
		return g.Epoch == c.Epoch && g.Phase == group.PhaseActive && !s.anyLeaving(group.Compose(g, s.cfg.Reports)) &&
			!s.cfg.Unreached(c.Leader) && group.Whole(g, s.cfg.Reports, now, Freshness).Whole
	}
	if c.Group != PlainGroup(c.Leader) {
		return false
	}
	whole, _ := s.plainWhole(c.Leader, now)
	return whole && !s.cfg.Leaving(c.Leader)
}
