package main

import (
	"fmt"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// freezeTime is how long the daemon stands still, and downTime how long the server is
	// away, which begins crashDelay after the freeze.
	freezeTime = 3 * time.Second
	crashDelay = 150 * time.Millisecond
	downTime   = 2 * time.Second
	// streamBudget, streamGap and lookupBudget are how long requesters wait: a stream's
	// objective is 1,000 ms, of which PROTOCOL.md allows four times as a gap.
	streamBudget = 6 * time.Second
	streamGap    = 4 * time.Second
	lookupBudget = 5 * time.Second
	rounds       = 3
	perRound     = 6
)

// frozen is the case of a daemon that stands still while a server crashes and comes back.
func frozen() {
	r := newRig()
	r.store.putJSON("keyed.op", "config", map[string]any{
		"version": 3,
		"routes": []any{
			map[string]any{"name": "sum", "host": "review.example", "pathPrefix": "/sum/", "routeKind": "streaming", "timeoutMs": 6000, "sloMs": 1000, "gapSloMs": 300, "priority": 1, "service": "desk", "maxAttempts": 2, "resumable": true},
			map[string]any{"name": "look", "host": "review.example", "pathPrefix": "/look/", "routeKind": "safe", "timeoutMs": 5000, "sloMs": 1000, "priority": 1, "service": "desk", "maxAttempts": 2},
		},
		"services": []any{map[string]any{"name": "desk", "healthPath": "/healthz", "maxConns": 100}},
		"tenants":  []any{map[string]any{"name": "t", "apiKeys": []string{"k1"}}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 1048576, "headerTimeoutMs": 5000, "idleTimeoutMs": 15000},
	})
	born := time.Now().UnixMilli()
	first := r.startServer(1, "i-1", "desk", "a", born)
	r.startServer(2, "i-2", "desk", "b", born)
	r.startDaemons()
	wrong, served := 0, 0
	for round := 1; round <= rounds; round++ {
		daemon := r.daemons[0]
		id := fmt.Sprintf("i-1-%d", round)
		var wait sync.WaitGroup
		var mu sync.Mutex
		for n := range perRound {
			stream := n%2 == 0
			wait.Go(func() {
				attempt := fmt.Sprintf("r%d-%d", round, n)
				var a answer
				var want string
				if stream {
					for k := 1; k <= eventCount; k++ {
						want += event(attempt, k)
					}
					a = send(front(daemon), "POST", "/sum/"+attempt, attempt, "k1", "text of "+attempt, nil, streamBudget, streamGap)
				} else {
					for k := 1; k <= lookupPieces; k++ {
						want += piece(attempt, k)
					}
					// The lookups start later, to be under way when the daemon stands still.
					time.Sleep(400 * time.Millisecond)
					a = send(front(daemon), "GET", "/look/"+attempt, attempt, "k1", "", nil, lookupBudget, 0)
				}
				mu.Lock()
				defer mu.Unlock()
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
				r.printf("requester: %s got status %d, %d of %d bytes, %d pieces, longest pause %s, proof %q: %s", attempt, a.status, len(a.body), len(want), strings.Count(a.body, attempt), a.longest.Round(time.Millisecond), a.header.Get("X-Carawayproxy-Server-Stamp"), verdict)
			})
		}
		time.Sleep(700 * time.Millisecond)
		t := trouble()
		if t == "1" || t == "freeze" {
			daemon.signal(syscall.SIGSTOP)
			r.printf("%s stands still", daemon.name)
		}
		time.Sleep(crashDelay)
		if t == "1" || t == "kill" {
			first.kill()
			r.printf("server %s is killed", first.name)
		}
		time.Sleep(downTime)
		if t == "1" || t == "kill" {
			first = r.startServer(1, id, "desk", "a", time.Now().UnixMilli())
		}
		time.Sleep(freezeTime - downTime - crashDelay)
		daemon.signal(syscall.SIGCONT)
		r.printf("%s goes on", daemon.name)
		wait.Wait()
		// The entry of the life that ended goes after three intervals of silence.
		if t == "1" || t == "kill" {
			old := "i-1"
			if round > 1 {
				old = fmt.Sprintf("i-1-%d", round-1)
			}
			r.store.put("keyed.servers", old, nil)
		}
		time.Sleep(3 * time.Second)
	}
	r.logRuns()
	switch {
	case wrong > 0:
		r.finish(broken, fmt.Sprintf("%d answers of %d ended early and looked complete", wrong, rounds*perRound))
	case served == 0:
		r.finish(couldNot, "no answer was complete")
	}
	r.finish(held, fmt.Sprintf("no answer that ended early looked complete; %d were served", served))
}
