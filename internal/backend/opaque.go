package backend

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"carawayproxy.example/caraway/internal/fleet"
)

// ErrRequestMismatch marks a response that carries the id of another request.
var ErrRequestMismatch = errors.New("the answer names another request")

// Rate is the request rate that a backend server announces in an answer.
type Rate struct {
	Announced bool
	// PerSecond is the number of requests a second that the server takes from all
	// daemons together.
	PerSecond float64
	// Err is why an announced rate is invalid, nil if it is valid.
	Err error
}

// Departure is whether a backend server announces in an answer that it leaves: it
// finishes the requests that it has, and is to be sent no further ones.
type Departure struct {
	Announced bool
	// Err is why an announcement is invalid, nil if it is valid.
	Err error
}

// Pause is the time for which a backend server that has turned a request away wants
// no other one from the daemon that it came from.
type Pause struct {
	Announced bool
	Length    time.Duration
	// Via is the daemon that the server was reached through, and whose requests it
	// therefore does not want either; empty for none.
	Via string
	// Err is why an announced pause is invalid or was bounded, nil if it is valid.
	Err error
}

// ErrLinksLost marks the failure of a dial that may be due to this daemon's own
// links: it shows nothing about the backend server.
var ErrLinksLost = errors.New("own links to the backend servers may be lost")

// RefusedError is a rejection by the backend server with its details. It
// matches ErrRefused unless it is unproven.
type RefusedError struct {
	Status    int
	Rate      Rate
	Departure Departure
	Pause     Pause
	// Fault is the instance that caused the rejection, empty if the server does
	// not name one.
	Fault fleet.InstanceID
	// Unproven is set if the rejection names no request and may be that of an
	// earlier one, so that this request may have run.
	Unproven bool
}

// Error returns the text of the status, the instance at fault and the doubt.
func (e *RefusedError) Error() string {
	text := "refused with status " + http.StatusText(e.Status)
	if e.Fault != "" {
		text += ", at fault is " + string(e.Fault)
	}
	if e.Unproven {
		text += ", by an answer that may belong to an earlier request"
	}
	return text
}

// Is reports whether target is ErrRefused.
func (e *RefusedError) Is(target error) bool { return target == ErrRefused && !e.Unproven }

// Opaque is a request that is forwarded byte for byte.
type Opaque struct {
	Request fleet.RequestID
	// Instance is the intended recipient. Any other instance must reject the
	// request.
	Instance  fleet.InstanceID
	Workspace fleet.Workspace
	Method    string
	Target    string // request target of the request line
	Host      string
	Header    http.Header // without hop-by-hop headers; not modified
	Body      []byte
	// Remaining is the time left until the caller's deadline.
	Remaining time.Duration
	// Urgency is the scheduling priority at the engine; larger values run first.
	Urgency uint32
	// ResumeAfter is the id of the last event that the caller received. It is
	// empty for a stream from the beginning.
	ResumeAfter string
	// Fresh requests a new connection instead of a pooled one.
	Fresh bool
	// Connected, if not nil, is called before the request is sent, with the daemon
	// that its connection leads through, empty for a direct one. If it returns an
	// error, the request is not sent, and the error of the call matches that one and
	// ErrNotSent.
	Connected func(via string) error
	// DialFailed, if not nil, is called when a first dial of the server has failed and
	// other ways to it are tried. It must not block.
	DialFailed func()
}

// OpaqueResponse is the status, header and body of a response. The caller must
// close Body.
type OpaqueResponse struct {
	// WrittenAt is when the request had been written, as far as it had when its answer
	// arrived; zero if nothing was written or that is not known. It is also set beside an
	// error.
	WrittenAt time.Time
	Status    int
	Rate      Rate
	Departure Departure
	Pause     Pause
	Header    http.Header // without hop-by-hop headers
	Body      io.ReadCloser
	// Framed is set if a length or chunks tell the end of Body, or if there is none.
	// Otherwise Body ends with its connection.
	Framed bool
}

// Opaques forwards requests to backend servers unmodified.
type Opaques interface {
	// Forward sends a request and returns the response once its header has
	// arrived. Beside an error only WrittenAt is set. Canceling ctx closes the connection, also while the body is read.
	Forward(ctx context.Context, address string, o Opaque) (OpaqueResponse, error)
}
