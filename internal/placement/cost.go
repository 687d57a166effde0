package placement

import (
	"math"
	"slices"
	"time"
)

// unavailable is the cost of an option that can't be taken.
var unavailable = math.Inf(1)

// waitLimits are the durations for which a limited wait is evaluated.
var waitLimits = []time.Duration{
	time.Second, 2 * time.Second, 4 * time.Second, 8 * time.Second, 16 * time.Second,
	32 * time.Second, 64 * time.Second, 128 * time.Second, 256 * time.Second, 512 * time.Second,
}

// returnEstimate describes the expected return of a group's lost members.
type returnEstimate struct {
	classes []ReturnClass
	elapsed time.Duration // since the loss
}

// posterior returns the classes with their shares conditioned on no return
// during the elapsed time.
func (e returnEstimate) posterior() []ReturnClass {
	classes := slices.Clone(e.classes)
	total := 0.0
	for i, c := range classes {
		classes[i].Share = c.Share * math.Exp(-ratio(e.elapsed, c.Mean))
		total += classes[i].Share
	}
	if total < 1e-12 {
		return []ReturnClass{{Share: 1, Mean: max(e.elapsed, longestMean(classes)), Reload: true}}
	}
	for i := range classes {
		classes[i].Share /= total
	}
	return classes
}

// meanTime returns the expected time until the return.
func (e returnEstimate) meanTime() time.Duration {
	m := 0.0
	for _, c := range e.posterior() {
		m += c.Share * float64(c.Mean)
	}
	return time.Duration(m)
}

// waitCost returns the lowest expected cost of waiting, either without limit or
// up to one of waitLimits and then paying fallback. rate is the cost per second
// of waiting, and reload the cost of loading the weights again after the return.
func (e returnEstimate) waitCost(rate, reload, fallback float64) float64 {
	classes := e.posterior()
	best := unboundedWaitCost(classes, rate, reload)
	if math.IsInf(fallback, 1) {
		return best
	}
	for _, limit := range waitLimits {
		best = min(best, boundedWaitCost(classes, limit, rate, reload, fallback))
	}
	return best
}

func unboundedWaitCost(classes []ReturnClass, rate, reload float64) float64 {
	cost := 0.0
	for _, c := range classes {
		cost += c.Share * (rate*c.Mean.Seconds() + c.remainingCost(reload))
	}
	return cost
}

func boundedWaitCost(classes []ReturnClass, limit time.Duration, rate, reload, fallback float64) float64 {
	cost := 0.0
	for _, c := range classes {
		late := math.Exp(-ratio(limit, c.Mean))
		waiting := rate * c.Mean.Seconds() * (1 - late)
		cost += c.Share * (waiting + (1-late)*c.remainingCost(reload) + late*fallback)
	}
	return cost
}

// remainingCost is the cost that a return of this class incurs after the wait.
func (c ReturnClass) remainingCost(reload float64) float64 {
	if c.Reload {
		return reload
	}
	return 0
}

func longestMean(classes []ReturnClass) time.Duration {
	m := time.Second
	for _, c := range classes {
		m = max(m, c.Mean)
	}
	return m
}

func ratio(a, b time.Duration) float64 { return float64(a) / float64(max(b, time.Millisecond)) }
