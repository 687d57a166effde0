package placement

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"carawayproxy.example/caraway/internal/fleet"
	"carawayproxy.example/caraway/internal/group"
	"carawayproxy.example/caraway/internal/lease"
)

// fallbackRun is the state of a fallback holder: a daemon that acts for a scope
// whose holder is gone while the log is down. It orders members that returned
// without a place back into their recorded one. It makes no new decisions, so two
// fallback holders at the same time send the same orders.
type fallbackRun struct {
	term         lease.Term
	since        time.Time // when this daemon became the fallback holder
	sawNewerTerm atomic.Bool
}

// runFallback restores recorded places if this daemon is the scope's fallback
// holder. It starts once the orders of the last holder have expired.
func (e *Executor) runFallback(ctx context.Context, scope lease.Scope, now time.Time) {
	term, ok := e.fallbackTerm(scope)
	if !ok {
		delete(e.fallbacks, scope)
		return
	}
	f := e.fallbacks[scope]
	if f == nil || f.term != term {
		f = &fallbackRun{term: term, since: now}
		e.fallbacks[scope] = f
	}
	if f.sawNewerTerm.Load() || now.Sub(f.since) < e.cfg.OrderTimeout+e.cfg.Every {
		return
	}
	s := e.snapshot(scope)
	s.Term = term
	e.sendAll(ctx, e.fallbackAuthority(scope, f), e.restoreOrders(s), now)
}

// fallbackTerm returns the term under which this daemon is the fallback holder of a
// scope, false if it is not. It is if the log is down, the last holder released the
// lease or is not alive, and this daemon is the first alive one in the scope's
// order.
func (e *Executor) fallbackTerm(scope lease.Scope) (lease.Term, bool) {
	if e.cfg.Alive == nil || e.cfg.Terms == nil || e.cfg.Outage == nil || !e.cfg.Outage() {
		return 0, false
	}
	l, ok := e.cfg.Terms.Current(scope)
	alive := e.cfg.Alive()
	if !ok || !l.Released && slices.Contains(alive, l.Holder) {
		return 0, false
	}
	return l.Term, lease.First(scope, e.cfg.Self, alive)
}

// fallbackAuthority returns the authority of a fallback holder. It ends when an
// engine reports a newer term than this daemon knows.
func (e *Executor) fallbackAuthority(scope lease.Scope, f *fallbackRun) authority {
	permit := func(time.Time) (time.Duration, bool) {
		term, ok := e.fallbackTerm(scope)
		return e.cfg.OrderTimeout, ok && term == f.term && !f.sawNewerTerm.Load()
	}
	return authority{scope: scope, term: f.term, permit: permit, sawNewerTerm: &f.sawNewerTerm, sendEvent: eventPlaceRestored}
}

// restoreOrders lists the orders for recorded members that report no place.
func (e *Executor) restoreOrders(s Snapshot) []order {
	var due []order
	admitted := AdmitOrders(s, e.cfg.Planner.policy.MaxLoads)
	for id, g := range s.Groups.Groups {
		if g.Scope != s.Scope || g.Phase != group.PhaseActive || !admitted[id] {
			continue
		}
		c := group.ReportedComposition(g, aliveReports(s.Instances))
		if !matchesRecord(g, c, s) {
			continue
		}
		for rank, m := range c {
			if o, ok := e.restoreOrder(g, c, rank, s.Instances[m.Instance]); ok {
				due = append(due, o)
			}
		}
	}
	return due
}

// matchesRecord reports whether no report contradicts a group's record: each of its
// instances reports no place or the one in the composition.
func matchesRecord(g *group.Group, c []group.Member, s Snapshot) bool {
	for m := range g.All() {
		st := s.Instances[m.Instance]
		reported := st.Report.Assignment
		if isSuperseded(g, reported) {
			return false
		}
		if reported == nil || !st.Alive {
			continue
		}
		rank := slices.IndexFunc(c, func(o group.Member) bool { return o.Instance == m.Instance })
		if rank < 0 {
			return false
		}
		if a := group.AssignmentOf(g, c, fleet.Rank(rank)); !sameAssignment(&a, reported) {
			return false
		}
	}
	return true
}

// restoreOrder returns the order for the instance of a rank if it is alive and
// reports no place.
func (e *Executor) restoreOrder(g *group.Group, c []group.Member, rank int, st InstanceState) (order, bool) {
	if !st.Alive || st.Report.Assignment != nil {
		return order{}, false
	}
	a := group.AssignmentOf(g, c, fleet.Rank(rank))
	return order{instance: c[rank].Instance, address: st.Instance.Address, assign: &a, reportedAt: st.Report.ReceivedAt}, true
}
