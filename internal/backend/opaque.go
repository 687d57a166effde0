package backend

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"carawayproxy.example/caraway/internal/fleet"
)

// ErrCrossed marks an answer that names another request.
var ErrCrossed = errors.New("the answer names another request")

// RefusedError is a refusal with what the backend server said of it. It is
// ErrRefused.
type RefusedError struct {
	Status int
	// Fault is the instance that the server blames, if it names one.
	Fault fleet.InstanceID
}

// Error describes the refusal.
func (e *RefusedError) Error() string {
	if e.Fault != "" {
		return "refused with status " + http.StatusText(e.Status) + ", at fault is " + string(e.Fault)
	}
	return "refused with status " + http.StatusText(e.Status)
}

// Is makes the error an ErrRefused.
func (e *RefusedError) Is(target error) bool { return target == ErrRefused }

// Opaque is a request that is passed on byte for byte.
type Opaque struct {
	Request fleet.RequestID
	// Instance is whom the request is for; another one must refuse it.
	Instance  fleet.InstanceID
	Workspace fleet.Workspace
	Method    string
	Target    string // of the request line
	Host      string
	Header    http.Header // without those of one connection; not changed
	Body      []byte
	// Remaining is how long the caller still waits.
	Remaining time.Duration
	// Urgency ranks requests at an engine, larger values first.
	Urgency uint32
	// ResumeAfter is the id of the last event that the caller has, empty for
	// a stream from its beginning.
	ResumeAfter string
	// Fresh asks for a connection that no other request has used.
	Fresh bool
}

// OpaqueAnswer is the head of an answer, and its body to be read and closed.
type OpaqueAnswer struct {
	Status int
	Header http.Header // without those of one connection
	Body   io.ReadCloser
}

// Opaques is the port to backend servers that take requests as they are.
type Opaques interface {
	// Forward sends a request and returns the answer's head. Ending ctx drops
	// the connection, also while the body is read.
	Forward(ctx context.Context, address string, o Opaque) (OpaqueAnswer, error)
}
