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

// modelFile returns the model's service file. Operators change the share.
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

// operators publish changes, sometimes two concurrently.
type operators struct {
	world   *World
	monitor *monitor
	groups  int
}

func (o *operators) client(d *daemonHost) carawayv1connect.AdminServiceClient {
	return carawayv1connect.NewAdminServiceClient(o.world.client, "http://"+d.ip+":"+adminPort)
}

// publishFirst publishes both services.
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
		o.monitor.count("publications without an answer")
		return false
	case !resp.Msg.Accepted:
		o.monitor.count("publications refused")
		return false
	}
	o.monitor.recordAccepted(resp.Msg.Revision)
	return true
}

// run publishes one change after another until ctx ends.
func (o *operators) run(ctx context.Context, r *rand.Rand) {
	for ctx.Err() == nil {
		sleep(ctx, randomDuration(r, publishGapMin, publishGapMax))
		d := o.world.daemons[r.IntN(len(o.world.daemons))]
		if base, ok := o.modelRevision(ctx, d); ok {
			o.publish(ctx, d, "trust", o.modelChange(base, 1+r.IntN(1000)))
		}
	}
}

// modelChange returns a change of the model's service.
func (o *operators) modelChange(base uint64, share int) []*carawayv1.ServiceChange {
	return []*carawayv1.ServiceChange{{
		Service: modelService, BaseRevision: base, Body: modelFile(o.groups, share), File: "drafting.yaml",
	}}
}

// race makes two operators change one service from the same base revision at two
// daemons.
func (o *operators) race(ctx context.Context, r *rand.Rand) {
	a := o.world.daemons[r.IntN(len(o.world.daemons))]
	b := o.world.daemons[r.IntN(len(o.world.daemons))]
	base, ok := o.modelRevision(ctx, a)
	if !ok {
		return
	}
	share := 2 + 2*r.IntN(1000)
	o.raceWith(ctx, a, b, o.modelChange(base, share), o.modelChange(base, share+1))
}

// raceWith publishes two conflicting changes concurrently.
func (o *operators) raceWith(ctx context.Context, a, b *daemonHost, first, second []*carawayv1.ServiceChange) {
	var wonA, wonB bool
	var both sync.WaitGroup
	both.Go(func() { wonA = o.publish(ctx, a, "trust", first) })
	both.Go(func() { wonB = o.publish(ctx, b, "council", second) })
	both.Wait()
	o.monitor.count("publication races")
	if wonA && wonB {
		o.monitor.addFinding(CheckRace, "two conflicting publications were both accepted, for %s and %s", first[0].Service, second[0].Service)
	}
}

// modelRevision returns the model's revision that a daemon reports.
func (o *operators) modelRevision(ctx context.Context, d *daemonHost) (uint64, bool) {
	return o.serviceRevision(ctx, d, modelService)
}

// serviceRevision returns a service's revision that a daemon reports.
func (o *operators) serviceRevision(ctx context.Context, d *daemonHost, service string) (uint64, bool) {
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

// groupStates describes the groups as reported by the first daemon that answers,
// and the actual state of the engines.
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
