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
	"carawayproxy.example/caraway/internal/memory"
	"carawayproxy.example/caraway/internal/routing"
	"carawayproxy.example/caraway/internal/service"
	"carawayproxy.example/caraway/internal/suspect"
)

const (
	// maxAnswerBytes bounds an answer that is buffered before it is relayed, as long as
	// there is memory for it.
	maxAnswerBytes = 32 << 20
	// maxErrorAnswerBytes bounds an error answer that is kept while the request is tried
	// elsewhere. It is many times the text of an error.
	maxErrorAnswerBytes = 64 << 10
)

// errNotUsable is the cause of an attempt that was not sent, because the group could no
// longer be used when there was a connection.
var errNotUsable = errors.New("the group can no longer be used")

// errBackendError is the cause of an attempt that was answered with an error.
var errBackendError = errors.New("the backend server answered that it failed")

// Forwarding is a request that is forwarded byte for byte.
type Forwarding struct {
	Workspace fleet.Workspace
	Service   fleet.ServiceName
	Kind      fleet.InstanceKind
	// Stream answers are relayed event by event, others once complete.
	Stream bool
	// Repeatable requests may be retried after they may have begun to run. A
	// retried stream resumes after the last event that the caller received.
	Repeatable  bool
	MaxAttempts int
	// Homes are the regions whose backend servers may run the request; empty for all.
	Homes []fleet.Region
	// PromptTokens and AnswerTokens are the request's size; zero if unknown.
	PromptTokens, AnswerTokens uint32
	Prefixes                   []uint64
	Subjects                   suspect.Subjects
	// Steps takes the times of the request's steps; nil for none.
	Steps   *Steps
	Message backend.Opaque
}

// Relay writes an answer to the caller. An error means that the caller has
// disconnected.
type Relay interface {
	// WriteHeader writes the status and headers, once, before the body.
	WriteHeader(status int, header http.Header)
	// WriteBody writes the next bytes of the body. more is a hint that further
	// bytes are available at once, so a flush can be postponed.
	WriteBody(p []byte, more bool) error
	// Abort makes a write that waits for the caller, and later ones, fail. It may be called
	// beside the others and does not block.
	Abort()
}

// StallDetector monitors the streams of each group, to distinguish a stalled
// group from a busy one.
type StallDetector interface {
	// Attach registers an attempt at a group.
	Attach(group fleet.GroupID) StreamMonitor
}

// StreamMonitor is one attempt's registration with the stall detector.
type StreamMonitor interface {
	// RecordEvent records that part of the attempt's answer was received.
	RecordEvent()
	// Stalled returns a channel that is closed once no attempt at the group has
	// received anything for longer than the stall detector allows.
	Stalled() <-chan struct{}
	// Detach ends the registration.
	Detach()
}

// Forward forwards a request and relays its answer. A returned failure carries
// the run state of the request. If relay.WriteHeader has been called before a
// failure, the answer is incomplete.
func (d *Dispatcher) Forward(ctx context.Context, fw Forwarding, relay Relay) *fleet.Failure {
	d.countStep(fw.Steps, StepRead)
	f := d.beginRequest()
	if f == nil {
		defer d.endRequest()
		f = d.forward(ctx, fw, relay)
		if f == nil {
			return nil
		}
	}
	d.reportFailure(fw.Message.Request, fw.Service, fw.Workspace, f)
	return f
}

func (d *Dispatcher) forward(ctx context.Context, fw Forwarding, relay Relay) *fleet.Failure {
	cat, f := d.cfg.CatalogSource.Catalog()
	if f != nil {
		return f
	}
	spec, ws, f := findService(cat, fw.Service, fw.Workspace, fw.Kind)
	if f != nil {
		return f
	}
	d.awaitDecision(ctx, fw.Message.Request, fw.Subjects, 0)
	alone, f := d.checkSuspect(fw.Message.Request, fw.Service, fw.Subjects)
	if f != nil {
		return f
	}
	d.budgetOf(spec).Request()
	r := &forwardedRequest{req: fw, relay: relay, start: time.Now(), lastEventID: fw.Message.ResumeAfter}
	r.attempts = attempts{d: d, id: fw.Message.Request, spec: spec, subjects: fw.Subjects, attemptLimit: fw.MaxAttempts}
	r.route = routing.Request{
		Service:      fw.Service,
		Workspace:    fw.Workspace,
		Zone:         d.cfg.Zone,
		Homes:        fw.Homes,
		PromptTokens: fw.PromptTokens,
		MaxTokens:    fw.AnswerTokens,
		Prefixes:     fw.Prefixes,
		Exclusive:    alone,
	}
	return r.admitAndRun(ctx, ws)
}

