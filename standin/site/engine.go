package site

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Simulated durations of the engines.
const (
	rejoinTime = 200 * time.Millisecond
	stagedTime = time.Second
	loadTime   = 10 * time.Second
	openTime   = 300 * time.Millisecond
	// StallTime is how long the leader of an incomplete group stalls before it
	// fails its streams.
	StallTime = 5 * time.Second
	// reportLag is the age of the state that an engine reports.
	reportLag = 200 * time.Millisecond
	// EventTime is the time between two events of a stream.
	EventTime = 50 * time.Millisecond
)

// Slots is the number of requests that a group runs concurrently.
const Slots = 8

// groupMembership is an engine's membership in a group.
type groupMembership struct {
	Name    string   `json:"name"`
	Epoch   uint64   `json:"epoch"`
	Rank    int      `json:"rank"`
	State   string   `json:"state"`
	members []string // instance ids, the group leader first
	model   string
	since   time.Time // when State was entered
}

// Engine is one model engine. Its state is guarded by the lock of World.shared.
type Engine struct {
	world        *World
	name         string // id before the first restart
	ID           string
	addr         string
	host         Host
	server       *http.Server
	restarts     int
	domain       string
	zone         string
	incarnation  int64
	seq          uint64
	highestEpoch uint64 // highest epoch so far
	lastModel    string // model of the last group joined
	staged       []string
	membership   *groupMembership
	dead         bool
	// OrderDelay, if positive, leaves orders unanswered and executes them after
	// this delay.
	OrderDelay time.Duration
	writesLost bool          // the engine's writes to the server list are lost
	announced  int           // number of writes to the server list
	history    []timedReport // states for delayed reports, oldest first
	active     int
	arrivals   int // requests received, accepted or not
	orders     int
	silence    silence // has a lock of its own
	// coldUntil is until when the engine is cold. coldArrivals are the requests of the
	// last second in which it is, and coldExceeded is set once they were too many.
	coldUntil    time.Time
	coldArrivals []time.Time
	coldExceeded bool
}

// timedReport is the state that an engine reports from a point in time on.
type timedReport struct {
	at     time.Time
	report map[string]any
}

// sharedState is the state that all backend servers share, and the violations
// seen.
type sharedState struct {
	mu sync.Mutex
	// openOrders counts the orders that all engines are answering, and mostOrders the
	// most of them at one time. orderTime is how long an answer takes.
	openOrders, mostOrders int
	orderTime              time.Duration

	engines    map[string]*Engine
	readyOnce  map[string]bool // instance/group/epoch that has been ready
	violations []string
	runs       map[string]int // by request id and service
	// crashes holds the times at which requests crashed a backend server, and
	// crashingRuns the requests of that kind that reached one, by the body or the
	// part of a prompt that crashes servers.
	crashes      map[string][]time.Time
	crashingRuns map[string][]crashingRun
	// unframed makes engines send streams with neither a length nor chunks, which
	// end with the connection. cuts is the number of streams that the engines still
	// break off inside an event.
	unframed bool
	cuts     int
	// brokenOff holds the requests whose streams engines ended on their own.
	brokenOff map[string]bool
	// lastWriter is the engine that last sent an event of a request, and endedByOrder
	// holds the requests that it gave up on an order.
	lastWriter   map[string]string
	endedByOrder map[string]bool
	// limits are the request rates that backend servers announce, by address.
	limits map[string]*announcedLimit
	// leaving are the backend servers that say that they leave, by address.
	leaving map[string]*leavingServer
	// pausing are those that turn requests away with Retry-After, by address.
	pausing map[string]*pausingServer
	started time.Time // of the world
	// evacuated are the evacuated zones, by name, and zoneArrivals counts the requests
	// that reached backend servers of each zone.
	evacuated    map[string]*evacuatedZone
	zoneArrivals map[string]int
	// crashingParts are the parts of a prompt on which engines crash.
	crashingParts map[string]bool
	coldTotal     int // requests that reached cold engines
}

