package lease

import (
	"context"
	"sync"
	"time"

	"carawayproxy.example/caraway/internal/event"
)

// Share is what a Dealer gives a member.
type Share struct {
	// Generation grows with each change of who holds what.
	Generation uint64
	// Scopes are those that the member holds now.
	Scopes []Scope
}

// Dealer deals scopes out to the members that keep asking for them. A member
// that has not asked for the time to live loses its scopes.
type Dealer interface {
	// Renew asks for a share or keeps it for another ttl from the moment at
	// which the call arrives. generation is the last one that was received.
	Renew(ctx context.Context, member string, ttl time.Duration, generation uint64) (Share, error)
	// GiveBack ends a member's share.
	GiveBack(ctx context.Context, member string) error
}

// TenureConfig sets up a Tenure.
type TenureConfig struct {
	Dealer Dealer
	Member string
	// TTL is how long a share outlasts its last renewal, Every the time
	// between two renewals. Every must be well below TTL.
	TTL, Every time.Duration
	// Stands reports whether this daemon should ask for scopes while it holds
	// none; nil for always.
	Stands func() bool
	// Taken is told when a scope was dealt to this daemon; nil for nobody.
	Taken func()
	// Elapsed is a clock that also runs while the machine is suspended.
	Elapsed func() time.Duration
	Events  *event.Logger
}

// Tenure keeps this daemon's share of the scopes. A hold runs from when its
// renewal was sent, on a clock that a suspended machine does not stop. It
// implements Holder and is safe for concurrent use.
type Tenure struct {
	cfg TenureConfig

	mu    sync.Mutex
	until time.Duration // of the clock
	terms map[Scope]Term
	seen  uint64 // generation
	// given is set once the share was given back for good.
	given bool
}

var _ Holder = (*Tenure)(nil)

// holdMargin ends a hold a little before the dealer does.
const holdMargin = 100 * time.Millisecond

// NewTenure returns a tenure that holds nothing until Run.
func NewTenure(cfg TenureConfig) *Tenure {
	return &Tenure{cfg: cfg, terms: map[Scope]Term{}}
}

// Held implements Holder.
func (t *Tenure) Held(scope Scope) (Hold, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	term, ok := t.terms[scope]
	left := t.until - t.cfg.Elapsed()
	if !ok || left <= 0 {
		return Hold{}, false
	}
	return Hold{Scope: scope, Term: term, ValidUntil: time.Now().Add(left)}, true
}

// Run renews the share until ctx ends.
func (t *Tenure) Run(ctx context.Context) {
	tick := time.NewTicker(t.cfg.Every)
	defer tick.Stop()
	for {
		if t.gaveBack() {
			return
		}
		if t.holds() || t.cfg.Stands == nil || t.cfg.Stands() {
			t.renew(ctx)
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
	}
}

func (t *Tenure) renew(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, t.cfg.TTL/2)
	defer cancel()
	sentAt := t.cfg.Elapsed()
	t.mu.Lock()
	generation := t.seen
	t.mu.Unlock()
	share, err := t.cfg.Dealer.Renew(ctx, t.cfg.Member, t.cfg.TTL, generation)
	if err != nil {
		if ctx.Err() == nil || t.lapsed() {
			t.cfg.Events.Emit(eventShareFailed, "error", err)
		}
		return
	}
	t.take(share, sentAt)
}

func (t *Tenure) gaveBack() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.given
}

func (t *Tenure) holds() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.terms) > 0 && t.until > t.cfg.Elapsed()
}

func (t *Tenure) lapsed() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.terms) > 0 && t.until <= t.cfg.Elapsed()
}

// take makes the share that a renewal brought the one that is held. A scope
// that was lost meanwhile, or whose hold had ended, begins a new term.
func (t *Tenure) take(share Share, sentAt time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.given {
		return // a renewal that was under way
	}
	ended := t.until <= sentAt
	if t.cfg.Taken != nil && len(share.Scopes) > 0 && (ended || len(t.terms) == 0) {
		defer t.cfg.Taken()
	}
	terms := make(map[Scope]Term, len(share.Scopes))
	for _, scope := range share.Scopes {
		term, held := t.terms[scope]
		if !held || ended {
			term = Term(share.Generation)
			t.cfg.Events.Emit(eventShareTaken, "scope", scope, "term", term)
		}
		terms[scope] = term
	}
	for scope, term := range t.terms {
		if _, kept := terms[scope]; !kept {
			t.cfg.Events.Emit(eventShareLost, "scope", scope, "term", term)
		}
	}
	t.terms = terms
	t.seen = share.Generation
	t.until = sentAt + t.cfg.TTL - holdMargin
}

// GiveBack ends the share at once and for good: a daemon that stops asks for no
// other one.
func (t *Tenure) GiveBack(ctx context.Context) error {
	t.mu.Lock()
	t.given = true
	t.terms = map[Scope]Term{}
	t.until = 0
	t.mu.Unlock()
	return t.cfg.Dealer.GiveBack(ctx, t.cfg.Member)
}
