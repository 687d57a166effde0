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
	"carawayproxy.example/caraway/internal/memory"
	"carawayproxy.example/caraway/internal/routing"
	"carawayproxy.example/caraway/internal/service"
	"carawayproxy.example/caraway/internal/suspect"
)

// Causes for which an attempt is canceled or its answer is discarded.
var (
	errGroupLost       = errors.New("the group can no longer be trusted to answer")
	errStalled         = errors.New("no token within the bound")
	errStraggler       = errors.New("tokens come too slowly")
	errCrossed         = errors.New("the answer names another request")
	errTokenGap        = errors.New("a token is missing")
	errTokenCount      = errors.New("the end does not match the tokens")
	errVersionMismatch = errors.New("the answer is of another version")
	errTooManyTokens   = errors.New("more tokens than asked for")
	errTruncated       = errors.New("the stream ended without its end")
)

// target is a group selected for one attempt. rechecked is set once
// Router.Recheck has accepted the group.
type target struct {
	routing.Candidate
	attempt   fleet.AttemptID
	rechecked bool
	isolated  bool // no other request of this daemon is sent to the group
	number    int  // of the attempt, from 1
	progress  *progress
}

// attempts is the state shared by all attempts of one request.
type attempts struct {
	d             *Dispatcher
	id            fleet.RequestID
	spec          *service.Spec
	subjects      suspect.Subjects
	route         routing.Request
	attemptLimit  int              // zero: the limit of the service applies
	sentCount     int              // attempts started so far
	firstSentAt   time.Time        // start of the first attempt
	mayHaveRun    bool             // at least one attempt may have run
	nextDecision  *attemptDecision // routed in advance for the next attempt
	retryReserved bool             // the retry budget has been charged for the next attempt
	crashCount    int              // attempts that failed as if their server had ended
	givenUpCount  int              // attempts given up before they had a connection
	givenUp       []fleet.GroupID  // their groups, until no other group is left
}

// selectTarget picks the group of the next attempt and rechecks it immediately
// before use. The deadline and the catalog's age are checked again last, since
// the process may have been paused in between.
func (a *attempts) selectTarget(ctx context.Context) (target, *fleet.Failure) {
	for range maxRechecks {
		if f := a.checkProceed(ctx); f != nil {
			return target{}, f
		}
		dec := a.takeDecision()
		if dec.Chosen == nil {
			return target{}, a.noGroupFailure(dec.Decision)
		}
		t := target{Candidate: *dec.Chosen, attempt: dec.attempt, isolated: a.route.Exclusive, number: a.sentCount + 1, progress: &progress{}}
		t.rechecked = a.d.cfg.Router.Recheck(t.Candidate)
		if !t.rechecked {
			a.avoid(t.Candidate)
			continue
		}
		if f := a.checkProceed(ctx); f != nil {
			return target{}, f
		}
		if a.d.cfg.Router.Charge(t.Candidate) {
			return t, nil
		}
		a.d.metrics.rateLimited.Inc(1)
	}
	return target{}, a.noGroupFailure(routing.Decision{})
}

// checkProceed returns a failure if the request's time is over or the catalog
// is out of date. It reads the clock because a context's timer fires late in a
// process that was paused.
func (a *attempts) checkProceed(ctx context.Context) *fleet.Failure {
	if f := a.checkContext(ctx); f != nil {
		return f
	}
	if _, f := a.d.cfg.CatalogSource.Catalog(); f != nil {
		return a.newFailure(f.Reason, f.RetryAfter, f.Message)
	}
	return nil
}

// checkContext returns a failure if the deadline has passed or the caller has
// disconnected.
func (a *attempts) checkContext(ctx context.Context) *fleet.Failure {
	deadline, ok := ctx.Deadline()
	if ctx.Err() == context.DeadlineExceeded || (ok && !time.Now().Before(deadline)) {
		return a.newFailure(fleet.ReasonDeadline, withJitter(retryAfterDeadline), "the request did not end before its deadline")
	}
	if ctx.Err() != nil {
		return a.newFailure(fleet.ReasonCanceled, 0, "the caller went away")
	}
	return nil
}

