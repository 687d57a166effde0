package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"syscall"
	"time"
)

// document is the first manifest: one plain service, as logbook-app of the sheets, with a
// safe route, an unsafe one, and a resumable stream.
func document(version int, timeoutMS int) []byte {
	route := func(name, prefix, kind string, attempts int, more map[string]any) map[string]any {
		r := map[string]any{"name": name, "host": "ficu95.example", "pathPrefix": prefix, "routeKind": kind, "timeoutMs": timeoutMS, "sloMs": 300,
			"priority": 2, "service": "logbook-app", "maxAttempts": attempts, "public": false}
		for k, v := range more {
			r[k] = v
		}
		return r
	}
	d, _ := json.Marshal(map[string]any{
		"version": version,
		"routes": []any{
			route("r-safe", "/lookup/", "safe", 2, nil),
			route("r-unsafe", "/entry/", "unsafe", 1, nil),
			route("r-stream", "/stream/", "streaming", 2, map[string]any{"resumable": true, "gapSloMs": 300}),
		},
		"services": []any{map[string]any{"name": "logbook-app", "healthPath": "/healthz", "maxConns": 110, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 5000, "idleTimeoutMs": 20000},
		"tenants":  []any{map[string]any{"name": "hule930", "apiKeys": []string{"n2ctnfzs989anu6wsjnb"}}},
	})
	return d
}

// answer is what a requester got.
type answer struct {
	status int
	stamp  string
	body   string
	err    error // the channel failed, or the answer broke off
}

func request(ctx context.Context, front, method, path, attempt string, deadline int, body io.Reader) answer {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+front+path, body)
	if err != nil {
		return answer{err: err}
	}
	req.Host = "ficu95.example"
	req.Header.Set("X-Carawayproxy-Attempt-Id", attempt)
	req.Header.Set("X-Carawayproxy-Deadline-Ms", fmt.Sprint(deadline))
	req.Header.Set("X-Carawayproxy-Key", "n2ctnfzs989anu6wsjnb")
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	res, err := client.Do(req)
	if err != nil {
		return answer{err: err}
	}
	defer res.Body.Close()
	text, err := io.ReadAll(res.Body)
	return answer{res.StatusCode, res.Header.Get("X-Carawayproxy-Server-Stamp"), string(text), err}
}

// call is a kind of request.
type call struct{ kind, method, path string }

const (
	shortParts = 12
	shortPause = 100 * time.Millisecond
	// killAfter is how much of an answer has been sent when its server crashes.
	killAfter = 750 * time.Millisecond
)

// runShort is the case of answers that end early because their server crashes, at the only
// daemon that is left.
func runShort(args []string) int {
	trouble := os.Getenv("TROUBLE") != "0"
	w, err := newWorld(args[0])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	defer w.end()
	w.store.put("keyed.op", "config", document(1, 6000))
	serverArgs := []string{"--parts", fmt.Sprint(shortParts), "--pause", shortPause.String()}
	zones := []string{"pokhara-a", "pokhara-b", "syangja"}
	servers := map[string]*serverProc{}
	starts := 0
	startServer := func(zone string) bool {
		starts++
		s, err := w.startServer(fmt.Sprintf("i-%d", starts), "logbook-app", zone, serverArgs...)
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			return false
		}
		servers[s.id] = s
		return true
	}
	for _, zone := range zones {
		if !startServer(zone) {
			return notRun
		}
	}
	var daemons []*daemon
	for _, zone := range zones {
		d, err := w.startDaemon("edge-"+zone+"-1", zone, true)
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			return notRun
		}
		daemons = append(daemons, d)
	}
	for _, d := range daemons {
		if !d.awaitReady(15 * time.Second) {
			fmt.Fprintln(os.Stderr, d.name, "is not ready")
			return notRun
		}
	}
	time.Sleep(3 * time.Second)
	if trouble {
		for _, d := range daemons[1:] {
			w.note("SIGKILL %s", d.name)
			d.signal(syscall.SIGKILL)
		}
	}
	time.Sleep(5 * time.Second)
	front := daemons[0].front
	result, served := held, 0
	stream := call{"stream", "POST", "/stream/7"}
	calls := []call{stream, stream, {"safe", "GET", "/lookup/7"}, stream, stream, {"unsafe", "POST", "/entry/7"}, stream, stream}
	for round, call := range calls {
		attempt := fmt.Sprintf("attempt-%02d", round+1)
		got := make(chan answer, 1)
		w.note("request %s: %s %s (%s) to %s", attempt, call.method, call.path, call.kind, daemons[0].name)
		go func() {
			var body io.Reader
			if call.method == "POST" {
				body = strings.NewReader("a reading of " + attempt)
			}
			got <- request(context.Background(), front, call.method, call.path, attempt, 6000, body)
		}()
		for end := time.Now().Add(2 * time.Second); len(w.runsOf(attempt)) == 0 && time.Now().Before(end); {
			time.Sleep(5 * time.Millisecond)
		}
		crashed := w.runsOf(attempt)
		if len(crashed) == 0 {
			w.note("no server runs %s", attempt)
		} else if trouble {
			time.Sleep(killAfter)
			w.note("SIGKILL server %s, which is answering %s", crashed[0], attempt)
			servers[crashed[0]].signal(syscall.SIGKILL)
		}
		a := <-got
		parts := strings.Count(a.body, "part ")
		whole := parts == shortParts
		w.note("answer to %s: status %d, stamp %q, %d of %d parts, error %v, run by %v", attempt, a.status, a.stamp, parts, shortParts, a.err, w.runsOf(attempt))
		switch {
		case a.err == nil && a.status/100 == 2 && !whole && call == stream:
			w.note("BROKEN (ORDER): the stream of %s ends as complete and lacks %d of %d events", attempt, shortParts-parts, shortParts)
			result = broken
		case a.err == nil && a.status/100 == 2 && !whole: // not counted, see claim.txt
			w.note("(MIXED): the answer to %s looks complete and lacks %d of %d parts", attempt, shortParts-parts, shortParts)
		case a.err == nil && a.status/100 == 2:
			served++
		}
		if trouble && len(crashed) > 0 { // it is back after some seconds, with another id
			zone := zones[round%len(zones)]
			time.Sleep(1500 * time.Millisecond)
			if !startServer(zone) {
				return notRun
			}
			time.Sleep(1500 * time.Millisecond)
		}
	}
	w.note("%d of %d requests were served whole", served, len(calls))
	if !trouble && served < len(calls) {
		w.note("without a disruption all must be served")
		return notRun
	}
	return result
}
