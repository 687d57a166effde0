package dispatch

import (
	"context"
	"io"
	"sync"

	"github.com/pkg/errors"
)

const (
	// DefaultAnswerMemory is Config.AnswerMemory if that is not set.
	DefaultAnswerMemory = 32 << 20
	// firstBlockBytes is the size of the first block of a buffered answer, which holds
	// most answers whole, and blockBytes that of the others.
	firstBlockBytes = 4 << 10
	blockBytes      = 32 << 10
)

// errAnswerMemory is the cause of an attempt that was ended because its answer took the
// most memory of all, when that ran out.
var errAnswerMemory = errors.New("the answer is too large to be kept in memory beside the others")

// answerMemory bounds the bytes of all answers, and parts of answers, that are kept in
// memory. When they exceed the limit, the largest one is dropped, and the attempt that
// fills it ends: a server that sends bytes without end takes nothing from the others. It is
// safe for concurrent use.
type answerMemory struct {
	limit int

	mu      sync.Mutex
	used    int
	buffers map[*answerBuffer]struct{}
}

func newAnswerMemory(limit int) *answerMemory {
	if limit <= 0 {
		limit = DefaultAnswerMemory
	}
	return &answerMemory{limit: limit, buffers: map[*answerBuffer]struct{}{}}
}

// open returns an empty buffer. Cancel ends what fills it, and may be nil. The buffer has
// to be closed.
func (m *answerMemory) open(cancel context.CancelCauseFunc) *answerBuffer {
	b := &answerBuffer{memory: m, cancel: cancel}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.buffers[b] = struct{}{}
	return b
}

// answerBuffer is a part of the memory. Its blocks are filled by one goroutine.
type answerBuffer struct {
	memory   *answerMemory
	cancel   context.CancelCauseFunc
	reserved int // by reserveUpTo

	// The memory's mu guards the fields below.
	size    int // bytes that count
	blocks  [][]byte
	dropped bool
}

// reserve makes n more bytes count. It returns errAnswerMemory if the buffer was dropped.
func (b *answerBuffer) reserve(n int) error {
	m := b.memory
	m.mu.Lock()
	defer m.mu.Unlock()
	if b.dropped {
		return errAnswerMemory
	}
	b.size += n
	m.used += n
	for m.used > m.limit {
		m.dropLargest()
	}
	if b.dropped {
		return errAnswerMemory
	}
	return nil
}

// reserveUpTo makes n bytes count in all.
func (b *answerBuffer) reserveUpTo(n int) error {
	if more := n - b.reserved; more > 0 {
		b.reserved = n
		return b.reserve(more)
	}
	return nil
}

// dropLargest drops the largest buffer. The caller holds mu.
func (m *answerMemory) dropLargest() {
	var largest *answerBuffer
	for b := range m.buffers {
		if largest == nil || b.size > largest.size {
			largest = b
		}
	}
	largest.drop()
	if largest.cancel != nil {
		largest.cancel(errAnswerMemory)
	}
}

// drop gives up the buffer's bytes, for good. The caller holds mu.
func (b *answerBuffer) drop() {
	b.memory.used -= b.size
	b.size, b.blocks, b.dropped = 0, nil, true
	delete(b.memory.buffers, b)
}

// Close gives up the buffer's bytes.
func (b *answerBuffer) Close() {
	b.memory.mu.Lock()
	defer b.memory.mu.Unlock()
	if !b.dropped {
		b.drop()
	}
}

// take returns the blocks of the buffer, which it then gives up; false if it was dropped.
func (b *answerBuffer) take() ([][]byte, bool) {
	b.memory.mu.Lock()
	defer b.memory.mu.Unlock()
	blocks, ok := b.blocks, !b.dropped
	if ok {
		b.drop()
	}
	return blocks, ok
}

// read fills the buffer with all of r. It returns errAnswerSize if that has more than limit
// bytes.
func (b *answerBuffer) read(r io.Reader, limit int) error {
	size := firstBlockBytes
	for total := 0; ; size = blockBytes {
		if err := b.reserve(size); err != nil {
			return err
		}
		block, err := readBlock(r, size)
		if total += len(block); total > limit {
			return errors.Wrapf(errAnswerSize, "more than %d bytes", limit)
		}
		b.append(block)
		switch {
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return err
		}
	}
}

// readBlock reads a block of a size, or up to an error. The error is io.EOF at the end of
// r only.
func readBlock(r io.Reader, size int) ([]byte, error) {
	block := make([]byte, size)
	for n := 0; ; {
		k, err := r.Read(block[n:])
		n += k
		if err != nil || n == size {
			return block[:n], err
		}
	}
}

func (b *answerBuffer) append(block []byte) {
	b.memory.mu.Lock()
	defer b.memory.mu.Unlock()
	if !b.dropped {
		b.blocks = append(b.blocks, block)
	}
}

// errAnswerSize is the cause of an attempt whose answer is larger than any may be.
var errAnswerSize = errors.New("the answer is too large")
