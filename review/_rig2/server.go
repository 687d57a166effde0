package main

import (
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"
)

// plainServer is a stand-in for a server of a plain service, in a process of its own. It
// announces itself at the store, answers requests, and writes to its standard output what
// it runs. It ends when its standard input does.
type plainServer struct {
	id, addr, service, zone string
	storeAddr               string
	parts                   int           // in which a body is written
	pause                   time.Duration // between two parts
	out                     sync.Mutex
}

func runServer(args []string) int {
	fs := flag.NewFlagSet("server", flag.ContinueOnError)
	p := &plainServer{}
	fs.StringVar(&p.id, "id", "", "id")
	fs.StringVar(&p.addr, "addr", "", "ip:port")
	fs.StringVar(&p.service, "service", "", "service")
	fs.StringVar(&p.zone, "zone", "", "zone")
	fs.StringVar(&p.storeAddr, "store", "", "ip:port of the store")
	fs.IntVar(&p.parts, "parts", 1, "parts of an answer")
	fs.DurationVar(&p.pause, "pause", 0, "pause before each part")
	if err := fs.Parse(args); err != nil {
		return 2
	}
	l, err := net.Listen("tcp", p.addr)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	go p.beat()
	go func() {
		_, _ = io.Copy(io.Discard, os.Stdin)
		os.Exit(0)
	}()
	_ = (&http.Server{Handler: p}).Serve(l)
	return 0
}

func (p *plainServer) say(format string, args ...any) {
	p.out.Lock()
	defer p.out.Unlock()
	fmt.Printf(format+"\n", args...)
}

func (p *plainServer) beat() {
	entry, _ := json.Marshal(map[string]any{
		"service": p.service, "addr": p.addr, "zone": p.zone, "version": "v1", "slots": 6, "state": "ready", "coldLeftMs": 0, "seq": 0,
		"born": time.Now().UnixMilli(),
	})
	for {
		res, err := http.Post("http://"+p.storeAddr+"/beat?id="+p.id, "application/json", strings.NewReader(string(entry)))
		if err == nil {
			_ = res.Body.Close()
		}
		time.Sleep(1200 * time.Millisecond)
	}
}

func (p *plainServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	attempt := r.Header.Get("X-Carawayproxy-Attempt-Id")
	_, _ = io.Copy(io.Discard, r.Body)
	if r.URL.Path == "/healthz" {
		w.Header().Set("X-Carawayproxy-Instance-Id", p.id)
		return
	}
	w.Header().Set("X-Carawayproxy-Attempt-Id", attempt)
	if want := r.Header.Get("X-Carawayproxy-Expect-Instance"); want != "" && want != p.id {
		w.Header().Set("X-Carawayproxy-Instance-Id", p.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if attempt == "" {
		w.Header().Set("X-Carawayproxy-Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	// An answer with neither a length nor chunks, which ends with its channel.
	conn, buf, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	p.say("run %s %s %s", attempt, r.Method, r.RequestURI)
	kind := "text/plain"
	stream := strings.Contains(r.RequestURI, "/stream/")
	if stream {
		kind = "text/event-stream"
	}
	fmt.Fprintf(buf, "HTTP/1.1 200 OK\r\nX-Carawayproxy-Attempt-Id: %s\r\nX-Carawayproxy-Server-Stamp: stamp-%s-%s\r\nContent-Type: %s\r\nConnection: close\r\n\r\n", attempt, p.id, attempt, kind)
	if buf.Flush() != nil {
		return
	}
	from := 0
	if last := r.Header.Get("Last-Event-Id"); last != "" {
		_, _ = fmt.Sscan(last, &from)
	}
	for i := from; i < p.parts; i++ {
		time.Sleep(p.pause)
		if stream {
			fmt.Fprintf(buf, "id: %d\ndata: %s part %02d of %02d\n\n", i+1, attempt, i+1, p.parts)
		} else {
			fmt.Fprintf(buf, "%s part %02d of %02d\n", attempt, i+1, p.parts)
		}
		if buf.Flush() != nil {
			return
		}
	}
	p.say("done %s", attempt)
}
