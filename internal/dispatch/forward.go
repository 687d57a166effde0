package dispatch

import (
	"context"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"carawayproxy.example/caraway/internal/admission"
	"carawayproxy.example/caraway/internal/backend"
	"carawayproxy.example/caraway/internal/fleet"
	"carawayproxy.example/caraway/internal/routing"
	"carawayproxy.example/caraway/internal/service"
	"carawayproxy.example/caraway/internal/suspect"
)

// maxAnswerBytes bounds an answer that is passed on whole.
const maxAnswerBytes = 32 << 20

// Causes for which a forwarded attempt is given up.
var (
	errSilent   = errors.New("no stream of the group moves")
	errAnswered = errors.New("the backend server answered that it failed")
)

// Forwarding is a caller's request that is passed on byte for byte.
type Forwarding struct {
	Workspace fleet.Workspace
	Service   fleet.ServiceName
	Kind      fleet.InstanceKind
	// Stream answers are passed on event by event, others whole.
	Stream bool
	// Repeatable requests may be sent again after they may have begun to run.
	// A stream goes on after the last event that the caller has.
	Repeatable  bool
	MaxAttempts int
	// PromptTokens and AnswerTokens are the request's size, zero for unknown.
	PromptTokens, AnswerTokens uint32
	Prefixes                   []uint64
	Print                      suspect.Fingerprint
	Message                    backend.Opaque
}

// Relay takes an answer to the caller. An error means that the caller has
// gone.
type Relay interface {
	// Head gives the answer's status and headers, once, before its body.
	Head(status int, header http.Header)
	// Body gives bytes of the body, in order. More follow soon when more is
	// set.
	Body(p []byte, more bool) error
}

// Pulse follows the streams of each group, to tell a group that has stopped
// from one that is busy.
type Pulse interface {
	// Attach counts an attempt at a group in.
	Attach(group fleet.GroupID) Beat
}

// Beat is one attempt's part in its group's pulse.
type Beat interface {
	// Heard tells that something of the attempt's answer came.
	Heard()
	// Silent is closed once no attempt at the group has heard anything for
	// too long.
	Silent() <-chan struct{}
	// Detach counts the attempt out.
	Detach()
}

// Forward passes a request on and its answer back through relay. The failure
// has the true run state; when relay has been given a head by then, the answer
// is cut.
func (d *Dispatcher) Forward(ctx context.Context, fw Forwarding, relay Relay) *fleet.Failure {
	f := d.enter()
	if f == nil {
		defer d.leave()
		f = d.forward(ctx, fw, relay)
		if f == nil {
			return nil
		}
	}
	d.refused(fw.Message.Request, fw.Service, fw.Workspace, f)
	return f
}

func (d *Dispatcher) forward(ctx context.Context, fw Forwarding, relay Relay) *fleet.Failure {
	cat, f := d.cfg.Knowledge.Catalog()
	if f != nil {
		return f
	}
	spec, ws, f := findService(cat, fw.Service, fw.Workspace, fw.Kind)
	if f != nil {
		return f
	}
	alone, f := d.standing(fw.Message.Request, fw.Service, fw.Print)
	if f != nil {
		return f
	}
	d.budgetOf(spec).Request()
	r := &forwarding{req: fw, relay: relay, start: time.Now(), lastEvent: fw.Message.ResumeAfter}
	r.attempts = attempts{d: d, id: fw.Message.Request, spec: spec, print: fw.Print, most: fw.MaxAttempts}
	r.route = routing.Request{
		Service:      fw.Service,
		Workspace:    fw.Workspace,
		Zone:         d.cfg.Zone,
		PromptTokens: fw.PromptTokens,
		MaxTokens:    fw.AnswerTokens,
		Prefixes:     fw.Prefixes,
		Alone:        alone,
	}
	return r.admitted(ctx, ws)
}

// forwarding is one forwarded request on its way.
type forwarding struct {
	attempts
	req       Forwarding
	relay     Relay
	start     time.Time
	first     time.Time // of the answer's body
	headed    bool      // the caller has the head of the answer
	lastEvent string    // id of the last event that the caller has
	urgency   uint32
	failed    *wholeAnswer // a failure that a backend server answered with
}

// wholeAnswer is an answer that was read to its end.
type wholeAnswer struct {
	status int
	header http.Header
	body   []byte
}

func (r *forwarding) admitted(ctx context.Context, ws service.WorkspaceSpec) *fleet.Failure {
	dec := r.routeNow()
	if dec.Chosen == nil {
		return r.noGroup()
	}
	ticket, f := r.d.admit(ctx, r.spec, ws, dec.Decision)
	if f != nil {
		return f
	}
	r.next = &dec
	r.urgency = enginePriority(r.req.Message.Urgency, ticket.Borrowed())
	f = r.run(ctx)
	ticket.Release(time.Now(), r.result(f != nil))
	return f
}

