package dispatch

import (
	"context"
	"mime"
	"net/http"
	"strings"
	"time"
	"unicode"

	"github.com/pkg/errors"

	"carawayproxy.example/caraway/internal/backend"
)

const mediaTypeEvents = "text/event-stream"

// maxEventIDBytes bounds the id of an event, well below the heads that servers accept.
const maxEventIDBytes = 1 << 10

// errNotContinuation marks an answer that does not continue the caller's stream.
var errNotContinuation = errors.New("the answer does not continue the stream")

// streamProgress is what a caller has received of a stream, as far as it decides
// whether another answer continues it.
type streamProgress struct {
	status    int
	mediaType string // empty if the first answer names none
	// unplaced is set while the last event has no id: an answer that begins after
	// the last id might repeat it.
	unplaced bool
	// moreDue is set once an answer has broken off in a way that shows that another
	// event follows the last one.
	moreDue bool
}

// begin records the answer whose header the caller receives.
func (p *streamProgress) begin(ans backend.OpaqueResponse) {
	p.status, p.mediaType = ans.Status, mediaType(ans.Header)
}

// checkContinuation returns an error if the caller has received a part of a stream
// that this answer does not continue. first reports whether it has received none.
func (r *forwardedRequest) checkContinuation(ans backend.OpaqueResponse) (first bool, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	p, found := &r.delivered, mediaType(ans.Header)
	switch {
	case !r.headerSent:
		return true, nil
	case p.unplaced:
		err = errors.Wrap(errNotContinuation, "the caller has received an event without an id")
	case ans.Status != p.status:
		err = errors.Wrapf(errNotContinuation, "status %d in place of %d", ans.Status, p.status)
	case found != "" && found != mediaTypeEvents && found != p.mediaType:
		err = errors.Wrapf(errNotContinuation, "a body of type %q", found)
	}
	return false, err
}

// checkEvent returns an error if an event can't be the next one of the stream.
// placed is set if the caller has received an earlier event of the same answer, or
// if the answer is the first. Called with mu held.
func (r *forwardedRequest) checkEvent(id string, placed bool) error {
	switch {
	case !r.req.Repeatable:
		return nil // no other answer follows, so that this one is passed on as it is
	case !isSendable(id):
		return errors.Wrapf(errNotContinuation, "an event whose id of %d bytes no header can hold", len(id))
	case id == "" && !placed:
		return errors.Wrap(errNotContinuation, "its first event has no id")
	case id != "" && (id == r.lastEventID || alreadyDelivered(id, r.lastEventID)):
		return errors.Wrapf(errNotContinuation, "event %q after event %q", id, r.lastEventID)
	}
	return nil
}

// isSendable reports whether an id can be sent to the next backend server, in a header.
func isSendable(id string) bool {
	return len(id) <= maxEventIDBytes && !strings.ContainsFunc(id, unicode.IsControl)
}

// endCheckTimeout limits the check whether a server's process has ended. It leaves room for
// two dials beside the longest watch, each many times the longest round trip between
// availability zones, and for a check that is under way.
const endCheckTimeout = streamEndWatch + 200*time.Millisecond

// streamEndWatch and answerEndWatch are how long a server is watched after an answer that
// ended with its connection, until its process counts as one that goes on: many times what
// a process takes to close its connections and its listener. A stream's events have been
// passed on by then; a buffered answer waits for it.
const (
	streamEndWatch = 75 * time.Millisecond
	answerEndWatch = 25 * time.Millisecond
)

// checkEnd returns an error if the end of an answer that has neither a length nor chunks
// may be that of its server's process, whose connections end like those of a server that
// has nothing more to send. Whether it was complete shows if another one is asked for what
// follows.
func (r *forwardedRequest) checkEnd(ctx context.Context, ans backend.OpaqueResponse, a *runningAttempt, watch time.Duration) error {
	prober := r.d.cfg.LivenessProber
	if ans.Framed || prober == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, endCheckTimeout)
	defer cancel()
	if prober.HasEnded(ctx, a.Address, watch) {
		return errors.Wrap(errTruncated, "the connection and its server's process have ended")
	}
	return nil
}

// checkEmpty returns an error if an answer that ended without any event can't be
// complete. As the first one, it may be that of a server that ends before its first event;
// only a length or chunks show the difference. Called with mu held.
func (r *forwardedRequest) checkEmpty(ans backend.OpaqueResponse) error {
	switch {
	case !ans.Framed && !(r.headerSent && r.d.cfg.LivenessProber != nil):
		return errors.Wrap(errTruncated, "the connection ended before any event")
	case r.headerSent && r.delivered.moreDue:
		return errors.Wrap(errNotContinuation, "no event, though the answer before broke off inside one or before its length")
	}
	return nil
}

// recordBreak records what an answer that broke off shows about the events to come.
// inside is set if it ended within an event.
func (r *forwardedRequest) recordBreak(ans backend.OpaqueResponse, a *runningAttempt, inside bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !a.superseded && (inside || ans.Header.Get("Content-Length") != "") {
		r.delivered.moreDue = true
	}
}

// mediaType returns the media type of a body in lower case, without parameters;
// empty if none is named, and the header's text if it is invalid.
func mediaType(h http.Header) string {
	text := h.Get("Content-Type")
	if t, _, err := mime.ParseMediaType(text); err == nil || errors.Is(err, mime.ErrInvalidMediaParameter) {
		return t
	}
	return text
}
