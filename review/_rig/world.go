package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// record writes the record of a case.
type record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

func newRecord(path string) *record {
	f, err := os.Create(path)
	if err != nil {
		fatal("record: %v", err)
	}
	return &record{file: f, began: time.Now()}
}

func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f "+format+"\n", append([]any{time.Since(r.began).Seconds()}, args...)...)
}

// endAlso ends the other processes that the case has started.
var endAlso = func() {}

// fatal ends the process with the code for a case that could not run.
func fatal(format string, args ...any) {
	fmt.Fprintf(os.Stderr, format+"\n", args...)
	stopDaemons()
	endAlso()
	os.Exit(2)
}

// freePort returns a loopback port that is free now.
func freePort() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fatal("no free port: %v", err)
	}
	defer l.Close()
	_, port, _ := net.SplitHostPort(l.Addr().String())
	return port
}

func freeAddress() string { return "127.0.0.1:" + freePort() }

// daemon is one carawayd process, as the deploy file starts it.
type daemon struct {
	index                           int
	name                            string
	callers, readiness, admin, peer string
	store                           string
	log                             *os.File

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
	ended  bool // for good
}

var daemons []*daemon

func newDaemon(index int, store, logDir string) *daemon {
	d := &daemon{index: index, name: fmt.Sprintf("edge-%d", index), callers: freeAddress(), readiness: freeAddress(), admin: freeAddress(), peer: freeAddress(), store: store}
	var err error
	if d.log, err = os.Create(filepath.Join(logDir, d.name+".log")); err != nil {
		fatal("log: %v", err)
	}
	daemons = append(daemons, d)
	return d
}

// memoryMB is memoryMb of the settings.
const memoryMB = 284

func (d *daemon) start(first bool) {
	cmd := exec.Command("target/carawayd")
	cmd.Stdout, cmd.Stderr = d.log, d.log
	cmd.Env = []string{
		"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"),
		"CARAWAY_NAME=" + d.name, "CARAWAY_AVAILABILITY_ZONE=a",
		"CARAWAY_CALLERS_LISTEN=" + d.callers, "CARAWAY_READINESS_LISTEN=" + d.readiness,
		"CARAWAY_ADMIN_LISTEN=" + d.admin, "CARAWAY_PEERS_LISTEN=" + d.peer,
		"CARAWAY_STORE=" + d.store, fmt.Sprintf("CARAWAY_FIRST_START=%v", first),
		"CARAWAY_PROCESSORS=0.4", "CARAWAY_MEMORY_LIMIT=" + strconv.Itoa(memoryMB),
		"CARAWAY_RETRY_RATIO=0.2", "CARAWAY_RETRY_SLACK=109",
		"CARAWAY_DRAIN_GRACE=2500ms", "CARAWAY_DRAIN_TIMEOUT=8s",
	}
	exited := make(chan struct{})
	d.mu.Lock()
	if d.ended {
		d.mu.Unlock()
		return
	}
	err := cmd.Start()
	if err == nil {
		d.cmd, d.exited = cmd, exited
	}
	d.mu.Unlock()
	if err != nil {
		fatal("start %s: %v", d.name, err)
	}
	go func() {
		_ = cmd.Wait()
		close(exited)
	}()
}

func (d *daemon) signal(s syscall.Signal) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.cmd != nil {
		_ = d.cmd.Process.Signal(s)
	}
}

func (d *daemon) wait() {
	d.mu.Lock()
	exited := d.exited
	d.mu.Unlock()
	if exited != nil {
		<-exited
	}
}

func stopDaemons() {
	for _, d := range daemons {
		d.mu.Lock()
		d.ended = true
		d.mu.Unlock()
		d.signal(syscall.SIGCONT)
		d.signal(syscall.SIGKILL)
		d.wait()
	}
}

// memory returns the resident memory of the process in MB.
func (d *daemon) memory() float64 {
	d.mu.Lock()
	pid := 0
	if d.cmd != nil {
		pid = d.cmd.Process.Pid
	}
	d.mu.Unlock()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(data))
	if len(fields) < 2 {
		return 0
	}
	pages, _ := strconv.ParseFloat(fields[1], 64)
	return pages * float64(os.Getpagesize()) / (1 << 20)
}

func (d *daemon) ready() bool {
	c := http.Client{Timeout: time.Second}
	res, err := c.Get("http://" + d.readiness + "/carawayproxy/readyz")
	if err != nil {
		return false
	}
	_ = res.Body.Close()
	return res.StatusCode == http.StatusOK
}

func await(what string, limit time.Duration, f func() bool) {
	for end := time.Now().Add(limit); !f(); time.Sleep(50 * time.Millisecond) {
		if time.Now().After(end) {
			fatal("not within %s: %s", limit, what)
		}
	}
}

// requester sends requests over one kept channel to one daemon.
type requester struct {
	daemon *daemon
	client *http.Client
}

func newRequester(d *daemon) *requester {
	return &requester{daemon: d, client: &http.Client{Transport: &http.Transport{MaxConnsPerHost: 1, DisableCompression: true}}}
}

type answer struct {
	status int
	header http.Header
	body   string
	err    error
	kept   bool // the channel had served an earlier request
	took   time.Duration
}

// do sends one request and reads its answer.
func (q *requester) do(method, path, host, id, key string, deadline time.Duration, body string, header map[string]string) answer {
	ctx, cancel := context.WithTimeout(context.Background(), deadline+500*time.Millisecond)
	defer cancel()
	var a answer
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) { a.kept = i.Reused }})
	// An error of the channel is not hidden by a second try of net/http.
	var reader io.Reader
	if body != "" {
		reader = io.NopCloser(strings.NewReader(body))
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+q.daemon.callers+path, reader)
	if err != nil {
		return answer{err: err}
	}
	if body != "" {
		req.ContentLength = int64(len(body))
	}
	req.Host = host
	req.Header.Set("X-Carawayproxy-Attempt-Id", id)
	req.Header.Set("X-Carawayproxy-Key", key)
	req.Header.Set("X-Carawayproxy-Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	for k, v := range header {
		req.Header.Set(k, v)
	}
	began := time.Now()
	res, err := q.client.Do(req)
	if err != nil {
		a.err, a.took = err, time.Since(began)
		return a
	}
	defer res.Body.Close()
	data, err := io.ReadAll(res.Body)
	a.status, a.header, a.body, a.err, a.took = res.StatusCode, res.Header, string(data), err, time.Since(began)
	return a
}