func (r *forwarding) result(failed bool) admission.Result {
	res := admission.Result{Total: time.Since(r.start), Failed: failed}
	if !r.first.IsZero() {
		res.FirstToken = r.first.Sub(r.start)
		r.d.metrics.firstToken.Update(res.FirstToken.Milliseconds())
	}
	if !failed {
		r.d.runTimes.add(r.spec.Service, res.Total-res.FirstToken)
	}
	return res
}

// run makes attempts until one brings the rest of the answer.
func (r *forwarding) run(ctx context.Context) *fleet.Failure {
	for {
		t, f := r.choose(ctx)
		if f != nil {
			return r.orFailedAnswer(f)
		}
		if r.lastEvent != r.req.Message.ResumeAfter {
			r.d.metrics.resumed.Inc(1)
		}
		cause := r.attempt(ctx, t)
		if cause == nil {
			return nil
		}
		if errors.Is(cause, errCallerGone) {
			r.mayHaveRun = true
			return r.fail(fleet.ReasonCanceled, 0, cause.Error())
		}
		if f := r.goOn(ctx, t, cause); f != nil {
			return r.orFailedAnswer(f)
		}
	}
}

// noteRefusal tells of a group that did not take an attempt.
func (r *forwarding) noteRefusal(t target, cause error) {
	if why := refusalOf(t, cause); why != 0 && r.d.cfg.Refusals != nil {
		r.d.cfg.Refusals.Refused(t.Group, t.Epoch, why, time.Now())
	}
}

// refusalOf is why a group did not take an attempt, zero when it did, or when
// the attempt was given up here.
func refusalOf(t target, cause error) routing.Refusal {
	var refused *backend.RefusedError
	switch {
	case errors.Is(cause, errSilent), errors.Is(cause, errLapsed), errors.Is(cause, errCallerGone),
		errors.Is(cause, context.Canceled), errors.Is(cause, context.DeadlineExceeded):
		return 0
	case errors.Is(cause, backend.ErrNotSent):
		return routing.Unreachable
	case !errors.As(cause, &refused):
		return 0
	case refused.Status == http.StatusMisdirectedRequest:
		return routing.Elsewhere
	case routing.InFlight(&t.Candidate) < float64(t.MaxRunning):
		return routing.Closed
	default:
		return routing.Full
	}
}

// goOn decides whether another attempt follows, and returns the final failure
// when not.
func (r *forwarding) goOn(ctx context.Context, t target, cause error) *fleet.Failure {
	r.noteRefusal(t, cause)
	if !r.req.Repeatable && !unsent(cause) {
		r.attempts.failed(t, cause)
		r.d.metrics.uncertain.Inc(1)
		if f := r.over(ctx); f != nil {
			return f
		}
		return r.fail(fleet.ReasonBackendFailed, 0, "the request was sent and got no answer that can be passed on: "+cause.Error())
	}
	if errors.Is(cause, backend.ErrNotSent) {
		// Nothing arrived: the next attempt is the request's first one there.
		r.made--
		r.paid = true
	}
	return r.again(ctx, t, cause)
}

// orFailedAnswer passes on the failure that a backend server answered with, if
// one did and the caller has nothing yet, in place of one of our own.
func (r *forwarding) orFailedAnswer(f *fleet.Failure) *fleet.Failure {
	if r.failed == nil || r.headed || f.Reason == fleet.ReasonCanceled {
		return f
	}
	if err := r.give(r.failed); err != nil {
		return r.fail(fleet.ReasonCanceled, 0, err.Error())
	}
	return nil
}

// attempt sends one attempt and passes its answer on. The cause is nil once
// the caller has the whole answer.
func (r *forwarding) attempt(ctx context.Context, t target) (cause error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	r.begin(t)
	defer func() { r.end(t, sentCause(cause)) }()
	w := r.watch(ctx, cancel, t)
	defer w.stop()

	ans, err := r.d.cfg.Opaques.Forward(ctx, t.Address, r.message(ctx, t))
	if err != nil {
		return givenUp(ctx, err)
	}
	defer ans.Body.Close()
	if r.d.cfg.Refusals != nil {
		r.d.cfg.Refusals.Answered(t.Group, t.Epoch)
	}
	if r.req.Stream && ans.Status/100 == 2 {
		return givenUp(ctx, r.passStream(ans, w))
	}
	return givenUp(ctx, r.passWhole(ans))
}

func (r *forwarding) message(ctx context.Context, t target) backend.Opaque {
	m := r.req.Message
	m.Instance = t.Leader
	m.Urgency = r.urgency
	m.ResumeAfter = r.lastEvent
	m.Fresh = !r.req.Repeatable
	if deadline, ok := ctx.Deadline(); ok {
		m.Remaining = time.Until(deadline)
	}
	return m
}

