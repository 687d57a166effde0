package placement_test

import (
	"context"
	"fmt"
	"reflect"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"

	"carawayproxy.example/caraway/internal/backend"
	"carawayproxy.example/caraway/internal/event"
	"carawayproxy.example/caraway/internal/fleet"
	"carawayproxy.example/caraway/internal/group"
	"carawayproxy.example/caraway/internal/journal"
	"carawayproxy.example/caraway/internal/lease"
	"carawayproxy.example/caraway/internal/placement"
	"carawayproxy.example/caraway/standin/platform"
)

const (
	rigScope lease.Scope = "placement/00"
	rigLoad              = 10 * time.Second
)

var errGone = errors.New("gone")

// rigEngine is an engine that takes orders in virtual time.
type rigEngine struct {
	instance fleet.Instance
	mu       sync.Mutex
	down     bool
	report   fleet.Report
	loaded   fleet.Version // kept through a new assignment
	highest  uint64
	orders   []rigOrder // accepted
	refused  int
}

type rigOrder struct {
	token uint64
	at    time.Time
}

func (e *rigEngine) apply(o backend.Order) (backend.OrderResult, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.down {
		return backend.OrderResult{}, errGone
	}
	if e.instance.ChecksFencing && o.FencingToken < e.highest {
		e.refused++
		return backend.OrderResult{Reason: "old fencing token", HighestToken: e.highest}, nil
	}
	e.highest = max(e.highest, o.FencingToken)
	e.orders = append(e.orders, rigOrder{o.FencingToken, time.Now()})
	e.report.Assignment, e.report.Ready = o.Assign, false
	switch {
	case o.Assign == nil:
		e.loaded = ""
	case o.Assign.Version == e.loaded:
		e.report.Ready = true
	default:
		time.AfterFunc(rigLoad, func() { e.finish(o.Assign) })
	}
	return backend.OrderResult{Accepted: true, HighestToken: e.highest}, nil
}

func (e *rigEngine) finish(a *fleet.Assignment) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.report.Assignment == a && !e.down {
		e.report.Ready, e.loaded = true, a.Version
	}
}

// kill stops the engine; resume lets it go on as it was, restart starts it
// again without an assignment.
func (e *rigEngine) kill() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.down = true
}

func (e *rigEngine) resume() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.down = false
}

func (e *rigEngine) restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.down = false
	e.report.Assignment, e.report.Ready = nil, false
	e.report.Incarnation++
	e.loaded = ""
}

func (e *rigEngine) state() (fleet.Report, bool) {
	s := e.freeze()
	return s.report, s.up
}

// engineState is an engine at one moment.
type engineState struct {
	report fleet.Report
	up     bool
	loaded fleet.Version
}

func (e *rigEngine) freeze() engineState {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := engineState{report: e.report, up: !e.down, loaded: e.loaded}
	s.report.ReceivedAt = time.Now()
	return s
}

// frozen gives the reports of all engines at one moment.
type frozen map[fleet.InstanceID]engineState

func (f frozen) Report(id fleet.InstanceID) (fleet.Report, bool) { return f[id].report, f[id].up }

func (r *rig) freeze() frozen {
	f := frozen{}
	for _, e := range r.engines {
		f[e.instance.ID] = e.freeze()
	}
	return f
}

// lateOrders counts the accepted orders under a token after a moment.
func (e *rigEngine) lateOrders(token uint64, after time.Time) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	n := 0
	for _, o := range e.orders {
		if o.token == token && o.at.After(after) {
			n++
		}
	}
	return n
}

// rig is a fleet with daemons that run the real fold, leases and executor.
type rig struct {
	t        *testing.T
	log      *platform.Log
	engines  []*rigEngine
	mu       sync.Mutex // of groups once daemons run
	groups   int
	size     int
	spares   int
	inFlight uint32 // on each group
	running  sync.WaitGroup
}

func newRig(t *testing.T, engines int, checksFencing bool) *rig {
	r := &rig{t: t, log: platform.NewLog(platform.LogConfig{}), groups: 1, size: 3}
	for i := range engines {
		r.engines = append(r.engines, &rigEngine{instance: fleet.Instance{
			ID: fleet.InstanceID(fmt.Sprintf("e%d", i)), Address: fmt.Sprintf("10.0.0.%d:7000", i), Zone: "a", Fabric: "f1",
			Pool: "p", Kind: fleet.KindEngine, Accelerators: 8, ChecksFencing: checksFencing,
		}})
	}
	return r
}

// gatedLog is one daemon's way to the log.
type gatedLog struct {
	journal.Log
	running *sync.WaitGroup
	mu      sync.Mutex
	cut     bool
	late    time.Duration // appends get no answer and take effect so much later
	landed  int           // late appends that took effect
}

func (l *gatedLog) setLate(late time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.late = late
}

