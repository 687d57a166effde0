package site

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"carawayproxy.example/caraway/internal/edge"
	"carawayproxy.example/caraway/internal/fleet"
	"carawayproxy.example/caraway/internal/httpx"
	"carawayproxy.example/caraway/internal/reach"
	"carawayproxy.example/caraway/internal/routes"
	"carawayproxy.example/caraway/internal/settings"
	"carawayproxy.example/caraway/platform"
	"carawayproxy.example/caraway/standin/runs/network"
)

// Names in the routing document.
const (
	EngineService = "engines"
	PlainService  = "plains"
	HostName      = "site.example"
	Key           = "key-of-trust"
	Workspace     = "trust"
	ModelOfTwo    = "duo"
	ModelOfThree  = "trio"
)

// ModelService returns the service that requests for a model are routed to.
func ModelService(model string) fleet.ServiceName { return routes.ModelService(EngineService, model) }

// Ports and addresses of the hosts, and settings of the simulated platform.
const (
	portStore, portServer                = "8000", "8001"
	portCallers, portReady               = "7400", "7403"
	portAdmin, portPeers                 = "7401", "7402"
	storeIP, callerIP                    = "10.0.0.1", "10.9.0.1"
	delayOneWay                          = time.Millisecond
	heartbeatInterval                    = 1200 * time.Millisecond // of backend servers to the server list
	domainSize                           = 8
	leadTime               time.Duration = 8 * time.Second
)

// Options set the size of a world.
type Options struct {
	Daemons, Engines, Plains int
	// Zones is the number of availability zones that the daemons are in, 1 if zero.
	// The first three of each zone have more processors than the others.
	Zones int
	// ServerZones is the number of availability zones that the backend servers are in, 1
	// if zero. All engines of a fabric domain are in one.
	ServerZones int
	// Regions are the regions of the zones, nil if daemons are told none.
	Regions map[string]string
	// NamesNoEra is set for a store that names no era before its first drill.
	NamesNoEra bool
	// Cold is set if engines are cold after a start during traffic.
	Cold ColdServers
	// Bound is how long daemons may go on with a server that leaves, and with an earlier
	// version of the routing document, the settings' default if zero.
	Bound time.Duration
	Log   io.Writer // log of the daemons, nil for none
}

// World is a simulated platform with backend servers and daemons. Use it inside
// testing/synctest, except for one made by NewBackends.
type World struct {
	Net     *network.Network // nil for a world made by NewBackends
	Store   *Store
	Engines []*Engine
	Plains  []*Plain
	Daemons []*Daemon

	hosts   Hosts
	cold    ColdServers
	shared  *sharedState
	started time.Time
	ctx     context.Context
	stop    context.CancelFunc
	tasks   sync.WaitGroup
	client  *http.Client
	log     io.Writer
	bound   time.Duration     // as in Options
	regions map[string]string // as in Options
}

// Daemon is one daemon of a world.
type Daemon struct {
	world *World
	ip    string
	name  string
	zone  string
	// processors is the number of cores that it is told it may use.
	processors float64
	host       *network.Host
	current    atomic.Pointer[edge.Daemon] // of the last start
	stop       context.CancelFunc
	done       chan struct{}
	links      links
}

// Host is a machine that backend servers and the store listen on.
type Host interface {
	Addr(port string) string
	Listen(port string) (net.Listener, error)
}

// Hosts returns the machines of a world by their IP addresses.
type Hosts interface {
	Host(ip string) Host
	// Freeze stops all responses of a machine, where the implementation can.
	// The servers of a dead engine block requests in any case.
	Freeze(ip string)
}

// memoryHosts is the Hosts implementation on an in-memory network.
type memoryHosts struct{ *network.Network }

// Host implements Hosts.
func (m memoryHosts) Host(ip string) Host { return m.Network.Host(ip) }

