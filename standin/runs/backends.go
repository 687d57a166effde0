package runs

import (
	"context"
	"fmt"
	"sync"
	"time"

	carawayv1 "carawayproxy.example/caraway/api/caraway/v1"
	"carawayproxy.example/caraway/api/caraway/v1/carawayv1connect"
	"carawayproxy.example/caraway/internal/fleet"
	"carawayproxy.example/caraway/internal/httpx"
	"carawayproxy.example/caraway/standin/engine"
	"carawayproxy.example/caraway/standin/plain"
	"carawayproxy.example/caraway/standin/platform"
	"carawayproxy.example/caraway/standin/runs/network"
)

const (
	enginePool = "engines"
	plainPool  = "desk"
	// crashMarker in a prompt crashes every engine that runs it.
	crashMarker = "CRASH-THE-ENGINE"
	// crashRestartDelay is how long a crashed backend server takes to restart.
	crashRestartDelay = 3 * time.Second
)

// engineHost is a host that runs at most one engine at a time.
type engineHost struct {
	world  *World
	number int
	ip     string
	fabric fleet.FabricDomain

	mu      sync.Mutex
	running *engine.Engine
	host    *network.Host
	cancel  context.CancelFunc
	// leavingSince is when the engine began to report that it is leaving.
	leavingSince time.Time
}

func newEngineHost(w *World, i int, fabric fleet.FabricDomain) *engineHost {
	return &engineHost{world: w, number: i, ip: fmt.Sprintf("10.2.0.%d", i+1), fabric: fabric}
}

func (e *engineHost) id() string      { return fmt.Sprintf("engine-%d", e.number) }
func (e *engineHost) address() string { return e.ip + ":" + backendPort }

// zone returns the availability zone of the engine's fabric domain.
func (e *engineHost) zone() fleet.Zone {
	return zoneOf(e.number % e.world.size.Fabrics)
}

// checksFencing is true for every other engine.
func (e *engineHost) checksFencing() bool { return e.number%2 == 0 }

func (e *engineHost) start() error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.running != nil {
		return nil
	}
	w := e.world
	e.host = w.net.Host(e.ip)
	ctx, cancel := context.WithCancel(w.ctx)
	e.cancel = cancel
	client := httpx.NewClient(e.host.Dial)
	e.running = engine.New(engine.Config{
		ID: e.id(), Address: e.address(), ChecksFencing: e.checksFencing(), TokenInterval: 20 * time.Millisecond,
		Fetch: func(ctx context.Context, _, _, _ string) error { _, err := w.platform.Weights.Fetch(ctx); return err },
		Member: func(address string) carawayv1connect.EngineServiceClient {
			return carawayv1connect.NewEngineServiceClient(client, "http://"+address)
		},
		Crashed: func() { w.tasks.Go(func() { e.restartAfterCrash() }) },
		Observe: func(en *engine.Engine, req *carawayv1.RunRequest) { w.monitor.recordEngineRun(e, req) },
	})
	running := e.running
	e.leavingSince = time.Time{}
	running.SetFaults(engine.Faults{CrashMarker: crashMarker})
	w.tasks.Go(func() {
		running.Watch(ctx)
		client.CloseIdleConnections()
	})
	w.tasks.Go(func() {
		w.register(ctx, platform.Registration{
			ID: fleet.InstanceID(e.id()), Address: e.address(), Zone: e.zone(), Fabric: e.fabric,
			Pool: enginePool, Kind: fleet.KindEngine, Accelerators: 8, ChecksFencing: e.checksFencing(),
		})
	})
	return w.serve(ctx, e.host, backendPort, running.Handler())
}

// kill ends the engine and everything that it runs.
func (e *engineHost) kill() {
	e.mu.Lock()
	running, host, cancel := e.running, e.host, e.cancel
	e.running = nil
	e.leavingSince = time.Time{}
	e.mu.Unlock()
	if running == nil {
		return
	}
	host.Kill()
	running.SetFaults(engine.Faults{}) // a frozen engine can't end
	running.Crash()
	cancel()
}

// restartAfterCrash restarts the engine after it crashed by itself.
func (e *engineHost) restartAfterCrash() {
	e.mu.Lock()
	running := e.running != nil
	e.mu.Unlock()
	if !running {
		return
	}
	e.kill()
	select {
	case <-time.After(crashRestartDelay):
		_ = e.start()
	case <-e.world.ctx.Done():
	}
}

// setFaults changes the engine's faults.
func (e *engineHost) setFaults(change func(f *engine.Faults)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.running == nil {
		return
	}
	f := e.running.Faults()
	change(&f)
	if f.Leaving && e.leavingSince.IsZero() {
		e.leavingSince = time.Now()
	}
	e.running.SetFaults(f)
}

// state returns a running engine's assignment and since when it is leaving.
func (e *engineHost) state() (alive bool, a *carawayv1.Assignment, leavingSince time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.running == nil {
		return false, nil, time.Time{}
	}
	a, _ = e.running.Assignment()
	return true, a, e.leavingSince
}

// plainHost is a host that runs at most one plain backend server at a time.
type plainHost struct {
	world  *World
	number int
	ip     string

	mu           sync.Mutex
	running      *plain.Server
	host         *network.Host
	cancel       context.CancelFunc
	leavingSince time.Time
}

func newPlainHost(w *World, i int) *plainHost {
	return &plainHost{world: w, number: i, ip: fmt.Sprintf("10.3.0.%d", i+1)}
}

func (p *plainHost) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.running != nil {
		return nil
	}
	w := p.world
	p.host = w.net.Host(p.ip)
	ctx, cancel := context.WithCancel(w.ctx)
	p.cancel = cancel
	p.leavingSince = time.Time{}
	id := fmt.Sprintf("plain-%d", p.number)
	p.running = plain.New(plain.Config{
		ID: id, Latency: 20 * time.Millisecond,
		Observe: func(call *carawayv1.CallRequest) { w.monitor.recordPlainRun(p, call) },
	})
	w.tasks.Go(func() {
		w.register(ctx, platform.Registration{
			ID: fleet.InstanceID(id), Address: p.ip + ":" + backendPort, Zone: zoneOf(p.number),
			Pool: plainPool, Kind: fleet.KindPlain,
		})
	})
	return w.serve(ctx, p.host, backendPort, p.running.Handler())
}

func (p *plainHost) kill() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.running == nil {
		return
	}
	p.host.Kill()
	p.cancel()
	p.running = nil
	p.leavingSince = time.Time{}
}

// setFaults changes the server's faults.
func (p *plainHost) setFaults(change func(f *plain.Faults)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.running == nil {
		return
	}
	f := p.running.Faults()
	change(&f)
	if f.Leaving && p.leavingSince.IsZero() {
		p.leavingSince = time.Now()
	}
	p.running.SetFaults(f)
}

func (p *plainHost) leaving() time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.leavingSince
}
