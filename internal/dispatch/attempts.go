package dispatch

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/pkg/errors"

	"carawayproxy.example/caraway/internal/backend"
	"carawayproxy.example/caraway/internal/fleet"
	"carawayproxy.example/caraway/internal/invariant"
	"carawayproxy.example/caraway/internal/routing"
	"carawayproxy.example/caraway/internal/service"
	"carawayproxy.example/caraway/internal/suspect"
)

// Causes for which an attempt is given up or its answer is not taken.
var (
	errLapsed    = errors.New("the group can no longer be trusted to answer")
	errStalled   = errors.New("no token within the bound")
	errStraggler = errors.New("tokens come too slowly")
	errCrossed   = errors.New("the answer names another request")
	errGap       = errors.New("a token is missing")
	errCount     = errors.New("the end does not match the tokens")
	errVersion   = errors.New("the answer is of another version")
	errTooMany   = errors.New("more tokens than asked for")
	errTruncated = errors.New("the stream ended without its end")
)

// target is a group that passed the wholeness gate for one attempt.
type target struct {
	routing.Candidate
	attempt   fleet.AttemptID
	rechecked bool
}

// attempts is the state that the tries of one request share.
type attempts struct {
	d          *Dispatcher
	id         fleet.RequestID
	spec       *service.Spec
	print      suspect.Fingerprint
	route      routing.Request
	most       int // attempts, zero for the service's limit
	made       int
	began      time.Time // of the first attempt
	mayHaveRun bool      // an attempt may have run
	next       *choice   // made ahead, for the next attempt
	paid       bool      // the next attempt is paid for
}

// choose picks the group of the next attempt and asks the gate immediately
// before it is used. What the daemon knows is checked again last, for the
// process may have been paused since.
func (a *attempts) choose(ctx context.Context) (target, *fleet.Failure) {
	for range maxRechecks {
		if f := a.stale(ctx); f != nil {
			return target{}, f
		}
		dec := a.decide()
		if dec.Chosen == nil {
			return target{}, a.noGroup()
		}
		t := target{Candidate: *dec.Chosen, attempt: dec.attempt}
		t.rechecked = a.d.cfg.Router.Recheck(t.Candidate)
		if t.rechecked {
			return t, a.stale(ctx)
		}
		a.avoid(t.Candidate)
	}
	return target{}, a.noGroup()
}

// stale refuses to go on with old knowledge or after the request's time. The
// clock is asked, for a context's timer is late in a process that was paused.
func (a *attempts) stale(ctx context.Context) *fleet.Failure {
	if f := a.over(ctx); f != nil {
		return f
	}
	if _, f := a.d.cfg.Knowledge.Catalog(); f != nil {
		return a.fail(f.Reason, f.RetryAfter, f.Message)
	}
	return nil
}

// over returns the failure of a request whose time is over or whose caller
// has gone.
func (a *attempts) over(ctx context.Context) *fleet.Failure {
	deadline, ok := ctx.Deadline()
	if ctx.Err() == context.DeadlineExceeded || (ok && !time.Now().Before(deadline)) {
		return a.fail(fleet.ReasonDeadline, spread(retryAfterDeadline), "the request did not end before its deadline")
	}
	if ctx.Err() != nil {
		return a.fail(fleet.ReasonCanceled, 0, "the caller went away")
	}
	return nil
}

// avoid keeps the following attempts from a group and, where there is a
// choice, from its fabric domain.
func (a *attempts) avoid(c routing.Candidate) {
	if slices.Contains(a.route.Tried, c.Group) {
		return
	}
	a.route.Tried = append(a.route.Tried, c.Group)
	if c.Fabric != "" && !slices.Contains(a.route.AvoidFabric, c.Fabric) {
		a.route.AvoidFabric = append(a.route.AvoidFabric, c.Fabric)
	}
}

// again decides whether a failed attempt is followed by another one, and
// returns the final failure when not. It waits the backoff.
func (a *attempts) again(ctx context.Context, t target, cause error) *fleet.Failure {
	a.failed(t, cause)
	if f := a.over(ctx); f != nil {
		return f
	}
	if a.made >= a.maxAttempts() {
		return a.fail(fleet.ReasonBackendFailed, spread(retryAfterFailed), "every attempt failed, the last one: "+cause.Error())
	}
	alone, f := a.d.standing(a.id, a.spec.Service, a.print)
	if f != nil {
		return a.fail(f.Reason, f.RetryAfter, f.Message)
	}
	a.route.Alone = a.route.Alone || alone
	if a.next == nil {
		dec := a.routeNow()
		a.next = &dec
	}
	if a.next.Chosen == nil {
		return a.fail(fleet.ReasonBackendFailed, spread(retryAfterFailed), "the attempt failed and no other group is left: "+cause.Error())
	}
	if !a.pay() {
		return a.fail(fleet.ReasonBackendFailed, spread(retryAfterFailed), "the attempt failed and the service's retries are used up: "+cause.Error())
	}
	a.d.metrics.retries.Inc(1)
	a.backoff(ctx)
	return nil
}

