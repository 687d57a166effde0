package dispatch

import (
	"io"
	"time"

	"github.com/pkg/errors"

	"carawayproxy.example/caraway/internal/backend"
)

// read takes the chunks of one attempt to the caller.
func (r *generation) read(stream backend.Stream, t target, stall *time.Timer) (backend.End, error) {
	var pace pace
	r.batch.source(stream)
	defer r.batch.source(nil)
	for {
		chunk, err := r.receive(stream, &pace, stall)
		if err != nil {
			return backend.End{}, r.cut(err)
		}
		if err := r.deliver(chunk); err != nil {
			return backend.End{}, r.cut(err)
		}
		if chunk.End != nil {
			return *chunk.End, r.flush()
		}
		if pace.slow(r.d.cfg.StragglerGap) && r.leaveStraggler(t) {
			return backend.End{}, r.cut(errStraggler)
		}
	}
}

// receive returns the next chunk of an attempt. Only a chunk that has not
// arrived yet is waited for and timed.
func (r *generation) receive(stream backend.Stream, pace *pace, stall *time.Timer) (backend.Chunk, error) {
	if r.batch.more() {
		chunk, err := next(stream)
		pace.add(0, len(chunk.Tokens))
		return chunk, err
	}
	if pace.chunks > 0 {
		stall.Reset(r.d.cfg.StallTimeout)
	}
	asked := time.Now()
	chunk, err := next(stream)
	if err == nil {
		stall.Stop()
	}
	pace.add(time.Since(asked), len(chunk.Tokens))
	return chunk, err
}

// next returns the stream's next chunk. A stream that is over before its end
// is truncated.
func next(stream backend.Stream) (backend.Chunk, error) {
	chunk, err := stream.Next()
	if errors.Is(err, io.EOF) {
		return backend.Chunk{}, errTruncated
	}
	return chunk, err
}

// cut gives the caller what was taken before an attempt failed and returns
// the cause.
func (r *generation) cut(cause error) error {
	if errors.Is(cause, errCallerGone) {
		return cause
	}
	if err := r.flush(); err != nil {
		return err
	}
	return cause
}

// deliver checks a chunk and takes its new tokens, which go to the caller with
// those of the chunks that have arrived behind it.
func (r *generation) deliver(chunk backend.Chunk) error {
	tokens, err := r.cursor.accept(chunk)
	if err != nil {
		return err
	}
	r.cursor.given(chunk, tokens)
	r.batch.add(tokens)
	if r.batch.more() {
		return nil
	}
	return r.flush()
}

// flush gives the caller the tokens that were taken.
func (r *generation) flush() error {
	tokens := r.batch.take()
	if len(tokens) == 0 {
		return nil
	}
	if r.first.IsZero() {
		r.first = time.Now()
		r.d.metrics.firstToken.Update(r.first.Sub(r.start).Milliseconds())
	}
	r.d.metrics.tokens.Inc(int64(len(tokens)))
	if err := r.sink(tokens); err != nil {
		return errors.Wrap(errCallerGone, err.Error())
	}
	return nil
}
