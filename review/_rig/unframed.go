package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// engineProcess is an engine that the case started.
type engineProcess struct {
	id, addr, domain string
	cmd              *exec.Cmd
	starts           int
}

func (p *engineProcess) start(store, staged, notes string, lead time.Duration) {
	p.starts++
	p.id = fmt.Sprintf("i-%s-%d", p.addr[strings.LastIndex(p.addr, ":")+1:], p.starts)
	self, err := os.Executable()
	if err != nil {
		fatal("%v", err)
	}
	p.cmd = exec.Command(self, "engine", p.id, p.addr, store, p.domain, staged, fmt.Sprint(lead.Milliseconds()), notes)
	if err := p.cmd.Start(); err != nil {
		fatal("engine: %v", err)
	}
}

func (p *engineProcess) kill() {
	_ = p.cmd.Process.Kill()
	_ = p.cmd.Wait()
}

// runUnframed kills the heads of groups while they give streams that end with their
// channels.
func runUnframed(dir string, trouble bool) int {
	rec := newRecord(dir + "/record.txt")
	logs, err := os.MkdirTemp("", "review-unframed")
	if err != nil {
		fatal("%v", err)
	}
	defer os.RemoveAll(logs)
	notes := logs + "/runs"
	s := startStore(rec)
	s.expireSilent()
	s.put("keyed.op", "config", engineManifest(1))
	const lead = 10 * time.Second
	var engines []*engineProcess
	endAlso = func() {
		for _, p := range engines {
			p.kill()
		}
	}
	defer endAlso()
	for i := range 12 {
		p := &engineProcess{addr: freeAddress(), domain: fmt.Sprintf("d%d", i/10)}
		p.start(s.addr, "", notes, lead)
		engines = append(engines, p)
	}
	for i := 1; i <= 3; i++ {
		newDaemon(i, s.addr, logs).start(true)
	}
	for _, d := range daemons {
		await(d.name+" is ready", 15*time.Second, d.ready)
	}
	open := func() map[string]string { // heads of open groups
		out := map[string]string{}
		s.mu.Lock()
		defer s.mu.Unlock()
		t := s.topic("keyed.servers")
		for key, i := range t.newest() {
			var entry struct{ Group *place }
			if json.Unmarshal(t.records[i].value, &entry) == nil && entry.Group != nil && entry.Group.Rank == 0 && entry.Group.State == "open" {
				out[key] = entry.Group.Name
			}
		}
		return out
	}
	await("groups serve", 25*time.Second, func() bool { return len(open()) >= 3 })
	time.Sleep(5 * time.Second)
	stop := make(chan struct{})
	var calls sync.WaitGroup
	var sent, served, early, cut, other atomic.Int64
	calls.Go(func() {
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-time.After(100 * time.Millisecond):
			}
			d := daemons[n%len(daemons)]
			calls.Go(func() {
				id := fmt.Sprintf("s%d", n)
				q := newRequester(d)
				defer q.client.CloseIdleConnections()
				a := q.do(http.MethodPost, "/stream/x", hostName, id, tenantKey, 6*time.Second, "prompt "+id, map[string]string{
					"X-Carawayproxy-Model": engineModel, "X-Carawayproxy-Token-Usage": "700,170", "X-Carawayproxy-Prefix-Hash": fmt.Sprintf("a1:40,%x:660", 4096+n),
				})
				sent.Add(1)
				var whole strings.Builder
				for i := 1; i <= streamEvents; i++ {
					whole.WriteString(event(id, i))
				}
				events := strings.Count(a.body, "\n\n")
				switch {
				case a.err == nil && a.status == http.StatusOK && a.body == whole.String():
					served.Add(1)
				case a.err == nil && a.status == http.StatusOK:
					early.Add(1)
					rec.add("ORDER: %s at %s: status 200, the answer ends as complete after event %d of %d, proof %s", id, d.name, events, streamEvents, a.header.Get("X-Carawayproxy-Server-Stamp"))
				case a.err != nil:
					cut.Add(1)
					rec.add("requester: %s at %s: cut after %d events: %v", id, d.name, events, a.err)
				default:
					other.Add(1)
					rec.add("requester: %s at %s: status %d", id, d.name, a.status)
				}
			})
		}
	})
	time.Sleep(4 * time.Second)
	for range 3 {
		heads := open()
		for _, p := range engines {
			if group := heads[p.id]; trouble && group != "" {
				rec.add("engine %s, head of %s, is killed", p.id, group)
				p.kill()
				restarted := p
				time.AfterFunc(4500*time.Millisecond, func() {
					restarted.start(s.addr, engineModel, notes, 0)
					rec.add("engine %s starts at its address", restarted.id)
				})
				break
			}
		}
		time.Sleep(8 * time.Second)
	}
	close(stop)
	calls.Wait()
	if data, err := os.ReadFile(notes); err == nil {
		rec.add("runs that the engines began:\n%s", data)
	}
	rec.add("sent %d, whole %d, ended early as complete %d (allowed: 0), cut %d, others %d", sent.Load(), served.Load(), early.Load(), cut.Load(), other.Load())
	fmt.Printf("sent %d, whole %d, ended early as complete %d, cut %d, others %d\n", sent.Load(), served.Load(), early.Load(), cut.Load(), other.Load())
	switch {
	case early.Load() > 0:
		return 1
	case served.Load() == 0:
		return 2
	}
	return 0
}
