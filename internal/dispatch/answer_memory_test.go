package dispatch

import (
	"context"
	"io"
	"strings"
	"testing"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"
)

// openUncanceled returns a buffer whose drop cancels nothing.
func (m *answerMemory) openUncanceled() *answerBuffer { return m.open(nil) }

// endlessReader returns bytes without end.
type endlessReader struct{ read int }

func (r *endlessReader) Read(p []byte) (int, error) {
	r.read += len(p)
	return len(p), nil
}

func TestAnswerMemoryDropsTheLargest(t *testing.T) {
	m := newAnswerMemory(10 * blockBytes)
	ctx, cancel := context.WithCancelCause(t.Context())
	large, small := m.open(cancel), m.open(nil)
	defer small.Close()
	assert.NilError(t, large.reserve(6*blockBytes))
	large.append(make([]byte, 6*blockBytes))
	assert.NilError(t, small.reserve(4*blockBytes))
	assert.NilError(t, context.Cause(ctx))
	assert.NilError(t, small.reserve(1)) // the other one is larger
	assert.ErrorIs(t, context.Cause(ctx), errAnswerMemory)
	// Its bytes are given up here, before what fills it hears of that.
	assert.Equal(t, len(large.blocks), 0)
	large.append(make([]byte, 1))
	assert.Equal(t, len(large.blocks), 0)
	assert.ErrorIs(t, large.reserve(1), errAnswerMemory)
	_, ok := large.take()
	assert.Assert(t, !ok)
	large.Close()
	assert.Equal(t, m.used, 4*blockBytes+1)
	assert.ErrorIs(t, small.reserve(6*blockBytes), errAnswerMemory, "it exceeds the limit alone")
	assert.Equal(t, m.used, 0)
	assert.Equal(t, len(m.buffers), 0)
}

func TestBufferedAnswer(t *testing.T) {
	for _, size := range []int{0, 1, firstBlockBytes, firstBlockBytes + 1, firstBlockBytes + 2*blockBytes, 10 * blockBytes} {
		m := newAnswerMemory(20 * blockBytes)
		b := m.open(nil)
		text := strings.Repeat("x", size)
		assert.NilError(t, b.read(strings.NewReader(text), size))
		blocks, ok := b.take()
		assert.Assert(t, ok)
		got := ""
		for _, block := range blocks {
			got += string(block)
		}
		assert.Equal(t, got, text)
		assert.Equal(t, m.used, 0)
		if size > 0 {
			b = m.open(nil)
			assert.ErrorIs(t, b.read(strings.NewReader(text), size-1), errAnswerSize)
			b.Close()
		}
		assert.Equal(t, m.used, 0)
	}
}

// An answer that broke off within its length must not look complete.
func TestBufferedAnswerThatBrokeOff(t *testing.T) {
	for _, size := range []int{0, 5, firstBlockBytes, firstBlockBytes + 5} {
		b := newAnswerMemory(0).open(nil)
		err := b.read(io.MultiReader(strings.NewReader(strings.Repeat("x", size)), brokenReader{}), 1<<20)
		assert.ErrorIs(t, err, io.ErrUnexpectedEOF)
		b.Close()
	}
}

type brokenReader struct{}

func (brokenReader) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }

// Answers without end each took up to the bound of one answer.
func TestAnswersWithoutEndTookTheMemory(t *testing.T) {
	const limit = 40 * blockBytes
	m := newAnswerMemory(limit)
	sound := m.open(nil)
	assert.NilError(t, sound.read(strings.NewReader(strings.Repeat("x", 3*blockBytes)), maxAnswerBytes))
	results := make(chan error, 30)
	for range cap(results) {
		go func() {
			b := m.open(nil)
			defer b.Close()
			results <- b.read(&endlessReader{}, maxAnswerBytes)
		}()
	}
	for range cap(results) {
		err := <-results
		assert.Assert(t, errors.Is(err, errAnswerMemory) || errors.Is(err, errAnswerSize), "%v", err)
	}
	_, ok := sound.take()
	assert.Assert(t, ok, "a small complete answer was dropped for them")
	assert.Equal(t, m.used, 0)
}
