package dispatch

import "carawayproxy.example/caraway/internal/backend"

// maxBatchTokens bounds the number of tokens passed to the caller at once.
const maxBatchTokens = 64

// readyStream is a stream that can report whether its next chunk has arrived.
type readyStream interface {
	// Ready reports whether Next returns without blocking. It may return
	// false even if a chunk is available.
	Ready() bool
}

// batch joins the tokens of chunks that have arrived together. It holds no
// tokens while the stream blocks.
type batch struct {
	stream readyStream // nil if the stream does not implement readyStream
	tokens []backend.Token
}

// setStream sets the stream from which the next chunks are read.
func (b *batch) setStream(s backend.Stream) { b.stream, _ = s.(readyStream) }

// hasMore reports whether the next chunk has arrived and the batch has room
// for it.
func (b *batch) hasMore() bool {
	return b.stream != nil && len(b.tokens) < maxBatchTokens && b.stream.Ready()
}

func (b *batch) add(tokens []backend.Token) { b.tokens = append(b.tokens, tokens...) }

// take returns and clears the batch. The result is valid until the next add.
func (b *batch) take() []backend.Token {
	taken := b.tokens
	b.tokens = b.tokens[:0]
	return taken
}
