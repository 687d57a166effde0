// Package edge assembles a daemon that forwards requests as they arrive, in
// front of backend servers that register themselves and manage their own
// membership in replica groups. State that must be durable or agreed on is kept
// in the platform's record store.
package edge

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/rcrowley/go-metrics"

	"carawayproxy.example/caraway/internal/admission"
	"carawayproxy.example/caraway/internal/backend"
	"carawayproxy.example/caraway/internal/clients"
	"carawayproxy.example/caraway/internal/datastore"
	"carawayproxy.example/caraway/internal/directory"
	"carawayproxy.example/caraway/internal/dispatch"
	"carawayproxy.example/caraway/internal/entry"
	"carawayproxy.example/caraway/internal/evacuation"
	"carawayproxy.example/caraway/internal/event"
	"carawayproxy.example/caraway/internal/feed"
	"carawayproxy.example/caraway/internal/fleet"
	"carawayproxy.example/caraway/internal/httpx"
	"carawayproxy.example/caraway/internal/lease"
	"carawayproxy.example/caraway/internal/membership"
	"carawayproxy.example/caraway/internal/memory"
	"carawayproxy.example/caraway/internal/placement"
	"carawayproxy.example/caraway/internal/ratelimit"
	"carawayproxy.example/caraway/internal/reach"
	"carawayproxy.example/caraway/internal/routes"
	"carawayproxy.example/caraway/internal/routing"
	"carawayproxy.example/caraway/internal/service"
	"carawayproxy.example/caraway/internal/settings"
	"carawayproxy.example/caraway/internal/suspect"
)

// Platform holds the daemon's dependencies on the operators' platform.
type Platform struct {
	// OperatorRecords is the source of the routing document and of the evacuations of
	// availability zones. OperatorState returns its end and the evacuations there, and
	// DecodeDocument decodes the text of a document.
	OperatorRecords feed.Source[OperatorRecord]
	OperatorState   func(ctx context.Context) (evacuation.State, error)
	DecodeDocument  func(text []byte) (*routes.Document, error)
	Servers         feed.Source[directory.Server]
	Daemons         feed.Source[membership.Endpoint]
	// Announce publishes the endpoint of this daemon to the other daemons.
	Announce func(ctx context.Context, name string, e membership.Endpoint) error
	// Claims returns the log in which daemons claim a scope of control work.
	Claims    func(scope lease.Scope) lease.ClaimLog
	Verdicts  VerdictStore
	Engines   placement.GroupEngines
	Opaques   backend.Opaques
	Liveness  dispatch.LivenessProber
	Codec     entry.Codec
	ReadyPath string
	// DropConnections makes later requests to backend servers use new connections.
	DropConnections func()
}

// VerdictStore keeps the verdicts on requests that crash backend servers for
// daemons that start later.
type VerdictStore interface {
	Verdicts() feed.Source[suspect.Verdict]
	RecordVerdict(ctx context.Context, v suspect.Verdict) error
	DropVerdict(ctx context.Context, f suspect.Fingerprint) error
}

// Env holds the daemon's external dependencies.
type Env struct {
	Callers, Readiness, Admin, Peers net.Listener
	Dial                             httpx.DialFunc
	// ServerDialer opens Platform's connections to backend servers.
	ServerDialer *reach.Dialer
	Platform     Platform
	// Log receives the log lines.
	Log io.Writer
	// Elapsed is a monotonic clock that also advances while the machine is
	// suspended.
	Elapsed func() time.Duration
}

// scopePlacement is the only scope of control work: forming groups.
const scopePlacement lease.Scope = "placement"