// crashingRun is the arrival at a backend server of a request that crashes it.
type crashingRun struct {
	at      time.Time
	request string
}

func newSharedState() *sharedState {
	return &sharedState{engines: map[string]*Engine{}, readyOnce: map[string]bool{}, runs: map[string]int{}, brokenOff: map[string]bool{}, lastWriter: map[string]string{}, endedByOrder: map[string]bool{}, crashingParts: map[string]bool{}, limits: map[string]*announcedLimit{},
		leaving: map[string]*leavingServer{}, pausing: map[string]*pausingServer{}, started: time.Now(), evacuated: map[string]*evacuatedZone{}, zoneArrivals: map[string]int{},
		crashes: map[string][]time.Time{}, crashingRuns: map[string][]crashingRun{}}
}

func (s *sharedState) addViolation(format string, args ...any) {
	s.violations = append(s.violations, fmt.Sprintf(format, args...))
}

func memberKey(id string, m *groupMembership) string {
	return fmt.Sprintf("%s/%s/%d", id, m.Name, m.Epoch)
}

// start adds the engine to the world and serves its requests.
func (e *Engine) start() error {
	s := e.world.shared
	server, err := e.world.serve(silentHost{e.host, &e.silence}, portServer, e.handler())
	if err != nil {
		return err
	}
	s.mu.Lock()
	e.server = server
	if cold := e.world.cold; cold.PerSecond > 0 && !e.world.inLeadTime() {
		e.coldUntil = time.Now().Add(cold.Start)
	}
	s.engines[e.ID] = e
	e.world.Engines = append(e.world.Engines, e)
	s.mu.Unlock()
	e.announce()
	if e.world.cold.PerSecond > 0 {
		e.announceCold()
	}
	return nil
}

// crash ends the engine's process: its listener and connections close, and its
// entry expires. A new process starts at the same address after restartTime, with
// the models on its host. The part of a prompt is the cause; empty for another.
func (e *Engine) crash(part string) {
	s := e.world.shared
	s.mu.Lock()
	if e.dead {
		s.mu.Unlock()
		return
	}
	e.dead = true
	if part != "" {
		s.crashes[part] = append(s.crashes[part], time.Now())
	}
	next := &Engine{
		world: e.world, name: e.name, ID: fmt.Sprintf("%s-%d", e.name, e.restarts+1), addr: e.addr, host: e.host,
		restarts: e.restarts + 1, incarnation: e.incarnation + 1, domain: e.domain, zone: e.zone, staged: e.staged,
	}
	s.mu.Unlock()
	_ = e.server.Close()
	e.world.expireEntry(e.ID)
	e.world.runAfter(restartTime, func() {
		_ = next.start() // fails only after the world has ended
	})
}

// crashingPart returns the part of a prompt that crashes engines, empty if there
// is none, and records that the request reached one. The last part never does.
func (s *sharedState) crashingPart(request, prefixes string) string {
	parts := strings.Split(prefixes, ",")
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, part := range parts[:len(parts)-1] {
		id, _, _ := strings.Cut(part, ":")
		if s.crashingParts[id] {
			s.crashingRuns[id] = append(s.crashingRuns[id], crashingRun{time.Now(), request})
			return id
		}
	}
	return ""
}

// handler serves reports, orders and requests. The handlers of a dead engine
// block.
func (e *Engine) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /carawayproxy/report", e.serveReport)
	mux.HandleFunc("POST /carawayproxy/order", e.serveOrder)
	mux.HandleFunc("/", e.serveRequest)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s := e.world.shared
		s.mu.Lock()
		dead := e.dead
		s.mu.Unlock()
		if dead {
			select { // needed where the host can't be frozen
			case <-r.Context().Done():
			case <-e.world.ctx.Done():
			}
			return
		}
		if want := r.Header.Get("X-Carawayproxy-Expect-Instance"); want != "" && want != e.ID {
			echoID(w, r)
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		mux.ServeHTTP(w, r)
	})
}

