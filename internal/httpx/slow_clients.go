package httpx

import (
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Timeouts for slow clients.
const (
	// bodyTimeout is how long the body of a request may take to arrive.
	bodyTimeout = 15 * time.Second
	// stallTimeout is how long one write may block. The call ends within
	// another stallCheckInterval.
	stallTimeout = 20 * time.Second
	// stallCheckInterval is the time between two checks for a blocked write.
	stallCheckInterval = 5 * time.Second
)

// LimitSlowClients ends the calls of clients that send their request too slowly
// or do not read the response, so that they cannot block a handler indefinitely.
// A handler that does not write is not affected.
func LimitSlowClients(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := http.NewResponseController(w)
		// Only the writers of tests do not support deadlines.
		_ = c.SetReadDeadline(time.Now().Add(bodyTimeout))
		bounded := &boundedWriter{ResponseWriter: w, control: c}
		bounded.startChecks()
		defer bounded.stopChecks()
		h.ServeHTTP(bounded, r)
		_ = c.SetReadDeadline(time.Time{})
	})
}

// boundedWriter ends a call if one of its writes blocks for too long. Each write
// only increments a counter at its start and end, because a clock reading or a
// deadline per write would cost more than a small write. A timer checks the
// counter.
type boundedWriter struct {
	http.ResponseWriter
	control *http.ResponseController
	steps   atomic.Uint64 // starts and ends of writes; odd during a write

	mu         sync.Mutex
	stopped    bool
	timer      *time.Timer
	lastSteps  uint64        // steps at the last check
	stalledFor time.Duration // time that the write seen at the last check has blocked
}

// Write implements http.ResponseWriter.
func (w *boundedWriter) Write(p []byte) (int, error) {
	w.steps.Add(1)
	defer w.steps.Add(1)
	return w.ResponseWriter.Write(p)
}

// Flush implements http.Flusher.
func (w *boundedWriter) Flush() {
	w.steps.Add(1)
	defer w.steps.Add(1)
	_ = w.control.Flush()
}

// Unwrap returns the underlying writer for http.ResponseController.
func (w *boundedWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// startChecks starts the periodic check for blocked writes.
func (w *boundedWriter) startChecks() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(stallCheckInterval, w.checkStall)
}

// stopChecks stops the check, before the underlying writer becomes invalid.
func (w *boundedWriter) stopChecks() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	w.timer.Stop()
}

// checkStall ends the call if the same write has blocked for stallTimeout.
func (w *boundedWriter) checkStall() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped {
		return
	}
	steps := w.steps.Load()
	writing := steps%2 == 1
	if writing && steps == w.lastSteps {
		w.stalledFor += stallCheckInterval
	} else {
		w.stalledFor = 0
	}
	w.lastSteps = steps
	if w.stalledFor >= stallTimeout {
		_ = w.control.SetWriteDeadline(time.Now())
	}
	w.timer.Reset(stallCheckInterval)
}
