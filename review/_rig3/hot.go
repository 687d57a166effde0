package main

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"time"
)

const (
	hotServers = 8
	hotGap     = 100 * time.Millisecond
	// hotCalm is how long requests come before the first round, and hotRound how long a round
	// takes. In each, all prompts begin with a new first part. hotShort is when a round but the
	// last ends if requests are served then.
	hotCalm   = 6 * time.Second
	hotRound  = 16 * time.Second
	hotShort  = 7 * time.Second
	hotRounds = 10
	// hotFirst is when the first request with the deadly part comes in a round, and hotNext the
	// time between two from the second on.
	hotFirst = 1500 * time.Millisecond
	hotNext  = 6 * time.Second
)

// hotSecond are the times from the first of these requests to the second in one round after
// the other.
var hotSecond = [...]time.Duration{
	500 * time.Millisecond, 400 * time.Millisecond, 450 * time.Millisecond,
	350 * time.Millisecond, 550 * time.Millisecond,
}

// hot is the case of prompts with a new first part, beside requests with the same first part
// and one that crashes servers.
func hot() {
	var deadly []string
	for k := range hotRounds {
		deadly = append(deadly, fmt.Sprintf("7f3a902%x", k))
	}
	_, _ = os.Setenv("DEADLY", strings.Join(deadly, ",")), os.Setenv("EVENTS", "80")
	r := newRig()
	r.store.putJSON("keyed.op", "config", map[string]any{
		"version": 3,
		"routes": []any{
			map[string]any{"name": "sum", "host": "review.example", "pathPrefix": "/sum/", "routeKind": "streaming", "timeoutMs": 8000, "sloMs": 1000, "gapSloMs": 300, "priority": 1, "service": "desk", "maxAttempts": 2, "resumable": true},
		},
		"services": []any{map[string]any{"name": "desk", "healthPath": "/healthz", "maxConns": 278}},
		"tenants":  []any{map[string]any{"name": "t", "apiKeys": []string{"k1"}}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	var mu sync.Mutex
	over := false
	var crashes []time.Time
	var keep func(n, life int, p *process)
	keep = func(n, life int, p *process) { // starts a server again that has crashed
		<-p.ended
		mu.Lock()
		if over {
			mu.Unlock()
			return
		}
		crashes = append(crashes, time.Now())
		mu.Unlock()
		r.printf("server %s crashes", p.name)
		time.Sleep(crashRestart)
		again := r.startServer(n, fmt.Sprintf("i-%d-%d", n, life+1), "desk", "a", time.Now().UnixMilli())
		r.store.put("keyed.servers", p.name, nil)
		keep(n, life+1, again)
	}
	born := time.Now().UnixMilli()
	for n := 1; n <= hotServers; n++ {
		go keep(n, 0, r.startServer(n, fmt.Sprintf("i-%d", n), "desk", "a", born))
	}
	r.startDaemons()
	type result struct {
		id   string
		sent time.Time
	}
	var results []result
	var wait sync.WaitGroup
	ask := func(id, prefix string, d *process) {
		wait.Go(func() {
			sent := time.Now()
			a := send(front(d), "POST", "/sum/"+id, id, "k1", "text of "+id, map[string]string{"X-Carawayproxy-Prefix-Hash": prefix, "X-Carawayproxy-Token-Usage": "640,80"}, 8*time.Second, 4*time.Second)
			mu.Lock()
			defer mu.Unlock()
			if strings.HasPrefix(id, "sound") {
				results = append(results, result{id, sent})
			}
			r.printf("requester: %s, sent to %s %s ago, got status %d, complete %v, Retry-After %q (%v)", id, d.name, a.took.Round(time.Millisecond), a.status, a.whole, a.header.Get("Retry-After"), a.err)
		})
	}
	logs := func() string {
		all := ""
		for n := 1; n <= hotServers; n++ {
			data, _ := os.ReadFile(r.serverLog(n))
			all += string(data)
		}
		return all
	}
	served := func(from, to int) int { // how many of these sound requests have begun
		all, begun := logs(), 0
		for k := from; k < to; k++ {
			if strings.Contains(all, fmt.Sprintf(" runs sound-%d ", k)) {
				begun++
			}
		}
		return begun
	}
	n := 0
	run := func(d, second time.Duration, short bool, first, part string) {
		began, end := time.Now(), time.Now().Add(d)
		ended := make(chan struct{})
		defer close(ended)
		if part != "" {
			go func() {
				pause := hotFirst
				for k := 0; time.Now().Add(pause).Before(end); k++ {
					select {
					case <-ended:
						return
					case <-time.After(pause):
					}
					ask(fmt.Sprintf("deadly-%s-%d", part, k), fmt.Sprintf("%s:40,%s:40,%08x:560", first, part, 0xe0000000+k), r.daemons[(k+1)%3])
					pause = hotNext
					if k == 0 {
						pause = second
					}
				}
			}()
		}
		for ; time.Now().Before(end); n++ {
			if short && time.Since(began) > hotShort {
				short = false
				if served(n-15, n-5) > 5 {
					return
				}
			}
			ask(fmt.Sprintf("sound-%d", n), fmt.Sprintf("%s:40,%08x:600", first, 0xf0000000+n), r.daemons[n%3])
			time.Sleep(hotGap)
		}
	}
	run(hotCalm, 0, false, "00000001", "")
	calmEnd := time.Now()
	words, broke := "", false
	for k := 0; k < hotRounds && !broke; k++ {
		part := deadly[k]
		if trouble() == "0" {
			part = ""
		}
		mu.Lock()
		before := len(crashes)
		mu.Unlock()
		began := time.Now()
		r.printf("round %d: all prompts begin with a new part", k+1)
		run(hotRound, hotSecond[k%len(hotSecond)], k < hotRounds-1, fmt.Sprintf("000001%02x", k), part)
		time.Sleep(time.Second) // the last requests have begun
		mu.Lock()
		here := crashes[before:]
		// The rule counts from twice the stable window after the fifth crash, the last if there
		// are fewer.
		from := began.Add(2 * stableWindow)
		if c := min(len(here), crashesBefore); c > 0 {
			from = here[c-1].Add(2 * stableWindow)
		}
		all := logs()
		calmBegun, calmSent, begun, sent := 0, 0, 0, 0
		for _, x := range results {
			runs := 0
			if strings.Contains(all, " runs "+x.id+" ") {
				runs = 1
			}
			switch {
			case x.sent.Before(calmEnd):
				calmSent++
				calmBegun += runs
			case x.sent.After(from):
				sent++
				begun += runs
			}
		}
		mu.Unlock()
		words = fmt.Sprintf("round %d, %d crashes: of the sound requests answered and sent later than %s after the fifth or last %d of %d began, of those in calm %d of %d", k+1, len(here), 2*stableWindow, begun, sent, calmBegun, calmSent)
		r.printf("%s", words)
		if calmSent < 20 || calmBegun == 0 {
			r.finish(couldNot, "too few requests: "+words)
		}
		broke = sent >= 20 && 2*begun*calmSent < calmBegun*sent
	}
	wait.Wait()
	mu.Lock()
	over = true
	mu.Unlock()
	r.logRuns()
	if broke {
		r.finish(broken, words)
	}
	r.finish(held, words)
}