// forwardedRequest is the state of one forwarded request.
type forwardedRequest struct {
	attempts
	req     Forwarding
	relay   Relay
	start   time.Time
	urgency uint32

	// mu guards the fields below and the relay. An attempt holds it while it writes
	// to the caller.
	mu          sync.Mutex
	running     []*runningAttempt // the attempts that may answer
	firstByteAt time.Time         // when the body of the answer began
	headerSent  bool              // the caller has received the answer's header
	lastEventID string            // of the last event that the caller received
	delivered   streamProgress
	errorAnswer *bufferedAnswer // the last error answer of a backend server
}

// bufferedAnswer is an answer that was received completely.
type bufferedAnswer struct {
	status int
	header http.Header
	body   *memory.Buffer
}

func (r *forwardedRequest) admitAndRun(ctx context.Context, ws service.WorkspaceSpec) *fleet.Failure {
	defer r.keepErrorAnswer(nil)
	dec := r.routeNow()
	if dec.Chosen == nil {
		return r.noGroupFailure(dec.Decision)
	}
	ticket, f := r.d.admit(ctx, r.spec, ws, dec.Decision)
	if f != nil {
		return f
	}
	r.reach(StepAdmitted, time.Now())
	r.nextDecision = &dec
	r.urgency = enginePriority(r.req.Message.Urgency, ticket.OverShare())
	f = r.run(ctx)
	ticket.Release(time.Now(), r.admissionResult(f != nil))
	return f
}

func (r *forwardedRequest) reach(step Step, at time.Time) { r.d.reach(r.req.Steps, step, at) }

func (r *forwardedRequest) admissionResult(failed bool) admission.Result {
	res := admission.Result{Total: time.Since(r.start), Failed: failed}
	if !r.firstByteAt.IsZero() {
		res.FirstToken = r.firstByteAt.Sub(r.start)
		r.d.metrics.firstToken.Update(res.FirstToken.Milliseconds())
	}
	if !failed {
		r.d.runTimes.add(r.spec.Service, res.Total-res.FirstToken)
	}
	return res
}

// run makes attempts until the answer is complete.
func (r *forwardedRequest) run(ctx context.Context) *fleet.Failure {
	for {
		t, f := r.selectTarget(ctx)
		if f != nil {
			return r.preferErrorAnswer(f)
		}
		r.reach(StepChosen, time.Now())
		t, cause := r.attempt(ctx, t)
		if cause == nil {
			return nil
		}
		if errors.Is(cause, errCallerGone) {
			r.mayHaveRun = true
			return r.newFailure(fleet.ReasonCanceled, 0, cause.Error())
		}
		if f := r.retryOrFail(ctx, t, cause); f != nil {
			return r.preferErrorAnswer(f)
		}
	}
}

// reportRefusal reports to Refusals that a group refused an attempt.
func (r *forwardedRequest) reportRefusal(t target, cause error) {
	if why := refusalReason(t, cause); why != 0 && r.d.cfg.Refusals != nil {
		r.d.cfg.Refusals.RecordRefusal(t.Group, t.Epoch, why, time.Now())
	}
}

// refusalReason returns why a group refused an attempt. It returns zero if the
// group accepted the attempt or this daemon canceled it.
func refusalReason(t target, cause error) routing.Refusal {
	var refused *backend.RefusedError
	switch {
	case errors.Is(cause, errSuperseded), errors.Is(cause, errCallerGone),
		errors.Is(cause, context.Canceled), errors.Is(cause, context.DeadlineExceeded), errors.Is(cause, backend.ErrLinksLost), errors.Is(cause, errNotUsable), isGivenUpDial(cause):
		return 0
	case errors.Is(cause, backend.ErrNotSent):
		return routing.RefusedUnreachable
	case !errors.As(cause, &refused):
		return 0
	case refused.Status == http.StatusMisdirectedRequest:
		return routing.RefusedNotServing
	case refused.Rate.Announced, refused.Pause.Announced:
		return routing.RefusedAtCapacity // the rate or the pause, not the number of requests in flight, is the limit
	case routing.InFlight(&t.Candidate) < float64(t.MaxRunning):
		return routing.RefusedNotAccepting
	default:
		return routing.RefusedAtCapacity
	}
}

// retryOrFail prepares another attempt, or returns the final failure if there
// is to be none.
func (r *forwardedRequest) retryOrFail(ctx context.Context, t target, cause error) *fleet.Failure {
	r.reportRefusal(t, cause)
	if !r.req.Repeatable && !provablyNotRun(cause) {
		r.attempts.recordFailure(t, cause)
		r.d.metrics.uncertain.Inc(1)
		if f := r.checkContext(ctx); f != nil {
			return f
		}
		return r.newFailure(fleet.ReasonBackendFailed, 0, "the request was sent and got no answer that can be passed on: "+cause.Error())
	}
	r.refundUnsent(cause)
	if !r.canContinue() {
		r.recordFailure(t, cause)
		return r.newFailure(fleet.ReasonBackendFailed, withJitter(retryAfterFailed), "the stream broke off after an event without an id: "+cause.Error())
	}
	return r.prepareRetry(ctx, t, cause)
}

