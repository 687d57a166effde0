package placement

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"

	"carawayproxy.example/caraway/internal/backend"
	"carawayproxy.example/caraway/internal/event"
	"carawayproxy.example/caraway/internal/fleet"
	"carawayproxy.example/caraway/internal/group"
	"carawayproxy.example/caraway/internal/lease"
)

// orderTracker tracks the orders in flight and the last accepted order of each
// instance.
type orderTracker struct {
	mu       sync.Mutex
	inFlight map[fleet.InstanceID]bool
	accepted map[fleet.InstanceID]acceptedOrder
}

type acceptedOrder struct {
	assign *fleet.Assignment // nil for a release
	at     time.Time
}

func newOrderTracker() *orderTracker {
	return &orderTracker{inFlight: map[fleet.InstanceID]bool{}, accepted: map[fleet.InstanceID]acceptedOrder{}}
}

// begin reports whether an order may be sent and marks it as in flight: no
// order to the instance is in flight, fewer than limit orders are in flight in
// total, and the same order was not accepted within reportDelay, after which
// the instance's report should show it.
func (t *orderTracker) begin(o order, limit int, reportDelay time.Duration, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.inFlight[o.instance] || len(t.inFlight) >= limit {
		return false
	}
	last, ok := t.accepted[o.instance]
	if ok && sameAssignment(last.assign, o.assign) && !o.reportedAt.After(last.at) && now.Sub(last.at) < reportDelay {
		return false
	}
	t.inFlight[o.instance] = true
	return true
}

// end records that an order was answered or failed.
func (t *orderTracker) end(o order, accepted bool, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.inFlight, o.instance)
	delete(t.accepted, o.instance)
	if accepted {
		t.accepted[o.instance] = acceptedOrder{assign: o.assign, at: now}
	}
}

// order is one order to an instance.
type order struct {
	instance   fleet.InstanceID
	address    string
	assign     *fleet.Assignment // nil for a release
	reportedAt time.Time
}

// authority is the basis for sending orders for a scope.
type authority struct {
	scope lease.Scope
	term  lease.Term
	// permit reports whether an order may be sent at a moment, and how long it is
	// valid. It is called immediately before the order is sent.
	permit func(now time.Time) (time.Duration, bool)
	// sawNewerTerm is set once an engine has reported a higher fencing token.
	sawNewerTerm *atomic.Bool
	// sendEvent is emitted for each order that is sent. It may be nil.
	sendEvent *event.Event
}

// sendOrders sends the pending orders of a scope.
func (e *Executor) sendOrders(ctx context.Context, run *scopeRun, s Snapshot, now time.Time) {
	auth := authority{scope: run.scope, term: run.term, permit: run.orderPermit(e), sawNewerTerm: new(atomic.Bool)}
	e.sendAll(ctx, auth, e.pendingOrders(run, s, now), now)
}

// sendAll sends orders concurrently.
func (e *Executor) sendAll(ctx context.Context, auth authority, orders []order, now time.Time) {
	for _, o := range orders {
		if !e.orders.begin(o, e.cfg.MaxOrders, 2*e.cfg.OrderTimeout, now) {
			continue
		}
		e.running.Go(func() {
			accepted := e.send(ctx, auth, o)
			e.orders.end(o, accepted, time.Now())
		})
	}
}

// pendingOrders lists the orders to instances whose reports differ from the
// recorded groups. An engine that ignores fencing tokens could still accept an
// order of the previous holder, so it gets none until those have expired.
func (e *Executor) pendingOrders(run *scopeRun, s Snapshot, now time.Time) []order {
	var due []order
	admitted := AdmitOrders(s, run.planner.policy.MaxLoads)
	oldOrdersExpired := now.Sub(run.since) >= e.cfg.OrderTimeout+e.cfg.Every
	for id, st := range s.Instances {
		if !st.Alive || st.Instance.Kind != fleet.KindEngine {
			continue
		}
		if !st.Instance.ChecksFencing && !oldOrdersExpired {
			continue
		}
		assign, responsible := e.wantedAssignment(run, s, id, st)
		if assign != nil && !admitted[assign.Group] {
			continue
		}
		if responsible && !sameAssignment(assign, st.Report.Assignment) {
			due = append(due, order{instance: id, address: st.Instance.Address, assign: assign, reportedAt: st.Report.ReceivedAt})
		}
	}
	return due
}

