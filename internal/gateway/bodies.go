package gateway

import (
	"bytes"
	"context"
	"net/http"
	"os"
	"strings"
	"sync"

	"connectrpc.com/connect"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"carawayproxy.example/caraway/internal/clients"
	"carawayproxy.example/caraway/internal/fleet"
	"carawayproxy.example/caraway/internal/memory"
)

const (
	// callBytes is what a call takes beside its head and its message: the stacks and
	// buffers of its goroutines.
	callBytes = 8 << 10
	// envelopeBytes is what a streaming protocol puts before a message.
	envelopeBytes = 5
)

// Limits bound what the calls of all callers take together.
type Limits struct {
	// MaxBytes is the size of the largest message.
	MaxBytes int
	// Bodies is the memory for the calls that are read or run.
	Bodies *memory.Budget
	// Decoders is the number of large or compressed messages that are decoded at once.
	Decoders int
	// OnLimit is called with the address of a client that meets a limit. It may be nil.
	OnLimit func(client, limit, reason string)
}

// boundedCalls reads the bodies of calls within limits before they are decoded.
type boundedCalls struct {
	Limits
	next     http.Handler
	errors   *connect.ErrorWriter
	decoding chan struct{} // holds one value for each large message that is being decoded
}

func (l Limits) handler(next http.Handler) http.Handler {
	return &boundedCalls{
		Limits: l, next: next, errors: connect.NewErrorWriter(connect.WithReadMaxBytes(l.MaxBytes)),
		decoding: make(chan struct{}, l.Decoders),
	}
}

// call is a call whose body was read.
type call struct {
	held    *memory.Buffer
	counted int    // bytes of the body
	end     func() // ends the turn to decode
}

type callKey struct{}

// ServeHTTP implements http.Handler.
func (h *boundedCalls) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !h.errors.IsSupported(r) {
		r.Body = http.NoBody // the handler rejects it
		h.next.ServeHTTP(w, r)
		return
	}
	held := clients.OpenBody(h.Bodies, w)
	defer held.Close()
	body, err := h.read(held, r)
	if err != nil {
		h.refuse(w, r, err)
		return
	}
	c := &call{held: held, counted: len(body), end: func() {}}
	if len(body) > memory.BlockBytes || isCompressed(r.Header) {
		select {
		case h.decoding <- struct{}{}:
		case <-r.Context().Done():
			return
		}
		c.end = sync.OnceFunc(func() { <-h.decoding })
		defer c.end()
	}
	r = r.WithContext(context.WithValue(r.Context(), callKey{}, c))
	r.Body = &readBody{bytes.NewReader(body)}
	h.next.ServeHTTP(w, r)
}

// read reads the body of a call.
func (h *boundedCalls) read(held *memory.Buffer, r *http.Request) ([]byte, error) {
	taken := callBytes
	for name, values := range r.Header {
		for _, v := range values {
			taken += len(name) + len(v)
		}
	}
	if err := held.Reserve(taken); err != nil {
		return nil, err
	}
	limit := h.MaxBytes
	if r.ContentLength < 0 {
		limit += envelopeBytes
	}
	return clients.ReadBody(held, r, r.Body, limit)
}

// refuse answers a call whose body was not read.
func (h *boundedCalls) refuse(w http.ResponseWriter, r *http.Request, err error) {
	f := fleet.NewNotRunFailure(fleet.ReasonCanceled, 0, "the body broke off: %v", err)
	limit := ""
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		f = fleet.NewNotRunFailure(fleet.ReasonDeadline, 0, "the body did not arrive in time: %v", err)
	case errors.Is(err, memory.ErrSize):
		f, limit = fleet.NewInvalidFieldFailure("message", "has too many bytes, want at most %d: %v", h.MaxBytes, err), clients.LimitBodySize
	case errors.Is(err, memory.ErrShort):
		f, limit = shortFailure(), clients.LimitBodyMemory
	}
	if limit != "" && h.OnLimit != nil {
		h.OnLimit(clients.Address(r.RemoteAddr), limit, f.Message)
	}
	clients.AnswerUnread(w, r, func(w http.ResponseWriter) {
		_ = h.errors.Write(w, r, failureError("", f)) // the caller may have gone
	})
}

func shortFailure() *fleet.Failure {
	return fleet.NewNotRunFailure(fleet.ReasonOverloaded, clients.RetryAfterShort, "memory is short for the body of the call")
}

// readBody is the body of a call, which it gives up when it was read.
type readBody struct{ *bytes.Reader }

// Read implements io.Reader.
func (b *readBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if b.Len() == 0 {
		b.Reader = bytes.NewReader(nil)
	}
	return n, err
}

// Close implements io.Closer.
func (b *readBody) Close() error { return nil }

// isCompressed reports whether a message may be larger than its body.
func isCompressed(h http.Header) bool {
	for _, name := range []string{"Content-Encoding", "Connect-Content-Encoding", "Grpc-Encoding"} {
		if v := h.Get(name); v != "" && !strings.EqualFold(v, "identity") {
			return true
		}
	}
	return false
}

// accept ends the decoding of a call. It returns an error if the message could not be
// decoded, or if there is no memory for it: a compressed one is larger than its body.
func accept(ctx context.Context, m proto.Message) error {
	c, ok := ctx.Value(callKey{}).(*call)
	if ok {
		defer c.end()
	}
	if err := decodingError(m); err != nil {
		return err
	}
	if !ok {
		return nil
	}
	if more := proto.Size(m) - c.counted; more > 0 {
		if c.held.Reserve(more) != nil {
			return failureError("", shortFailure())
		}
	}
	return nil
}
