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

// Invoke runs a method of a plain service. It returns the whole answer, or
// the failure with its true run state. A failure in state Done carries the
// error that the service itself answered with.
func (d *Dispatcher) Invoke(ctx context.Context, i Invocation) (InvocationAnswer, *fleet.Failure) {
	f := d.enter()
	if f == nil {
		defer d.leave()
		var ans InvocationAnswer
		ans, f = d.invoke(ctx, i)
		if f == nil {
			return ans, nil
		}
	}
	d.refused(i.ID, i.Service, i.Workspace, f)
	return InvocationAnswer{}, f
}

func (d *Dispatcher) invoke(ctx context.Context, i Invocation) (InvocationAnswer, *fleet.Failure) {
	cat, f := d.cfg.Knowledge.Catalog()
	if f != nil {
		return InvocationAnswer{}, f
	}
	spec, ws, f := findService(cat, i.Service, i.Workspace, fleet.KindPlain)
	if f != nil {
		return InvocationAnswer{}, f
	}
	method, f := findMethod(spec, i)
	if f != nil {
		return InvocationAnswer{}, f
	}
	ctx, cancel, f := d.deadline(ctx, spec.Limits)
	if f != nil {
		return InvocationAnswer{}, f
	}
	defer cancel()
	c := d.newInvocation(spec, ws, i)
	if method.Idempotent {
		return c.repeatable(ctx)
	}
	return c.once(ctx)
}

// invocation is one call on its way.
type invocation struct {
	attempts
	req Invocation
	ws  service.WorkspaceSpec
}

func (d *Dispatcher) newInvocation(spec *service.Spec, ws service.WorkspaceSpec, i Invocation) *invocation {
	c := &invocation{req: i, ws: ws}
	version := fleet.Version(i.Method)
	c.attempts = attempts{d: d, id: i.ID, spec: spec, print: suspect.FingerprintOf(i.Service, version, i.Body)}
	c.route = routing.Request{Service: i.Service, Workspace: i.Workspace, Zone: d.cfg.Zone}
	d.budgetOf(spec).Request()
	return c
}

// place checks the request's standing, routes it and asks admission.
func (c *invocation) place(ctx context.Context) (Ticket, *fleet.Failure) {
	alone, f := c.d.standing(c.id, c.spec.Service, c.print)
	if f != nil {
		return nil, f
	}
	c.route.Alone = alone
	dec := c.routeNow()
	if dec.Chosen == nil {
		return nil, c.noGroup()
	}
	c.next = &dec
	return c.d.admit(ctx, c.spec, c.ws, dec.Decision)
}

// release gives the call's place back. Its time counts from the first attempt:
// a wait for the ledger says nothing of the backend servers' load.
func (c *invocation) release(t Ticket, failed bool) {
	now := time.Now()
	if c.made == 0 {
		t.Release(now, admission.Result{Failed: true})
		return
	}
	took := now.Sub(c.began)
	t.Release(now, admission.Result{FirstToken: took, Total: took, Failed: failed})
}

// repeatable runs a method that may be tried again.
func (c *invocation) repeatable(ctx context.Context) (InvocationAnswer, *fleet.Failure) {
	ticket, f := c.place(ctx)
	if f != nil {
		return InvocationAnswer{}, f
	}
	ans, f := c.tries(ctx)
	c.release(ticket, f != nil)
	return ans, f
}

func (c *invocation) tries(ctx context.Context) (InvocationAnswer, *fleet.Failure) {
	for {
		t, f := c.choose(ctx)
		if f != nil {
			return InvocationAnswer{}, f
		}
		body, cause := c.try(ctx, t)
		if cause == nil {
			return InvocationAnswer{Body: body}, nil
		}
		if f := answerFailure(cause); f != nil {
			return InvocationAnswer{}, f
		}
		if f := c.again(ctx, t, cause); f != nil {
			return InvocationAnswer{}, f
		}
	}
}

// try sends one idempotent call.
func (c *invocation) try(ctx context.Context, t target) (body []byte, cause error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	c.begin(t)
	defer func() { c.end(t, sentCause(cause)) }()
	go lapse(ctx, cancel, c.d.cfg.Router.Lapsed(t.Group, t.Epoch))
	ans, err := c.d.cfg.Plains.Call(ctx, t.Address, c.message(t))
	return checkAnswer(c.id, t.attempt, ans, givenUp(ctx, err))
}

func (c *invocation) message(t target) backend.Call {
	return backend.Call{Request: c.id, ID: t.attempt, Service: c.req.Service, Method: c.req.Method, Body: c.req.Body}
}

// checkAnswer returns the body of an answer that belongs to the attempt.
func checkAnswer(id fleet.RequestID, attempt fleet.AttemptID, ans backend.CallAnswer, err error) ([]byte, error) {
	if err != nil {
		return nil, err
	}
	if ans.Request != id || ans.Attempt != attempt {
		return nil, errCrossed
	}
	return ans.Body, nil
}

// answerFailure returns the failure for an error that the service itself
// answered with, nil for any other cause.
func answerFailure(cause error) *fleet.Failure {
	var answered *backend.AnswerError
	if !errors.As(cause, &answered) {
		return nil
	}
	return &fleet.Failure{State: fleet.Done, Reason: fleet.ReasonBackendFailed, Message: answered.Message}
}

// sentCause leaves out an error that is an answer: the attempt did not fail.
func sentCause(cause error) error {
	if answerFailure(cause) != nil {
		return nil
	}
	return cause
}
