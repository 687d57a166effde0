package dispatch

import (
	metrics "github.com/rcrowley/go-metrics"
)

// sampleSize is the reservoir size of a histogram.
const sampleSize = 1028

type dispatchMetrics struct {
	requests, refused, attempts, retries, resumed, noBudget         metrics.Counter
	crossed, broken, stalled, groupLost, cancels, uncertain, tokens metrics.Counter
	events, rateLimited, departures, pauses, evacuated              metrics.Counter
	failovers, needlessFailovers, dialsGivenUp                      metrics.Counter
	firstToken                                                      metrics.Histogram            // milliseconds
	steps                                                           [stepCount]metrics.Histogram // milliseconds
}

func newDispatchMetrics(r metrics.Registry) dispatchMetrics {
	if r == nil {
		r = metrics.NewRegistry()
	}
	count := func(name string) metrics.Counter { return metrics.GetOrRegisterCounter("dispatch."+name, r) }
	histogram := func(name string) metrics.Histogram {
		return metrics.GetOrRegisterHistogram("dispatch."+name, r, metrics.NewUniformSample(sampleSize))
	}
	m := dispatchMetrics{
		requests:          count("requests"),
		refused:           count("refused"),
		attempts:          count("attempts"),
		retries:           count("retries"),
		resumed:           count("resumed"),
		noBudget:          count("retries_over_budget"),
		crossed:           count("crossed_answers"),
		broken:            count("broken_answers"),
		stalled:           count("stalled"),
		groupLost:         count("lapsed"),
		cancels:           count("cancels"),
		uncertain:         count("uncertain"),
		tokens:            count("tokens"),
		events:            count("events"),
		rateLimited:       count("rate_limited"),
		departures:        count("leaving_answers"),
		pauses:            count("pause_answers"),
		evacuated:         count("refused_for_evacuation"),
		failovers:         count("failovers"),
		needlessFailovers: count("failovers_needless"),
		dialsGivenUp:      count("dials_given_up"),
		firstToken:        histogram("first_token_ms"),
	}
	for step := range stepCount {
		m.steps[step] = histogram("step_" + step.String() + "_ms")
	}
	return m
}
