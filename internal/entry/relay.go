package entry

import (
	"net/http"
	"time"

	"carawayproxy.example/caraway/internal/dispatch"
	"carawayproxy.example/caraway/internal/fleet"
)

// writeGrace is how long after a request's deadline its last bytes may still
// be written.
const writeGrace = 250 * time.Millisecond

// relay writes an answer to the caller and measures it for the log.
type relay struct {
	w            http.ResponseWriter
	control      *http.ResponseController
	stream       bool
	headerSent   bool
	status       int
	bytes        int
	firstAt      time.Time     // first part of the body
	lastAt       time.Time     // last part of the body
	longestPause time.Duration // between parts of the body
}

var _ dispatch.Relay = (*relay)(nil)

// WriteHeader implements dispatch.Relay.
func (r *relay) WriteHeader(status int, header http.Header) {
	r.headerSent = true
	r.status = status
	h := r.w.Header()
	for name, values := range header {
		h[name] = values
	}
	if r.stream && status/100 == 2 {
		// A stream that is resumed elsewhere may be longer than the first
		// answer's Content-Length.
		h.Del("Content-Length")
	}
	r.w.WriteHeader(status)
}

// WriteBody implements dispatch.Relay.
func (r *relay) WriteBody(p []byte, more bool) error {
	if len(p) > 0 {
		r.recordBody(len(p))
		if _, err := r.w.Write(p); err != nil {
			return err
		}
	}
	if !r.stream || more {
		return nil
	}
	return r.control.Flush()
}

// Abort implements dispatch.Relay.
func (r *relay) Abort() { _ = r.control.SetWriteDeadline(time.Now()) }

// recordBody updates the measurements for n further bytes of the body.
func (r *relay) recordBody(n int) {
	now := time.Now()
	if r.firstAt.IsZero() {
		r.firstAt = now
	} else {
		r.longestPause = max(r.longestPause, now.Sub(r.lastAt))
	}
	r.lastAt = now
	r.bytes += n
}

// fail ends a request without a complete answer. If the answer has begun, the
// connection is aborted, so that the answer cannot be mistaken for a complete
// one. A caller that seems to have disconnected is answered as well: it may have
// closed its sending side only.
func (r *relay) fail(f *fleet.Failure) {
	if r.headerSent {
		panic(http.ErrAbortHandler)
	}
	setRetryAfter(r.w.Header(), f.RetryAfter)
	http.Error(r.w, f.Error(), statusOf(f))
}

// statusOf returns the HTTP status of a failure. 503 guarantees that the request
// has not run and will not run; 502 and 504 do not.
func statusOf(f *fleet.Failure) int {
	switch {
	case f.State == fleet.NotRun:
		return http.StatusServiceUnavailable
	case f.Reason == fleet.ReasonDeadline:
		return http.StatusGatewayTimeout
	default:
		return http.StatusBadGateway
	}
}
