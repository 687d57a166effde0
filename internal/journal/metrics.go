package journal

import "github.com/rcrowley/go-metrics"

// counters are the metrics of one stream.
type counters struct {
	appends    metrics.Counter // calls of Append
	records    metrics.Counter // records in these calls
	unknown    metrics.Counter // appends without a response
	folded     metrics.Counter
	duplicates metrics.Counter
	stale      metrics.Counter
	malformed  metrics.Counter
	next       metrics.Gauge
}

// newCounters registers the metrics of one stream. If reg is nil, they are
// registered in a private registry.
func newCounters(reg metrics.Registry, s Stream) counters {
	if reg == nil {
		reg = metrics.NewRegistry()
	}
	name := func(suffix string) string { return "journal." + string(s) + "." + suffix }
	return counters{
		appends:    metrics.GetOrRegisterCounter(name("appends"), reg),
		records:    metrics.GetOrRegisterCounter(name("records"), reg),
		unknown:    metrics.GetOrRegisterCounter(name("appends-unknown"), reg),
		folded:     metrics.GetOrRegisterCounter(name("folded"), reg),
		duplicates: metrics.GetOrRegisterCounter(name("repeats"), reg),
		stale:      metrics.GetOrRegisterCounter(name("stale"), reg),
		malformed:  metrics.GetOrRegisterCounter(name("malformed"), reg),
		next:       metrics.GetOrRegisterGauge(name("next"), reg),
	}
}
