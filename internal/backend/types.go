// Package backend is the port to backend servers: model engines and plain
// services. Its errors say whether an attempt can have run.
package backend

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"carawayproxy.example/caraway/internal/fleet"
)

// Errors of the port. Any error that is none of these leaves open whether
// the attempt ran.
var (
	// ErrNotSent marks an attempt that provably never left this daemon.
	ErrNotSent = errors.New("not sent")
	// ErrRefused marks an attempt that the backend server says it did not
	// and will not run.
	ErrRefused = errors.New("refused by backend server")
)

// AnswerError is an error that the service itself answered with. It is as
// final as any other answer.
type AnswerError struct {
	Message string
}

// Error returns the service's message.
func (e *AnswerError) Error() string { return e.Message }

// Token is one generated token.
type Token struct {
	Index uint32 // from zero, without gaps
	Text  string
}

// End closes a whole generation.
type End struct {
	TokenCount uint32
	Reason     string
	Version    fleet.Version
}

// Attempt is one try of a generation at one group.
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
	ResumeFrom uint32 // index of the first token wanted
}

// Chunk is one message of an attempt's stream, with the ids it names.
type Chunk struct {
	Request fleet.RequestID
	Attempt fleet.AttemptID
	Tokens  []Token
	End     *End // on the last chunk only
}

// Stream is the answer to one attempt.
type Stream interface {
	// Next returns the next chunk. After the chunk with the end, or when the
	// connection ends before it, it returns io.EOF. The chunk's tokens are
	// valid until the next call.
	Next() (Chunk, error)
	// Close drops the stream and its connection's share.
	Close()
}

// Call is one try of a plain service's method.
type Call struct {
	Request fleet.RequestID
	ID      fleet.AttemptID
	Service fleet.ServiceName
	Method  fleet.Method
	Body    []byte
}

// CallAnswer is the answer to a Call, with the ids it names.
type CallAnswer struct {
	Request fleet.RequestID
	Attempt fleet.AttemptID
	Body    []byte
}

// Order tells an engine to take an assignment, or to give up its own.
type Order struct {
	ID           string
	Scope        string
	FencingToken uint64
	Assign       *fleet.Assignment // nil for a release
	ValidFor     time.Duration
}

// OrderResult is an engine's answer to an order.
type OrderResult struct {
	Accepted     bool
	Reason       string
	HighestToken uint64
}

// CacheEvent tells that a prompt prefix entered or left an engine's cache.
type CacheEvent struct {
	Sequence uint64
	Prefix   uint64
	Evicted  bool
}

// Engines is the port to model engines; addresses are "ip:port".
type Engines interface {
	Run(ctx context.Context, address string, a Attempt) (Stream, error)
	Cancel(ctx context.Context, address string, id fleet.AttemptID) error
	Report(ctx context.Context, address string) (fleet.Report, error)
	Apply(ctx context.Context, address string, o Order) (OrderResult, error)
	CacheEvents(ctx context.Context, address string, after uint64) ([]CacheEvent, uint64, error)
}

// Plains is the port to plain services.
type Plains interface {
	Call(ctx context.Context, address string, c Call) (CallAnswer, error)
	Health(ctx context.Context, address string) (fleet.Report, error)
}