// New starts a world and its daemons on an in-memory network.
func New(o Options) (*World, error) {
	net := network.New(func(_, _ string) time.Duration { return delayOneWay })
	w, err := NewBackends(o, memoryHosts{net}, net.Host(callerIP).Dial)
	if err != nil {
		return nil, err
	}
	w.Net = net
	for i := range o.Daemons {
		zones := max(o.Zones, 1)
		d := &Daemon{world: w, ip: fmt.Sprintf("10.1.0.%d", i+1), name: fmt.Sprintf("edge-%d", i+1), zone: string(rune('a' + i%zones)), processors: 0.2}
		if i < 3*zones {
			d.processors = 0.8
		}
		w.Daemons = append(w.Daemons, d)
		if err := d.Start(true); err != nil {
			return nil, err
		}
	}
	return w, nil
}

// NewBackends starts a store and backend servers without daemons. Callers
// connect by dial.
func NewBackends(o Options, hosts Hosts, dial httpx.DialFunc) (*World, error) {
	ctx, stop := context.WithCancel(context.Background())
	w := &World{
		Store:   NewStore(),
		hosts:   hosts,
		cold:    o.Cold,
		shared:  newSharedState(),
		started: time.Now(),
		ctx:     ctx,
		stop:    stop,
		log:     o.Log,
		bound:   o.Bound,
		regions: o.Regions,
	}
	if w.log == nil {
		w.log = io.Discard
	}
	if o.NamesNoEra {
		w.Store.SetEra(0)
	}
	w.client = &http.Client{Transport: &http.Transport{DialContext: dial, DisableKeepAlives: true, DisableCompression: true}}
	if _, err := w.serve(hosts.Host(storeIP), portStore, w.Store.Handler()); err != nil {
		return nil, err
	}
	w.Publish(w.Document(1))
	for i := range o.Engines {
		if err := w.addEngine(i, serverZone(o, i/domainSize)); err != nil {
			return nil, err
		}
	}
	for i := range o.Plains {
		if err := w.addPlain(i, serverZone(o, i)); err != nil {
			return nil, err
		}
	}
	return w, nil
}

// StoreAddress returns the address on which the store listens.
func (w *World) StoreAddress() string { return w.hosts.Host(storeIP).Addr(portStore) }

// Close stops everything that the world started.
func (w *World) Close() {
	for _, d := range w.Daemons {
		d.Kill()
	}
	w.stop()
	w.client.CloseIdleConnections()
	w.tasks.Wait()
}

func (w *World) serve(h Host, port string, handler http.Handler) (*http.Server, error) {
	l, err := h.Listen(port)
	if err != nil {
		return nil, err
	}
	s := &http.Server{Handler: handler, ErrorLog: log.New(io.Discard, "", 0)}
	w.tasks.Go(func() { _ = s.Serve(l) }) // returns on Close
	w.tasks.Go(func() {
		<-w.ctx.Done()
		_ = s.Close()
	})
	return s, nil
}

// runAfter runs f after a delay unless the world is closed first.
func (w *World) runAfter(after time.Duration, f func()) {
	w.tasks.Go(func() {
		select {
		case <-time.After(after):
			f()
		case <-w.ctx.Done():
		}
	})
}

// inLeadTime reports whether the world is in its lead time, before the first
// requests, when loads take a tenth of their usual time.
func (w *World) inLeadTime() bool { return time.Since(w.started) < leadTime }

// serverZone returns the zone of a fabric domain or plain server, by its number.
func serverZone(o Options, n int) string { return string(rune('a' + n%max(o.ServerZones, 1))) }

func (w *World) addEngine(i int, zone string) error {
	ip := fmt.Sprintf("10.2.0.%d", i+1)
	h := w.hosts.Host(ip)
	name := fmt.Sprintf("i-%02d", i)
	e := &Engine{
		world: w, name: name, ID: name, addr: h.Addr(portServer), host: h, incarnation: 1, zone: zone,
		domain: fmt.Sprintf("domain-%d", i/domainSize), staged: []string{},
	}
	return e.start()
}

