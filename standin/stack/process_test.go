package stack

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	examples    = "../../examples"
	startLimit  = 30 * time.Second
	repairLimit = 40 * time.Second
)

// builtBinaries builds the binaries once for all tests and returns their folder.
var builtBinaries = sync.OnceValues(func() (string, error) {
	dir, err := os.MkdirTemp("", "caraway-bin-")
	if err != nil {
		return "", err
	}
	return dir, Build(dir)
})

func TestMain(m *testing.M) {
	code := m.Run()
	if dir, err := builtBinaries(); err == nil {
		_ = os.RemoveAll(dir)
	}
	os.Exit(code)
}

// start runs three daemons, four engines in one fabric domain and one plain
// server. It returns once the example services are published and their group is
// whole.
func start(t *testing.T) *Stack {
	t.Helper()
	bin, err := builtBinaries()
	assert.NilError(t, err)
	dir := t.TempDir()
	s, err := New(bin, dir)
	assert.NilError(t, err)
	t.Cleanup(s.Stop)
	for i := range 4 {
		_, err := s.AddEngine(fmt.Sprintf("engine-%d", i+1), "engines", "fabric-1", "--load-time=500ms", "--token-interval=5ms")
		assert.NilError(t, err)
	}
	_, err = s.AddPlain("logbook-1", "logbook")
	assert.NilError(t, err)
	for i := range 3 {
		_, err := s.AddDaemon(fmt.Sprintf("daemon-%d", i+1), "pokhara-a", "--drain-grace=1s")
		assert.NilError(t, err)
	}
	assert.NilError(t, s.WaitReady(startLimit))
	_, err = s.Ctl(s.Daemons[0], "publish", "--wait", "--author=trust", "--revisions="+filepath.Join(dir, "revisions"), examples)
	assert.NilError(t, err)
	waitWhole(t, s)
	return s
}

// waitWhole waits until every daemon sees the group and the plain server as
// whole.
func waitWhole(t *testing.T, s *Stack) {
	t.Helper()
	for _, d := range s.Daemons {
		assert.NilError(t, Until(repairLimit, func() error {
			out, err := s.Ctl(d, "services")
			if err == nil && strings.Count(out, "1/1")+strings.Count(out, "1/0") != 2 {
				err = fmt.Errorf("%s", out)
			}
			return err
		}), d.Name)
	}
}

// runLoad calls daemons while during runs and returns the results.
func runLoad(t *testing.T, daemons []*Daemon, during func()) (*Load, Counts) {
	t.Helper()
	l := NewLoad(daemons)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		l.Run(ctx, 4)
	}()
	during()
	cancel()
	<-done
	c := l.Counts()
	t.Logf("%d generations, %d injections, %d rejected as not run, %d uncertain", c.Generated, c.Recorded, len(c.Rejected), len(c.Uncertain))
	assert.Equal(t, len(c.WrongResponses), 0, "%v", c.WrongResponses)
	assert.Assert(t, c.Generated > 0 && c.Recorded > 0, "no generation or no injection succeeded")
	return l, c
}

// assertRunsAtMostOnce asserts that the plain server ran no injection twice.
func assertRunsAtMostOnce(t *testing.T, s *Stack) {
	t.Helper()
	resp, err := http.Get("http://" + s.Plains[0].Address + "/standin/stats")
	assert.NilError(t, err)
	defer resp.Body.Close()
	var stats struct{ Runs, Repeated int }
	assert.NilError(t, json.NewDecoder(resp.Body).Decode(&stats))
	assert.Assert(t, stats.Runs > 0)
	assert.Equal(t, stats.Repeated, 0)
}

func TestKilledDaemonRunsNoInjectionTwice(t *testing.T) {
	t.Parallel()
	s := start(t)
	runLoad(t, s.Daemons, func() {
		for range 3 {
			time.Sleep(time.Second)
			s.Daemons[1].Kill()
			assert.NilError(t, s.RestartDaemon(s.Daemons[1]))
		}
		time.Sleep(time.Second)
	})
	assertRunsAtMostOnce(t, s)
	waitWhole(t, s)
}

func TestDaemonPausedPastItsLeases(t *testing.T) {
	t.Parallel()
	s := start(t)
	_, c := runLoad(t, s.Daemons[:2], func() {
		frozen := s.Daemons[2]
		assert.NilError(t, frozen.Signal(syscall.SIGSTOP))
		time.Sleep(15 * time.Second)
		victim := s.Engines[0]
		victim.Kill()
		time.Sleep(3 * time.Second)
		assert.NilError(t, frozen.Signal(syscall.SIGCONT))
		time.Sleep(3 * time.Second)
		assert.NilError(t, s.Restart(victim))
	})
	assert.Assert(t, c.Generated > 0)
	assertRunsAtMostOnce(t, s)
	waitWhole(t, s)
}

func TestPlannedStopCutsNoRequest(t *testing.T) {
	t.Parallel()
	s := start(t)
	stopping := s.Daemons[0]
	l := NewLoad([]*Daemon{stopping})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		l.Run(ctx, 4)
	}()
	time.Sleep(2 * time.Second)
	assert.NilError(t, stopping.Signal(syscall.SIGTERM))
	// The load balancer stops sending within the drain grace.
	time.Sleep(500 * time.Millisecond)
	cancel()
	<-done
	assert.NilError(t, stopping.Wait(startLimit))
	c := l.Counts()
	assert.Assert(t, c.Generated > 0 && c.Recorded > 0)
	assert.Equal(t, len(c.WrongResponses)+len(c.Rejected)+len(c.Uncertain), 0, "%v %v %v", c.WrongResponses, c.Rejected, c.Uncertain)
	assertRunsAtMostOnce(t, s)
}

func TestPlatformPausedForAMinute(t *testing.T) {
	t.Parallel()
	s := start(t)
	_, c := runLoad(t, s.Daemons, func() {
		time.Sleep(time.Second)
		assert.NilError(t, s.Platform.Signal(syscall.SIGSTOP))
		time.Sleep(time.Minute)
		assert.NilError(t, s.Platform.Signal(syscall.SIGCONT))
		time.Sleep(5 * time.Second)
	})
	// Generations need no log, so their rate stays about the same.
	assert.Assert(t, c.Generated > 200, "%d generations", c.Generated)
	assertRunsAtMostOnce(t, s)
	waitWhole(t, s)
}
