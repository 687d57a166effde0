package dispatch

import "carawayproxy.example/caraway/internal/backend"

// maxBatchTokens bounds how many tokens go to the caller together.
const maxBatchTokens = 64

// readiness is a stream that can tell whether its next chunk has arrived.
type readiness interface {
	// Ready reports whether Next returns without waiting. A false answer is
	// always allowed.
	Ready() bool
}

// batch joins the tokens of chunks that have arrived together. It holds none
// while its stream is waited for.
type batch struct {
	stream readiness // nil when it can't tell
	tokens []backend.Token
}

// source sets the stream that the next chunks come from.
func (b *batch) source(s backend.Stream) { b.stream, _ = s.(readiness) }

// more reports whether the next chunk has arrived and there is room for it.
func (b *batch) more() bool {
	return b.stream != nil && len(b.tokens) < maxBatchTokens && b.stream.Ready()
}

func (b *batch) add(tokens []backend.Token) { b.tokens = append(b.tokens, tokens...) }

// take returns the joined tokens, which are valid until the next add.
func (b *batch) take() []backend.Token {
	taken := b.tokens
	b.tokens = b.tokens[:0]
	return taken
}
