package dispatch

import (
	"io"
	"time"

	"github.com/pkg/errors"

	"carawayproxy.example/caraway/internal/backend"
)

// readStream delivers the chunks of one attempt to the caller.
func (r *generation) readStream(stream backend.Stream, t target, stall *time.Timer) (backend.End, error) {
	var pace tokenPace
	r.batch.setStream(stream)
	defer r.batch.setStream(nil)
	for {
		chunk, err := r.receive(stream, &pace, stall)
		if err != nil {
			return backend.End{}, r.flushBeforeFailure(err)
		}
		if err := r.deliver(chunk); err != nil {
			return backend.End{}, r.flushBeforeFailure(err)
		}
		if chunk.End != nil {
			return *chunk.End, r.flush()
		}
		if pace.isSlow(r.d.cfg.StragglerGap) && r.prepareStragglerMove(t) {
			return backend.End{}, r.flushBeforeFailure(errStraggler)
		}
	}
}

// receive returns the next chunk of an attempt. Only chunks that have not
// arrived yet count towards the stall timeout and the measured token gap.
func (r *generation) receive(stream backend.Stream, pace *tokenPace, stall *time.Timer) (backend.Chunk, error) {
	if r.batch.hasMore() {
		chunk, err := nextChunk(stream)
		pace.add(0, len(chunk.Tokens))
		return chunk, err
	}
	if pace.chunks > 0 {
		stall.Reset(r.d.cfg.StallTimeout)
	}
	start := time.Now()
	chunk, err := nextChunk(stream)
	if err == nil {
		stall.Stop()
		r.chunks.Add(1)
	}
	pace.add(time.Since(start), len(chunk.Tokens))
	return chunk, err
}

// nextChunk returns the stream's next chunk. It returns errTruncated if the
// stream is closed before its end message.
func nextChunk(stream backend.Stream) (backend.Chunk, error) {
	chunk, err := stream.Next()
	if errors.Is(err, io.EOF) {
		return backend.Chunk{}, errTruncated
	}
	return chunk, err
}

// flushBeforeFailure delivers the tokens received before an attempt failed and
// returns the cause.
func (r *generation) flushBeforeFailure(cause error) error {
	if errors.Is(cause, errCallerGone) {
		return cause
	}
	if err := r.flush(); err != nil {
		return err
	}
	return cause
}

// deliver validates a chunk and adds its new tokens to the batch. It flushes
// the batch unless a further chunk has already arrived.
func (r *generation) deliver(chunk backend.Chunk) error {
	tokens, err := r.cursor.accept(chunk)
	if err != nil {
		return err
	}
	r.cursor.advance(chunk, tokens)
	r.batch.add(tokens)
	if r.batch.hasMore() {
		return nil
	}
	return r.flush()
}

// flush passes the batched tokens to the caller.
func (r *generation) flush() error {
	tokens := r.batch.take()
	if len(tokens) == 0 {
		return nil
	}
	if r.firstTokenAt.IsZero() {
		r.firstTokenAt = time.Now()
		r.d.metrics.firstToken.Update(r.firstTokenAt.Sub(r.start).Milliseconds())
	}
	r.d.metrics.tokens.Inc(int64(len(tokens)))
	if err := r.sink(tokens); err != nil {
		return errors.Wrap(errCallerGone, err.Error())
	}
	return nil
}
