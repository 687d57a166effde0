package main

import (
	"context"
	"fmt"
	"net"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	memoryMB      = 284 // of a machine of the sheet
	crowdClients  = 1150
	crowdHead     = 16000 // bytes of a head; the manifest allows 16,384
	crowdChunk    = 1 << 10
	crowdChunks   = 24 // of a body, after which it stops short of its end
	crowdPerTick  = 25
	crowdTick     = 50 * time.Millisecond
	endsToCount   = 3 // of each of two machines, by the rule
	ordinaryEvery = 200 * time.Millisecond
)

// headOf returns a head that the manifest allows, with as many lines as fit.
func headOf(attempt string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "POST /lookup/7 HTTP/1.1\r\nHost: ficu95.example\r\nX-Carawayproxy-Attempt-Id: %s\r\nX-Carawayproxy-Deadline-Ms: 8000\r\nX-Carawayproxy-Key: n2ctnfzs989anu6wsjnb\r\nTransfer-Encoding: chunked\r\n", attempt)
	const letters = "abcdefghijklmnopqrstuvwxyz"
	for i := 0; b.Len() < crowdHead; i++ {
		b.WriteString(string([]byte{letters[i/676%26], letters[i/26%26], letters[i%26]}) + ": \r\n")
	}
	b.WriteString("\r\n")
	return b.String()
}

// memoryOf returns the resident memory of a process in MiB.
func memoryOf(pid int) float64 {
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	for _, line := range strings.Split(string(text), "\n") {
		var kb float64
		if n, _ := fmt.Sscanf(line, "VmRSS: %f kB", &kb); n == 1 {
			return kb / 1024
		}
	}
	return 0
}

// crowd is clients that nobody controls, at one daemon.
type crowd struct {
	open atomic.Int64
	sent atomic.Int64
}

func (c *crowd) run(ctx context.Context, front string, round int) {
	var clients sync.WaitGroup
	defer clients.Wait()
	for i := range crowdClients {
		if i%crowdPerTick == 0 {
			select {
			case <-ctx.Done():
				return
			case <-time.After(crowdTick):
			}
		}
		clients.Go(func() { c.client(ctx, front, fmt.Sprintf("crowd-%02d-%04d", round, i)) })
	}
	<-ctx.Done()
}

// client sends a request whose body stops short of its end, and stays.
func (c *crowd) client(ctx context.Context, front, attempt string) {
	conn, err := net.Dial("tcp", front)
	if err != nil {
		return
	}
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { _ = conn.Close() })()
	if _, err := conn.Write([]byte(headOf(attempt))); err != nil {
		return
	}
	for range crowdChunks {
		if _, err := fmt.Fprintf(conn, "%x\r\n%s\r\n", crowdChunk, strings.Repeat("x", crowdChunk)); err != nil {
			return
		}
	}
	c.sent.Add(1)
	c.open.Add(1)
	defer c.open.Add(-1)
	_, _ = conn.Read(make([]byte, 1))
}

// runCrowd is the case of many clients at once whose heads are of a legal size and whose
// bodies stop short of their end.
func runCrowd(args []string) int {
	trouble := os.Getenv("TROUBLE") != "0"
	w, err := newWorld(args[0])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	defer w.end()
	w.store.put("keyed.op", "config", document(1, 6000))
	zones := []string{"pokhara-a", "pokhara-b", "syangja"}
	var daemons []*daemon
	for i, zone := range zones {
		if _, err := w.startServer(fmt.Sprintf("i-%d", i+1), "logbook-app", zone, "--parts", "1"); err != nil {
			fmt.Fprintln(os.Stderr, err)
			return notRun
		}
	}
	for _, zone := range zones {
		d, err := w.startDaemon("edge-"+zone+"-1", zone, true)
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			return notRun
		}
		daemons = append(daemons, d)
	}
	for _, d := range daemons {
		if !d.awaitReady(15 * time.Second) {
			fmt.Fprintln(os.Stderr, d.name, "is not ready")
			return notRun
		}
	}
	time.Sleep(3 * time.Second)
	machines, asked, served := 0, 0, 0
	for _, d := range daemons[:2] {
		ends := 0
		for round := range endsToCount {
			ended, a, s := w.crowdRound(d, round, trouble)
			asked, served = asked+a, served+s
			if !ended {
				continue
			}
			ends++
			time.Sleep(500 * time.Millisecond) // the platform starts it again after a short delay
			if w.run(d, false) != nil || !d.awaitReady(15*time.Second) {
				fmt.Fprintln(os.Stderr, d.name, "is not ready again")
				return notRun
			}
			time.Sleep(time.Second)
		}
		w.note("%s ended %d times", d.name, ends)
		if ends >= endsToCount {
			machines++
		}
	}
	w.note("%d of %d ordinary requests were served", served, asked)
	switch {
	case machines >= 2:
		w.note("BROKEN: the processes on 2 of 3 machines have ended %d times by themselves, by memory over the limit of %d MB", endsToCount, memoryMB)
		return broken
	case !trouble && served < asked:
		return notRun
	}
	return held
}

// crowdRound lets the clients come to a daemon for some seconds. The platform kills a process
// that exceeds the memory of its machine.
func (w *world) crowdRound(d *daemon, round int, trouble bool) (ended bool, asked, served int) {
	ctx, cancel := context.WithTimeout(context.Background(), 6*time.Second)
	defer cancel()
	var c crowd
	var all sync.WaitGroup
	defer all.Wait()
	if trouble {
		w.note("%d clients come to %s", crowdClients, d.name)
		all.Go(func() { c.run(ctx, d.front, round) })
	}
	most := 0.0
	next := time.Now()
	for i := 0; ctx.Err() == nil; i++ {
		now := memoryOf(d.cmd.Process.Pid)
		most = max(most, now)
		if now > memoryMB {
			w.note("%s takes %.0f MB of %d, with %d clients that have sent their part and stay: the platform kills it", d.name, now, memoryMB, c.open.Load())
			d.signal(syscall.SIGKILL)
			<-d.done
			cancel()
			return true, asked, served
		}
		if time.Now().After(next) {
			next = time.Now().Add(ordinaryEvery)
			one, stop := context.WithTimeout(ctx, 2*time.Second)
			a := request(one, d.front, "GET", "/lookup/7", fmt.Sprintf("ordinary-%s-%d-%d", d.name, round, i), 1500, nil)
			stop()
			if ctx.Err() == nil {
				asked++
				if a.err == nil && a.status == 200 {
					served++
				}
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
	w.note("%s took at most %.0f MB, with %d clients open", d.name, most, c.sent.Load())
	return false, asked, served
}
