package placement

import (
	"context"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"carawayproxy.example/caraway/internal/backend"
	"carawayproxy.example/caraway/internal/directory"
	"carawayproxy.example/caraway/internal/fleet"
)

const (
	// probeTimeout limits the first probe of an engine, many times its usual answer
	// time. probeRetryTimeout limits the later ones.
	probeTimeout      = 130 * time.Millisecond
	probeRetryTimeout = 250 * time.Millisecond
	// maxProbeFailures is the number of consecutive unanswered probes after
	// which an engine counts as down.
	maxProbeFailures = 2
	// minUnconnected is the number of consecutive probes for which no connection could be
	// opened after which an engine's host counts as unreachable. One packet that opens a
	// connection may be lost.
	minUnconnected = 3
	// probeInterval is the time between probes of an engine that is down or whose
	// staging takes longer than expected. changePollInterval is the time between
	// probes of an engine whose change is awaited.
	probeInterval = time.Second
	// An engine that is down without having ended may only be silent for a moment. It is probed every silentProbeInterval for silentProbePeriod.
	silentProbeInterval = 100 * time.Millisecond
	silentProbePeriod   = 4 * time.Second
	changePollInterval  = 120 * time.Millisecond
	// lostLinksProbeInterval is the time between probes of an engine while this
	// daemon's own links are lost.
	lostLinksProbeInterval = 250 * time.Millisecond
	// maxProbes limits the probes in flight.
	maxProbes = 48
	// pollsPerInterval is the number of engines that are probed every
	// changePollInterval for a change. If more changes are awaited, each engine is
	// probed less often: the list shows the changes as well, a little later.
	pollsPerInterval = 24
	// An unanswered probe counts only if another one that was sent no earlier than
	// controlSlack before it has been answered within the share promptShare of its
	// timeout. Otherwise this daemon may be too busy to read answers in time, or
	// may itself be cut off. After maxInconclusive such probes it counts anyway.
	controlSlack    = 50 * time.Millisecond
	promptShare     = 0.5
	maxInconclusive = 8
)

// prober reads the status of engines directly where the list would show it too
// late: after an order, when a group has stalled, and while an engine is down.
type prober struct {
	c *GroupController

	mu             sync.Mutex
	probes         map[fleet.InstanceID]*probe
	acceptedOrders []acceptedGroupOrder
	suspectGroups  []fleet.GroupID
	inFlight       int
	// answeredSentAt is when the last probe that was answered was sent, and
	// answeredAfter the time until its answer was read.
	answeredSentAt time.Time
	answeredAfter  time.Duration
	// controlAt is when an engine was last probed only to see whether answers
	// arrive in time.
	controlAt time.Time
}

// probe is the probing state of one engine.
type probe struct {
	nextAt   time.Time
	inFlight bool
	failures int
	// inconclusive counts the unanswered probes that did not count as failures.
	inconclusive int
	downAt       time.Time // when failures reached maxProbeFailures
	ended        bool      // the last failure shows that the process has ended
	// unconnected counts the last probes for which no connection could be opened in time,
	// while other engines answered.
	unconnected int
	// deadline is when the prober stops waiting for awaitedState of awaitedPlace and
	// for awaitedModel on the host.
	deadline     time.Time
	awaitedPlace placeKey
	awaitedState directory.PlaceState
	awaitedModel string
	// stageDoneAt is when the staging of awaitedModel should be complete.
	stageDoneAt time.Time
}

// isAwaiting reports whether the engine is probed for a change, rather than
// because it may be down.
func (pr *probe) isAwaiting() bool {
	return pr.failures == 0 && pr.inconclusive == 0 && (pr.awaitedState != "" || pr.awaitedModel != "")
}

// isSatisfiedBy reports whether a status shows the awaited change. A status may be
// older than the order, and show an earlier place in the same state.
func (pr *probe) isSatisfiedBy(s directory.Server) bool {
	placed := pr.awaitedState == "" ||
		s.Place != nil && s.Place.State == pr.awaitedState && pr.awaitedPlace == placeKey{s.Place.Group, s.Place.Epoch}
	return placed && (pr.awaitedModel == "" || slices.Contains(s.Staged, pr.awaitedModel))
}

// acceptedGroupOrder is an order that an engine accepted.
type acceptedGroupOrder struct {
	listing directory.Listing
	order   backend.GroupOrder
	at      time.Time
}

func newProber(c *GroupController) *prober {
	return &prober{c: c, probes: map[fleet.InstanceID]*probe{}}
}

func (p *prober) suspectGroup(id fleet.GroupID) {
	p.mu.Lock()
	p.suspectGroups = append(p.suspectGroups, id)
	p.mu.Unlock()
	p.c.wakeLoop()
}

// probeEngine schedules a probe of an engine in the next round.
func (p *prober) probeEngine(id fleet.InstanceID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.schedule(id, time.Now())
}

