package admission

import (
	"math"
	"time"
)

const (
	// minRetryAfter and maxRetryAfter bound the retry delay.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 30 * time.Second
	// retryJitter is the largest random addition to a retry delay, as a
	// fraction of the delay.
	retryJitter = 0.5
	// rateWindow is the time constant of a rateMeter.
	rateWindow = 5 * time.Second
	// minCompletionRate, in requests/s, is assumed for a service that has
	// completed fewer requests recently.
	minCompletionRate = 0.2
)

// rateMeter measures the rate of events by an exponentially decaying count.
type rateMeter struct {
	count float64
	last  time.Time
}

// add counts one event.
func (m *rateMeter) add(now time.Time) {
	m.count = m.countAt(now) + 1
	m.last = now
}

// perSecond returns the rate in events per second.
func (m *rateMeter) perSecond(now time.Time) float64 {
	return m.countAt(now) / rateWindow.Seconds()
}

func (m *rateMeter) countAt(now time.Time) float64 {
	if m.last.IsZero() {
		return 0
	}
	return m.count * math.Exp(-now.Sub(m.last).Seconds()/rateWindow.Seconds())
}

// decay halves v for every demandHalfLife that has elapsed.
func decay(v float64, elapsed time.Duration) float64 {
	return v * math.Exp2(-elapsed.Seconds()/demandHalfLife.Seconds())
}

// retryAfter returns the retry delay of a refused request. Consecutive refused
// requests of a workspace get consecutive slots at the rate at which its share of
// the service completes requests, so that the callers do not retry at the same
// time.
func (s *service) retryAfter(now time.Time, w *workspace) time.Duration {
	rate := s.share(max(s.completions.perSecond(now), minCompletionRate)) * w.weight
	interval := time.Duration(float64(time.Second) / rate)
	if w.nextRetry.Before(now) {
		w.nextRetry = now
	}
	w.nextRetry = w.nextRetry.Add(interval)
	latest := now.Add(maxRetryAfter)
	if w.nextRetry.After(latest) {
		// All slots are taken: spread further retries over the second half of
		// maxRetryAfter.
		w.nextRetry = latest
		half := maxRetryAfter / 2
		return half + time.Duration(s.rng.Float64()*float64(half))
	}
	return s.withJitter(max(w.nextRetry.Sub(now), minRetryAfter))
}

// withJitter adds a random jitter to d, up to maxRetryAfter in total.
func (s *service) withJitter(d time.Duration) time.Duration {
	return min(d+time.Duration(s.rng.Float64()*retryJitter*float64(d)), maxRetryAfter)
}
