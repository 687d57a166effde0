package group

import (
	"slices"
	"time"

	"carawayproxy.example/caraway/internal/fleet"
)

// DefaultFreshness is the age up to which a report counts.
const DefaultFreshness = 2 * time.Second

// Whole is the gate: it reports whether the group can serve now. One
// composition, a list of as many instances as the group has ranks, drawn from
// the record's members and spares, must be vouched for by every one of its
// instances: by a report that is fresh (at most freshness old, 2 s when zero),
// not failed, ready, and that names this group, epoch, its own rank, the
// version and the same list. Because there are fewer spares than members, any
// two compositions share an instance, and one instance names one list: two
// compositions are never whole at once.
func Whole(g *Group, r Reports, now time.Time, freshness time.Duration) Wholeness {
	if freshness == 0 {
		freshness = DefaultFreshness
	}
	c := Compose(g, r)
	list := addresses(c)
	for rank, m := range c {
		if reason := vouches(g, list, fleet.Rank(rank), m, r, now, freshness); reason != "" {
			return Wholeness{Reason: string(m.Instance) + " " + reason}
		}
	}
	return Wholeness{Whole: true, Reason: "whole"}
}

// vouches returns why the report of a rank's instance does not stand for the
// composition, or "" when it does.
func vouches(g *Group, list []string, rank fleet.Rank, m Member, r Reports, now time.Time, freshness time.Duration) string {
	rep, ok := r.Report(m.Instance)
	a := rep.Assignment
	switch {
	case !ok:
		return "has no report"
	case rep.Failed:
		return "does not answer"
	case now.Sub(rep.ReceivedAt) > freshness:
		return "has a stale report"
	case a == nil:
		return "is in no group"
	case a.Group != g.ID:
		return "is in another group"
	case a.Epoch != g.Epoch:
		return "is at another epoch"
	case a.Rank != rank:
		return "has another rank"
	case a.Version != g.Version:
		return "has another version"
	case !slices.Equal(a.Members, list):
		return "is in another composition"
	case !rep.Ready:
		return "is not ready"
	}
	return ""
}

// Compose returns the composition that the group's engines are in, in rank
// order: of the lists they report for this group and epoch, the one that most
// of its own instances report. The record's members win a tie, then the
// smaller list.
func Compose(g *Group, r Reports) []Member {
	if len(g.Spares) == 0 {
		return g.Members
	}
	all := len(g.Members) + len(g.Spares)
	best, votes := g.Members, countVotes(g, g.Members, r)
	for m := range g.All() {
		if 2*votes > all {
			return best // no other list can have as many
		}
		c, ok := reported(g, m, r)
		if !ok {
			continue
		}
		n := countVotes(g, c, r)
		if n > votes || n == votes && precedes(g, c, best) {
			best, votes = c, n
		}
	}
	return best
}

// precedes breaks ties between compositions.
func precedes(g *Group, c, best []Member) bool {
	if slices.Equal(best, g.Members) {
		return false
	}
	return slices.Equal(c, g.Members) || slices.Compare(addresses(c), addresses(best)) < 0
}

// reported returns the composition that an instance's report names, if it can
// be one of this group at this epoch.
func reported(g *Group, m Member, r Reports) ([]Member, bool) {
	rep, ok := r.Report(m.Instance)
	a := rep.Assignment
	if !ok || a == nil || a.Group != g.ID || a.Epoch != g.Epoch || len(a.Members) != len(g.Members) {
		return nil, false
	}
	c := make([]Member, 0, len(a.Members))
	for i, address := range a.Members {
		m, ok := g.byAddress(address)
		if !ok || slices.Contains(a.Members[:i], address) {
			return nil, false
		}
		c = append(c, m)
	}
	return c, true
}

func (g *Group) byAddress(address string) (Member, bool) {
	for m := range g.All() {
		if m.Address == address {
			return m, true
		}
	}
	return Member{}, false
}

// countVotes counts the instances of a composition that report it.
func countVotes(g *Group, c []Member, r Reports) int {
	list := addresses(c)
	n := 0
	for _, m := range c {
		rep, ok := r.Report(m.Instance)
		if !ok || rep.Assignment == nil {
			continue
		}
		if a := rep.Assignment; a.Group == g.ID && a.Epoch == g.Epoch && slices.Equal(a.Members, list) {
			n++
		}
	}
	return n
}

func addresses(c []Member) []string {
	list := make([]string, len(c))
	for i, m := range c {
		list[i] = m.Address
	}
	return list
}

// AssignmentOf returns what the instance of a rank is to be ordered into for
// a composition of the group.
func AssignmentOf(g *Group, c []Member, rank fleet.Rank) fleet.Assignment {
	return fleet.Assignment{
		Group:    g.ID,
		Epoch:    g.Epoch,
		Rank:     rank,
		Service:  g.Service,
		Model:    g.Model,
		Version:  g.Version,
		Adapters: g.Adapters,
		Role:     g.Role,
		Members:  addresses(c),
	}
}
