package dispatch

import (
	"context"
	"time"

	"carawayproxy.example/caraway/internal/fleet"
	"carawayproxy.example/caraway/internal/invariant"
	"carawayproxy.example/caraway/internal/ledger"
)

const (
	// lapsePatience is how long a sent non-idempotent call is waited for
	// after its instance can no longer be trusted to answer.
	lapsePatience = 2 * time.Second
	// maxMessage bounds a recorded error message in bytes.
	maxMessage = 1024
)

// notHeldMessage says why a granted request was not sent.
const notHeldMessage = "the right to run the request was not kept until it could be sent"

// once runs a method that may run at most once for its key.
func (c *invocation) once(ctx context.Context) (InvocationAnswer, *fleet.Failure) {
	o := &onceCall{
		invocation: c,
		key:        ledger.Key{Workspace: c.req.Workspace, Service: c.req.Service, Caller: c.req.IdempotencyKey},
		digest:     ledger.DigestOf(c.req.Method, c.req.Body),
	}
	known, found := c.d.cfg.Ledger.Lookup(o.key, o.digest)
	if found && known.Decision != ledger.Await {
		return fromGrant(known)
	}
	if found {
		return o.afterEarlier(ctx)
	}
	return o.fresh(ctx)
}

// onceCall is a non-idempotent call on its way.
type onceCall struct {
	*invocation
	key    ledger.Key
	digest uint64
	token  ledger.Token
	sent   bool // an attempt may have run; there is no other one
}

// fresh runs a request whose key is not known here.
func (o *onceCall) fresh(ctx context.Context) (InvocationAnswer, *fleet.Failure) {
	ticket, f := o.place(ctx)
	if f != nil {
		return InvocationAnswer{}, f
	}
	ans, f := o.granted(ctx, o.d.cfg.Ledger.Begin(ctx, o.key, o.digest))
	o.release(ticket, f != nil)
	return ans, f
}

// afterEarlier waits for the outcome of an earlier call with the key, which
// needs no place at a backend server. If that call gave the key back, this
// one runs the request.
func (o *onceCall) afterEarlier(ctx context.Context) (InvocationAnswer, *fleet.Failure) {
	grant := o.d.cfg.Ledger.Begin(ctx, o.key, o.digest)
	if grant.Decision != ledger.Run {
		return fromGrant(grant)
	}
	ticket, f := o.place(ctx)
	if f != nil {
		o.d.cfg.Ledger.Abandon(ctx, grant.Token)
		return InvocationAnswer{}, f
	}
	ans, f := o.granted(ctx, grant)
	o.release(ticket, f != nil)
	return ans, f
}

// fromGrant is the answer that the ledger has.
func fromGrant(g ledger.Grant) (InvocationAnswer, *fleet.Failure) {
	if g.Decision != ledger.Replay {
		return InvocationAnswer{}, g.Failure
	}
	if g.Answer.Failed {
		return InvocationAnswer{}, &fleet.Failure{State: fleet.Done, Reason: fleet.ReasonBackendFailed, Message: g.Answer.Message}
	}
	return InvocationAnswer{Body: g.Answer.Body, Replayed: true}, nil
}

// granted sends the request if the ledger lets it. Attempts that provably did
// not run are followed by others under the same intent.
func (o *onceCall) granted(ctx context.Context, grant ledger.Grant) (InvocationAnswer, *fleet.Failure) {
	if grant.Decision != ledger.Run {
		return fromGrant(grant)
	}
	o.token = grant.Token
	for {
		t, f := o.choose(ctx)
		if f == nil && !o.d.cfg.Ledger.Holds(o.token) {
			f = o.fail(fleet.ReasonStale, spread(retryAfterFailed), notHeldMessage)
		}
		if f != nil {
			o.d.cfg.Ledger.Abandon(ctx, o.token)
			return InvocationAnswer{}, f
		}
		res, answered := o.send(ctx, t)
		if !answered {
			return InvocationAnswer{}, o.uncertain(t, "the call was sent and its answer has not come")
		}
		if !unsent(res.cause) {
			return o.settle(ctx, t, res)
		}
		o.sent = false
		if f := o.again(ctx, t, res.cause); f != nil {
			o.d.cfg.Ledger.Abandon(ctx, o.token)
			return InvocationAnswer{}, f
		}
	}
}

