package admission

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"carawayproxy.example/caraway/internal/fleet"
	"carawayproxy.example/caraway/internal/invariant"
)

// Requests that are admitted and released at random must never exceed the bounds
// that callers and engines rely on.
func TestRandomCallsKeepTheBounds(t *testing.T) {
	const capacity = 24
	for seed := range uint64(20) {
		rng := rand.New(rand.NewPCG(seed, 0))
		c := NewController(Config{Seed: seed})
		now := start
		var held []Ticket
		for range 3000 {
			now = now.Add(time.Duration(rng.ExpFloat64() * float64(20*time.Millisecond)))
			if rng.IntN(2) == 0 && len(held) > 0 {
				at := rng.IntN(len(held))
				held[at].Release(now, Result{FirstToken: time.Duration(rng.IntN(1200)) * time.Millisecond})
				held = append(held[:at], held[at+1:]...)
				continue
			}
			req := requestOf(fleet.Workspace(fmt.Sprint("w", rng.IntN(5))))
			req.Capacity = capacity
			ticket, failure := c.Admit(now, req)
			if failure != nil {
				assert.Equal(t, failure.State, fleet.NotRun)
				assert.Equal(t, failure.Reason, fleet.ReasonOverloaded)
				assert.Assert(t, failure.RetryAfter >= minRetryAfter && failure.RetryAfter <= maxRetryAfter, "%s", failure.RetryAfter)
				continue
			}
			held = append(held, ticket)
			assert.Assert(t, len(held) <= capacity+capacity/overshootDivisor, "%d in flight", len(held))
		}
		assert.Equal(t, c.Status(now, "drafting").InFlight, len(held))
	}
}

func TestTicketReleasedTwiceIsCaught(t *testing.T) {
	var breaches []string
	defer invariant.SetHandler(func(b invariant.Breach) { breaches = append(breaches, b.Name) })()
	c := newFixedController(4)
	ticket, _ := c.Admit(start, requestOf("w"))
	ticket.Release(start, Result{})
	ticket.Release(start, Result{})
	assert.DeepEqual(t, breaches, []string{"admission.released-once"})
	assert.Equal(t, c.Status(start, "drafting").InFlight, 0)
}

func TestRequestsBeyondTheShareAreMarkedOverShare(t *testing.T) {
	limit := func() Limiter { return Fixed(100) } // a share of 50 for each of two workspaces
	c := NewController(Config{Seed: 1, NewLimiter: limit, OverShareFraction: 0.7})
	_, failure := c.Admit(start, requestOf("small"))
	assert.Assert(t, failure == nil)
	for range 50 {
		ticket, failure := c.Admit(start, requestOf("large"))
		assert.Assert(t, failure == nil)
		assert.Assert(t, !ticket.OverShare())
	}
	later := start.Add(time.Minute)
	for range 19 { // up to OverShareFraction of the limit
		ticket, failure := c.Admit(later, requestOf("large"))
		assert.Assert(t, failure == nil)
		assert.Assert(t, ticket.OverShare())
	}
	_, failure = c.Admit(later, requestOf("large"))
	assert.ErrorContains(t, failure, "fair share")
	ticket, failure := c.Admit(later, requestOf("small"))
	assert.Assert(t, failure == nil)
	assert.Assert(t, !ticket.OverShare())
}

func TestRequestsFromBeforeADecreaseAreIgnored(t *testing.T) {
	a := NewAIMD(AIMDConfig{})
	a.SetCapacity(100)
	now := observeWindow(a, start, 100, 5*time.Second)
	decreased := a.Limit()
	assert.Assert(t, decreased < 100, "%v", decreased)
	for range 100 {
		now = now.Add(50 * time.Millisecond)
		a.Observe(now, 100, Result{FirstToken: 5 * time.Second, Total: time.Minute})
	}
	assert.Equal(t, a.Limit(), decreased)
}

func benchmarkAdmit(b *testing.B, workspaces int) {
	c := NewController(Config{Seed: 1})
	reqs := make([]Request, workspaces)
	for i := range reqs {
		reqs[i] = requestOf(fleet.Workspace(fmt.Sprint("w", i)))
		reqs[i].Capacity = 1000
	}
	now, i := start, 0
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(time.Millisecond)
		ticket, failure := c.Admit(now, reqs[i%workspaces])
		if failure != nil {
			b.Fatal(failure)
		}
		ticket.Release(now, Result{FirstToken: time.Millisecond, Total: time.Millisecond})
		i++
	}
}

func BenchmarkAdmit10(b *testing.B)  { benchmarkAdmit(b, 10) }
func BenchmarkAdmit100(b *testing.B) { benchmarkAdmit(b, 100) }
