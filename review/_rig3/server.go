package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"
)

const (
	// eventCount and eventTime are the events of a stream and the time of each.
	eventCount = 40
	eventTime  = 50 * time.Millisecond
	// lookupPieces and lookupTime are the same for the body of a lookup.
	lookupPieces = 10
	lookupTime   = 50 * time.Millisecond
)

func event(id string, n int) string { return fmt.Sprintf("id: %d\ndata: %s-%d\n\n", n, id, n) }

func piece(id string, n int) string { return fmt.Sprintf("%s line %d of %d\n", id, n, lookupPieces) }

// serveRequests is a plain server in a process of its own. It follows PROTOCOL.md: it echoes
// the attempt's id, proves its answers, answers 421 to requests for another instance, and
// sends answers that have neither a length nor chunks and end with their channel.
func serveRequests(address, id, log string) {
	f, err := os.OpenFile(log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	check(err)
	l, err := net.Listen("tcp", address)
	check(err)
	for {
		c, err := l.Accept()
		check(err)
		go serveChannel(c, id, f)
	}
}

func serveChannel(c net.Conn, id string, log *os.File) {
	defer c.Close()
	r, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	attempt := r.Header.Get("X-Carawayproxy-Attempt-Id")
	head := "X-Carawayproxy-Attempt-Id: " + attempt + "\r\nX-Carawayproxy-Instance-Id: " + id + "\r\nConnection: close\r\n"
	if want := r.Header.Get("X-Carawayproxy-Expect-Instance"); want != "" && want != id {
		fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\n%sContent-Length: 0\r\n\r\n", head)
		return
	}
	if r.URL.Path == "/healthz" {
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%sContent-Length: 0\r\n\r\n", head)
		return
	}
	fmt.Fprintf(log, "%d %s runs %s %s after=%q key=%q tenant=%q\n", time.Now().UnixMilli(), id, attempt, r.URL.Path, r.Header.Get("Last-Event-Id"),
		r.Header.Get("X-Carawayproxy-Key"), r.Header.Get("X-Carawayproxy-Tenant"))
	head += "X-Carawayproxy-Server-Stamp: proof-" + id + "\r\n"
	if part := os.Getenv("DEADLY"); part != "" {
		serveChunked(c, r, head, attempt, part)
		return
	}
	if len(r.URL.Path) > 5 && r.URL.Path[:5] == "/sum/" {
		from, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%sContent-Type: text/event-stream\r\n\r\n", head)
		for n := from + 1; n <= eventCount; n++ {
			time.Sleep(eventTime)
			if _, err := io.WriteString(c, event(attempt, n)); err != nil {
				return
			}
		}
		fmt.Fprintf(log, "%d %s ends %s\n", time.Now().UnixMilli(), id, attempt)
		return
	}
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%sContent-Type: text/plain\r\n\r\n", head)
	for n := 1; n <= lookupPieces; n++ {
		time.Sleep(lookupTime)
		if _, err := io.WriteString(c, piece(attempt, n)); err != nil {
			return
		}
	}
	fmt.Fprintf(log, "%d %s ends %s\n", time.Now().UnixMilli(), id, attempt)
}

// serveChunked answers with a stream in chunks. The process crashes when it begins to write
// an answer to a prompt that has one of some parts, unless it is the last one. The variable EVENTS has the
// number of events.
func serveChunked(c net.Conn, r *http.Request, head, attempt, part string) {
	const each = 50 * time.Millisecond
	events, err := strconv.Atoi(os.Getenv("EVENTS"))
	check(err)
	time.Sleep(2 * each)
	list := strings.Split(r.Header.Get("X-Carawayproxy-Prefix-Hash"), ",")
	for _, p := range list[:len(list)-1] {
		id, _, _ := strings.Cut(p, ":")
		if strings.Contains(","+part+",", ","+id+",") {
			os.Exit(1)
		}
	}
	from, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%sContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", head)
	for n := from + 1; n <= events; n++ {
		e := event(attempt, n)
		if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(e), e); err != nil {
			return
		}
		time.Sleep(each)
	}
	_, _ = io.WriteString(c, "0\r\n\r\n")
}
