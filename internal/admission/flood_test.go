package admission

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"carawayproxy.example/caraway/internal/fleet"
	"carawayproxy.example/caraway/internal/routing"
)

// weighted admits a request of a workspace with a weight.
func weighted(c *Controller, now time.Time, name fleet.Workspace, weight float64) (Ticket, *fleet.Failure) {
	req := from(name)
	req.Weight = weight
	return c.Admit(now, req)
}

// flood asks for two hundred places.
func flood(c *Controller, now time.Time, name fleet.Workspace, weight float64) (admitted []Ticket) {
	for range 200 {
		if ticket, failure := weighted(c, now, name, weight); failure == nil {
			admitted = append(admitted, ticket)
		}
	}
	return admitted
}

// hold has so many requests in flight since long before start.
func hold(c *Controller, name fleet.Workspace, weight float64, n int) {
	for range n {
		_, _ = weighted(c, start.Add(-time.Minute), name, weight)
	}
}

// floodOfLarge is a controller with a limit of 100 where large, with three
// tenths of the weights, floods.
func floodOfLarge(cfg Config) (*Controller, []Ticket) {
	cfg.NewLimiter = func() Limiter { return Fixed(100) }
	c := NewController(cfg)
	_, _ = weighted(c, start, "small", 1)
	hold(c, "other", 6, 50)
	return c, flood(c, start, "large", 3)
}

func TestFloodKeepsToItsShareOfTheGroups(t *testing.T) {
	c, held := floodOfLarge(Config{})
	assert.DeepEqual(t, c.Part(start, "drafting", "large"), routing.Part{From: 0, To: 0.3})
	assert.DeepEqual(t, c.Part(start, "drafting", "small"), routing.Part{From: 0.3, To: 1})
	assert.DeepEqual(t, c.Part(start, "drafting", "new"), routing.Part{From: 0.3, To: 1})
	for len(held) >= 30 {
		held[0].Release(start, Result{})
		held = held[1:]
	}
	_, failure := weighted(c, start, "large", 3)
	assert.Assert(t, failure == nil, "room within its fair share")
	_, failure = weighted(c, start, "large", 3)
	assert.ErrorContains(t, failure, "limit", "no room beyond it")
}

// TestOthersKeepOutOfAFloodsGroupsAsFarAsTheyAreBusy asks that others lose no
// more groups, and the prefixes cached there, than their load calls for.
func TestOthersKeepOutOfAFloodsGroupsAsFarAsTheyAreBusy(t *testing.T) {
	for used, from := range map[int]float64{1: 0.007, 23: 0.15, 40: 0.26, 46: 0.3, 60: 0.3} {
		c := NewController(Config{NewLimiter: func() Limiter { return Fixed(100) }})
		hold(c, "other", 7, used)
		flood(c, start, "large", 3)
		assert.DeepEqual(t, c.Part(start, "drafting", "large"), routing.Part{From: 0, To: 0.3})
		part := c.Part(start, "drafting", "other")
		assert.Assert(t, math.Abs(part.From-from) < 0.01 && part.To == 1, "%d in use: %v", used, part)
	}
}

func TestPartsEndWithTheFlood(t *testing.T) {
	c, held := floodOfLarge(Config{})
	for _, ticket := range held {
		ticket.Release(start, Result{})
	}
	later := start.Add(30 * time.Second)
	assert.DeepEqual(t, c.Part(later, "drafting", "large"), routing.Part{})
	assert.DeepEqual(t, c.Part(later, "drafting", "small"), routing.Part{})
}

func TestSteadyLoadWithinTheShareHasNoPart(t *testing.T) {
	c := fixed(100)
	_, _ = c.Admit(start, from("small"))
	for range 40 { // of a share of 50
		_, failure := c.Admit(start, from("large"))
		assert.Assert(t, failure == nil)
	}
	assert.DeepEqual(t, c.Part(start, "drafting", "large"), routing.Part{})
}

func TestNoPartsWhenMostOfTheWeightFloods(t *testing.T) {
	c := NewController(Config{NewLimiter: func() Limiter { return Fixed(100) }})
	_, _ = weighted(c, start, "small", 1)
	flood(c, start, "large", 9)
	assert.DeepEqual(t, c.Part(start, "drafting", "large"), routing.Part{})
	assert.DeepEqual(t, c.Part(start, "drafting", "small"), routing.Part{})
}

func TestTwoFloodsGetDifferentGroupsInOrderOfTheirNames(t *testing.T) {
	c := NewController(Config{NewLimiter: func() Limiter { return Fixed(100) }})
	hold(c, "rest", 6, 50)
	flood(c, start, "b", 2)
	flood(c, start, "a", 2)
	assert.DeepEqual(t, c.Part(start, "drafting", "a"), routing.Part{From: 0, To: 0.2})
	assert.DeepEqual(t, c.Part(start, "drafting", "b"), routing.Part{From: 0.2, To: 0.4})
	assert.DeepEqual(t, c.Part(start, "drafting", "rest"), routing.Part{From: 0.4, To: 1})
}

func TestAllGroupsSetsNoneApart(t *testing.T) {
	c, _ := floodOfLarge(Config{AllGroups: true})
	assert.DeepEqual(t, c.Part(start, "drafting", "large"), routing.Part{})
	assert.DeepEqual(t, c.Part(start, "drafting", "small"), routing.Part{})
}

func TestBurstsAreBoundByWhatChanceAllows(t *testing.T) {
	c := fixed(200) // a share of 100 for each of two
	_, _ = c.Admit(start, from("small"))
	unborrowed := 0
	for range 139 {
		ticket, failure := c.Admit(start, from("large"))
		assert.Assert(t, failure == nil)
		if !ticket.Borrowed() {
			unborrowed++
		}
	}
	assert.Equal(t, unborrowed, 120, "the share and two standard deviations of it")
}

// lateness counts what a limiter is told.
type lateness struct {
	Fixed
	told *int
}

func (l lateness) Observe(time.Time, int, Result) { *l.told++ }

func TestLatenessInGroupsOfItsOwnDoesNotMoveTheLimit(t *testing.T) {
	told := 0
	c := NewController(Config{NewLimiter: func() Limiter { return lateness{Fixed: 100, told: &told} }})
	small, _ := weighted(c, start, "small", 7)
	held := flood(c, start, "large", 3)
	held[0].Release(start, Result{FirstToken: time.Minute})
	assert.Equal(t, told, 0)
	small.Release(start, Result{FirstToken: time.Second})
	assert.Equal(t, told, 1)
}

// TestACutInAFloodIsTakenFromWhoFloods: others keep their share of the whole
// capacity, and no more.
func TestACutInAFloodIsTakenFromWhoFloods(t *testing.T) {
	for name, tc := range map[string]struct {
		flood    bool
		admitted int
	}{
		"flood":    {flood: true, admitted: 14}, // seven tenths of 20
		"no flood": {admitted: 10},              // the limit
	} {
		t.Run(name, func(t *testing.T) {
			c := NewController(Config{NewLimiter: func() Limiter { return Fixed(10) }})
			ask := func(name fleet.Workspace, weight float64) bool {
				req := from(name)
				req.Weight = weight
				req.Capacity = 20
				_, failure := c.Admit(start, req)
				return failure == nil
			}
			large, small := 0, 0
			ask("small", 7)
			for range 100 {
				if tc.flood && ask("large", 3) {
					large++
				}
			}
			for range 100 {
				if ask("small", 7) {
					small++
				}
			}
			assert.Assert(t, large <= 10)
			assert.Equal(t, small+1, tc.admitted)
		})
	}
}
