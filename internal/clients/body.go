package clients

import (
	"bytes"
	"io"
	"net/http"
	"strconv"
	"time"

	"carawayproxy.example/caraway/internal/memory"
)

const (
	// bodyGrace is how long an incomplete body may hold memory before another one of the
	// same size takes its place, when memory is short.
	bodyGrace = 500 * time.Millisecond
	// RetryAfterShort is when a client may come back whose body found no memory. It is
	// longer than bodyGrace.
	RetryAfterShort = time.Second
	// discardTime is how long the rest of a body that was refused is read and discarded.
	discardTime = 500 * time.Millisecond
	// maxDiscardBytes bounds what is discarded.
	maxDiscardBytes = 8 << 20
)

// Limits that a client may meet, for the log.
const (
	LimitBodySize   = "body size"
	LimitBodyMemory = "memory for bodies"
)

// NewBodies returns the memory for the bodies of requests. An incomplete body that has held
// memory for long is given up when another one needs it.
func NewBodies(p Plan) *memory.Budget {
	return memory.NewBudget(memory.Config{
		Limit: p.BodyBytes, Policy: memory.HeldLongest(bodyGrace), SmallBytes: p.SmallBytes, ForSmall: p.ForSmall,
	})
}

// OpenBody returns an empty buffer for the body of a request, which has to be closed before
// the request's handler returns. If it is given up, a read that waits for the client ends.
func OpenBody(bodies *memory.Budget, w http.ResponseWriter) *memory.Buffer {
	control := http.NewResponseController(w)
	return bodies.Open(func(error) { _ = control.SetReadDeadline(time.Unix(1, 0)) })
}

// ReadBody reads the whole body of a request into a buffer. It returns memory.ErrSize for a
// body of more than limit bytes, memory.ErrShort if it was given up, in which case the
// request must not run, and otherwise the errors of the body.
func ReadBody(b *memory.Buffer, r *http.Request, body io.Reader, limit int) ([]byte, error) {
	if err := b.ReadBody(body, r.ContentLength, limit); err != nil {
		return nil, err
	}
	blocks, ok := b.Keep(nil)
	if !ok || !HasReadBody(r.Context()) {
		return nil, memory.ErrShort
	}
	if len(blocks) == 0 {
		return nil, nil
	}
	return blocks[0], nil // ReadBody makes one block
}

// AnswerUnread writes the answer to a request whose body was not read, and closes the
// connection, or with HTTP/2 the stream. It discards further bytes for a while before that:
// closing a connection with unread bytes resets it, and a caller that is still sending
// would lose the answer.
func AnswerUnread(w http.ResponseWriter, r *http.Request, answer func(http.ResponseWriter)) {
	if r.ProtoMajor >= 2 {
		answer(w)
		return
	}
	control := http.NewResponseController(w)
	sized := &sizedWriter{header: w.Header(), status: http.StatusOK}
	sized.header.Set("Connection", "close")
	answer(sized)
	sized.header.Set("Content-Length", strconv.Itoa(sized.body.Len()))
	end := time.Now().Add(discardTime)
	_, _ = control.SetWriteDeadline(end), control.SetReadDeadline(end) // only the writers of tests lack them
	w.WriteHeader(sized.status)
	_, _ = w.Write(sized.body.Bytes())
	_ = control.Flush()
	_, _ = io.CopyN(io.Discard, r.Body, maxDiscardBytes)
}

// sizedWriter keeps an answer until its length is known. Without a length, the end of the
// answer would be sent after the rest of the request is discarded.
type sizedWriter struct {
	header http.Header
	status int
	body   bytes.Buffer
}

// Header implements http.ResponseWriter.
func (w *sizedWriter) Header() http.Header { return w.header }

// WriteHeader implements http.ResponseWriter.
func (w *sizedWriter) WriteHeader(status int) { w.status = status }

// Write implements http.ResponseWriter.
func (w *sizedWriter) Write(p []byte) (int, error) { return w.body.Write(p) }
