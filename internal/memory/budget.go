// Package memory bounds the bytes that bodies of requests and answers keep in memory. A
// Budget is shared by all bodies of a kind; when they exceed it, its policy chooses which
// body is given up, so that a sender without end takes nothing from the others.
package memory

import (
	"cmp"
	"context"
	"io"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
)

const (
	// FirstBlockBytes is the size of the first block of a buffer, which holds most
	// bodies whole, and BlockBytes that of the others.
	FirstBlockBytes = 4 << 10
	BlockBytes      = 32 << 10
)

// Errors of a buffer.
var (
	// ErrShort is the error of a buffer that was given up because memory is short.
	ErrShort = errors.New("the body is too large to be kept in memory beside the others")
	// ErrSize is the error of a body that is larger than any may be.
	ErrSize = errors.New("the body is too large")
)

// Config sets up a Budget.
type Config struct {
	// Limit is the number of bytes of all buffers together.
	Limit int
	// Policy chooses the buffer that is given up when they exceed the limit.
	Policy Policy
	// Buffers of more than SmallBytes leave ForSmall bytes of the limit to the others.
	SmallBytes, ForSmall int
}

// Holding is what a policy knows of a buffer.
type Holding struct {
	Bytes int
	// Since is when the buffer was opened or, for one whose body is complete, when that was
	// so or it was last kept.
	Since time.Time
	// IsKept is set for a buffer whose body is complete.
	IsKept bool
	// IsGrowing is set for the buffer that needs room.
	IsGrowing bool
}

// Policy returns the rank of a buffer among those that may be given up, of which the one
// with the highest rank is, and false for one that may not. Needed is the size of the
// buffer that needs room. If those that rank before it do not make enough room, that one is
// given up, and no other.
type Policy func(h Holding, needed int, now time.Time) (rank float64, ok bool)

// LargestOrSlowest returns a policy that gives up the largest buffer, which may be the one
// that grows. One that is kept counts by how long it has been, in times of the grace, and
// not before the grace is over: readers that make progress end sooner.
func LargestOrSlowest(grace time.Duration) Policy {
	return func(h Holding, _ int, now time.Time) (float64, bool) {
		if !h.IsKept {
			return float64(h.Bytes), true
		}
		kept := now.Sub(h.Since)
		return float64(h.Bytes) * float64(kept) / float64(grace), kept >= grace
	}
}

// HeldLongest returns a policy that gives up an incomplete body in favor of another one
// if it has held memory, in bytes times time, for as long as the other one would in the
// given grace: of bodies of one size, those that take longer than the grace, and for a small
// one the large ones sooner. The one that has held most goes first.
func HeldLongest(grace time.Duration) Policy {
	return func(h Holding, needed int, now time.Time) (float64, bool) {
		held := float64(h.Bytes) * float64(now.Sub(h.Since))
		return held, !h.IsKept && !h.IsGrowing && held >= float64(needed)*float64(grace)
	}
}

// Budget is safe for concurrent use.
type Budget struct {
	cfg Config

	mu      sync.Mutex
	used    int
	dropped uint64
	buffers map[*Buffer]struct{}
}

// NewBudget returns a budget without buffers.
func NewBudget(cfg Config) *Budget {
	return &Budget{cfg: cfg, buffers: map[*Buffer]struct{}{}}
}

// Limit returns the limit in bytes.
func (m *Budget) Limit() int { return m.cfg.Limit }

// Used returns the number of bytes that count.
func (m *Budget) Used() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.used
}

// Dropped returns the number of buffers that were given up because memory was short.
func (m *Budget) Dropped() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.dropped
}

// Open returns an empty buffer. Cancel ends what fills it, must not block, and may be nil.
// The buffer has to be closed.
func (m *Budget) Open(cancel context.CancelCauseFunc) *Buffer {
	b := &Buffer{memory: m, cancel: cancel, since: time.Now()}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.buffers[b] = struct{}{}
	return b
}

// Buffer is a part of a budget. Its blocks are filled by one goroutine.
type Buffer struct {
	memory   *Budget
	reserved int // by ReserveUpTo

	// The budget's mu guards the fields below.
	since   time.Time
	cancel  context.CancelCauseFunc
	size    int // bytes that count
	blocks  [][]byte
	kept    bool
	dropped bool
}

// Reserve makes n more bytes count. It returns ErrShort if the buffer was given up.
func (b *Buffer) Reserve(n int) error {
	m := b.memory
	m.mu.Lock()
	defer m.mu.Unlock()
	if b.dropped {
		return ErrShort
	}
	b.size += n
	m.used += n
	m.makeRoom(b)
	if b.dropped {
		return ErrShort
	}
	return nil
}

// limitFor returns the bytes up to which a buffer of a size may fill the budget.
func (m *Budget) limitFor(size int) int {
	if size > m.cfg.SmallBytes {
		return m.cfg.Limit - m.cfg.ForSmall
	}
	return m.cfg.Limit
}

// ReserveUpTo makes n bytes count in all.
func (b *Buffer) ReserveUpTo(n int) error {
	if more := n - b.reserved; more > 0 {
		b.reserved = n
		return b.Reserve(more)
	}
	return nil
}

