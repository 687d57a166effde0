package admission

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// observe ends a window of requests that took the given latency.
func observe(a *AIMD, now time.Time, inFlight int, latency time.Duration) time.Time {
	for range 2 * windowLeast {
		now = now.Add(windowTime / windowLeast)
		a.Observe(now, inFlight, Result{FirstToken: latency})
	}
	return now
}

func TestLimitStartsFromCapacity(t *testing.T) {
	a := NewAIMD(AIMDConfig{})
	a.Expect(1000)
	assert.Equal(t, a.Limit(), 1000.0)
}

func TestLimitDoublesUntilTheFirstLateWindow(t *testing.T) {
	a := NewAIMD(AIMDConfig{})
	now := time.Unix(0, 0)
	now = observe(a, now, 16, time.Millisecond)
	assert.Assert(t, a.Limit() >= 32, "%v", a.Limit())
	observe(a, now, 20, 10*time.Second)
	assert.Assert(t, a.Limit() <= 20, "%v", a.Limit())
	a.Expect(1000)
	assert.Assert(t, a.Limit() <= 20, "a learned limit forgot what it learned: %v", a.Limit())
}

// lowered returns a limiter of 100 that was lowered before, with a lowest
// latency of 100 ms, and a moment.
func lowered() (*AIMD, time.Time) {
	a := NewAIMD(AIMDConfig{Initial: 100})
	a.lowered, a.floor = true, 100*time.Millisecond
	return a, time.Unix(0, 0)
}

// window ends one window of streams, all begun after the last change.
func window(a *AIMD, now time.Time, inFlight int, res Result) time.Time {
	now = now.Add(res.Total)
	for range windowLeast + 1 {
		now = now.Add(windowTime / windowLeast)
		a.Observe(now, inFlight, res)
	}
	return now
}

func TestLimitIsCutByTheRequestsThatWait(t *testing.T) {
	a, now := lowered()
	window(a, now, 100, Result{FirstToken: 1600 * time.Millisecond, Total: 5 * time.Second})
	assert.Assert(t, a.Limit() > 69 && a.Limit() < 71, "%v: three tenths of the time were waits", a.Limit())
}

func TestLimitThatLeavesGroupsIdleReturnsFast(t *testing.T) {
	a, now := lowered()
	a.limit = 16
	for range 5 {
		now = window(a, now, 200, Result{FirstToken: 120 * time.Millisecond, Total: 4 * time.Second})
	}
	assert.Assert(t, a.Limit() >= 100, "%v after 5 windows", a.Limit())
}

func TestLimitGrowsSlowlyOnceRequestsWait(t *testing.T) {
	a, now := lowered()
	window(a, now, 100, Result{FirstToken: 300 * time.Millisecond, Total: 5 * time.Second})
	assert.Equal(t, a.Limit(), 105.0)
}
