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

// Invoke calls a method of a plain service. It returns the complete answer, or
// the failure with the run state of the request. A failure in state Done
// carries the error that the service itself answered with.
func (d *Dispatcher) Invoke(ctx context.Context, i Invocation) (InvocationAnswer, *fleet.Failure) {
	f := d.beginRequest()
	if f == nil {
		defer d.endRequest()
		var ans InvocationAnswer
		ans, f = d.invoke(ctx, i)
		if f == nil {
			return ans, nil
		}
	}
	d.reportFailure(i.ID, i.Service, i.Workspace, f)
	return InvocationAnswer{}, f
}

func (d *Dispatcher) invoke(ctx context.Context, i Invocation) (InvocationAnswer, *fleet.Failure) {
	cat, f := d.cfg.CatalogSource.Catalog()
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
	ctx, cancel, f := d.withDeadline(ctx, spec.Limits)
	if f != nil {
		return InvocationAnswer{}, f
	}
	defer cancel()
	c := d.newInvocation(spec, ws, i)
	if method.Idempotent {
		return c.runIdempotent(ctx)
	}
	return c.runOnce(ctx)
}

// invocation is the state of one call.
type invocation struct {
	attempts
	req Invocation
	ws  service.WorkspaceSpec
}

func (d *Dispatcher) newInvocation(spec *service.Spec, ws service.WorkspaceSpec, i Invocation) *invocation {
	c := &invocation{req: i, ws: ws}
	version := fleet.Version(i.Method)
	c.attempts = attempts{d: d, id: i.ID, spec: spec, subjects: suspect.Subjects{Request: suspect.FingerprintOf(i.Service, version, i.Body)}}
	c.route = routing.Request{Service: i.Service, Workspace: i.Workspace, Zone: d.cfg.Zone}
	d.budgetOf(spec).Request()
	return c
}

// routeAndAdmit checks the request against the suspects, routes it and requests
// admission.
func (c *invocation) routeAndAdmit(ctx context.Context) (Ticket, *fleet.Failure) {
	alone, f := c.d.checkSuspect(c.id, c.spec.Service, c.subjects)
	if f != nil {
		return nil, f
	}
	c.route.Exclusive = alone
	dec := c.routeNow()
	if dec.Chosen == nil {
		return nil, c.noGroupFailure(dec.Decision)
	}
	c.nextDecision = &dec
	return c.d.admit(ctx, c.spec, c.ws, dec.Decision)
}

// releaseTicket releases the call's ticket. The reported duration starts at the
// first attempt, since the wait for the ledger does not reflect the load of the
// backend servers.
func (c *invocation) releaseTicket(t Ticket, failed bool) {
	now := time.Now()
	if c.sentCount == 0 {
		t.Release(now, admission.Result{Failed: true})
		return
	}
	took := now.Sub(c.firstSentAt)
	t.Release(now, admission.Result{FirstToken: took, Total: took, Failed: failed})
}

// runIdempotent runs a method that may be retried.
func (c *invocation) runIdempotent(ctx context.Context) (InvocationAnswer, *fleet.Failure) {
	ticket, f := c.routeAndAdmit(ctx)
	if f != nil {
		return InvocationAnswer{}, f
	}
	ans, f := c.runAttempts(ctx)
	c.releaseTicket(ticket, f != nil)
	return ans, f
}

func (c *invocation) runAttempts(ctx context.Context) (InvocationAnswer, *fleet.Failure) {
	for {
		t, f := c.selectTarget(ctx)
		if f != nil {
			return InvocationAnswer{}, f
		}
		body, cause := c.attempt(ctx, t)
		if cause == nil {
			return InvocationAnswer{Body: body}, nil
		}
		if f := answerFailure(cause); f != nil {
			return InvocationAnswer{}, f
		}
		if f := c.prepareRetry(ctx, t, cause); f != nil {
			return InvocationAnswer{}, f
		}
	}
}

// attempt sends one idempotent call.
func (c *invocation) attempt(ctx context.Context, t target) (body []byte, cause error) {
	c.startAttempt(t)
	defer func() { c.endAttempt(t, attemptFailure(cause)) }()
	ans, err := c.d.cfg.Plains.Call(ctx, t.Address, c.message(t))
	return checkAnswer(c.id, t.attempt, ans, err)
}

func (c *invocation) message(t target) backend.Call {
	return backend.Call{Request: c.id, ID: t.attempt, Service: c.req.Service, Method: c.req.Method, Body: c.req.Body}
}

// checkAnswer returns the body of an answer, or errCrossed if the answer
// belongs to another attempt.
func checkAnswer(id fleet.RequestID, attempt fleet.AttemptID, ans backend.CallResponse, err error) ([]byte, error) {
	if err != nil {
		return nil, err
	}
	if ans.Request != id || ans.Attempt != attempt {
		return nil, errCrossed
	}
	return ans.Body, nil
}

// answerFailure returns the failure for an error that the service itself
// answered with, and nil for any other cause.
func answerFailure(cause error) *fleet.Failure {
	var answered *backend.AnswerError
	if !errors.As(cause, &answered) {
		return nil
	}
	return &fleet.Failure{State: fleet.Done, Reason: fleet.ReasonBackendFailed, Message: answered.Message}
}

// attemptFailure returns cause, or nil if it is an error that the service
// itself answered with: such an attempt did not fail.
func attemptFailure(cause error) error {
	if answerFailure(cause) != nil {
		return nil
	}
	return cause
}
