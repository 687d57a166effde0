package admission

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// observeWindow completes a window of requests with the given latency.
func observeWindow(a *AIMD, now time.Time, inFlight int, latency time.Duration) time.Time {
	for range 2 * minWindowSamples {
		now = now.Add(minWindowTime / minWindowSamples)
		a.Observe(now, inFlight, Result{FirstToken: latency})
	}
	return now
}

func TestLimitStartsFromCapacity(t *testing.T) {
	a := NewAIMD(AIMDConfig{})
	a.SetCapacity(1000)
	assert.Equal(t, a.Limit(), 1000.0)
}

func TestLimitDoublesUntilTheFirstLateWindow(t *testing.T) {
	a := NewAIMD(AIMDConfig{})
	now := time.Unix(0, 0)
	now = observeWindow(a, now, 16, time.Millisecond)
	assert.Assert(t, a.Limit() >= 32, "%v", a.Limit())
	observeWindow(a, now, 20, 10*time.Second)
	assert.Assert(t, a.Limit() <= 20, "%v", a.Limit())
	a.SetCapacity(1000)
	assert.Assert(t, a.Limit() <= 20, "the capacity overwrote a learned limit: %v", a.Limit())
}

// newDecreasedLimiter returns a limiter with a limit of 100 that has decreased
// before and has a minimum latency of 100 ms, and a start time.
func newDecreasedLimiter() (*AIMD, time.Time) {
	a := NewAIMD(AIMDConfig{Initial: 100})
	a.hasDecreased, a.minLatency = true, 100*time.Millisecond
	return a, time.Unix(0, 0)
}

// observeStreams completes one window of streams that all started after the last
// change of the limit.
func observeStreams(a *AIMD, now time.Time, inFlight int, res Result) time.Time {
	now = now.Add(res.Total)
	for range minWindowSamples + 1 {
		now = now.Add(minWindowTime / minWindowSamples)
		a.Observe(now, inFlight, res)
	}
	return now
}

func TestLimitDecreasesByTheRequestsThatWait(t *testing.T) {
	a, now := newDecreasedLimiter()
	observeStreams(a, now, 100, Result{FirstToken: 1600 * time.Millisecond, Total: 5 * time.Second})
	assert.Assert(t, a.Limit() > 69 && a.Limit() < 71, "%v: 3/10 of the requests' time was waiting", a.Limit())
}

func TestLimitThatLeavesGroupsIdleRecoversFast(t *testing.T) {
	a, now := newDecreasedLimiter()
	a.limit = 16
	for range 5 {
		now = observeStreams(a, now, 200, Result{FirstToken: 120 * time.Millisecond, Total: 4 * time.Second})
	}
	assert.Assert(t, a.Limit() >= 100, "%v after 5 windows", a.Limit())
}

func TestLimitGrowsSlowlyOnceRequestsWait(t *testing.T) {
	a, now := newDecreasedLimiter()
	observeStreams(a, now, 100, Result{FirstToken: 300 * time.Millisecond, Total: 5 * time.Second})
	assert.Equal(t, a.Limit(), 105.0)
}
