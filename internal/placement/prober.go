package placement

import (
	"context"
	"slices"
	"sync"
	"time"

	"carawayproxy.example/caraway/internal/backend"
	"carawayproxy.example/caraway/internal/directory"
	"carawayproxy.example/caraway/internal/fleet"
)

const (
	// probeTimeout bounds the first question to an engine, many times its
	// usual answer, and probeLonger each one after it.
	probeTimeout      = 130 * time.Millisecond
	probeRetryTimeout = 250 * time.Millisecond
	// probeTries is how many questions in a row stay unanswered before an
	// engine counts as down.
	maxProbeFailures = 2
	// probeAgain is the time between questions to an engine that is down, and
	// to one whose change is awaited longer than it should take.
	probeInterval      = time.Second
	changePollInterval = 120 * time.Millisecond
	// maxProbes bounds the questions under way.
	maxProbes = 48
)

// prober asks engines what they are, when the list would tell too late: after
// an order, when a group has stopped, while an engine is down.
type prober struct {
	c *Conductor

	mu             sync.Mutex
	probes         map[fleet.InstanceID]*probe
	acceptedOrders []acceptedGroupOrder
	suspectGroups  []fleet.GroupID
	inFlight       int
}

// probe is what is asked of one engine.
type probe struct {
	nextAt   time.Time
	inFlight bool
	failures int
	// until is when a change that is awaited is given up on: of the place, and
	// of the models on the host.
	deadline     time.Time
	awaitedState directory.PlaceState
	awaitedModel string
	// stagedAt is when the load should have ended.
	stageDoneAt time.Time
}

// shows reports whether an answer has what is awaited.
func (a *probe) isSatisfiedBy(s directory.Server) bool {
	placed := a.awaitedState == "" || s.Place != nil && s.Place.State == a.awaitedState
	return placed && (a.awaitedModel == "" || slices.Contains(s.Staged, a.awaitedModel))
}

// doneOrder is an order that an engine accepted.
type acceptedGroupOrder struct {
	server directory.Server
	order  backend.GroupOrder
	at     time.Time
}

func newProber(c *Conductor) *prober {
	return &prober{c: c, probes: map[fleet.InstanceID]*probe{}}
}

func (p *prober) suspectGroup(id fleet.GroupID) {
	p.mu.Lock()
	p.suspectGroups = append(p.suspectGroups, id)
	p.mu.Unlock()
	p.c.wakeLoop()
}

// ask has an engine asked at the next round.
func (p *prober) probeEngine(id fleet.InstanceID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.schedule(id, time.Now())
}

// askAll has every engine asked that has a place: a new holder may know it from
// the list alone, which tells late and not at all of an engine that is cut from
// the store.
func (p *prober) probeAll(servers map[fleet.InstanceID]directory.Listing, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, l := range servers {
		if l.Place != nil {
			p.schedule(id, now)
		}
	}
}

func (p *prober) schedule(id fleet.InstanceID, nextAt time.Time) *probe {
	a := p.probes[id]
	if a == nil {
		a = &probe{nextAt: nextAt}
		p.probes[id] = a
	} else if nextAt.Before(a.nextAt) {
		a.nextAt = nextAt
	}
	return a
}

// accepted notes an order that was accepted.
func (p *prober) recordAccepted(t *termState, l directory.Listing, o backend.GroupOrder) {
	p.mu.Lock()
	p.acceptedOrders = append(p.acceptedOrders, acceptedGroupOrder{server: l.Server, order: o, at: time.Now()})
	p.mu.Unlock()
	p.c.wakeLoop()
}

// round takes in what was answered since the last round and asks what is due.
func (p *prober) round(ctx context.Context, t *termState, servers map[fleet.InstanceID]directory.Listing, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, d := range p.acceptedOrders {
		p.applyAccepted(t, d, now)
	}
	p.acceptedOrders = nil
	for _, id := range p.suspectGroups {
		if g := t.groups[id]; g != nil {
			for _, m := range g.Members {
				p.schedule(m.Instance, now)
			}
		}
	}
	p.suspectGroups = nil
	p.scheduleFailed(servers, now)
	for id, a := range p.probes {
		l, listed := servers[id]
		if !listed {
			delete(p.probes, id)
			continue
		}
		if a.inFlight || now.Before(a.nextAt) || p.inFlight >= maxProbes {
			continue
		}
		a.inFlight = true
		p.inFlight++
		timeout := probeTimeout
		if a.failures > 0 {
			timeout = probeRetryTimeout
		}
		p.c.running.Go(func() { p.send(ctx, l, timeout) })
	}
}

