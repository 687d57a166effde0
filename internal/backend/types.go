// Package backend defines the port to backend servers, which are model engines
// and plain services, and polls their state. Its errors say whether an attempt
// may have run.
package backend

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"carawayproxy.example/caraway/internal/fleet"
)

// Errors of the port. After any other error the attempt may or may not have
// run.
var (
	// ErrNotSent marks an attempt that was not sent to the backend server.
	ErrNotSent = errors.New("not sent")
	// ErrRefused marks an attempt that the backend server rejected: it did not
	// run it and will not.
	ErrRefused = errors.New("refused by backend server")
)

// AnswerError is an error response of the service itself. It is final like any
// other response.
type AnswerError struct {
	Message string
}

// Error returns the message of the service.
func (e *AnswerError) Error() string { return e.Message }

// Token is one generated token.
type Token struct {
	Index uint32 // from zero, without gaps
	Text  string
}

// End marks the end of a complete generation.
type End struct {
	TokenCount uint32
	Reason     string
	Version    fleet.Version
}

// Attempt is one attempt to run a generation on a group.
type Attempt struct {
	Request    fleet.RequestID
	ID         fleet.AttemptID
	Group      fleet.GroupID
	Epoch      fleet.Epoch
	Service    fleet.ServiceName
	Version    fleet.Version
	Adapter    fleet.Adapter
	Prompt     string
	MaxTokens  uint32
	Priority   uint32
	ResumeFrom uint32 // index of the first token to return
}

// Chunk is one message of an attempt's stream, with the ids that it carries.
type Chunk struct {
	Request fleet.RequestID
	Attempt fleet.AttemptID
	Tokens  []Token
	End     *End // set on the last chunk only
}

// Stream is the response to an attempt.
type Stream interface {
	// Next returns the next chunk. It returns io.EOF after the chunk with End,
	// or if the connection ends before that chunk. The chunk's tokens are valid
	// until the next call.
	Next() (Chunk, error)
	// Close cancels the stream and releases its share of the connection.
	Close()
}

// Call is one attempt to call a method of a plain service.
type Call struct {
	Request fleet.RequestID
	ID      fleet.AttemptID
	Service fleet.ServiceName
	Method  fleet.Method
	Body    []byte
}

// CallResponse is the response to a Call, with the ids that it carries.
type CallResponse struct {
	Request fleet.RequestID
	Attempt fleet.AttemptID
	Body    []byte
}

// Order instructs an engine to take an assignment or to release its current
// one.
type Order struct {
	ID           string
	Scope        string
	FencingToken uint64
	Assign       *fleet.Assignment // nil for a release
	ValidFor     time.Duration
}

// OrderResult is an engine's response to an order.
type OrderResult struct {
	Accepted     bool
	Reason       string
	HighestToken uint64
}

// CacheEvent reports that a prompt prefix was added to or evicted from an
// engine's cache.
type CacheEvent struct {
	Sequence uint64
	Prefix   uint64
	Evicted  bool
}

// Engines is the port to model engines. Addresses are "ip:port".
type Engines interface {
	Run(ctx context.Context, address string, a Attempt) (Stream, error)
	Cancel(ctx context.Context, address string, id fleet.AttemptID) error
	Report(ctx context.Context, address string) (fleet.Report, error)
	Apply(ctx context.Context, address string, o Order) (OrderResult, error)
	CacheEvents(ctx context.Context, address string, after uint64) ([]CacheEvent, uint64, error)
}

// Plains is the port to plain services. Addresses are "ip:port".
type Plains interface {
	Call(ctx context.Context, address string, c Call) (CallResponse, error)
	Health(ctx context.Context, address string) (fleet.Report, error)
}
