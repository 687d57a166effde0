package dispatch

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"carawayproxy.example/caraway/internal/backend"
)

// A running attempt ends by its own connection, its deadline or its caller. What
// the daemon believes of a group (that it has stalled, that it has left the view,
// that the daemon's links are lost) may start another attempt beside a silent one.
// The first attempt that brings something that the caller lacks answers the
// request, and the others end.

// errSuperseded is the cause of an attempt that ended because another attempt
// answers the request.
var errSuperseded = errors.New("another attempt answers the request")

// runningAttempt is an attempt of a forwarded request that is under way.
type runningAttempt struct {
	target
	cancel     context.CancelCauseFunc
	connection connectState
	superseded bool // guarded by forwardedRequest.mu
}

// addRunning registers an attempt as one that may answer the request.
func (r *forwardedRequest) addRunning(a *runningAttempt) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.running = append(r.running, a)
}

// removeRunning removes an attempt that has ended.
func (r *forwardedRequest) removeRunning(a *runningAttempt) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i, other := range r.running {
		if other == a {
			r.running = append(r.running[:i], r.running[i+1:]...)
			return
		}
	}
}

// claim lets an attempt answer the request, and ends the others. It returns
// errSuperseded if another attempt already does. Called with mu held.
func (r *forwardedRequest) claim(a *runningAttempt) error {
	if a.superseded {
		return errSuperseded
	}
	if len(r.running) > 1 {
		for _, other := range r.running {
			if other != a {
				other.superseded = true
				other.cancel(errSuperseded)
			}
		}
		r.running = append(r.running[:0], a)
	}
	return nil
}

// successor is an attempt that was started beside a silent one.
type successor struct {
	cancel context.CancelCauseFunc
	done   chan struct{} // closed when the attempt has ended; the fields below are then set
	sent   bool
	target target
	cause  error // of the attempt's failure; nil if it answered the request
}

// end cancels the successor and waits until it has ended.
func (s *successor) end() {
	s.cancel(errSuperseded)
	<-s.done
}

// attemptWatch starts another attempt beside one whose server has fallen silent.
// While it runs, the watch alone plans further attempts; a successor does while it
// is under way.
type attemptWatch struct {
	r             *forwardedRequest
	attempt       *runningAttempt
	streamMonitor StreamMonitor // nil without stall detection
	cancel        context.CancelFunc
	done          chan struct{}
	successor     *successor // set when done is closed; nil if none is under way or has answered
}

// startWatch starts the watch of an attempt. ctx is the context of the request.
func (r *forwardedRequest) startWatch(ctx context.Context, a *runningAttempt) *attemptWatch {
	w := &attemptWatch{r: r, attempt: a, done: make(chan struct{})}
	if r.d.cfg.StallDetector != nil && r.req.Stream {
		w.streamMonitor = r.d.cfg.StallDetector.Attach(a.Group)
	}
	linksLost := r.linksLost()
	if isClosed(linksLost) {
		linksLost = nil // the attempt begins on a connection that leads through another daemon
	}
	watchCtx, cancel := context.WithCancel(ctx)
	w.cancel = cancel
	go func() {
		defer close(w.done)
		w.run(watchCtx, ctx, linksLost)
	}()
	return w
}

// linksLost returns a channel that is closed while this daemon's own links to the
// backend servers are lost, or nil if that is not tracked.
func (r *forwardedRequest) linksLost() <-chan struct{} {
	if r.d.cfg.LinksLost == nil {
		return nil
	}
	return r.d.cfg.LinksLost()
}

func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// stop ends the watch and returns the successor that is under way or has answered
// the request, if there is one.
func (w *attemptWatch) stop() *successor {
	w.cancel()
	<-w.done
	if w.streamMonitor != nil {
		w.streamMonitor.Detach()
	}
	return w.successor
}

func (w *attemptWatch) recordEvent() {
	w.attempt.progress.recordEvent()
	if w.streamMonitor != nil {
		w.streamMonitor.RecordEvent()
	}
}

// Reasons for which an attempt is doubted.
const (
	doubtStalled   = "group stalled"
	doubtGroupLost = "group left the view"
	doubtLinksLost = "own links lost"
)

// run waits for reasons to doubt the attempt until ctx ends. The successors' context
// is that of the request.
func (w *attemptWatch) run(ctx, requestCtx context.Context, linksLost <-chan struct{}) {
	groupLost := w.r.d.cfg.Router.GroupLost(w.attempt.Group, w.attempt.Epoch)
	slowDial, dialFailed, stop := w.connectPatience()
	defer stop()
	for {
		doubt, grace := "", w.r.d.cfg.StallGrace
		select {
		case <-w.stalled():
			doubt = doubtStalled
			if w.attempt.progress.lastEventTime().IsZero() {
				grace = 0
			}
		case <-groupLost:
			groupLost, doubt = nil, doubtGroupLost
		case <-linksLost:
			doubt = doubtLinksLost
		case <-slowDial:
			if w.giveUpDial() {
				return
			}
			continue
		case <-dialFailed:
			if dialFailed = nil; w.giveUpDial() {
				return
			}
			continue
		case <-ctx.Done():
			return
		}
		if !w.failOver(ctx, requestCtx, doubt, grace) {
			return
		}
		if linksLost != nil {
			linksLost = w.r.linksLost() // the stall detector has forgotten the attempt
		}
	}
}

// stalled returns a channel that is closed while the attempt's group is stalled, or
// nil if that is not tracked.
func (w *attemptWatch) stalled() <-chan struct{} {
	if w.streamMonitor == nil {
		return nil
	}
	return w.streamMonitor.Stalled()
}

