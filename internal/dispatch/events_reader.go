package dispatch

import (
	"bufio"
	"bytes"
	"io"
	"strconv"

	"github.com/pkg/errors"

	"carawayproxy.example/caraway/internal/memory"
)

const (
	// eventBufferBytes is the read buffer size; typical events fit several
	// times.
	eventBufferBytes = 4 << 10
	// maxEventBytes bounds the size of one event.
	maxEventBytes = 1 << 20
)

var (
	idField      = []byte("id:")
	errEventSize = errors.New("an event of the stream is too large")
)

// eventReader splits a text/event-stream into complete events. It parses only
// the id field.
type eventReader struct {
	r     *bufio.Reader
	event []byte
	// open returns the buffer in which long events count. It is called for the first one.
	open func() *memory.Buffer
	long *memory.Buffer
}

// newEventReader returns a reader that has to be closed.
func newEventReader(r io.Reader, open func() *memory.Buffer) *eventReader {
	return &eventReader{r: bufio.NewReaderSize(r, eventBufferBytes), open: open}
}

// Close gives up the memory of long events.
func (e *eventReader) Close() {
	if e.long != nil {
		e.long.Close()
	}
}

// reserveLong makes count what an event takes beyond the size of typical ones.
func (e *eventReader) reserveLong() error {
	long := cap(e.event) - eventBufferBytes
	if long <= 0 {
		return nil
	}
	if e.long == nil {
		e.long = e.open()
	}
	return e.long.ReserveUpTo(long)
}

// next returns the next complete event, including the blank line that ends it,
// and the event's id, empty if it has none. Both are valid until the next call.
// The error is io.EOF after the last complete event and errTruncated if the
// stream ends within an event.
func (e *eventReader) next() (event, id []byte, err error) {
	e.event = e.event[:0]
	lineFrom, idFrom, idTo := 0, 0, 0
	for {
		piece, err := e.r.ReadSlice('\n')
		e.event = append(e.event, piece...)
		if err := e.reserveLong(); err != nil {
			return nil, nil, err
		}
		switch {
		case len(e.event) > maxEventBytes:
			return nil, nil, errEventSize
		case errors.Is(err, bufio.ErrBufferFull):
			continue // the rest of the line follows
		case errors.Is(err, io.EOF) && len(e.event) == 0:
			return nil, nil, io.EOF
		case errors.Is(err, io.EOF):
			return nil, nil, errTruncated
		case err != nil:
			return nil, nil, err
		}
		text := bytes.TrimRight(e.event[lineFrom:], "\r\n")
		if len(text) == 0 && lineFrom > 0 {
			return e.event, e.event[idFrom:idTo], nil
		}
		if bytes.HasPrefix(text, idField) {
			value := bytes.TrimPrefix(text[len(idField):], []byte(" "))
			idTo = lineFrom + len(text)
			idFrom = idTo - len(value)
		}
		lineFrom = len(e.event)
	}
}

// isInside reports whether a part of an event has been read, after next has returned
// an error.
func (e *eventReader) isInside() bool { return len(bytes.TrimSpace(e.event)) > 0 }

// hasBuffered reports whether received bytes have not been read yet.
func (e *eventReader) hasBuffered() bool { return e.r.Buffered() > 0 }

// alreadyDelivered reports whether the event with this id precedes or equals
// the last one delivered. Only numeric ids are compared; they increase.
func alreadyDelivered(id, last string) bool {
	if last == "" || id == "" {
		return false
	}
	n, errN := strconv.ParseUint(id, 10, 64)
	m, errM := strconv.ParseUint(last, 10, 64)
	return errN == nil && errM == nil && n <= m
}