// Daemon is one running carawayd.
type Daemon struct {
	id       fleet.DaemonID
	settings *settings.Settings
	budget   budget
	// shortfalls are the bounds that budget may not keep.
	shortfalls []error
	env        Env
	spool      *event.Spool
	events     *event.Logger
	metrics    metrics.Registry
	// badRecords counts the records and broadcasts that were skipped as invalid.
	badRecords metrics.Counter
	// zonesEvacuated is the number of zones that are evacuated, and requestsThere that of
	// this daemon's requests that still run there.
	zonesEvacuated, requestsThere metrics.Gauge

	// plan bounds what clients take together, bodies the memory of their requests, and
	// reports the log lines about them.
	plan    clients.Plan
	bodies  *memory.Budget
	reports clients.Reports
	callers *clients.Listener

	routes        *routes.CurrentDocument
	directory     *directory.Directory
	mesh          *membership.Mesh
	store         *datastore.Store
	groupWatcher  *datastore.GroupWatcher
	stallDetector *datastore.StallDetector
	refusals      *datastore.Refusals
	rates         *ratelimit.Limits
	pauses        *ratelimit.Pauses
	cold          *ratelimit.Cold
	detector      *suspect.Detector
	unresponsive  *recentSet[fleet.InstanceID]
	stalled       *recentSet[fleet.GroupID]
	evacuations   *evacuation.Zones
	zoneRequests  zoneRequests

	elector         *lease.Elector
	groupController *placement.GroupController
	admission       *admission.Controller
	dispatcher      *dispatch.Dispatcher

	hasServerList atomic.Bool  // the complete list of backend servers was read
	listReadAt    atomic.Int64 // time of the last read of the list, in nanoseconds since started
	holderSeenAt  atomic.Int64 // time another daemon last reported holding the lease, in nanoseconds since started
	isFitSince    atomic.Int64 // time this daemon was last fit to hold the lease, or no other, in nanoseconds since started
	// storeUnavailable is set until the store first responds to this daemon, and
	// during outages. peersAtStoreContact is the number of peers with a recent
	// heartbeat when the store last responded.
	storeUnavailable atomic.Bool
	// outageConfirmedAt is when all peers last reported the store as unavailable,
	// by Env.Elapsed.
	peersAtStoreContact, outageConfirmedAt atomic.Int64
	positions                              listPositions
	listNews                               listNews
	documentReplica                        documentReplica
	documentChanged                        chan struct{} // wakes followDocumentDeltas
	documentReadAsOf                       atomic.Int64  // time as of which this daemon last read the document, in nanoseconds since started
	broadcastCount                         atomic.Uint64 // number of engine responses that this daemon has broadcast
	demand                                 demandMeter
	losses                                 map[string]*placement.LossMeter // by engine service
	addresses                              addressBook
	addressReadAt                          atomic.Int64 // time at which the list of daemons first had this one, in nanoseconds since started
	announced                              atomic.Bool  // the endpoint of this daemon was published
	draining                               atomic.Bool
	drainingSince                          atomic.Int64 // nanoseconds since started
	drainStarted                           chan struct{}
	drainOnce                              sync.Once
	started                                time.Time
}

// New creates a daemon from validated settings without starting it.
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
	budget, shortfalls := newBudget(set.LeavingBound, set.DocumentBound, set.EvacuationBound)
	d := &Daemon{
		plan:         plan,
		bodies:       clients.NewBodies(plan),
		id:           set.DaemonID(),
		settings:     set,
		budget:       budget,
		shortfalls:   shortfalls,
		env:          env,
		metrics:      metrics.NewRegistry(),
		routes:       &routes.CurrentDocument{},
		unresponsive: newRecentSet[fleet.InstanceID](),
		stalled:      newRecentSet[fleet.GroupID](),
		evacuations:  &evacuation.Zones{},
		losses:       map[string]*placement.LossMeter{},
		drainStarted: make(chan struct{}),
		started:      time.Now(),
		// Several changes wake followDocumentDeltas once.
		documentChanged: make(chan struct{}, 1),
		listNews:        listNews{patience: budget.listPatience},
		documentReplica: documentReplica{stagger: rand.N(maxStagger)},
	}
	if d.env.ServerDialer == nil {
		d.env.ServerDialer = reach.NewDialer(env.Dial)
	}
	d.badRecords = metrics.GetOrRegisterCounter("edge.bad_records", d.metrics)
	d.zonesEvacuated = metrics.GetOrRegisterGauge("edge.zones_evacuated", d.metrics)
	d.requestsThere = metrics.GetOrRegisterGauge("edge.requests_in_evacuated_zones", d.metrics)
	d.spool = event.NewSpool(env.Log, level, d.metrics)
	d.events = event.NewSpoolLogger(d.spool).With("daemon", d.id)
	d.storeUnavailable.Store(true)
	d.callers = clients.NewListener(timeoutListener{d.env.Callers, d.callerLimits}, d.plan.Connections, d.onConnectionClosed("callers", plan.Connections))
	clients.RegisterMetrics(d.metrics, d.bodies, d.callers)
	d.createState()
	d.createControl()
	return d, nil
}

