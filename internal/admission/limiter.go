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
}

// Fixed is the baseline limiter that never learns.
type Fixed float64

// Limit implements Limiter.
func (f Fixed) Limit() float64 { return float64(f) }

// Observe implements Limiter.
func (Fixed) Observe(time.Time, int, Result) {}

// Defaults of the limiters.
const (
	// DefaultTarget is the time to the first token that users ask for, for
	// 95 in 100.
	DefaultTarget = 770 * time.Millisecond
	// DefaultInitial is the limit before anything is learned.
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

// AIMD adds to the limit while the target is kept and the limit is used, and
// multiplies it down when more than 5 in 100 of a window miss the target.
type AIMD struct {
	cfg   AIMDConfig
	limit float64
	floor time.Duration // lowest mean of a window, slowly rising

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
func (a *AIMD) Limit() float64 { return a.limit }

// Observe implements Limiter.
func (a *AIMD) Observe(now time.Time, inFlight int, res Result) {
	if res.Failed {
		return
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
		a.step()
		a.start = now
	}
}

// bound is the latency beyond which a request is late.
func (a *AIMD) bound() time.Duration {
	return max(a.cfg.Target, time.Duration(floorTolerance*float64(a.floor)))
}

// step ends a window.
func (a *AIMD) step() {
	mean := a.sum / time.Duration(a.seen)
	switch {
	case float64(a.late) > lateShare*float64(a.seen):
		a.limit = max(a.limit*decreaseTo, DefaultMin)
	case float64(a.busiest) >= busyShare*a.limit:
		a.limit = min(a.limit+1, DefaultMax)
	}
	if a.floor == 0 || mean < a.floor {
		a.floor = mean
	} else {
		a.floor += time.Duration(floorRise * float64(a.floor))
	}
	a.seen, a.late, a.busiest, a.sum = 0, 0, 0, 0
}

// latencyOf is the latency that limits are learned from: to the first token,
// or to the end for answers that are not streams.
func latencyOf(res Result) time.Duration {
	if res.FirstToken > 0 {
		return res.FirstToken
	}
	return res.Total
}
