// Package daemon assembles the components of carawayd. A daemon receives its
// listeners and its dialer from the caller, so that tests can run whole daemons
// over an in-memory network in virtual time.
package daemon

import (
	"context"
	"crypto/tls"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/rcrowley/go-metrics"
	"golang.org/x/time/rate"

	"carawayproxy.example/caraway/internal/admission"
	"carawayproxy.example/caraway/internal/backend"
	"carawayproxy.example/caraway/internal/clients"
	"carawayproxy.example/caraway/internal/datastore"
	"carawayproxy.example/caraway/internal/dispatch"
	"carawayproxy.example/caraway/internal/event"
	"carawayproxy.example/caraway/internal/fleet"
	"carawayproxy.example/caraway/internal/group"
	"carawayproxy.example/caraway/internal/httpx"
	"carawayproxy.example/caraway/internal/journal"
	"carawayproxy.example/caraway/internal/lease"
	"carawayproxy.example/caraway/internal/ledger"
	"carawayproxy.example/caraway/internal/membership"
	"carawayproxy.example/caraway/internal/memory"
	"carawayproxy.example/caraway/internal/placement"
	"carawayproxy.example/caraway/internal/platform"
	"carawayproxy.example/caraway/internal/routing"
	"carawayproxy.example/caraway/internal/service"
	"carawayproxy.example/caraway/internal/settings"
	"carawayproxy.example/caraway/internal/suspect"
)

// listInterval is the time between two reads of the platform's instance list.
const listInterval = time.Second

// Env holds the external resources of a daemon.
type Env struct {
	Callers, Admin, Peers net.Listener
	Dial                  httpx.DialFunc
	// Log is the destination of log lines.
	Log io.Writer
	// TLS is the configuration of the callers' listener and AdminTLS that of
	// the admin listener; nil means clear text.
	TLS, AdminTLS *tls.Config
	// Seed makes the daemon's random choices repeatable; zero selects a random
	// seed.
	Seed uint64
}

// Daemon is one running carawayd.
type Daemon struct {
	id       fleet.DaemonID
	settings *settings.Settings
	env      Env
	events   *event.Logger
	metrics  metrics.Registry
	started  time.Time

	decisions *decisions

	// plan is what callers may take together, bodies the memory for their calls, and
	// reports the log lines about them.
	plan    clients.Plan
	bodies  *memory.Budget
	reports clients.Reports
	callers *clients.Listener

	// Replicated state.
	services *service.Fold
	leases   *lease.Fold
	groups   *group.Fold
	registry *membership.Registry
	suspects *suspect.Fold
	config   *journal.Replica
	control  *journal.Replica
	ledgers  []*journal.Replica
	snapshot *journal.Snapshotter

	// Observed state.
	list         *platform.List
	watcher      *backend.Watcher
	mesh         *membership.Mesh
	store        *datastore.Store
	groupWatcher *datastore.GroupWatcher
	index        *routing.PrefixIndex

	peerLeaving leavingSet

	// Controllers and request handling.
	leaseManager *lease.Manager
	executor     *placement.Executor
	tracker      *suspect.Tracker
	ledgerClient *ledger.Client
	admission    *admission.Controller
	dispatcher   *dispatch.Dispatcher
	publisher    *service.Publisher

	requestClient *http.Client // request attempts and engine calls
	pollClient    *http.Client // engine reports, orders and the platform's services
	engines       *backend.Client
	draining      atomic.Bool
	drainStarted  chan struct{}
	drainOnce     sync.Once
}

// New assembles a daemon from validated settings. It starts nothing.
func New(set *settings.Settings, env Env) (*Daemon, error) {
	level, err := log.ParseLevel(set.LogLevel)
	if err != nil {
		return nil, err
	}
	plan, err := clients.NewPlan(clients.Limits{
		MemoryBytes: int(set.MemoryLimit * (1 << 20)), Descriptors: set.Descriptors,
		MaxConnections: set.MaxConnections, MaxBodyBytes: set.MaxBodyBytes,
	})
	if err != nil {
		return nil, err
	}
	d := &Daemon{
		plan:         plan,
		bodies:       clients.NewBodies(plan),
		id:           set.DaemonID(),
		settings:     set,
		env:          env,
		metrics:      metrics.NewRegistry(),
		started:      time.Now(),
		decisions:    newDecisions(set.ExplainDecisions),
		drainStarted: make(chan struct{}),
	}
	d.events = event.NewLogger(env.Log, level, d.decisions.record).With("daemon", d.id)
	d.callers = clients.NewListener(env.Callers, plan.Connections, d.onConnectionClosed("callers", plan.Connections))
	clients.RegisterMetrics(d.metrics, d.bodies, d.callers)
	d.requestClient = httpx.NewClient(env.Dial)
	d.pollClient = httpx.NewPollClient(env.Dial)
	d.engines = backend.NewClient(d.requestClient, d.pollClient).OnFailure(func(address string) { d.watcher.RecordFailedAttempt(address) })
	d.initReplicatedState()
	d.initObservers()
	d.initControllers()
	return d, nil
}

