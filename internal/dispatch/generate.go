package dispatch

import (
	"context"
	"io"
	"time"

	"github.com/pkg/errors"

	"carawayproxy.example/caraway/internal/admission"
	"carawayproxy.example/caraway/internal/backend"
	"carawayproxy.example/caraway/internal/fleet"
	"carawayproxy.example/caraway/internal/routing"
	"carawayproxy.example/caraway/internal/service"
	"carawayproxy.example/caraway/internal/suspect"
)

const (
	// bytesPerToken is a rough size of a prompt's token.
	bytesPerToken = 4
	// stragglerTokens is how many tokens are seen before a group can be
	// called a straggler.
	stragglerTokens = 16
	// gapWeight is the weight of a new gap in the mean.
	gapWeight = 0.1
)

// errCallerGone wraps an error of the sink.
var errCallerGone = errors.New("the caller went away")

// Generate runs a generation and gives its tokens to sink, each once and in
// order. It returns the end of a whole answer, or the failure with its true
// run state.
func (d *Dispatcher) Generate(ctx context.Context, g Generation, sink Sink) (backend.End, *fleet.Failure) {
	f := d.enter()
	if f == nil {
		defer d.leave()
		var end backend.End
		end, f = d.generate(ctx, g, sink)
		if f == nil {
			return end, nil
		}
	}
	d.refused(g.ID, g.Service, g.Workspace, f)
	return backend.End{}, f
}

func (d *Dispatcher) generate(ctx context.Context, g Generation, sink Sink) (backend.End, *fleet.Failure) {
	cat, f := d.cfg.Knowledge.Catalog()
	if f != nil {
		return backend.End{}, f
	}
	spec, ws, f := findService(cat, g.Service, g.Workspace, fleet.KindEngine)
	if f != nil {
		return backend.End{}, f
	}
	if f := resolveGeneration(spec, &g); f != nil {
		return backend.End{}, f
	}
	ctx, cancel, f := d.deadline(ctx, spec.Limits)
	if f != nil {
		return backend.End{}, f
	}
	defer cancel()
	run, f := d.prepare(spec, g, sink)
	if f != nil {
		return backend.End{}, f
	}
	return run.admitted(ctx, ws)
}

// generation is one generation on its way.
type generation struct {
	attempts
	req      Generation
	sink     Sink
	cursor   cursor
	batch    batch
	start    time.Time
	first    time.Time // of the first token
	moved    bool      // away from a straggler, once
	priority uint32    // at the engine
}

func (d *Dispatcher) prepare(spec *service.Spec, g Generation, sink Sink) (*generation, *fleet.Failure) {
	print := suspect.FingerprintOf(g.Service, g.Version, g.Prompt)
	alone, f := d.standing(g.ID, g.Service, print)
	if f != nil {
		return nil, f
	}
	d.budgetOf(spec).Request()
	r := &generation{req: g, sink: sink, start: time.Now()}
	r.cursor = cursor{request: g.ID, version: g.Version, limit: g.MaxTokens}
	r.attempts = attempts{d: d, id: g.ID, spec: spec, print: print}
	r.route = routing.Request{
		Service:      g.Service,
		Version:      g.Version,
		Adapter:      g.Adapter,
		Workspace:    g.Workspace,
		Zone:         d.cfg.Zone,
		PromptTokens: uint32(len(g.Prompt)/bytesPerToken + 1),
		MaxTokens:    g.MaxTokens,
		Prefixes:     routing.Prefixes(g.Prompt),
		Alone:        alone,
	}
	return r, nil
}

// admitted routes, asks admission and runs the attempts.
func (r *generation) admitted(ctx context.Context, ws service.WorkspaceSpec) (backend.End, *fleet.Failure) {
	dec := r.routeNow()
	if dec.Chosen == nil {
		return backend.End{}, r.noGroup()
	}
	ticket, f := r.d.admit(ctx, r.spec, ws, dec.Decision)
	if f != nil {
		return backend.End{}, f
	}
	r.next = &dec
	r.priority = enginePriority(r.req.Priority, ticket.Borrowed())
	end, f := r.run(ctx)
	ticket.Release(time.Now(), r.result(f != nil))
	return end, f
}

// enginePriority is the priority of a request at the engine, where larger
// values go first: zero for one that uses places beyond its workspace's fair
// share, else one more than the caller asked for. So a workspace that floods a
// service does not delay the others, whatever priority its callers name.
func enginePriority(asked uint32, borrowed bool) uint32 {
	if borrowed {
		return 0
	}
	return asked + 1
}

func (r *generation) result(failed bool) admission.Result {
	now := time.Now()
	res := admission.Result{Total: now.Sub(r.start), Failed: failed}
	if !r.first.IsZero() {
		res.FirstToken = r.first.Sub(r.start)
	}
	if !failed {
		r.d.runTimes.add(r.spec.Service, res.Total-res.FirstToken)
	}
	return res
}

