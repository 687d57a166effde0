package main

import (
	"fmt"
	"os"
	"strings"
	"time"
)

const (
	quietServers = 8
	quietTrials  = 6
	// quietKillAt is when a server is killed, after its stream has begun.
	quietKillAt = 800 * time.Millisecond
	quietDown   = 3 * time.Second
)

// runner returns the number of the server that runs an attempt, zero for none.
func (r *rig) runner(attempt string) int {
	for n := 1; n <= quietServers; n++ {
		if data, err := os.ReadFile(r.serverLog(n)); err == nil && strings.Contains(string(data), " runs "+attempt+" ") {
			return n
		}
	}
	return 0
}

// quiet is the case of a server that crashes in a quiet hour, while the other daemons are
// gone.
func quiet() {
	r := newRig()
	r.store.putJSON("keyed.op", "config", map[string]any{
		"version": 3,
		"routes": []any{
			map[string]any{"name": "sum", "host": "review.example", "pathPrefix": "/sum/", "routeKind": "streaming", "timeoutMs": 6000, "sloMs": 1000, "gapSloMs": 300, "priority": 1, "service": "desk", "maxAttempts": 2, "resumable": true},
		},
		"services": []any{map[string]any{"name": "desk", "healthPath": "/healthz", "maxConns": 100}},
		"tenants":  []any{map[string]any{"name": "t", "apiKeys": []string{"k1"}}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 1048576, "headerTimeoutMs": 5000, "idleTimeoutMs": 15000},
	})
	servers, ids := map[int]*process{}, map[int]string{}
	born := time.Now().UnixMilli()
	for n := 1; n <= quietServers; n++ {
		ids[n] = fmt.Sprintf("i-%d", n)
		servers[n] = r.startServer(n, ids[n], "desk", []string{"a", "b", "c"}[n%3], born)
	}
	r.startDaemons()
	t := trouble()
	if t == "1" || t == "daemons" {
		for _, d := range r.daemons[1:] {
			d.kill()
			r.printf("daemon %s is killed and does not come back", d.name)
		}
		time.Sleep(10 * time.Second)
	}
	daemon, wrong, served := r.daemons[0], 0, 0
	for trial := 1; trial <= quietTrials; trial++ {
		attempt := fmt.Sprintf("s%d", trial)
		done := make(chan answer)
		go func() {
			done <- send(front(daemon), "POST", "/sum/"+attempt, attempt, "k1", "text of "+attempt, nil, 6*time.Second, 4*time.Second)
		}()
		time.Sleep(quietKillAt)
		n := r.runner(attempt)
		if n == 0 {
			r.finish(couldNot, "no server runs "+attempt)
		}
		if t == "1" || t == "kill" {
			servers[n].kill()
			r.printf("server %s, which runs %s, is killed", ids[n], attempt)
		}
		a, want := <-done, ""
		for k := 1; k <= eventCount; k++ {
			want += event(attempt, k)
		}
		verdict := "complete"
		switch {
		case a.status/100 == 2 && a.whole && a.body == want:
			served++
		case a.status/100 == 2 && a.whole:
			verdict = "LOOKS COMPLETE AND IS NOT"
			wrong++
		default:
			verdict = fmt.Sprintf("no complete success, as the requester sees (%v)", a.err)
		}
		r.printf("requester: %s got status %d, %d of %d events, longest pause %s, proof %q: %s", attempt, a.status, strings.Count(a.body, "id: "), eventCount, a.longest.Round(time.Millisecond), a.header.Get("X-Carawayproxy-Server-Stamp"), verdict)
		time.Sleep(quietDown)
		if t == "1" || t == "kill" {
			old := ids[n]
			ids[n] = fmt.Sprintf("i-%d-%d", n, trial)
			servers[n] = r.startServer(n, ids[n], "desk", []string{"a", "b", "c"}[n%3], time.Now().UnixMilli())
			r.store.put("keyed.servers", old, nil) // after three intervals of silence
			time.Sleep(time.Second)
		}
	}
	r.logRuns()
	switch {
	case wrong > 0:
		r.finish(broken, fmt.Sprintf("%d of %d streams ended early and looked complete", wrong, quietTrials))
	case served == 0:
		r.finish(couldNot, "no stream was complete")
	}
	r.finish(held, fmt.Sprintf("no stream that ended early looked complete; %d were served", served))
}