// preferErrorAnswer relays the error answer of a backend server, if there is
// one and the caller has received nothing yet, in place of the failure f.
func (r *forwardedRequest) preferErrorAnswer(f *fleet.Failure) *fleet.Failure {
	if r.errorAnswer == nil || r.headerSent || f.Reason == fleet.ReasonCanceled {
		return f
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	switch err := r.deliver(r.errorAnswer); {
	case errors.Is(err, memory.ErrShort):
		return f
	case err != nil:
		return r.newFailure(fleet.ReasonCanceled, 0, err.Error())
	}
	return nil
}

// keepErrorAnswer keeps an error answer, nil for none, in place of the one before. Called
// with mu held, or when no attempt is running any more.
func (r *forwardedRequest) keepErrorAnswer(a *bufferedAnswer) {
	if r.errorAnswer != nil {
		r.errorAnswer.body.Close()
	}
	r.errorAnswer = a
}

// attempt sends one attempt and relays its answer. If another one is started
// beside it, attempt returns when both have ended, with the attempt that decides
// about the request. The cause is nil once the caller has received the complete
// answer.
func (r *forwardedRequest) attempt(ctx context.Context, t target) (last target, cause error) {
	attemptCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	a := &runningAttempt{target: t, cancel: cancel, connection: connectState{failed: make(chan struct{})}}
	r.startAttempt(t)
	r.addRunning(a)
	w := r.startWatch(ctx, a)
	cause = preferCancelCause(attemptCtx, r.send(attemptCtx, a, w))
	next := w.stop()
	r.removeRunning(a)
	r.endAttempt(t, attemptFailure(cause))
	if errors.Is(cause, errSuperseded) {
		r.logSuperseded(t)
	}
	if next == nil {
		return t, cause
	}
	return r.join(t, cause, next)
}

// send sends an attempt and relays its answer.
func (r *forwardedRequest) send(ctx context.Context, a *runningAttempt, w *attemptWatch) error {
	sentAt := time.Now()
	ans, err := r.d.cfg.Opaques.Forward(ctx, a.Address, r.message(ctx, a))
	if err != nil && a.connection.isGivenUp() {
		return errDialGivenUp
	}
	r.reach(StepWritten, ans.WrittenAt)
	r.observeAnnouncements(a.target, ans, err, sentAt)
	if err != nil {
		return err
	}
	defer ans.Body.Close()
	if r.d.cfg.Refusals != nil {
		r.d.cfg.Refusals.Reset(a.Group, a.Epoch)
	}
	if r.req.Stream && ans.Status/100 == 2 {
		return r.relayStream(ctx, ans, a, w)
	}
	return r.relayBuffered(ctx, ans, a)
}

func (r *forwardedRequest) message(ctx context.Context, a *runningAttempt) backend.Opaque {
	m, t := r.req.Message, a.target
	m.Instance = t.GroupLeader
	m.Urgency = r.urgency
	m.ResumeAfter = r.resumePoint()
	m.Fresh = !r.req.Repeatable
	m.DialFailed = a.connection.recordFailedDial
	m.Connected = func(via string) error {
		if !r.d.cfg.Router.Recheck(t.Candidate) { // a server may have left while it was dialed
			return errNotUsable
		}
		if !a.connection.connect() {
			return errDialGivenUp
		}
		r.reach(StepConnected, time.Now())
		if via != "" {
			r.d.cfg.Events.Emit(eventRelayed, "request", r.id, "attempt", t.attempt, "instance", t.GroupLeader, "address", t.Address, "via", via)
		}
		return nil
	}
	if deadline, ok := ctx.Deadline(); ok {
		m.Remaining = time.Until(deadline)
	}
	return m
}

// resumePoint returns the id of the last event that the caller received.
func (r *forwardedRequest) resumePoint() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.lastEventID != r.req.Message.ResumeAfter {
		r.d.metrics.resumed.Inc(1)
	}
	return r.lastEventID
}

func (r *forwardedRequest) hasSentHeader() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.headerSent
}

