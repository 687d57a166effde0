package dispatch

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"carawayproxy.example/caraway/internal/admission"
	"carawayproxy.example/caraway/internal/backend"
	"carawayproxy.example/caraway/internal/fleet"
	"carawayproxy.example/caraway/internal/routing"
	"carawayproxy.example/caraway/internal/service"
	"carawayproxy.example/caraway/internal/suspect"
)

// bytesPerToken is a rough size of a prompt's token.
const bytesPerToken = 4

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
	if errors.Is(cause, errLapsed) || errors.Is(cause, errStalled) || errors.Is(cause, errSilent) {
		return cause
	}
	return err
}

// cancelAttempt tells an engine that nobody wants an attempt's tokens any more.
func (d *Dispatcher) cancelAttempt(t target) {
	ctx, cancel := context.WithTimeout(d.background, d.cfg.CancelTimeout)
	defer cancel()
	d.metrics.cancels.Inc(1)
	_ = d.cfg.Engines.Cancel(ctx, t.Address, t.attempt)
}
