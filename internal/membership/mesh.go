package membership

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"carawayproxy.example/caraway/internal/fleet"
	"carawayproxy.example/caraway/internal/suspect"
)

// ticksPerBeat is how often between two heartbeats the view is renewed and
// news is passed on.
const ticksPerBeat = 5

// Mesh keeps the links to the other daemons and what they tell. It is safe
// for concurrent use.
type Mesh struct {
	cfg     Config
	client  *http.Client
	meters  meters
	pending *pending
	view    atomic.Pointer[View]
	hurried atomic.Bool // a heartbeat is wanted before its time
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
	m := &Mesh{
		cfg:     cfg,
		client:  &http.Client{Transport: &http.Transport{DialContext: cfg.Dial, DisableKeepAlives: true}},
		meters:  newMeters(cfg.Metrics),
		pending: newPending(),
		heard:   make(chan struct{}, 1),
		wanted:  make(chan struct{}, 1),
		links:   map[fleet.DaemonID]*link{},
		table:   newTable(),
		news:    newNewsboard(),
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

// runBeats beats until ctx ends.
func (m *Mesh) runBeats(ctx context.Context) {
	tick := time.NewTicker(m.cfg.Beat / ticksPerBeat)
	defer tick.Stop()
	for n := 0; ; n++ {
		if n%ticksPerBeat == 0 || m.hurried.Load() {
			m.beat()
		}
		m.tick(n%ticksPerBeat == 0)
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
	}
}

// Hurry makes the next heartbeat leave within a fifth of a beat.
func (m *Mesh) Hurry() { m.hurried.Store(true) }

// beat sends a heartbeat over each link and takes in the source's news.
func (m *Mesh) beat() {
	m.hurried.Store(false)
	h := m.cfg.Source.Heartbeat()
	now := time.Now()
	h.Streams = m.positions(now)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.news.takeOwn(now, h.Leaving, h.Sightings)
	m.sequence++
	h.Sequence = m.sequence
	for _, l := range m.links {
		if err := l.sendBeat(now, h); err != nil {
			l.cancel(err)
		}
	}
}

// tick passes news on and renews the view.
func (m *Mesh) tick(full bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	if now.Sub(m.tickedAt) > m.cfg.AliveFor {
		m.resumedAt = now
	}
	m.tickedAt = now
	for _, l := range m.links {
		m.sendNews(now, l)
	}
	if full {
		m.news.expire(now)
		for _, id := range m.table.expire(now) {
			m.cfg.Events.Emit(eventPeerGone, "peer", id, "reason", "silent")
		}
	}
	if full || m.dirty {
		m.publish(now)
	}
}

// sendNews sends what the link's peer has not been told. Called with mu held.
func (m *Mesh) sendNews(now time.Time, l *link) {
	n := m.news.after(now, l.newsSent, l.peer.From)
	last := m.news.last
	if n == nil {
		l.newsSent = last
		return
	}
	frame, err := encode(n)
	if err != nil {
		m.cfg.Events.Emit(eventBadMessage, "peer", l.peer.From, "err", err)
		return
	}
	if l.send(frame) {
		l.newsSent = last
	}
}

// Goodbye tells the peers at once that this daemon stops. They stop counting
// it when its links close.
func (m *Mesh) Goodbye() {
	m.beat()
	m.mu.Lock()
	defer m.mu.Unlock()
	frame, err := encode(&goodbyeMessage{Sequence: m.sequence})
	if err != nil {
		return
	}
	for _, l := range m.links {
		l.send(frame)
	}
}

// handle takes in one message of a link. An error drops the link.
func (m *Mesh) handle(l *link, frame []byte) error {
	body, err := decode(frame)
	if isUnknownType(err) {
		m.cfg.Events.Emit(eventUnknownMessage, "peer", l.peer.From, "err", err)
		return nil
	}
	if err != nil {
		m.cfg.Events.Emit(eventBadMessage, "peer", l.peer.From, "err", err)
		return err
	}
	switch b := body.(type) {
	case *beatMessage:
		return m.handleBeat(l, b)
	case *newsMessage:
		m.handleNews(l, b)
	case *goodbyeMessage:
		m.handleGoodbye(l)
	case *requestMessage:
		return m.handleRequest(l, b)
	case *responseMessage:
		m.pending.resolve(l, b)
	}
	return nil
}

func (m *Mesh) handleBeat(l *link, b *beatMessage) error {
	now := time.Now()
	streams, inFlight, err := l.names.unpack(b)
	if err != nil {
		m.cfg.Events.Emit(eventBadMessage, "peer", l.peer.From, "err", err)
		return err
	}
	h := Heartbeat{
		From: l.peer.From, Address: l.peer.Address, Zone: l.peer.Zone, Incarnation: l.peer.Incarnation,
		Sequence: b.Sequence, Ready: b.Ready, Draining: b.Draining,
		ConfigRevision: b.ConfigRevision, Streams: streams, InFlight: inFlight,
	}
	shown := l.heard(now, b)
	if err := m.handleReports(l, b, shown.sentAt); err != nil {
		m.cfg.Events.Emit(eventBadMessage, "peer", l.peer.From, "err", err)
		return err
	}
	m.mu.Lock()
	taken := m.table.observe(now, h, shown)
	p := m.table.peers[h.From]
	m.dirty = true
	m.mu.Unlock()
	if taken {
		m.confirm(p)
		wake(m.heard)
	}
	return nil
}

// handleReports hands on what a heartbeat tells of backend servers.
func (m *Mesh) handleReports(l *link, b *beatMessage, sentAt time.Time) error {
	reports, err := l.names.unpackReports(b, sentAt, l.reportsHeard)
	if err != nil {
		return err
	}
	silent, err := l.names.unpackSilent(b)
	if err != nil {
		return err
	}
	if len(reports) > 0 && m.cfg.OnReports != nil {
		m.cfg.OnReports(reports)
	}
	if len(silent) > 0 && m.cfg.OnSilent != nil {
		m.cfg.OnSilent(silent)
	}
	return nil
}

func (m *Mesh) handleNews(l *link, b *newsMessage) {
	m.mu.Lock()
	leaving, sightings := m.news.takePeer(time.Now(), l.peer.From, b)
	m.dirty = true
	m.mu.Unlock()
	m.tell(leaving, sightings)
}

func (m *Mesh) tell(leaving []fleet.InstanceID, sightings []suspect.Sighting) {
	if len(leaving) > 0 && m.cfg.OnLeaving != nil {
		m.cfg.OnLeaving(leaving)
	}
	if len(sightings) > 0 && m.cfg.OnSightings != nil {
		m.cfg.OnSightings(sightings)
	}
}

func (m *Mesh) handleGoodbye(l *link) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.table.depart(l.peer.From)
	m.publish(time.Now())
}

func (m *Mesh) handleRequest(l *link, req *requestMessage) error {
	frame, err := encode(m.serve(req))
	if err != nil {
		return err
	}
	l.send(frame)
	return nil
}