// run makes attempts until one brings the rest of the answer.
func (r *generation) run(ctx context.Context) (backend.End, *fleet.Failure) {
	for {
		t, f := r.choose(ctx)
		if f != nil {
			return backend.End{}, f
		}
		if r.cursor.next > 0 {
			r.d.metrics.resumed.Inc(1)
		}
		end, cause := r.attempt(ctx, t)
		if cause == nil {
			return end, nil
		}
		if errors.Is(cause, errCallerGone) {
			r.mayHaveRun = true
			return backend.End{}, r.fail(fleet.ReasonCanceled, 0, cause.Error())
		}
		if f := r.again(ctx, t, cause); f != nil {
			return backend.End{}, f
		}
	}
}

// attempt sends one attempt and takes its tokens. The cause is nil only for a
// whole answer.
func (r *generation) attempt(ctx context.Context, t target) (end backend.End, cause error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	r.begin(t)
	defer func() {
		r.end(t, cause)
		if cause != nil && !unsent(cause) {
			r.d.later(func() { r.d.cancelAttempt(t) })
		}
	}()
	go lapse(ctx, cancel, r.d.cfg.Router.Lapsed(t.Group, t.Epoch))
	stall := time.AfterFunc(r.firstBound(t), func() { cancel(errStalled) })
	defer stall.Stop()

	r.cursor.attempt = t.attempt
	stream, err := r.d.cfg.Engines.Run(ctx, t.Address, r.message(t))
	if err != nil {
		return backend.End{}, givenUp(ctx, err)
	}
	defer stream.Close()
	end, cause = r.read(stream, t, stall)
	return end, givenUp(ctx, cause)
}

// firstBound is the longest wait for an attempt's first token.
func (r *generation) firstBound(t target) time.Duration {
	bound := r.d.cfg.StallTimeout
	if t.TokensPerSecond <= 0 {
		return bound
	}
	queued := float64(t.PendingTokens) / t.TokensPerSecond
	return max(bound, 2*time.Duration(queued*float64(time.Second)))
}

func (r *generation) message(t target) backend.Attempt {
	return backend.Attempt{
		Request:    r.id,
		ID:         t.attempt,
		Group:      t.Group,
		Epoch:      t.Epoch,
		Service:    r.req.Service,
		Version:    r.req.Version,
		Adapter:    r.req.Adapter,
		Prompt:     r.req.Prompt,
		MaxTokens:  r.req.MaxTokens,
		Priority:   r.priority,
		ResumeFrom: r.cursor.next,
	}
}

// lapse gives an attempt up when its group can no longer be trusted.
func lapse(ctx context.Context, cancel context.CancelCauseFunc, lapsed <-chan struct{}) {
	select {
	case <-lapsed:
		cancel(errLapsed)
	case <-ctx.Done():
	}
}

// givenUp returns why this daemon gave an attempt up, if it did, in place of
// the error that this brought about.
func givenUp(ctx context.Context, err error) error {
	if err == nil || unsent(err) {
		return err
	}
	cause := context.Cause(ctx)
	if errors.Is(cause, errLapsed) || errors.Is(cause, errStalled) {
		return cause
	}
	return err
}

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

// leaveStraggler reports whether there is another group to go to and the
// retry budget lets the request go there, and keeps that decision. A request
// moves once.
func (r *generation) leaveStraggler(t target) bool {
	if r.moved || r.made >= orDefault(r.spec.Limits.MaxAttempts, defaultMaxAttempts) {
		return false
	}
	r.moved = true
	r.avoid(t.Candidate)
	dec := r.routeNow()
	if dec.Chosen == nil || !r.pay() {
		return false
	}
	r.next = &dec
	return true
}

// pace is the mean time between an attempt's tokens.
type pace struct {
	chunks int
	tokens int
	gap    float64 // nanoseconds
}

func (p *pace) add(waited time.Duration, tokens int) {
	p.chunks++
	if tokens == 0 {
		return
	}
	if p.tokens > 0 {
		p.gap += gapWeight * (float64(waited)/float64(tokens) - p.gap)
	}
	p.tokens += tokens
}

func (p *pace) slow(bound time.Duration) bool {
	return p.tokens >= stragglerTokens && p.gap > float64(bound)
}

// cancelAttempt tells an engine that nobody wants an attempt's tokens any more.
func (d *Dispatcher) cancelAttempt(t target) {
	ctx, cancel := context.WithTimeout(d.background, d.cfg.CancelTimeout)
	defer cancel()
	d.metrics.cancels.Inc(1)
	_ = d.cfg.Engines.Cancel(ctx, t.Address, t.attempt)
}
