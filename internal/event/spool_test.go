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

// buffer is a writer that can be made to stall.
type buffer struct {
	mu    sync.Mutex
	text  bytes.Buffer
	stall chan struct{} // nil for not stalled
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

func spooled(t *testing.T, w *buffer, stalled bool, play func(l *Logger, r metrics.Registry)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		if stalled {
			w.stall = make(chan struct{})
		}
		r := metrics.NewRegistry()
		s := NewSpool(w, log.InfoLevel, r)
		ctx, stop := context.WithCancel(t.Context())
		go s.Run(ctx)
		play(NewSpooled(s).With("daemon", "d1"), r)
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

func TestFailedRequestsAreLoggedWholeAndServedOnesByRate(t *testing.T) {
	var w buffer
	spooled(t, &w, false, func(l *Logger, r metrics.Registry) {
		for n := range 100 {
			for _, outcome := range []string{"served", "failed"} {
				id := fmt.Sprintf("%s-%d", outcome, n)
				l.Emit(testEvent, "request", id, "step", 1)
				l.Emit(testEvent, "request", id, "step", 2)
				l.EndRequest(id, outcome == "failed")
			}
		}
		l.Emit(testEvent, "group", "g1")
		time.Sleep(2 * time.Second) // what was left out is told
		assert.Equal(t, metrics.GetOrRegisterCounter("log.lines_left_out_of_served_requests", r).Count(), int64(140))
		assert.Equal(t, metrics.GetOrRegisterCounter("log.lines_left_out", r).Count(), int64(0))
	})
	assert.Equal(t, count(w.lines(), "request=failed-"), 200)
	assert.Equal(t, count(w.lines(), "request=served-"), usualPerSecond)
	assert.Equal(t, count(w.lines(), "group=g1"), 1)
	assert.Equal(t, count(w.lines(), "msg=event.left-out event=2200 lines=0 of_served_requests=140"), 1)
	assert.Assert(t, strings.Contains(w.lines()[0], "event=1 daemon=d1"), w.lines()[0])
}

// Nobody who emits waits for a reader that has stalled; what is left out
// meanwhile is counted and told.
func TestStalledReaderHoldsNobodyUp(t *testing.T) {
	var w buffer
	spooled(t, &w, true, func(l *Logger, r metrics.Registry) {
		began := time.Now()
		for n := range 3 * maxUrgent {
			l.Emit(testEvent, "group", n)
			if n == 0 {
				synctest.Wait() // the writer takes the first line and stalls
			}
		}
		assert.Equal(t, time.Since(began), time.Duration(0))
		assert.Equal(t, metrics.GetOrRegisterCounter("log.lines_left_out", r).Count(), int64(2*maxUrgent-1))
		close(w.stall)
		time.Sleep(2 * time.Second)
	})
	assert.Equal(t, count(w.lines(), "msg=event.test"), maxUrgent+1)
	assert.Equal(t, count(w.lines(), "msg=event.left-out"), 1)
}

func TestRequestThatNeverEndsIsLogged(t *testing.T) {
	var w buffer
	spooled(t, &w, false, func(l *Logger, _ metrics.Registry) {
		l.Emit(testEvent, "request", "lost")
		time.Sleep(trailAge + 3*time.Second)
	})
	assert.Equal(t, count(w.lines(), "request=lost"), 1)
}

// BenchmarkEmit is the time that a request's path pays for one line, with a
// reader that keeps up and with one that has stalled.
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
			l := NewSpooled(s).With("daemon", "d1")
			b.ReportAllocs()
			for n := range b.N {
				l.Emit(testEvent, "request", n, "group", "duo.1.1", "cost", 0.02)
				l.EndRequest(n, false)
			}
		})
	}
}
