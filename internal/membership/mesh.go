package membership

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"carawayproxy.example/caraway/internal/fleet"
)

// Mesh keeps the links to the other daemons and what they tell. It is safe
// for concurrent use.
type Mesh struct {
	cfg     Config
	client  *http.Client
	meters  meters
	pending *pending
	view    atomic.Pointer[View]
	hurried atomic.Bool // a heartbeat is wanted before its time
	loadsAt time.Time   // when changed counts were told last, of runBeats alone
	// heard wakes the relay after a heartbeat.
	heard chan struct{}
	// wanted wakes the dialing after a change of the known places.
	wanted chan struct{}

	mu        sync.Mutex
	running   context.Context // nil before Run and after it
	tasks     sync.WaitGroup
	places    []Place
	links     map[fleet.DaemonID]*link
	table     *table
	news      *newsboard
	sequence  uint64
	tickedAt  time.Time
	resumedAt time.Time
	dirty     bool // the view is older than the table
}

// NewMesh returns a mesh that does nothing until Run.
func NewMesh(cfg Config) *Mesh {
	cfg = cfg.withDefaults()
	_, full := cfg.Policy.(FullMesh)
	m := &Mesh{
		cfg:     cfg,
		client:  &http.Client{Transport: &http.Transport{DialContext: cfg.Dial, DisableKeepAlives: true}},
		meters:  newMeters(cfg.Metrics),
		pending: newPending(),
		heard:   make(chan struct{}, 1),
		wanted:  make(chan struct{}, 1),
		links:   map[fleet.DaemonID]*link{},
		table:   newTable(),
		news:    newNewsboard(!full),
	}
	m.view.Store(&View{Peers: map[fleet.DaemonID]Peer{}})
	return m
}

// Run links to the known places, beats and relays. It returns when ctx has
// ended and all links are closed. It is called once.
func (m *Mesh) Run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	m.mu.Lock()
	m.running = ctx
	m.tickedAt = time.Now()
	m.publish(m.tickedAt)
	m.mu.Unlock()

	m.spawn(func() { m.runDialers(ctx) })
	m.spawn(func() { m.runRelay(ctx) })
	m.runBeats(ctx)

	m.mu.Lock()
	m.running = nil
	m.mu.Unlock()
	m.tasks.Wait()
	m.client.CloseIdleConnections()
}

// spawn runs f as a task that Run waits for, unless the mesh is not running;
// it reports whether it did.
func (m *Mesh) spawn(f func()) bool {
	if !m.enter() {
		return false
	}
	go func() {
		defer m.tasks.Done()
		f()
	}()
	return true
}

// enter adds the calling goroutine to the tasks that Run waits for.
func (m *Mesh) enter() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.running == nil {
		return false
	}
	m.tasks.Add(1)
	return true
}

// SetAddresses replaces the known places by addresses, whose zones are taken
// from what the peers told.
func (m *Mesh) SetAddresses(addresses []string) {
	places := make([]Place, len(addresses))
	for i, a := range addresses {
		places[i] = Place{Address: a}
	}
	m.SetPlaces(places)
}

// SetPlaces replaces the known places.
func (m *Mesh) SetPlaces(places []Place) {
	m.mu.Lock()
	m.places = append([]Place(nil), places...)
	m.mu.Unlock()
	wake(m.wanted)
}

func wake(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// chosen returns the addresses to dial. Called with mu held.
func (m *Mesh) chosen() []string {
	zones := map[string]fleet.Zone{}
	for _, p := range m.table.peers {
		zones[p.Heartbeat.Address] = p.Heartbeat.Zone
	}
	known := make([]Place, len(m.places))
	for i, p := range m.places {
		if p.Zone == "" {
			p.Zone = zones[p.Address]
		}
		known[i] = p
	}
	return m.cfg.Policy.Choose(m.self(), known)
}

func (m *Mesh) self() Place { return Place{Address: m.cfg.Address, Zone: m.cfg.Zone} }

// Post passes bulletins on to all daemons. They leave within a fifth of a beat.
func (m *Mesh) Post(bulletins []Bulletin) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.news.takeBulletins(time.Now(), "", bulletins)
}

// View returns the membership as it stood at most a fifth of a beat ago.
func (m *Mesh) View() View { return *m.view.Load() }

// EverHadPeers reports whether a peer was ever heard.
func (m *Mesh) EverHadPeers() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.table.everHad
}

// publish renews the view. Called with mu held.
func (m *Mesh) publish(now time.Time) {
	v := &View{
		At:        now,
		Peers:     m.table.snapshot(now, m.cfg.AliveFor),
		ResumedAt: m.resumedAt,
		Wanted:    m.wantedLinks(),
		Leaving:   m.news.leavingNow(),
	}
	m.view.Store(v)
	m.dirty = false
	m.meters.links.Update(int64(len(m.links)))
	m.meters.alive.Update(int64(v.AliveAt(now, m.cfg.AliveFor)))
}

// wantedLinks counts the chosen places and those that chose this daemon.
// Called with mu held.
func (m *Mesh) wantedLinks() int {
	wanted := map[string]bool{}
	for _, a := range m.chosen() {
		wanted[a] = true
	}
	known := make(map[string]bool, len(m.places))
	for _, p := range m.places {
		known[p.Address] = true
	}
	for _, p := range m.table.peers {
		if a := p.Heartbeat.Address; known[a] {
			wanted[a] = true
		}
	}
	return len(wanted)
}
