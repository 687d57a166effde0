package admission

import (
	"math"
	"time"
)

const (
	// minRetryAfter and maxRetryAfter bound the time to come back.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 30 * time.Second
	// retrySpread is the part by which a return is delayed at random.
	retrySpread = 0.5
	// drainWindow is the time over which ends are counted.
	drainWindow = 5 * time.Second
	// minDrain stands in for a service that has ended nothing lately, in
	// requests a second.
	minDrain = 0.2
)

// rateMeter measures a rate of events as a count that fades.
type rateMeter struct {
	count float64
	last  time.Time
}

// add counts one event.
func (m *rateMeter) add(now time.Time) {
	m.count = m.at(now) + 1
	m.last = now
}

// perSecond returns the rate.
func (m *rateMeter) perSecond(now time.Time) float64 {
	return m.at(now) / drainWindow.Seconds()
}

func (m *rateMeter) at(now time.Time) float64 {
	if m.last.IsZero() {
		return 0
	}
	return m.count * math.Exp(-now.Sub(m.last).Seconds()/drainWindow.Seconds())
}

// fade halves v for each demandDecay passed.
func fade(v float64, passed time.Duration) float64 {
	return v * math.Exp2(-passed.Seconds()/demandDecay.Seconds())
}

// retryAfter gives each refused request of a workspace the next turn at the
// rate at which its share drains, so that callers do not return together.
func (s *service) retryAfter(now time.Time, w *workspace) time.Duration {
	drain := s.share(max(s.drain.perSecond(now), minDrain)) * w.weight
	turn := time.Duration(float64(time.Second) / drain)
	if w.nextReturn.Before(now) {
		w.nextReturn = now
	}
	w.nextReturn = w.nextReturn.Add(turn)
	latest := now.Add(maxRetryAfter)
	if w.nextReturn.After(latest) {
		// Full: further returns share the second half of the longest time.
		w.nextReturn = latest
		half := maxRetryAfter / 2
		return half + time.Duration(s.rng.Float64()*float64(half))
	}
	return s.delayed(max(w.nextReturn.Sub(now), minRetryAfter))
}

// delayed delays d by a random part of itself.
func (s *service) delayed(d time.Duration) time.Duration {
	return min(d+time.Duration(s.rng.Float64()*retrySpread*float64(d)), maxRetryAfter)
}
