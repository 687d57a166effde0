package httpx

import (
	"bufio"
	"context"
	"encoding/binary"
	"io"
	"net/http"
)

// readAheadBytes is the size of the buffer for one response body. It holds a
// few dozen tokens.
const readAheadBytes = 4 << 10

// An envelope of a connect stream consists of one byte of flags, four bytes of
// length and the message. The flags of a plain message are zero.
const (
	envelopePrefixBytes = 5
	plainMessageFlags   = 0
)

// ReadAhead buffers the body of one streamed response, so that its reader can
// determine whether the next message has arrived. It is not safe for concurrent
// use.
type ReadAhead struct {
	body   io.ReadCloser
	buffer *bufio.Reader // nil before the response arrives and after Close
}

var _ io.ReadCloser = (*ReadAhead)(nil)

type readAheadKey struct{}

// WithReadAhead returns a context that makes a ReadAheadClient read the response
// to one request through r.
func WithReadAhead(ctx context.Context, r *ReadAhead) context.Context {
	return context.WithValue(ctx, readAheadKey{}, r)
}

// ReadAheadClient is an HTTP client that replaces the body of a response by the
// ReadAhead of the request's context.
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

// Read implements io.Reader. It blocks only if the buffer is empty.
func (r *ReadAhead) Read(p []byte) (int, error) {
	if r.buffer == nil {
		return 0, http.ErrBodyReadAfterClose
	}
	return r.buffer.Read(p)
}

// Close implements io.Closer. It discards the buffer, so that a read after Close
// cannot return data of another response.
func (r *ReadAhead) Close() error {
	r.buffer = nil
	return r.body.Close()
}

// HasMessage reports whether the next message is buffered completely, so that
// reading it does not block. It does not read from the body.
func (r *ReadAhead) HasMessage() bool {
	if r.buffer == nil || r.buffer.Buffered() < envelopePrefixBytes {
		return false
	}
	prefix, err := r.buffer.Peek(envelopePrefixBytes)
	if err != nil || prefix[0] != plainMessageFlags {
		return false
	}
	size := binary.BigEndian.Uint32(prefix[1:])
	return uint64(r.buffer.Buffered()) >= envelopePrefixBytes+uint64(size)
}
