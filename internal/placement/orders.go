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

// orderBook remembers the orders under way and the last one answered.
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

// begin reports whether an order may be sent: none is under way to the
// instance, there are fewer than most, and the same order was not accepted so
// lately that the instance's report can't show it yet.
func (b *orderTracker) begin(o order, most int, patience time.Duration, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.inFlight[o.instance] || len(b.inFlight) >= most {
		return false
	}
	last, ok := b.accepted[o.instance]
	if ok && sameAssignment(last.assign, o.assign) && !o.reportedAt.After(last.at) && now.Sub(last.at) < patience {
		return false
	}
	b.inFlight[o.instance] = true
	return true
}

// end notes that an order was answered or given up.
func (b *orderTracker) end(o order, accepted bool, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.inFlight, o.instance)
	delete(b.accepted, o.instance)
	if accepted {
		b.accepted[o.instance] = acceptedOrder{assign: o.assign, at: now}
	}
}

// order is one order that is due.
type order struct {
	instance   fleet.InstanceID
	address    string
	assign     *fleet.Assignment // nil for a release
	reportedAt time.Time
}

// right is what orders about a scope rest on.
type authority struct {
	scope lease.Scope
	term  lease.Term
	// permit tells whether an order may be written at a moment, and for how
	// long it is valid. It is called immediately before the order is written.
	permit func(now time.Time) (time.Duration, bool)
	// newer is set once an engine has shown a higher fencing token.
	sawNewerTerm *atomic.Bool
	// decision is the event of each order, nil for none.
	sendEvent *event.Event
}

// order sends the orders that are due.
func (e *Executor) sendOrders(ctx context.Context, run *scopeRun, s Snapshot, now time.Time) {
	r := authority{scope: run.scope, term: run.term, permit: run.orderPermit(e), sawNewerTerm: new(atomic.Bool)}
	e.sendAll(ctx, r, e.pendingOrders(run, s, now), now)
}

// sendAll sends orders in parallel.
func (e *Executor) sendAll(ctx context.Context, r authority, orders []order, now time.Time) {
	for _, o := range orders {
		if !e.orders.begin(o, e.cfg.MaxOrders, 2*e.cfg.OrderTimeout, now) {
			continue
		}
		e.running.Go(func() {
			accepted := e.send(ctx, r, o)
			e.orders.end(o, accepted, time.Now())
		})
	}
}

// due lists the orders to instances whose report differs from the records.
func (e *Executor) pendingOrders(run *scopeRun, s Snapshot, now time.Time) []order {
	var due []order
	admitted := AdmitOrders(s, run.planner.policy.MaxLoads)
	settled := now.Sub(run.since) >= e.cfg.OrderTimeout+e.cfg.Every
	for id, st := range s.Instances {
		if !st.Alive || st.Instance.Kind != fleet.KindEngine {
			continue
		}
		if !st.Instance.ChecksFencing && !settled {
			continue
		}
		assign, mine := e.wantedAssignment(run, s, id, st)
		if assign != nil && !admitted[assign.Group] {
			continue
		}
		if mine && !sameAssignment(assign, st.Report.Assignment) {
			due = append(due, order{instance: id, address: st.Instance.Address, assign: assign, reportedAt: st.Report.ReceivedAt})
		}
	}
	return due
}

// wantedAssignment returns what an instance is to report, nil for nothing, and
// whether this scope is to see to it.
func (e *Executor) wantedAssignment(run *scopeRun, s Snapshot, id fleet.InstanceID, st InstanceState) (*fleet.Assignment, bool) {
	g := s.Groups.Groups[s.Groups.ByInstance[id]]
	reported := st.Report.Assignment
	if g == nil {
		stray := reported != nil && e.cfg.ScopeOf(reported.Service) == run.scope
		return nil, stray && !run.outage
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

// superseded reports whether an instance shows that a newer record of its
// group exists than this daemon knows.
func isSuperseded(g *group.Group, reported *fleet.Assignment) bool {
	return reported != nil && reported.Group == g.ID && reported.Epoch > g.Epoch
}

// target is the composition that a group's engines are to be in.
func (e *Executor) targetComposition(run *scopeRun, g *group.Group, s Snapshot) []group.Member {
	if p, ok := run.promoted[g.ID]; ok {
		if p.epoch == g.Epoch {
			return p.members
		}
		delete(run.promoted, g.ID)
	}
	return group.Compose(g, aliveReports(s.Instances))
}

func sameAssignment(a, b *fleet.Assignment) bool {
	if a == nil || b == nil {
		return a == b
	}
	return a.Group == b.Group && a.Epoch == b.Epoch && a.Rank == b.Rank &&
		a.Service == b.Service && a.Model == b.Model && a.Version == b.Version && a.Role == b.Role &&
		sameAdapters(a.Adapters, b.Adapters) && slices.Equal(a.Members, b.Members)
}

// permit returns the check of a right that rests on a hold, or in an outage on
// the last one.
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

// send writes one order and reports whether it was accepted.
func (e *Executor) send(ctx context.Context, r authority, o order) bool {
	ctx, cancel := context.WithTimeout(ctx, e.cfg.OrderTimeout)
	defer cancel()
	id := uuid.NewString()
	validFor, ok := r.permit(time.Now())
	if !ok {
		e.cfg.Events.Emit(eventOrderDropped, "instance", o.instance, "scope", r.scope, "term", r.term)
		return false
	}
	if r.sendEvent != nil {
		e.cfg.Events.Emit(r.sendEvent, "instance", o.instance, "group", o.assign.Group, "epoch", o.assign.Epoch, "rank", o.assign.Rank, "scope", r.scope, "term", r.term)
	}
	res, err := e.cfg.Engines.Apply(ctx, o.address, backend.Order{
		ID:           id,
		Scope:        string(r.scope),
		FencingToken: uint64(r.term),
		Assign:       o.assign,
		ValidFor:     validFor,
	})
	if err == nil && res.HighestToken > uint64(r.term) {
		r.sawNewerTerm.Store(true)
	}
	switch {
	case err != nil:
		e.cfg.Events.Emit(eventOrderFailed, "instance", o.instance, "order", id, "error", err)
	case !res.Accepted:
		e.cfg.Events.Emit(eventOrderRefused, "instance", o.instance, "order", id, "reason", res.Reason, "highest_token", res.HighestToken)
	}
	return err == nil && res.Accepted
}
