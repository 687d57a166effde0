package lease

import (
	"context"
	"time"

	"carawayproxy.example/caraway/internal/fleet"
	"carawayproxy.example/caraway/internal/journal"
)

// observe notes what changed since the last look, and when. The caller holds
// mu.
func (k *Keeper) observe(now time.Time, alive []fleet.DaemonID) {
	held := int64(0)
	for _, scope := range k.cfg.Scopes {
		st := k.scopes[scope]
		l, _ := k.cfg.Book.Current(scope)
		if l != st.seen || st.seenAt.IsZero() {
			st.seen = l
			st.seenAt = now
		}
		st.observeOrder(rank(scope, k.cfg.Self, alive), now)
		hold, ok := k.hold(scope, now)
		if ok {
			held++
		}
		if ok != st.wasHeld {
			k.tellHeld(st, hold, ok)
			st.wasHeld = ok
		}
	}
	k.held.Update(held)
}

func (s *scopeState) observeOrder(rank int, now time.Time) {
	switch {
	case rank == 0:
		s.awaySince = time.Time{}
	case s.awaySince.IsZero():
		s.awaySince = now
	}
}

func (k *Keeper) tellHeld(st *scopeState, hold Hold, held bool) {
	switch {
	case held:
		k.cfg.Events.Emit(eventClaimed, "scope", hold.Scope, "term", hold.Term)
	case !k.stopped && st.dropped != st.seen.Term:
		k.cfg.Events.Emit(eventLapsed, "scope", st.seen.Scope, "term", st.seen.Term, "holder", st.seen.Holder)
	}
}

// sendRenewals renews all scopes of this daemon in one record. The caller
// holds mu.
func (k *Keeper) sendRenewals(ctx context.Context, now time.Time) {
	if now.Before(k.renewAt) || k.renewing >= maxRenewals {
		return
	}
	var body Renew
	for _, scope := range k.cfg.Scopes {
		st := k.scopes[scope]
		l := st.seen
		if !l.heldBy(k.cfg.Self, l.Term) || st.dropped == l.Term {
			continue
		}
		x := sending{term: l.Term, renewal: st.nextRenewal(l), at: now}
		st.note(x, k.cfg.Validity)
		body.Items = append(body.Items, RenewItem{Scope: scope, Term: x.term, Renewal: x.renewal})
	}
	if len(body.Items) == 0 {
		return
	}
	k.renewAt = now.Add(k.cfg.RenewEvery)
	k.renewing++
	k.propose(ctx, KindRenew, body, func(res journal.Result) {
		k.renewing--
		if soon := time.Now().Add(retryAfter); res.Fate == journal.FateNotAppended && soon.Before(k.renewAt) {
			k.renewAt = soon
		}
	})
}

// nextRenewal returns a number above all that were sent in the lease's term.
func (s *scopeState) nextRenewal(l Lease) uint64 {
	highest := l.Renewals
	for _, x := range s.sent {
		if x.term == l.Term {
			highest = max(highest, x.renewal)
		}
	}
	return highest + 1
}

// sendClaims claims all scopes that are free in one record. The caller holds
// mu.
func (k *Keeper) sendClaims(ctx context.Context, now time.Time, alive []fleet.DaemonID) {
	if k.claiming || now.Before(k.claimAt) || !k.upToDate(now) {
		return
	}
	var body Claim
	for _, scope := range k.cfg.Scopes {
		st := k.scopes[scope]
		if !k.claimable(scope, st, now, alive) {
			continue
		}
		l := st.seen
		st.note(sending{term: l.Term + 1, at: now}, k.cfg.Validity)
		body.Items = append(body.Items, ClaimItem{Scope: scope, Term: l.Term + 1, Seen: l.Renewals})
		if l.Term > 0 && !l.Released {
			k.cfg.Events.Emit(eventExpired, "scope", scope, "term", l.Term, "holder", l.Holder, "silent", now.Sub(st.seenAt))
		}
	}
	if len(body.Items) == 0 {
		return
	}
	k.claiming = true
	k.propose(ctx, KindClaim, body, func(res journal.Result) {
		k.claiming = false
		if res.Fate == journal.FateNotAppended {
			k.claimAt = time.Now().Add(retryAfter)
		}
	})
}

// upToDate reports whether the daemon follows the log closely enough to judge
// a holder's silence. The fold refuses a claim that a renewal has overtaken,
// so this only saves appends.
func (k *Keeper) upToDate(now time.Time) bool {
	status := k.cfg.Proposer.Status()
	return status.Err == nil && !status.ConfirmedAt.IsZero() && now.Sub(status.ConfirmedAt) < k.cfg.Validity
}

// claimable reports whether this daemon's turn to claim a scope has come.
func (k *Keeper) claimable(scope Scope, st *scopeState, now time.Time, alive []fleet.DaemonID) bool {
	l := st.seen
	if l.heldBy(k.cfg.Self, l.Term) && st.dropped != l.Term {
		return false
	}
	wait := min(time.Duration(rank(scope, k.cfg.Self, alive))*rankDelay, maxRankDelay)
	if l.Term > 0 && !l.Released {
		wait += k.cfg.Validity + k.cfg.Drift
	}
	return now.Sub(st.seenAt) >= wait
}

// sendRebalance gives up the scopes that another live daemon is to hold. The
// caller holds mu.
func (k *Keeper) sendRebalance(ctx context.Context, now time.Time) {
	var body Release
	for _, scope := range k.cfg.Scopes {
		st := k.scopes[scope]
		l := st.seen
		away := !st.awaySince.IsZero() && now.Sub(st.awaySince) >= k.cfg.RebalanceAfter
		if !away || !l.heldBy(k.cfg.Self, l.Term) || st.dropped == l.Term {
			continue
		}
		st.dropped = l.Term
		st.awaySince = now
		body.Items = append(body.Items, ReleaseItem{Scope: scope, Term: l.Term})
	}
	if len(body.Items) == 0 {
		return
	}
	k.propose(ctx, KindRelease, body, func(res journal.Result) {
		k.cfg.Events.Emit(eventReleased, "scopes", len(body.Items), "accepted", res.Fate == journal.FateAccepted)
	})
}

// propose sends a record and calls then under mu with its result. Nothing is
// concluded from the result about the lease itself: that is read from the
// book, so an answer that is lost changes nothing.
func (k *Keeper) propose(ctx context.Context, kind journal.Kind, body any, then func(journal.Result)) {
	k.wg.Go(func() {
		ctx, cancel := context.WithTimeout(ctx, k.cfg.Validity)
		defer cancel()
		res := k.cfg.Proposer.Propose(ctx, kind, body)
		k.mu.Lock()
		defer k.mu.Unlock()
		then(res)
	})
}
