package soak

import (
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Several faults that restart a daemon concurrently must start one process. A
// second one would keep the daemon's addresses and never be stopped.
func TestOverlappingRestartsStartOnce(t *testing.T) {
	binary := filepath.Join(t.TempDir(), "daemon")
	assert.NilError(t, os.WriteFile(binary, []byte("#!/bin/sh\necho started >> \"$0.log\"\nexec sleep 20\n"), 0o700))
	proxy, err := NewProxy("127.0.0.1:1")
	assert.NilError(t, err)
	defer proxy.Close()
	r := &run{o: Options{Binary: binary}}
	d := &daemon{name: "edge-1", ip: "127.0.0.1", proxy: proxy}
	r.daemons = append(r.daemons, d)
	assert.NilError(t, r.start(d, true))
	defer r.stopAll()
	var restarts, begun sync.WaitGroup
	d.starting.Lock() // no restart completes before all have begun
	for range 16 {
		begun.Add(1)
		restarts.Go(func() {
			begun.Done()
			r.restart(d, syscall.SIGKILL)
		})
	}
	begun.Wait()
	time.Sleep(200 * time.Millisecond) // until each has found the first process
	d.starting.Unlock()
	restarts.Wait()
	time.Sleep(200 * time.Millisecond) // until the script has written its line
	data, err := os.ReadFile(binary + ".log")
	assert.NilError(t, err)
	assert.Assert(t, strings.Count(string(data), "started") <= 2, "%s", data)
}
