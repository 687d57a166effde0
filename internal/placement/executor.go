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

// ExecutorConfig configures an Executor.
type ExecutorConfig struct {
	Self fleet.DaemonID
	// Planner provides the policy. Each scope plans with a fork of it.
	Planner  *Planner
	Proposer journal.Proposer // of the control stream
	Fold     *group.Fold
	Leases   lease.Holder
	// Scopes lists the scopes whose lease this daemon may hold.
	Scopes func() []lease.Scope
	// ScopeOf returns the scope that a service belongs to.
	ScopeOf func(fleet.ServiceName) lease.Scope
	// Terms and Outage let the last holder keep ordering members into recorded
	// groups after its lease has expired while the log is down. Terms returns
	// the current lease of a scope. Outage reports whether peers answer and
	// neither they nor this daemon can reach the log. It must return false on a
	// daemon that can't reach its peers either, because another daemon may have
	// taken over. If either is nil, a holder sends no orders after its lease
	// has expired.
	Terms  lease.Terms
	Outage func() bool
	// Alive lists the daemons from which this one receives heartbeats, including
	// itself and daemons that are shutting down. While the log is down and the
	// scope's last holder is not alive, the first of them in the scope's order
	// orders members that return without a place back into their recorded one. If
	// nil, this never happens.
	Alive func() []fleet.DaemonID
	// Snapshot returns the planner's input for a scope. The executor fills in
	// Scope, Term and Groups.
	Snapshot func(scope lease.Scope) Snapshot
	Engines  backend.Engines
	Events   *event.Logger
	Metrics  metrics.Registry // a new one when nil
	// Every is the time between rounds, 500 ms by default.
	Every time.Duration
	// OrderTimeout limits an order and its validity, 2 s by default.
	OrderTimeout time.Duration
	// ProposeTimeout limits a proposal, 5 s by default.
	ProposeTimeout time.Duration
	// MaxOrders limits the orders in flight, 256 by default.
	MaxOrders int
}

// Executor carries out the plans of the scopes whose leases this daemon holds.
type Executor struct {
	cfg       ExecutorConfig
	scopes    map[lease.Scope]*scopeRun    // used only by the loop
	fallbacks map[lease.Scope]*fallbackRun // used only by the loop
	orders    *orderTracker
	running   sync.WaitGroup
}

// scopeRun is the state of one scope under one term.
type scopeRun struct {
	scope   lease.Scope
	term    lease.Term
	since   time.Time // when this daemon first observed its lease
	planner *Planner
	// promoted holds the compositions that were ordered without a log record.
	promoted map[fleet.GroupID]promotion
	// proposing is set while the records of a plan are being proposed.
	proposing  atomic.Bool
	measuredAt time.Time
	lastLogged map[fleet.GroupID]string // last decision logged
	whole      map[fleet.GroupID]bool
	// outage is set while the lease has expired and the log is down.
	outage bool
}

type promotion struct {
	epoch   fleet.Epoch
	members []group.Member
}

// NewExecutor returns an executor. It does nothing until Run is called.
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

// Run runs the control loop until ctx is done, then waits for orders and proposals
// in flight.
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

// round plans and sends orders once for each scope.
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

// snapshot returns the configured snapshot with Scope, Groups and the scope's
// wanted groups set.
func (e *Executor) snapshot(scope lease.Scope) Snapshot {
	s := e.cfg.Snapshot(scope)
	s.Scope = scope
	s.Groups = e.cfg.Fold.View()
	var wanted []Wanted
	for _, w := range s.Wanted {
		if e.cfg.ScopeOf(w.Service) == scope {
			wanted = append(wanted, w)
		}
	}
	s.Wanted = wanted
	return s
}

// enterScope returns the state of a scope that this daemon may control now, nil if
// it may not.
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

// wasLastHolder reports whether the log is down and this daemon was the last
// holder of the scope as far as it knows, and under which term. The last holder
// orders only what the log records, so that it needs no agreement.
func (e *Executor) wasLastHolder(scope lease.Scope) (lease.Term, bool) {
	if e.cfg.Terms == nil || e.cfg.Outage == nil || !e.cfg.Outage() {
		return 0, false
	}
	l, ok := e.cfg.Terms.Current(scope)
	return l.Term, ok && !l.Released && l.Holder == e.cfg.Self
}