// makeRoom gives up buffers in the order of the policy until there is room for a growing
// one, or only that one if they do not make enough. The caller holds mu.
func (m *Budget) makeRoom(growing *Buffer) {
	excess := m.used - m.limitFor(growing.size)
	if excess <= 0 {
		return
	}
	now := time.Now()
	type ranked struct {
		buffer *Buffer
		rank   float64
	}
	var others []ranked
	for b := range m.buffers {
		h := Holding{Bytes: b.size, Since: b.since, IsKept: b.kept, IsGrowing: b == growing}
		if rank, ok := m.cfg.Policy(h, growing.size, now); ok && rank > 0 {
			others = append(others, ranked{b, rank})
		}
	}
	slices.SortFunc(others, func(a, b ranked) int { return cmp.Compare(b.rank, a.rank) })
	var chosen []*Buffer
	for _, o := range others {
		if excess <= 0 || o.buffer == growing {
			break
		}
		chosen = append(chosen, o.buffer)
		excess -= o.buffer.size
	}
	if excess > 0 {
		chosen = []*Buffer{growing}
	}
	for _, b := range chosen {
		b.drop()
		m.dropped++
		if b.cancel != nil {
			b.cancel(ErrShort)
		}
	}
}

// drop gives up the buffer's bytes, for good. The caller holds mu.
func (b *Buffer) drop() {
	b.memory.used -= b.size
	b.size, b.blocks, b.dropped = 0, nil, true
	delete(b.memory.buffers, b)
}

// Close gives up the buffer's bytes.
func (b *Buffer) Close() {
	b.memory.mu.Lock()
	defer b.memory.mu.Unlock()
	if !b.dropped {
		b.drop()
	}
}

// Keep returns the blocks of the buffer, which count until it is closed; false if it was
// given up. The buffer has none of them any more, so that its user may release them sooner.
// From now on cancel ends what uses them. It must not block, and may be nil.
func (b *Buffer) Keep(cancel context.CancelCauseFunc) ([][]byte, bool) {
	b.memory.mu.Lock()
	defer b.memory.mu.Unlock()
	b.kept, b.since, b.cancel = true, time.Now(), cancel
	blocks := b.blocks
	b.blocks = nil
	return blocks, !b.dropped
}

// complete records that the body is complete, so that it does not give way to ones that
// are not.
func (b *Buffer) complete() {
	b.memory.mu.Lock()
	defer b.memory.mu.Unlock()
	b.kept, b.since = true, time.Now()
}

// Read fills the buffer with all of r. It returns ErrSize if that has more than limit
// bytes.
func (b *Buffer) Read(r io.Reader, limit int) error {
	size := FirstBlockBytes
	for total := 0; ; size = BlockBytes {
		if err := b.Reserve(size); err != nil {
			return err
		}
		block, err := readBlock(r, size)
		if total += len(block); total > limit {
			return errors.Wrapf(ErrSize, "more than %d bytes", limit)
		}
		b.append(block)
		switch {
		case errors.Is(err, io.EOF):
			b.complete()
			return nil
		case err != nil:
			return err
		}
	}
}

// ReadBody fills the buffer with all of r, of an announced length or -1, as one block. It
// returns ErrSize if that has more than limit bytes, and ErrShort if it was given up.
func (b *Buffer) ReadBody(r io.Reader, announced int64, limit int) error {
	if announced > int64(limit) {
		return errors.Wrapf(ErrSize, "%d bytes, more than %d", announced, limit)
	}
	if announced >= 0 {
		if err := b.Reserve(int(announced)); err != nil {
			return err
		}
		block := make([]byte, announced)
		if _, err := io.ReadFull(r, block); err != nil {
			return b.orShort(err)
		}
		b.append(block)
		b.complete()
		return nil
	}
	if err := b.Read(r, limit); err != nil {
		return b.orShort(err)
	}
	return b.join()
}

// orShort returns ErrShort in place of the error of a read that ended because the buffer
// was given up.
func (b *Buffer) orShort(err error) error {
	b.memory.mu.Lock()
	defer b.memory.mu.Unlock()
	if b.dropped {
		return ErrShort
	}
	return err
}

// join makes one block of all. The copy counts beside the blocks until it is made.
func (b *Buffer) join() error {
	b.memory.mu.Lock()
	blocks, counted := b.blocks, b.size
	b.memory.mu.Unlock()
	if len(blocks) < 2 {
		return nil
	}
	total := 0
	for _, block := range blocks {
		total += len(block)
	}
	if err := b.Reserve(total); err != nil {
		return err
	}
	whole := make([]byte, 0, total)
	for _, block := range blocks {
		whole = append(whole, block...)
	}
	b.memory.mu.Lock()
	defer b.memory.mu.Unlock()
	if b.dropped {
		return ErrShort
	}
	b.blocks = [][]byte{whole}
	b.size -= counted
	b.memory.used -= counted
	return nil
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

func (b *Buffer) append(block []byte) {
	b.memory.mu.Lock()
	defer b.memory.mu.Unlock()
	if !b.dropped {
		b.blocks = append(b.blocks, block)
	}
}