// scheduleUnconfirmed schedules probes of the engines that have not confirmed
// their places in this term, as soon as the state in their answers is not older
// than the term.
func (p *prober) scheduleUnconfirmed(t *termState, unconfirmed []fleet.InstanceID, now time.Time) {
	if now.Sub(t.since) < p.c.cfg.ReportAge() {
		return
	}
	for _, id := range unconfirmed {
		if p.probes[id] == nil {
			p.schedule(id, now)
		}
	}
}

func (p *prober) schedule(id fleet.InstanceID, nextAt time.Time) *probe {
	pr := p.probes[id]
	if pr == nil {
		pr = &probe{nextAt: nextAt}
		p.probes[id] = pr
	} else if nextAt.Before(pr.nextAt) {
		pr.nextAt = nextAt
	}
	return pr
}

// recordAccepted records an accepted order for the next round.
func (p *prober) recordAccepted(t *termState, l directory.Listing, o backend.GroupOrder) {
	p.mu.Lock()
	p.acceptedOrders = append(p.acceptedOrders, acceptedGroupOrder{listing: l, order: o, at: time.Now()})
	p.mu.Unlock()
	p.c.wakeLoop()
}

// round applies the orders accepted since the last round and sends the probes that
// are scheduled.
func (p *prober) round(ctx context.Context, t *termState, servers map[fleet.InstanceID]directory.Listing, unconfirmed []fleet.InstanceID, now time.Time) {
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
	p.scheduleUnconfirmed(t, unconfirmed, now)
	for id, pr := range p.probes {
		l, listed := servers[id]
		if !listed {
			delete(p.probes, id)
			continue
		}
		if pr.inFlight || now.Before(pr.nextAt) {
			continue
		}
		if pr.isAwaiting() && !l.Failed && pr.isSatisfiedBy(l.Server) {
			delete(p.probes, id)
			continue
		}
		if p.inFlight >= maxProbes {
			continue
		}
		if !pr.isAwaiting() {
			p.sendControl(ctx, servers, l, now)
		}
		p.sendAsync(ctx, pr, l)
	}
}

// sendControl probes an engine of another fabric domain than the suspected one,
// unless that was done a moment ago. Its answer shows that answers arrive in time.
func (p *prober) sendControl(ctx context.Context, servers map[fleet.InstanceID]directory.Listing, suspected directory.Listing, now time.Time) {
	if now.Sub(p.controlAt) < controlSlack {
		return
	}
	for id, l := range servers {
		if l.Failed || l.Fabric == "" || l.Fabric == suspected.Fabric || p.probes[id] != nil {
			continue
		}
		p.controlAt = now
		p.sendAsync(ctx, p.schedule(id, now), l)
		return
	}
}

func (p *prober) sendAsync(ctx context.Context, pr *probe, l directory.Listing) {
	pr.inFlight = true
	p.inFlight++
	timeout := probeTimeout
	if pr.failures+pr.inconclusive > 0 {
		timeout = probeRetryTimeout
	}
	p.c.running.Go(func() { p.send(ctx, l, timeout) })
}

// pollInterval is the time between two probes of an engine whose change is
// awaited.
func (p *prober) pollInterval() time.Duration {
	return changePollInterval * time.Duration(max(len(p.probes)/pollsPerInterval, 1))
}

// scheduleFailed schedules probes of the engines that count as down. The list shows
// only changes, so an engine without list updates may be up again.
func (p *prober) scheduleFailed(servers map[fleet.InstanceID]directory.Listing, now time.Time) {
	for id, l := range servers {
		if l.Failed && p.probes[id] == nil {
			p.schedule(id, now.Add(probeInterval))
		}
	}
}

// applyAccepted applies an accepted order: an immediate effect is written to the
// directory, and for a delayed one a probe is scheduled at the expected time.
func (p *prober) applyAccepted(t *termState, d acceptedGroupOrder, now time.Time) {
	key := placeKey{d.order.Group, d.order.Epoch}
	s := d.listing.Server
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
		wait := p.c.localLoadTimes(d.listing)[d.order.Model]
		p.awaitState(s.Instance, key, directory.PlaceReady, now, wait)
	case backend.OrderOpen:
		p.awaitState(s.Instance, key, directory.PlaceOpen, now, p.c.cfg.OpenTime())
	case backend.OrderStage:
		took := t.loadTime(d.order.Model)
		pr := p.schedule(s.Instance, now.Add(took))
		pr.awaitedModel, pr.stageDoneAt, pr.deadline = d.order.Model, now.Add(took), now.Add(stageTimeoutFactor*took)
	case backend.OrderClose, backend.OrderAbort:
		p.awaitState(s.Instance, key, directory.PlaceReady, now, 0)
	}
}

