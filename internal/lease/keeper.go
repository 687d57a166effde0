package lease

import (
	"context"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"carawayproxy.example/caraway/internal/event"
	"carawayproxy.example/caraway/internal/fleet"
	"carawayproxy.example/caraway/internal/journal"
)

// Defaults of KeeperConfig.
const (
	DefaultRenewEvery     = 2 * time.Second
	DefaultValidity       = 6 * time.Second
	DefaultDrift          = 500 * time.Millisecond
	DefaultRebalanceAfter = 10 * time.Second
)

const (
	// keeperTick is how often the keeper looks at the leases without a
	// change of them.
	keeperTick = 250 * time.Millisecond
	// rankDelay is how much later each next daemon in the order of a scope
	// claims it, up to maxRankDelay.
	rankDelay    = 300 * time.Millisecond
	maxRankDelay = 1200 * time.Millisecond
	// retryAfter passes before a renewal or claim that is not in the log is
	// followed by another.
	retryAfter = 500 * time.Millisecond
	// maxRenewals bounds the renewals on their way, so that a slow log still
	// gets one every RenewEvery.
	maxRenewals = 4
)

// TakeoverBound is the longest time from a holder's last renewal to another
// daemon's hold with the default timings, while the log answers within a
// second.
const TakeoverBound = 10 * time.Second

// KeeperConfig sets up a Keeper.
type KeeperConfig struct {
	Self     fleet.DaemonID // must differ from that of any other live process
	Proposer journal.Proposer
	Book     *Book
	Scopes   []Scope
	// Alive lists the live daemons, this one among them. It only spreads the
	// scopes; no promise rests on it.
	Alive   func() []fleet.DaemonID
	Events  *event.Logger
	Metrics metrics.Registry // may be nil
	// RenewEvery is the time between renewals, DefaultRenewEvery when zero.
	RenewEvery time.Duration
	// Validity is how long a hold stands from when its renewal was sent,
	// DefaultValidity when zero.
	Validity time.Duration
	// Drift is how much longer than Validity an observer waits from when it
	// read a renewal, DefaultDrift when zero. It covers clocks that run at
	// different rates.
	Drift time.Duration
	// RebalanceAfter is how long another daemon must be first in a scope's
	// order before the holder gives the scope up to it,
	// DefaultRebalanceAfter when zero.
	RebalanceAfter time.Duration
}

// Keeper claims, renews and releases scopes for one daemon. It is safe for
// concurrent use.
type Keeper struct {
	cfg  KeeperConfig
	held metrics.Gauge
	wg   sync.WaitGroup // proposals on their way

	mu       sync.Mutex
	scopes   map[Scope]*scopeState
	claiming bool // a claim is on its way
	claimAt  time.Time
	renewing int // renewals on their way
	renewAt  time.Time
	stopped  bool // by ReleaseAll
}

// scopeState is what the keeper remembers of one scope.
type scopeState struct {
	seen    Lease     // as last looked at
	seenAt  time.Time // when seen became as it is
	sent    []sending // renewals and claims of this daemon, oldest first
	dropped Term      // a term that this daemon gives up
	// awaySince is since when another daemon is first in the scope's order;
	// zero if this one is.
	awaySince time.Time
	wasHeld   bool
}

// sending is when one claim (renewal zero) or renewal was sent.
type sending struct {
	term    Term
	renewal uint64
	at      time.Time
}

var _ Holder = (*Keeper)(nil)

// NewKeeper returns a keeper that does nothing until Run.
func NewKeeper(cfg KeeperConfig) *Keeper {
	setDefault(&cfg.RenewEvery, DefaultRenewEvery)
	setDefault(&cfg.Validity, DefaultValidity)
	setDefault(&cfg.Drift, DefaultDrift)
	setDefault(&cfg.RebalanceAfter, DefaultRebalanceAfter)
	reg := cfg.Metrics
	if reg == nil {
		reg = metrics.NewRegistry()
	}
	k := &Keeper{
		cfg:    cfg,
		held:   metrics.GetOrRegisterGauge("lease.held", reg),
		scopes: map[Scope]*scopeState{},
	}
	for _, s := range cfg.Scopes {
		k.scopes[s] = &scopeState{}
	}
	return k
}

func setDefault(d *time.Duration, value time.Duration) {
	if *d == 0 {
		*d = value
	}
}

// Run claims and renews until ctx ends. It does not release; see ReleaseAll.
func (k *Keeper) Run(ctx context.Context) {
	defer k.wg.Wait()
	tick := time.NewTicker(keeperTick)
	defer tick.Stop()
	for ctx.Err() == nil {
		changed := k.cfg.Book.Changed()
		k.step(ctx, time.Now())
		select {
		case <-changed:
		case <-tick.C:
		case <-ctx.Done():
		}
	}
}

// step looks at the leases once and sends what is due.
func (k *Keeper) step(ctx context.Context, now time.Time) {
	alive := k.cfg.Alive()
	k.mu.Lock()
	defer k.mu.Unlock()
	k.observe(now, alive)
	if k.stopped {
		return
	}
	k.sendRenewals(ctx, now)
	k.sendClaims(ctx, now, alive)
	k.sendRebalance(ctx, now)
}

// Held implements Holder. The hold rests on the last renewal of this daemon
// that the log shows, from when it was sent.
func (k *Keeper) Held(scope Scope) (Hold, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.hold(scope, time.Now())
}

func (k *Keeper) hold(scope Scope, now time.Time) (Hold, bool) {
	st := k.scopes[scope]
	if st == nil || k.stopped {
		return Hold{}, false
	}
	l, ok := k.cfg.Book.Current(scope)
	if !ok || !l.heldBy(k.cfg.Self, l.Term) || st.dropped == l.Term {
		return Hold{}, false
	}
	at, ok := st.sentAt(l)
	if !ok {
		return Hold{}, false
	}
	h := Hold{Scope: scope, Term: l.Term, ValidUntil: at.Add(k.cfg.Validity)}
	return h, h.Valid(now)
}

// sentAt returns when the renewal or claim that a lease shows was sent.
func (s *scopeState) sentAt(l Lease) (time.Time, bool) {
	for _, x := range s.sent {
		if x.term == l.Term && x.renewal == l.Renewals {
			return x.at, true
		}
	}
	return time.Time{}, false
}

// note remembers a sending and forgets those that can't matter any more.
func (s *scopeState) note(x sending, validity time.Duration) {
	keep := s.sent[:0]
	for _, old := range s.sent {
		if x.at.Sub(old.at) < validity {
			keep = append(keep, old)
		}
	}
	s.sent = append(keep, x)
}

// ReleaseAll gives up every scope for good and waits until the log has it or
// ctx ends. From its start on nothing is held.
func (k *Keeper) ReleaseAll(ctx context.Context) {
	k.mu.Lock()
	k.stopped = true
	body := Release{Items: k.ownItems()}
	k.mu.Unlock()
	if len(body.Items) == 0 {
		return
	}
	res := k.cfg.Proposer.Propose(ctx, KindRelease, body)
	k.cfg.Events.Emit(eventReleased, "scopes", len(body.Items), "accepted", res.Fate == journal.FateAccepted)
}

// ownItems lists the scopes that the book gives to this daemon.
func (k *Keeper) ownItems() []ReleaseItem {
	var items []ReleaseItem
	for _, scope := range k.cfg.Scopes {
		l, _ := k.cfg.Book.Current(scope)
		if l.heldBy(k.cfg.Self, l.Term) {
			items = append(items, ReleaseItem{Scope: scope, Term: l.Term})
		}
	}
	return items
}
