package admission

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"carawayproxy.example/caraway/internal/fleet"
	"carawayproxy.example/caraway/internal/routing"
)

// admitWeighted admits a request of a workspace with the given weight.
func admitWeighted(c *Controller, now time.Time, name fleet.Workspace, weight float64) (Ticket, *fleet.Failure) {
	req := requestOf(name)
	req.Weight = weight
	return c.Admit(now, req)
}

// flood sends 200 requests and returns the tickets of the admitted ones.
func flood(c *Controller, now time.Time, name fleet.Workspace, weight float64) (admitted []Ticket) {
	for range 200 {
		if ticket, failure := admitWeighted(c, now, name, weight); failure == nil {
			admitted = append(admitted, ticket)
		}
	}
	return admitted
}

// holdRequests admits n requests one minute before start and keeps them in
// flight.
func holdRequests(c *Controller, name fleet.Workspace, weight float64, n int) {
	for range n {
		_, _ = admitWeighted(c, start.Add(-time.Minute), name, weight)
	}
}

// newFloodedController returns a controller with a limit of 100 at which the
// workspace large, which has 3/10 of the total weight, floods.
func newFloodedController(cfg Config) (*Controller, []Ticket) {
	cfg.NewLimiter = func() Limiter { return Fixed(100) }
	c := NewController(cfg)
	_, _ = admitWeighted(c, start, "small", 1)
	holdRequests(c, "other", 6, 50)
	return c, flood(c, start, "large", 3)
}

func TestFloodIsConfinedToItsShareOfTheGroups(t *testing.T) {
	c, held := newFloodedController(Config{})
	assert.DeepEqual(t, c.GroupRange(start, "drafting", "large"), routing.GroupRange{From: 0, To: 0.3})
	assert.DeepEqual(t, c.GroupRange(start, "drafting", "small"), routing.GroupRange{From: 0.3, To: 1})
	assert.DeepEqual(t, c.GroupRange(start, "drafting", "new"), routing.GroupRange{From: 0.3, To: 1})
	for len(held) >= 30 {
		held[0].Release(start, Result{})
		held = held[1:]
	}
	_, failure := admitWeighted(c, start, "large", 3)
	assert.Assert(t, failure == nil, "large must be admitted within its fair share")
	_, failure = admitWeighted(c, start, "large", 3)
	assert.ErrorContains(t, failure, "limit", "large must not exceed its fair share")
}

// Guards against workspaces that avoid more of a flooding workspace's groups,
// and so lose more cached prefixes, than their own load requires.
func TestOthersAvoidFloodedGroupsInProportionToTheirLoad(t *testing.T) {
	for used, from := range map[int]float64{1: 0.007, 23: 0.15, 40: 0.26, 46: 0.3, 60: 0.3} {
		c := NewController(Config{NewLimiter: func() Limiter { return Fixed(100) }})
		holdRequests(c, "other", 7, used)
		flood(c, start, "large", 3)
		assert.DeepEqual(t, c.GroupRange(start, "drafting", "large"), routing.GroupRange{From: 0, To: 0.3})
		groupRange := c.GroupRange(start, "drafting", "other")
		assert.Assert(t, math.Abs(groupRange.From-from) < 0.01 && groupRange.To == 1, "%d in use: %v", used, groupRange)
	}
}

func TestConfinementEndsWithTheFlood(t *testing.T) {
	c, held := newFloodedController(Config{})
	for _, ticket := range held {
		ticket.Release(start, Result{})
	}
	later := start.Add(30 * time.Second)
	assert.DeepEqual(t, c.GroupRange(later, "drafting", "large"), routing.GroupRange{})
	assert.DeepEqual(t, c.GroupRange(later, "drafting", "small"), routing.GroupRange{})
}

func TestSteadyLoadWithinTheShareIsNotConfined(t *testing.T) {
	c := newFixedController(100)
	_, _ = c.Admit(start, requestOf("small"))
	for range 40 { // out of a share of 50
		_, failure := c.Admit(start, requestOf("large"))
		assert.Assert(t, failure == nil)
	}
	assert.DeepEqual(t, c.GroupRange(start, "drafting", "large"), routing.GroupRange{})
}