// stageTimeoutFactor is the number of load times after which the prober stops
// waiting for a staged model. Concurrent loads slow each other down.
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

// awaitTimeout is how long an engine is probed for a change after its expected
// time. The list shows the change in any case.
const awaitTimeout = 3 * time.Second

func (p *prober) awaitState(id fleet.InstanceID, place placeKey, state directory.PlaceState, now time.Time, wait time.Duration) {
	pr := p.schedule(id, now.Add(wait+changePollInterval/2))
	pr.awaitedPlace, pr.awaitedState, pr.deadline = place, state, now.Add(wait+awaitTimeout)
}

// send probes one engine and records the result.
func (p *prober) send(ctx context.Context, l directory.Listing, timeout time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	began := time.Now()
	status, err := p.c.cfg.Engines.Report(ctx, l.Instance, l.Address)
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.inFlight--
	pr := p.probes[l.Instance]
	if pr == nil {
		return
	}
	pr.inFlight = false
	if err != nil {
		p.recordFailure(pr, l, began, now, timeout, err)
		return
	}
	if began.After(p.answeredSentAt) {
		p.answeredSentAt, p.answeredAfter = began, now.Sub(began)
	}
	if pr.failures >= maxProbeFailures {
		p.c.cfg.Events.Emit(eventEngineBack, "instance", l.Instance, "down_ms", now.Sub(pr.downAt).Milliseconds(),
			"restarted", status.Incarnation != l.Incarnation)
	}
	pr.failures, pr.inconclusive, pr.unconnected = 0, 0, 0
	p.c.cfg.Servers.Answered(status.Server, began.Add(-p.c.cfg.ReportAge()))
	switch {
	case pr.isSatisfiedBy(status.Server), now.After(pr.deadline):
		delete(p.probes, l.Instance)
	case pr.awaitedModel != "" && !slices.Contains(status.Staged, pr.awaitedModel):
		pr.nextAt = latest(now.Add(probeInterval), pr.stageDoneAt)
	default:
		pr.nextAt = now.Add(p.pollInterval())
	}
	p.c.wakeLoop()
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// recordFailure counts an unanswered probe and marks the engine as down after
// maxProbeFailures.
func (p *prober) recordFailure(pr *probe, l directory.Listing, began, now time.Time, timeout time.Duration, err error) {
	pr.nextAt = now
	if errors.Is(err, backend.ErrLinksLost) || p.c.cfg.LinksLost != nil && p.c.cfg.LinksLost() {
		pr.nextAt = now.Add(lostLinksProbeInterval)
		return
	}
	if isTimeout(err) && pr.failures < maxProbeFailures && pr.inconclusive < maxInconclusive && !p.answersArrive(began, timeout) {
		pr.inconclusive++
		p.c.wakeLoop()
		return
	}
	pr.failures++
	pr.ended = !isTimeout(err)
	switch {
	case pr.ended || !errors.Is(err, backend.ErrNotSent):
		pr.unconnected = 0
	case p.answersArrive(began, timeout):
		pr.unconnected++
	}
	if pr.failures < maxProbeFailures {
		p.c.wakeLoop()
		return
	}
	if pr.failures == maxProbeFailures {
		pr.downAt = now
		p.c.cfg.Events.Emit(eventEngineDown, "instance", l.Instance, "address", l.Address, "error", err,
			"tries", pr.failures+pr.inconclusive, "inconclusive", pr.inconclusive, "took_ms", now.Sub(began).Milliseconds())
	}
	pr.nextAt = now.Add(probeInterval)
	if !pr.ended && now.Sub(pr.downAt) < silentProbePeriod {
		pr.nextAt = now.Add(silentProbeInterval)
	}
	p.c.cfg.Servers.Fail(l.Instance, now)
	if p.c.cfg.OnEngineFailed != nil {
		p.c.cfg.OnEngineFailed(l.Instance)
	}
	p.c.wakeLoop()
}

func isTimeout(err error) bool {
	var failed net.Error
	return errors.Is(err, context.DeadlineExceeded) || errors.As(err, &failed) && failed.Timeout()
}

// hasEnded reports whether the failures of an engine's probes show that its process
// has ended.
func (p *prober) hasEnded(id fleet.InstanceID) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	pr := p.probes[id]
	return pr != nil && pr.failures > 0 && pr.ended
}

// isUnreachable reports whether no connection to an engine's host can be opened.
func (p *prober) isUnreachable(id fleet.InstanceID) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	pr := p.probes[id]
	return pr != nil && pr.unconnected >= minUnconnected
}

// answersArrive reports whether another engine has answered promptly while a probe
// was unanswered.
func (p *prober) answersArrive(began time.Time, timeout time.Duration) bool {
	return !p.answeredSentAt.Before(began.Add(-controlSlack)) && p.answeredAfter <= time.Duration(promptShare*float64(timeout))
}
