package membership

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"carawayproxy.example/caraway/internal/fleet"
)

// Mesh maintains the links to the other daemons and the state that they send. It
// is safe for concurrent use.
type Mesh struct {
	cfg                Config
	client             *http.Client
	meters             meters
	pending            *pendingRequests
	view               atomic.Pointer[View]
	heartbeatRequested atomic.Bool // send the next heartbeat early
	loadsSentAt        time.Time   // last sendLoads, used by runHeartbeats only
	totalsSentAt       time.Time   // last sendTotals, used by runHeartbeats only
	totals             atomic.Pointer[totals]
	topology           atomic.Pointer[topology]
	// heartbeatReceived wakes the relay after a heartbeat.
	heartbeatReceived chan struct{}
	// endpointsChanged wakes runDialers after a change of the known endpoints.
	endpointsChanged chan struct{}

	gossipHandling sync.Mutex // held while a message of gossip is handled

	mu        sync.Mutex
	running   context.Context // nil while Run is not running
	tasks     sync.WaitGroup
	endpoints []Endpoint
	known     map[string]bool // addresses of endpoints
	wanted    map[string]bool // used by expectedLinks only
	extra     []string        // addresses to dial besides the chosen ones
	links     map[fleet.DaemonID]*link
	table     *table
	loads     *peerLoads
	gossip    *gossipBuffer
	sequence  uint64
	tickedAt  time.Time
	resumedAt time.Time
	viewStale bool // the table has changed since the view was built
}

// NewMesh returns a mesh, which is idle until Run.
func NewMesh(cfg Config) *Mesh {
	cfg = cfg.withDefaults()
	_, full := cfg.Policy.(FullMesh)
	m := &Mesh{
		cfg:               cfg,
		client:            &http.Client{Transport: &http.Transport{DialContext: cfg.Dial, DisableKeepAlives: true}},
		meters:            newMeters(cfg.Metrics),
		pending:           newPendingRequests(),
		heartbeatReceived: make(chan struct{}, 1),
		endpointsChanged:  make(chan struct{}, 1),
		wanted:            map[string]bool{},
		links:             map[fleet.DaemonID]*link{},
		table:             newTable(),
		loads:             newPeerLoads(),
		gossip:            newGossipBuffer(!full),
	}
	m.view.Store(&View{Peers: map[fleet.DaemonID]Peer{}})
	m.updateTopology()
	return m
}

// Run dials the known endpoints, sends heartbeats and relays records. It
// returns when ctx has ended and all links are closed. It must be called only
// once.
func (m *Mesh) Run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	m.mu.Lock()
	m.running = ctx
	m.tickedAt = time.Now()
	m.publish(m.tickedAt)
	m.mu.Unlock()

	m.spawn(func() { m.runDialers(ctx) })
	if len(m.cfg.Replicas) > 0 {
		m.spawn(func() { m.runRelay(ctx) })
	}
	m.runHeartbeats(ctx)

	m.mu.Lock()
	m.running = nil
	m.mu.Unlock()
	m.tasks.Wait()
	m.client.CloseIdleConnections()
}

// spawn runs f in a goroutine that Run waits for, and reports whether it did. It
// does nothing while the mesh is not running.
func (m *Mesh) spawn(f func()) bool {
	if !m.addTask() {
		return false
	}
	go func() {
		defer m.tasks.Done()
		f()
	}()
	return true
}

// addTask adds the calling goroutine to the tasks that Run waits for. It reports
// false while the mesh is not running.
func (m *Mesh) addTask() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.running == nil {
		return false
	}
	m.tasks.Add(1)
	return true
}

// SetAddresses replaces the known endpoints. Their zones are learned from the
// peers' hellos.
func (m *Mesh) SetAddresses(addresses []string) {
	endpoints := make([]Endpoint, len(addresses))
	for i, a := range addresses {
		endpoints[i] = Endpoint{Address: a}
	}
	m.SetEndpoints(endpoints)
}

// SetEndpoints replaces the known endpoints.
func (m *Mesh) SetEndpoints(endpoints []Endpoint) {
	m.mu.Lock()
	m.endpoints = append([]Endpoint(nil), endpoints...)
	m.known = make(map[string]bool, len(endpoints))
	for _, e := range endpoints {
		m.known[e.Address] = true
	}
	m.updateTopology()
	m.mu.Unlock()
	wake(m.endpointsChanged)
}

func wake(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

func (m *Mesh) self() Endpoint {
	return Endpoint{Address: m.cfg.Address, Zone: m.cfg.Zone, Processors: m.cfg.Processors}
}

// Broadcast sends keyed items to all daemons. They are sent within a fifth of the
// heartbeat interval. It returns false if there are too many to send them all.
func (m *Mesh) Broadcast(broadcasts []Broadcast) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	_, all := m.gossip.addBroadcasts(time.Now(), "", broadcasts)
	return all
}

// View returns the membership, at most a fifth of the heartbeat interval old.
func (m *Mesh) View() View { return *m.view.Load() }

// EverHadPeers reports whether a heartbeat of any peer was ever received.
func (m *Mesh) EverHadPeers() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.table.everHadPeers
}

// publish rebuilds the view. Called with mu held.
func (m *Mesh) publish(now time.Time) {
	m.loads.retain(func(id fleet.DaemonID) bool {
		p, known := m.table.peers[id]
		return known && p.freshAt(now, m.cfg.AliveFor)
	})
	v := &View{
		At:            now,
		Peers:         m.table.snapshot(now, m.cfg.AliveFor),
		ResumedAt:     m.resumedAt,
		ExpectedLinks: m.expectedLinks(),
		Leaving:       m.gossip.leavingInstances(),
	}
	m.view.Store(v)
	m.viewStale = false
	m.meters.links.Update(int64(len(m.links)))
	m.meters.alive.Update(int64(v.AliveAt(now, m.cfg.AliveFor)))
}

// expectedLinks counts the chosen endpoints and those that have chosen this
// daemon. Called with mu held.
func (m *Mesh) expectedLinks() int {
	clear(m.wanted)
	for _, a := range m.topology.Load().chosen {
		m.wanted[a] = true
	}
	for _, p := range m.table.peers {
		if a := p.Heartbeat.Address; m.known[a] {
			m.wanted[a] = true
		}
	}
	return len(m.wanted)
}
