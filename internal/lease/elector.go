package lease

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"carawayproxy.example/caraway/internal/event"
	"carawayproxy.example/caraway/internal/feed"
)

// ElectorConfig configures an elector.
type ElectorConfig struct {
	Scope Scope
	Log   ClaimLog
	// Member identifies this process among all that ever claim the scope.
	Member string
	// TTL is how long a hold lasts, counted from when its last renewal was sent.
	// It must be the same at all daemons. The interval between renewals must be
	// well below TTL.
	TTL, RenewInterval time.Duration
	// IsPredecessor reports whether a member is a previous process of this
	// instance, which has ended. Its claim is treated as released. Nil means
	// never.
	IsPredecessor func(member string) bool
	// IsCandidate reports whether this daemon should claim the scope while the
	// scope has no holder. Nil means always.
	IsCandidate func() bool
	// KnowsPeers reports whether this daemon has had the time to hear of the others.
	// Until then it claims the scope only if the last claim is that of a previous
	// process of this instance. Nil means always.
	KnowsPeers func() bool
	// ShouldYield reports whether this daemon, which holds the scope, should leave it
	// to others for now. Nil means never.
	ShouldYield func() bool
	// OutageConfirmed reports whether all daemons that could claim the scope
	// have recently reported that the log is unavailable to them too. While it
	// returns true, a hold whose renewals fail is extended, by at most
	// MaxOutageExtension. Nil means never.
	OutageConfirmed    func() bool
	MaxOutageExtension time.Duration
	// NotifyPeers sends this daemon's last renewal and the availability of the
	// log to the other daemons at once. It is called before each renewal, after
	// a new claim, and after a failed call while the scope is held. It may be
	// nil.
	NotifyPeers func()
	// Elapsed is a clock that keeps running while the machine is suspended.
	Elapsed func() time.Duration
	Events  *event.Logger
}

// Elector maintains this daemon's hold on one scope by means of a claim log. A
// hold lasts for TTL from when its last renewal was sent. Another daemon claims
// the scope only if the log has not grown for TTL since that daemon learned of
// its current end. Both are measured on a clock that keeps running while the
// machine is suspended. It implements Holder and is safe for concurrent use.
type Elector struct {
	cfg ElectorConfig

	mu sync.Mutex
	// term is the term of this daemon's hold, zero if it has none. validUntil
	// is when the hold expires, and serial counts this daemon's writes.
	term       Term
	validUntil time.Duration
	serial     uint64
	// end is the last known end of the log, valid if tailKnown is set. seenAt
	// is a time by which the last record was certainly written. vacant is set
	// if that record releases the scope or the log is empty.
	tailKnown bool
	end       feed.Position
	seenAt    time.Duration
	vacant    bool
	// lastTerm is the highest term of any hold that this daemon knows of. termEra is the
	// latest era of a record that it knows; termsKnown is set once the log was read.
	lastTerm   Term
	termEra    uint64
	termsKnown bool
	// succeeds is set if the last record is a claim of a previous process of this
	// instance.
	succeeds bool
	// observed holds recent renewals reported by the last other holder, oldest
	// first.
	observed []observedRenewal
	// logUnavailable is set while calls to the log fail.
	logUnavailable bool
	// unansweredSince is when the first write with an unknown outcome was sent,
	// zero if there is none.
	unansweredSince time.Duration
	// lastStepAt is when Run last called step, and lastCallAt when step last
	// called the log.
	lastStepAt, lastCallAt time.Duration
	// released is set once the scope was released permanently.
	released bool
	// wake makes Run call the log at once.
	wake chan struct{}
}

var _ Holder = (*Elector)(nil)

const (
	// holdMargin is how long before others may claim the scope a hold ends.
	holdMargin = 100 * time.Millisecond
	// outageExtensionStep is the validity of a hold that is extended during a
	// confirmed outage of the log. After it the outage must be confirmed again.
	outageExtensionStep = 200 * time.Millisecond
	// stepsPerRenewal is how often per renewal interval Run checks whether a
	// call is due, so that a scope is claimed soon after its hold has expired.
	stepsPerRenewal = 4
	// maxMissedRenewals is the number of renewal intervals without a step of
	// Run after which the process is assumed to have been paused. Reports that
	// peers sent before the pause are then disregarded.
	maxMissedRenewals = 2
)

// NewElector returns an elector that claims nothing until Run is called.
func NewElector(cfg ElectorConfig) *Elector {
	return &Elector{cfg: cfg, wake: make(chan struct{}, 1)}
}

