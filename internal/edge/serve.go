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
	"golang.org/x/net/netutil"

	"carawayproxy.example/caraway/internal/entry"
	"carawayproxy.example/caraway/internal/event"
	"carawayproxy.example/caraway/internal/gateway"
)

func (e endpoint) serve(events *event.Logger) {
	if err := e.server.Serve(e.listener); !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
		events.Emit(eventServeFailed, "listener", e.name, "error", err)
	}
}

// Bounds of connections, the callers' where the document has none. Callers reuse
// connections that were idle for up to four fifths of what it allows.
const (
	headerTimeout  = 5 * time.Second
	idleTimeout    = 20 * time.Second
	maxHeaderBytes = 64 << 10
)

// servers makes the callers', readiness, admin and peers' endpoints.
func (d *Daemon) servers() []endpoint {
	callers := entry.NewHandler(entry.Config{
		Codec:      d.env.Platform.Codec,
		Routes:     d.routes,
		Dispatcher: measured{d},
		Draining:   d.draining.Load,
		Events:     d.events,
	})
	readiness := http.NewServeMux()
	readiness.HandleFunc("GET "+d.env.Platform.ReadyPath, func(w http.ResponseWriter, _ *http.Request) {
		if ok, reason := d.Ready(); !ok {
			http.Error(w, reason, http.StatusServiceUnavailable)
		}
	})
	admin := http.NewServeMux()
	admin.Handle("GET /metrics", gateway.TextMetrics(d.metrics))
	admin.HandleFunc("GET /debug/pprof/profile", pprof.Profile)
	admin.HandleFunc("GET /debug/pprof/", pprof.Index)
	gateway.Health(admin, d.Ready)

	limited := boundedListener{netutil.LimitListener(d.env.Callers, d.set.MaxConnections), d.callerLimits}
	return []endpoint{
		{name: "callers", listener: limited, server: boundedByDocument(newServer(callers))},
		{name: "readiness", listener: d.env.Readiness, server: newServer(readiness)},
		{name: "admin", listener: d.env.Admin, server: newServer(admin)},
		{name: "peers", listener: d.env.Peers, server: newServer(d.mesh.Handler())},
	}
}

func newServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler:           h,
		ErrorLog:          log.New(io.Discard, "", 0), // clients come and go
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
}

const (
	// drainPoll is the time between looks at what is still in flight.
	drainPoll = 50 * time.Millisecond
	// giveBackTimeout bounds giving the scopes back.
	giveBackTimeout = 500 * time.Millisecond
	// shutdownTimeout bounds writing the last answers out.
	shutdownTimeout = 300 * time.Millisecond
)

// Drain begins a planned stop; Run returns once it has ended.
func (d *Daemon) Drain() {
	d.drain.Do(func() {
		d.draining.Store(true)
		close(d.drainNow)
	})
}

// HangUp notes that the settings changed. They are the environment, which a
// running process keeps.
func (d *Daemon) HangUp() { d.events.Emit(eventHangup) }

// stopGracefully carries out a planned stop: unready at once, a while of still
// accepting until the balancer has noticed, then no new requests, and those in
// flight to their end.
func (d *Daemon) stopGracefully(ctx context.Context, servers []endpoint) {
	d.events.Emit(eventDraining, "in_flight", d.dispatcher.InFlight())
	deadline, cancel := context.WithTimeout(ctx, d.set.DrainTimeout)
	defer cancel()
	d.giveBack(ctx)
	d.mesh.Goodbye()
	pause(ctx, d.set.DrainGrace)
	d.dispatcher.Drain()
	for d.dispatcher.InFlight() > 0 {
		if !pause(deadline, drainPoll) {
			d.events.Emit(eventDrainCut, "in_flight", d.dispatcher.InFlight())
			return
		}
	}
	ctx, cancel = context.WithTimeout(ctx, shutdownTimeout)
	defer cancel()
	for _, s := range servers {
		_ = s.server.Shutdown(ctx) // what is still open then is closed by Run
	}
	d.events.Emit(eventDrained)
}

func (d *Daemon) giveBack(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, giveBackTimeout)
	defer cancel()
	if err := d.tenure.GiveBack(ctx); err != nil {
		d.events.Emit(eventReadFailed, "what", "giving the scopes back", "error", err)
	}
}

// pause waits and reports whether ctx still stands.
func pause(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
