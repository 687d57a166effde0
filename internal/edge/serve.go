package edge

import (
	"context"
	"io"
	"log"
	"net"
	"net/http"
	"net/http/pprof"
	"time"

	"github.com/pkg/errors"

	"carawayproxy.example/caraway/api/caraway/v1/carawayv1connect"
	"carawayproxy.example/caraway/internal/clients"
	"carawayproxy.example/caraway/internal/entry"
	"carawayproxy.example/caraway/internal/event"
	"carawayproxy.example/caraway/internal/gateway"
	"carawayproxy.example/caraway/internal/httpx"
)

func (s boundServer) serve(events *event.Logger) {
	if err := s.server.Serve(s.listener); !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
		events.Emit(eventServeFailed, "listener", s.name, "error", err)
	}
}

// Connection limits. The timeouts apply to client connections if the document
// states none. Clients reuse connections that were idle for up to 4/5 of the
// document's idle timeout.
const (
	headerTimeout  = 5 * time.Second
	idleTimeout    = 20 * time.Second
	maxHeaderBytes = 64 << 10
)

// servers returns the servers for callers, readiness, admin and peers.
func (d *Daemon) servers() []boundServer {
	callers := entry.NewHandler(entry.Config{
		Codec:      d.env.Platform.Codec,
		Routes:     d.routes,
		IsOutdated: func() bool { return d.documentBehindFor(time.Now()) > 0 },
		Dispatcher: demandRecorder{d},
		Draining:   d.draining.Load,
		StopsAt:    d.stopsAt,
		Bodies:     d.bodies,
		Pacer:      clients.NewPacer(d.settings.Processors),
		Reports:    &d.reports,
		Events:     d.events,
	})
	readiness := http.NewServeMux()
	readiness.HandleFunc("GET "+d.env.Platform.ReadyPath, func(w http.ResponseWriter, _ *http.Request) {
		if ok, reason := d.Ready(); !ok {
			http.Error(w, reason, http.StatusServiceUnavailable)
		}
	})
	admin := http.NewServeMux()
	admin.Handle(carawayv1connect.NewAdminServiceHandler(adminService{d: d}, httpx.HandlerOptions(d.settings.MaxBodyBytes)))
	admin.Handle("GET /metrics", gateway.TextMetrics(d.metrics))
	admin.HandleFunc("GET /debug/pprof/profile", pprof.Profile)
	admin.HandleFunc("GET /debug/pprof/", pprof.Index)
	gateway.Health(admin, d.Ready)

	return []boundServer{
		{name: "callers", listener: d.callers, server: clients.Attach(withPlaceholderTimeouts(newServer(callers)))},
		d.internalServer("readiness", d.env.Readiness, readiness),
		d.internalServer("admin", d.env.Admin, admin),
		{name: "peers", listener: clients.NewHandshakeListener(d.env.Peers, d.plan.Handshakes, d.onConnectionClosed("peers", d.plan.Handshakes)), server: clients.Attach(newServer(d.peerHandler()))},
	}
}

// internalServer returns a server whose connections are few, and bounded like those of
// callers.
func (d *Daemon) internalServer(name string, l net.Listener, h http.Handler) boundServer {
	return boundServer{name: name, listener: clients.NewListener(l, d.plan.Operators, d.onConnectionClosed(name, d.plan.Operators)), server: clients.Attach(newServer(h))}
}

// onConnectionClosed returns a function that logs that a connection of a listener was closed
// in favor of another one.
func (d *Daemon) onConnectionClosed(listener string, limit int) func(client string) {
	return func(client string) {
		if log, unlogged := d.reports.Report(client, "connections", time.Now()); log {
			d.events.Emit(eventConnectionClosed, "client", client, "listener", listener, "limit", limit, "unlogged", unlogged)
		}
	}
}

func newServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler:           h,
		ErrorLog:          log.New(io.Discard, "", 0), // disconnecting clients are normal
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
}

const (
	// drainPollInterval is the interval at which a planned stop checks the
	// requests in flight.
	drainPollInterval = 50 * time.Millisecond
	// releaseTimeout bounds the release of the scopes.
	releaseTimeout = 500 * time.Millisecond
	// shutdownTimeout bounds the delivery of the last responses.
	shutdownTimeout = 300 * time.Millisecond
)

// Drain starts a planned stop. Run returns when it has completed.
func (d *Daemon) Drain() {
	d.drainOnce.Do(func() {
		d.drainingSince.Store(int64(time.Since(d.started)))
		d.draining.Store(true)
		close(d.drainStarted)
	})
}

// stopsAt returns the time by which requests that arrive during a planned stop must be
// answered, zero while there is none.
func (d *Daemon) stopsAt() time.Time {
	if !d.draining.Load() {
		return time.Time{}
	}
	return d.started.Add(time.Duration(d.drainingSince.Load()) + d.settings.DrainTimeout - shutdownTimeout)
}

// LogSettingsChanged logs that the settings changed. A running process keeps
// its settings, which come from the environment.
func (d *Daemon) LogSettingsChanged() { d.events.Emit(eventSettingsChanged) }

// stopGracefully performs a planned stop. It turns the daemon unready, keeps
// accepting requests for the drain grace until the load balancer has noticed,
// then stops accepting and waits for the requests in flight.
func (d *Daemon) stopGracefully(ctx context.Context, servers []boundServer) {
	d.events.Emit(eventDraining, "in_flight", d.dispatcher.InFlight())
	deadline, cancel := context.WithTimeout(ctx, d.settings.DrainTimeout)
	defer cancel()
	d.releaseScopes(ctx)
	d.mesh.Goodbye()
	sleep(ctx, d.settings.DrainGrace)
	d.dispatcher.Drain()
	for d.dispatcher.InFlight() > 0 || d.env.ServerDialer.Served() > 0 {
		if !sleep(deadline, drainPollInterval) {
			d.events.Emit(eventDrainTimeout, "in_flight", d.dispatcher.InFlight(), "tunnels", d.env.ServerDialer.Served())
			return
		}
	}
	ctx, cancel = context.WithTimeout(ctx, shutdownTimeout)
	defer cancel()
	for _, s := range servers {
		_ = s.server.Shutdown(ctx) // Run closes the remaining connections
	}
	d.events.Emit(eventDrained)
}

func (d *Daemon) releaseScopes(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	if err := d.elector.Release(ctx); err != nil {
		d.events.Emit(eventStoreFailed, "what", "release of the scopes", "error", err)
	}
}

// sleep waits for d. It returns false if ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