// Held implements Holder.
func (e *Elector) Held(scope Scope) (Hold, bool) {
	e.mu.Lock()
	term, until := e.term, e.validUntil
	now := e.cfg.Elapsed()
	extendable := e.logUnavailable && now < until+e.cfg.MaxOutageExtension && now-e.lastStepAt < maxMissedRenewals*e.cfg.RenewInterval
	e.mu.Unlock()
	if scope != e.cfg.Scope || term == 0 {
		return Hold{}, false
	}
	remaining := until - now
	if remaining <= 0 && extendable && e.cfg.OutageConfirmed != nil && e.cfg.OutageConfirmed() {
		remaining = outageExtensionStep
	}
	if remaining <= 0 {
		return Hold{}, false
	}
	return Hold{Scope: scope, Term: term, ValidUntil: time.Now().Add(remaining)}, true
}

// LogUnavailable reports whether this daemon's last call to the log failed.
func (e *Elector) LogUnavailable() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.logUnavailable
}

// Renewal is what a holder reports to the other daemons about its hold.
type Renewal struct {
	Term Term `cbor:"1,keyasint"`
	// Serial is that of the holder's last renewal, which may be in flight.
	Serial uint64 `cbor:"2,keyasint"`
}

// observedRenewal is a renewal with the time at which it was first observed.
type observedRenewal struct {
	Renewal
	at time.Duration
}

// maxObservedRenewals is how many renewals are kept. They cover twice the time
// after which a holder that cannot renew loses its hold.
const maxObservedRenewals = 8

// LastRenewal returns the renewal to report to the other daemons. It is zero
// without a valid hold.
func (e *Elector) LastRenewal() Renewal {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.term == 0 || e.validUntil <= e.cfg.Elapsed() {
		return Renewal{}
	}
	return Renewal{Term: e.term, Serial: e.serial}
}

// ObserveRenewal records a renewal reported by another daemon that holds the
// scope. The renewal was sent before this call, so the hold that it extends ends
// less than TTL after the call.
func (e *Elector) ObserveRenewal(r Renewal) {
	if r.Term == 0 {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if n := len(e.observed); n > 0 {
		last := e.observed[n-1]
		if r.Term < last.Term || r.Term == last.Term && r.Serial <= last.Serial {
			return
		}
		if r.Term > last.Term {
			e.observed = nil
		}
	}
	if r.Term > e.term {
		e.loseHold()
	}
	e.lastTerm = max(e.lastTerm, r.Term)
	e.observed = append(e.observed, observedRenewal{r, e.cfg.Elapsed()})
	e.observed = e.observed[max(len(e.observed)-maxObservedRenewals, 0):]
}

// observedAt returns when this daemon observed the renewal c, or a later one of
// the same term. The caller holds mu.
func (e *Elector) observedAt(c *ClaimEntry) (at time.Duration, ok bool) {
	for _, o := range e.observed {
		if c != nil && o.Term == c.Term && o.Serial >= c.Serial {
			return o.at, true
		}
	}
	return 0, false
}

// loseHold ends this daemon's hold, if it has one, because another daemon has
// claimed the scope. The caller holds mu.
func (e *Elector) loseHold() {
	if e.term != 0 {
		e.cfg.Events.Emit(eventShareLost, "scope", e.cfg.Scope, "term", e.term)
	}
	e.term, e.validUntil, e.unansweredSince = 0, 0, 0
}

// recordTail records the end of the log. The caller holds mu.
func (e *Elector) recordTail(end feed.Position, vacant bool) {
	if !e.tailKnown || end != e.end {
		e.seenAt = e.cfg.Elapsed()
	}
	e.tailKnown, e.end, e.vacant = true, end, vacant
}

// Run claims and renews the scope until ctx ends or the scope is released.
func (e *Elector) Run(ctx context.Context) {
	tick := time.NewTicker(e.cfg.RenewInterval / stepsPerRenewal)
	defer tick.Stop()
	for {
		if e.isReleased() {
			return
		}
		e.step(ctx)
		select {
		case <-tick.C:
		case <-e.wake:
			e.mu.Lock()
			e.lastCallAt = 0
			e.mu.Unlock()
		case <-ctx.Done():
			return
		}
	}
}

// RenewNow makes Run call the log at once, for use when the log is available again.
func (e *Elector) RenewNow() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// step makes at most one attempt to renew or claim the scope, if one is due, and
// processes the response.
func (e *Elector) step(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, e.cfg.RenewInterval)
	defer cancel()
	e.mu.Lock()
	now := e.cfg.Elapsed()
	e.lastStepAt = now
	due := e.lastCallAt == 0 || now-e.lastCallAt >= e.cfg.RenewInterval
	holding := e.term != 0
	expiry := e.seenAt + e.cfg.TTL // when the last record expires
	due = due || !holding && e.tailKnown && now >= expiry && e.lastCallAt < expiry
	e.mu.Unlock()
	switch {
	case !due:
	case holding && e.cfg.ShouldYield != nil && e.cfg.ShouldYield():
		e.yield(ctx)
	case holding:
		e.write(ctx)
	case e.cfg.IsCandidate != nil && !e.cfg.IsCandidate():
	case e.readTail(ctx) && e.claimable():
		e.write(ctx)
	}
}

