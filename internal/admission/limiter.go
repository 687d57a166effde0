package admission

import (
	"time"
)

// Limiter learns how many requests may be in flight at once. It is used under
// its service's lock.
type Limiter interface {
	// Limit returns the present limit. The capacity is what can run at once,
	// zero when it isn't known.
	Limit(capacity float64) float64
	// Observe tells of a request's end while inFlight, itself included, were
	// in flight.
	Observe(now time.Time, inFlight int, res Result)
}

// Fixed is the baseline limiter that never learns.
type Fixed float64

// Limit implements Limiter.
func (f Fixed) Limit(capacity float64) float64 { return bounded(float64(f), capacity) }

// Observe implements Limiter.
func (Fixed) Observe(time.Time, int, Result) {}

// Defaults of the limiters.
const (
	// DefaultTarget is the time to the first token that users ask for, for
	// 95 in 100.
	DefaultTarget = 770 * time.Millisecond
	// DefaultInitial is the limit before anything is learned, when the
	// capacity isn't known.
	DefaultInitial = 16.0
	// DefaultMin and DefaultMax bound what is learned.
	DefaultMin = 1.0
	DefaultMax = 4096.0
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
	// decreaseTo is the factor of a decrease.
	decreaseTo = 0.9
	// growth is the part by which the limit grows a window, at least by one.
	growth = 1.0 / 16
	// startGrowth is the factor of growth until the first decrease.
	startGrowth = 2.0
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

// AIMD takes the limit up while the target is kept and the limit is used, and
// multiplies it down when more than 5 in 100 of a window miss the target.
// Requests that started before the last decrease tell nothing about it and
// are passed over.
// Until the first miss the capacity is the limit, or the limit doubles where
// no capacity is known.
type AIMD struct {
	cfg     AIMDConfig
	limit   float64
	learned bool          // there was a decrease
	cut     time.Time     // of the last decrease
	floor   time.Duration // lowest mean of a window, slowly rising

	start   time.Time
	seen    int
	late    int
	busiest int
	sum     time.Duration
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
func (a *AIMD) Limit(capacity float64) float64 {
	if !a.learned && capacity > 0 {
		return capacity
	}
	return bounded(a.limit, capacity)
}

// bounded is the limit under a capacity that may be unknown.
func bounded(limit, capacity float64) float64 {
	if capacity > 0 {
		return min(limit, capacity)
	}
	return limit
}

// Observe implements Limiter.
func (a *AIMD) Observe(now time.Time, inFlight int, res Result) {
	if res.Failed || now.Add(-res.Total).Before(a.cut) {
		return // tells nothing, or of the time before the last decrease
	}
	if a.start.IsZero() {
		a.start = now
	}
	latency := latencyOf(res)
	a.seen++
	a.sum += latency
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
	return max(a.cfg.Target, time.Duration(floorTolerance*float64(a.floor)))
}

// step ends a window.
func (a *AIMD) step(now time.Time) {
	mean := a.sum / time.Duration(a.seen)
	switch {
	case float64(a.late) > lateShare*float64(a.seen):
		a.decrease(now)
	case float64(a.busiest) >= busyShare*a.limit:
		a.increase()
	}
	if a.floor == 0 || mean < a.floor {
		a.floor = mean
	} else {
		a.floor += time.Duration(floorRise * float64(a.floor))
	}
	a.seen, a.late, a.busiest, a.sum = 0, 0, 0, 0
}

// decrease takes the limit down, the first time from what was in flight.
func (a *AIMD) decrease(now time.Time) {
	if !a.learned {
		a.limit = float64(a.busiest)
	}
	a.learned = true
	a.cut = now
	a.limit = max(a.limit*decreaseTo, DefaultMin)
}

// increase takes the limit up.
func (a *AIMD) increase() {
	if a.learned {
		a.limit += max(a.limit*growth, 1)
	} else {
		a.limit *= startGrowth
	}
	a.limit = min(a.limit, DefaultMax)
}

// latencyOf is the latency that limits are learned from: to the first token,
// or to the end for answers that are not streams.
func latencyOf(res Result) time.Duration {
	if res.FirstToken > 0 {
		return res.FirstToken
	}
	return res.Total
}