func (w *World) addPlain(i int, zone string) error {
	h := w.hosts.Host(fmt.Sprintf("10.3.0.%d", i+1))
	name := fmt.Sprintf("p-%02d", i)
	p := &Plain{world: w, name: name, ID: name, zone: zone, addr: h.Addr(portServer), host: h}
	w.Plains = append(w.Plains, p)
	p.announce("ready")
	return p.start()
}

// Update runs f, which changes the behaviour of backend servers, with the lock
// of World.shared held.
func (w *World) Update(f func()) {
	w.shared.mu.Lock()
	defer w.shared.mu.Unlock()
	f()
}

// FreezeEngine makes an engine permanently unresponsive. The server list drops it
// after three heartbeats (3.6 s).
func (w *World) FreezeEngine(e *Engine) {
	w.Update(func() { e.dead = true })
	w.hosts.Freeze(strings.TrimSuffix(e.addr, ":"+portServer))
	w.expireEntry(e.ID)
}

// expireEntry removes an entry of the server list after three heartbeats.
func (w *World) expireEntry(id string) {
	w.runAfter(3*heartbeatInterval, func() { w.Store.Put("keyed.servers", id, nil) })
}

// Violations returns the violations of the engines' rules so far.
func (w *World) Violations() []string {
	w.shared.mu.Lock()
	defer w.shared.mu.Unlock()
	return append([]string(nil), w.shared.violations...)
}

// CrashEngine ends an engine's process for no reason of any request. It starts
// again after restartTime with another id.
func (w *World) CrashEngine(e *Engine) { e.crash("") }

// RunCount returns how many times a request was started on a server.
func (w *World) RunCount(id string) int {
	w.shared.mu.Lock()
	defer w.shared.mu.Unlock()
	return w.shared.runs[id]
}

// OpenGroups returns the number of open groups of a model that are whole.
func (w *World) OpenGroups(model string) int {
	w.shared.mu.Lock()
	defer w.shared.mu.Unlock()
	n := 0
	for _, e := range w.shared.engines {
		m := e.membership
		if m != nil && !e.dead && m.Rank == 0 && m.State == "open" && m.model == model && w.shared.whole(m) {
			n++
		}
	}
	return n
}

// Member returns a live engine of the given rank in an open or closing group of
// a model, or nil.
func (w *World) Member(model string, rank int) *Engine {
	w.shared.mu.Lock()
	defer w.shared.mu.Unlock()
	for _, e := range w.Engines {
		if m := e.membership; m != nil && !e.dead && m.Rank == rank && m.model == model && w.shared.groupLeaderServes(m) {
			return e
		}
	}
	return nil
}

// OrderCount returns the number of orders that the engines have received.
func (w *World) OrderCount() int {
	w.shared.mu.Lock()
	defer w.shared.mu.Unlock()
	n := 0
	for _, e := range w.shared.engines {
		n += e.orders
	}
	return n
}

// Publish stores a routing document as the newest one.
func (w *World) Publish(document map[string]any) {
	body, err := json.Marshal(document)
	if err != nil {
		panic(err)
	}
	w.Store.Put("keyed.op", "config", body)
}