func TestNoConfinementWhenMostOfTheWeightFloods(t *testing.T) {
	c := NewController(Config{NewLimiter: func() Limiter { return Fixed(100) }})
	_, _ = admitWeighted(c, start, "small", 1)
	flood(c, start, "large", 9)
	assert.DeepEqual(t, c.GroupRange(start, "drafting", "large"), routing.GroupRange{})
	assert.DeepEqual(t, c.GroupRange(start, "drafting", "small"), routing.GroupRange{})
}

func TestTwoFloodsGetDifferentGroupsInOrderOfTheirNames(t *testing.T) {
	c := NewController(Config{NewLimiter: func() Limiter { return Fixed(100) }})
	holdRequests(c, "rest", 6, 50)
	flood(c, start, "b", 2)
	flood(c, start, "a", 2)
	assert.DeepEqual(t, c.GroupRange(start, "drafting", "a"), routing.GroupRange{From: 0, To: 0.2})
	assert.DeepEqual(t, c.GroupRange(start, "drafting", "b"), routing.GroupRange{From: 0.2, To: 0.4})
	assert.DeepEqual(t, c.GroupRange(start, "drafting", "rest"), routing.GroupRange{From: 0.4, To: 1})
}

func TestAllGroupsConfinesNoWorkspace(t *testing.T) {
	c, _ := newFloodedController(Config{AllGroups: true})
	assert.DeepEqual(t, c.GroupRange(start, "drafting", "large"), routing.GroupRange{})
	assert.DeepEqual(t, c.GroupRange(start, "drafting", "small"), routing.GroupRange{})
}

func TestBurstsWithinTwoStandardDeviationsAreNotOverShare(t *testing.T) {
	c := newFixedController(200) // a share of 100 for each of two workspaces
	_, _ = c.Admit(start, requestOf("small"))
	withinShare := 0
	for range 139 {
		ticket, failure := c.Admit(start, requestOf("large"))
		assert.Assert(t, failure == nil)
		if !ticket.OverShare() {
			withinShare++
		}
	}
	assert.Equal(t, withinShare, 120, "the share and two standard deviations of it")
}

// observationCounter is a limiter that counts the observed results.
type observationCounter struct {
	Fixed
	count *int
}

func (l observationCounter) Observe(time.Time, int, Result) { *l.count++ }

func TestLatencyInConfinedGroupsDoesNotChangeTheLimit(t *testing.T) {
	observed := 0
	c := NewController(Config{NewLimiter: func() Limiter { return observationCounter{Fixed: 100, count: &observed} }})
	small, _ := admitWeighted(c, start, "small", 7)
	held := flood(c, start, "large", 3)
	held[0].Release(start, Result{FirstToken: time.Minute})
	assert.Equal(t, observed, 0)
	small.Release(start, Result{FirstToken: time.Second})
	assert.Equal(t, observed, 1)
}

// If a flood lowers the limit, the other workspaces keep their share of the
// whole capacity, but no more.
func TestLowerLimitInAFloodAffectsOnlyTheFloodingWorkspace(t *testing.T) {
	for name, tc := range map[string]struct {
		flood    bool
		admitted int
	}{
		"flood":    {flood: true, admitted: 14}, // 7/10 of 20
		"no flood": {admitted: 10},              // the limit
	} {
		t.Run(name, func(t *testing.T) {
			c := NewController(Config{NewLimiter: func() Limiter { return Fixed(10) }})
			admit := func(name fleet.Workspace, weight float64) bool {
				req := requestOf(name)
				req.Weight = weight
				req.Capacity = 20
				_, failure := c.Admit(start, req)
				return failure == nil
			}
			large, small := 0, 0
			admit("small", 7)
			for range 100 {
				if tc.flood && admit("large", 3) {
					large++
				}
			}
			for range 100 {
				if admit("small", 7) {
					small++
				}
			}
			assert.Assert(t, large <= 10)
			assert.Equal(t, small+1, tc.admitted)
		})
	}
}
