package daemon

import (
	"net"
	"net/http"
	"net/http/pprof"
	"time"

	"github.com/pkg/errors"

	"carawayproxy.example/caraway/api/caraway/v1/carawayv1connect"
	"carawayproxy.example/caraway/internal/clients"
	"carawayproxy.example/caraway/internal/event"
	"carawayproxy.example/caraway/internal/gateway"
	"carawayproxy.example/caraway/internal/httpx"
)

// boundServer is an HTTP server with its listener.
type boundServer struct {
	name     string
	listener net.Listener
	server   *http.Server
}

func (s boundServer) serve(events *event.Logger) {
	serve := func() error { return s.server.Serve(s.listener) }
	if s.server.TLSConfig != nil {
		serve = func() error { return s.server.ServeTLS(s.listener, "", "") }
	}
	if err := serve(); !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
		events.Emit(eventServeFailed, "listener", s.name, "error", err)
	}
}

// servers creates the callers', admin and peers' servers.
func (d *Daemon) servers() []boundServer {
	callers := http.NewServeMux()
	callers.Handle(gateway.NewInference(d.dispatcher).Handler(gateway.Limits{
		MaxBytes: d.settings.MaxBodyBytes, Bodies: d.bodies, Decoders: d.plan.Decoders, OnLimit: d.onLimitMet,
	}))
	gateway.Health(callers, d.Ready)

	admin := http.NewServeMux()
	admin.Handle(carawayv1connect.NewAdminServiceHandler(adminService{d}, httpx.HandlerOptions(d.settings.MaxBodyBytes)))
	admin.Handle("GET /metrics", gateway.Metrics(d.metrics))
	admin.HandleFunc("GET /debug/pprof/profile", pprof.Profile)
	admin.HandleFunc("GET /debug/pprof/", pprof.Index)
	gateway.Health(admin, d.Ready)

	return []boundServer{
		{name: "callers", listener: d.callers, server: clients.Attach(httpx.NewServer(httpx.LimitSlowClients(callers), d.env.TLS))},
		{name: "admin", listener: clients.NewListener(d.env.Admin, d.plan.Operators, d.onConnectionClosed("admin", d.plan.Operators)), server: clients.Attach(httpx.NewServer(httpx.LimitSlowClients(withOperatorName(admin)), d.env.AdminTLS))},
		{name: "peers", listener: clients.NewHandshakeListener(d.env.Peers, d.plan.Handshakes, d.onConnectionClosed("peers", d.plan.Handshakes)), server: clients.Attach(httpx.NewServer(d.mesh.Handler(), nil))},
	}
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

// onLimitMet logs that a caller met a limit.
func (d *Daemon) onLimitMet(client, limit, reason string) {
	if log, unlogged := d.reports.Report(client, limit, time.Now()); log {
		d.events.Emit(eventLimitMet, "client", client, "limit", limit, "reason", reason, "unlogged", unlogged)
	}
}
