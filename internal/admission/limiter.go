package admission

import (
	"time"
)

// Limiter learns how many requests may be in flight at once. It is used under
// its service's lock.
type Limiter interface {
	// Limit returns the present limit, at least one.
	Limit() float64
	// Observe tells of a request's end while inFlight, itself included, were
	// in flight.
	Observe(now time.Time, inFlight int, res Result)
	// Expect tells how many the service's groups say they can run at once,
	// zero when they do not say.
	Expect(capacity float64)
}

// Fixed is the baseline limiter that never learns.
type Fixed float64

// Limit implements Limiter.
func (f Fixed) Limit() float64 { return float64(f) }

// Observe implements Limiter.
func (Fixed) Observe(time.Time, int, Result) {}

// Expect implements Limiter.
func (Fixed) Expect(float64) {}

// Defaults of the limiters.
const (
	// DefaultTarget is the time to the first token that users ask for, for
	// 95 in 100.
	DefaultTarget = 770 * time.Millisecond
	// DefaultInitial is the limit before anything is learned of a service
	// whose capacity is not known.
	DefaultInitial = 16.0
	// DefaultMin and DefaultMax bound what is learned.
	DefaultMin = 1.0
	DefaultMax = 65536.0
)

const (
	// lateShare is the part of requests that may miss the target.
	lateShare = 0.05
	// windowLeast and windowLongest end a window of observations: at least
	// so many, and so long.
	windowLeast = 20
	windowTime  = time.Second
	// busyShare is the part of the limit that must be used for it to grow.
	busyShare = 0.8
	// decreaseLeast and decreaseMost bound the factor of a decrease.
	decreaseLeast = 0.9
	decreaseMost  = 0.5
	// growth is the factor of an increase, by one at least, idleGrowth that
	// while requests hardly wait, and firstGrowth that before the first
	// decrease.
	growth      = 1.05
	idleGrowth  = 1.5
	firstGrowth = 2.0
	// idleWaiting is the part of their time that requests hardly wait.
	idleWaiting = 0.01
	// aim is the part of the target at which a request counts as late, so
	// that the target itself is kept while the limit goes up and down.
	aim = 0.6
	// floorTolerance is how far above its lowest a latency beyond the target
	// may be to count as on time, for services that are slow when idle.
	floorTolerance = 2.0
	// floorRise is the part by which the lowest latency rises a window, so
	// that an old one is forgotten.
	floorRise = 0.01
)

// AIMDConfig holds the settings of an AIMD limiter.
type AIMDConfig struct {
	// Target is the latency that 95 in 100 must keep, DefaultTarget when
	// zero.
	Target time.Duration
	// Initial is the first limit, DefaultInitial when zero.
	Initial float64
}

// AIMD raises the limit while the target is kept and the limit is used, fast
// while requests hardly wait, and lowers it when more than 5 in 100 of a window
// miss the target: by the part of what was really in flight that only waited.
// Until the first such window it starts from the service's capacity, or
// doubles. Requests that started before the last change tell nothing of it and
// are passed over.
type AIMD struct {
	cfg     AIMDConfig
	limit   float64
	lowered bool          // once a window has missed the target
	changed time.Time     // when the limit last did
	floor   time.Duration // lowest mean of a window, slowly rising

	start   time.Time
	seen    int
	late    int
	busiest int
	sum     time.Duration // of latencies
	total   time.Duration // of whole times
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

// Expect implements Limiter.
func (a *AIMD) Expect(capacity float64) {
	if !a.lowered {
		a.limit = min(max(a.limit, capacity), DefaultMax)
	}
}

// Observe implements Limiter.
func (a *AIMD) Observe(now time.Time, inFlight int, res Result) {
	if res.Failed || now.Add(-res.Total).Before(a.changed) {
		return // tells nothing, or of the time before the last change
	}
	if a.start.IsZero() {
		a.start = now
	}
	latency := latencyOf(res)
	a.seen++
	a.sum += latency
	a.total += max(res.Total, latency)
	a.busiest = max(a.busiest, inFlight)
	if latency > a.bound() {
		a.late++
	}
	if a.seen >= windowLeast && now.Sub(a.start) >= windowTime {
		a.step(now)
		a.start = now
	}
}

// bound is the latency beyond which a request is late.
func (a *AIMD) bound() time.Duration {
	return max(time.Duration(aim*float64(a.cfg.Target)), time.Duration(floorTolerance*float64(a.floor)))
}

// step ends a window.
func (a *AIMD) step(now time.Time) {
	mean := a.sum / time.Duration(a.seen)
	switch {
	case float64(a.late) > lateShare*float64(a.seen):
		a.change(now, min(a.limit, float64(a.busiest))*a.decrease(mean))
		a.lowered = true
	case float64(a.busiest) < busyShare*a.limit:
	case !a.lowered:
		a.change(now, a.limit*firstGrowth)
	case a.waiting(mean) < idleWaiting:
		a.change(now, a.limit*idleGrowth)
	default:
		a.change(now, max(a.limit*growth, a.limit+1))
	}
	if a.floor == 0 || mean < a.floor {
		a.floor = mean
	} else {
		a.floor += time.Duration(floorRise * float64(a.floor))
	}
	a.seen, a.late, a.busiest, a.sum, a.total = 0, 0, 0, 0, 0
}

// change sets the limit within its bounds.
func (a *AIMD) change(now time.Time, limit float64) {
	a.limit = min(max(limit, DefaultMin), DefaultMax)
	a.changed = now
}

// decrease is the factor of a decrease: a deeper one than by the requests that
// only wait would leave groups idle.
func (a *AIMD) decrease(mean time.Duration) float64 {
	return min(max(1-a.waiting(mean), decreaseMost), decreaseLeast)
}

// waiting is the part of the requests' time in flight by which their latency,
// with the given mean, exceeds the lowest. It is also the part of those in
// flight that wait, as both are the rate of ends times their time.
func (a *AIMD) waiting(mean time.Duration) float64 {
	least := a.floor
	if least == 0 {
		least = a.bound()
	}
	excess := max(mean-least, 0) * time.Duration(a.seen)
	return float64(excess) / float64(max(a.total, 1))
}

// latencyOf is the latency that limits are learned from: to the first token,
// or to the end for answers that are not streams.
func latencyOf(res Result) time.Duration {
	if res.FirstToken > 0 {
		return res.FirstToken
	}
	return res.Total
}
