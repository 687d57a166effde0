package httpx

import (
	"bufio"
	"context"
	"encoding/binary"
	"io"
	"net/http"
)

// readAheadBytes is the size of the buffer before one answer's body. It holds
// some dozens of tokens.
const readAheadBytes = 4 << 10

// An envelope of connect's streams is one byte of flags, four bytes of length
// and the message. Flags are zero for a plain message.
const (
	envelopePrefixBytes = 5
	messageFlags        = 0
)

// ReadAhead reads the body of one streamed answer through a buffer, so that
// its reader can tell what has arrived. It belongs to one goroutine.
type ReadAhead struct {
	body   io.ReadCloser
	buffer *bufio.Reader // nil before the answer and after Close
}

var _ io.ReadCloser = (*ReadAhead)(nil)

type readAheadKey struct{}

// WithReadAhead returns a context under which the answer to one request of a
// ReadAheadClient is read through r.
func WithReadAhead(ctx context.Context, r *ReadAhead) context.Context {
	return context.WithValue(ctx, readAheadKey{}, r)
}

// ReadAheadClient is an HTTP client that puts the ReadAhead of a request's
// context before the answer's body.
type ReadAheadClient struct{ *http.Client }

// Do sends the request. It returns the errors of the HTTP client.
func (c ReadAheadClient) Do(req *http.Request) (*http.Response, error) {
	resp, err := c.Client.Do(req)
	if err != nil {
		return nil, err
	}
	if r, ok := req.Context().Value(readAheadKey{}).(*ReadAhead); ok {
		r.body = resp.Body
		r.buffer = bufio.NewReaderSize(resp.Body, readAheadBytes)
		resp.Body = r
	}
	return resp, nil
}

// Read implements io.Reader. It waits only when the buffer is empty.
func (r *ReadAhead) Read(p []byte) (int, error) {
	if r.buffer == nil {
		return 0, http.ErrBodyReadAfterClose
	}
	return r.buffer.Read(p)
}

// Close implements io.Closer. The buffer is not used for another answer, so
// that a reader that is late can't read from one.
func (r *ReadAhead) Close() error {
	r.buffer = nil
	return r.body.Close()
}

// HoldsMessage reports whether the next message has arrived whole, so that
// reading it does not wait. It reads nothing from the body.
func (r *ReadAhead) HoldsMessage() bool {
	if r.buffer == nil || r.buffer.Buffered() < envelopePrefixBytes {
		return false
	}
	prefix, err := r.buffer.Peek(envelopePrefixBytes)
	if err != nil || prefix[0] != messageFlags {
		return false
	}
	size := binary.BigEndian.Uint32(prefix[1:])
	return uint64(r.buffer.Buffered()) >= envelopePrefixBytes+uint64(size)
}
