package site

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// Times of the stand-in's engines.
const (
	rejoinTime = 200 * time.Millisecond
	stagedTime = time.Second
	loadTime   = 10 * time.Second
	openTime   = 300 * time.Millisecond
	// StallTime is how long a head that lacks a member stands still before it
	// is broken.
	StallTime = 5 * time.Second
	// reportLag is how old an engine's answer to a question is.
	reportLag = 200 * time.Millisecond
	// EventTime is the time between two events of a stream.
	EventTime = 50 * time.Millisecond
)

// Slots is how many requests a group runs at once.
const Slots = 8

// place is an engine's place in a group.
type place struct {
	Name    string   `json:"name"`
	Epoch   uint64   `json:"epoch"`
	Rank    int      `json:"rank"`
	State   string   `json:"state"`
	members []string // ids, the head first
	model   string
	since   time.Time // of the state
}

// Engine is one model engine. Its state is guarded by the world's lock.
type Engine struct {
	world  *World
	ID     string
	addr   string
	domain string
	born   int64
	seq    uint64
	seen   uint64 // highest epoch
	last   string // model of the last group
	staged []string
	place  *place
	dead   bool
	// LateOrders leaves the next orders unanswered and carries them out after
	// this time.
	LateOrders time.Duration
	unheard    bool     // its words do not reach the list
	announced  int      // how often it has written to the list
	past       []moment // what it would have said of itself, oldest first
	active     int
	arrivals   int // requests that came, taken or not
	orders     int
}

// moment is what an engine said of itself from a time on.
type moment struct {
	at   time.Time
	said map[string]any
}

// site is what engines share: who is where, and what was done wrong.
type site struct {
	mu         sync.Mutex
	engines    map[string]*Engine
	readyOnce  map[string]bool // id/group/epoch that was ready once
	violations []string
	runs       map[string]int // by request id and service
}

func newSite() *site {
	return &site{engines: map[string]*Engine{}, readyOnce: map[string]bool{}, runs: map[string]int{}}
}

func (s *site) violate(format string, args ...any) {
	s.violations = append(s.violations, fmt.Sprintf(format, args...))
}

func memberKey(id string, p *place) string { return fmt.Sprintf("%s/%s/%d", id, p.Name, p.Epoch) }

// handler serves reports, orders and requests.
func (e *Engine) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /carawayproxy/report", e.serveReport)
	mux.HandleFunc("POST /carawayproxy/order", e.serveOrder)
	mux.HandleFunc("/", e.serveRequest)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s := e.world.site
		s.mu.Lock()
		dead := e.dead
		s.mu.Unlock()
		if dead {
			select { // where its host can't be frozen
			case <-r.Context().Done():
			case <-e.world.ctx.Done():
			}
			return
		}
		if want := r.Header.Get("X-Carawayproxy-Expect-Instance"); want != "" && want != e.ID {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		mux.ServeHTTP(w, r)
	})
}

// say is what the engine says of itself; seq is a count of its orders or of its
// words in the list. Called with the site's lock.
func (e *Engine) say(seq uint64) map[string]any {
	out := map[string]any{
		"service": EngineService, "addr": e.addr, "zone": "a", "version": "v1", "slots": Slots, "state": "ready",
		"coldLeftMs": 0, "seq": seq, "born": e.born, "domain": e.domain, "staged": e.staged, "active": e.active, "pace": 1.0,
	}
	if e.place != nil {
		out["group"] = *e.place
	}
	return out
}

func (e *Engine) announce() {
	s := e.world.site
	s.mu.Lock()
	e.announced++
	body, err := json.Marshal(e.say(uint64(10 * e.announced))) // heartbeats between changes count
	dead := e.dead || e.unheard
	e.past = append(e.past, moment{time.Now(), e.say(e.seq)})
	s.mu.Unlock()
	if err != nil {
		panic(err)
	}
	if !dead {
		e.world.Store.Put("keyed.servers", e.ID, body)
	}
}

func (e *Engine) serveReport(w http.ResponseWriter, _ *http.Request) {
	s := e.world.site
	s.mu.Lock()
	defer s.mu.Unlock()
	for len(e.past) > 1 && time.Since(e.past[1].at) >= reportLag {
		e.past = e.past[1:]
	}
	answer(w, e.past[0].said)
}

// order is an order's body.
type order struct {
	Op      string   `json:"op"`
	Group   string   `json:"group"`
	Epoch   uint64   `json:"epoch"`
	Model   string   `json:"model"`
	Members []string `json:"members"`
	Mode    string   `json:"closeMode"`
}

func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var o order
	if json.NewDecoder(r.Body).Decode(&o) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s := e.world.site
	s.mu.Lock()
	late := e.LateOrders
	s.mu.Unlock()
	if late > 0 {
		e.world.later(late, func() { e.carryOut(o) })
		<-r.Context().Done()
		return
	}
	w.WriteHeader(e.carryOut(o))
}

// carryOut does an order and returns its status.
func (e *Engine) carryOut(o order) int {
	s := e.world.site
	s.mu.Lock()
	status, after, then := e.do(o)
	if status == http.StatusAccepted {
		e.seq++
	}
	e.orders++
	s.mu.Unlock()
	if status == http.StatusAccepted {
		e.announce()
	}
	if then != nil {
		e.world.later(after, func() {
			s.mu.Lock()
			then()
			s.mu.Unlock()
			e.announce()
		})
	}
	return status
}

