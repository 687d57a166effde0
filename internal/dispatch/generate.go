package dispatch

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"carawayproxy.example/caraway/internal/admission"
	"carawayproxy.example/caraway/internal/backend"
	"carawayproxy.example/caraway/internal/fleet"
	"carawayproxy.example/caraway/internal/routing"
	"carawayproxy.example/caraway/internal/service"
	"carawayproxy.example/caraway/internal/suspect"
)

// bytesPerToken is an estimate of the prompt bytes per token.
const bytesPerToken = 4

// errCallerGone wraps an error returned by the sink or the relay.
var errCallerGone = errors.New("the caller went away")

// Generate runs a generation and passes its tokens to sink, each once and in
// order. It returns the end message of a complete answer, or the failure with
// the run state of the request.
func (d *Dispatcher) Generate(ctx context.Context, g Generation, sink Sink) (backend.End, *fleet.Failure) {
	f := d.beginRequest()
	if f == nil {
		defer d.endRequest()
		var end backend.End
		end, f = d.generate(ctx, g, sink)
		if f == nil {
			return end, nil
		}
	}
	d.reportFailure(g.ID, g.Service, g.Workspace, f)
	return backend.End{}, f
}

func (d *Dispatcher) generate(ctx context.Context, g Generation, sink Sink) (backend.End, *fleet.Failure) {
	cat, f := d.cfg.CatalogSource.Catalog()
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
	ctx, cancel, f := d.withDeadline(ctx, spec.Limits)
	if f != nil {
		return backend.End{}, f
	}
	defer cancel()
	run, f := d.prepare(spec, g, sink)
	if f != nil {
		return backend.End{}, f
	}
	return run.admitAndRun(ctx, ws)
}

// generation is the state of one generation.
type generation struct {
	attempts
	req           Generation
	sink          Sink
	cursor        cursor
	batch         batch
	start         time.Time
	firstTokenAt  time.Time
	leftStraggler bool   // the request has tried to move off a straggler; it does so once
	priority      uint32 // at the engine

	// planning guards the planning of the next attempt while one is under way, and
	// moving, which is set once the attempt is to end for a planned one.
	planning sync.Mutex
	moving   bool
	chunks   atomic.Int64 // received in all attempts
}

func (d *Dispatcher) prepare(spec *service.Spec, g Generation, sink Sink) (*generation, *fleet.Failure) {
	subjects := suspect.Subjects{Request: suspect.FingerprintOf(g.Service, g.Version, g.Prompt)}
	alone, f := d.checkSuspect(g.ID, g.Service, subjects)
	if f != nil {
		return nil, f
	}
	d.budgetOf(spec).Request()
	r := &generation{req: g, sink: sink, start: time.Now()}
	r.cursor = cursor{request: g.ID, version: g.Version, limit: g.MaxTokens}
	r.attempts = attempts{d: d, id: g.ID, spec: spec, subjects: subjects}
	r.route = routing.Request{
		Service:      g.Service,
		Version:      g.Version,
		Adapter:      g.Adapter,
		Workspace:    g.Workspace,
		Zone:         d.cfg.Zone,
		PromptTokens: uint32(len(g.Prompt)/bytesPerToken + 1),
		MaxTokens:    g.MaxTokens,
		Prefixes:     routing.Prefixes(g.Prompt),
		Exclusive:    alone,
	}
	return r, nil
}

// admitAndRun routes the request, requests admission and runs the attempts.
func (r *generation) admitAndRun(ctx context.Context, ws service.WorkspaceSpec) (backend.End, *fleet.Failure) {
	dec := r.routeNow()
	if dec.Chosen == nil {
		return backend.End{}, r.noGroupFailure(dec.Decision)
	}
	ticket, f := r.d.admit(ctx, r.spec, ws, dec.Decision)
	if f != nil {
		return backend.End{}, f
	}
	r.nextDecision = &dec
	r.priority = enginePriority(r.req.Priority, ticket.OverShare())
	end, f := r.run(ctx)
	ticket.Release(time.Now(), r.admissionResult(f != nil))
	return end, f
}

// enginePriority returns the priority of a request at the engine, where larger
// values run first: zero for a request beyond its workspace's fair share, else
// one more than the caller's priority. A workspace that floods a service
// therefore does not delay others, whatever priority its callers set.
func enginePriority(requested uint32, overShare bool) uint32 {
	if overShare {
		return 0
	}
	return requested + 1
}