// avoid excludes a group from further attempts and makes its fabric domain
// less preferred.
func (a *attempts) avoid(c routing.Candidate) {
	if slices.Contains(a.route.FailedGroups, c.Group) {
		return
	}
	a.route.FailedGroups = append(a.route.FailedGroups, c.Group)
	if c.Fabric != "" && !slices.Contains(a.route.AvoidFabric, c.Fabric) {
		a.route.AvoidFabric = append(a.route.AvoidFabric, c.Fabric)
	}
}

// prepareRetry records a failed attempt and prepares the next one, including
// the backoff. It returns the final failure if there is to be no further
// attempt.
func (a *attempts) prepareRetry(ctx context.Context, t target, cause error) *fleet.Failure {
	a.recordFailure(t, cause)
	if f := a.checkContext(ctx); f != nil {
		return f
	}
	if a.sentCount >= a.maxAttempts() {
		return a.newFailure(fleet.ReasonBackendFailed, withJitter(retryAfterFailed), "every attempt failed, the last one: "+cause.Error())
	}
	a.d.awaitDecision(ctx, a.id, a.subjects, a.crashCount)
	if f := a.checkContext(ctx); f != nil {
		return f
	}
	alone, f := a.d.checkSuspect(a.id, a.spec.Service, a.subjects)
	if f != nil {
		return a.newFailure(f.Reason, f.RetryAfter, f.Message)
	}
	a.route.Exclusive = a.route.Exclusive || alone
	if a.nextDecision == nil {
		dec := a.routeAnew()
		a.nextDecision = &dec
	}
	if a.nextDecision.Chosen == nil {
		return a.newFailure(fleet.ReasonBackendFailed, retryAfterNone(a.nextDecision.Decision), "the attempt failed and no other group is left: "+cause.Error())
	}
	if !a.reserveRetry() {
		return a.newFailure(fleet.ReasonBackendFailed, withJitter(retryAfterFailed), "the attempt failed and the service's retries are used up: "+cause.Error())
	}
	a.d.metrics.retries.Inc(1)
	if !isGivenUpDial(cause) { // a wait would relieve no server
		a.backoff(ctx)
	}
	return nil
}

// maxAttempts returns the attempt limit of the request: its own, else that of
// the service, else the default.
func (a *attempts) maxAttempts() int {
	return orDefault(a.attemptLimit, orDefault(a.spec.Limits.MaxAttempts, defaultMaxAttempts))
}

// reserveRetry charges the service's retry budget for the next attempt, at
// most once per attempt. It returns false if the budget is exhausted.
func (a *attempts) reserveRetry() bool {
	if !a.retryReserved {
		a.retryReserved = a.d.budgetOf(a.spec).Allow()
	}
	if !a.retryReserved {
		a.d.metrics.noBudget.Inc(1)
	}
	return a.retryReserved
}

// recordFailure updates run state, metrics and events for a failed attempt and
// excludes its group from further attempts.
func (a *attempts) recordFailure(t target, cause error) {
	a.recordOutcome(t, cause)
	a.logFailure(t, cause)
}

// recordOutcome updates the run state for a failed attempt and excludes its group
// from further attempts.
func (a *attempts) recordOutcome(t target, cause error) {
	if !provablyNotRun(cause) {
		a.mayHaveRun = true
	}
	if mayBeCrash(cause) && !provablyNotRun(cause) {
		a.crashCount++
	}
	a.avoid(t.Candidate)
}

// logFailure updates metrics and events for a failed attempt, once. It may be
// called while another attempt is planned.
func (a *attempts) logFailure(t target, cause error) {
	if !t.progress.markLogged() {
		return
	}
	a.d.countFailure(cause)
	age, silent, events := t.progress.summary(time.Now())
	a.d.cfg.Events.Emit(eventAttemptFailed, "request", a.id, "attempt", t.attempt, "group", t.Group, "address", t.Address, "cause", cause,
		"ended_by", endedBy(cause), "age", age.Round(time.Millisecond), "silent", silent.Round(time.Millisecond), "events", events,
		"number", t.number, "allowed", a.maxAttempts())
	if isCrossed(cause) {
		a.d.cfg.Events.Emit(eventCrossed, "request", a.id, "attempt", t.attempt, "group", t.Group, "address", t.Address)
	}
}

