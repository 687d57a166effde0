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
