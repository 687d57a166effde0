package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Times of the engines.
const (
	engineService = "drafting-models"
	engineModel   = "daka510000"
	groupSize     = 2
	engineSlots   = 17
	rejoinTime    = 200 * time.Millisecond
	warmTime      = 1100 * time.Millisecond
	loadTime      = 12 * time.Second
	formTime      = 300 * time.Millisecond
	eventTime     = 40 * time.Millisecond
	streamEvents  = 34
)

// place is an engine's place in a group.
type place struct {
	Name    string `json:"name"`
	Epoch   uint64 `json:"epoch"`
	Rank    int    `json:"rank"`
	State   string `json:"state"`
	members []string
	model   string
}

// engine is one model engine, in a process of its own. Its answers to streams have
// neither a length nor chunks and end with their channel.
type engine struct {
	id, addr, store, domain string
	lead                    time.Time // until then loads take a tenth

	mu           sync.Mutex
	seq          uint64
	highestEpoch uint64
	lastModel    string
	staged       []string
	place        *place
	active       int
	born         time.Time
	notes        *os.File // what it has run
}

// runEngine runs an engine: rig engine ID ADDRESS STORE DOMAIN STAGED LEAD-MS NOTES.
func runEngine(args []string) {
	leadMS, _ := strconv.Atoi(args[5])
	e := &engine{id: args[0], addr: args[1], store: args[2], domain: args[3], lead: time.Now().Add(time.Duration(leadMS) * time.Millisecond), born: time.Now(), staged: []string{}}
	if args[4] != "" {
		e.staged = []string{args[4]}
	}
	var err error
	if e.notes, err = os.OpenFile(args[6], os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644); err != nil {
		os.Exit(2)
	}
	l, err := net.Listen("tcp", e.addr)
	if err != nil {
		os.Exit(2)
	}
	e.announce()
	parent := os.Getppid()
	go func() {
		for range time.Tick(heartbeat) {
			if os.Getppid() != parent {
				os.Exit(0) // the case has ended without ending its engines
			}
			e.announce()
		}
	}()
	for {
		c, err := l.Accept()
		if err != nil {
			os.Exit(2)
		}
		go e.serve(c)
	}
}

func (e *engine) report() map[string]any {
	out := map[string]any{
		"service": engineService, "addr": e.addr, "zone": "a", "version": "v1", "slots": engineSlots, "state": "ready", "coldLeftMs": 0,
		"seq": e.seq, "born": e.born.UnixMilli(), "domain": e.domain, "staged": e.staged, "active": e.active, "queued": 0, "pace": 1.0,
		"phase": "prefill_decode", "models": []any{}, "busy": false,
	}
	if e.place != nil {
		out["group"] = *e.place
	}
	return out
}

// announce writes the engine's entry; the store keeps it if only seq has changed.
func (e *engine) announce() {
	e.mu.Lock()
	entry := e.report()
	delete(entry, "active")
	body, _ := json.Marshal(entry)
	e.mu.Unlock()
	res, err := http.Post("http://"+e.store+"/rig/announce?key="+url.QueryEscape(e.id), "application/json", strings.NewReader(string(body)))
	if err == nil {
		_ = res.Body.Close()
	}
}

func (e *engine) serve(c net.Conn) {
	defer c.Close()
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
		answer := func(status int, header, body string) bool {
			_, err := fmt.Fprintf(c, "HTTP/1.1 %d %s\r\nX-Carawayproxy-Attempt-Id: %s\r\n%sContent-Length: %d\r\n\r\n%s", status, http.StatusText(status), id, header, len(body), body)
			return err == nil && !req.Close
		}
		want := req.Header.Get("X-Carawayproxy-Expect-Instance")
		switch {
		case want != "" && want != e.id:
			if !answer(http.StatusMisdirectedRequest, "", "") {
				return
			}
		case req.URL.Path == "/carawayproxy/report":
			e.mu.Lock()
			data, _ := json.Marshal(e.report())
			e.mu.Unlock()
			if !answer(http.StatusOK, "Content-Type: application/json\r\n", string(data)) {
				return
			}
		case req.URL.Path == "/carawayproxy/order":
			if !answer(e.order(body), "", "") {
				return
			}
		default:
			e.mu.Lock()
			p := e.place
			status := 0
			switch {
			case p == nil || p.Rank != 0:
				status = http.StatusMisdirectedRequest
			case p.State != "open" || p.model != req.Header.Get("X-Carawayproxy-Model") || e.active >= engineSlots:
				status = http.StatusServiceUnavailable
			default:
				e.active++
			}
			e.mu.Unlock()
			if status != 0 {
				if !answer(status, "X-Carawayproxy-Not-Executed: 1\r\nAt-Server: "+e.id+"\r\n", "") {
					return
				}
				continue
			}
			e.stream(c, req, id)
			e.mu.Lock()
			e.active--
			e.mu.Unlock()
			return // the answer ends with its channel
		}
	}
}

