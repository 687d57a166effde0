package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// Bounds and names of the small deployment.
const (
	heartbeat    = 1200 * time.Millisecond
	drainTime    = 2 * time.Second // drainMs
	hostName     = "logbook.example"
	tenantName   = "trust"
	tenantKey    = "n2ctnfzs989anu6wsjnb"
	plainService = "logbook-app"
)

// arrival is one request at a server.
type arrival struct {
	at           time.Time
	id, target   string
	body         string
	tenant, key  string
	serverLeaves bool
}

// plainServer is a sound server of a plain service.
type plainServer struct {
	rec   *record
	store *store
	id    string
	addr  string
	work  time.Duration
	born  time.Time
	cold  time.Duration // how long it is slow after its start

	mu       sync.Mutex
	state    string
	written  string // the newest entry that it wrote
	seq      int
	arrivals []arrival
	listener net.Listener
	gone     bool
	channels map[net.Conn]bool
}

func startPlain(rec *record, s *store, id string, work, cold time.Duration) *plainServer {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fatal("server: %v", err)
	}
	p := &plainServer{rec: rec, store: s, id: id, addr: l.Addr().String(), work: work, cold: cold, born: time.Now(), state: "ready", listener: l, channels: map[net.Conn]bool{}}
	p.announce()
	go p.accept()
	go p.beat()
	return p
}

// entry returns the server's entry in the list, without its seq.
func (p *plainServer) entry() string {
	left := max(p.cold-time.Since(p.born), 0).Milliseconds()
	body, _ := json.Marshal(map[string]any{
		"service": plainService, "addr": p.addr, "zone": "a", "version": "v1", "slots": 6,
		"state": p.state, "coldLeftMs": left, "born": p.born.UnixMilli(),
	})
	return string(body)
}

// announce writes the server's entry if more than its seq changes, or if the store
// has lost what it wrote.
func (p *plainServer) announce() (offset int, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	entry := p.entry()
	lost := p.written != "" && string(p.store.value("keyed.servers", p.id)) != p.written
	if p.gone || entry == p.written && !lost {
		return 0, true
	}
	offset, ok = p.store.put("keyed.servers", p.id, []byte(entry))
	if ok {
		p.written = entry
		p.rec.add("server %s: entry at offset %d: %s", p.id, offset, p.state)
	}
	return offset, ok
}

func (p *plainServer) beat() {
	for !p.isGone() {
		time.Sleep(heartbeat)
		p.announce()
	}
}

func (p *plainServer) isGone() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.gone
}

// leave reports draining, and returns when the store has accepted that.
func (p *plainServer) leave() time.Time {
	p.mu.Lock()
	p.state = "draining"
	p.mu.Unlock()
	for {
		if _, ok := p.announce(); ok {
			p.rec.add("server %s: draining, accepted by the store", p.id)
			return time.Now()
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// exit ends the server with its channels, and removes its entry.
func (p *plainServer) exit() {
	p.mu.Lock()
	p.gone = true
	_ = p.listener.Close()
	for c := range p.channels {
		_ = c.Close()
	}
	p.mu.Unlock()
	p.store.put("keyed.servers", p.id, nil)
	p.rec.add("server %s: has left", p.id)
}

func (p *plainServer) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.serve(c)
	}
}

// serve serves one channel.
func (p *plainServer) serve(c net.Conn) {
	defer c.Close()
	p.mu.Lock()
	p.channels[c] = true
	p.mu.Unlock()
	defer func() {
		p.mu.Lock()
		delete(p.channels, c)
		p.mu.Unlock()
	}()
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		id := req.Header.Get("X-Carawayproxy-Attempt-Id")
		if want := req.Header.Get("X-Carawayproxy-Expect-Instance"); want != "" && want != p.id {
			fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nX-Carawayproxy-Attempt-Id: %s\r\nContent-Length: 0\r\n\r\n", id)
			continue
		}
		p.mu.Lock()
		leaves := p.state == "draining"
		p.arrivals = append(p.arrivals, arrival{time.Now(), id, req.RequestURI, string(body), req.Header.Get("X-Carawayproxy-Tenant"), req.Header.Get("X-Carawayproxy-Key"), leaves})
		p.mu.Unlock()
		time.Sleep(p.work)
		leaving := ""
		if leaves {
			leaving = "Server-Leaving: 1\r\n"
		}
		answer := "entry of " + id
		if _, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Carawayproxy-Attempt-Id: %s\r\nX-Carawayproxy-Server-Stamp: proof-%s\r\n%sContent-Type: text/plain\r\nContent-Length: %d\r\n\r\n%s", id, p.id, leaving, len(answer), answer); err != nil || req.Close {
			return
		}
	}
}

func (p *plainServer) seen() []arrival {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]arrival(nil), p.arrivals...)
}

// manifest returns a manifest with one plain service.
func manifest(version int, prefixes map[string]string) []byte {
	var routes []any
	for prefix, kind := range prefixes {
		attempts := 1
		if kind == "safe" {
			attempts = 2
		}
		routes = append(routes, map[string]any{
			"name": "r" + prefix, "host": hostName, "pathPrefix": prefix, "routeKind": kind, "timeoutMs": 800, "sloMs": 300,
			"priority": 2, "service": plainService, "maxAttempts": attempts,
		})
	}
	body, _ := json.Marshal(map[string]any{
		"version": version, "routes": routes,
		"services": []any{map[string]any{"name": plainService, "healthPath": "/healthz", "maxConns": 110}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 1 << 20, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants":  []any{map[string]any{"name": tenantName, "apiKeys": []string{tenantKey}, "priority": 1}},
	})
	return body
}
