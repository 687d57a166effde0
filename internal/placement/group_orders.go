package placement

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"time"

	"github.com/pkg/errors"

	"carawayproxy.example/caraway/internal/backend"
	"carawayproxy.example/caraway/internal/directory"
	"carawayproxy.example/caraway/internal/fleet"
	"carawayproxy.example/caraway/internal/group"
)

// maxOrders limits the orders in flight. Each costs this daemon a connection, and all
// together must not delay the renewals of the lease that allows them, nor each other
// beyond orderTimeout.
const maxOrders = 48

// sendOrders sends each engine the next order that leads to its planned place. Orders
// beyond maxOrders wait for a later round. Engines outside the planned groups come
// first, since groups may wait for them, then one group after the other, so that the
// first ones are complete early.
func (c *GroupController) sendOrders(ctx context.Context, t *termState, servers map[fleet.InstanceID]directory.Listing, now time.Time) {
	groups := t.view()
	ids := slices.SortedFunc(maps.Keys(servers), func(a, b fleet.InstanceID) int {
		return cmp.Or(cmp.Compare(groups.ByInstance[a], groups.ByInstance[b]), cmp.Compare(a, b))
	})
	for _, id := range ids {
		l := servers[id]
		if l.Failed || !t.isConfirmed(l) {
			continue
		}
		g := t.groups[groups.ByInstance[id]]
		o, due := c.nextOrder(t, g, l, servers, now)
		if !due || !c.maySend(l.Instance, o, now) {
			continue
		}
		if _, local := c.localLoadTimes(l)[o.Model]; o.Kind == backend.OrderJoin && !local && !c.takeLoadToken(now) {
			continue
		}
		c.send(ctx, t, l, o, now)
	}
}

// nextOrder returns the next order for an engine. g is the engine's planned group,
// nil if it has none.
func (c *GroupController) nextOrder(t *termState, g *group.Group, l directory.Listing, servers map[fleet.InstanceID]directory.Listing, now time.Time) (backend.GroupOrder, bool) {
	switch {
	case g != nil && isPlacedIn(l.Place, g):
		return t.nextPhaseOrder(g, l, servers)
	case l.Place != nil && isWarmup(l.Place.Group):
		if g == nil && l.Place.State != directory.PlaceJoining {
			return leaveOrder(l.Place), true
		}
	case l.Place != nil && l.Place.Rank == 0 && l.Place.State != directory.PlaceBroken:
		// The group leader leaves first. The other members may be placed again once
		// it has left.
		return leaveOrder(l.Place), true
	case l.Place != nil && c.isGroupLeaderUnreachable(t, l.Place, servers):
		// A group leader that can't be reached stops serving once a member has
		// left.
		return leaveOrder(l.Place), true
	}
	if !isUnplaced(l) && !t.placeHistory.hasEnded(placeKey{l.Place.Group, l.Place.Epoch}) {
		return backend.GroupOrder{}, false
	}
	if g == nil {
		if l.Place != nil && !isWarmup(l.Place.Group) {
			return leaveOrder(l.Place), true
		}
		return backend.GroupOrder{}, false
	}
	if t.placeHistory.wasPlacedIn(l.Instance, g) || g.Phase != group.PhaseActive {
		return backend.GroupOrder{}, false
	}
	return backend.GroupOrder{Kind: backend.OrderJoin, Group: g.ID, Epoch: g.Epoch, Model: g.Model, Members: instanceIDs(g.Members)}, true
}

// nextPhaseOrder returns the next order for an engine that is in its planned place.
func (t *termState) nextPhaseOrder(g *group.Group, l directory.Listing, servers map[fleet.InstanceID]directory.Listing) (backend.GroupOrder, bool) {
	if l.Place.Rank != 0 {
		return backend.GroupOrder{}, false
	}
	o := backend.GroupOrder{Group: g.ID, Epoch: g.Epoch}
	switch {
	case g.Phase == group.PhaseDraining && l.Place.State == directory.PlaceOpen:
		o.Kind = backend.OrderClose
	case g.Phase == group.PhaseActive && l.Place.State == directory.PlaceReady && t.allReady(g, servers):
		o.Kind = backend.OrderOpen
	default:
		return o, false
	}
	return o, true
}