// appendLate leaves an append on its way after its caller has given up.
func (l *gatedLog) appendLate(ctx context.Context, s journal.Stream, p [][]byte, late time.Duration) error {
	l.running.Go(func() {
		time.Sleep(late)
		_, err := l.Log.Append(context.WithoutCancel(ctx), s, p)
		l.mu.Lock()
		defer l.mu.Unlock()
		if err == nil {
			l.landed++
		}
	})
	<-ctx.Done()
	return ctx.Err()
}

func (l *gatedLog) lateness() (late time.Duration, landed int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.late, l.landed
}

func (l *gatedLog) setCut(cut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut = cut
}

func (l *gatedLog) isCut() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.cut
}

func (l *gatedLog) Append(ctx context.Context, s journal.Stream, p [][]byte) (journal.Offset, error) {
	if l.isCut() {
		return 0, errors.Wrap(journal.ErrNotAppended, "cut")
	}
	if late, _ := l.lateness(); late > 0 {
		return 0, l.appendLate(ctx, s, p, late)
	}
	return l.Log.Append(ctx, s, p)
}

func (l *gatedLog) Read(ctx context.Context, s journal.Stream, from journal.Offset, limit int, wait time.Duration) (journal.Page, error) {
	if l.isCut() {
		return journal.Page{}, errors.New("cut")
	}
	return l.Log.Read(ctx, s, from, limit, wait)
}

// rigDaemon is one daemon's packages. It implements backend.Engines for the
// executor.
type rigDaemon struct {
	backend.Engines
	rig     *rig
	id      fleet.DaemonID
	log     *gatedLog
	replica *journal.Replica
	leases  *lease.Book
	keeper  *lease.Keeper
	book    *group.Book
	metrics metrics.Registry
	stop    context.CancelFunc
	sink    event.Sink    // may be nil
	hold    chan struct{} // while open, orders are held back after the check
	delay   atomic.Int64  // of orders on their way, at most, in nanoseconds
}

func (d *rigDaemon) Apply(ctx context.Context, address string, o backend.Order) (backend.OrderResult, error) {
	if d.hold != nil {
		<-d.hold
	}
	i := slices.IndexFunc(d.rig.engines, func(e *rigEngine) bool { return e.instance.Address == address })
	if i < 0 {
		return backend.OrderResult{}, errGone
	}
	e := d.rig.engines[i]
	late := time.Duration(d.delay.Load()) * time.Duration(i) / time.Duration(len(d.rig.engines))
	if late == 0 {
		return e.apply(o)
	}
	d.rig.running.Go(func() {
		time.Sleep(late)
		_, _ = e.apply(o)
	})
	<-ctx.Done()
	return backend.OrderResult{}, ctx.Err()
}

// add starts a daemon after the setup functions have changed it.
func (r *rig) add(id fleet.DaemonID, setup ...func(*rigDaemon)) *rigDaemon {
	d := &rigDaemon{rig: r, id: id, log: &gatedLog{Log: r.log, running: &r.running}, leases: lease.NewBook(), metrics: metrics.NewRegistry()}
	for _, s := range setup {
		s(d)
	}
	d.book = group.NewBook(d.leases)
	d.replica = journal.NewReplica(journal.Config{Stream: journal.StreamControl, Self: id, Log: d.log, Fold: journal.NewMux(d.leases, d.book)})
	d.keeper = lease.NewKeeper(lease.KeeperConfig{
		Self: id, Proposer: d.replica, Book: d.leases, Scopes: []lease.Scope{rigScope},
		Alive: func() []fleet.DaemonID { return []fleet.DaemonID{id} }, RebalanceAfter: 24 * time.Hour,
	})
	exec := placement.NewExecutor(placement.ExecutorConfig{
		Self: id, Planner: placement.NewPlanner(placement.Policy{}), Proposer: d.replica, Book: d.book, Leases: d.keeper, Terms: d.leases,
		Scopes:   func() []lease.Scope { return []lease.Scope{rigScope} },
		ScopeOf:  func(fleet.ServiceName) lease.Scope { return rigScope },
		Outage:   func() bool { return d.lostLog() && !d.log.isCut() },
		Snapshot: d.snapshot, Engines: d, Metrics: d.metrics,
		Events: event.NewLogger(r.t.Output(), 0, d.sink),
	})
	ctx, stop := context.WithCancel(r.t.Context())
	d.stop = stop
	r.running.Go(func() { d.replica.Run(ctx) })
	r.running.Go(func() { d.keeper.Run(ctx) })
	r.running.Go(func() { exec.Run(ctx) })
	return d
}

func (r *rig) wanted() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.groups
}

func (r *rig) want(groups int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.groups = groups
}

func (d *rigDaemon) lostLog() bool { return time.Since(d.replica.Status().LogAt) > 5*time.Second }