// addFailed asks the engines that count as down. The list shows changes only,
// so that an engine of which it tells nothing new may be well.
func (p *prober) scheduleFailed(servers map[fleet.InstanceID]directory.Listing, now time.Time) {
	for id, l := range servers {
		if l.Failed && p.probes[id] == nil {
			p.schedule(id, now.Add(probeInterval))
		}
	}
}

// settle takes in an order that was accepted: what holds at once is told to
// the directory, what takes time is asked for when it should be there.
func (p *prober) applyAccepted(t *termState, d acceptedGroupOrder, now time.Time) {
	key := placeKey{d.order.Group, d.order.Epoch}
	s := d.server
	switch d.order.Kind {
	case backend.OrderLeave:
		t.placeHistory.recordLeave(s.Instance, key)
		s.Place = nil
		p.c.cfg.Servers.Answered(s, d.at)
	case backend.OrderJoin:
		if rank := slices.Index(d.order.Members, s.Instance); rank >= 0 {
			s.Place = &directory.Place{Group: d.order.Group, Epoch: d.order.Epoch, Rank: fleet.Rank(rank), State: directory.PlaceJoining}
			p.c.cfg.Servers.Answered(s, d.at)
		}
		wait := p.c.localLoadTimes(t, directory.Listing{Server: d.server})[d.order.Model]
		p.awaitState(s.Instance, directory.PlaceReady, now, wait)
	case backend.OrderOpen:
		p.awaitState(s.Instance, directory.PlaceOpen, now, p.c.cfg.Open())
	case backend.OrderStage:
		took := t.loadTime(d.order.Model)
		a := p.schedule(s.Instance, now.Add(took))
		a.awaitedModel, a.stageDoneAt, a.deadline = d.order.Model, now.Add(took), now.Add(stageTimeoutFactor*took)
	case backend.OrderClose, backend.OrderCut:
		p.awaitState(s.Instance, directory.PlaceReady, now, 0)
	}
}

// stagePatience is how many times its usual time a load onto a host may take
// until it is asked for no more: loads slow each other down.
const stageTimeoutFactor = 3

// loadTime is how long an engine needs to load a model.
func (t *termState) loadTime(model string) time.Duration {
	for _, w := range t.wanted {
		if w.Model == model {
			return w.LoadTime
		}
	}
	return 0
}

// awaitPatience is how long after its time a change is asked for; the list
// tells it in any case.
const awaitTimeout = 3 * time.Second

func (p *prober) awaitState(id fleet.InstanceID, state directory.PlaceState, now time.Time, wait time.Duration) {
	a := p.schedule(id, now.Add(wait+changePollInterval/2))
	a.awaitedState, a.deadline = state, now.Add(wait+awaitTimeout)
}

// send asks one engine.
func (p *prober) send(ctx context.Context, l directory.Listing, timeout time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	began := time.Now()
	status, err := p.c.cfg.Engines.Report(ctx, l.Instance, l.Address)
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.inFlight--
	a := p.probes[l.Instance]
	if a == nil {
		return
	}
	a.inFlight = false
	if err != nil {
		p.recordFailure(a, l, began, now, err)
		return
	}
	a.failures = 0
	p.c.cfg.Servers.Answered(status.Server, began.Add(-p.c.cfg.ReportLag()))
	switch {
	case a.isSatisfiedBy(status.Server), now.After(a.deadline):
		delete(p.probes, l.Instance)
	case a.awaitedModel != "" && !slices.Contains(status.Staged, a.awaitedModel):
		a.nextAt = latest(now.Add(probeInterval), a.stageDoneAt)
	default:
		a.nextAt = now.Add(changePollInterval)
	}
	p.c.wakeLoop()
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// unanswered counts a question without an answer.
func (p *prober) recordFailure(a *probe, l directory.Listing, began, now time.Time, err error) {
	a.failures++
	a.nextAt = now
	if a.failures < maxProbeFailures {
		p.c.wakeLoop()
		return
	}
	a.nextAt = now.Add(probeInterval)
	if a.failures == maxProbeFailures {
		p.c.cfg.Events.Emit(eventEngineDown, "instance", l.Instance, "address", l.Address, "error", err,
			"tries", a.failures, "took_ms", now.Sub(began).Milliseconds())
	}
	p.c.cfg.Servers.Fail(l.Instance, now)
	if p.c.cfg.Failed != nil {
		p.c.cfg.Failed(l.Instance)
	}
	p.c.wakeLoop()
}