// allReady reports whether every member reports that it is ready in the group's
// current epoch. Engines do not verify this among themselves.
func (t *termState) allReady(g *group.Group, servers map[fleet.InstanceID]directory.Listing) bool {
	return !slices.ContainsFunc(g.Members, func(m group.Member) bool {
		l, listed := servers[m.Instance]
		return !listed || l.Failed || !t.isConfirmed(l) || !isPlacedIn(l.Place, g) || l.Place.State != directory.PlaceReady
	})
}

// isGroupLeaderUnreachable reports whether the group leader of a place is unknown,
// not listed or failed, and its membership has not ended.
func (c *GroupController) isGroupLeaderUnreachable(t *termState, p *directory.Place, servers map[fleet.InstanceID]directory.Listing) bool {
	m := t.placeHistory.membership(placeKey{p.Group, p.Epoch})
	if m.ended {
		return false
	}
	groupLeader, listed := servers[m.groupLeader]
	return m.groupLeader == "" || !listed || groupLeader.Failed
}

func leaveOrder(p *directory.Place) backend.GroupOrder {
	return backend.GroupOrder{Kind: backend.OrderLeave, Group: p.Group, Epoch: p.Epoch}
}

// maySend reports whether an order may be sent now: no order to the engine is in
// flight, and the same order was not sent so recently that its effect may not show
// yet.
func (c *GroupController) maySend(id fleet.InstanceID, o backend.GroupOrder, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ordersInFlight >= maxOrders {
		return false
	}
	last := c.orders[id]
	if last == nil {
		return true
	}
	delay := orderResendDelay
	if !last.accepted {
		delay = orderResendDelay / 2 << min(last.failures, maxOrderBackoffDoublings)
	}
	return !last.inFlight && (!sameOrder(last.order, o) || now.Sub(last.sentAt) >= delay)
}

// send sends an order and records it as in flight.
func (c *GroupController) send(ctx context.Context, t *termState, l directory.Listing, o backend.GroupOrder, now time.Time) {
	c.mu.Lock()
	sent := c.orders[l.Instance]
	if sent == nil || !sameOrder(sent.order, o) {
		sent = &sentOrder{order: o}
		c.orders[l.Instance] = sent
	}
	sent.sentAt, sent.inFlight, sent.accepted = now, true, false
	c.ordersInFlight++
	c.mu.Unlock()
	c.running.Go(func() { c.deliver(ctx, t, l, sent) })
}

// maxOrderBackoffDoublings limits the exponential backoff after failed orders.
const maxOrderBackoffDoublings = 3

// deliver sends one order to the engine and records the result.
func (c *GroupController) deliver(ctx context.Context, t *termState, l directory.Listing, sent *sentOrder) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	o := sent.order
	var err error
	if hold, ok := c.cfg.Leases.Held(c.cfg.Scope); !ok || hold.Term != t.term {
		err = errors.New("the lease on the scope is no longer held")
		c.cfg.Events.Emit(eventOrderDropped, "instance", l.Instance, "scope", c.cfg.Scope, "term", t.term)
	} else {
		err = c.cfg.Engines.Order(ctx, l.Instance, l.Address, o)
		c.cfg.Events.Emit(eventOrdered, "instance", l.Instance, "order", o.Kind, "group", o.Group, "epoch", o.Epoch, "model", o.Model, "outcome", orderOutcome(err))
	}
	c.mu.Lock()
	sent.inFlight = false
	c.ordersInFlight--
	sent.accepted = err == nil
	if err == nil {
		sent.failures = 0
	} else {
		sent.failures++
		if o.Kind == backend.OrderStage {
			c.rejectedStages = append(c.rejectedStages, l.Instance)
		}
	}
	c.mu.Unlock()
	if err != nil {
		if !errors.Is(err, backend.ErrRefused) {
			c.prober.probeEngine(l.Instance)
		}
		c.wakeLoop()
		return
	}
	c.prober.recordAccepted(t, l, o)
}

func orderOutcome(err error) any {
	if err == nil {
		return "accepted"
	}
	return err
}

func sameOrder(a, b backend.GroupOrder) bool {
	return a.Kind == b.Kind && a.Group == b.Group && a.Epoch == b.Epoch && a.Model == b.Model
}
