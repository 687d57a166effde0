package lease

import (
	"context"
	"time"

	"carawayproxy.example/caraway/internal/fleet"
	"carawayproxy.example/caraway/internal/journal"
)

// observe updates the state of every scope from the current leases. The caller
// holds mu.
func (m *Manager) observe(now time.Time, alive []fleet.DaemonID) {
	held := int64(0)
	for _, scope := range m.cfg.Scopes {
		st := m.scopes[scope]
		l, _ := m.cfg.Fold.Current(scope)
		if l != st.seen || st.seenAt.IsZero() {
			st.seen = l
			st.seenAt = time.Now() // the process may have been paused since now
		}
		st.observeOrder(rank(scope, m.cfg.Self, alive), now)
		hold, ok := m.hold(scope, now)
		if ok {
			held++
		}
		if ok != st.wasHeld {
			m.emitHoldChange(st, hold, ok)
			st.wasHeld = ok
		}
	}
	m.heldGauge.Update(held)
}

func (s *scopeState) observeOrder(rank int, now time.Time) {
	switch {
	case rank == 0:
		s.notFirstSince = time.Time{}
	case s.notFirstSince.IsZero():
		s.notFirstSince = now
	}
}

func (m *Manager) emitHoldChange(st *scopeState, hold Hold, held bool) {
	switch {
	case held:
		m.cfg.Events.Emit(eventClaimed, "scope", hold.Scope, "term", hold.Term)
	case !m.stopped && st.releasedTerm != st.seen.Term:
		m.cfg.Events.Emit(eventLapsed, "scope", st.seen.Scope, "term", st.seen.Term, "holder", st.seen.Holder)
	}
}

// sendRenewals renews all scopes of this daemon by one record. The caller holds
// mu.
func (m *Manager) sendRenewals(ctx context.Context, now time.Time) {
	if now.Before(m.nextRenewalAt) || m.renewalsInFlight >= maxRenewalsInFlight {
		return
	}
	var body Renew
	for _, scope := range m.cfg.Scopes {
		st := m.scopes[scope]
		l := st.seen
		if !l.heldBy(m.cfg.Self, l.Term) || st.releasedTerm == l.Term {
			continue
		}
		x := sentProposal{term: l.Term, renewal: st.nextRenewal(l), at: now}
		st.recordSent(x, m.cfg.Validity)
		body.Items = append(body.Items, RenewItem{Scope: scope, Term: x.term, Renewal: x.renewal})
	}
	if len(body.Items) == 0 {
		return
	}
	m.nextRenewalAt = now.Add(m.cfg.RenewEvery)
	m.renewalsInFlight++
	m.propose(ctx, KindRenew, body, func(res journal.Result) {
		m.renewalsInFlight--
		if retryAt := time.Now().Add(proposalRetryDelay); res.Outcome == journal.OutcomeNotAppended && retryAt.Before(m.nextRenewalAt) {
			m.nextRenewalAt = retryAt
		}
	})
}

// nextRenewal returns a number higher than those of all renewals that were sent
// in the term of l.
func (s *scopeState) nextRenewal(l Lease) uint64 {
	highest := l.Renewals
	for _, x := range s.sent {
		if x.term == l.Term {
			highest = max(highest, x.renewal)
		}
	}
	return highest + 1
}

// sendClaims claims all claimable scopes by one record. The caller holds mu.
func (m *Manager) sendClaims(ctx context.Context, now time.Time, alive []fleet.DaemonID) {
	if m.claimInFlight || now.Before(m.nextClaimAt) || !m.upToDate(now) {
		return
	}
	var body Claim
	for _, scope := range m.cfg.Scopes {
		st := m.scopes[scope]
		if !m.claimable(scope, st, now, alive) {
			continue
		}
		l := st.seen
		st.recordSent(sentProposal{term: l.Term + 1, at: now}, m.cfg.Validity)
		body.Items = append(body.Items, ClaimItem{Scope: scope, Term: l.Term + 1, Seen: l.Renewals})
		if l.Term > 0 && !l.Released {
			m.cfg.Events.Emit(eventExpired, "scope", scope, "term", l.Term, "holder", l.Holder, "silent", now.Sub(st.seenAt))
		}
	}
	if len(body.Items) == 0 {
		return
	}
	m.claimInFlight = true
	m.propose(ctx, KindClaim, body, func(res journal.Result) {
		m.claimInFlight = false
		if res.Outcome == journal.OutcomeNotAppended {
			m.nextClaimAt = time.Now().Add(proposalRetryDelay)
		}
	})
}

// upToDate reports whether the daemon's copy of the log is recent enough to
// judge whether a holder has stopped renewing. The fold rejects a claim if a
// renewal precedes it, so this check only avoids useless appends.
func (m *Manager) upToDate(now time.Time) bool {
	status := m.cfg.Proposer.Status()
	return status.Err == nil && !status.ConfirmedAt.IsZero() && now.Sub(status.ConfirmedAt) < m.cfg.Validity
}

// claimable reports whether this daemon may claim a scope now. The wait grows
// with the daemon's rank in the order of the scope.
func (m *Manager) claimable(scope Scope, st *scopeState, now time.Time, alive []fleet.DaemonID) bool {
	l := st.seen
	if l.heldBy(m.cfg.Self, l.Term) && st.releasedTerm != l.Term {
		return false
	}
	wait := min(time.Duration(rank(scope, m.cfg.Self, alive))*rankDelay, maxRankDelay)
	if l.Term > 0 && !l.Released {
		wait += m.cfg.Validity + m.cfg.Drift
	}
	return now.Sub(st.seenAt) >= wait
}

// sendRebalance releases the scopes that have had another live daemon as the
// first in their order for RebalanceAfter. The caller holds mu.
func (m *Manager) sendRebalance(ctx context.Context, now time.Time) {
	var body Release
	for _, scope := range m.cfg.Scopes {
		st := m.scopes[scope]
		l := st.seen
		displaced := !st.notFirstSince.IsZero() && now.Sub(st.notFirstSince) >= m.cfg.RebalanceAfter
		if !displaced || !l.heldBy(m.cfg.Self, l.Term) || st.releasedTerm == l.Term {
			continue
		}
		st.releasedTerm = l.Term
		st.notFirstSince = now
		body.Items = append(body.Items, ReleaseItem{Scope: scope, Term: l.Term})
	}
	if len(body.Items) == 0 {
		return
	}
	m.propose(ctx, KindRelease, body, func(res journal.Result) {
		m.cfg.Events.Emit(eventReleased, "scopes", len(body.Items), "accepted", res.Outcome == journal.OutcomeAccepted)
	})
}

// propose sends a record and calls then with the result while holding mu. The
// state of the lease is always read from the fold and never derived from the
// result, so a lost response has no effect on it.
func (m *Manager) propose(ctx context.Context, kind journal.Kind, body any, then func(journal.Result)) {
	m.wg.Go(func() {
		ctx, cancel := context.WithTimeout(ctx, m.cfg.Validity)
		defer cancel()
		res := m.cfg.Proposer.Propose(ctx, kind, body)
		m.mu.Lock()
		defer m.mu.Unlock()
		then(res)
	})
}
