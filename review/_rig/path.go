package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"time"
)

// runPath sends requests whose path begins with two slashes.
func runPath(dir string, trouble bool) int {
	rec := newRecord(dir + "/record.txt")
	logs, err := os.MkdirTemp("", "review-path")
	if err != nil {
		fatal("%v", err)
	}
	defer os.RemoveAll(logs)
	s := startStore(rec)
	s.put("keyed.op", "config", manifest(1, map[string]string{"/": "unsafe"}))
	var servers []*plainServer
	for i := range 3 {
		servers = append(servers, startPlain(rec, s, fmt.Sprintf("i-%02d", i), 20*time.Millisecond, 0))
	}
	for i := 1; i <= 3; i++ {
		newDaemon(i, s.addr, logs).start(true)
	}
	for _, d := range daemons {
		await(d.name+" is ready", 15*time.Second, d.ready)
	}
	time.Sleep(2 * time.Second)
	sent, served := map[string]string{}, 0
	for n := range 30 {
		d := daemons[n%len(daemons)]
		path := "/lohu930/2f"
		if trouble && n%2 == 1 {
			path = "//lohu930/2f"
		}
		id := fmt.Sprintf("p-%d", n)
		sent[id] = path
		status := rawPost(d.callers, path, id)
		rec.add("requester: %s POST %s: %s", id, path, status)
		if strings.Contains(status, " 200 ") {
			served++
		}
	}
	changed := 0
	for _, p := range servers {
		for _, a := range p.seen() {
			if a.target != sent[a.id] {
				changed++
				rec.add("UNASKED: server %s ran %s with the path %q, sent with %q", p.id, a.id, a.target, sent[a.id])
			}
		}
	}
	rec.add("sent %d, served %d, run with another path %d (allowed: 0)", len(sent), served, changed)
	fmt.Printf("sent %d, served %d, changed %d\n", len(sent), served, changed)
	switch {
	case changed > 0:
		return 1
	case served == 0:
		return 2
	}
	return 0
}

// rawPost sends a request with the path as it is and returns the status line.
func rawPost(address, path, id string) string {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return err.Error()
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(2 * time.Second))
	body := "injection " + id
	fmt.Fprintf(c, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Carawayproxy-Attempt-Id: %s\r\nX-Carawayproxy-Key: %s\r\nX-Carawayproxy-Deadline-Ms: 1500\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s",
		http.MethodPost, path, hostName, id, tenantKey, len(body), body)
	data, err := io.ReadAll(c)
	line, _, _ := strings.Cut(string(data), "\r\n")
	if line == "" {
		return fmt.Sprint("no answer: ", err)
	}
	return line
}