// echoID sets the id of the request in its answer, as all answers have it.
func echoID(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("X-Carawayproxy-Attempt-Id", r.Header.Get("X-Carawayproxy-Attempt-Id"))
}

// report returns the engine's report or server-list entry. seq counts the
// engine's orders in a report, and its announcements in the list. The caller
// holds the lock of World.shared.
func (e *Engine) report(seq uint64) map[string]any {
	out := map[string]any{
		"service": EngineService, "addr": e.addr, "zone": e.zone, "version": "v1", "slots": Slots, "state": "ready",
		"coldLeftMs": max(time.Until(e.coldUntil), 0).Milliseconds(), "seq": seq, "born": e.incarnation, "domain": e.domain, "staged": e.staged, "active": e.active, "pace": 1.0,
	}
	if e.membership != nil {
		out["group"] = *e.membership
	}
	return out
}

func (e *Engine) announce() {
	s := e.world.shared
	s.mu.Lock()
	e.announced++
	body, err := json.Marshal(e.report(uint64(10 * e.announced))) // leaves numbers for heartbeats between announcements
	dead := e.dead || e.writesLost
	e.history = append(e.history, timedReport{time.Now(), e.report(e.seq)})
	s.mu.Unlock()
	if err != nil {
		panic(err)
	}
	if !dead {
		e.world.Store.Put("keyed.servers", e.ID, body)
	}
}

func (e *Engine) serveReport(w http.ResponseWriter, _ *http.Request) {
	s := e.world.shared
	s.mu.Lock()
	defer s.mu.Unlock()
	for len(e.history) > 1 && time.Since(e.history[1].at) >= reportLag {
		e.history = e.history[1:]
	}
	writeJSON(w, e.history[0].report)
}

// order is the body of an order.
type order struct {
	Op      string   `json:"op"`
	Group   string   `json:"group"`
	Epoch   uint64   `json:"epoch"`
	Model   string   `json:"model"`
	Members []string `json:"members"`
	Mode    string   `json:"closeMode"`
}

func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	e.world.shared.beginOrder()
	defer e.world.shared.endOrder()
	var o order
	if json.NewDecoder(r.Body).Decode(&o) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s := e.world.shared
	s.mu.Lock()
	delay := e.OrderDelay
	s.mu.Unlock()
	if delay > 0 {
		e.world.runAfter(delay, func() { e.execute(o) })
		<-r.Context().Done()
		return
	}
	w.WriteHeader(e.execute(o))
}

// execute executes an order and returns the HTTP status.
func (e *Engine) execute(o order) int {
	s := e.world.shared
	s.mu.Lock()
	status, after, then := e.apply(o)
	if status == http.StatusAccepted {
		e.seq++
	}
	e.orders++
	s.mu.Unlock()
	if status == http.StatusAccepted {
		e.announce()
	}
	if then != nil {
		e.world.runAfter(after, func() {
			s.mu.Lock()
			then()
			s.mu.Unlock()
			e.announce()
		})
	}
	return status
}

// apply applies an order to the state. It returns the HTTP status and, if then is
// not nil, a change that follows after a delay.
func (e *Engine) apply(o order) (status int, after time.Duration, then func()) {
	m := e.membership
	mine := m != nil && m.Name == o.Group && m.Epoch == o.Epoch
	switch o.Op {
	case "join":
		return e.join(o)
	case "open":
		if !mine || m.Rank != 0 || m.State == "open" {
			return statusIf(mine && m.Rank == 0), 0, nil
		}
		if m.State != "ready" {
			return http.StatusConflict, 0, nil
		}
		return http.StatusAccepted, openTime, func() { e.enter(m, "ready", "open") }
	case "close":
		if !mine {
			return http.StatusConflict, 0, nil
		}
		m.State = "closing"
		return http.StatusAccepted, 10 * EventTime, func() { e.enter(m, "closing", "ready") }
	case "leave":
		if !mine {
			return http.StatusConflict, 0, nil
		}
		e.membership = nil
		return http.StatusAccepted, 0, nil
	case "phase":
		return http.StatusAccepted, loadTime, func() { e.staged = []string{o.Model} }
	}
	return http.StatusBadRequest, 0, nil
}

