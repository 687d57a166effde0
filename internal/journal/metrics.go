package journal

import "github.com/rcrowley/go-metrics"

// counters are the metrics of one stream.
type counters struct {
	appends   metrics.Counter // calls of Append
	records   metrics.Counter // records in them
	unknown   metrics.Counter // appends without an answer
	folded    metrics.Counter
	repeats   metrics.Counter
	stale     metrics.Counter
	malformed metrics.Counter
	next      metrics.Gauge
}

// newCounters registers the metrics of one stream. Without a registry they
// count for nobody.
func newCounters(reg metrics.Registry, s Stream) counters {
	if reg == nil {
		reg = metrics.NewRegistry()
	}
	name := func(what string) string { return "journal." + string(s) + "." + what }
	return counters{
		appends:   metrics.GetOrRegisterCounter(name("appends"), reg),
		records:   metrics.GetOrRegisterCounter(name("records"), reg),
		unknown:   metrics.GetOrRegisterCounter(name("appends-unknown"), reg),
		folded:    metrics.GetOrRegisterCounter(name("folded"), reg),
		repeats:   metrics.GetOrRegisterCounter(name("repeats"), reg),
		stale:     metrics.GetOrRegisterCounter(name("stale"), reg),
		malformed: metrics.GetOrRegisterCounter(name("malformed"), reg),
		next:      metrics.GetOrRegisterGauge(name("next"), reg),
	}
}
