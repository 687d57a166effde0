package datastore

import (
	"cmp"
	"slices"
	"time"

	"carawayproxy.example/caraway/internal/fleet"
	"carawayproxy.example/caraway/internal/group"
	"carawayproxy.example/caraway/internal/routing"
	"carawayproxy.example/caraway/internal/service"
)

const (
	// viewFor is how long a service's view is used again.
	viewFor = 50 * time.Millisecond
	// wholeFor is how long a group that was found whole stands in views before
	// it is looked at again. Finding out whether a group of 16 is whole takes
	// about as long as routing over five groups.
	wholeFor = 500 * time.Millisecond
)

// view is the groups of a service without their loads.
type view struct {
	at         time.Time
	candidates []routing.Candidate // not changed, only replaced
	// looks are the groups that were whole when they were looked at.
	looks   map[fleet.GroupID]look
	anewAt  time.Time // when every group was looked at
	doubted bool      // one of the groups did not stand at its recheck
}

// look is what was found of a whole group at a moment.
type look struct {
	at        time.Time
	candidate routing.Candidate
}

// holds reports whether a look still stands for the group.
func (l look) holds(g *group.Group, now time.Time) bool {
	return g.Phase == group.PhaseActive && g.Epoch == l.candidate.Epoch && now.Sub(l.at) < wholeFor
}

func (s *Store) view(name fleet.ServiceName, now time.Time) []routing.Candidate {
	s.viewMu.Lock()
	defer s.viewMu.Unlock()
	v := s.views[name]
	if v == nil {
		v = &view{looks: map[fleet.GroupID]look{}}
	}
	anew := v.doubted && now.Sub(v.anewAt) >= viewFor
	if !anew && now.Sub(v.at) < viewFor {
		return v.candidates
	}
	if anew || v.at.IsZero() {
		clear(v.looks)
		v.anewAt = now
		v.doubted = false
	}
	v.at = now
	v.candidates = s.look(name, v.looks, now)
	slices.SortFunc(v.candidates, func(a, b routing.Candidate) int { return cmp.Compare(a.Group, b.Group) })
	if v.candidates == nil {
		delete(s.views, name)
	} else {
		s.views[name] = v
	}
	return v.candidates
}

// doubt makes the next view of a service look at each of its groups, unless
// that was done within viewFor.
func (s *Store) doubt(name fleet.ServiceName) {
	s.viewMu.Lock()
	defer s.viewMu.Unlock()
	if v := s.views[name]; v != nil {
		v.doubted = true
	}
}

// look makes the view of a service. It takes what looks holds of whole groups
// and keeps it up to date.
func (s *Store) look(name fleet.ServiceName, looks map[fleet.GroupID]look, now time.Time) []routing.Candidate {
	pub := s.cfg.Catalog().Services[name]
	if pub == nil {
		return nil
	}
	if pub.Spec.Kind == fleet.KindPlain {
		return s.plainCandidates(pub, now)
	}
	groups := s.cfg.Groups().Groups
	for id := range looks {
		if groups[id] == nil {
			delete(looks, id)
		}
	}
	var out []routing.Candidate
	for _, g := range groups {
		if g.Service == name {
			out = append(out, s.lookAt(g, looks, now))
		}
	}
	return out
}

func (s *Store) lookAt(g *group.Group, looks map[fleet.GroupID]look, now time.Time) routing.Candidate {
	if l, ok := looks[g.ID]; ok && l.holds(g, now) {
		return l.candidate
	}
	c := s.groupCandidate(g, now)
	if c.Whole && !c.Leaving {
		looks[g.ID] = look{now, c}
	} else {
		delete(looks, g.ID)
	}
	return c
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
