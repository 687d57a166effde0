// Package daemon puts the parts of carawayd together. A daemon takes its
// listeners and its dialer from outside and nothing else, so that whole
// daemons run in tests over an in-memory network in virtual time.
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
	"carawayproxy.example/caraway/internal/placement"
	"carawayproxy.example/caraway/internal/platform"
	"carawayproxy.example/caraway/internal/routing"
	"carawayproxy.example/caraway/internal/service"
	"carawayproxy.example/caraway/internal/settings"
	"carawayproxy.example/caraway/internal/suspect"
)

// listEvery is the time between two readings of the platform's list.
const listEvery = time.Second

// Env is what a daemon takes from outside.
type Env struct {
	Callers, Admin, Peers net.Listener
	Dial                  httpx.DialFunc
	// Log takes the log lines.
	Log io.Writer
	// TLS protects the callers' listener when set, AdminTLS the admin one.
	TLS, AdminTLS *tls.Config
	// Seed makes the daemon's random choices repeatable; zero for none.
	Seed uint64
}

// Daemon is one running carawayd.
type Daemon struct {
	id      fleet.DaemonID
	set     *settings.Settings
	env     Env
	events  *event.Logger
	metrics metrics.Registry
	started time.Time

	decisions *decisions

	// What is agreed.
	services *service.Book
	leases   *lease.Book
	groups   *group.Book
	registry *membership.Registry
	suspects *suspect.Book
	config   *journal.Replica
	control  *journal.Replica
	ledgers  []*journal.Replica
	snapshot *journal.Snapshotter

	// What is seen.
	list    *platform.List
	watcher *backend.Watcher
	mesh    *membership.Mesh
	store   *datastore.Store
	lapses  *datastore.Lapses
	index   *routing.PrefixIndex

	peerLeaving leavingSet

	// What acts.
	keeper     *lease.Keeper
	executor   *placement.Executor
	tracker    *suspect.Tracker
	records    *ledger.Client
	admission  *admission.Controller
	dispatcher *dispatch.Dispatcher
	publisher  *service.Publisher

	runs     *http.Client // attempts and calls
	polls    *http.Client // reports, orders and the platform
	engines  *backend.Client
	draining atomic.Bool
	drainNow chan struct{}
	drain    sync.Once
}

// New puts a daemon together from checked settings; nothing runs yet.
func New(set *settings.Settings, env Env) (*Daemon, error) {
	level, err := log.ParseLevel(set.LogLevel)
	if err != nil {
		return nil, err
	}
	d := &Daemon{
		id:        set.DaemonID(),
		set:       set,
		env:       env,
		metrics:   metrics.NewRegistry(),
		started:   time.Now(),
		decisions: newDecisions(set.ExplainDecisions),
		drainNow:  make(chan struct{}),
	}
	d.events = event.NewLogger(env.Log, level, d.decisions.record).With("daemon", d.id)
	d.runs = httpx.NewClient(env.Dial)
	d.polls = httpx.NewPollClient(env.Dial)
	d.engines = backend.NewClient(d.runs, d.polls).WithDoubt(func(address string) { d.watcher.Doubt(address) })
	d.agreed()
	d.seen()
	d.acting()
	return d, nil
}

