package main

import (
	"fmt"
	"os"
	"time"
)

// logRuns copies what the servers ran to the record.
func (r *rig) logRuns() {
	for n := 1; n <= commonServers; n++ {
		if data, err := os.ReadFile(r.serverLog(n)); err == nil {
			r.mu.Lock()
			fmt.Fprintf(r.record, "server at address %d (Unix ms, instance, what):\n%s", n, data)
			r.mu.Unlock()
		}
	}
}

// lastTenant is the case of a manifest that takes the last tenant away.
func lastTenant() {
	r := newRig()
	manifest := func(version int, tenants []any, timeoutMs int) {
		r.store.putJSON("keyed.op", "config", map[string]any{
			"version":  version,
			"routes":   []any{map[string]any{"name": "book", "host": "review.example", "pathPrefix": "/book/", "routeKind": "unsafe", "timeoutMs": timeoutMs, "sloMs": 300, "priority": 1, "service": "desk", "maxAttempts": 1, "public": false}},
			"services": []any{map[string]any{"name": "desk", "healthPath": "/healthz", "maxConns": 100}},
			"tenants":  tenants,
			"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 1048576, "headerTimeoutMs": 5000, "idleTimeoutMs": 15000},
		})
		r.printf("operator: version %d, %d tenants, is acknowledged", version, len(tenants))
	}
	tenant := map[string]any{"name": "t", "apiKeys": []string{"k1"}}
	manifest(3, []any{tenant}, 2500)
	born := time.Now().UnixMilli()
	r.startServer(1, "i-1", "desk", "a", born)
	r.startServer(2, "i-2", "desk", "b", born)
	r.startDaemons()
	ran := map[string]int{}
	ask := func(when string, counts bool) {
		for _, d := range r.daemons {
			for _, key := range []string{"k1", "never-held", ""} {
				id := fmt.Sprintf("%s-%s-%s", when, d.name, key)
				a := send(front(d), "POST", "/book/x", id, key, "an entry", nil, 2500*time.Millisecond, 0)
				r.printf("requester: %s with key %q at %s got status %d, proof %q", id, key, d.name, a.status, a.header.Get("X-Carawayproxy-Server-Stamp"))
				if counts && a.status/100 == 2 {
					ran[key]++
				}
				if !counts && (a.status/100 == 2) != (key == "k1") {
					r.finish(couldNot, "keys are not checked before the change")
				}
			}
		}
	}
	ask("before", false)
	if trouble() == "0" {
		manifest(8, []any{tenant}, 2400)
	} else {
		manifest(8, []any{}, 2500)
	}
	time.Sleep(4 * time.Second) // configApplyMs is 2,000
	ask("after", true)
	r.logRuns()
	if n := ran["never-held"] + ran[""]; n > 0 {
		r.finish(broken, fmt.Sprintf("%d requests without a key, or with one that no manifest ever held, ran after the change, and %d with the key that was taken away", n, ran["k1"]))
	}
	r.finish(held, "only requests with a key that the manifest holds ran")
}