// wantedAssignment returns the assignment that an instance should have, nil for
// none, and whether this scope is responsible for it.
func (e *Executor) wantedAssignment(run *scopeRun, s Snapshot, id fleet.InstanceID, st InstanceState) (*fleet.Assignment, bool) {
	g := s.Groups.Groups[s.Groups.ByInstance[id]]
	reported := st.Report.Assignment
	if g == nil {
		unrecorded := reported != nil && e.cfg.ScopeOf(reported.Service) == run.scope
		return nil, unrecorded && !run.outage
	}
	if g.Scope != run.scope || isSuperseded(g, reported) {
		return nil, false
	}
	c := e.targetComposition(run, g, s)
	rank := slices.IndexFunc(c, func(m group.Member) bool { return m.Instance == id })
	if rank < 0 {
		return nil, !run.outage
	}
	a := group.AssignmentOf(g, c, fleet.Rank(rank))
	return &a, true
}

// isSuperseded reports whether an instance's report shows that its group has a
// newer record than the one that this daemon knows.
func isSuperseded(g *group.Group, reported *fleet.Assignment) bool {
	return reported != nil && reported.Group == g.ID && reported.Epoch > g.Epoch
}

// targetComposition returns the composition that a group's engines should have.
func (e *Executor) targetComposition(run *scopeRun, g *group.Group, s Snapshot) []group.Member {
	if p, ok := run.promoted[g.ID]; ok {
		if p.epoch == g.Epoch {
			return p.members
		}
		delete(run.promoted, g.ID)
	}
	return group.ReportedComposition(g, aliveReports(s.Instances))
}

func sameAssignment(a, b *fleet.Assignment) bool {
	if a == nil || b == nil {
		return a == b
	}
	return a.Group == b.Group && a.Epoch == b.Epoch && a.Rank == b.Rank &&
		a.Service == b.Service && a.Model == b.Model && a.Version == b.Version && a.Role == b.Role &&
		sameAdapters(a.Adapters, b.Adapters) && slices.Equal(a.Members, b.Members)
}

// orderPermit returns the permit function for a held lease, or in a log outage for
// the last holder.
func (run *scopeRun) orderPermit(e *Executor) func(now time.Time) (time.Duration, bool) {
	if run.outage {
		return func(time.Time) (time.Duration, bool) {
			term, last := e.wasLastHolder(run.scope)
			return e.cfg.OrderTimeout, last && term == run.term
		}
	}
	return func(now time.Time) (time.Duration, bool) {
		hold, ok := e.cfg.Leases.Held(run.scope)
		if !ok || hold.Term != run.term || !hold.Valid(now) {
			return 0, false
		}
		return min(e.cfg.OrderTimeout, hold.ValidUntil.Sub(now)), true
	}
}

// send sends one order and reports whether it was accepted.
func (e *Executor) send(ctx context.Context, auth authority, o order) bool {
	ctx, cancel := context.WithTimeout(ctx, e.cfg.OrderTimeout)
	defer cancel()
	id := uuid.NewString()
	validFor, ok := auth.permit(time.Now())
	if !ok {
		e.cfg.Events.Emit(eventOrderDropped, "instance", o.instance, "scope", auth.scope, "term", auth.term)
		return false
	}
	if auth.sendEvent != nil {
		e.cfg.Events.Emit(auth.sendEvent, "instance", o.instance, "group", o.assign.Group, "epoch", o.assign.Epoch, "rank", o.assign.Rank, "scope", auth.scope, "term", auth.term)
	}
	res, err := e.cfg.Engines.Apply(ctx, o.address, backend.Order{
		ID:           id,
		Scope:        string(auth.scope),
		FencingToken: uint64(auth.term),
		Assign:       o.assign,
		ValidFor:     validFor,
	})
	if err == nil && res.HighestToken > uint64(auth.term) {
		auth.sawNewerTerm.Store(true)
	}
	switch {
	case err != nil:
		e.cfg.Events.Emit(eventOrderFailed, "instance", o.instance, "order", id, "error", err)
	case !res.Accepted:
		e.cfg.Events.Emit(eventOrderRefused, "instance", o.instance, "order", id, "reason", res.Reason, "highest_token", res.HighestToken)
	}
	return err == nil && res.Accepted
}
