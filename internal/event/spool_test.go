package event

import (
	"bytes"
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"
)

// buffer is a writer that can block its writers.
type buffer struct {
	mu    sync.Mutex
	text  bytes.Buffer
	stall chan struct{} // writes block until it is closed; nil for no stall
}

func (b *buffer) Write(p []byte) (int, error) {
	if b.stall != nil {
		<-b.stall
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

func (b *buffer) lines() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return strings.Split(strings.TrimSpace(b.text.String()), "\n")
}

func runSpool(t *testing.T, w *buffer, stalled bool, f func(l *Logger, r metrics.Registry)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		if stalled {
			w.stall = make(chan struct{})
		}
		r := metrics.NewRegistry()
		s := NewSpool(w, log.InfoLevel, r)
		ctx, stop := context.WithCancel(t.Context())
		go s.Run(ctx)
		f(NewSpoolLogger(s).With("daemon", "d1"), r)
		synctest.Wait()
		stop()
		<-s.done
	})
}

func count(lines []string, part string) int {
	n := 0
	for _, l := range lines {
		if strings.Contains(l, part) {
			n++
		}
	}
	return n
}

func TestFailedRequestsAreLoggedInFullAndServedOnesRateLimited(t *testing.T) {
	var w buffer
	runSpool(t, &w, false, func(l *Logger, r metrics.Registry) {
		for n := range 100 {
			for _, outcome := range []string{"served", "failed"} {
				id := fmt.Sprintf("%s-%d", outcome, n)
				l.Emit(testEvent, "request", id, "step", 1)
				l.Emit(testEvent, "request", id, "step", 2)
				l.EndRequest(id, outcome == "failed")
			}
		}
		l.Emit(testEvent, "group", "g1")
		time.Sleep(2 * time.Second) // until the number of dropped lines is logged
		assert.Equal(t, metrics.GetOrRegisterCounter("log.lines_left_out_of_served_requests", r).Count(), int64(140))
		assert.Equal(t, metrics.GetOrRegisterCounter("log.lines_left_out", r).Count(), int64(0))
	})
	assert.Equal(t, count(w.lines(), "request=failed-"), 200)
	assert.Equal(t, count(w.lines(), "request=served-"), servedLinesPerSecond)
	assert.Equal(t, count(w.lines(), "group=g1"), 1)
	assert.Equal(t, count(w.lines(), "msg=event.left-out event=2200 lines=0 of_served_requests=140"), 1)
	assert.Assert(t, strings.Contains(w.lines()[0], "event=1 daemon=d1"), w.lines()[0])
}

// A stalled reader of the log must not block Emit. Lines that are dropped in the
// meantime must be counted and logged.
func TestStalledReaderDoesNotBlockEmit(t *testing.T) {
	var w buffer
	runSpool(t, &w, true, func(l *Logger, r metrics.Registry) {
		began := time.Now()
		for n := range 3 * maxUrgentLines {
			l.Emit(testEvent, "group", n)
			if n == 0 {
				synctest.Wait() // the writer takes the first line and blocks
			}
		}
		assert.Equal(t, time.Since(began), time.Duration(0))
		assert.Equal(t, metrics.GetOrRegisterCounter("log.lines_left_out", r).Count(), int64(2*maxUrgentLines-1))
		close(w.stall)
		time.Sleep(2 * time.Second)
	})
	assert.Equal(t, count(w.lines(), "msg=event.test"), maxUrgentLines+1)
	assert.Equal(t, count(w.lines(), "msg=event.left-out"), 1)
}

func TestRequestThatNeverEndsIsLogged(t *testing.T) {
	var w buffer
	runSpool(t, &w, false, func(l *Logger, _ metrics.Registry) {
		l.Emit(testEvent, "request", "lost")
		time.Sleep(maxRequestAge + 3*time.Second)
	})
	assert.Equal(t, count(w.lines(), "request=lost"), 1)
}

// BenchmarkEmit measures the cost of one line for the emitting request, with a
// log reader that keeps up and with one that is stalled.
func BenchmarkEmit(b *testing.B) {
	for _, stalled := range []bool{false, true} {
		b.Run(fmt.Sprintf("stalled=%t", stalled), func(b *testing.B) {
			w := &buffer{}
			if stalled {
				w.stall = make(chan struct{})
				defer close(w.stall)
			}
			s := NewSpool(w, log.InfoLevel, metrics.NewRegistry())
			ctx, stop := context.WithCancel(b.Context())
			defer stop()
			go s.Run(ctx)
			l := NewSpoolLogger(s).With("daemon", "d1")
			b.ReportAllocs()
			for n := range b.N {
				l.Emit(testEvent, "request", n, "group", "duo.1.1", "cost", 0.02)
				l.EndRequest(n, false)
			}
		})
	}
}
