package placement_test

import (
	"context"
	"fmt"
	"slices"
	"sync"
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

// kill stops the engine; restart starts it again without an assignment.
func (e *rigEngine) kill() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.down = true
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
	e.mu.Lock()
	defer e.mu.Unlock()
	r := e.report
	r.ReceivedAt = time.Now()
	return r, !e.down
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
	mu  sync.Mutex
	cut bool
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
}

func (d *rigDaemon) Apply(_ context.Context, address string, o backend.Order) (backend.OrderResult, error) {
	if d.hold != nil {
		<-d.hold
	}
	for _, e := range d.rig.engines {
		if e.instance.Address == address {
			return e.apply(o)
		}
	}
	return backend.OrderResult{}, errGone
}

// add starts a daemon after the setup functions have changed it.
func (r *rig) add(id fleet.DaemonID, setup ...func(*rigDaemon)) *rigDaemon {
	d := &rigDaemon{rig: r, id: id, log: &gatedLog{Log: r.log}, leases: lease.NewBook(), metrics: metrics.NewRegistry()}
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

func (d *rigDaemon) lostLog() bool { return time.Since(d.replica.Status().LogAt) > 5*time.Second }

func (d *rigDaemon) snapshot(lease.Scope) placement.Snapshot {
	s := placement.Snapshot{
		Revision:  1,
		Instances: map[fleet.InstanceID]placement.InstanceState{},
		LogDown:   d.lostLog(),
		InFlight:  map[fleet.GroupID]uint32{},
		Wanted: []placement.Wanted{{
			Service: "drafting", Revision: 1, Pool: "p", Model: "m", Version: "v1", Role: "serve",
			Groups: d.rig.groups, Size: d.rig.size, Spares: d.rig.spares, LoadTime: rigLoad,
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

// checkServing asserts that the groups that daemons would serve share no
// instance, whatever each daemon knows.
func (r *rig) checkServing(daemons ...*rigDaemon) {
	serving := map[fleet.InstanceID]string{}
	for _, d := range daemons {
		for _, g := range d.book.View().Groups {
			if !group.Whole(g, truth(r.engines), time.Now(), 0).Whole {
				continue
			}
			for _, m := range group.Compose(g, truth(r.engines)) {
				place := fmt.Sprintf("%s at epoch %d", g.ID, g.Epoch)
				other, twice := serving[m.Instance]
				assert.Assert(r.t, !twice || other == place, "%s serves in %s and in %s", m.Instance, other, place)
				serving[m.Instance] = place
			}
		}
	}
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