// logSuperseded logs the end of an attempt for which another one answers.
func (a *attempts) logSuperseded(t target) {
	age, silent, events := t.progress.summary(time.Now())
	a.d.cfg.Events.Emit(eventSuperseded, "request", a.id, "attempt", t.attempt, "group", t.Group, "address", t.Address,
		"age", age.Round(time.Millisecond), "silent", silent.Round(time.Millisecond), "events", events, "number", t.number, "allowed", a.maxAttempts())
}

// endedBy returns what ended an attempt.
func endedBy(cause error) string {
	switch {
	case errors.Is(cause, errGroupLost):
		return "loss of the group"
	case errors.Is(cause, errStalled), errors.Is(cause, errStraggler):
		return "silence"
	case errors.Is(cause, errCallerGone), errors.Is(cause, context.Canceled):
		return "caller"
	case errors.Is(cause, context.DeadlineExceeded):
		return "deadline"
	case isGivenUpDial(cause):
		return "dial"
	case provablyNotRun(cause):
		return "refusal"
	default:
		return "answer or connection"
	}
}

// isCrossed reports whether an answer carried the ids of another request or
// attempt.
func isCrossed(cause error) bool {
	return errors.Is(cause, errCrossed) || errors.Is(cause, backend.ErrRequestMismatch)
}

func (d *Dispatcher) countFailure(cause error) {
	switch {
	case isCrossed(cause):
		d.metrics.crossed.Inc(1)
	case errors.Is(cause, errGroupLost):
		d.metrics.groupLost.Inc(1)
	case errors.Is(cause, errStalled), errors.Is(cause, errStraggler):
		d.metrics.stalled.Inc(1)
	case isGivenUpDial(cause):
		d.metrics.dialsGivenUp.Inc(1)
	default:
		d.metrics.broken.Inc(1)
	}
}

// backoff waits with exponential backoff and jitter, or until ctx is done.
func (a *attempts) backoff(ctx context.Context) {
	limit := min(a.d.cfg.BackoffBase<<max(a.sentCount-1, 0), a.d.cfg.BackoffMax)
	sleepFor(ctx, limit/2+rand.N(limit/2+1))
}