// initReplicatedState creates the folds and their log replicas.
func (d *Daemon) initReplicatedState() {
	d.services = service.NewFold()
	d.leases = lease.NewFold()
	d.groups = group.NewFold(d.leases)
	d.registry = membership.NewRegistry()
	d.suspects = suspect.NewFold()
	base := journal.Config{
		Self:    d.id,
		Log:     platform.NewLog(d.pollClient, d.settings.Platform),
		Budget:  rate.NewLimiter(rate.Limit(d.settings.AppendRate), int(d.settings.AppendRate)),
		Peers:   peerSource{d},
		Events:  d.events,
		Metrics: d.metrics,
	}
	replica := func(s journal.Stream, f journal.Fold) *journal.Replica {
		cfg := base
		cfg.Stream = s
		cfg.Fold = f
		return journal.NewReplica(cfg)
	}
	d.config = replica(journal.StreamConfig, d.services)
	d.control = replica(journal.StreamControl, journal.NewMux(d.leases, d.groups, d.registry, d.suspects))
	shards := make([]ledger.Shard, d.settings.LedgerShards)
	for i := range shards {
		fold := ledger.NewFold(d.settings.KeyWindow)
		r := replica(journal.LedgerStream(i), fold)
		d.ledgers = append(d.ledgers, r)
		shards[i] = ledger.Shard{Proposer: r, Fold: fold}
	}
	d.ledgerClient = ledger.NewClient(ledger.ClientConfig{
		Self:       d.id,
		Shards:     shards,
		Events:     d.events,
		Metrics:    d.metrics,
		HasStopped: d.hasStopped,
	})
	d.snapshot = journal.NewSnapshotter(journal.SnapshotterConfig{
		Log:      base.Log,
		Self:     d.id,
		Budget:   base.Budget,
		Replicas: d.replicas(),
		IsHolder: func(journal.Stream) bool { return d.holdsLease(snapshotScope) },
		Interval: d.settings.SnapshotEvery,
		Events:   d.events,
	})
	d.publisher = service.NewPublisher(d.config, d.services, d.events)
}

// initObservers creates the components that observe instances and peers.
func (d *Daemon) initObservers() {
	d.list = platform.NewList(d.pollClient, d.settings.Platform)
	d.index = routing.NewPrefixIndex(prefixesPerGroup)
	d.watcher = backend.NewWatcher(backend.WatcherConfig{
		Engines:          d.engines,
		Plains:           d.engines,
		Targets:          d.targets,
		Rank:             d.watchRank,
		RequestHeartbeat: func() { d.mesh.RequestHeartbeat() },
		CacheEvents:      d.indexCacheEvents,
		Events:           d.events,
		Metrics:          d.metrics,
	})
	relays := map[journal.Stream]membership.Relay{}
	for _, r := range d.replicas() {
		relays[r.Status().Stream] = r
	}
	d.mesh = membership.NewMesh(membership.Config{
		Self:           d.id,
		Address:        d.peerAddress(),
		Zone:           fleet.Zone(d.settings.Zone),
		Incarnation:    uint64(d.started.UnixNano()),
		Source:         d,
		Dial:           d.env.Dial,
		Replicas:       relays,
		OnSightings:    func(s []suspect.Sighting) { d.tracker.Observe(s) },
		OnLeaving:      d.peerLeaving.add,
		OnReports:      d.watcher.AddRelayedReports,
		OnUnresponsive: d.watcher.RecordPeerUnresponsive,
		Policy:         linkPolicies[d.settings.PeerLinks],
		Events:         d.events,
		Metrics:        d.metrics,
	})
	d.store = datastore.New(datastore.Config{
		Groups:       d.groups.View,
		Reports:      d.watcher,
		Instances:    d.instances,
		Catalog:      d.services.Catalog,
		Leaving:      d.isLeaving,
		PeerInFlight: d.mesh.PeerInFlight,
		Unreachable:  d.watcher.Unreachable,
		Policy:       routing.DefaultPolicy().WithPrefixes(d.index),
		Rand:         d.random(routingStream),
	})
	d.groupWatcher = datastore.NewGroupWatcher(d.store)
}