func (r *generation) admissionResult(failed bool) admission.Result {
	now := time.Now()
	res := admission.Result{Total: now.Sub(r.start), Failed: failed}
	if !r.firstTokenAt.IsZero() {
		res.FirstToken = r.firstTokenAt.Sub(r.start)
	}
	if !failed {
		r.d.runTimes.add(r.spec.Service, res.Total-res.FirstToken)
	}
	return res
}

// run makes attempts until the answer is complete.
func (r *generation) run(ctx context.Context) (backend.End, *fleet.Failure) {
	for {
		t, f := r.selectTarget(ctx)
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
			return backend.End{}, r.newFailure(fleet.ReasonCanceled, 0, cause.Error())
		}
		if f := r.prepareRetry(ctx, t, cause); f != nil {
			return backend.End{}, f
		}
	}
}

// attempt sends one attempt and delivers its tokens. The cause is nil only for
// a complete answer.
func (r *generation) attempt(ctx context.Context, t target) (end backend.End, cause error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	r.startAttempt(t)
	defer func() {
		r.endAttempt(t, cause)
		if cause != nil && !provablyNotRun(cause) {
			r.d.runInBackground(func() { r.d.cancelAttempt(t) })
		}
	}()
	stall := r.watch(ctx, cancel, t)
	defer func() {
		stall.Stop()
		r.endPlanning()
	}()

	r.cursor.attempt = t.attempt
	stream, err := r.d.cfg.Engines.Run(ctx, t.Address, r.message(t))
	if err != nil {
		return backend.End{}, preferCancelCause(ctx, err)
	}
	defer stream.Close()
	end, cause = r.readStream(stream, t, stall)
	return end, preferCancelCause(ctx, cause)
}

// watch moves the request to another group when its group is lost or sends no
// token for too long. It returns the timer of the latter. An attempt that cannot be
// replaced goes on.
func (r *generation) watch(ctx context.Context, cancel context.CancelCauseFunc, t target) *time.Timer {
	r.planning.Lock()
	r.moving = false
	r.planning.Unlock()
	go func() {
		select {
		case <-r.d.cfg.Router.GroupLost(t.Group, t.Epoch):
			r.move(ctx, cancel, t, errGroupLost)
		case <-ctx.Done():
		}
	}()
	return time.AfterFunc(r.firstTokenTimeout(t), func() {
		for received := r.chunks.Load(); !r.move(ctx, cancel, t, errStalled); {
			if !sleepFor(ctx, r.d.cfg.StallTimeout) || r.chunks.Load() != received {
				return
			}
		}
	})
}

// move ends an attempt, whose context is ctx, for a cause if another one can be
// planned.
func (r *generation) move(ctx context.Context, cancel context.CancelCauseFunc, t target, cause error) bool {
	r.planning.Lock()
	defer r.planning.Unlock()
	if ctx.Err() != nil || r.moving || !r.prepareMove(t) {
		return false
	}
	r.moving = true
	cancel(cause)
	return true
}

// endPlanning makes sure that nothing else plans further attempts once an attempt
// has ended.
func (r *generation) endPlanning() {
	r.planning.Lock()
	defer r.planning.Unlock()
	r.moving = true
}

// firstTokenTimeout returns the maximum wait for an attempt's first token: the
// stall timeout, or twice the group's predicted queueing time if longer.
func (r *generation) firstTokenTimeout(t target) time.Duration {
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

// preferCancelCause returns the cause for which this daemon canceled an
// attempt, if it did, in place of the error that resulted from it.
func preferCancelCause(ctx context.Context, err error) error {
	if err == nil || provablyNotRun(err) {
		return err
	}
	cause := context.Cause(ctx)
	if errors.Is(cause, errGroupLost) || errors.Is(cause, errStalled) || errors.Is(cause, errSuperseded) {
		return cause
	}
	return err
}

// cancelAttempt requests that an engine stop generating for an attempt.
func (d *Dispatcher) cancelAttempt(t target) {
	ctx, cancel := context.WithTimeout(d.background, d.cfg.CancelTimeout)
	defer cancel()
	d.metrics.cancels.Inc(1)
	_ = d.cfg.Engines.Cancel(ctx, t.Address, t.attempt)
}
