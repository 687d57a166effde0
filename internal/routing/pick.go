package routing

import (
	"math/rand/v2"
	"sync/atomic"
	"time"
)

// DefaultSlack is how much dearer than the cheapest a group may be to stand
// among the better ones.
const DefaultSlack = 5 * time.Millisecond

// PowerOfTwo picks the cheaper of two random ones of the better candidates,
// which cost at most Slack more than the cheapest. Daemons that share the
// same lagging view so do not all pick the same group.
type PowerOfTwo struct {
	// Slack is DefaultSlack when zero.
	Slack time.Duration
}

// Pick implements Picker.
func (p PowerOfTwo) Pick(rng *rand.Rand, costs []float64) int {
	slack := p.Slack
	if slack == 0 {
		slack = DefaultSlack
	}
	bound := costs[cheapest(costs)] + slack.Seconds()
	first := pickUnder(rng, costs, bound)
	second := pickUnder(rng, costs, bound)
	if costs[second] < costs[first] {
		return second
	}
	return first
}

// pickUnder returns a random one of the candidates that cost at most bound.
func pickUnder(rng *rand.Rand, costs []float64, bound float64) int {
	picked, seen := 0, 0
	for i, cost := range costs {
		if cost > bound {
			continue
		}
		seen++
		if rng.IntN(seen) == 0 {
			picked = i
		}
	}
	return picked
}

// Cheapest picks the candidate of least cost, the first of equals.
type Cheapest struct{}

// Pick implements Picker.
func (Cheapest) Pick(_ *rand.Rand, costs []float64) int { return cheapest(costs) }

// cheapest returns the index of the least cost.
func cheapest(costs []float64) int {
	least := 0
	for i, cost := range costs {
		if cost < costs[least] {
			least = i
		}
	}
	return least
}

// Uniform picks any candidate with equal chance.
type Uniform struct{}

// Pick implements Picker.
func (Uniform) Pick(rng *rand.Rand, costs []float64) int { return rng.IntN(len(costs)) }

// InTurn picks the candidates in turn.
type InTurn struct {
	next atomic.Uint64
}

// Pick implements Picker.
func (t *InTurn) Pick(_ *rand.Rand, costs []float64) int {
	return int((t.next.Add(1) - 1) % uint64(len(costs)))
}

// OwnInFlight costs the requests that this daemon has at the group.
type OwnInFlight struct{}

// Name implements Scorer.
func (OwnInFlight) Name() string { return "own_in_flight" }

// Cost implements Scorer.
func (OwnInFlight) Cost(_ *Request, c *Candidate) float64 { return float64(c.OwnInFlight) }

// RoundRobin is the baseline that takes groups in turn.
func RoundRobin() Policy { return newPolicy(nil, &InTurn{}) }

// Random is the baseline that takes any group.
func Random() Policy { return newPolicy(nil, Uniform{}) }

// LeastInFlightOwn is the baseline that takes the group with the fewest
// requests of this daemon, a random one of equals.
func LeastInFlightOwn() Policy {
	return newPolicy([]Scorer{OwnInFlight{}}, PowerOfTwo{Slack: time.Nanosecond})
}
