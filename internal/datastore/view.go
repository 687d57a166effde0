package datastore

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"carawayproxy.example/caraway/internal/fleet"
	"carawayproxy.example/caraway/internal/group"
	"carawayproxy.example/caraway/internal/routing"
	"carawayproxy.example/caraway/internal/service"
)

const (
	// viewTTL is how long a service's view is cached.
	viewTTL = 50 * time.Millisecond
	// wholeTTL is how long a group that was found whole is cached in views.
	// Finding out whether a group of 16 is whole takes about as long as routing
	// over five groups.
	wholeTTL = 500 * time.Millisecond
)

// view is the cached candidates of a service, without their loads.
type view struct {
	at         time.Time
	candidates []routing.Candidate // replaced, never modified
	// whole caches the groups that were whole when evaluated.
	whole     map[fleet.GroupID]wholeGroup
	rebuiltAt time.Time // when every group was last evaluated
	invalid   bool      // a recheck of one of the groups has failed
}

// wholeGroup is the candidate of a group that was whole at a point in time.
type wholeGroup struct {
	at        time.Time
	candidate routing.Candidate
}

// valid reports whether the cached candidate may still be used for the group.
func (w wholeGroup) valid(g *group.Group, now time.Time) bool {
	return g.Phase == group.PhaseActive && g.Epoch == w.candidate.Epoch && now.Sub(w.at) < wholeTTL
}

func (s *Store) view(name fleet.ServiceName, now time.Time) []routing.Candidate {
	s.viewMu.Lock()
	defer s.viewMu.Unlock()
	v := s.views[name]
	if v == nil {
		v = &view{whole: map[fleet.GroupID]wholeGroup{}}
	}
	rebuild := v.invalid && now.Sub(v.rebuiltAt) >= viewTTL
	if !rebuild && now.Sub(v.at) < viewTTL {
		return v.candidates
	}
	if rebuild || v.at.IsZero() {
		clear(v.whole)
		v.rebuiltAt = now
		v.invalid = false
	}
	v.at = now
	v.candidates = s.buildView(name, v.whole, now)
	if v.candidates == nil {
		delete(s.views, name)
	} else {
		s.views[name] = v
	}
	return v.candidates
}

// invalidateView makes the next view of a service evaluate each of its groups
// anew, unless that was done within viewTTL.
func (s *Store) invalidateView(name fleet.ServiceName) {
	s.viewMu.Lock()
	defer s.viewMu.Unlock()
	if v := s.views[name]; v != nil {
		v.invalid = true
	}
}

// InvalidateViews makes the next view of each service evaluate each of its groups anew.
func (s *Store) InvalidateViews() {
	s.viewMu.Lock()
	defer s.viewMu.Unlock()
	clear(s.views)
}

// buildView returns the candidates of a service, sorted by group. It reuses and updates
// the cache of whole groups. What is sorted are pointers, as candidates are large.
func (s *Store) buildView(name fleet.ServiceName, whole map[fleet.GroupID]wholeGroup, now time.Time) []routing.Candidate {
	pub := s.cfg.Catalog().Services[name]
	if pub == nil {
		return nil
	}
	if pub.Spec.Kind == fleet.KindPlain {
		return s.plainCandidates(pub, now)
	}
	groups := s.cfg.Groups().Groups
	for id := range whole {
		if groups[id] == nil {
			delete(whole, id)
		}
	}
	of := make([]*group.Group, 0, len(groups))
	for _, g := range groups {
		if g.Service == name {
			of = append(of, g)
		}
	}
	if len(of) == 0 {
		return nil
	}
	slices.SortFunc(of, func(a, b *group.Group) int { return strings.Compare(string(a.ID), string(b.ID)) })
	out := make([]routing.Candidate, len(of))
	for i, g := range of {
		out[i] = s.cachedCandidate(g, whole, now)
	}
	return out
}

func (s *Store) cachedCandidate(g *group.Group, whole map[fleet.GroupID]wholeGroup, now time.Time) routing.Candidate {
	if w, ok := whole[g.ID]; ok && w.valid(g, now) {
		return w.candidate
	}
	c := s.groupCandidate(g, now)
	if c.Whole && !c.Leaving && !c.Evacuated {
		whole[g.ID] = wholeGroup{now, c}
	} else {
		delete(whole, g.ID)
	}
	return c
}

// unreachableReason is why a group is not whole if its group leader responds to
// other daemons only.
const unreachableReason = "does not answer this daemon"

func (s *Store) groupCandidate(g *group.Group, now time.Time) routing.Candidate {
	w := group.Whole(g, s.cfg.Reports, now, Freshness)
	members := group.ReportedComposition(g, s.cfg.Reports)
	groupLeader := members[0]
	if w.Whole && s.cfg.Unreachable(groupLeader.Instance) {
		w = group.Wholeness{Reason: string(groupLeader.Instance) + " " + unreachableReason}
	}
	return routing.Candidate{
		Group:       g.ID,
		Epoch:       g.Epoch,
		Service:     g.Service,
		GroupLeader: groupLeader.Instance,
		Address:     groupLeader.Address,
		Zone:        groupLeader.Zone,
		Region:      s.cfg.RegionOf(groupLeader.Zone),
		Fabric:      g.Fabric,
		Version:     g.Version,
		Adapters:    g.Adapters,
		Role:        g.Role,
		Whole:       w.Whole,
		WholeReason: w.Reason,
		Draining:    g.Phase == group.PhaseDraining,
		Leaving:     s.anyLeaving(members),
		Evacuated:   s.anyEvacuated(members),
	}
}

func (s *Store) anyEvacuated(members []group.Member) bool {
	return slices.ContainsFunc(members, func(m group.Member) bool { return s.cfg.Evacuated(m.Zone) })
}

func (s *Store) anyLeaving(members []group.Member) bool {
	for _, m := range members {
		if s.cfg.Leaving(m.Instance) {
			return true
		}
	}
	return false
}

// plainCandidates returns a group of one for each instance of a plain service.
func (s *Store) plainCandidates(pub *service.Published, now time.Time) []routing.Candidate {
	var out []routing.Candidate
	for _, i := range s.cfg.Instances() {
		if i.Kind != fleet.KindPlain || i.Pool != pub.Spec.Pool {
			continue
		}
		c := routing.Candidate{
			Group:       PlainGroup(i.ID),
			Service:     pub.Spec.Service,
			GroupLeader: i.ID,
			Address:     i.Address,
			Zone:        i.Zone,
			Region:      s.cfg.RegionOf(i.Zone),
			Fabric:      i.Fabric,
			Leaving:     s.cfg.Leaving(i.ID),
			Evacuated:   s.cfg.Evacuated(i.Zone),
		}
		c.Whole, c.WholeReason = s.plainWhole(i.ID, now)
		out = append(out, c)
	}
	slices.SortFunc(out, func(a, b routing.Candidate) int { return cmp.Compare(a.Group, b.Group) })
	return out
}

// PlainGroup returns the id of the single-member group of a plain instance.
func PlainGroup(id fleet.InstanceID) fleet.GroupID { return fleet.GroupID("plain/" + string(id)) }

func (s *Store) plainWhole(id fleet.InstanceID, now time.Time) (bool, string) {
	r, ok := s.cfg.Reports.Report(id)
	switch {
	case !ok || r.Failed:
		return false, "does not answer"
	case s.cfg.Unreachable(id):
		return false, unreachableReason
	case now.Sub(r.ReceivedAt) > Freshness:
		return false, "report is old"
	case !r.Ready:
		return false, "not ready"
	default:
		return true, ""
	}
}
