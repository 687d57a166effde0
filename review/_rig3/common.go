package main

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// commonFirst is how long after the return of the daemons the first server is killed, and
	// commonGap the time to the next one. Each is back after commonDown.
	commonFirst  = 1500 * time.Millisecond
	commonGap    = 700 * time.Millisecond
	commonDown   = 4500 * time.Millisecond
	commonKills  = 3
	commonBefore = 10 * time.Second
	commonAfter  = 28 * time.Second
	// commonPause is the time between two requests.
	commonPause   = 100 * time.Millisecond
	recoverTime   = 12 * time.Second
	commonServers = 18
)

// common is the case of prompts that share their first part, where all daemons are killed and
// three servers crash soon after, each by itself.
func common() {
	_, _ = os.Setenv("DEADLY", deadlyPart), os.Setenv("EVENTS", "80") // no prompt has that part
	t := trouble()
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
	var servers []*process
	for n := 1; n <= commonServers; n++ {
		servers = append(servers, r.startServer(n, fmt.Sprintf("i-%d", n), "desk", "a", born))
	}
	r.startDaemons()
	type result struct {
		sent     time.Time
		complete bool
	}
	var mu sync.Mutex
	var results []result
	var wait sync.WaitGroup
	n := 0
	run := func(d time.Duration) {
		for end := time.Now().Add(d); time.Now().Before(end); n++ {
			id, to, own := fmt.Sprintf("sound-%d", n), r.daemons[n%3], 0xf0000000+n
			wait.Go(func() {
				sent := time.Now()
				header := map[string]string{"X-Carawayproxy-Prefix-Hash": fmt.Sprintf("00000001:40,%08x:600", own), "X-Carawayproxy-Token-Usage": "640,80"}
				a := send(front(to), "POST", "/sum/"+id, id, "k1", "text of "+id, header, 8*time.Second, 4*time.Second)
				ok := a.status == 200 && a.whole
				mu.Lock()
				defer mu.Unlock()
				results = append(results, result{sent, ok})
				r.printf("requester: %s, sent to %s %s ago, got status %d, complete %v, Retry-After %q (%v)", id, to.name, a.took.Round(time.Millisecond), a.status, a.whole, a.header.Get("Retry-After"), a.err)
			})
			time.Sleep(commonPause)
		}
	}
	run(commonBefore)
	wait.Wait()
	if t == "1" || t == "kill" {
		for _, d := range r.daemons {
			d.signal(syscall.SIGKILL)
		}
		for _, d := range r.daemons {
			<-d.ended
		}
		r.printf("all daemons are killed")
		time.Sleep(500 * time.Millisecond)
		for k, zone := range []string{"a", "b", "c"} {
			r.daemons[k] = r.startDaemon(k+1, zone, false)
		}
		for _, d := range r.daemons {
			for !ready(d) {
				time.Sleep(20 * time.Millisecond)
			}
		}
	}
	back := time.Now()
	r.printf("all daemons are ready")
	if t == "1" || t == "crash" {
		go func() {
			time.Sleep(commonFirst)
			for range commonKills {
				k := r.lastRunner(servers)
				p := servers[k]
				servers[k] = nil
				p.kill()
				r.printf("server %s crashes", p.name)
				go func() {
					time.Sleep(commonDown)
					r.startServer(k+1, fmt.Sprintf("i-%d-1", k+1), "desk", "a", time.Now().UnixMilli())
					r.store.put("keyed.servers", p.name, nil)
				}()
				time.Sleep(commonGap)
			}
		}()
	}
	run(commonAfter)
	wait.Wait()
	r.logRuns()
	var before, served, sent, complete int
	for _, x := range results {
		switch {
		case x.sent.Before(back):
			before++
			if x.complete {
				served++
			}
		case x.sent.After(back.Add(recoverTime)):
			sent++
			if x.complete {
				complete++
			}
		}
	}
	words := fmt.Sprintf("of the requests sent later than %s after the return of the daemons %d of %d were served, and %d of %d before their loss", recoverTime, complete, sent, served, before)
	switch {
	case 4*served < before || sent == 0:
		r.finish(couldNot, words)
	case 4*complete < sent:
		r.finish(broken, words)
	}
	r.finish(held, words)
}

// lastRunner returns the position of the server that has begun a request last.
func (r *rig) lastRunner(servers []*process) int {
	best, at := 0, int64(-1)
	for k, p := range servers {
		if p == nil {
			continue
		}
		data, _ := os.ReadFile(r.serverLog(k + 1))
		lines := strings.Split(strings.TrimSpace(string(data)), "\n")
		ms, _ := strconv.ParseInt(strings.Fields(lines[len(lines)-1] + " -")[0], 10, 64)
		if ms > at {
			best, at = k, ms
		}
	}
	return best
}
