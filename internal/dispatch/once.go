package dispatch

import (
	"context"
	"time"

	"carawayproxy.example/caraway/internal/fleet"
	"carawayproxy.example/caraway/internal/invariant"
	"carawayproxy.example/caraway/internal/ledger"
)

const (
	// lostGroupGrace is how long the answer to a non-idempotent call is awaited
	// after its instance is lost.
	lostGroupGrace = 2 * time.Second
	// maxRecordedMessageBytes bounds an error message recorded in the ledger.
	maxRecordedMessageBytes = 1024
)

// grantNotHeldMessage is the failure message of a request whose ledger grant
// was no longer held when the request was about to be sent.
const grantNotHeldMessage = "the right to run the request was not kept until it could be sent"

// runOnce runs a method that may run at most once per idempotency key.
func (c *invocation) runOnce(ctx context.Context) (InvocationAnswer, *fleet.Failure) {
	o := &onceInvocation{
		invocation: c,
		key:        ledger.Key{Workspace: c.req.Workspace, Service: c.req.Service, Caller: c.req.IdempotencyKey},
		digest:     ledger.DigestOf(c.req.Method, c.req.Body),
	}
	known, found := c.d.cfg.Ledger.Lookup(o.key, o.digest)
	if found && known.Decision != ledger.Await {
		return answerFromGrant(known)
	}
	if found {
		return o.awaitEarlierCall(ctx)
	}
	return o.runNew(ctx)
}

// onceInvocation is the state of one non-idempotent call.
type onceInvocation struct {
	*invocation
	key    ledger.Key
	digest uint64
	token  ledger.Token
	sent   bool // an attempt may have run, so no other may be sent
}

// runNew runs a request whose key has no entry in this daemon's ledger.
func (o *onceInvocation) runNew(ctx context.Context) (InvocationAnswer, *fleet.Failure) {
	ticket, f := o.routeAndAdmit(ctx)
	if f != nil {
		return InvocationAnswer{}, f
	}
	ans, f := o.runGranted(ctx, o.d.cfg.Ledger.Begin(ctx, o.key, o.digest))
	o.releaseTicket(ticket, f != nil)
	return ans, f
}

// awaitEarlierCall waits for the outcome of an earlier call with the same key,
// which needs no admission. If that call abandoned the key, this one runs the
// request.
func (o *onceInvocation) awaitEarlierCall(ctx context.Context) (InvocationAnswer, *fleet.Failure) {
	grant := o.d.cfg.Ledger.Begin(ctx, o.key, o.digest)
	if grant.Decision != ledger.Run {
		return answerFromGrant(grant)
	}
	ticket, f := o.routeAndAdmit(ctx)
	if f != nil {
		o.d.cfg.Ledger.Abandon(ctx, grant.Token)
		return InvocationAnswer{}, f
	}
	ans, f := o.runGranted(ctx, grant)
	o.releaseTicket(ticket, f != nil)
	return ans, f
}

// answerFromGrant returns the answer or failure recorded in the ledger.
func answerFromGrant(g ledger.Grant) (InvocationAnswer, *fleet.Failure) {
	if g.Decision != ledger.Replay {
		return InvocationAnswer{}, g.Failure
	}
	if g.Answer.Failed {
		return InvocationAnswer{}, &fleet.Failure{State: fleet.Done, Reason: fleet.ReasonBackendFailed, Message: g.Answer.Message}
	}
	return InvocationAnswer{Body: g.Answer.Body, Replayed: true}, nil
}

// runGranted sends the request if the ledger grants it. Attempts that provably
// did not run are retried under the same intent.
func (o *onceInvocation) runGranted(ctx context.Context, grant ledger.Grant) (InvocationAnswer, *fleet.Failure) {
	if grant.Decision != ledger.Run {
		return answerFromGrant(grant)
	}
	o.token = grant.Token
	for {
		t, f := o.selectTarget(ctx)
		if f == nil && !o.d.cfg.Ledger.IsGrantValid(o.token) {
			f = o.newFailure(fleet.ReasonStale, withJitter(retryAfterFailed), grantNotHeldMessage)
		}
		if f != nil {
			o.d.cfg.Ledger.Abandon(ctx, o.token)
			return InvocationAnswer{}, f
		}
		res, answered := o.send(ctx, t)
		if !answered {
			return InvocationAnswer{}, o.uncertainFailure(t, "the call was sent and its answer has not come")
		}
		if !provablyNotRun(res.cause) {
			return o.recordOutcome(ctx, t, res)
		}
		o.sent = false
		if f := o.prepareRetry(ctx, t, res.cause); f != nil {
			o.d.cfg.Ledger.Abandon(ctx, o.token)
			return InvocationAnswer{}, f
		}
	}
}

