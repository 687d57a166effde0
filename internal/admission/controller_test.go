package admission

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"carawayproxy.example/caraway/internal/fleet"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// newFixedController returns a controller with the constant limit n.
func newFixedController(n float64) *Controller {
	return NewController(Config{Seed: 1, NewLimiter: func() Limiter { return Fixed(n) }})
}

func requestOf(w fleet.Workspace) Request { return Request{Workspace: w, Service: "drafting"} }

// admitUntilRefused admits requests of w until one is refused and returns the
// tickets of the admitted ones.
func admitUntilRefused(c *Controller, w fleet.Workspace) []Ticket {
	var tickets []Ticket
	for {
		ticket, failure := c.Admit(start, requestOf(w))
		if failure != nil {
			return tickets
		}
		tickets = append(tickets, ticket)
	}
}

func TestOneWorkspaceUsesAllIdleCapacity(t *testing.T) {
	c := newFixedController(20)
	assert.Assert(t, len(admitUntilRefused(c, "large")) >= 20)
}

func TestShareIsReturnedOnDemand(t *testing.T) {
	c := newFixedController(40)
	held := admitUntilRefused(c, "large")
	small := admitUntilRefused(c, "small")
	assert.Assert(t, len(small) >= 1, "a new workspace must be admitted immediately")
	for range 20 {
		held[0].Release(start, Result{})
		held = held[1:]
		_, failure := c.Admit(start, requestOf("large"))
		assert.Assert(t, failure != nil, "large must not exceed its share while small is below its own")
		small = append(small, admitUntilRefused(c, "small")...)
	}
	assert.Assert(t, len(small) >= 20, "%d", len(small))
}

func TestDeadline(t *testing.T) {
	c := newFixedController(40)
	req := requestOf("w")
	req.Deadline = start.Add(time.Second)
	req.PredictedWait, req.PredictedRun = 600*time.Millisecond, 500*time.Millisecond
	_, failure := c.Admit(start, req)
	assert.Equal(t, failure.Reason, fleet.ReasonDeadline)
	assert.Equal(t, failure.State, fleet.NotRun)
	assert.Assert(t, failure.RetryAfter >= req.PredictedWait)

	req.PredictedRun = 2 * time.Second
	_, failure = c.Admit(start, req)
	assert.Equal(t, failure.RetryAfter, time.Duration(0), "a retry would not help")

	req.PredictedRun = 300 * time.Millisecond
	_, failure = c.Admit(start, req)
	assert.Assert(t, failure == nil)
}

func TestRetriesAreSpreadByTheCompletionRate(t *testing.T) {
	c := newFixedController(10)
	held := admitUntilRefused(c, "w")
	for i := range 50 { // 10 completions per second
		at := start.Add(time.Duration(i) * 100 * time.Millisecond)
		held[0].Release(at, Result{})
		ticket, failure := c.Admit(at, requestOf("w"))
		assert.Assert(t, failure == nil)
		held = append(held[1:], ticket)
	}
	now := start.Add(5 * time.Second)
	perSecond := map[int64]int{}
	for range 60 {
		_, failure := c.Admit(now, requestOf("w"))
		assert.Equal(t, failure.State, fleet.NotRun)
		perSecond[int64(failure.RetryAfter/time.Second)]++
	}
	for second, n := range perSecond {
		assert.Assert(t, n <= 20, "%d callers retry in second %d", n, second)
	}
}

func TestRetryBudget(t *testing.T) {
	b := NewRetryBudget(0.1, 3)
	allowed := func(n int) (got int) {
		for range n {
			if b.Allow() {
				got++
			}
		}
		return got
	}
	assert.Equal(t, allowed(10), 3)
	for range 101 {
		b.Request()
	}
	assert.Equal(t, allowed(10), 3, "the budget holds no more than its burst")
	for range 11 {
		b.Request()
	}
	assert.Equal(t, allowed(10), 1)
}