func (d *rigDaemon) snapshot(lease.Scope) placement.Snapshot {
	s := placement.Snapshot{
		Revision:  1,
		Instances: map[fleet.InstanceID]placement.InstanceState{},
		LogDown:   d.lostLog(),
		InFlight:  map[fleet.GroupID]uint32{},
		Wanted: []placement.Wanted{{
			Service: "drafting", Revision: 1, Pool: "p", Model: "m", Version: "v1", Role: "serve",
			Groups: d.rig.wanted(), Size: d.rig.size, Spares: d.rig.spares, LoadTime: rigLoad,
		}},
	}
	for _, e := range d.rig.engines {
		rep, alive := e.state()
		s.Instances[e.instance.ID] = placement.InstanceState{Instance: e.instance, Report: rep, Listed: true, Alive: alive}
	}
	for id := range d.book.View().Groups {
		s.InFlight[id] = d.rig.inFlight
	}
	return s
}

// truth gives the engines' own reports.
type truth []*rigEngine

func (t truth) Report(id fleet.InstanceID) (fleet.Report, bool) {
	for _, e := range t {
		if e.instance.ID == id {
			return e.state()
		}
	}
	return fleet.Report{}, false
}

// whole counts the groups of a daemon's view that the gate lets serve.
func (d *rigDaemon) whole() int {
	n := 0
	for _, g := range d.book.View().Groups {
		if group.Whole(g, truth(d.rig.engines), time.Now(), 0).Whole {
			n++
		}
	}
	return n
}

// await waits until ok holds and returns how long that took.
func (r *rig) await(what string, bound time.Duration, ok func() bool) time.Duration {
	r.t.Helper()
	start := time.Now()
	for !ok() {
		assert.Assert(r.t, time.Since(start) < bound, "%s: not within %s", what, bound)
		time.Sleep(100 * time.Millisecond)
	}
	return time.Since(start)
}

// checkServing asserts that the groups that daemons would serve, whatever each
// daemon knows, have all their engines and share none.
func (r *rig) checkServing(daemons ...*rigDaemon) {
	engines := r.freeze()
	serving := map[fleet.InstanceID]string{}
	for _, d := range daemons {
		for _, g := range d.book.View().Groups {
			if !group.Whole(g, engines, time.Now(), 0).Whole {
				continue
			}
			c := group.Compose(g, engines)
			for rank, m := range c {
				engines[m.Instance].check(r.t, g, c, fleet.Rank(rank))
				place := fmt.Sprintf("%s at epoch %d", g.ID, g.Epoch)
				other, twice := serving[m.Instance]
				assert.Assert(r.t, !twice || other == place, "%s serves in %s and in %s", m.Instance, other, place)
				serving[m.Instance] = place
			}
		}
	}
}

// check asserts that an engine of a group that would serve is up, has loaded
// the version and is in this rank of this composition.
func (s engineState) check(t *testing.T, g *group.Group, c []group.Member, rank fleet.Rank) {
	a := s.report.Assignment
	assert.Assert(t, s.up && a != nil && s.loaded == g.Version, "%s serves; %s is up %t with %q", g.ID, c[rank].Instance, s.up, s.loaded)
	want := group.AssignmentOf(g, c, rank)
	assert.Assert(t, reflect.DeepEqual(*a, want), "%s serves; %s is in %+v, not in %+v", g.ID, c[rank].Instance, *a, want)
}

// foldWatch asserts of one daemon's book, between two looks, what the fold's
// rules are for.
type foldWatch struct {
	term   lease.Term
	groups map[fleet.GroupID]*group.Group
	issued group.IDMark
}

func (w *foldWatch) look(t *testing.T, d *rigDaemon) {
	v := d.book.View()
	for id, g := range v.Groups {
		old := w.groups[id]
		if g == old {
			continue
		}
		assert.Assert(t, g.Term >= w.term, "%s changed under term %d after term %d began", id, g.Term, w.term)
		if old == nil {
			_, mark, _ := group.ParseID(id)
			assert.Assert(t, w.issued.Less(mark), "%s was given out before", id)
			continue
		}
		kept := slices.Equal(g.Members, old.Members) && slices.Equal(g.Spares, old.Spares)
		assert.Assert(t, g.Epoch > old.Epoch || g.Epoch == old.Epoch && kept, "%s changed from epoch %d to %d", id, old.Epoch, g.Epoch)
	}
	l, _ := d.leases.Current(rigScope)
	w.term, w.groups, w.issued = l.Term, v.Groups, v.Issued[rigScope]
}

func (r *rig) engineOf(m group.Member) *rigEngine {
	i := slices.IndexFunc(r.engines, func(e *rigEngine) bool { return e.instance.ID == m.Instance })
	return r.engines[i]
}

// onlyGroup returns the single group of a daemon's view.
func (r *rig) onlyGroup(d *rigDaemon) *group.Group {
	r.t.Helper()
	v := d.book.View()
	assert.Equal(r.t, len(v.Groups), 1)
	for _, g := range v.Groups {
		return g
	}
	return nil
}
