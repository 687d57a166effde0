package main

import (
	"fmt"
	"math/rand"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	deadlyServers = 8
	// deadlyPart is the part of a prompt on which servers crash.
	deadlyPart = "7f3a9020"
	// deadlyTime is how long requests come, deadlyGap the time between two with that part,
	// and soundGap that between two others.
	deadlyTime = 45 * time.Second
	deadlyGap  = 1800 * time.Millisecond
	soundGap   = 25 * time.Millisecond
	// sharedParts is the number of parts that prompts share, and partsOfPrompt that of one.
	sharedPartCount = 2000
	partsOfPrompt   = 140
	partTokens      = 42
	// stableWindow is stableWindowMs, crashesBefore and allowedAfter the figures of the rule.
	stableWindow  = 3 * time.Second
	crashesBefore = 5
	allowedAfter  = 3
	crashRestart  = 2 * time.Second
)

// deadly is the case of a part of a prompt that crashes servers, among prompts of many parts.
func deadly() {
	parts := partsOfPrompt // PARTS and PART choose others
	if p, err := strconv.Atoi(os.Getenv("PARTS")); err == nil {
		parts = p
	}
	part := deadlyPart
	if p := os.Getenv("PART"); p != "" {
		part = p
	}
	_, _ = os.Setenv("DEADLY", part), os.Setenv("EVENTS", "60")
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
	born := time.Now().UnixMilli()
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
		r.printf("server %s crashes, crash %d", p.name, len(crashes))
		time.Sleep(crashRestart)
		next := fmt.Sprintf("i-%d-%d", n, life+1)
		again := r.startServer(n, next, "desk", "a", time.Now().UnixMilli())
		r.store.put("keyed.servers", p.name, nil)
		keep(n, life+1, again)
	}
	for n := 1; n <= deadlyServers; n++ {
		p := r.startServer(n, fmt.Sprintf("i-%d", n), "desk", "a", born)
		go keep(n, 0, p)
	}
	r.startDaemons()
	rng := rand.New(rand.NewSource(11))
	prompt := func(deadly bool, n int) string {
		var list []string
		for range parts - 1 {
			list = append(list, fmt.Sprintf("%08x:%d", uint32(rng.Intn(sharedPartCount))*2654435761, partTokens))
		}
		if deadly {
			list[rng.Intn(len(list))] = fmt.Sprintf("%s:%d", part, partTokens)
		}
		return strings.Join(append(list, fmt.Sprintf("%08x:%d", 0xf0000000+n, partTokens)), ",")
	}
	var wait sync.WaitGroup
	statuses := map[string]int{}
	ask := func(kind string, n int, prefix string) {
		wait.Go(func() {
			id := fmt.Sprintf("%s-%d", kind, n)
			header := map[string]string{"X-Carawayproxy-Prefix-Hash": prefix, "X-Carawayproxy-Token-Usage": fmt.Sprintf("%d,80", parts*partTokens)}
			a := send(front(r.daemons[n%3]), "POST", "/sum/"+id, id, "k1", "text of "+id, header, 8*time.Second, 4*time.Second)
			mu.Lock()
			defer mu.Unlock()
			statuses[fmt.Sprintf("%s %d complete=%v", kind, a.status, a.whole)]++
			r.printf("requester: %s, sent to %s %s ago, got status %d, complete %v", id, r.daemons[n%3].name, a.took.Round(time.Millisecond), a.status, a.whole)
		})
	}
	end, lastDeadly, n, d := time.Now().Add(deadlyTime), time.Now(), 0, 0
	for time.Now().Before(end) {
		n++
		ask("sound", n, prompt(false, n))
		if trouble() != "0" && time.Since(lastDeadly) > deadlyGap {
			lastDeadly = time.Now()
			d++
			ask("deadly", d, prompt(true, 1<<20+d))
		}
		time.Sleep(soundGap)
	}
	wait.Wait()
	mu.Lock()
	over = true
	mu.Unlock()
	r.logRuns()
	late, runs := 0, 0
	for n := 1; n <= deadlyServers; n++ {
		data, _ := os.ReadFile(r.serverLog(n))
		for line := range strings.SplitSeq(string(data), "\n") {
			f := strings.Fields(line)
			if len(f) < 4 || !strings.HasPrefix(f[3], "deadly-") || f[2] != "runs" {
				continue
			}
			runs++
			ms, _ := strconv.ParseInt(f[0], 10, 64)
			if len(crashes) >= crashesBefore && time.UnixMilli(ms).After(crashes[crashesBefore-1].Add(stableWindow)) {
				late++
				r.printf("after the fifth crash and %s: %s", stableWindow, line)
			}
		}
	}
	for _, k := range sortedKeys(statuses) {
		r.printf("%s: %d", k, statuses[k])
	}
	words := fmt.Sprintf("%d requests with the part that crashes servers reached them, %d crashes, %d of the requests later than %s after the fifth (%d parts a prompt)", runs, len(crashes), late, stableWindow, parts)
	switch {
	case late > allowedAfter:
		r.finish(broken, words)
	case statuses["sound 200 complete=true"] == 0:
		r.finish(couldNot, "no request was served")
	}
	r.finish(held, words)
}