// agreed makes the folds and their replicas of the log.
func (d *Daemon) agreed() {
	d.services = service.NewBook()
	d.leases = lease.NewBook()
	d.groups = group.NewBook(d.leases)
	d.registry = membership.NewRegistry()
	d.suspects = suspect.NewBook()
	base := journal.Config{
		Self:    d.id,
		Log:     platform.NewLog(d.polls, d.set.Platform),
		Budget:  rate.NewLimiter(rate.Limit(d.set.AppendRate), int(d.set.AppendRate)),
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
	shards := make([]ledger.Shard, d.set.LedgerShards)
	for i := range shards {
		book := ledger.NewBook(d.set.KeyWindow)
		r := replica(journal.LedgerStream(i), book)
		d.ledgers = append(d.ledgers, r)
		shards[i] = ledger.Shard{Proposer: r, Book: book}
	}
	d.records = ledger.NewClient(ledger.ClientConfig{
		Self:    d.id,
		Shards:  shards,
		Events:  d.events,
		Metrics: d.metrics,
		Gone:    d.gone,
	})
	d.snapshot = journal.NewSnapshotter(journal.SnapshotterConfig{
		Log:      base.Log,
		Self:     d.id,
		Budget:   base.Budget,
		Replicas: d.replicas(),
		Held:     func(journal.Stream) bool { return d.holds(snapshotScope) },
		Every:    d.set.SnapshotEvery,
		Events:   d.events,
	})
	d.publisher = service.NewPublisher(d.config, d.services, d.events)
}

// seen makes the parts that watch the present.
func (d *Daemon) seen() {
	d.list = platform.NewList(d.polls, d.set.Platform)
	d.index = routing.NewPrefixIndex(prefixCapacity)
	d.watcher = backend.NewWatcher(backend.WatcherConfig{
		Engines:     d.engines,
		Plains:      d.engines,
		Targets:     d.targets,
		Rank:        d.watchRank,
		Hurry:       func() { d.mesh.Hurry() },
		CacheEvents: d.cacheEvents,
		Events:      d.events,
		Metrics:     d.metrics,
	})
	relays := map[journal.Stream]membership.Relay{}
	for _, r := range d.replicas() {
		relays[r.Status().Stream] = r
	}
	d.mesh = membership.NewMesh(membership.Config{
		Self:        d.id,
		Address:     d.peerAddress(),
		Zone:        fleet.Zone(d.set.Zone),
		Incarnation: uint64(d.started.UnixNano()),
		Source:      d,
		Dial:        d.env.Dial,
		Replicas:    relays,
		OnSightings: func(s []suspect.Sighting) { d.tracker.Observe(s) },
		OnLeaving:   d.peerLeaving.add,
		OnReports:   d.watcher.Relayed,
		OnSilent:    d.watcher.Prompt,
		Policy:      linkPolicies[d.set.PeerLinks],
		Events:      d.events,
		Metrics:     d.metrics,
	})
	d.store = datastore.New(datastore.Config{
		Groups:       d.groups.View,
		Reports:      d.watcher,
		Instances:    d.instances,
		Catalog:      d.services.Catalog,
		Leaving:      d.leaving,
		PeerInFlight: d.peerInFlight,
		Unreached:    d.watcher.Unreached,
		Policy:       routing.DefaultPolicy().WithPrefixes(d.index),
		Rand:         d.random(routingStream),
	})
	d.lapses = datastore.NewLapses(d.store)
}

// acting makes the parts that decide and act.
func (d *Daemon) acting() {
	d.keeper = lease.NewKeeper(lease.KeeperConfig{
		Self:     d.id,
		Proposer: d.control,
		Book:     d.leases,
		Scopes:   d.scopes(),
		Alive:    d.aliveDaemons,
		Events:   d.events,
		Metrics:  d.metrics,
	})
	d.executor = placement.NewExecutor(placement.ExecutorConfig{
		Self:     d.id,
		Planner:  placement.NewPlanner(placement.Policy{}),
		Proposer: d.control,
		Book:     d.groups,
		Leases:   d.keeper,
		Scopes:   d.placementScopes,
		Terms:    d.leases,
		Outage:   d.outage,
		Alive:    d.heardDaemons,
		ScopeOf:  d.scopeOf,
		Snapshot: d.planningSnapshot,
		Engines:  d.engines,
		Events:   d.events,
		Metrics:  d.metrics,
	})
	d.tracker = suspect.NewTracker(suspect.TrackerConfig{
		Self:     d.id,
		Book:     d.suspects,
		Proposer: d.control,
		Events:   d.events,
		Metrics:  d.metrics,
		Groups:   d.groupsByFabric,
	})
	d.admission = admission.NewController(admission.Config{
		Seed:      d.random(admissionStream).Uint64(),
		AllGroups: d.set.WhenFlooded == settings.FloodedAll,
	})
	d.dispatcher = dispatch.New(dispatch.Config{
		Self:      d.id,
		Zone:      fleet.Zone(d.set.Zone),
		Router:    router{d.store, d.lapses, d.admission},
		Admission: gate{d},
		Ledger:    d.records,
		Suspects:  d.tracker,
		Knowledge: knowledge{d},
		Engines:   d.engines,
		Plains:    d.engines,
		Daemons:   func() int { return len(d.aliveDaemons()) },
		Events:    d.events,
		Metrics:   d.metrics,
	})
}

// linkPolicies are the choices of the peer-links setting.
var linkPolicies = map[string]membership.LinkPolicy{
	"full":    membership.FullMesh{},
	"bounded": membership.Bounded{},
}

// Streams of random choices, each with its own source.
const (
	routingStream = iota + 1
	admissionStream
)

// prefixCapacity is how many cached prefixes are remembered of each group.
const prefixCapacity = 1 << 12

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

// Run serves until ctx ends, which stops everything at once, or until a
// planned stop that Drain began has ended.
func (d *Daemon) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var parts sync.WaitGroup
	for _, run := range d.parts() {
		parts.Go(func() { run(ctx) })
	}
	servers := d.servers()
	for _, s := range servers {
		parts.Go(func() { s.serve(d.events) })
	}
	d.events.Emit(eventStarted, "zone", d.set.Zone, "callers", d.env.Callers.Addr(), "admin", d.env.Admin.Addr(), "peers", d.env.Peers.Addr())

	select {
	case <-ctx.Done():
	case <-d.drainNow:
		d.stopGracefully(ctx, servers)
	}
	cancel()
	for _, s := range servers {
		_ = s.server.Close()
	}
	d.dispatcher.Close()
	parts.Wait()
	d.runs.CloseIdleConnections()
	d.polls.CloseIdleConnections()
	d.events.Emit(eventStopped)
	return nil
}

// parts lists what runs beside the listeners.
func (d *Daemon) parts() []func(context.Context) {
	parts := []func(context.Context){
		d.snapshot.Run,
		d.watcher.Run,
		d.mesh.Run,
		d.lapses.Run,
		d.keeper.Run,
		d.executor.Run,
		d.tracker.Run,
		d.records.Run,
		d.greet,
		d.tellReadiness,
		d.forgetPrefixes,
		func(ctx context.Context) { d.list.Run(ctx, listEvery, d.listFailed) },
	}
	for _, r := range d.replicas() {
		parts = append(parts, r.Run)
	}
	return parts
}

func (d *Daemon) listFailed(err error) {
	d.events.Emit(eventListFailed, "error", err)
}
