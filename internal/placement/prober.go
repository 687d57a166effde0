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
	probeTimeout = 130 * time.Millisecond
	probeLonger  = 250 * time.Millisecond
	// probeTries is how many questions in a row stay unanswered before an
	// engine counts as down.
	probeTries = 2
	// probeAgain is the time between questions to an engine that is down, and
	// to one whose change is awaited longer than it should take.
	probeAgain      = time.Second
	probeChangeSoon = 120 * time.Millisecond
	// maxProbes bounds the questions under way.
	maxProbes = 48
)

// prober asks engines what they are, when the list would tell too late: after
// an order, when a group has stopped, while an engine is down.
type prober struct {
	c *Conductor

	mu     sync.Mutex
	asks   map[fleet.InstanceID]*probe
	done   []doneOrder
	doubts []fleet.GroupID
	out    int
}

// probe is what is asked of one engine.
type probe struct {
	due      time.Time
	underWay bool
	failures int
	// until is when a change that is awaited is given up on: of the place, and
	// of the models on the host.
	until       time.Time
	await       directory.PlaceState
	awaitStaged string
	// stagedAt is when the load should have ended.
	stagedAt time.Time
}

// shows reports whether an answer has what is awaited.
func (a *probe) shows(s directory.Server) bool {
	placed := a.await == "" || s.Place != nil && s.Place.State == a.await
	return placed && (a.awaitStaged == "" || slices.Contains(s.Staged, a.awaitStaged))
}

// doneOrder is an order that an engine accepted.
type doneOrder struct {
	server directory.Server
	order  backend.GroupOrder
	at     time.Time
}

func newProber(c *Conductor) *prober {
	return &prober{c: c, asks: map[fleet.InstanceID]*probe{}}
}

func (p *prober) doubt(id fleet.GroupID) {
	p.mu.Lock()
	p.doubts = append(p.doubts, id)
	p.mu.Unlock()
	p.c.nudge()
}

// ask has an engine asked at the next round.
func (p *prober) ask(id fleet.InstanceID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.request(id, time.Now())
}

// askAll has every engine asked that has a place: a new holder may know it from
// the list alone, which tells late and not at all of an engine that is cut from
// the store.
func (p *prober) askAll(servers map[fleet.InstanceID]directory.Listing, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, l := range servers {
		if l.Place != nil {
			p.request(id, now)
		}
	}
}

func (p *prober) request(id fleet.InstanceID, due time.Time) *probe {
	a := p.asks[id]
	if a == nil {
		a = &probe{due: due}
		p.asks[id] = a
	} else if due.Before(a.due) {
		a.due = due
	}
	return a
}

// accepted notes an order that was accepted.
func (p *prober) accepted(t *termState, l directory.Listing, o backend.GroupOrder) {
	p.mu.Lock()
	p.done = append(p.done, doneOrder{server: l.Server, order: o, at: time.Now()})
	p.mu.Unlock()
	p.c.nudge()
}

// round takes in what was answered since the last round and asks what is due.
func (p *prober) round(ctx context.Context, t *termState, servers map[fleet.InstanceID]directory.Listing, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, d := range p.done {
		p.settle(t, d, now)
	}
	p.done = nil
	for _, id := range p.doubts {
		if g := t.groups[id]; g != nil {
			for _, m := range g.Members {
				p.request(m.Instance, now)
			}
		}
	}
	p.doubts = nil
	p.addFailed(servers, now)
	for id, a := range p.asks {
		l, listed := servers[id]
		if !listed {
			delete(p.asks, id)
			continue
		}
		if a.underWay || now.Before(a.due) || p.out >= maxProbes {
			continue
		}
		a.underWay = true
		p.out++
		timeout := probeTimeout
		if a.failures > 0 {
			timeout = probeLonger
		}
		p.c.running.Go(func() { p.send(ctx, l, timeout) })
	}
}

// addFailed asks the engines that count as down. The list shows changes only,
// so that an engine of which it tells nothing new may be well.
func (p *prober) addFailed(servers map[fleet.InstanceID]directory.Listing, now time.Time) {
	for id, l := range servers {
		if l.Failed && p.asks[id] == nil {
			p.request(id, now.Add(probeAgain))
		}
	}
}

// settle takes in an order that was accepted: what holds at once is told to
// the directory, what takes time is asked for when it should be there.
func (p *prober) settle(t *termState, d doneOrder, now time.Time) {
	key := placeKey{d.order.Group, d.order.Epoch}
	s := d.server
	switch d.order.Kind {
	case backend.OrderLeave:
		t.places.left(s.Instance, key)
		s.Place = nil
		p.c.cfg.Servers.Answered(s, d.at)
	case backend.OrderJoin:
		if rank := slices.Index(d.order.Members, s.Instance); rank >= 0 {
			s.Place = &directory.Place{Group: d.order.Group, Epoch: d.order.Epoch, Rank: fleet.Rank(rank), State: directory.PlaceJoining}
			p.c.cfg.Servers.Answered(s, d.at)
		}
		wait := p.c.near(t, directory.Listing{Server: d.server})[d.order.Model]
		p.awaitState(s.Instance, directory.PlaceReady, now, wait)
	case backend.OrderOpen:
		p.awaitState(s.Instance, directory.PlaceOpen, now, p.c.cfg.Open())
	case backend.OrderStage:
		took := t.loadTime(d.order.Model)
		a := p.request(s.Instance, now.Add(took))
		a.awaitStaged, a.stagedAt, a.until = d.order.Model, now.Add(took), now.Add(stagePatience*took)
	case backend.OrderClose, backend.OrderCut:
		p.awaitState(s.Instance, directory.PlaceReady, now, 0)
	}
}

// stagePatience is how many times its usual time a load onto a host may take
// until it is asked for no more: loads slow each other down.
const stagePatience = 3

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
const awaitPatience = 3 * time.Second

func (p *prober) awaitState(id fleet.InstanceID, state directory.PlaceState, now time.Time, wait time.Duration) {
	a := p.request(id, now.Add(wait+probeChangeSoon/2))
	a.await, a.until = state, now.Add(wait+awaitPatience)
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
	p.out--
	a := p.asks[l.Instance]
	if a == nil {
		return
	}
	a.underWay = false
	if err != nil {
		p.unanswered(a, l, began, now, err)
		return
	}
	a.failures = 0
	p.c.cfg.Servers.Answered(status.Server, began.Add(-p.c.cfg.ReportLag()))
	switch {
	case a.shows(status.Server), now.After(a.until):
		delete(p.asks, l.Instance)
	case a.awaitStaged != "" && !slices.Contains(status.Staged, a.awaitStaged):
		a.due = later(now.Add(probeAgain), a.stagedAt)
	default:
		a.due = now.Add(probeChangeSoon)
	}
	p.c.nudge()
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// unanswered counts a question without an answer.
func (p *prober) unanswered(a *probe, l directory.Listing, began, now time.Time, err error) {
	a.failures++
	a.due = now
	if a.failures < probeTries {
		p.c.nudge()
		return
	}
	a.due = now.Add(probeAgain)
	if a.failures == probeTries {
		p.c.cfg.Events.Emit(eventEngineDown, "instance", l.Instance, "address", l.Address, "error", err,
			"tries", a.failures, "took_ms", now.Sub(began).Milliseconds())
	}
	p.c.cfg.Servers.Fail(l.Instance, now)
	if p.c.cfg.Failed != nil {
		p.c.cfg.Failed(l.Instance)
	}
	p.c.nudge()
}