// relayBuffered buffers an answer before the caller receives any of it, so that
// a truncated answer can be retried.
func (r *forwardedRequest) relayBuffered(ctx context.Context, ans backend.OpaqueResponse, a *runningAttempt) error {
	if r.hasSentHeader() {
		return errors.Wrapf(errBackendError, "status %d in place of the rest of a stream", ans.Status)
	}
	answer := &bufferedAnswer{status: ans.Status, header: ans.Header, body: r.d.answers.Open(a.cancel)}
	kept := false
	defer func() {
		if !kept {
			answer.body.Close()
		}
	}()
	failed := ans.Status >= http.StatusInternalServerError && r.req.Repeatable
	limit := maxAnswerBytes
	if failed {
		limit = maxErrorAnswerBytes
	}
	switch err := answer.body.Read(ans.Body, limit); {
	case errors.Is(err, memory.ErrSize) && failed:
		return errors.Wrapf(errBackendError, "status %d, %s", ans.Status, err)
	case errors.Is(err, memory.ErrSize), errors.Is(err, memory.ErrShort):
		return err
	case err != nil:
		return errors.Wrap(err, "the answer broke off")
	}
	if err := r.checkEnd(ctx, ans, a, answerEndWatch); err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.headerSent {
		return errors.Wrapf(errBackendError, "status %d in place of the rest of a stream", ans.Status)
	}
	if failed {
		kept = true
		r.keepErrorAnswer(answer)
		return errors.Wrapf(errBackendError, "status %d", ans.Status)
	}
	if err := r.claim(a); err != nil {
		return err
	}
	a.progress.recordAnswer(ans.Status)
	return r.deliver(answer)
}

// deliver writes a complete answer to the caller. It returns memory.ErrShort, and writes
// nothing, if the answer was dropped. The answer counts until the caller has read it, and
// may be cut off if that takes longer than answerGrace while memory is short. Called with mu
// held.
func (r *forwardedRequest) deliver(a *bufferedAnswer) error {
	blocks, ok := a.body.Keep(func(error) { r.relay.Abort() })
	defer a.body.Close()
	if !ok {
		return memory.ErrShort
	}
	r.headerSent = true
	r.firstByteAt = time.Now()
	r.relay.WriteHeader(a.status, a.header)
	for i, block := range blocks {
		if err := r.relay.WriteBody(block, i < len(blocks)-1); err != nil {
			return errors.Wrap(errCallerGone, err.Error())
		}
	}
	return nil
}

// relayStream relays complete events as they arrive. When a stream resumes,
// the caller keeps the header that it has already received, and gets only events
// that continue its stream.
func (r *forwardedRequest) relayStream(ctx context.Context, ans backend.OpaqueResponse, a *runningAttempt, w *attemptWatch) error {
	placed, err := r.checkContinuation(ans)
	if err != nil {
		return err
	}
	empty := true
	events := newEventReader(ans.Body, func() *memory.Buffer { return r.d.answers.Open(a.cancel) })
	defer events.Close()
	for {
		event, id, err := events.next()
		if errors.Is(err, io.EOF) {
			if err := r.checkEnd(ctx, ans, a, streamEndWatch); err != nil {
				return err
			}
			return r.finishStream(ans, a, empty)
		}
		if err != nil {
			r.recordBreak(ans, a, events.isInside())
			return err
		}
		w.recordEvent()
		if err := r.relayEvent(ans, a, event, id, placed, events.hasBuffered()); err != nil {
			return err
		}
		placed, empty = true, false
	}
}

// relayEvent relays the next event of an answer. placed is as in checkEvent, and
// more as in Relay.WriteBody.
func (r *forwardedRequest) relayEvent(ans backend.OpaqueResponse, a *runningAttempt, event, id []byte, placed, more bool) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if a.superseded {
		return errSuperseded
	}
	if err := r.checkEvent(string(id), placed); err != nil {
		return err
	}
	if err := r.claim(a); err != nil {
		return err
	}
	r.sendHeader(ans)
	if len(id) > 0 {
		r.lastEventID = string(id)
	}
	r.delivered.unplaced, r.delivered.moreDue = len(id) == 0, false
	r.d.metrics.events.Inc(1)
	if err := r.relay.WriteBody(event, more); err != nil {
		return errors.Wrap(errCallerGone, err.Error())
	}
	return nil
}

// sendHeader writes the header of the first answer that is relayed. Called with mu
// held.
func (r *forwardedRequest) sendHeader(ans backend.OpaqueResponse) {
	if r.headerSent {
		return
	}
	r.headerSent = true
	r.delivered.begin(ans)
	r.firstByteAt = time.Now()
	r.relay.WriteHeader(ans.Status, ans.Header)
}

// finishStream ends the caller's stream. empty is set if the answer had no event.
func (r *forwardedRequest) finishStream(ans backend.OpaqueResponse, a *runningAttempt, empty bool) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if empty {
		if err := r.checkEmpty(ans); err != nil {
			return err
		}
	}
	if err := r.claim(a); err != nil {
		return err
	}
	r.sendHeader(ans)
	if err := r.relay.WriteBody(nil, false); err != nil {
		return errors.Wrap(errCallerGone, err.Error())
	}
	return nil
}