func statusIf(holds bool) int {
	if holds {
		return http.StatusOK
	}
	return http.StatusConflict
}

// enter changes the state of m, if the engine still has m and is in state from.
func (e *Engine) enter(m *groupMembership, from, to string) {
	if e.membership == m && m.State == from {
		m.State, m.since = to, time.Now()
		if to == "ready" {
			e.world.shared.readyOnce[memberKey(e.ID, m)] = true
		}
	}
}

func (e *Engine) join(o order) (status int, after time.Duration, then func()) {
	rank := slices.Index(o.Members, e.ID)
	if o.Epoch < e.highestEpoch || rank < 0 {
		return http.StatusPreconditionFailed, 0, nil
	}
	if m := e.membership; m != nil && m.Name == o.Group && m.Epoch == o.Epoch {
		if slices.Equal(m.members, o.Members) {
			return http.StatusOK, 0, nil
		}
		return http.StatusPreconditionFailed, 0, nil
	}
	if e.membership != nil && e.world.shared.groupLeaderServes(e.membership) {
		e.world.shared.addViolation("%s joins %s/%d while the leader of its group %s/%d serves", e.ID, o.Group, o.Epoch, e.membership.Name, e.membership.Epoch)
	}
	took := loadTime
	switch {
	case e.lastModel == o.Model:
		took = rejoinTime
	case slices.Contains(e.staged, o.Model):
		took = stagedTime
	}
	if e.world.inLeadTime() {
		took = min(took, loadTime/10)
	}
	e.highestEpoch = o.Epoch
	m := &groupMembership{Name: o.Group, Epoch: o.Epoch, Rank: rank, State: "joining", members: o.Members, model: o.Model, since: time.Now()}
	e.membership = m
	return http.StatusAccepted, took, func() {
		if e.membership == m {
			e.lastModel, e.staged = o.Model, []string{o.Model}
			e.enter(m, "joining", "ready")
		}
	}
}

// groupLeaderServes reports whether the leader of the group of m is live and
// open or closing. A stalled leader counts until its state is broken.
func (s *sharedState) groupLeaderServes(m *groupMembership) bool {
	groupLeader := s.engines[m.members[0]]
	if groupLeader == nil || groupLeader.dead || groupLeader.membership == nil || groupLeader.membership.Name != m.Name || groupLeader.membership.Epoch != m.Epoch {
		return false
	}
	return groupLeader.membership.State == "open" || groupLeader.membership.State == "closing"
}

// whole reports whether every member of the group of m is live and has joined
// the same epoch.
func (s *sharedState) whole(m *groupMembership) bool {
	for _, id := range m.members {
		e := s.engines[id]
		if e == nil || e.dead || e.membership == nil || e.membership.Name != m.Name || e.membership.Epoch != m.Epoch {
			return false
		}
	}
	return true
}

