package main

import (
	"fmt"
	"io"
	"net"
	"os"
	"strconv"
	"strings"
	"time"
)

const (
	// headLimit and bodyLimit are maxHeaderBytes and maxBodyBytes of the manifest, as
	// fleetbench wire shows them.
	headLimit = 16384
	bodyLimit = 4194304
	// memoryMb is limits.memoryMb of the machine.
	memoryMb = 284
	// crowdSize is the number of clients that stay open, and crowdBody the length of the
	// body that each announces.
	crowdSize = 1100
	crowdBody = 44 << 10
	crowdTime = 12 * time.Second
)

// legalHead returns the head of a request that has no more than headLimit bytes. Fields is
// set if most of it are short fields; else it is one long one.
func legalHead(attempt string, fields bool) string {
	var b strings.Builder
	fmt.Fprintf(&b, "POST /book/%s HTTP/1.1\r\nHost: review.example\r\nX-Carawayproxy-Attempt-Id: %s\r\nX-Carawayproxy-Deadline-Ms: 2500\r\nX-Carawayproxy-Key: k1\r\nContent-Length: %d\r\n", attempt, attempt, crowdBody)
	const letters = "abcdefghijklmnopqrstuvwxyz0123456789"
	const room = headLimit - 64
	if !fields {
		fmt.Fprintf(&b, "x-long: %s\r\n", strings.Repeat("x", room-b.Len()-16))
	}
	// The fields have no value. Each counts with its name, a colon, a blank and the line's end.
	counted := b.Len()
	add := func(name string) {
		if fields && counted+len(name)+4 <= room {
			b.WriteString(name + ":\r\n")
			counted += len(name) + 4
		}
	}
	for _, x := range letters {
		for _, y := range letters {
			add(string([]rune{x, y}))
		}
	}
	for _, x := range letters {
		for _, y := range letters {
			add(string([]rune{'q', x, y}))
		}
	}
	for _, x := range letters {
		for _, y := range letters {
			add(string([]rune{'z', x, y}))
		}
	}
	b.WriteString("\r\n")
	return b.String()
}

// memoryOf returns the resident memory of a process in MiB, now and at its peak; zero if it
// has ended.
func memoryOf(p *process) (now, peak int) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		return 0, 0
	}
	field := func(name string) int {
		for line := range strings.SplitSeq(string(data), "\n") {
			if rest, found := strings.CutPrefix(line, name+":"); found {
				kb, _ := strconv.Atoi(strings.Fields(rest)[0])
				return kb / 1024
			}
		}
		return 0
	}
	return field("VmRSS"), field("VmHWM")
}

// heads is the case of many clients with legal heads, whose bodies stop just short of their
// end.
func heads() {
	r := newRig()
	r.store.putJSON("keyed.op", "config", map[string]any{
		"version":  3,
		"routes":   []any{map[string]any{"name": "book", "host": "review.example", "pathPrefix": "/book/", "routeKind": "unsafe", "timeoutMs": 2500, "sloMs": 300, "priority": 1, "service": "desk", "maxAttempts": 1}},
		"services": []any{map[string]any{"name": "desk", "healthPath": "/healthz", "maxConns": 100}},
		"tenants":  []any{map[string]any{"name": "t", "apiKeys": []string{"k1"}}},
		"limits":   map[string]any{"maxHeaderBytes": headLimit, "maxBodyBytes": bodyLimit, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	born := time.Now().UnixMilli()
	r.startServer(1, "i-1", "desk", "a", born)
	r.startServer(2, "i-2", "desk", "b", born)
	r.startDaemons()
	daemon := r.daemons[0]
	now, _ := memoryOf(daemon)
	r.printf("%s takes %d MiB before", daemon.name, now)
	body := strings.Repeat("b", crowdBody-1)
	var open []net.Conn
	for n := range crowdSize {
		c, err := net.DialTimeout("tcp", front(daemon), time.Second)
		if err != nil {
			r.printf("client %d: %v", n, err)
			continue
		}
		_, err = io.WriteString(c, legalHead(fmt.Sprintf("c%d", n), trouble() != "0")+body)
		if err != nil {
			r.printf("client %d: %v", n, err)
		}
		open = append(open, c)
	}
	r.printf("%d clients have sent a head of %d bytes and all but the last byte of a body of %d", len(open), len(legalHead("c1", trouble() != "0")), crowdBody)
	largest, served, asked := 0, 0, 0
	for end := time.Now().Add(crowdTime); time.Now().Before(end); {
		time.Sleep(500 * time.Millisecond)
		now, peak := memoryOf(daemon)
		largest = max(largest, peak)
		asked++
		a := send(front(daemon), "POST", "/book/x", fmt.Sprintf("ordinary-%d", asked), "k1", "an entry", nil, 2500*time.Millisecond, 0)
		if a.status == 200 {
			served++
		}
		r.printf("%s takes %d MiB, at most %d; an ordinary request got %d in %s", daemon.name, now, peak, a.status, a.took.Round(time.Millisecond))
	}
	select {
	case <-daemon.ended:
		r.finish(broken, "the daemon has ended")
	default:
	}
	for _, c := range open {
		_ = c.Close()
	}
	words := fmt.Sprintf("the daemon took up to %d MiB of the %d of its machine; %d of %d ordinary requests were served", largest, memoryMb, served, asked)
	if largest > memoryMb {
		r.finish(broken, words)
	}
	r.finish(held, words)
}
