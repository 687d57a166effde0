package group

import (
	"slices"
	"time"

	"carawayproxy.example/caraway/internal/fleet"
)

// DefaultFreshness is the maximum age of a report that Whole accepts by default.
const DefaultFreshness = 2 * time.Second

// Whole reports whether the group can serve now. A composition is a list of as
// many instances as the group has ranks, taken from its members and spares. The
// group is whole if every instance of one composition has a report that is at
// most freshness old (DefaultFreshness if zero), not failed and ready, and that
// names this group and epoch, the instance's rank, the version and the same
// composition. A group has fewer spares than members, so any two compositions
// share an instance, and an instance reports only one composition. Two
// compositions therefore cannot be whole at the same time.
func Whole(g *Group, r Reports, now time.Time, freshness time.Duration) Wholeness {
	if freshness == 0 {
		freshness = DefaultFreshness
	}
	c := ReportedComposition(g, r)
	list := addresses(c)
	for rank, m := range c {
		if reason := reportMismatch(g, list, fleet.Rank(rank), m, r, now, freshness); reason != "" {
			return Wholeness{Reason: string(m.Instance) + " " + reason}
		}
	}
	return Wholeness{Whole: true, Reason: "whole"}
}

// reportMismatch returns why the report of the instance at the given rank does
// not confirm the composition, or "" if it does.
func reportMismatch(g *Group, list []string, rank fleet.Rank, m Member, r Reports, now time.Time, freshness time.Duration) string {
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

// ReportedComposition returns the composition that the group's engines run, in
// rank order. Among the compositions reported for this group and epoch, it is
// the one that most of its own instances report. On a tie it is the record's
// member list if that is among the tied, otherwise the smallest list of
// addresses.
func ReportedComposition(g *Group, r Reports) []Member {
	if len(g.Spares) == 0 {
		return g.Members
	}
	all := len(g.Members) + len(g.Spares)
	best, votes := g.Members, countVotes(g, g.Members, r)
	for m := range g.All() {
		if 2*votes > all {
			return best // no other composition can have as many votes
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

// precedes reports whether c wins a tie against best.
func precedes(g *Group, c, best []Member) bool {
	if slices.Equal(best, g.Members) {
		return false
	}
	return slices.Equal(c, g.Members) || slices.Compare(addresses(c), addresses(best)) < 0
}

// reported returns the composition in the report of an instance. It returns
// false if that is not a valid composition of this group at this epoch.
func reported(g *Group, m Member, r Reports) ([]Member, bool) {
	rep, ok := r.Report(m.Instance)
	a := rep.Assignment
	if !ok || a == nil || a.Group != g.ID || a.Epoch != g.Epoch || len(a.Members) != len(g.Members) {
		return nil, false
	}
	c := make([]Member, 0, len(a.Members))
	for i, address := range a.Members {
		m, ok := g.memberByAddress(address)
		if !ok || slices.Contains(a.Members[:i], address) {
			return nil, false
		}
		c = append(c, m)
	}
	return c, true
}

func (g *Group) memberByAddress(address string) (Member, bool) {
	for m := range g.All() {
		if m.Address == address {
			return m, true
		}
	}
	return Member{}, false
}

// countVotes returns how many instances of a composition report it.
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

// AssignmentOf returns the assignment for the instance at the given rank of a
// composition of the group.
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