// failOver starts attempts beside the doubted one, one after the other, until the
// doubt is dispelled. It returns false once the watch is over: the attempt or the
// request has ended, or no further attempt is allowed.
func (w *attemptWatch) failOver(ctx, requestCtx context.Context, doubt string, grace time.Duration) (goOn bool) {
	last := w.attempt.progress.lastEventTime()
	for pause := w.r.d.cfg.StallGrace; ; pause *= 2 {
		if !sleepFor(ctx, grace) {
			return false
		}
		if w.hasAnswered(last) || doubt == doubtStalled && !isClosed(w.stalled()) {
			return true
		}
		if !w.r.mayFailOver() {
			return false
		}
		var next *successor
		if w.r.prepareFailover(ctx, w.attempt.target) {
			s := w.startSuccessor(requestCtx, doubt, last)
			next = s
			select {
			case <-s.done:
			case <-ctx.Done():
				w.successor = s
				return false
			}
			switch {
			case s.sent && s.cause == nil, w.r.isSuperseded(w.attempt):
				w.successor = s
				return false
			case errors.Is(s.cause, errSuperseded):
				w.r.countNeedless(s)
				return true
			}
			w.r.settle(s)
		}
		grace = pause
		if next != nil && isGivenUpDial(next.cause) {
			grace = 0 // the group was not doubted, only its dial slow
		}
	}
}

// hasAnswered reports whether the attempt has received an event since the last one.
func (w *attemptWatch) hasAnswered(last time.Time) bool {
	return !w.attempt.progress.lastEventTime().Equal(last)
}

func (r *forwardedRequest) isSuperseded(a *runningAttempt) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return a.superseded
}

// countNeedless counts a successor whose predecessor has gone on.
func (r *forwardedRequest) countNeedless(s *successor) {
	if s.sent {
		r.d.metrics.needlessFailovers.Inc(1)
	}
}

// mayFailOver reports whether the request allows another attempt while one is
// running.
func (r *forwardedRequest) mayFailOver() bool {
	return r.req.Repeatable && r.sentCount < r.maxAttempts() && r.canContinue()
}

// canContinue reports whether the answer of another attempt could be joined to what
// the caller has received.
func (r *forwardedRequest) canContinue() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.headerSent || !r.delivered.unplaced
}

// prepareFailover plans another attempt beside a running one. It returns false if
// no other group is available, the retry budget is exhausted, or the request may
// have crashed servers.
func (r *forwardedRequest) prepareFailover(ctx context.Context, running target) bool {
	r.d.awaitDecision(ctx, r.id, r.subjects, r.crashCount)
	if alone, f := r.d.checkSuspect(r.id, r.spec.Service, r.subjects); alone || r.route.Exclusive || f != nil {
		return false
	}
	r.avoid(running.Candidate)
	dec := r.routeNow()
	if dec.Chosen == nil || !r.reserveRetry() {
		return false
	}
	r.nextDecision = &dec
	return true
}

// startSuccessor starts the planned attempt. lastEventAt is when the doubted
// attempt last received an event: nothing is sent if it has received one since.
func (w *attemptWatch) startSuccessor(ctx context.Context, doubt string, lastEventAt time.Time) *successor {
	r := w.r
	age, silent, events := w.attempt.progress.summary(time.Now())
	r.d.cfg.Events.Emit(eventFailover, "request", r.id, "attempt", w.attempt.attempt, "group", w.attempt.Group, "doubt", doubt,
		"age", age.Round(time.Millisecond), "silent", silent.Round(time.Millisecond), "events", events,
		"sent", r.sentCount, "allowed", r.maxAttempts(), "next", r.nextDecision.attempt)
	ctx, cancel := context.WithCancelCause(ctx)
	s := &successor{cancel: cancel, done: make(chan struct{})}
	go func() {
		defer close(s.done)
		defer cancel(nil)
		r.backoff(ctx)
		t, f := r.selectTarget(ctx)
		switch {
		case f != nil:
		case w.hasAnswered(lastEventAt):
			s.cause = errSuperseded
		default:
			s.sent = true
			r.d.metrics.retries.Inc(1)
			r.d.metrics.failovers.Inc(1)
			s.target, s.cause = r.attempt(ctx, t)
		}
	}()
	return s
}

// settle records the failure of a successor while the doubted attempt runs on.
func (r *forwardedRequest) settle(s *successor) {
	if s.sent {
		r.reportRefusal(s.target, s.cause)
		r.recordFailure(s.target, s.cause)
		r.refundUnsent(s.cause)
	}
}

// refundUnsent takes back an attempt that its backend server has not received, so
// that it counts against neither the attempt limit nor the retry budget.
func (r *forwardedRequest) refundUnsent(cause error) {
	if errors.Is(cause, backend.ErrNotSent) {
		r.sentCount--
		r.retryReserved = true
	}
}

// join waits for the successor of an attempt that has ended, and returns the
// attempt that decides about the request, with its outcome.
func (r *forwardedRequest) join(t target, cause error, s *successor) (target, error) {
	superseded := errors.Is(cause, errSuperseded)
	switch {
	case cause == nil, errors.Is(cause, errCallerGone):
		s.end()
		r.countNeedless(s)
		return t, cause
	case !superseded:
		r.logFailure(t, cause)
	}
	<-s.done
	if !s.sent {
		return t, cause
	}
	if !superseded {
		r.reportRefusal(t, cause)
		r.recordOutcome(t, cause)
		r.refundUnsent(cause)
	}
	return s.target, s.cause
}
