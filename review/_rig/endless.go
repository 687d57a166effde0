package main

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"carawayproxy.example/caraway/standin/site"
)

// endless is the case of engines in trouble whose answers have bodies without end.
//
// The world is the project's own stand-in for the platform, on loopback. A wrapper
// of the engines' listeners plays the trouble: an engine in trouble answers a
// request with status 500, the request's id and a body without end, until the
// caller closes. A daemon receives no more than linkBytes a second of it, less than
// its link carries (linkMbps 1,000).
type endless struct {
	rec     *record
	trouble atomic.Bool
	mu      sync.Mutex
	ports   map[string]string // of hosts, by address
	links   map[string]*link  // of daemons, by index
	floods  atomic.Int64
}

const (
	endlessDaemons = 3
	endlessEngines = 24
	linkBytes      = 100 << 20 // a second
	floodPiece     = 64 << 10
	headerDaemon   = "X-Rig-Daemon"
)

// link paces what a daemon receives.
type link struct {
	mu   sync.Mutex
	next time.Time
}

func (l *link) wait(n int) {
	l.mu.Lock()
	now := time.Now()
	if l.next.Before(now) {
		l.next = now
	}
	l.next = l.next.Add(time.Duration(float64(n) / linkBytes * float64(time.Second)))
	until := l.next
	l.mu.Unlock()
	time.Sleep(time.Until(until))
}

type loopHosts struct{ e *endless }

func (h loopHosts) Host(ip string) site.Host { return loopHost{h.e, ip} }
func (loopHosts) Freeze(string)              {}

type loopHost struct {
	e  *endless
	ip string
}

func (h loopHost) Addr(port string) string {
	h.e.mu.Lock()
	defer h.e.mu.Unlock()
	name := h.ip + ":" + port
	if h.e.ports[name] == "" {
		h.e.ports[name] = freePort()
	}
	return "127.0.0.1:" + h.e.ports[name]
}

func (h loopHost) Listen(port string) (net.Listener, error) {
	l, err := net.Listen("tcp", h.Addr(port))
	var a, b, c, d int
	_, _ = fmt.Sscanf(h.ip, "%d.%d.%d.%d", &a, &b, &c, &d)
	if err == nil && b == 2 && d%2 == 0 { // each second engine
		l = floodListener{l, h.e}
	}
	return l, err
}

type floodListener struct {
	net.Listener
	e *endless
}

func (l floodListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &floodConn{c, l.e}, nil
}

type floodConn struct {
	net.Conn
	e *endless
}

// Read passes on what arrives, and answers a request for a stream itself while the
// engine is in trouble.
func (c *floodConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err != nil || !c.e.trouble.Load() || !bytes.HasPrefix(p[:n], []byte("POST /stream/")) {
		return n, err
	}
	c.flood(string(p[:n]))
	return 0, net.ErrClosed
}

func headerOf(head, name string) string {
	for _, line := range strings.Split(head, "\r\n") {
		if k, v, ok := strings.Cut(line, ":"); ok && strings.EqualFold(k, name) {
			return strings.TrimSpace(v)
		}
	}
	return ""
}

func (c *floodConn) flood(head string) {
	id, daemon := headerOf(head, "X-Carawayproxy-Attempt-Id"), headerOf(head, headerDaemon)
	c.e.mu.Lock()
	l := c.e.links[daemon]
	c.e.mu.Unlock()
	if l == nil {
		l = &link{}
	}
	c.e.floods.Add(1)
	began, sent := time.Now(), 0
	_, err := fmt.Fprintf(c.Conn, "HTTP/1.1 500 Internal Server Error\r\nX-Carawayproxy-Attempt-Id: %s\r\nX-Carawayproxy-Server-Stamp: proof\r\nContent-Type: text/plain\r\nConnection: close\r\n\r\n", id)
	piece := bytes.Repeat([]byte("x"), floodPiece)
	for err == nil && c.e.trouble.Load() {
		l.wait(len(piece))
		var n int
		n, err = c.Conn.Write(piece)
		sent += n
	}
	c.e.rec.add("engine: body without end to %s for daemon %s: %.1f MB in %.1f s, ended by %v", id, daemon, float64(sent)/(1<<20), time.Since(began).Seconds(), err)
}

