package placement_test

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"

	"carawayproxy.example/caraway/internal/backend"
	"carawayproxy.example/caraway/internal/event"
	"carawayproxy.example/caraway/internal/fleet"
	"carawayproxy.example/caraway/internal/group"
	"carawayproxy.example/caraway/internal/journal"
	"carawayproxy.example/caraway/internal/lease"
	"carawayproxy.example/caraway/internal/placement"
)

// rigDaemon is one daemon with its replica, leases, group records and executor. It
// implements backend.Engines for the executor.
type rigDaemon struct {
	backend.Engines
	rig         *rig
	id          fleet.DaemonID
	log         *faultyLog
	replica     *journal.Replica
	leases      *lease.Fold
	leaseHolder *lease.Manager
	fold        *group.Fold
	metrics     metrics.Registry
	stop        context.CancelFunc
	sink        event.Sink    // may be nil
	holdOrders  chan struct{} // if set, orders wait until it is closed after their lease check
	delay       atomic.Int64  // maximum delay of orders, in nanoseconds
	stopped     atomic.Bool
	unreachable atomic.Bool // for the other daemons, although it runs
}

// kill stops the daemon abruptly, like kill -9.
func (d *rigDaemon) kill() {
	d.stopped.Store(true)
	d.stop()
}

// alive lists the daemons that are reachable from this one, and itself.
func (d *rigDaemon) alive() []fleet.DaemonID {
	d.rig.mu.Lock()
	defer d.rig.mu.Unlock()
	ids := []fleet.DaemonID{d.id}
	for _, o := range d.rig.daemons {
		if o != d && !o.stopped.Load() && !o.unreachable.Load() {
			ids = append(ids, o.id)
		}
	}
	return ids
}

func (d *rigDaemon) Apply(ctx context.Context, address string, o backend.Order) (backend.OrderResult, error) {
	if d.holdOrders != nil {
		<-d.holdOrders
	}
	i := slices.IndexFunc(d.rig.engines, func(e *rigEngine) bool { return e.instance.Address == address })
	if i < 0 {
		return backend.OrderResult{}, errUnreachable
	}
	e := d.rig.engines[i]
	late := time.Duration(d.delay.Load()) * time.Duration(i) / time.Duration(len(d.rig.engines))
	if late == 0 {
		return e.apply(d.id, o)
	}
	d.rig.running.Go(func() {
		time.Sleep(late)
		_, _ = e.apply(d.id, o)
	})
	<-ctx.Done()
	return backend.OrderResult{}, ctx.Err()
}

// add creates a daemon, applies the setup functions and starts it.
func (r *rig) add(id fleet.DaemonID, setup ...func(*rigDaemon)) *rigDaemon {
	d := &rigDaemon{rig: r, id: id, log: &faultyLog{Log: r.log, running: &r.running}, leases: lease.NewFold(), metrics: metrics.NewRegistry()}
	for _, s := range setup {
		s(d)
	}
	d.fold = group.NewFold(d.leases)
	d.replica = journal.NewReplica(journal.Config{Stream: journal.StreamControl, Self: id, Log: d.log, Fold: journal.NewMux(d.leases, d.fold)})
	d.leaseHolder = lease.NewManager(lease.ManagerConfig{
		Self: id, Proposer: d.replica, Fold: d.leases, Scopes: []lease.Scope{rigScope},
		Alive: func() []fleet.DaemonID { return []fleet.DaemonID{id} }, RebalanceAfter: 24 * time.Hour,
	})
	exec := placement.NewExecutor(placement.ExecutorConfig{
		Self: id, Planner: placement.NewPlanner(placement.Policy{}), Proposer: d.replica, Fold: d.fold, Leases: d.leaseHolder, Terms: d.leases,
		Scopes:   func() []lease.Scope { return []lease.Scope{rigScope} },
		ScopeOf:  func(fleet.ServiceName) lease.Scope { return rigScope },
		Alive:    d.alive,
		Outage:   func() bool { return d.lostLog() && !d.log.isCut() },
		Snapshot: d.snapshot, Engines: d, Metrics: d.metrics,
		Events: event.NewLogger(r.t.Output(), 0, d.sink),
	})
	r.mu.Lock()
	r.daemons = append(r.daemons, d)
	r.mu.Unlock()
	ctx, stop := context.WithCancel(r.t.Context())
	d.stop = stop
	r.running.Go(func() { d.replica.Run(ctx) })
	r.running.Go(func() { d.leaseHolder.Run(ctx) })
	r.running.Go(func() { exec.Run(ctx) })
	return d
}

func (d *rigDaemon) lostLog() bool {
	return time.Since(d.replica.Status().LastLogResponse) > 5*time.Second
}

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
	for id := range d.fold.View().Groups {
		s.InFlight[id] = d.rig.inFlight
	}
	return s
}
