package httpx

import (
	"net/http"
	"time"
)

// Bounds on slow clients.
const (
	// bodyTimeout is how long the body of a request may take to arrive.
	bodyTimeout = 15 * time.Second
	// stallTimeout is how long a client may leave an answer unread.
	stallTimeout = 20 * time.Second
	// stallRenew is the least time between two renewals of the write
	// deadline, which cost more than a write.
	stallRenew = 5 * time.Second
)

// BoundSlowClients ends the calls of clients that send their request too
// slowly, or leave the answer unread, so that they can't hold a handler.
func BoundSlowClients(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := http.NewResponseController(w)
		// A writer without deadlines is a test's; nothing to bound there.
		_ = c.SetReadDeadline(time.Now().Add(bodyTimeout))
		h.ServeHTTP(&boundedWriter{ResponseWriter: w, control: c}, r)
		_ = c.SetReadDeadline(time.Time{})
	})
}

// boundedWriter renews the write deadline as the answer goes on.
type boundedWriter struct {
	http.ResponseWriter
	control *http.ResponseController
	renewed time.Time
}

// Write implements http.ResponseWriter.
func (w *boundedWriter) Write(p []byte) (int, error) {
	w.renew()
	return w.ResponseWriter.Write(p)
}

// Flush implements http.Flusher.
func (w *boundedWriter) Flush() {
	w.renew()
	_ = w.control.Flush()
}

// Unwrap gives http.ResponseController the writer beneath.
func (w *boundedWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

func (w *boundedWriter) renew() {
	now := time.Now()
	if now.Sub(w.renewed) < stallRenew {
		return
	}
	w.renewed = now
	_ = w.control.SetWriteDeadline(now.Add(stallTimeout))
}
