package httpx

import (
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Bounds on slow clients.
const (
	// bodyTimeout is how long the body of a request may take to arrive.
	bodyTimeout = 15 * time.Second
	// stallTimeout is how long one write may wait for its client; it ends
	// within another stallCheck.
	stallTimeout = 20 * time.Second
	// stallCheck is the time between two looks at a call's writes.
	stallCheck = 5 * time.Second
)

// BoundSlowClients ends the calls of clients that send their request too
// slowly, or leave the answer unread, so that they can't hold a handler. A
// handler that has nothing to write is left alone.
func BoundSlowClients(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := http.NewResponseController(w)
		// A writer without deadlines is a test's; nothing to bound there.
		_ = c.SetReadDeadline(time.Now().Add(bodyTimeout))
		bounded := &boundedWriter{ResponseWriter: w, control: c}
		bounded.watch()
		defer bounded.release()
		h.ServeHTTP(bounded, r)
		_ = c.SetReadDeadline(time.Time{})
	})
}

// boundedWriter ends a call of which one write waits too long. Writes only
// count their begins and ends, since a clock or a deadline for each would cost
// more than a small write.
type boundedWriter struct {
	http.ResponseWriter
	control *http.ResponseController
	steps   atomic.Uint64 // begins and ends of writes; odd during one

	mu       sync.Mutex
	released bool
	timer    *time.Timer
	seen     uint64        // steps at the last look
	waited   time.Duration // of the write that was seen
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

// Unwrap gives http.ResponseController the writer beneath.
func (w *boundedWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// watch begins to look at the writes.
func (w *boundedWriter) watch() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(stallCheck, w.look)
}

// release ends the watch, before the writer beneath becomes invalid.
func (w *boundedWriter) release() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.released = true
	w.timer.Stop()
}

// look ends the call if the same write has waited for too long.
func (w *boundedWriter) look() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.released {
		return
	}
	steps := w.steps.Load()
	writing := steps%2 == 1
	if writing && steps == w.seen {
		w.waited += stallCheck
	} else {
		w.waited = 0
	}
	w.seen = steps
	if w.waited >= stallTimeout {
		_ = w.control.SetWriteDeadline(time.Now())
	}
	w.timer.Reset(stallCheck)
}
