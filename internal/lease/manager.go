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

// Defaults of ManagerConfig.
const (
	DefaultRenewEvery     = 2 * time.Second
	DefaultValidity       = 6 * time.Second
	DefaultDrift          = 500 * time.Millisecond
	DefaultRebalanceAfter = 10 * time.Second
)

const (
	// pollInterval is the longest time between two checks of the leases. A
	// change of a lease triggers a check at once.
	pollInterval = 250 * time.Millisecond
	// rankDelay is the delay that each rank in the order of a scope adds before
	// a daemon claims the scope. The total is at most maxRankDelay.
	rankDelay    = 300 * time.Millisecond
	maxRankDelay = 1200 * time.Millisecond
	// proposalRetryDelay is the delay before another renewal or claim follows
	// one that was not appended to the log.
	proposalRetryDelay = 500 * time.Millisecond
	// maxRenewalsInFlight limits concurrent renewals. It is above one so that
	// a slow log still receives a renewal every RenewEvery.
	maxRenewalsInFlight = 4
)

// TakeoverBound is the longest time between the last renewal of a holder and
// the takeover by another daemon. It applies to the default settings, while the
// log responds within a second.
const TakeoverBound = 10 * time.Second

// ManagerConfig configures a lease manager.
type ManagerConfig struct {
	Self     fleet.DaemonID // must be unique among live processes
	Proposer journal.Proposer
	Fold     *Fold
	Scopes   []Scope
	// Alive lists the live daemons, including this one. It affects only how
	// scopes are distributed, not whether a scope has at most one holder.
	Alive   func() []fleet.DaemonID
	Events  *event.Logger
	Metrics metrics.Registry // may be nil
	// RenewEvery is the interval between renewals. Zero means DefaultRenewEvery.
	RenewEvery time.Duration
	// Validity is how long a hold is valid, counted from when its renewal was
	// sent. Zero means DefaultValidity.
	Validity time.Duration
	// Drift is added to Validity by an observer, which counts from when it read
	// the renewal. It covers clocks that run at different rates. Zero means
	// DefaultDrift.
	Drift time.Duration
	// RebalanceAfter is how long another daemon must be first in the order of
	// a scope before the holder releases the scope to it. Zero means
	// DefaultRebalanceAfter.
	RebalanceAfter time.Duration
}

// Manager claims, renews and releases scopes for one daemon. It is safe for
// concurrent use.
type Manager struct {
	cfg       ManagerConfig
	heldGauge metrics.Gauge
	wg        sync.WaitGroup // in-flight proposals

	mu               sync.Mutex
	scopes           map[Scope]*scopeState
	claimInFlight    bool
	nextClaimAt      time.Time
	renewalsInFlight int
	nextRenewalAt    time.Time
	stopped          bool // set by ReleaseAll
}

// scopeState is the manager's state of one scope.
type scopeState struct {
	seen   Lease          // as of the last check
	seenAt time.Time      // a time after seen was read, when it last changed
	sent   []sentProposal // renewals and claims of this daemon, oldest first
	// releasedTerm is the term that this daemon is releasing.
	releasedTerm Term
	// notFirstSince is when another daemon became the first in the order of the
	// scope. It is zero while this daemon is the first.
	notFirstSince time.Time
	wasHeld       bool
}

// sentProposal records when a claim (renewal zero) or a renewal was sent.
type sentProposal struct {
	term    Term
	renewal uint64
	at      time.Time
}

var _ Holder = (*Manager)(nil)

// NewManager returns a lease manager that is idle until Run is called.
func NewManager(cfg ManagerConfig) *Manager {
	setDefault(&cfg.RenewEvery, DefaultRenewEvery)
	setDefault(&cfg.Validity, DefaultValidity)
	setDefault(&cfg.Drift, DefaultDrift)
	setDefault(&cfg.RebalanceAfter, DefaultRebalanceAfter)
	reg := cfg.Metrics
	if reg == nil {
		reg = metrics.NewRegistry()
	}
	m := &Manager{
		cfg:       cfg,
		heldGauge: metrics.GetOrRegisterGauge("lease.held", reg),
		scopes:    map[Scope]*scopeState{},
	}
	for _, s := range cfg.Scopes {
		m.scopes[s] = &scopeState{}
	}
	return m
}

func setDefault(d *time.Duration, value time.Duration) {
	if *d == 0 {
		*d = value
	}
}

// Run claims and renews scopes until ctx ends. It releases none; see
// ReleaseAll.
func (m *Manager) Run(ctx context.Context) {
	defer m.wg.Wait()
	tick := time.NewTicker(pollInterval)
	defer tick.Stop()
	for ctx.Err() == nil {
		changed := m.cfg.Fold.Changed()
		m.step(ctx, time.Now())
		select {
		case <-changed:
		case <-tick.C:
		case <-ctx.Done():
		}
	}
}

// step checks the leases once and sends the records that are due.
func (m *Manager) step(ctx context.Context, now time.Time) {
	alive := m.cfg.Alive()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.observe(now, alive)
	if m.stopped {
		return
	}
	m.sendRenewals(ctx, now)
	m.sendClaims(ctx, now, alive)
	m.sendRebalance(ctx, now)
}

// Held implements Holder. The validity of the hold counts from when this daemon
// sent the last of its renewals that the log contains.
func (m *Manager) Held(scope Scope) (Hold, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.hold(scope, time.Now())
}

func (m *Manager) hold(scope Scope, now time.Time) (Hold, bool) {
	st := m.scopes[scope]
	if st == nil || m.stopped {
		return Hold{}, false
	}
	l, ok := m.cfg.Fold.Current(scope)
	if !ok || !l.heldBy(m.cfg.Self, l.Term) || st.releasedTerm == l.Term {
		return Hold{}, false
	}
	at, ok := st.sentAt(l)
	if !ok {
		return Hold{}, false
	}
	h := Hold{Scope: scope, Term: l.Term, ValidUntil: at.Add(m.cfg.Validity)}
	return h, h.Valid(now)
}

// sentAt returns when this daemon sent the claim or renewal that l reflects.
func (s *scopeState) sentAt(l Lease) (time.Time, bool) {
	for _, x := range s.sent {
		if x.term == l.Term && x.renewal == l.Renewals {
			return x.at, true
		}
	}
	return time.Time{}, false
}

// recordSent adds a proposal and drops those older than validity.
func (s *scopeState) recordSent(x sentProposal, validity time.Duration) {
	keep := s.sent[:0]
	for _, old := range s.sent {
		if x.at.Sub(old.at) < validity {
			keep = append(keep, old)
		}
	}
	s.sent = append(keep, x)
}

// ReleaseAll permanently releases every scope. It waits until the record is in
// the log or ctx ends. No scope is held from the moment it is called.
func (m *Manager) ReleaseAll(ctx context.Context) {
	m.mu.Lock()
	m.stopped = true
	body := Release{Items: m.ownItems()}
	m.mu.Unlock()
	if len(body.Items) == 0 {
		return
	}
	res := m.cfg.Proposer.Propose(ctx, KindRelease, body)
	m.cfg.Events.Emit(eventReleased, "scopes", len(body.Items), "accepted", res.Outcome == journal.OutcomeAccepted)
}

// ownItems lists the scopes whose lease this daemon holds according to the log.
func (m *Manager) ownItems() []ReleaseItem {
	var items []ReleaseItem
	for _, scope := range m.cfg.Scopes {
		l, _ := m.cfg.Fold.Current(scope)
		if l.heldBy(m.cfg.Self, l.Term) {
			items = append(items, ReleaseItem{Scope: scope, Term: l.Term})
		}
	}
	return items
}
