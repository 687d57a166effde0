package main

import (
	"fmt"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

// runDrill plays a drill of the store and, when all is calm again, the planned
// departure of one server.
func runDrill(dir string, trouble bool) int {
	rec := newRecord(dir + "/record.txt")
	logs, err := os.MkdirTemp("", "review-drill")
	if err != nil {
		fatal("%v", err)
	}
	defer os.RemoveAll(logs)
	s := startStore(rec)
	s.put("keyed.op", "config", manifest(1, map[string]string{"/entry/": "unsafe"}))
	for i := 1; i <= 3; i++ {
		newDaemon(i, s.addr, logs).start(true)
	}
	for _, d := range daemons {
		await(d.name+" is ready", 15*time.Second, d.ready)
	}
	// The servers have just started: their entries change with each heartbeat.
	var servers []*plainServer
	for i := range 6 {
		servers = append(servers, startPlain(rec, s, fmt.Sprintf("i-%02d", i), 60*time.Millisecond, 7*time.Second))
	}
	var sent, served, refused, failed atomic.Int64
	requesters := map[*daemon][]*requester{}
	for _, d := range daemons {
		for range 10 {
			requesters[d] = append(requesters[d], newRequester(d))
		}
	}
	round := 0
	callAll := func() { // one round of requests to all daemons
		round++
		var calls sync.WaitGroup
		for _, d := range daemons {
			for n, q := range requesters[d] {
				calls.Go(func() {
					id := fmt.Sprintf("r%d-%d-%d", round, d.index, n)
					a := q.do(http.MethodPost, "/entry/x", hostName, id, tenantKey, 1500*time.Millisecond, "injection "+id, nil)
					sent.Add(1)
					switch {
					case a.err != nil:
						failed.Add(1)
					case a.status == http.StatusOK:
						served.Add(1)
					case a.status == http.StatusServiceUnavailable:
						refused.Add(1)
					default:
						failed.Add(1)
					}
					rec.add("requester: %s at %s: status %d error %v", id, d.name, a.status, a.err)
				})
			}
		}
		calls.Wait()
	}
	time.Sleep(4 * time.Second)
	callAll()
	time.Sleep(2 * time.Second)
	if trouble {
		s.drill(time.Second, 5*time.Second)
	} else {
		time.Sleep(time.Second)
	}
	time.Sleep(5 * time.Second) // the servers write again, and stableWindowMs passes
	callAll()
	time.Sleep(2 * time.Second)
	leaving := servers[len(servers)-1]
	acked := leaving.leave()
	exited := make(chan struct{})
	time.AfterFunc(drainTime+350*time.Millisecond, func() {
		leaving.exit()
		close(exited)
	})
	time.Sleep(time.Until(acked.Add(drainTime + 310*time.Millisecond)))
	callAll() // sent later than drainMs after the ack
	<-exited
	callAll()
	late := 0
	for _, a := range leaving.seen() {
		if after := a.at.Sub(acked); after > drainTime {
			late++
			rec.add("DRAIN: %s reached %s %s after the store accepted that it is draining", a.id, leaving.id, after.Round(time.Millisecond))
		}
	}
	rec.add("sent %d, served %d, refused %d, failed %d", sent.Load(), served.Load(), refused.Load(), failed.Load())
	rec.add("requests that reached a draining server later than drainMs: %d (allowed: 0)", late)
	fmt.Printf("late %d, sent %d, served %d, refused %d, failed %d\n", late, sent.Load(), served.Load(), refused.Load(), failed.Load())
	if sent.Load() == 0 || served.Load() == 0 {
		return 2
	}
	if late > 0 {
		return 1
	}
	return 0
}
