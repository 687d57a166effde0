package runs

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"connectrpc.com/connect"

	carawayv1 "carawayproxy.example/caraway/api/caraway/v1"
	"carawayproxy.example/caraway/api/caraway/v1/carawayv1connect"
)

const (
	publishTimeout = 10 * time.Second
	groupSize      = 2

	publishGapMin = 10 * time.Second
	publishGapMax = 30 * time.Second
)

// modelFile is the model's service file. share is what operators change.
func modelFile(groups, share int) string {
	return fmt.Sprintf(`service: %s
kind: engine
pool: %s
model: biogas-70b
versions:
  - name: v1
    groups: %d
adapters: [%s]
workspaces:
  - name: %s
    share: %d
replicas:
  instances: %d
  spares: 1
  load_time: 2s
limits:
  max_tokens: 256
  default_deadline: 20s
`, modelService, enginePool, groups, adapter, workspace, share, groupSize)
}

func plainFile(share int) string {
	return fmt.Sprintf(`service: %s
kind: plain
pool: %s
workspaces:
  - name: %s
    share: %d
methods:
  - name: %s
    idempotent: false
  - name: %s
    idempotent: true
limits:
  default_deadline: 10s
`, plainService, plainPool, workspace, share, methodBook, methodLook)
}

// operators publish changes, now and then two at the same time.
type operators struct {
	world  *World
	watch  *watch
	groups int
}

func (o *operators) client(d *daemonHost) carawayv1connect.AdminServiceClient {
	return carawayv1connect.NewAdminServiceClient(o.world.client, "http://"+d.ip+":"+adminPort)
}

// publishFirst puts both services into force.
func (o *operators) publishFirst(ctx context.Context) bool {
	return o.publish(ctx, o.world.daemons[0], "trust", []*carawayv1.ServiceChange{
		{Service: modelService, Body: modelFile(o.groups, 1), File: "drafting.yaml"},
		{Service: plainService, Body: plainFile(1), File: "bookings.yaml"},
	})
}

func (o *operators) publish(ctx context.Context, d *daemonHost, author string, changes []*carawayv1.ServiceChange) bool {
	ctx, cancel := context.WithTimeout(ctx, publishTimeout)
	defer cancel()
	resp, err := o.client(d).Publish(ctx, connect.NewRequest(&carawayv1.PublishRequest{Author: author, Changes: changes}))
	switch {
	case err != nil:
		o.watch.count("publications without an answer")
		return false
	case !resp.Msg.Accepted:
		o.watch.count("publications refused")
		return false
	}
	o.watch.accept(resp.Msg.Revision)
	return true
}

// run publishes one change after another until ctx ends.
func (o *operators) run(ctx context.Context, r *rand.Rand) {
	for ctx.Err() == nil {
		pause(ctx, between(r, publishGapMin, publishGapMax))
		d := o.world.daemons[r.IntN(len(o.world.daemons))]
		if base, ok := o.base(ctx, d); ok {
			o.publish(ctx, d, "trust", o.change(base, 1+r.IntN(1000)))
		}
	}
}

// change is one of the model's service.
func (o *operators) change(base uint64, share int) []*carawayv1.ServiceChange {
	return []*carawayv1.ServiceChange{{
		Service: modelService, BaseRevision: base, Body: modelFile(o.groups, share), File: "drafting.yaml",
	}}
}

// race lets two operators change one service from the same base at two
// daemons.
func (o *operators) race(ctx context.Context, r *rand.Rand) {
	a := o.world.daemons[r.IntN(len(o.world.daemons))]
	b := o.world.daemons[r.IntN(len(o.world.daemons))]
	base, ok := o.base(ctx, a)
	if !ok {
		return
	}
	share := 2 + 2*r.IntN(1000)
	o.raceWith(ctx, a, b, o.change(base, share), o.change(base, share+1))
}

// raceWith publishes two changes, which conflict, at the same time.
func (o *operators) raceWith(ctx context.Context, a, b *daemonHost, first, second []*carawayv1.ServiceChange) {
	var wonA, wonB bool
	var both sync.WaitGroup
	both.Go(func() { wonA = o.publish(ctx, a, "trust", first) })
	both.Go(func() { wonB = o.publish(ctx, b, "council", second) })
	both.Wait()
	o.watch.count("publication races")
	if wonA && wonB {
		o.watch.find(CheckRace, "two publications that conflict were both accepted, for %s and %s", first[0].Service, second[0].Service)
	}
}

// base returns the model's revision as a daemon knows it.
func (o *operators) base(ctx context.Context, d *daemonHost) (uint64, bool) {
	return o.baseOf(ctx, d, modelService)
}

// baseOf returns a service's revision as a daemon knows it.
func (o *operators) baseOf(ctx context.Context, d *daemonHost, service string) (uint64, bool) {
	ctx, cancel := context.WithTimeout(ctx, publishTimeout)
	defer cancel()
	resp, err := o.client(d).ListServices(ctx, connect.NewRequest(&carawayv1.ListServicesRequest{}))
	if err != nil {
		return 0, false
	}
	for _, s := range resp.Msg.Services {
		if strings.EqualFold(s.Service, service) {
			return s.Revision, true
		}
	}
	return 0, false
}

// groupStates describes the groups as the first daemon that answers sees
// them, and the engines as they are.
func (o *operators) groupStates(ctx context.Context) string {
	var out strings.Builder
	for _, d := range o.world.daemons {
		ctx, cancel := context.WithTimeout(ctx, publishTimeout)
		resp, err := o.client(d).ListGroups(ctx, connect.NewRequest(&carawayv1.ListGroupsRequest{}))
		cancel()
		if err != nil {
			fmt.Fprintf(&out, "%s: %v; ", d.ip, err)
			continue
		}
		for _, g := range resp.Msg.Groups {
			fmt.Fprintf(&out, "group %s epoch %d %s whole=%v %q members %v spares %v; ", g.Group, g.Epoch, g.State, g.Whole, g.Reason, g.Members, g.Spares)
		}
		break
	}
	for _, e := range o.world.engines {
		alive, a, _ := e.state()
		fmt.Fprintf(&out, "%s (%s) alive=%v", e.id(), e.fabric, alive)
		if a != nil {
			fmt.Fprintf(&out, " in %s epoch %d rank %d", a.Group, a.Epoch, a.Rank)
		}
		out.WriteString("; ")
	}
	return out.String()
}
