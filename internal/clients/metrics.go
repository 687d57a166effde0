package clients

import (
	"github.com/rcrowley/go-metrics"

	"carawayproxy.example/caraway/internal/memory"
)

// RegisterMetrics registers the gauges of the bodies' memory and of a listener.
func RegisterMetrics(r metrics.Registry, bodies *memory.Budget, l *Listener) {
	gauge := func(name string, value func() int64) {
		_ = r.Register("clients."+name, metrics.NewFunctionalGauge(value)) // only an invalid gauge or a second one of this name fails
	}
	gauge("connections", func() int64 { return int64(l.Open()) })
	gauge("connections_closed", func() int64 { return int64(l.Closed()) })
	gauge("body_bytes", func() int64 { return int64(bodies.Used()) })
	gauge("bodies_dropped", func() int64 { return int64(bodies.Dropped()) })
}