// do changes the state and says what follows after a time.
func (e *Engine) do(o order) (status int, after time.Duration, then func()) {
	p := e.place
	mine := p != nil && p.Name == o.Group && p.Epoch == o.Epoch
	switch o.Op {
	case "join":
		return e.join(o)
	case "open":
		if !mine || p.Rank != 0 || p.State == "open" {
			return statusIf(mine && p.Rank == 0), 0, nil
		}
		if p.State != "ready" {
			return http.StatusConflict, 0, nil
		}
		return http.StatusAccepted, openTime, func() { e.enter(p, "ready", "open") }
	case "close":
		if !mine {
			return http.StatusConflict, 0, nil
		}
		p.State = "closing"
		return http.StatusAccepted, 10 * EventTime, func() { e.enter(p, "closing", "ready") }
	case "leave":
		if !mine {
			return http.StatusConflict, 0, nil
		}
		e.place = nil
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

// enter moves a place that the engine still has to another state.
func (e *Engine) enter(p *place, from, to string) {
	if e.place == p && p.State == from {
		p.State, p.since = to, time.Now()
		if to == "ready" {
			e.world.site.readyOnce[memberKey(e.ID, p)] = true
		}
	}
}

func (e *Engine) join(o order) (status int, after time.Duration, then func()) {
	rank := slices.Index(o.Members, e.ID)
	if o.Epoch < e.seen || rank < 0 {
		return http.StatusPreconditionFailed, 0, nil
	}
	if p := e.place; p != nil && p.Name == o.Group && p.Epoch == o.Epoch {
		if slices.Equal(p.members, o.Members) {
			return http.StatusOK, 0, nil
		}
		return http.StatusPreconditionFailed, 0, nil
	}
	if e.place != nil && e.world.site.headServes(e.place) {
		e.world.site.violate("%s joins %s/%d while the head of its group %s/%d serves", e.ID, o.Group, o.Epoch, e.place.Name, e.place.Epoch)
	}
	took := loadTime
	switch {
	case e.last == o.Model:
		took = rejoinTime
	case slices.Contains(e.staged, o.Model):
		took = stagedTime
	}
	if e.world.fastLoads() {
		took = min(took, loadTime/10)
	}
	e.seen = o.Epoch
	p := &place{Name: o.Group, Epoch: o.Epoch, Rank: rank, State: "joining", members: o.Members, model: o.Model, since: time.Now()}
	e.place = p
	return http.StatusAccepted, took, func() {
		if e.place == p {
			e.last, e.staged = o.Model, []string{o.Model}
			e.enter(p, "joining", "ready")
		}
	}
}

// headServes reports whether the head of a place's group is open or closing,
// or stands still and is not yet broken.
func (s *site) headServes(p *place) bool {
	head := s.engines[p.members[0]]
	if head == nil || head.dead || head.place == nil || head.place.Name != p.Name || head.place.Epoch != p.Epoch {
		return false
	}
	return head.place.State == "open" || head.place.State == "closing"
}

// whole reports whether every member of a head's group is there and ready.
func (s *site) whole(p *place) bool {
	for _, id := range p.members {
		m := s.engines[id]
		if m == nil || m.dead || m.place == nil || m.place.Name != p.Name || m.place.Epoch != p.Epoch {
			return false
		}
	}
	return true
}

func (e *Engine) serveRequest(w http.ResponseWriter, r *http.Request) {
	s := e.world.site
	id := r.Header.Get("X-Carawayproxy-Attempt-Id")
	w.Header().Set("X-Carawayproxy-Attempt-Id", id)
	s.mu.Lock()
	e.arrivals++
	p := e.place
	if p == nil || p.Rank != 0 {
		s.mu.Unlock()
		w.Header().Set("At-Server", e.addr)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if p.State != "open" || p.model != r.Header.Get("X-Carawayproxy-Model") || e.active >= Slots {
		s.mu.Unlock()
		w.Header().Set("X-Carawayproxy-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	e.active++
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		e.active--
		s.mu.Unlock()
	}()
	e.stream(w, r, id, p)
}

// events is how many events a stream of the stand-in has.
const events = 20

func (e *Engine) stream(w http.ResponseWriter, r *http.Request, id string, p *place) {
	from := 0
	if last := r.Header.Get("Last-Event-Id"); last != "" {
		from, _ = strconv.Atoi(last) // a request without a number starts anew
	}
	w.Header().Set("X-Carawayproxy-Server-Stamp", "proof-"+e.ID)
	w.Header().Set("Content-Type", "text/event-stream")
	started := false
	for n := from + 1; n <= events; n++ {
		if !e.step(r, p) {
			panic(http.ErrAbortHandler)
		}
		if !started {
			started = true
			e.world.site.began(e, p, id)
		}
		fmt.Fprintf(w, "id: %d\ndata: %s-%d\n\n", n, id, n)
		if http.NewResponseController(w).Flush() != nil {
			return
		}
	}
}

// began counts a run and checks the group in which it begins.
func (s *site) began(e *Engine, p *place, id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs[id]++
	for _, m := range p.members {
		if !s.readyOnce[fmt.Sprintf("%s/%s/%d", m, p.Name, p.Epoch)] {
			s.violate("%s runs %s in %s/%d, of which %s was never ready", e.ID, id, p.Name, p.Epoch, m)
		}
	}
}

// step waits for the next event. A head that lacks a member stands still, and
// breaks its streams off after StallTime.
func (e *Engine) step(r *http.Request, p *place) bool {
	s := e.world.site
	var stalled time.Duration
	for {
		select {
		case <-r.Context().Done():
			return false
		case <-time.After(EventTime):
		}
		s.mu.Lock()
		gone := e.dead || e.place != p
		whole := s.whole(p)
		if !whole && stalled >= StallTime && !gone {
			p.State = "broken"
			gone = true
		}
		s.mu.Unlock()
		switch {
		case gone:
			return false
		case whole:
			return true
		}
		stalled += EventTime
	}
}