// sleepFor waits for a duration. It returns false if ctx ends first.
func sleepFor(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// newFailure returns the request's final failure, with the run state that
// follows from the attempts made.
func (a *attempts) newFailure(reason fleet.Reason, retryAfter time.Duration, message string) *fleet.Failure {
	f := &fleet.Failure{State: fleet.NotRun, Reason: reason, RetryAfter: retryAfter, Message: message}
	if a.mayHaveRun {
		f.State = fleet.MayHaveRun
	}
	return f
}

// retryAfterNone returns the Retry-After of a request for whose next attempt no
// group is left.
func retryAfterNone(dec routing.Decision) time.Duration {
	if dec.Paused {
		return withJitter(max(min(dec.RateWait, retryAfterRateMax), retryAfterPauseMin))
	}
	return withJitter(retryAfterFailed)
}

// noGroupFailure returns the failure of a request that, by a decision, no group can
// take.
func (a *attempts) noGroupFailure(dec routing.Decision) *fleet.Failure {
	if a.route.Exclusive {
		return a.newFailure(fleet.ReasonSuspect, withJitter(retryAfterAlone), "the request was in flight when groups died and runs alone; no group is idle now")
	}
	if dec.Evacuated {
		a.d.metrics.evacuated.Inc(1)
		return a.newFailure(fleet.ReasonNoGroup, withJitter(retryAfterNoGroup), "all backend servers of the service are in availability zones that are evacuated")
	}
	if dec.Paused {
		a.d.metrics.rateLimited.Inc(1)
		return a.newFailure(fleet.ReasonOverloaded, retryAfterNone(dec), "the service's backend servers want no requests from this daemon now")
	}
	if dec.RateWait > 0 {
		a.d.metrics.rateLimited.Inc(1)
		wait := max(min(dec.RateWait, retryAfterRateMax), retryAfterNoGroup)
		return a.newFailure(fleet.ReasonOverloaded, withJitter(wait), "the request rates that the service's backend servers announced are used up")
	}
	return a.newFailure(fleet.ReasonNoGroup, withJitter(retryAfterNoGroup), "no whole, healthy group can take the request now")
}

// startAttempt registers an attempt immediately before it is sent.
func (a *attempts) startAttempt(t target) {
	if !t.rechecked {
		invariant.Check(false, "dispatch.whole-group", "attempt %s of request %s sent to group %s epoch %d without a recheck", t.attempt, a.id, t.Group, t.Epoch)
	}
	if a.sentCount == 0 {
		a.firstSentAt = time.Now()
	}
	a.sentCount++
	a.retryReserved = false
	t.progress.recordSent()
	a.d.metrics.attempts.Inc(1)
	if t.isolated {
		a.d.isolated.add(t.Group)
	}
	a.d.cfg.Router.Started(t.Group, a.route.MaxTokens)
	a.d.cfg.Suspects.Started(t.Group, t.Epoch, a.subjects)
}

// endAttempt unregisters an attempt. An attempt that failed after it was sent
// stays registered with the suspect tracker until its group is known to have
// survived or died.
func (a *attempts) endAttempt(t target, cause error) {
	if t.isolated {
		a.d.isolated.remove(t.Group)
	}
	a.d.cfg.Router.Ended(t.Group, a.route.MaxTokens)
	switch {
	case cause == nil || provablyNotRun(cause):
		a.d.cfg.Suspects.Ended(t.Group, t.Epoch, a.subjects, cause == nil && !t.progress.answeredError())
	case a.d.cfg.LivenessProber != nil:
		if !mayBeCrash(cause) {
			a.d.cfg.Suspects.Ended(t.Group, t.Epoch, a.subjects, false)
			return
		}
		a.d.runInBackground(func() { a.d.probeAfterFailure(t, a.subjects) })
	case errors.Is(cause, errGroupLost):
		a.d.cfg.Suspects.GroupDied(t.Group, t.Epoch, t.Fabric, t.Service)
		a.d.cfg.Suspects.Ended(t.Group, t.Epoch, a.subjects, false)
	default:
		a.d.runInBackground(func() { a.d.awaitGroupDeath(t, a.subjects) })
	}
}

// mayBeCrash reports whether an attempt may have failed because its server
// ended. Attempts that this daemon canceled and error answers are not.
func mayBeCrash(cause error) bool {
	for _, other := range []error{errCallerGone, errSuperseded, errBackendError, errNotContinuation, memory.ErrSize, memory.ErrShort, errEventSize, context.Canceled, context.DeadlineExceeded} {
		if errors.Is(cause, other) {
			return false
		}
	}
	return true
}

// probeAfterFailure reports the group's death to the suspect tracker if its
// server has ended, and then the attempt's end. A server that is about to end
// may accept connections for a moment longer.
func (d *Dispatcher) probeAfterFailure(t target, subjects suspect.Subjects) {
	ended := d.cfg.LivenessProber.HasEnded(d.background, t.Address, answerEndWatch)
	if !ended && sleepFor(d.background, d.cfg.ProbeDelay) {
		ended = d.cfg.LivenessProber.HasEnded(d.background, t.Address, answerEndWatch)
	}
	if ended {
		d.cfg.Suspects.GroupDied(t.Group, t.Epoch, t.Fabric, t.Service)
	}
	d.cfg.Suspects.Ended(t.Group, t.Epoch, subjects, false)
}

// awaitGroupDeath waits up to DeathGrace after a failed attempt, reports the
// group's death to the suspect tracker if the group is lost in that time, and
// then reports the attempt's end.
func (d *Dispatcher) awaitGroupDeath(t target, subjects suspect.Subjects) {
	timer := time.NewTimer(d.cfg.DeathGrace)
	defer timer.Stop()
	select {
	case <-d.cfg.Router.GroupLost(t.Group, t.Epoch):
		d.cfg.Suspects.GroupDied(t.Group, t.Epoch, t.Fabric, t.Service)
	case <-timer.C:
	case <-d.background.Done():
	}
	d.cfg.Suspects.Ended(t.Group, t.Epoch, subjects, false)
}

// provablyNotRun reports whether the cause proves that the attempt did not run.
func provablyNotRun(cause error) bool {
	return errors.Is(cause, backend.ErrNotSent) || errors.Is(cause, backend.ErrRefused)
}
