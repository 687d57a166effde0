// Package runs runs whole systems in virtual time: the real daemons with
// simulated backend servers on an in-memory network, under a seeded schedule of
// faults, with callers that check every response. Call Run inside
// testing/synctest.
package runs

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"carawayproxy.example/caraway/internal/daemon"
	"carawayproxy.example/caraway/internal/fleet"
	"carawayproxy.example/caraway/internal/httpx"
	"carawayproxy.example/caraway/internal/journal"
	"carawayproxy.example/caraway/internal/settings"
	"carawayproxy.example/caraway/standin/platform"
	"carawayproxy.example/caraway/standin/runs/network"
)

// Addresses and ports on the in-memory network.
const (
	platformIP  = "10.0.0.1"
	callersIP   = "10.9.0.1"
	operatorsIP = "10.9.0.2"

	platformPort = "7300"
	callersPort  = "7400"
	adminPort    = "7401"
	peersPort    = "7402"
	backendPort  = "8000"
)

// One-way delays of the network.
const (
	zoneDelay   = 1500 * time.Microsecond
	callerDelay = 3 * time.Millisecond
)

// registerInterval is the interval between registrations with the platform.
const registerInterval = time.Second

// The log's retention is short, so that daemons that start in the second half of
// a run need snapshots. A snapshot must outlive the longest outage; it is at
// most snapshotInterval old when the outage begins.
const (
	retention        = 5 * time.Minute
	snapshotInterval = time.Minute
)

// Size is the number of hosts in a world.
type Size struct {
	Daemons int
	Fabrics int // fabric domains
	Engines int // per fabric domain
	Plains  int
}

// World is a whole simulated system. Its methods are safe for concurrent use.
type World struct {
	seed      uint64
	size      Size
	net       *network.Network
	platform  *platform.Platform
	daemons   []*daemonHost
	engines   []*engineHost
	plains    []*plainHost
	client    *http.Client // of callers and operators
	ctx       context.Context
	stop      context.CancelFunc
	tasks     sync.WaitGroup
	monitor   *monitor
	logOutput io.Writer // log of the daemons, nil for none
	// snapshotInterval is the interval between two snapshots of a stream.
	snapshotInterval time.Duration
	settings         drawnSettings
}

// newWorld starts the platform, the backend servers and the daemons.
func newWorld(o Options, m *monitor) (*World, error) {
	size := o.size
	ctx, stop := context.WithCancel(context.Background())
	w := &World{
		seed:      o.Seed,
		size:      size,
		net:       network.New(delay),
		ctx:       ctx,
		stop:      stop,
		monitor:   m,
		logOutput: o.Log,

		snapshotInterval: o.snapshotInterval,
		settings:         o.settings,
		platform: &platform.Platform{
			Log:       platform.NewLog(platform.LogConfig{Retention: retention}),
			Instances: platform.NewInstances(platform.InstancesConfig{}),
			Weights:   platform.NewWeights(platform.WeightsConfig{}),
		},
	}
	w.client = httpx.NewClient(w.net.Host(callersIP).Dial)
	if err := w.serve(ctx, w.net.Host(platformIP), platformPort, w.platform.Handler()); err != nil {
		return nil, err
	}
	for i := range size.Fabrics * size.Engines {
		fabric := fleet.FabricDomain(fmt.Sprintf("fabric-%d", i%size.Fabrics))
		w.engines = append(w.engines, newEngineHost(w, i, fabric))
	}
	for i := range size.Plains {
		w.plains = append(w.plains, newPlainHost(w, i))
	}
	for i := range size.Daemons {
		w.daemons = append(w.daemons, newDaemonHost(w, i))
	}
	return w, w.start()
}

func (w *World) start() error {
	for _, e := range w.engines {
		if err := e.start(); err != nil {
			return err
		}
	}
	for _, p := range w.plains {
		if err := p.start(); err != nil {
			return err
		}
	}
	for _, d := range w.daemons {
		if err := d.start(); err != nil {
			return err
		}
	}
	return nil
}

// close stops everything and waits until it has ended.
func (w *World) close() {
	for _, d := range w.daemons {
		d.kill()
	}
	for _, e := range w.engines {
		e.kill()
	}
	for _, p := range w.plains {
		p.kill()
	}
	w.stop()
	w.client.CloseIdleConnections()
	w.tasks.Wait()
	w.client.CloseIdleConnections()
}

// serve runs an HTTP server on a host until ctx ends.
func (w *World) serve(ctx context.Context, h *network.Host, port string, handler http.Handler) error {
	l, err := h.Listen(port)
	if err != nil {
		return err
	}
	server := httpx.NewServer(uncompressed(handler), nil)
	w.tasks.Go(func() { _ = server.Serve(l) })
	w.tasks.Go(func() {
		<-ctx.Done()
		_ = server.Close()
	})
	return nil
}

// uncompressed disables the compression of a handler's responses, which would
// take a quarter of a run's processor time.
func uncompressed(h http.Handler) http.Handler {
	return http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		r.Header.Del("Accept-Encoding")
		r.Header.Del("Connect-Accept-Encoding")
		h.ServeHTTP(rw, r)
	})
}