func (e *Engine) serveRequest(w http.ResponseWriter, r *http.Request) {
	s := e.world.shared
	id := r.Header.Get("X-Carawayproxy-Attempt-Id")
	w.Header().Set("X-Carawayproxy-Attempt-Id", id)
	s.mu.Lock()
	e.arrivals++
	s.recordZoneArrival(e.zone, e.ID)
	s.announceLimit(w, r, e.addr)
	if s.announceLeaving(w, r, e.addr) || s.askPause(w, r, e.addr) {
		s.mu.Unlock()
		return
	}
	m := e.membership
	if m == nil || m.Rank != 0 {
		s.mu.Unlock()
		w.Header().Set("At-Server", e.addr)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if e.countCold() {
		s.mu.Unlock()
		e.crash("")
		panic(http.ErrAbortHandler)
	}
	if m.State != "open" || m.model != r.Header.Get("X-Carawayproxy-Model") || e.active >= Slots {
		s.mu.Unlock()
		w.Header().Set("X-Carawayproxy-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	e.active++
	s.mu.Unlock()
	crashing := s.crashingPart(id, r.Header.Get("X-Carawayproxy-Prefix-Hash"))
	defer func() {
		s.mu.Lock()
		e.active--
		s.mu.Unlock()
	}()
	if crashing != "" {
		if e.step(r, m) { // it begins to write
			e.crash(crashing)
		}
		panic(http.ErrAbortHandler)
	}
	e.stream(w, r, id, m)
}

const (
	// eventsPerStream is the number of events of each stream.
	eventsPerStream = 20
	// cutAfterEvents is the event of a run inside which a stream is broken off.
	cutAfterEvents = 5
)

func (e *Engine) stream(w http.ResponseWriter, r *http.Request, id string, m *groupMembership) {
	from := 0
	if last := r.Header.Get("Last-Event-Id"); last != "" {
		from, _ = strconv.Atoi(last) // an invalid number starts from the beginning
	}
	w.Header().Set("X-Carawayproxy-Server-Stamp", "proof-"+e.ID)
	w.Header().Set("Content-Type", "text/event-stream")
	s := e.world.shared
	s.mu.Lock()
	unframed, cut := s.unframed, s.cuts > 0
	if cut {
		s.cuts--
	}
	s.mu.Unlock()
	if unframed {
		w.Header().Set("Transfer-Encoding", "identity")
	}
	started := false
	for n := from + 1; n <= eventsPerStream; n++ {
		if !e.step(r, m) {
			if r.Context().Err() == nil {
				s.recordBrokenOff(id, e, m)
			}
			panic(http.ErrAbortHandler)
		}
		if !started {
			started = true
			e.world.shared.recordRun(e, m, id)
		}
		if cut && n == from+cutAfterEvents {
			fmt.Fprintf(w, "id: %d\ndata: %s", n, id)
			_ = http.NewResponseController(w).Flush() // the connection is closed next
			panic(http.ErrAbortHandler)
		}
		s.recordEvent(id, e)
		fmt.Fprintf(w, "id: %d\ndata: %s-%d\n\n", n, id, n)
		if http.NewResponseController(w).Flush() != nil {
			return
		}
	}
}

// recordRun counts a run and records a violation if a member of the group was
// never ready.
func (s *sharedState) recordRun(e *Engine, m *groupMembership, id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs[id]++
	for _, member := range m.members {
		if !s.readyOnce[fmt.Sprintf("%s/%s/%d", member, m.Name, m.Epoch)] {
			s.addViolation("%s runs %s in %s/%d, of which %s was never ready", e.ID, id, m.Name, m.Epoch, member)
		}
	}
}

// step waits for the next event and reports whether the stream continues. The
// leader of an incomplete group stalls, and breaks after StallTime. No event
// comes while a member is silent.
func (e *Engine) step(r *http.Request, m *groupMembership) bool {
	s := e.world.shared
	var stalled time.Duration
	for {
		select {
		case <-r.Context().Done():
			return false
		case <-time.After(EventTime):
		}
		s.mu.Lock()
		gone := e.dead || e.membership != m
		whole, silent := s.whole(m), s.hasSilentMember(m)
		if !whole && stalled >= StallTime && !gone {
			m.State = "broken"
			gone = true
		}
		s.mu.Unlock()
		switch {
		case gone:
			return false
		case silent:
			continue
		case whole:
			return true
		}
		stalled += EventTime
	}
}

func (s *sharedState) beginOrder() {
	s.mu.Lock()
	s.openOrders++
	s.mostOrders = max(s.mostOrders, s.openOrders)
	orderTime := s.orderTime
	s.mu.Unlock()
	time.Sleep(orderTime)
}

func (s *sharedState) endOrder() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.openOrders--
}
