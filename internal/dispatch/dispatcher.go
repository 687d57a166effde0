package dispatch

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"carawayproxy.example/caraway/internal/admission"
	"carawayproxy.example/caraway/internal/fleet"
	"carawayproxy.example/caraway/internal/memory"
	"carawayproxy.example/caraway/internal/routing"
	"carawayproxy.example/caraway/internal/service"
	"carawayproxy.example/caraway/internal/suspect"
)

// Dispatcher runs requests from admission to their final answer. It is safe
// for concurrent use.
type Dispatcher struct {
	cfg      Config
	budgets  budgets
	runTimes runTimes
	isolated isolatedGroups
	// unconnected holds the addresses that checkUnconnected is checking.
	unconnected sync.Map
	metrics     dispatchMetrics
	answers     *memory.Budget
	inFlight    atomic.Int64
	draining    atomic.Bool

	// background is the context of work that continues after an answer.
	background       context.Context
	cancelBackground context.CancelFunc
	mu               sync.Mutex // guards closed
	closed           bool
	backgroundTasks  sync.WaitGroup
}

// New returns a dispatcher.
func New(cfg Config) *Dispatcher {
	cfg.Timings = cfg.withDefaults()
	if cfg.Daemons == nil {
		cfg.Daemons = func() int { return 1 }
	}
	d := &Dispatcher{cfg: cfg, metrics: newDispatchMetrics(cfg.Metrics), answers: newAnswerBudget(cfg.AnswerMemory)}
	d.background, d.cancelBackground = context.WithCancel(context.Background())
	return d
}

// Close stops the work that continues after answers: waits for group deaths,
// cancellations of attempts, and calls whose callers have been answered. It
// waits for that work to end. A planned stop calls Close once InFlight is zero.
func (d *Dispatcher) Close() {
	d.draining.Store(true)
	d.mu.Lock()
	d.closed = true
	d.mu.Unlock()
	d.cancelBackground()
	d.backgroundTasks.Wait()
}

// runInBackground runs f in a goroutine that Close waits for. After Close, f
// runs synchronously, since the background context that it waits on is done.
func (d *Dispatcher) runInBackground(f func()) {
	d.mu.Lock()
	closed := d.closed
	if !closed {
		d.backgroundTasks.Add(1)
	}
	d.mu.Unlock()
	if closed {
		f()
		return
	}
	go func() {
		defer d.backgroundTasks.Done()
		f()
	}()
}

// InFlight returns the number of requests in progress. It includes calls whose
// callers have been answered but whose outcomes are still pending.
func (d *Dispatcher) InFlight() int { return int(d.inFlight.Load()) }

// HasServed reports whether any request has been received.
func (d *Dispatcher) HasServed() bool { return d.metrics.requests.Count() > 0 }

// Drain rejects new requests from now on. Requests in flight continue.
func (d *Dispatcher) Drain() {
	if !d.draining.Swap(true) {
		d.cfg.Events.Emit(eventDraining, "in_flight", d.InFlight())
	}
}

// beginRequest counts a request as in flight, or returns a failure while the
// daemon drains. The counter is incremented before the draining flag is read,
// so that no request starts after Drain has observed zero.
func (d *Dispatcher) beginRequest() *fleet.Failure {
	d.inFlight.Add(1)
	d.metrics.requests.Inc(1)
	if !d.draining.Load() {
		return nil
	}
	d.inFlight.Add(-1)
	return fleet.NewNotRunFailure(fleet.ReasonDraining, withJitter(retryAfterDrain), "this daemon is stopping; another one takes the request")
}

func (d *Dispatcher) endRequest() { d.inFlight.Add(-1) }

// reportFailure counts and logs a request's final failure.
func (d *Dispatcher) reportFailure(id fleet.RequestID, name fleet.ServiceName, ws fleet.Workspace, f *fleet.Failure) {
	d.metrics.refused.Inc(1)
	d.cfg.Events.Emit(eventRefused, "request", id, "service", name, "workspace", ws,
		"state", f.State, "reason", f.Reason, "field", f.Field, "retry_after", f.RetryAfter, "message", f.Message)
}