// register registers an instance with the platform every second until ctx ends.
func (w *World) register(ctx context.Context, r platform.Registration) {
	for {
		w.platform.Instances.Register(r)
		select {
		case <-time.After(registerInterval):
		case <-ctx.Done():
			return
		}
	}
}

func delay(from, to string) time.Duration {
	if from == callersIP || to == callersIP {
		return callerDelay
	}
	return zoneDelay
}

// zoneOf returns the availability zone of instance i; instances are spread
// evenly over the zones.
func zoneOf(i int) fleet.Zone {
	return fleet.Zone([]string{"pokhara-a", "pokhara-b", "syangja"}[i%3])
}

// daemonHost is a host that runs at most one daemon at a time.
type daemonHost struct {
	world  *World
	number int
	ip     string

	mu      sync.Mutex
	running *daemon.Daemon // nil while no daemon runs
	host    *network.Host
	cancel  context.CancelFunc
	ended   chan struct{} // closed when Run has returned
	starts  int
	upSince time.Time
	// killOnDrain turns a planned stop into a kill; set only by tests of the
	// checkers.
	killOnDrain bool
}

func newDaemonHost(w *World, i int) *daemonHost {
	return &daemonHost{world: w, number: i, ip: fmt.Sprintf("10.1.0.%d", i+1)}
}

func (d *daemonHost) settings() *settings.Settings {
	level := "error" // avoids the cost of log lines that are discarded
	if d.world.logOutput != nil {
		level = "info"
	}
	return &settings.Settings{
		Name:             fmt.Sprintf("s%d-d%d", d.world.seed, d.number),
		Zone:             string(zoneOf(d.number)),
		CallersListen:    d.ip + ":" + callersPort,
		AdminListen:      d.ip + ":" + adminPort,
		PeersListen:      d.ip + ":" + peersPort,
		Platform:         platformIP + ":" + platformPort,
		LedgerShards:     2,
		PlacementScopes:  2,
		KeyWindow:        24 * time.Hour,
		AppendRate:       30,
		SnapshotEvery:    d.world.snapshotInterval,
		DrainGrace:       time.Second,
		DrainTimeout:     30 * time.Second,
		MaxBodyBytes:     1 << 20,
		MaxConnections:   4096,
		LogLevel:         level,
		ExplainDecisions: 0,
		WhenCutOff:       d.world.settings.cutOff,
		WhenFlooded:      d.world.settings.flooded,
	}
}

// start starts a new daemon unless one is running.
func (d *daemonHost) start() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.running != nil {
		return nil
	}
	d.host = d.world.net.Host(d.ip)
	var logs io.Writer = io.Discard
	if d.world.logOutput != nil {
		logs = d.world.logOutput
	}
	env := daemon.Env{Dial: d.host.Dial, Log: logs, Seed: d.world.seed*1000 + uint64(d.number*50+d.starts) + 1}
	for port, target := range map[string]*net.Listener{callersPort: &env.Callers, adminPort: &env.Admin, peersPort: &env.Peers} {
		l, err := d.host.Listen(port)
		if err != nil {
			return err
		}
		*target = l
	}
	running, err := daemon.New(d.settings(), env)
	if err != nil {
		return errors.Wrap(err, "start daemon")
	}
	ctx, cancel := context.WithCancel(d.world.ctx)
	d.running, d.cancel, d.ended = running, cancel, make(chan struct{})
	d.starts++
	d.world.tasks.Go(d.countStart)
	d.upSince = time.Now()
	ended, host := d.ended, d.host
	d.world.tasks.Go(func() {
		_ = running.Run(ctx)
		host.Kill()
		close(ended)
	})
	d.world.tasks.Go(func() { d.registerUntilEnded(ctx, ended) })
	return nil
}

// countStart counts a start at which the first configuration record has expired.
func (d *daemonHost) countStart() {
	page, err := d.world.platform.Log.Read(d.world.ctx, journal.StreamConfig, 0, 1, 0)
	if err == nil && page.Oldest > 0 {
		d.world.monitor.count("daemons started behind expired records")
	}
}

func (d *daemonHost) registerUntilEnded(ctx context.Context, ended <-chan struct{}) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	d.world.tasks.Go(func() {
		d.world.register(ctx, platform.Registration{
			ID: fleet.InstanceID("daemon-" + d.ip), Address: d.ip + ":" + peersPort,
			Zone: zoneOf(d.number), Kind: fleet.KindDaemon,
		})
	})
	<-ended
}

// kill ends the daemon as kill -9 does.
func (d *daemonHost) kill() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.running == nil {
		return
	}
	d.host.Kill()
	d.cancel()
	<-d.ended
	d.running = nil
}

// drain starts a planned stop and waits until the daemon has ended.
func (d *daemonHost) drain() {
	running, _ := d.daemon()
	if running == nil {
		return
	}
	if d.killOnDrain {
		d.kill()
		return
	}
	running.Drain()
	d.mu.Lock()
	ended := d.ended
	d.mu.Unlock()
	<-ended
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.running == running {
		d.cancel()
		d.running = nil
	}
}

// daemon returns the running daemon, or nil, and the time of its start.
func (d *daemonHost) daemon() (*daemon.Daemon, time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.running, d.upSince
}
