package admission

import (
	"time"
)

// Limiter learns how many requests of a service may be in flight at the same
// time. Callers must hold the lock of the service's shard.
type Limiter interface {
	// Limit returns the current limit, which is at least one.
	Limit() float64
	// Observe records the end of a request. inFlight is the number of requests
	// that were in flight at that time, including the ended one.
	Observe(now time.Time, inFlight int, res Result)
	// SetCapacity sets the number of concurrent requests that the service's
	// groups report they can run, or zero if they report none.
	SetCapacity(capacity float64)
}

// Fixed is the baseline limiter with a constant limit.
type Fixed float64

// Limit implements Limiter.
func (f Fixed) Limit() float64 { return float64(f) }

// Observe implements Limiter.
func (Fixed) Observe(time.Time, int, Result) {}

// SetCapacity implements Limiter.
func (Fixed) SetCapacity(float64) {}

// Defaults of the limiters.
const (
	// DefaultTarget is the time to first token that 95 % of the requests must
	// meet.
	DefaultTarget = 770 * time.Millisecond
	// DefaultInitial is the initial limit of a service with unknown capacity.
	DefaultInitial = 16.0
	// DefaultMin and DefaultMax bound the learned limit.
	DefaultMin = 1.0
	DefaultMax = 65536.0
)

const (
	// maxLateRatio is the fraction of requests that may miss the target.
	maxLateRatio = 0.05
	// A window of observations ends once it has minWindowSamples samples and
	// has lasted minWindowTime.
	minWindowSamples = 20
	minWindowTime    = time.Second
	// minUtilization is the fraction of the limit that must be in use for the
	// limit to grow.
	minUtilization = 0.8
	// maxDecreaseFactor and minDecreaseFactor bound the factor of a decrease.
	maxDecreaseFactor = 0.9
	minDecreaseFactor = 0.5
	// growthFactor is the factor of an increase, which adds at least one.
	// idleGrowthFactor applies while requests hardly wait, and
	// initialGrowthFactor before the first decrease.
	growthFactor        = 1.05
	idleGrowthFactor    = 1.5
	initialGrowthFactor = 2.0
	// idleWaitRatio is the wait ratio below which requests hardly wait.
	idleWaitRatio = 0.01
	// lateThreshold is the fraction of the target above which a request counts
	// as late. It is below one so that requests meet the target itself while
	// the limit oscillates.
	lateThreshold = 0.6
	// minLatencyTolerance is the multiple of the minimum latency up to which a
	// request counts as on time even if it misses the target. It serves
	// services that are slow when idle.
	minLatencyTolerance = 2.0
	// minLatencyRise is the fraction by which the minimum latency rises with
	// each window, so that an old minimum expires.
	minLatencyRise = 0.01
)

// AIMDConfig configures an AIMD limiter.
type AIMDConfig struct {
	// Target is the latency that 95 % of the requests must meet. It defaults to
	// DefaultTarget.
	Target time.Duration
	// Initial is the initial limit. It defaults to DefaultInitial.
	Initial float64
}

// AIMD adapts the limit to the observed latency. It raises the limit while
// requests meet the target and use the limit, and raises it faster while
// requests hardly wait. It lowers the limit if more than 5 % of the requests in
// a window miss the target, by the fraction of the actual in-flight requests
// that only waited. Until the first such window, the limit starts from the
// service's capacity, or doubles. Requests that started before the last change
// are ignored, since they do not reflect the current limit.
type AIMD struct {
	cfg          AIMDConfig
	limit        float64
	hasDecreased bool          // a window has missed the target
	changedAt    time.Time     // time of the last change of limit
	minLatency   time.Duration // lowest mean latency of a window, slowly rising

	windowStart  time.Time
	samples      int
	lateSamples  int
	peakInFlight int
	latencySum   time.Duration
	durationSum  time.Duration // from admission to the end
}