// event returns an event of the answer to a request. Each is written at once.
func event(id string, n int) string { return fmt.Sprintf("id: %d\ndata: %s-%d\n\n", n, id, n) }

func (e *engine) stream(c net.Conn, req *http.Request, id string) {
	from, _ := strconv.Atoi(req.Header.Get("Last-Event-Id"))
	fmt.Fprintf(e.notes, "%s runs %s from event %d\n", e.id, id, from+1)
	_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Carawayproxy-Attempt-Id: %s\r\nX-Carawayproxy-Server-Stamp: proof-%s\r\nContent-Type: text/event-stream\r\n\r\n", id, e.id)
	for n := from + 1; n <= streamEvents; n++ {
		time.Sleep(eventTime)
		if _, err := io.WriteString(c, event(id, n)); err != nil {
			return
		}
	}
}

func (e *engine) order(body []byte) int {
	var o struct {
		Op, Group, Model string
		Epoch            uint64
		Members          []string
	}
	if json.Unmarshal(body, &o) != nil {
		return http.StatusBadRequest
	}
	e.mu.Lock()
	p := e.place
	mine := p != nil && p.Name == o.Group && p.Epoch == o.Epoch
	status, after, to := http.StatusAccepted, time.Duration(0), ""
	switch o.Op {
	case "join":
		rank := slices.Index(o.Members, e.id)
		switch {
		case mine && slices.Equal(p.members, o.Members):
			status = http.StatusOK
		case o.Epoch < e.highestEpoch || mine || rank < 0:
			status = http.StatusPreconditionFailed
		default:
			e.highestEpoch = o.Epoch
			p = &place{Name: o.Group, Epoch: o.Epoch, Rank: rank, State: "joining", members: o.Members, model: o.Model}
			e.place = p
			switch {
			case e.lastModel == o.Model:
				after = rejoinTime
			case slices.Contains(e.staged, o.Model):
				after = warmTime
			case time.Now().Before(e.lead):
				after = loadTime / 10
			default:
				after = loadTime
			}
			to = "ready"
		}
	case "open":
		switch {
		case !mine || p.Rank != 0 || p.State == "joining":
			status = http.StatusConflict
		case p.State == "open":
			status = http.StatusOK
		default:
			after, to = formTime, "open"
		}
	case "close":
		if !mine {
			status = http.StatusConflict
		} else {
			p.State, after, to = "closing", 500*time.Millisecond, "ready"
		}
	case "leave":
		if !mine {
			status = http.StatusConflict
		} else {
			e.place = nil
		}
	case "phase":
		after = loadTime
		if time.Now().Before(e.lead) {
			after = loadTime / 10
		}
		time.AfterFunc(after, func() {
			e.mu.Lock()
			e.staged = []string{o.Model}
			e.mu.Unlock()
			e.announce()
		})
	default:
		status = http.StatusBadRequest
	}
	if status == http.StatusAccepted {
		e.seq++
	}
	e.mu.Unlock()
	if status == http.StatusAccepted {
		go e.announce()
	}
	if to != "" {
		time.AfterFunc(after, func() {
			e.mu.Lock()
			if e.place == p {
				p.State = to
				if to == "ready" {
					e.lastModel, e.staged = p.model, []string{p.model}
				}
			}
			e.mu.Unlock()
			e.announce()
		})
	}
	return status
}

// engineManifest returns a manifest with one model of two engines.
func engineManifest(version int) []byte {
	body, _ := json.Marshal(map[string]any{
		"version": version,
		"routes": []any{map[string]any{
			"name": "stream", "host": hostName, "pathPrefix": "/stream/", "routeKind": "streaming", "timeoutMs": 6000, "sloMs": 300, "gapSloMs": 200,
			"priority": 1, "service": engineService, "maxAttempts": 2, "resumable": true, "sticky": true,
		}},
		"services": []any{map[string]any{"name": engineService, "healthPath": "/healthz", "maxConns": 278, "engine": map[string]any{
			"slots": engineSlots, "kvCapacity": 1860000, "step_ms": 7.8, "per_seq_ms": 0.0947, "read_per_s": 45900.0, "formMs": 300.0, "loadsPerS": 5.0, "loads_at_once": 7,
			"report_lag_ms": 200.0, "far_x": 3.0, "retentionCount": 1, "usual": map[string]any{"prompt": 700, "answer": 170},
			"models": []any{map[string]any{"name": engineModel, "size": groupSize, "share": 1.0, "pace": 1.0, "loadS": loadTime.Seconds(), "warmS": warmTime.Seconds()}},
		}}},
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 1 << 20, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []any{map[string]any{"name": tenantName, "apiKeys": []string{tenantKey}, "priority": 1}},
	})
	return body
}
