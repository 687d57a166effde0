package dispatch

import (
	"bufio"
	"bytes"
	"io"
	"strconv"

	"github.com/pkg/errors"
)

const (
	// eventBufferBytes holds a few usual events.
	eventBufferBytes = 4 << 10
	// maxEventBytes bounds one event of a stream.
	maxEventBytes = 1 << 20
)

var (
	idField      = []byte("id:")
	errEventSize = errors.New("an event of the stream is too large")
)

// eventReader takes a text/event-stream apart into whole events, without
// reading what they say.
type eventReader struct {
	r     *bufio.Reader
	event []byte
}

func newEventReader(r io.Reader) *eventReader {
	return &eventReader{r: bufio.NewReaderSize(r, eventBufferBytes)}
}

// next returns the bytes of the next whole event with the blank line that ends
// it, valid until the next call, and its id, empty when it has none. The error
// is io.EOF after the last whole event, errTruncated within one.
func (e *eventReader) next() (event, id []byte, err error) {
	e.event = e.event[:0]
	idFrom, idTo := 0, 0
	for {
		line, err := e.r.ReadSlice('\n')
		start := len(e.event)
		e.event = append(e.event, line...)
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
			if len(e.event) > maxEventBytes {
				return nil, nil, errEventSize
			}
			continue
		case errors.Is(err, io.EOF) && len(e.event) == 0:
			return nil, nil, io.EOF
		case errors.Is(err, io.EOF):
			return nil, nil, errTruncated
		case err != nil:
			return nil, nil, err
		}
		text := bytes.TrimRight(line, "\r\n")
		if len(text) == 0 && len(e.event) > len(line) {
			return e.event, e.event[idFrom:idTo], nil
		}
		if bytes.HasPrefix(text, idField) {
			value := bytes.TrimPrefix(text[len(idField):], []byte(" "))
			idTo = start + len(text)
			idFrom = idTo - len(value)
		}
		if len(e.event) > maxEventBytes {
			return nil, nil, errEventSize
		}
	}
}

// more reports whether bytes that have arrived are still to be read.
func (e *eventReader) more() bool { return e.r.Buffered() > 0 }

// repeated reports whether an event was given to the caller before: numeric
// ids only grow.
func repeated(id, last string) bool {
	if last == "" || id == "" {
		return false
	}
	n, errN := strconv.ParseUint(id, 10, 64)
	m, errM := strconv.ParseUint(last, 10, 64)
	return errN == nil && errM == nil && n <= m
}