// NewAIMD returns an AIMD limiter.
func NewAIMD(cfg AIMDConfig) *AIMD {
	if cfg.Target == 0 {
		cfg.Target = DefaultTarget
	}
	if cfg.Initial == 0 {
		cfg.Initial = DefaultInitial
	}
	return &AIMD{cfg: cfg, limit: cfg.Initial}
}

// Limit implements Limiter.
func (a *AIMD) Limit() float64 { return a.limit }

// SetCapacity implements Limiter.
func (a *AIMD) SetCapacity(capacity float64) {
	if !a.hasDecreased {
		a.limit = min(max(a.limit, capacity), DefaultMax)
	}
}

// Observe implements Limiter.
func (a *AIMD) Observe(now time.Time, inFlight int, res Result) {
	if res.Failed || now.Add(-res.Total).Before(a.changedAt) {
		return // failed, or does not reflect the current limit
	}
	if a.windowStart.IsZero() {
		a.windowStart = now
	}
	latency := latencyOf(res)
	a.samples++
	a.latencySum += latency
	a.durationSum += max(res.Total, latency)
	a.peakInFlight = max(a.peakInFlight, inFlight)
	if latency > a.lateBound() {
		a.lateSamples++
	}
	if a.samples >= minWindowSamples && now.Sub(a.windowStart) >= minWindowTime {
		a.endWindow(now)
		a.windowStart = now
	}
}

// lateBound returns the latency above which a request counts as late.
func (a *AIMD) lateBound() time.Duration {
	return max(time.Duration(lateThreshold*float64(a.cfg.Target)), time.Duration(minLatencyTolerance*float64(a.minLatency)))
}

// endWindow adjusts the limit to the observations of the window and starts a new
// window.
func (a *AIMD) endWindow(now time.Time) {
	mean := a.latencySum / time.Duration(a.samples)
	switch {
	case float64(a.lateSamples) > maxLateRatio*float64(a.samples):
		a.setLimit(now, min(a.limit, float64(a.peakInFlight))*a.decreaseFactor(mean))
		a.hasDecreased = true
	case float64(a.peakInFlight) < minUtilization*a.limit:
	case !a.hasDecreased:
		a.setLimit(now, a.limit*initialGrowthFactor)
	case a.waitRatio(mean) < idleWaitRatio:
		a.setLimit(now, a.limit*idleGrowthFactor)
	default:
		a.setLimit(now, max(a.limit*growthFactor, a.limit+1))
	}
	if a.minLatency == 0 || mean < a.minLatency {
		a.minLatency = mean
	} else {
		a.minLatency += time.Duration(minLatencyRise * float64(a.minLatency))
	}
	a.samples, a.lateSamples, a.peakInFlight, a.latencySum, a.durationSum = 0, 0, 0, 0, 0
}

// setLimit sets the limit, clamped to DefaultMin and DefaultMax.
func (a *AIMD) setLimit(now time.Time, limit float64) {
	a.limit = min(max(limit, DefaultMin), DefaultMax)
	a.changedAt = now
}

// decreaseFactor returns the factor of a decrease. It removes only the requests
// that wait, because a larger decrease would leave groups idle.
func (a *AIMD) decreaseFactor(mean time.Duration) float64 {
	return min(max(1-a.waitRatio(mean), minDecreaseFactor), maxDecreaseFactor)
}

// waitRatio returns the fraction of the requests' total time by which their
// latency, of the given mean, exceeds the minimum latency. By Little's law this
// is also the fraction of in-flight requests that wait.
func (a *AIMD) waitRatio(mean time.Duration) float64 {
	least := a.minLatency
	if least == 0 {
		least = a.lateBound()
	}
	excess := max(mean-least, 0) * time.Duration(a.samples)
	return float64(excess) / float64(max(a.durationSum, 1))
}

// latencyOf returns the latency that the limit is learned from: the time to
// first token, or the total time for responses that are not streamed.
func latencyOf(res Result) time.Duration {
	if res.FirstToken > 0 {
		return res.FirstToken
	}
	return res.Total
}