// createState creates the components that track the state of the system.
func (d *Daemon) createState() {
	d.directory = directory.New(directory.Config{
		ReturnGrace:  returnGrace,
		LeavingBound: d.budget.leavingBound,
		SizeOf:       d.modelSize,
		ServiceOf:    routes.ModelService,
		ModelOf:      placement.ModelOfID,
		Generates:    d.isEngineService,
		ColdStart:    d.coldStart,
	})
	tunnelKey := newTunnelKey()
	d.env.ServerDialer.Attach(d.reachConfig(tunnelKey))
	d.mesh = membership.NewMesh(membership.Config{
		TunnelKey:      tunnelKey,
		Self:           d.id,
		Address:        d.peerAddress(),
		Zone:           fleet.Zone(d.settings.Zone),
		Incarnation:    uint64(d.started.UnixNano()),
		Source:         d,
		Dial:           d.env.Dial,
		OnUnresponsive: d.onPeerEnginesUnresponsive,
		OnStalled:      d.onPeerGroupsStalled,
		OnBroadcasts:   d.onBroadcasts,
		ListPosition:   func(relayed bool) *membership.ListPosition { return d.listNews.position(relayed, time.Now()) },
		OnListPosition: d.onListPosition,
		OnEvacuations:  d.onPeerEvacuations,
		OnSightings:    func(s []suspect.Sighting) { d.detector.Observe(s, nil) },
		OnAcquittals:   func(a []suspect.Acquittal) { d.detector.Observe(nil, a) },
		Loads:          func() map[fleet.GroupID]uint32 { return d.store.InFlight() },
		Policy:         linkPolicies[d.settings.PeerLinks],
		Processors:     d.settings.Processors,
		Events:         d.events,
		Metrics:        d.metrics,
	})
	d.detector = suspect.NewDetector(suspect.DetectorConfig{
		Self:    d.id,
		Events:  d.events,
		Metrics: d.metrics,
		Groups:  d.groupsByFabric,
		Notify:  d.mesh.RequestHeartbeat,
		Announce: func(v suspect.Verdict) {
			d.broadcastVerdict(v)
			d.mesh.RequestHeartbeat()
		},
	})
	d.stallDetector = datastore.NewStallDetector(d.onGroupStalled, d.metrics)
	d.refusals = datastore.NewRefusals()
	d.rates = ratelimit.New(ratelimit.Config{
		Self:     fleet.DaemonID(d.settings.Name),
		Daemons:  d.daemonsSharingRates,
		Announce: d.broadcastRate,
		Events:   d.events,
	})
	d.pauses = ratelimit.NewPauses(d.events)
	d.cold = ratelimit.NewCold(ratelimit.ColdConfig{
		Self:      fleet.DaemonID(d.settings.Name),
		Daemons:   d.daemonsThatSend,
		Server:    d.coldServer,
		Overshoot: d.settings.ColdOvershoot,
		Slack:     d.settings.ColdSlack,
		Events:    d.events,
		Metrics:   d.metrics,
	})
	d.store = datastore.New(datastore.Config{
		Groups:       d.directory.Groups,
		Reports:      d.directory,
		Instances:    d.directory.Instances,
		Catalog:      d.catalog,
		Leaving:      d.directory.Leaving,
		RegionOf:     d.settings.RegionOf,
		Evacuated:    d.evacuations.IsEvacuated,
		PeerInFlight: d.mesh.PeerInFlight,
		Stalled:      d.stallDetector.Stalled,
		Unreachable:  func(fleet.InstanceID) bool { return d.env.ServerDialer.Unreachable() },
		Refusals:     d.refusals,
		Rates:        d.rates,
		Pauses:       d.pauses,
		Cold:         coldServers{d.cold, d},
		Limit:        groupLimit,
		Policy:       routing.DefaultPolicy(),
		Rand:         rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	})
	d.groupWatcher = datastore.NewGroupWatcher(d.store)
}