// maxAttempts is how many attempts the request may have.
func (a *attempts) maxAttempts() int {
	return orDefault(a.most, orDefault(a.spec.Limits.MaxAttempts, defaultMaxAttempts))
}

// pay takes another attempt from the service's retry budget, once for each.
func (a *attempts) pay() bool {
	if !a.paid {
		a.paid = a.d.budgetOf(a.spec).Allow()
	}
	if !a.paid {
		a.d.metrics.noBudget.Inc(1)
	}
	return a.paid
}

// failed notes a failed attempt.
func (a *attempts) failed(t target, cause error) {
	if !unsent(cause) {
		a.mayHaveRun = true
	}
	a.avoid(t.Candidate)
	a.d.count(cause)
	a.d.cfg.Events.Emit(eventAttemptFailed, "request", a.id, "attempt", t.attempt, "group", t.Group, "address", t.Address, "cause", cause)
	if crossed(cause) {
		a.d.cfg.Events.Emit(eventCrossed, "request", a.id, "attempt", t.attempt, "group", t.Group, "address", t.Address)
	}
}

// crossed reports whether an answer named another request or attempt.
func crossed(cause error) bool {
	return errors.Is(cause, errCrossed) || errors.Is(cause, backend.ErrCrossed)
}

func (d *Dispatcher) count(cause error) {
	switch {
	case crossed(cause):
		d.metrics.crossed.Inc(1)
	case errors.Is(cause, errLapsed):
		d.metrics.lapsed.Inc(1)
	case errors.Is(cause, errStalled), errors.Is(cause, errStraggler), errors.Is(cause, errSilent):
		d.metrics.stalled.Inc(1)
	default:
		d.metrics.broken.Inc(1)
	}
}

// backoff waits a little longer before each attempt.
func (a *attempts) backoff(ctx context.Context) {
	most := min(a.d.cfg.BackoffBase<<max(a.made-1, 0), a.d.cfg.BackoffMax)
	timer := time.NewTimer(most/2 + rand.N(most/2+1))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// fail makes the request's final failure with its true run state.
func (a *attempts) fail(reason fleet.Reason, retryAfter time.Duration, message string) *fleet.Failure {
	f := &fleet.Failure{State: fleet.NotRun, Reason: reason, RetryAfter: retryAfter, Message: message}
	if a.mayHaveRun {
		f.State = fleet.MayHaveRun
	}
	return f
}

func (a *attempts) noGroup() *fleet.Failure {
	if a.route.Alone {
		return a.fail(fleet.ReasonSuspect, spread(retryAfterAlone), "the request was in flight when groups died and runs alone; no group is idle now")
	}
	return a.fail(fleet.ReasonNoGroup, spread(retryAfterNoGroup), "no whole, healthy group can take the request now")
}

// begin counts an attempt in, immediately before it is sent.
func (a *attempts) begin(t target) {
	if !t.rechecked {
		invariant.Check(false, "dispatch.whole-group", "attempt %s of request %s goes to group %s epoch %d without the gate", t.attempt, a.id, t.Group, t.Epoch)
	}
	if a.made == 0 {
		a.began = time.Now()
	}
	a.made++
	a.paid = false
	a.d.metrics.attempts.Inc(1)
	if a.route.Alone {
		a.d.solo.add(t.Group)
	}
	a.d.cfg.Router.Started(t.Group, a.route.MaxTokens)
	a.d.cfg.Suspects.Started(t.Group, t.Epoch, a.print)
}

// end counts an attempt out. One that failed after it was sent stays known to
// the suspects until its group is seen to live or die.
func (a *attempts) end(t target, cause error) {
	if a.route.Alone {
		a.d.solo.remove(t.Group)
	}
	a.d.cfg.Router.Ended(t.Group, a.route.MaxTokens)
	if cause == nil || unsent(cause) {
		a.d.cfg.Suspects.Ended(t.Group, t.Epoch, a.print)
		return
	}
	if errors.Is(cause, errLapsed) {
		a.d.cfg.Suspects.Died(t.Group, t.Epoch, t.Fabric, t.Service)
		a.d.cfg.Suspects.Ended(t.Group, t.Epoch, a.print)
		return
	}
	a.d.later(func() { a.d.awaitDeath(t, a.print) })
}

// awaitDeath tells the suspects of a group's death, if it dies soon after a
// failed attempt, and then of the attempt's end.
func (d *Dispatcher) awaitDeath(t target, print suspect.Fingerprint) {
	timer := time.NewTimer(d.cfg.DeathGrace)
	defer timer.Stop()
	select {
	case <-d.cfg.Router.Lapsed(t.Group, t.Epoch):
		d.cfg.Suspects.Died(t.Group, t.Epoch, t.Fabric, t.Service)
	case <-timer.C:
	case <-d.background.Done():
	}
	d.cfg.Suspects.Ended(t.Group, t.Epoch, print)
}

// unsent reports whether an attempt provably did not run.
func unsent(cause error) bool {
	return errors.Is(cause, backend.ErrNotSent) || errors.Is(cause, backend.ErrRefused)
}
