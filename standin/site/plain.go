package site

import (
	"encoding/json"
	"io"
	"net/http"
	"time"
)

// Plain is one server of the plain service. DropResponses and Fail are guarded by
// the lock of World.shared.
type Plain struct {
	world *World
	ID    string
	addr  string
	// DropResponses runs requests and closes their connections without a
	// response.
	DropResponses bool
	// Fail answers every request with status 500.
	Fail bool
}

// workTime is the time that a plain server takes for a request.
const workTime = 20 * time.Millisecond

func (p *Plain) announce(state string) {
	body, err := json.Marshal(map[string]any{
		"service": PlainService, "addr": p.addr, "zone": "a", "version": "v1", "slots": Slots,
		"state": state, "coldLeftMs": 0, "seq": 0, "born": 1,
	})
	if err != nil {
		panic(err)
	}
	p.world.Store.Put("keyed.servers", p.ID, body)
}

// ServeHTTP echoes the body of the request.
func (p *Plain) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if want := r.Header.Get("X-Carawayproxy-Expect-Instance"); want != "" && want != p.ID {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	id := r.Header.Get("X-Carawayproxy-Attempt-Id")
	s := p.world.shared
	s.mu.Lock()
	s.runs[id]++
	drop, fail := p.DropResponses, p.Fail
	s.mu.Unlock()
	time.Sleep(workTime)
	if drop {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("X-Carawayproxy-Attempt-Id", id)
	w.Header().Set("X-Carawayproxy-Server-Stamp", "proof-"+p.ID)
	w.Header().Set("X-Seen-Tenant", r.Header.Get("X-Carawayproxy-Tenant"))
	w.Header().Set("X-Seen-Key", r.Header.Get("X-Carawayproxy-Key"))
	w.Header().Set("X-Seen-Target", r.RequestURI)
	if fail {
		w.WriteHeader(http.StatusInternalServerError)
	}
	_, _ = w.Write(body)
}