// createControl creates the components that make decisions and act on them.
func (d *Daemon) createControl() {
	d.elector = lease.NewElector(lease.ElectorConfig{
		Scope:              scopePlacement,
		Log:                d.env.Platform.Claims(scopePlacement),
		Member:             string(d.id),
		TTL:                scopeTTL,
		RenewInterval:      scopeRenewalInterval,
		IsPredecessor:      d.isFormerProcess,
		IsCandidate:        d.isCandidate,
		KnowsPeers:         d.knowsPeers,
		OutageConfirmed:    d.isOutageConfirmed,
		ShouldYield:        d.shouldYield,
		MaxOutageExtension: maxHoldInOutage,
		NotifyPeers:        d.mesh.SendHeartbeat,
		Elapsed:            d.env.Elapsed,
		Events:             d.events,
	})
	d.groupController = placement.NewGroupController(placement.GroupControllerConfig{
		Planner:        placement.NewPlanner(planningPolicy),
		Leases:         d.elector,
		Scope:          scopePlacement,
		Servers:        broadcastingDirectory{d.directory, d},
		Engines:        d.env.Platform.Engines,
		Wanted:         d.wantedGroups,
		InFlight:       d.totalInFlight,
		Evacuated:      d.evacuations.IsEvacuated,
		OnEngineFailed: d.onEngineUnresponsive,
		LinksLost:      d.env.ServerDialer.Lost,
		Events:         d.events,
		Metrics:        d.metrics,
		RejoinTime:     rejoinTime,
		StagedLoadTime: d.modelStagedTime,
		OpenTime:       d.maxOpenTime,
		ReportAge:      d.maxReportLag,
		SettleTime:     takeoverSettle,
		LoadLimits:     d.loadLimits,
		IsIdle:         d.isIdle,
	})
	d.admission = admission.NewController(admission.Config{
		Seed:       rand.Uint64(),
		NewLimiter: func() admission.Limiter { return admission.Fixed(admission.DefaultMax) },
	})
	d.dispatcher = dispatch.New(dispatch.Config{
		Self:           d.id,
		Zone:           fleet.Zone(d.settings.Zone),
		Router:         router{d.store, d.groupWatcher},
		Admission:      admissionAdapter{d.admission},
		Suspects:       d.detector,
		CatalogSource:  catalogAdapter{d},
		Opaques:        d.env.Platform.Opaques,
		LivenessProber: &sharedProber{prober: d.env.Platform.Liveness},
		StallDetector:  stallAdapter{d.stallDetector},
		Refusals:       unreachableServers{d.refusals, d},
		Rates:          d.rates,
		Pauses:         pauses{d},
		Leavers:        leavers{d},
		LinksLost:      d.env.ServerDialer.LostSignal,
		AnswerMemory:   d.plan.AnswerBytes,
		Daemons:        d.countDaemons,
		RetryRatio:     d.settings.RetryRatio,
		RetryBurst:     d.retryBurst,
		Events:         d.events,
		Metrics:        d.metrics,
		Timings:        dispatch.Timings{BackoffBase: retryBackoff, BackoffMax: retryBackoff, ConnectPatience: d.settings.ConnectPatience},
	})
}

