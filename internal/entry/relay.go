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

// relay gives an answer to the caller.
type relay struct {
	w          http.ResponseWriter
	control    *http.ResponseController
	stream     bool
	headerSent bool
	// What the log tells of the answer.
	status       int
	bytes        int
	firstAt      time.Time // of the body
	lastAt       time.Time
	longestPause time.Duration // the longest between parts of the body
}

var _ dispatch.Relay = (*relay)(nil)

// Head implements dispatch.Relay.
func (r *relay) Head(status int, header http.Header) {
	r.headerSent = true
	r.status = status
	h := r.w.Header()
	for name, values := range header {
		h[name] = values
	}
	if r.stream && status/100 == 2 {
		// A stream that is resumed elsewhere may be longer than its first
		// answer said.
		h.Del("Content-Length")
	}
	r.w.WriteHeader(status)
}

// Body implements dispatch.Relay.
func (r *relay) Body(p []byte, more bool) error {
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

// recordBody keeps the times of the body's parts.
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

// fail ends a request that got no whole answer. One whose answer has begun is
// cut, so that it can't be taken for whole.
func (r *relay) fail(f *fleet.Failure) {
	if r.headerSent || f.Reason == fleet.ReasonCanceled {
		panic(http.ErrAbortHandler)
	}
	setRetryAfter(r.w.Header(), f.RetryAfter)
	http.Error(r.w, f.Error(), statusOf(f))
}

// statusOf is the status of a failure. 503 promises that the request has not
// run and never will; 502 and 504 leave that open.
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
