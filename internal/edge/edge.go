// Package edge puts a daemon together that passes requests on as they come,
// in front of backend servers that announce themselves and keep their own
// place in replica groups. What must last or be agreed is in the platform's
// record store.
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
	"carawayproxy.example/caraway/internal/datastore"
	"carawayproxy.example/caraway/internal/directory"
	"carawayproxy.example/caraway/internal/dispatch"
	"carawayproxy.example/caraway/internal/entry"
	"carawayproxy.example/caraway/internal/event"
	"carawayproxy.example/caraway/internal/feed"
	"carawayproxy.example/caraway/internal/fleet"
	"carawayproxy.example/caraway/internal/httpx"
	"carawayproxy.example/caraway/internal/lease"
	"carawayproxy.example/caraway/internal/membership"
	"carawayproxy.example/caraway/internal/placement"
	"carawayproxy.example/caraway/internal/routes"
	"carawayproxy.example/caraway/internal/routing"
	"carawayproxy.example/caraway/internal/service"
	"carawayproxy.example/caraway/internal/settings"
)

// Platform is what a daemon needs of the operators' platform.
type Platform struct {
	Documents feed.Source[*routes.Document]
	Servers   feed.Source[directory.Server]
	Daemons   feed.Source[string]
	// Announce tells the other daemons where this one can be reached.
	Announce func(ctx context.Context, name, address string) error
	// Claims returns the log in which daemons agree who holds a scope of control
	// work.
	Claims    func(scope lease.Scope) lease.ClaimLog
	Engines   placement.GroupEngines
	Opaques   backend.Opaques
	Codec     entry.Codec
	ReadyPath string
}

// Env is what a daemon takes from outside.
type Env struct {
	Callers, Readiness, Admin, Peers net.Listener
	Dial                             httpx.DialFunc
	Platform                         Platform
	// Log takes the log lines.
	Log io.Writer
	// Elapsed is a clock that also runs while the machine is suspended.
	Elapsed func() time.Duration
}

// scopePlacement is the one scope of control work: forming groups.
const scopePlacement lease.Scope = "placement"

// Daemon is one running carawayd.
type Daemon struct {
	id      fleet.DaemonID
	set     *settings.Settings
	env     Env
	spool   *event.Spool
	events  *event.Logger
	metrics metrics.Registry

	routes    *routes.Book
	directory *directory.Directory
	mesh      *membership.Mesh
	store     *datastore.Store
	lapses    *datastore.Lapses
	pulses    *datastore.Pulses
	refusals  *datastore.Refusals
	failures  *recent[fleet.InstanceID]
	stalls    *recent[fleet.GroupID]

	tenure     *lease.Tenure
	conductor  *placement.Conductor
	admission  *admission.Controller
	dispatcher *dispatch.Dispatcher

	listed   atomic.Bool  // the list was read whole
	readAt   atomic.Int64 // when the list was read last, in nanoseconds since the start
	leaderAt atomic.Int64 // when another daemon was last heard to lead
	// storeAway is set until the store has answered this daemon and while it
	// does not. peersThen is how many peers were heard when it last did.
	storeAway atomic.Bool
	// vouchedAt is when the peers last told that it answers none of them.
	peersThen, vouchedAt atomic.Int64
	seen                 seenPositions
	missed               chan struct{} // wakes the read of the document
	answers              atomic.Uint64 // of engines that this daemon has posted
	demand               demand
	places               placeBook
	draining             atomic.Bool
	drainNow             chan struct{}
	drain                sync.Once
	started              time.Time
}

// New puts a daemon together from checked settings; nothing runs yet.
func New(set *settings.Settings, env Env) (*Daemon, error) {
	level, err := log.ParseLevel(set.LogLevel)
	if err != nil {
		return nil, err
	}
	d := &Daemon{
		id:       set.DaemonID(),
		set:      set,
		env:      env,
		metrics:  metrics.NewRegistry(),
		routes:   &routes.Book{},
		failures: newRecent[fleet.InstanceID](),
		stalls:   newRecent[fleet.GroupID](),
		drainNow: make(chan struct{}),
		missed:   make(chan struct{}),
		started:  time.Now(),
	}
	d.spool = event.NewSpool(env.Log, level, d.metrics)
	d.events = event.NewSpooled(d.spool).With("daemon", d.id)
	d.storeAway.Store(true)
	d.see()
	d.act()
	return d, nil
}

// see makes the parts that watch the present.
func (d *Daemon) see() {
	d.directory = directory.New(directory.Config{
		ReturnGrace: returnGrace,
		SizeOf:      d.sizeOf,
		ServiceOf:   routes.ModelService,
		Generates:   d.generates,
	})
	d.mesh = membership.NewMesh(membership.Config{
		Self:        d.id,
		Address:     d.peerAddress(),
		Zone:        fleet.Zone(d.set.Zone),
		Incarnation: uint64(d.started.UnixNano()),
		Source:      d,
		Dial:        d.env.Dial,
		OnSilent:    d.heardSilent,
		OnStalled:   d.heardStalled,
		OnBulletins: d.heardBulletins,
		Loads:       func() map[fleet.GroupID]uint32 { return d.store.InFlight() },
		Policy:      linkPolicies[d.set.PeerLinks],
		Events:      d.events,
		Metrics:     d.metrics,
	})
	d.pulses = datastore.NewPulses(d.foundStalled)
	d.refusals = datastore.NewRefusals()
	d.store = datastore.New(datastore.Config{
		Groups:       d.directory.Groups,
		Reports:      d.directory,
		Instances:    d.directory.Instances,
		Catalog:      d.catalog,
		Leaving:      d.directory.Leaving,
		PeerInFlight: d.peerInFlight,
		Silent:       d.pulses.Silent,
		Refusals:     d.refusals,
		Limit:        limitOf,
		Policy:       routing.DefaultPolicy(),
		Rand:         rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	})
	d.lapses = datastore.NewLapses(d.store)
}