// linkPolicies maps the values of the peer-links setting to policies.
var linkPolicies = map[string]membership.LinkPolicy{
	settings.LinksAuto:    membership.Hubs{},
	settings.LinksFull:    membership.FullMesh{},
	settings.LinksBounded: membership.Bounded{},
}

// Run serves until ctx is canceled, which stops everything immediately, or until
// a planned stop started by Drain has completed.
func (d *Daemon) Run(ctx context.Context) error {
	logging, endLogging := context.WithCancel(context.WithoutCancel(ctx))
	go d.spool.Run(logging)
	defer d.spool.Close()
	defer endLogging()
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
	d.events.Emit(eventStarted, "zone", d.settings.Zone, "callers", d.env.Callers.Addr(), "admin", d.env.Admin.Addr(),
		"peers", d.env.Peers.Addr(), "store", d.settings.Store, "first_start", d.settings.FirstStart)
	for _, s := range d.shortfalls {
		d.events.Emit(eventBoundShort, "reason", s)
	}
	d.events.Emit(eventClientLimits, "connections", d.plan.Connections, "bodies", d.plan.BodyBytes, "answers", d.plan.AnswerBytes,
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
	d.events.Emit(eventStopped)
	return nil
}

func (d *Daemon) backgroundTasks() []func(context.Context) {
	return []func(context.Context){
		d.mesh.Run,
		d.env.ServerDialer.Run,
		d.groupWatcher.Run,
		d.stallDetector.Run,
		d.elector.Run,
		d.groupController.Run,
		d.followOperator,
		d.followDocumentDeltas,
		d.watchEvacuations,
		d.followServers,
		d.followDaemons,
		d.announce,
		d.checkStore,
		d.detector.Run,
		d.keepVerdicts,
		d.repeatLeavers,
	}
}

// catalog returns the services that requests are routed to.
func (d *Daemon) catalog() *service.Catalog {
	if t := d.routes.Table(); t != nil {
		return t.Catalog
	}
	return &service.Catalog{}
}

func (d *Daemon) peerAddress() string {
	if d.settings.PeersAdvertise != "" {
		return d.settings.PeersAdvertise
	}
	return d.env.Peers.Addr().String()
}

// Ready reports whether the load balancer may send requests to this daemon and,
// if not, the reason.
func (d *Daemon) Ready() (bool, string) {
	switch {
	case d.draining.Load():
		return false, "stopping"
	case d.routes.Table() == nil:
		return false, "no routing document yet"
	case !d.hasServerList.Load():
		return false, "the list of backend servers was not read yet"
	default:
		return true, ""
	}
}

// HoldsLease reports whether this daemon holds the lease on the control work.
func (d *Daemon) HoldsLease() bool { return d.groupController.HoldsLease() }

// CountWholeGroups returns the number of groups of a service to which this
// daemon would send requests, regardless of their load.
func (d *Daemon) CountWholeGroups(name fleet.ServiceName) int {
	n := 0
	for _, c := range d.store.Candidates(name, time.Now()) {
		if c.Whole && !c.Draining && !c.Leaving && !c.Evacuated {
			n++
		}
	}
	return n
}

// boundServer is a listener and the server that uses it.
type boundServer struct {
	name     string
	listener net.Listener
	server   *http.Server
}

// CountPeers returns the number of other daemons that this one hears.
func (d *Daemon) CountPeers() int {
	n := 0
	d.anyRecentPeer(func(membership.Peer) bool { n++; return false })
	return n
}

// LinksToAll reports whether this daemon has links to all others, as far as it knows
// them.
func (d *Daemon) LinksToAll() bool { return d.mesh.IsHub() }