// initControllers creates the components that make decisions and act on them.
func (d *Daemon) initControllers() {
	d.leaseManager = lease.NewManager(lease.ManagerConfig{
		Self:     d.id,
		Proposer: d.control,
		Fold:     d.leases,
		Scopes:   d.scopes(),
		Alive:    d.aliveDaemons,
		Events:   d.events,
		Metrics:  d.metrics,
	})
	d.executor = placement.NewExecutor(placement.ExecutorConfig{
		Self:     d.id,
		Planner:  placement.NewPlanner(placement.Policy{}),
		Proposer: d.control,
		Fold:     d.groups,
		Leases:   d.leaseManager,
		Scopes:   d.placementScopes,
		Terms:    d.leases,
		Outage:   d.isLogOutage,
		Alive:    d.reachableDaemons,
		ScopeOf:  d.scopeOf,
		Snapshot: d.planningSnapshot,
		Engines:  d.engines,
		Events:   d.events,
		Metrics:  d.metrics,
	})
	d.tracker = suspect.NewTracker(suspect.TrackerConfig{
		Self:     d.id,
		Fold:     d.suspects,
		Proposer: d.control,
		Events:   d.events,
		Metrics:  d.metrics,
		Groups:   d.groupsByFabric,
	})
	d.admission = admission.NewController(admission.Config{
		Seed:      d.random(admissionStream).Uint64(),
		AllGroups: d.settings.WhenFlooded == settings.FloodedAll,
	})
	d.dispatcher = dispatch.New(dispatch.Config{
		Self:          d.id,
		Zone:          fleet.Zone(d.settings.Zone),
		Router:        router{d.store, d.groupWatcher, d.admission},
		Admission:     admissionGate{d},
		Ledger:        d.ledgerClient,
		Suspects:      d.tracker,
		CatalogSource: catalogSource{d},
		Engines:       d.engines,
		Plains:        d.engines,
		AnswerMemory:  d.plan.AnswerBytes,
		Daemons:       func() int { return len(d.aliveDaemons()) },
		Events:        d.events,
		Metrics:       d.metrics,
	})
}

// linkPolicies maps the values of the peer-links setting to policies.
var linkPolicies = map[string]membership.LinkPolicy{
	settings.LinksAuto:    membership.FullMesh{},
	settings.LinksFull:    membership.FullMesh{},
	settings.LinksBounded: membership.Bounded{},
}

// Stream numbers of the random generators, one for each consumer.
const (
	routingStream = iota + 1
	admissionStream
)

// prefixesPerGroup is the maximum number of cached prefixes in the index for
// each group.
const prefixesPerGroup = 1 << 12

func (d *Daemon) random(stream uint64) *rand.Rand {
	seed := d.env.Seed
	if seed == 0 {
		seed = rand.Uint64()
	}
	return rand.New(rand.NewPCG(seed, stream))
}

func (d *Daemon) replicas() []*journal.Replica {
	return append([]*journal.Replica{d.config, d.control}, d.ledgers...)
}

// ID returns the daemon's id.
func (d *Daemon) ID() fleet.DaemonID { return d.id }

// Run serves until a graceful stop started by Drain has completed, or until
// ctx ends, which stops the daemon immediately.
func (d *Daemon) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var tasks sync.WaitGroup
	for _, run := range d.backgroundTasks() {
		tasks.Go(func() { run(ctx) })
	}
	servers := d.servers()
	for _, s := range servers {
		tasks.Go(func() { s.serve(d.events) })
	}
	d.events.Emit(eventStarted, "zone", d.settings.Zone, "callers", d.env.Callers.Addr(), "admin", d.env.Admin.Addr(), "peers", d.env.Peers.Addr())
	d.events.Emit(eventClientLimits, "connections", d.plan.Connections, "bodies", d.plan.BodyBytes, "answers", d.plan.AnswerBytes, "decoders", d.plan.Decoders,
		"connection_bytes", d.plan.ConnectionBytes, "base", d.plan.BaseBytes, "total", d.plan.TotalBytes, "memory_limit_mib", d.settings.MemoryLimit, "descriptors", d.settings.Descriptors)

	select {
	case <-ctx.Done():
	case <-d.drainStarted:
		d.stopGracefully(ctx, servers)
	}
	cancel()
	for _, s := range servers {
		_ = s.server.Close()
	}
	d.dispatcher.Close()
	tasks.Wait()
	d.requestClient.CloseIdleConnections()
	d.pollClient.CloseIdleConnections()
	d.events.Emit(eventStopped)
	return nil
}

// backgroundTasks returns the tasks that run alongside the listeners.
func (d *Daemon) backgroundTasks() []func(context.Context) {
	tasks := []func(context.Context){
		d.snapshot.Run,
		d.watcher.Run,
		d.mesh.Run,
		d.groupWatcher.Run,
		d.leaseManager.Run,
		d.executor.Run,
		d.tracker.Run,
		d.ledgerClient.Run,
		d.runAnnouncements,
		d.reportReadiness,
		d.dropStalePrefixes,
		func(ctx context.Context) { d.list.Run(ctx, listInterval, d.reportListError) },
	}
	for _, r := range d.replicas() {
		tasks = append(tasks, r.Run)
	}
	return tasks
}

func (d *Daemon) reportListError(err error) {
	d.events.Emit(eventListFailed, "error", err)
}
