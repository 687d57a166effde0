package site

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

// Plain is one server of the plain service. ID, server, restarts,
// DropResponses and Fail are guarded by the lock of World.shared.
type Plain struct {
	world    *World
	name     string // id before the first restart
	ID       string // changes with each restart
	addr     string
	host     Host
	server   *http.Server
	restarts int
	zone     string
	// DropResponses runs requests and closes their connections without a
	// response.
	DropResponses bool
	// Fail answers every request with status 500.
	Fail    bool
	silence silence // has a lock of its own
}

const (
	// workTime is the time that a plain server takes for a request.
	workTime = 20 * time.Millisecond
	// restartTime is the time that a crashed server takes to start again.
	restartTime = 3 * time.Second
	// CrashingBody is the body of a request that crashes each plain server that
	// runs it.
	CrashingBody = "crash"
)

// start listens for requests.
func (p *Plain) start() error {
	server, err := p.world.serve(silentHost{p.host, &p.silence}, portServer, p)
	p.world.Update(func() { p.server = server })
	return err
}

// crash closes the server's listener and connections. The server starts again
// after restartTime with another id. Requests that crash a server twice count
// once.
func (p *Plain) crash(id string) {
	server := (*http.Server)(nil)
	p.world.Update(func() {
		if p.ID != id || p.server == nil {
			return
		}
		server, p.server = p.server, nil
		p.world.shared.crashes[CrashingBody] = append(p.world.shared.crashes[CrashingBody], time.Now())
	})
	if server == nil {
		return
	}
	_ = server.Close()
	p.world.expireEntry(id)
	p.world.runAfter(restartTime, func() {
		p.world.Update(func() {
			p.restarts++
			p.ID = fmt.Sprintf("%s-%d", p.name, p.restarts)
		})
		if err := p.start(); err != nil {
			return // the world has ended
		}
		p.announce("ready")
	})
}

func (p *Plain) announce(state string) {
	p.world.shared.mu.Lock()
	id := p.ID
	p.world.shared.mu.Unlock()
	body, err := json.Marshal(map[string]any{
		"service": PlainService, "addr": p.addr, "zone": p.zone, "version": "v1", "slots": Slots,
		"state": state, "coldLeftMs": 0, "seq": 0, "born": 1,
	})
	if err != nil {
		panic(err)
	}
	p.world.Store.Put("keyed.servers", id, body)
}

// ServeHTTP echoes the body of the request.
func (p *Plain) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s := p.world.shared
	s.mu.Lock()
	self := p.ID
	s.mu.Unlock()
	if want := r.Header.Get("X-Carawayproxy-Expect-Instance"); want != "" && want != self {
		echoID(w, r)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	crashes := string(body) == CrashingBody
	id := r.Header.Get("X-Carawayproxy-Attempt-Id")
	s.mu.Lock()
	s.recordZoneArrival(p.zone, self)
	s.announceLimit(w, r, p.addr)
	if s.announceLeaving(w, r, p.addr) || s.askPause(w, r, p.addr) {
		s.mu.Unlock()
		return
	}
	s.runs[id]++
	if crashes {
		s.crashingRuns[CrashingBody] = append(s.crashingRuns[CrashingBody], crashingRun{time.Now(), id})
	}
	drop, fail := p.DropResponses, p.Fail
	s.mu.Unlock()
	time.Sleep(workTime)
	if crashes {
		p.crash(self)
	}
	if drop || crashes {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("X-Carawayproxy-Attempt-Id", id)
	w.Header().Set("X-Carawayproxy-Server-Stamp", "proof-"+self)
	w.Header().Set("X-Seen-Tenant", r.Header.Get("X-Carawayproxy-Tenant"))
	w.Header().Set("X-Seen-Key", r.Header.Get("X-Carawayproxy-Key"))
	w.Header().Set("X-Seen-Target", r.RequestURI)
	if fail {
		w.WriteHeader(http.StatusInternalServerError)
	}
	_, _ = w.Write(body)
}