// callResult is the result of a sent call.
type callResult struct {
	body  []byte
	cause error
}

// send sends the call once. The call continues after its caller's context ends,
// so that its outcome is recorded even if it arrives too late for the caller;
// answered is false in that case.
func (o *onceInvocation) send(ctx context.Context, t target) (res callResult, answered bool) {
	if o.sent {
		invariant.Check(false, "dispatch.send-once", "request %s key %q would be sent twice", o.id, o.key.Caller)
	}
	o.sent = true
	callCtx, cancel := o.detachContext(ctx)
	o.startAttempt(t)
	replies := make(chan callResult, 1)
	o.d.runInBackground(func() {
		defer cancel()
		ans, err := o.d.cfg.Plains.Call(callCtx, t.Address, o.message(t))
		body, cause := checkAnswer(o.id, t.attempt, ans, err)
		o.endAttempt(t, attemptFailure(cause))
		replies <- callResult{body: body, cause: cause}
	})
	select {
	case res = <-replies:
		return res, true
	case <-ctx.Done():
	case <-o.lostGroupTimeout(ctx, t):
	}
	o.d.inFlight.Add(1)
	o.d.runInBackground(func() { o.recordLateOutcome(callCtx, t, replies) })
	return callResult{}, false
}

// detachContext returns a context that ends OutcomeGrace after the caller's
// deadline, or when the dispatcher is closed.
func (o *onceInvocation) detachContext(ctx context.Context) (context.Context, context.CancelFunc) {
	limit := o.d.cfg.OutcomeGrace
	if deadline, ok := ctx.Deadline(); ok {
		limit += time.Until(deadline)
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), limit)
	stop := context.AfterFunc(o.d.background, cancel)
	return ctx, func() { stop(); cancel() }
}

// lostGroupTimeout returns a channel that is closed lostGroupGrace after the
// instance is lost.
func (o *onceInvocation) lostGroupTimeout(ctx context.Context, t target) <-chan struct{} {
	closed := make(chan struct{})
	go func() {
		select {
		case <-o.d.cfg.Router.GroupLost(t.Group, t.Epoch):
		case <-ctx.Done():
			return
		}
		timer := time.NewTimer(lostGroupGrace)
		defer timer.Stop()
		select {
		case <-timer.C:
			close(closed)
		case <-ctx.Done():
		}
	}()
	return closed
}

// recordOutcome records the outcome of the call in the ledger and returns the
// answer for the caller.
func (o *onceInvocation) recordOutcome(ctx context.Context, t target, res callResult) (InvocationAnswer, *fleet.Failure) {
	if f := answerFailure(res.cause); f != nil {
		o.d.cfg.Ledger.Finish(ctx, o.token, errorAnswer(f.Message))
		return InvocationAnswer{}, f
	}
	if res.cause != nil {
		o.recordFailure(t, res.cause)
		o.d.cfg.Ledger.RecordUnknown(ctx, o.token)
		return InvocationAnswer{}, o.uncertainFailure(t, "the call was sent and got no answer that can be trusted: "+res.cause.Error())
	}
	o.d.cfg.Ledger.Finish(ctx, o.token, ledger.AnswerOf(res.body))
	return InvocationAnswer{Body: res.body}, nil
}

// recordLateOutcome records the outcome of a call whose caller has already been
// answered.
func (o *onceInvocation) recordLateOutcome(ctx context.Context, t target, replies <-chan callResult) {
	defer o.d.endRequest()
	res := <-replies
	if provablyNotRun(res.cause) {
		o.d.cfg.Ledger.Abandon(ctx, o.token)
		return
	}
	_, f := o.recordOutcome(ctx, t, res)
	if f == nil || f.State == fleet.Done {
		o.d.cfg.Events.Emit(eventLateOutcome, "request", o.id, "attempt", t.attempt, "key", o.key.Caller)
	}
}

// uncertainFailure returns the failure of a call that may have run.
func (o *onceInvocation) uncertainFailure(t target, message string) *fleet.Failure {
	o.d.metrics.uncertain.Inc(1)
	o.d.cfg.Events.Emit(eventUncertain, "request", o.id, "attempt", t.attempt, "instance", t.Group, "key", o.key.Caller)
	return fleet.NewUncertainFailure(fleet.ReasonBackendFailed, withJitter(retryAfterFailed), "%s", message)
}

// errorAnswer returns the ledger entry for an error that the service answered
// with.
func errorAnswer(message string) ledger.Answer {
	a := ledger.AnswerOf(nil)
	a.Failed = true
	a.Message = message[:min(len(message), maxRecordedMessageBytes)]
	return a
}