// Document returns a routing document of the given version, with one route each
// for streaming, safe and unsafe requests.
func Document(version int) map[string]any {
	route := func(name, kind, service string, attempts int) map[string]any {
		return map[string]any{
			"name": name, "host": HostName, "pathPrefix": "/" + name + "/", "routeKind": kind, "timeoutMs": 8000, "sloMs": 400,
			"gapSloMs": 300, "priority": 1, "service": service, "maxAttempts": attempts, "resumable": kind == "streaming", "sticky": kind == "streaming",
		}
	}
	model := func(name string, size int) map[string]any {
		return map[string]any{"name": name, "size": size, "share": 0.5, "pace": 1.0, "loadS": loadTime.Seconds(), "warmS": stagedTime.Seconds()}
	}
	return map[string]any{
		"version": version,
		"routes": []any{
			route("stream", "streaming", EngineService, 3),
			route("safe", "safe", PlainService, 2),
			route("unsafe", "unsafe", PlainService, 1),
		},
		"services": []any{
			map[string]any{"name": EngineService, "healthPath": "/healthz", "maxConns": 200, "engine": map[string]any{
				"slots": Slots, "step_ms": 8.0, "per_seq_ms": 0.1, "read_per_s": 45000.0, "formMs": 300.0, "loadsPerS": 5.0, "loads_at_once": 7, "report_lag_ms": 200.0,
				"models": []any{model(ModelOfThree, 3), model(ModelOfTwo, 2)},
			}},
			map[string]any{"name": PlainService, "healthPath": "/healthz", "maxConns": 100},
		},
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 1 << 20, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []any{map[string]any{"name": Workspace, "apiKeys": []string{Key}, "priority": 1}},
	}
}

// Start starts a daemon, or restarts it after Kill.
func (d *Daemon) Start(first bool) error {
	d.host = d.world.Net.Host(d.ip)
	args := []string{
		"--name=" + d.name, "--availability-zone=" + d.zone, fmt.Sprintf("--processors=%g", d.processors), "--store=" + storeIP + ":" + portStore,
		"--callers-listen=" + d.host.Addr(portCallers), "--readiness-listen=" + d.host.Addr(portReady),
		"--admin-listen=" + d.host.Addr(portAdmin), "--peers-listen=" + d.host.Addr(portPeers),
		"--drain-grace=2500ms", "--drain-timeout=8s",
	}
	args = append(args, d.world.cold.arguments()...)
	if first {
		args = append(args, "--first-start")
	}
	for zone, region := range d.world.regions {
		args = append(args, "--region="+zone+"="+region)
	}
	if bound := d.world.bound; bound > 0 {
		args = append(args, "--leaving-bound="+bound.String(), "--document-bound="+bound.String())
	}
	set, err := settings.Parse(args)
	if err != nil {
		return err
	}
	env := edge.Env{Dial: d.links.dialer(d.host.Dial), Log: d.world.log, Elapsed: func() time.Duration { return time.Since(d.world.started) }}
	if env.Callers, err = d.host.Listen(portCallers); err != nil {
		return err
	}
	if env.Readiness, err = d.host.Listen(portReady); err != nil {
		return err
	}
	if env.Admin, err = d.host.Listen(portAdmin); err != nil {
		return err
	}
	if env.Peers, err = d.host.Listen(portPeers); err != nil {
		return err
	}
	env.ServerDialer = reach.NewDialer(env.Dial)
	env.Platform = platform.New(env.Dial, env.ServerDialer.DialContext, set.Store)
	run, err := edge.New(set, env)
	if err != nil {
		return err
	}
	d.current.Store(run)
	ctx, stop := context.WithCancel(d.world.ctx)
	d.stop, d.done = stop, make(chan struct{})
	done := d.done
	go func() {
		defer close(done)
		_ = run.Run(ctx) // returns no error of its own
	}()
	return nil
}

// Kill ends a daemon as a killed process ends: its connections break at once.
func (d *Daemon) Kill() {
	d.host.Kill()
	d.stop()
	<-d.done
}

// Drain starts a planned stop and returns when the daemon has ended.
func (d *Daemon) Drain() {
	d.process().Drain()
	<-d.done
}

// HoldsLease reports whether the daemon holds the placement scope.
func (d *Daemon) HoldsLease() bool { return d.process().HoldsLease() }

// process returns the daemon of the last start. It may be called while another one starts.
func (d *Daemon) process() *edge.Daemon { return d.current.Load() }

// URL returns the URL of a path on the daemon's listener for callers.
func (d *Daemon) URL(path string) string {
	return "http://" + net.JoinHostPort(d.ip, portCallers) + path
}