// yield ends the hold and writes a record, so that other daemons need not wait for it
// to expire.
func (e *Elector) yield(ctx context.Context) {
	e.mu.Lock()
	end, term := e.end, e.term
	e.loseHold()
	e.tailKnown, e.lastCallAt = false, e.cfg.Elapsed()
	e.mu.Unlock()
	if err := e.cfg.Log.Write(ctx, end, ClaimEntry{Term: term, TTL: e.cfg.TTL, Era: end.Era, HasEra: true}); err != nil {
		e.cfg.Events.Emit(eventShareFailed, "scope", e.cfg.Scope, "error", err)
	}
	e.notifyPeers()
}

// claimable reports whether the last holder's hold has expired or was released, and
// this daemon need not wait to hear of the others.
func (e *Elector) claimable() bool {
	knowsPeers := e.cfg.KnowsPeers == nil || e.cfg.KnowsPeers()
	e.mu.Lock()
	defer e.mu.Unlock()
	if !knowsPeers && !e.succeeds {
		return false
	}
	return e.tailKnown && (e.vacant || e.cfg.Elapsed()-e.seenAt >= e.cfg.TTL)
}

// write renews the hold, or claims the scope, at the known end of the log.
func (e *Elector) write(ctx context.Context) {
	_, held := e.Held(e.cfg.Scope)
	e.mu.Lock()
	at, sentAt := e.end, e.cfg.Elapsed()
	e.lastCallAt = sentAt
	term := e.term
	if !held {
		term = e.nextTerm() // an expired hold is not renewed: a new term begins
	}
	e.serial++
	claim := ClaimEntry{Member: e.cfg.Member, Term: term, Serial: e.serial, TTL: e.cfg.TTL, Era: at.Era, HasEra: true}
	e.mu.Unlock()
	if held {
		e.notifyPeers()
	}
	err := e.cfg.Log.Write(ctx, at, claim)
	switch {
	case err == nil:
		e.onWritten(at, term, sentAt)
	case errors.Is(err, ErrPositionConflict):
		e.readTail(ctx)
	default:
		e.onFailed(err, sentAt)
	}
}

// termsPerEra exceeds the number of records that the log lacks when it comes back from an
// older copy: those of four days, at the renewal interval of the operators' platform.
const termsPerEra = 1 << 20

// nextTerm returns a term that follows all known ones, those that the log may have lost,
// and those that it has but does not show: its last record may be a claim that was sent in
// an earlier era. Terms rise with the position in the log, so that no two claims have the
// same. The caller holds mu.
func (e *Elector) nextTerm() Term {
	term := Term(e.end.Offset + 1)
	if e.end.Era > firstEra {
		term += Term(e.end.Era) * termsPerEra
	}
	return max(term, e.lastTerm+1)
}

func (e *Elector) onWritten(at feed.Position, term Term, sentAt time.Duration) {
	e.mu.Lock()
	if e.released {
		e.mu.Unlock()
		return // the renewal was in flight when the scope was released
	}
	acquired := e.term != term
	e.term, e.validUntil = term, sentAt+e.cfg.TTL-holdMargin
	e.logUnavailable, e.unansweredSince = false, 0
	e.recordTail(at.Next(), false)
	e.lastTerm, e.termEra = max(e.lastTerm, term), at.Era
	e.mu.Unlock()
	if acquired {
		e.cfg.Events.Emit(eventShareTaken, "scope", e.cfg.Scope, "term", term)
		e.notifyPeers()
	}
}