// reply is what came of a sent call.
type reply struct {
	body  []byte
	cause error
}

// send sends the call once. The call outlives its caller, so that its outcome
// is recorded even when it comes too late for this answer; answered is false
// then.
func (o *onceCall) send(ctx context.Context, t target) (res reply, answered bool) {
	if o.sent {
		invariant.Check(false, "dispatch.send-once", "request %s key %q would be sent again", o.id, o.key.Caller)
	}
	o.sent = true
	callCtx, cancel := o.outlive(ctx)
	o.begin(t)
	replies := make(chan reply, 1)
	o.d.later(func() {
		defer cancel()
		ans, err := o.d.cfg.Plains.Call(callCtx, t.Address, o.message(t))
		body, cause := checkAnswer(o.id, t.attempt, ans, err)
		o.end(t, sentCause(cause))
		replies <- reply{body: body, cause: cause}
	})
	select {
	case res = <-replies:
		return res, true
	case <-ctx.Done():
	case <-o.hopeless(ctx, t):
	}
	o.d.inFlight.Add(1)
	o.d.later(func() { o.late(callCtx, t, replies) })
	return reply{}, false
}

// outlive returns the context of a call that goes on after its caller's.
func (o *onceCall) outlive(ctx context.Context) (context.Context, context.CancelFunc) {
	limit := o.d.cfg.OutcomeGrace
	if deadline, ok := ctx.Deadline(); ok {
		limit += time.Until(deadline)
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), limit)
	stop := context.AfterFunc(o.d.background, cancel)
	return ctx, func() { stop(); cancel() }
}

// hopeless is closed a little after the instance can no longer be trusted to
// answer.
func (o *onceCall) hopeless(ctx context.Context, t target) <-chan struct{} {
	closed := make(chan struct{})
	go func() {
		select {
		case <-o.d.cfg.Router.Lapsed(t.Group, t.Epoch):
		case <-ctx.Done():
			return
		}
		timer := time.NewTimer(lapsePatience)
		defer timer.Stop()
		select {
		case <-timer.C:
			close(closed)
		case <-ctx.Done():
		}
	}()
	return closed
}

// settle records what came of the call and answers the caller.
func (o *onceCall) settle(ctx context.Context, t target, res reply) (InvocationAnswer, *fleet.Failure) {
	if f := answerFailure(res.cause); f != nil {
		o.d.cfg.Ledger.Finish(ctx, o.token, failedAnswer(f.Message))
		return InvocationAnswer{}, f
	}
	if res.cause != nil {
		o.failed(t, res.cause)
		o.d.cfg.Ledger.Doubt(ctx, o.token)
		return InvocationAnswer{}, o.uncertain(t, "the call was sent and got no answer that can be trusted: "+res.cause.Error())
	}
	o.d.cfg.Ledger.Finish(ctx, o.token, ledger.AnswerOf(res.body))
	return InvocationAnswer{Body: res.body}, nil
}

// late records the outcome of a call whose caller has had its answer.
func (o *onceCall) late(ctx context.Context, t target, replies <-chan reply) {
	defer o.d.leave()
	res := <-replies
	if unsent(res.cause) {
		o.d.cfg.Ledger.Abandon(ctx, o.token)
		return
	}
	_, f := o.settle(ctx, t, res)
	if f == nil || f.State == fleet.Done {
		o.d.cfg.Events.Emit(eventLateOutcome, "request", o.id, "attempt", t.attempt, "key", o.key.Caller)
	}
}

// uncertain is the failure of a call that may have run.
func (o *onceCall) uncertain(t target, message string) *fleet.Failure {
	o.d.metrics.uncertain.Inc(1)
	o.d.cfg.Events.Emit(eventUncertain, "request", o.id, "attempt", t.attempt, "instance", t.Group, "key", o.key.Caller)
	return fleet.Uncertain(fleet.ReasonBackendFailed, spread(retryAfterFailed), "%s", message)
}

// failedAnswer is the recorded form of an error that the service answered
// with.
func failedAnswer(message string) ledger.Answer {
	a := ledger.AnswerOf(nil)
	a.Failed = true
	a.Message = message[:min(len(message), maxMessage)]
	return a
}