// act makes the parts that decide and act.
func (d *Daemon) act() {
	d.tenure = lease.NewTenure(lease.TenureConfig{
		Scope:      scopePlacement,
		Log:        d.env.Platform.Claims(scopePlacement),
		Member:     string(d.id),
		TTL:        scopeTTL,
		Every:      scopeRenewal,
		Former:     d.former,
		Stands:     d.stands,
		Vouched:    d.vouched,
		MaxVouched: maxVouched,
		Tell:       d.mesh.Beat,
		Elapsed:    d.env.Elapsed,
		Events:     d.events,
	})
	d.conductor = placement.NewConductor(placement.ConductorConfig{
		Planner:   placement.NewPlanner(planningPolicy),
		Leases:    d.tenure,
		Scope:     scopePlacement,
		Servers:   telling{d.directory, d},
		Engines:   d.env.Platform.Engines,
		Wanted:    d.wanted,
		InFlight:  d.inFlightEverywhere,
		Failed:    d.foundDown,
		Events:    d.events,
		Rejoin:    rejoinTime,
		Staged:    d.stagedTime,
		Open:      d.openTime,
		ReportLag: d.reportLag,
		Settle:    takeoverSettle,
		Loads:     d.loadLimits,
		Idle:      d.idle,
	})
	d.admission = admission.NewController(admission.Config{
		Seed:       rand.Uint64(),
		NewLimiter: func() admission.Limiter { return admission.Fixed(admission.DefaultMax) },
	})
	d.dispatcher = dispatch.New(dispatch.Config{
		Self:       d.id,
		Zone:       fleet.Zone(d.set.Zone),
		Router:     router{d.store, d.lapses},
		Admission:  gate{d.admission},
		Suspects:   noSuspects{},
		Knowledge:  knowledge{d},
		Opaques:    d.env.Platform.Opaques,
		Pulse:      pulse{d.pulses},
		Refusals:   d.refusals,
		Daemons:    d.daemons,
		RetryRatio: d.set.RetryRatio,
		RetryBurst: d.retryBurst,
		Events:     d.events,
		Metrics:    d.metrics,
		Timings:    dispatch.Timings{BackoffBase: retryBackoff, BackoffMax: retryBackoff},
	})
}

var linkPolicies = map[string]membership.LinkPolicy{
	"full":    membership.FullMesh{},
	"bounded": membership.Bounded{},
}

// Run serves until ctx ends, which stops everything at once, or until a
// planned stop that Drain began has ended.
func (d *Daemon) Run(ctx context.Context) error {
	logging, endLogging := context.WithCancel(context.WithoutCancel(ctx))
	go d.spool.Run(logging)
	defer d.spool.Close()
	defer endLogging()
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
	d.events.Emit(eventStarted, "zone", d.set.Zone, "callers", d.env.Callers.Addr(), "admin", d.env.Admin.Addr(),
		"peers", d.env.Peers.Addr(), "store", d.set.Store, "first_start", d.set.FirstStart)
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
	d.events.Emit(eventStopped)
	return nil
}

func (d *Daemon) parts() []func(context.Context) {
	return []func(context.Context){
		d.mesh.Run,
		d.lapses.Run,
		d.pulses.Run,
		d.tenure.Run,
		d.conductor.Run,
		d.followDocument,
		d.followServers,
		d.followDaemons,
		d.announce,
		d.checkStore,
		d.findMissed,
	}
}

// catalog names what requests are routed to.
func (d *Daemon) catalog() *service.Catalog {
	if t := d.routes.Table(); t != nil {
		return t.Catalog
	}
	return &service.Catalog{}
}

func (d *Daemon) peerAddress() string {
	if d.set.PeersAdvertise != "" {
		return d.set.PeersAdvertise
	}
	return d.env.Peers.Addr().String()
}

// Ready reports whether the balancer may send callers here, and why not.
func (d *Daemon) Ready() (bool, string) {
	switch {
	case d.draining.Load():
		return false, "stopping"
	case d.routes.Table() == nil:
		return false, "no routing document yet"
	case !d.listed.Load():
		return false, "the list of backend servers was not read yet"
	default:
		return true, ""
	}
}

// Leads reports whether this daemon does the control work now.
func (d *Daemon) Leads() bool { return d.conductor.Leads() }

// Whole counts the groups of a service that this daemon would send requests to,
// load aside.
func (d *Daemon) Whole(name fleet.ServiceName) int {
	n := 0
	for _, c := range d.store.Candidates(name, time.Now()) {
		if c.Whole && !c.Draining && !c.Leaving {
			n++
		}
	}
	return n
}

// endpoint is one listener with its server.
type endpoint struct {
	name     string
	listener net.Listener
	server   *http.Server
}