// admit requests a ticket from admission, with the router's predictions.
func (d *Dispatcher) admit(ctx context.Context, spec *service.Spec, ws service.WorkspaceSpec, dec routing.Decision) (Ticket, *fleet.Failure) {
	deadline, _ := ctx.Deadline()
	return d.cfg.Admission.Admit(time.Now(), admission.Request{
		Workspace:     ws.Name,
		Service:       spec.Service,
		Weight:        ws.Share,
		MaxInFlight:   ws.MaxInFlight,
		Deadline:      deadline,
		PredictedWait: dec.Wait,
		PredictedRun:  d.runTimes.get(spec.Service),
		Capacity:      d.capacity(dec),
	})
}

// capacity returns this daemon's share of the number of requests that the
// groups can run concurrently, rounded up.
func (d *Dispatcher) capacity(dec routing.Decision) uint32 {
	var total uint32
	if dec.Chosen != nil {
		total += candidateCapacity(*dec.Chosen)
	}
	for _, s := range dec.Others {
		total += candidateCapacity(s.Candidate)
	}
	daemons := uint32(max(d.cfg.Daemons(), 1))
	return (total + daemons - 1) / daemons
}

func candidateCapacity(c routing.Candidate) uint32 {
	if c.Limit > 0 && c.Limit < c.MaxRunning {
		return c.Limit
	}
	return c.MaxRunning
}

// awaitDecision waits for the decision on recent deaths that may convict a request,
// so that the next attempt does not cost one more group. crashes counts the
// request's attempts that failed as if their server had ended. The last of these
// deaths may not be known yet.
func (d *Dispatcher) awaitDecision(ctx context.Context, id fleet.RequestID, s suspect.Subjects, crashes int) {
	ruling := d.cfg.Suspects.Judge(s)
	wait := time.Duration(0)
	switch {
	case crashes >= 2 && ruling.Deaths > 0 && ruling.Standing != suspect.Convicted:
		wait = suspect.DecisionTime
	case crashes >= 1 && ruling.Standing != suspect.Convicted && d.cfg.Suspects.OneMoreConvicts(s):
		wait = suspect.DecisionTime // the death of the attempt that broke off may not be known yet
	case ruling.Standing == suspect.Undecided:
		wait = ruling.Remaining
	}
	if wait > 0 {
		d.cfg.Events.Emit(eventDecisionAwaited, "request", id, "fingerprint", ruling.Fingerprint, "deaths", ruling.Deaths, "crashes", crashes, "wait", wait)
		sleepFor(ctx, wait)
		// A death that became known meanwhile is decided on later.
		if again := d.cfg.Suspects.Judge(s); again.Standing == suspect.Undecided {
			sleepFor(ctx, again.Remaining)
		}
	}
}

// checkSuspect returns a failure for a request that is convicted of crashing
// groups, or whose prompt has a part that is, and otherwise whether the request
// must run isolated.
func (d *Dispatcher) checkSuspect(id fleet.RequestID, name fleet.ServiceName, s suspect.Subjects) (alone bool, f *fleet.Failure) {
	ruling := d.cfg.Suspects.Judge(s)
	switch ruling.Standing {
	case suspect.Convicted:
		d.cfg.Events.Emit(eventSuspectRefused, "request", id, "service", name, "fingerprint", ruling.Fingerprint,
			"part", ruling.Fingerprint != s.Request, "remaining", ruling.Remaining)
		return false, fleet.NewNotRunFailure(fleet.ReasonSuspect, ruling.Remaining, "the request resembles requests that crash backend servers")
	case suspect.Alone:
		return true, nil
	default:
		return false, nil
	}
}

// withJitter adds up to 50 % to d, so that callers do not retry in unison.
func withJitter(d time.Duration) time.Duration {
	return d + rand.N(d/2+1)
}
