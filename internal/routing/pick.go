package routing

import (
	"math/rand/v2"
	"sync/atomic"
	"time"
)

// DefaultSlack is the cost difference from the cheapest candidate within which
// PowerOfTwo considers a candidate.
const DefaultSlack = 5 * time.Millisecond

// PowerOfTwo draws two random candidates among those that cost at most Slack
// more than the cheapest one, and picks the cheaper of the two. The randomness
// keeps daemons that share the same delayed load reports from all picking the
// same group.
type PowerOfTwo struct {
	// Slack defaults to DefaultSlack.
	Slack time.Duration
}

// Pick implements Picker.
func (p PowerOfTwo) Pick(rng *rand.Rand, costs []float64) int {
	slack := p.Slack
	if slack == 0 {
		slack = DefaultSlack
	}
	bound := costs[cheapest(costs)] + slack.Seconds()
	first := pickWithin(rng, costs, bound)
	second := pickWithin(rng, costs, bound)
	if costs[second] < costs[first] {
		return second
	}
	return first
}

// pickWithin returns the index of a random candidate that costs at most bound.
func pickWithin(rng *rand.Rand, costs []float64, bound float64) int {
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

// Cheapest picks the candidate with the lowest cost; ties go to the first one.
type Cheapest struct{}

// Pick implements Picker.
func (Cheapest) Pick(_ *rand.Rand, costs []float64) int { return cheapest(costs) }

// cheapest returns the index of the lowest cost; ties go to the first one.
func cheapest(costs []float64) int {
	least := 0
	for i, cost := range costs {
		if cost < costs[least] {
			least = i
		}
	}
	return least
}

// Uniform picks a candidate uniformly at random.
type Uniform struct{}

// Pick implements Picker.
func (Uniform) Pick(rng *rand.Rand, costs []float64) int { return rng.IntN(len(costs)) }

// RoundRobinPicker picks the candidates in round-robin order.
type RoundRobinPicker struct {
	next atomic.Uint64
}

// Pick implements Picker.
func (p *RoundRobinPicker) Pick(_ *rand.Rand, costs []float64) int {
	return int((p.next.Add(1) - 1) % uint64(len(costs)))
}

// OwnInFlight scores a group by this daemon's number of in-flight requests at
// the group.
type OwnInFlight struct{}

// Name implements Scorer.
func (OwnInFlight) Name() string { return "own_in_flight" }

// Cost implements Scorer.
func (OwnInFlight) Cost(_ *Request, c *Candidate) float64 { return float64(c.OwnInFlight) }

// RoundRobin returns the baseline policy that picks groups in round-robin
// order.
func RoundRobin() Policy { return newPolicy(nil, &RoundRobinPicker{}) }

// Random returns the baseline policy that picks groups uniformly at random.
func Random() Policy { return newPolicy(nil, Uniform{}) }

// LeastInFlightOwn returns the baseline policy that picks the group with the
// fewest in-flight requests of this daemon; ties are broken at random.
func LeastInFlightOwn() Policy {
	return newPolicy([]Scorer{OwnInFlight{}}, PowerOfTwo{Slack: time.Nanosecond})
}
