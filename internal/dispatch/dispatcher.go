package dispatch

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"carawayproxy.example/caraway/internal/admission"
	"carawayproxy.example/caraway/internal/fleet"
	"carawayproxy.example/caraway/internal/routing"
	"carawayproxy.example/caraway/internal/service"
	"carawayproxy.example/caraway/internal/suspect"
)

// Dispatcher carries requests through their life. It is safe for concurrent
// use.
type Dispatcher struct {
	cfg      Config
	budgets  budgets
	runTimes runTimes
	solo     solo
	metrics  dispatchMetrics
	inFlight atomic.Int64
	draining atomic.Bool

	// background bounds what goes on after a request's answer.
	background context.Context
	end        context.CancelFunc
	mu         sync.Mutex // guards closed
	closed     bool
	behind     sync.WaitGroup
}

// New returns a dispatcher.
func New(cfg Config) *Dispatcher {
	cfg.Timings = cfg.withDefaults()
	if cfg.Daemons == nil {
		cfg.Daemons = func() int { return 1 }
	}
	d := &Dispatcher{cfg: cfg, metrics: newDispatchMetrics(cfg.Metrics)}
	d.background, d.end = context.WithCancel(context.Background())
	return d
}

// Close ends what goes on after the requests' answers: watches for deaths,
// cancels of attempts, calls whose callers were answered. A planned stop calls
// it once InFlight is zero.
func (d *Dispatcher) Close() {
	d.draining.Store(true)
	d.mu.Lock()
	d.closed = true
	d.mu.Unlock()
	d.end()
	d.behind.Wait()
}

// later runs f behind the request. Once closed, f runs at once, for whatever
// it would wait for is over.
func (d *Dispatcher) later(f func()) {
	d.mu.Lock()
	closed := d.closed
	if !closed {
		d.behind.Add(1)
	}
	d.mu.Unlock()
	if closed {
		f()
		return
	}
	go func() {
		defer d.behind.Done()
		f()
	}()
}

// InFlight returns how many requests are in progress, with the calls whose
// callers are answered and whose outcomes are still awaited.
func (d *Dispatcher) InFlight() int { return int(d.inFlight.Load()) }

// Asked reports whether any request has come yet.
func (d *Dispatcher) Asked() bool { return d.metrics.requests.Count() > 0 }

// Drain refuses new requests from now on. Those in flight go on.
func (d *Dispatcher) Drain() {
	if !d.draining.Swap(true) {
		d.cfg.Events.Emit(eventDraining, "in_flight", d.InFlight())
	}
}

// enter counts a request in, unless the daemon drains. The count comes first,
// so that no request slips in after Drain has seen zero.
func (d *Dispatcher) enter() *fleet.Failure {
	d.inFlight.Add(1)
	d.metrics.requests.Inc(1)
	if !d.draining.Load() {
		return nil
	}
	d.inFlight.Add(-1)
	return fleet.Refuse(fleet.ReasonDraining, spread(retryAfterDrain), "this daemon is stopping; another one takes the request")
}

func (d *Dispatcher) leave() { d.inFlight.Add(-1) }

// refused counts and logs a request's final failure.
func (d *Dispatcher) refused(id fleet.RequestID, name fleet.ServiceName, ws fleet.Workspace, f *fleet.Failure) {
	d.metrics.refused.Inc(1)
	d.cfg.Events.Emit(eventRefused, "request", id, "service", name, "workspace", ws,
		"state", f.State, "reason", f.Reason, "field", f.Field, "retry_after", f.RetryAfter, "message", f.Message)
}

// admit asks admission for a place, with the router's prediction.
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

// capacity is this daemon's part of what the groups can run at once.
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

// standing refuses convicted requests and says whether one must run alone.
func (d *Dispatcher) standing(id fleet.RequestID, name fleet.ServiceName, fp suspect.Fingerprint) (alone bool, f *fleet.Failure) {
	switch d.cfg.Suspects.Standing(fp) {
	case suspect.Convicted:
		d.cfg.Events.Emit(eventSuspectRefused, "request", id, "service", name, "fingerprint", fp)
		return false, fleet.Refuse(fleet.ReasonSuspect, 0, "the request resembles requests that crash backend servers")
	case suspect.Alone:
		return true, nil
	default:
		return false, nil
	}
}

// spread adds up to half, so that callers do not come back together.
func spread(d time.Duration) time.Duration {
	return d + rand.N(d/2+1)
}