func runEndless(dir string, trouble bool) int {
	e := &endless{rec: newRecord(dir + "/record.txt"), ports: map[string]string{}, links: map[string]*link{}}
	logs, err := os.MkdirTemp("", "review-endless")
	if err != nil {
		fatal("%v", err)
	}
	defer os.RemoveAll(logs)
	world, err := site.NewBackends(site.Options{Engines: endlessEngines, Plains: 2}, loopHosts{e}, (&net.Dialer{Timeout: time.Second}).DialContext)
	if err != nil {
		fatal("world: %v", err)
	}
	for i := 1; i <= endlessDaemons; i++ {
		e.links[fmt.Sprint(i)] = &link{}
		newDaemon(i, world.StoreAddress(), logs).start(true)
	}
	for _, d := range daemons {
		await(d.name+" is ready", 15*time.Second, d.ready)
	}
	time.Sleep(8 * time.Second) // traffic starts 10 s after the machines
	await("groups serve", 20*time.Second, func() bool {
		return world.OpenGroups(site.ModelOfTwo) >= 2 && world.OpenGroups(site.ModelOfThree) >= 2
	})
	var tasks sync.WaitGroup
	stop := make(chan struct{})
	var violations, kills atomic.Int64
	endings := map[string]*atomic.Int64{}
	for _, d := range daemons {
		n := &atomic.Int64{}
		endings[d.name] = n
		tasks.Go(func() { e.platform(d, stop, &kills, n) })
	}
	var plain, streams atomic.Int64
	served := &atomic.Int64{}
	for _, d := range daemons {
		for n := range 6 { // sound requests to sound servers
			tasks.Go(func() { e.plainCalls(world, d, n, stop, &plain, served, &violations) })
		}
		tasks.Go(func() { e.streamCalls(d, stop, &streams) })
	}
	e.rec.add("traffic begins")
	time.Sleep(8 * time.Second)
	if trouble {
		e.trouble.Store(true)
		e.rec.add("trouble begins: each second engine answers streams with a body without end")
	}
	time.Sleep(45 * time.Second)
	e.trouble.Store(false)
	e.rec.add("trouble ends")
	time.Sleep(5 * time.Second)
	close(stop)
	tasks.Wait()
	e.rec.add("plain requests %d, served %d; streams %d; bodies without end %d; processes over the limit: %d", plain.Load(), served.Load(), streams.Load(), e.floods.Load(), kills.Load())
	for _, d := range daemons {
		e.rec.add("%s went over its memory %d times", d.name, endings[d.name].Load())
	}
	e.rec.add("LOST: requests of kept channels passed on to a sound server, channel closed without an answer: %d (allowed: 3)", violations.Load())
	stopDaemons()
	world.Close()
	fmt.Printf("lost %d, over the limit %d, plain %d served %d\n", violations.Load(), kills.Load(), plain.Load(), served.Load())
	if violations.Load() > 3 {
		return 1
	}
	return 0
}

// platform kills a process that exceeds memoryMb, and starts it again after a short
// delay.
func (e *endless) platform(d *daemon, stop chan struct{}, kills, own *atomic.Int64) {
	highest, shown := 0.0, time.Now()
	for {
		select {
		case <-stop:
			e.rec.add("platform: %s has used at most %.0f MB since its last start", d.name, highest)
			return
		case <-time.After(10 * time.Millisecond):
		}
		m := d.memory()
		highest = max(highest, m)
		if time.Since(shown) > 2*time.Second {
			shown = time.Now()
			e.rec.add("platform: %s uses %.0f MB", d.name, m)
		}
		if m <= memoryMB {
			continue
		}
		e.rec.add("platform: %s uses %.0f MB, more than memoryMb %d: killed", d.name, m, memoryMB)
		kills.Add(1)
		own.Add(1)
		d.signal(syscall.SIGKILL)
		d.wait()
		time.Sleep(500 * time.Millisecond)
		d.start(false)
		e.rec.add("platform: %s started again", d.name)
		highest = 0
	}
}

func (e *endless) plainCalls(world *site.World, d *daemon, n int, stop chan struct{}, sent, served, violations *atomic.Int64) {
	q := newRequester(d)
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-time.After(15 * time.Millisecond):
		}
		id := fmt.Sprintf("p%d-%d-%d", d.index, n, i)
		path := "/unsafe/entry"
		a := q.do(http.MethodPost, path, site.HostName, id, site.Key, 1500*time.Millisecond, "entry "+id, map[string]string{headerDaemon: fmt.Sprint(d.index)})
		sent.Add(1)
		runs := world.RunCount(id)
		switch {
		case a.err == nil && a.status == http.StatusOK:
			served.Add(1)
		case a.err != nil && a.kept && runs > 0:
			violations.Add(1)
			e.rec.add("requester: %s on a kept channel of %s: passed on, run %d times, channel ended without an answer after %s: %v", id, d.name, runs, a.took.Round(time.Millisecond), a.err)
		case a.err != nil:
			time.Sleep(100 * time.Millisecond) // the daemon is away
		}
	}
}

func (e *endless) streamCalls(d *daemon, stop chan struct{}, sent *atomic.Int64) {
	var calls sync.WaitGroup
	defer calls.Wait()
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-time.After(time.Second / 18): // as many as one of nine machines gets
		}
		sent.Add(1)
		calls.Go(func() {
			model := []string{site.ModelOfTwo, site.ModelOfThree}[i%2]
			q := newRequester(d)
			defer q.client.CloseIdleConnections()
			q.do(http.MethodPost, "/stream/x", site.HostName, fmt.Sprintf("s%d-%d", d.index, i), site.Key, 6*time.Second, "prompt", map[string]string{
				headerDaemon: fmt.Sprint(d.index), "X-Carawayproxy-Model": model, "X-Carawayproxy-Token-Usage": "700,100", "X-Carawayproxy-Prefix-Hash": fmt.Sprintf("a1:40,%x:660", 1000+i),
			})
		})
	}
}