// readTail reads the end of the log and reports whether it succeeded. A holder
// reads it when the log does not end where this daemon expects: either another
// daemon has claimed the scope, or the log contains a record of this daemon
// whose response was lost.
func (e *Elector) readTail(ctx context.Context) bool {
	e.mu.Lock()
	e.lastCallAt = e.cfg.Elapsed()
	e.mu.Unlock()
	tail, err := e.cfg.Log.Tail(ctx)
	if err != nil {
		e.onFailed(err, 0)
		return false
	}
	if tail.Unreadable != nil {
		e.cfg.Events.Emit(eventShareFailed, "scope", e.cfg.Scope, "error", tail.Unreadable)
	}
	held, extended := e.heldNow()
	e.mu.Lock()
	e.logUnavailable = false
	restored := e.tailKnown && tail.End.Era > e.end.Era
	current, known := tail.isCurrent()
	if !known {
		current = !restored && e.hasAllTerms(tail)
	}
	own := tail.Last != nil && tail.Last.Member == e.cfg.Member
	switch {
	case own && e.term != 0 && e.unansweredSince != 0 && tail.End == e.end.Next():
		e.validUntil = max(e.validUntil, e.unansweredSince+e.cfg.TTL-holdMargin)
		e.unansweredSince, e.lastCallAt = 0, 0 // renew at the next step
	case held && !current:
		// The log has lost this daemon's last renewals, and nobody has written since:
		// others wait for the end of all holds, so that this one can be renewed.
		if extended {
			e.validUntil = e.cfg.Elapsed() + outageExtensionStep
		}
		e.unansweredSince, e.lastCallAt = 0, 0
	default:
		e.loseHold()
	}
	// A claim of this process that it learns of only now was never acted on, so
	// it can be treated as released, like that of a previous process of this
	// instance. Later claims may be missing in a log that was restored.
	e.succeeds = current && tail.Last != nil && e.cfg.IsPredecessor != nil && e.cfg.IsPredecessor(tail.Last.Member)
	own = own && e.term == 0 || e.succeeds
	e.recordTail(tail.End, current && (tail.vacant() || own))
	if at, ok := e.observedAt(tail.Last); ok && current {
		e.seenAt = min(e.seenAt, at)
	}
	e.recordTerms(tail)
	holds := e.term != 0
	e.mu.Unlock()
	if restored {
		e.cfg.Events.Emit(eventLogRestored, "scope", e.cfg.Scope, "end", tail.End, "holds", holds)
	}
	return true
}

// heldNow reports whether this daemon's hold is valid, and whether only because it is
// extended in a confirmed outage.
func (e *Elector) heldNow() (held, extended bool) {
	_, held = e.Held(e.cfg.Scope)
	e.mu.Lock()
	defer e.mu.Unlock()
	return held, held && e.validUntil <= e.cfg.Elapsed()
}

// hasAllTerms reports whether this daemon has not seen the log come back from an older
// copy that may lack claims, as far as a log tells whose last record names no era. The
// caller holds mu.
func (e *Elector) hasAllTerms(tail Tail) bool {
	if !e.termsKnown {
		return tail.Last != nil || tail.End.Era <= firstEra
	}
	return e.termEra == tail.End.Era
}

// firstEra is the era of a log that has never come back from a copy.
const firstEra = 1

// recordTerms records the term of the last record of the log. The caller holds mu.
func (e *Elector) recordTerms(tail Tail) {
	if tail.Last != nil {
		e.lastTerm = max(e.lastTerm, tail.Last.Term)
	}
	switch {
	case tail.Last != nil && tail.Last.HasEra:
		e.termEra = max(e.termEra, tail.Last.Era)
	case !e.termsKnown && tail.Last == nil:
		e.termEra = min(tail.End.Era, firstEra)
	case !e.termsKnown:
		e.termEra = tail.End.Era
	}
	e.termsKnown = true
}

// onFailed handles a failed call. sentAt is when the record was sent, zero for a
// read.
func (e *Elector) onFailed(err error, sentAt time.Duration) {
	e.mu.Lock()
	e.logUnavailable = true
	if e.unansweredSince == 0 {
		e.unansweredSince = sentAt
	}
	holding := e.term != 0
	e.mu.Unlock()
	if holding {
		e.cfg.Events.Emit(eventShareFailed, "scope", e.cfg.Scope, "error", err)
		e.notifyPeers()
	}
}

func (e *Elector) notifyPeers() {
	if e.cfg.NotifyPeers != nil {
		e.cfg.NotifyPeers()
	}
}

func (e *Elector) isReleased() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.released
}

// Release ends the hold at once and permanently; this daemon does not claim the
// scope again. It writes a record so that other daemons need not wait for the
// hold to expire. Without a hold it writes nothing.
func (e *Elector) Release(ctx context.Context) error {
	e.mu.Lock()
	holding, end, term := e.term != 0, e.end, e.term
	e.released, e.term, e.validUntil = true, 0, 0
	e.mu.Unlock()
	if !holding {
		return nil
	}
	return e.cfg.Log.Write(ctx, end, ClaimEntry{Term: term, TTL: e.cfg.TTL, Era: end.Era, HasEra: true})
}
