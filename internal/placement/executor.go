package placement

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"

	"carawayproxy.example/caraway/internal/backend"
	"carawayproxy.example/caraway/internal/event"
	"carawayproxy.example/caraway/internal/fleet"
	"carawayproxy.example/caraway/internal/group"
	"carawayproxy.example/caraway/internal/journal"
	"carawayproxy.example/caraway/internal/lease"
)

// ExecutorConfig is what an Executor works with.
type ExecutorConfig struct {
	Self fleet.DaemonID
	// Planner gives the policy; each scope plans with a fork of it.
	Planner  *Planner
	Proposer journal.Proposer // of the control stream
	Book     *group.Book
	Leases   lease.Holder
	// Scopes lists the scopes that this daemon may come to hold.
	Scopes func() []lease.Scope
	// ScopeOf tells which scope a service belongs to.
	ScopeOf func(fleet.ServiceName) lease.Scope
	// Terms and Outage let the last holder keep ordering members into
	// recorded groups while the log is down and its hold has lapsed. Terms
	// tells the current holder of a scope; Outage reports whether peers answer
	// and neither they nor this daemon have the log. It must be false on a
	// daemon that has lost its peers too: others may have taken over. Without
	// both a lapsed holder orders nothing.
	Terms  lease.Terms
	Outage func() bool
	// Alive lists the daemons that this one hears, those on their way out and
	// itself included. With it, the first of them in the order of a scope
	// gives members that return without a place their recorded one, while the
	// log is down and the scope's last holder is not heard. Nil for never.
	Alive func() []fleet.DaemonID
	// Snapshot gives what a scope's plan rests on. Scope, Term and Groups
	// are filled in by the executor.
	Snapshot func(scope lease.Scope) Snapshot
	Engines  backend.Engines
	Events   *event.Logger
	Metrics  metrics.Registry // a new one when nil
	// Every is the time between rounds, 500 ms when zero.
	Every time.Duration
	// OrderTimeout bounds an order and its validity, 2 s when zero.
	OrderTimeout time.Duration
	// ProposeTimeout bounds a proposal, 5 s when zero.
	ProposeTimeout time.Duration
	// MaxOrders bounds the orders under way at once, 256 when zero.
	MaxOrders int
}

// Executor carries out the plans of the scopes that a daemon holds.
type Executor struct {
	cfg       ExecutorConfig
	scopes    map[lease.Scope]*scopeRun    // of the loop alone
	fallbacks map[lease.Scope]*fallbackRun // of the loop alone
	orders    *orderTracker
	running   sync.WaitGroup
}

// scopeRun is the work on one scope under one term.
type scopeRun struct {
	scope   lease.Scope
	term    lease.Term
	since   time.Time // when this daemon first saw its hold
	planner *Planner
	// promoted has the compositions that were ordered without a record.
	promoted map[fleet.GroupID]promotion
	// proposing is set while the actions of a plan are being proposed.
	proposing  atomic.Bool
	measuredAt time.Time
	lastLogged map[fleet.GroupID]string // last decision logged
	whole      map[fleet.GroupID]bool
	// outage is set while the hold has lapsed and the log is down.
	outage bool
}

type promotion struct {
	epoch   fleet.Epoch
	members []group.Member
}

// NewExecutor returns an executor; it does nothing until Run.
func NewExecutor(cfg ExecutorConfig) *Executor {
	orElse(&cfg.Every, 500*time.Millisecond)
	orElse(&cfg.OrderTimeout, 2*time.Second)
	orElse(&cfg.ProposeTimeout, 5*time.Second)
	orElse(&cfg.MaxOrders, 256)
	if cfg.Metrics == nil {
		cfg.Metrics = metrics.NewRegistry()
	}
	return &Executor{cfg: cfg, scopes: map[lease.Scope]*scopeRun{}, fallbacks: map[lease.Scope]*fallbackRun{}, orders: newOrderTracker()}
}

// Run works until ctx ends and returns once its orders and proposals have.
func (e *Executor) Run(ctx context.Context) {
	defer e.running.Wait()
	tick := time.NewTicker(e.cfg.Every)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			e.round(ctx)
		}
	}
}

// round plans and orders once for each scope.
func (e *Executor) round(ctx context.Context) {
	for _, scope := range e.cfg.Scopes() {
		run := e.enterScope(scope)
		if run == nil {
			e.runFallback(ctx, scope, time.Now())
			continue
		}
		delete(e.fallbacks, scope)
		snap := e.snapshot(scope)
		snap.Term = run.term
		snap.LogDown = snap.LogDown || run.outage
		now := time.Now()
		e.recordMetrics(run, snap, now)
		if !run.proposing.Load() {
			e.execute(ctx, run, run.planner.Plan(snap, now))
		}
		e.sendOrders(ctx, run, snap, now)
	}
}

// snapshot completes the snapshot that the configuration gives.
func (e *Executor) snapshot(scope lease.Scope) Snapshot {
	s := e.cfg.Snapshot(scope)
	s.Scope = scope
	s.Groups = e.cfg.Book.View()
	var wanted []Wanted
	for _, w := range s.Wanted {
		if e.cfg.ScopeOf(w.Service) == scope {
			wanted = append(wanted, w)
		}
	}
	s.Wanted = wanted
	return s
}

// enter returns the work on a scope if this daemon may do it now, nil if not.
func (e *Executor) enterScope(scope lease.Scope) *scopeRun {
	run := e.scopes[scope]
	hold, ok := e.cfg.Leases.Held(scope)
	if ok && hold.Valid(time.Now()) {
		if run == nil || run.term != hold.Term {
			run = e.newRun(scope, hold.Term)
		}
		run.outage = false
		return run
	}
	if term, last := e.wasLastHolder(scope); last {
		if run == nil || run.term != term {
			run = e.newRun(scope, term)
		}
		run.outage = true
		return run
	}
	if run != nil {
		e.cfg.Events.Emit(eventScopeLeft, "scope", scope, "term", run.term)
		delete(e.scopes, scope)
	}
	return nil
}

func (e *Executor) newRun(scope lease.Scope, term lease.Term) *scopeRun {
	run := &scopeRun{
		scope:      scope,
		term:       term,
		since:      time.Now(),
		planner:    e.cfg.Planner.Fork(),
		promoted:   map[fleet.GroupID]promotion{},
		lastLogged: map[fleet.GroupID]string{},
		whole:      map[fleet.GroupID]bool{},
	}
	e.scopes[scope] = run
	e.cfg.Events.Emit(eventScopeTaken, "scope", scope, "term", term)
	return run
}

// lastHolder reports whether the log is down and this daemon was the last to
// hold the scope, as far as anyone it hears knows, and under which term. Its
// orders stay within the records of the log, so that they need no agreement.
func (e *Executor) wasLastHolder(scope lease.Scope) (lease.Term, bool) {
	if e.cfg.Terms == nil || e.cfg.Outage == nil || !e.cfg.Outage() {
		return 0, false
	}
	l, ok := e.cfg.Terms.Current(scope)
	return l.Term, ok && !l.Released && l.Holder == e.cfg.Self
}