// passWhole reads an answer to its end before the caller gets any of it, so
// that one that breaks off can be asked for again.
func (r *forwarding) passWhole(ans backend.OpaqueAnswer) error {
	body, err := io.ReadAll(io.LimitReader(ans.Body, maxAnswerBytes+1))
	if err != nil {
		return errors.Wrap(err, "the answer broke off")
	}
	if len(body) > maxAnswerBytes {
		return errors.Errorf("the answer has more than %d bytes", maxAnswerBytes)
	}
	whole := &wholeAnswer{status: ans.Status, header: ans.Header, body: body}
	if r.headed {
		return errors.Wrapf(errAnswered, "status %d in place of the rest of a stream", ans.Status)
	}
	if ans.Status >= http.StatusInternalServerError && r.req.Repeatable {
		r.failed = whole
		return errors.Wrapf(errAnswered, "status %d", ans.Status)
	}
	return r.give(whole)
}

// give passes a whole answer on.
func (r *forwarding) give(a *wholeAnswer) error {
	r.headed = true
	r.first = time.Now()
	r.relay.Head(a.status, a.header)
	if err := r.relay.Body(a.body, false); err != nil {
		return errors.Wrap(errCallerGone, err.Error())
	}
	return nil
}

// passStream passes whole events on as they come. After a resumption the
// caller keeps the head that it has.
func (r *forwarding) passStream(ans backend.OpaqueAnswer, w *watch) error {
	events := newEventReader(ans.Body)
	for {
		event, id, err := events.next()
		if errors.Is(err, io.EOF) {
			return r.endStream(ans)
		}
		if err != nil {
			return err
		}
		w.heard()
		if repeated(string(id), r.lastEvent) {
			continue
		}
		r.head(ans)
		if len(id) > 0 {
			r.lastEvent = string(id)
		}
		r.d.metrics.events.Inc(1)
		if err := r.relay.Body(event, events.more()); err != nil {
			return errors.Wrap(errCallerGone, err.Error())
		}
	}
}

// head gives the caller the head of the first answer of which it gets events.
func (r *forwarding) head(ans backend.OpaqueAnswer) {
	if r.headed {
		return
	}
	r.headed = true
	r.first = time.Now()
	r.relay.Head(ans.Status, ans.Header)
}

func (r *forwarding) endStream(ans backend.OpaqueAnswer) error {
	r.head(ans)
	if err := r.relay.Body(nil, false); err != nil {
		return errors.Wrap(errCallerGone, err.Error())
	}
	return nil
}

// watch gives an attempt up when its group can no longer answer, or has
// stopped while another one can go on.
type watch struct {
	beat    Beat // nil when no pulse is followed
	mu      sync.Mutex
	last    time.Time // of the last event
	stopped chan struct{}
	done    chan struct{}
}

// watch starts to watch over an attempt. Until stop returns, it alone may
// prepare the next attempt.
func (r *forwarding) watch(ctx context.Context, cancel context.CancelCauseFunc, t target) *watch {
	w := &watch{stopped: make(chan struct{}), done: make(chan struct{})}
	lapsed := r.d.cfg.Router.Lapsed(t.Group, t.Epoch)
	var silent <-chan struct{}
	if r.d.cfg.Pulse != nil && r.req.Stream {
		w.beat = r.d.cfg.Pulse.Attach(t.Group)
		silent = w.beat.Silent()
	}
	go func() {
		defer close(w.done)
		for {
			select {
			case <-lapsed:
				cancel(errLapsed)
				return
			case <-silent:
				silent = nil
				if w.outlasts(ctx, r.d.cfg.SilencePatience) && r.canMove() {
					cancel(errSilent)
					return
				}
			case <-ctx.Done():
				return
			case <-w.stopped:
				return
			}
		}
	}()
	return w
}

// outlasts reports whether an attempt that has had events gets none for
// another while. One that has had none yet is not waited for.
func (w *watch) outlasts(ctx context.Context, patience time.Duration) bool {
	last := w.lastHeard()
	if last.IsZero() {
		return true
	}
	timer := time.NewTimer(patience)
	defer timer.Stop()
	select {
	case <-timer.C:
		return w.lastHeard().Equal(last)
	case <-w.stopped:
	case <-ctx.Done():
	}
	return false
}

func (w *watch) lastHeard() time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.last
}

func (w *watch) heard() {
	w.mu.Lock()
	w.last = time.Now()
	w.mu.Unlock()
	if w.beat != nil {
		w.beat.Heard()
	}
}

func (w *watch) stop() {
	close(w.stopped)
	<-w.done
	if w.beat != nil {
		w.beat.Detach()
	}
}

// canMove prepares another attempt while one still goes on: there must be a
// group to go to and a retry to pay for it.
func (r *forwarding) canMove() bool {
	if !r.req.Repeatable || r.made >= r.maxAttempts() {
		return false
	}
	dec := r.routeNow()
	if dec.Chosen == nil || !r.pay() {
		return false
	}
	r.next = &dec
	return true
}
