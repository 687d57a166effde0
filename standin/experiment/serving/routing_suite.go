package serving

import (
	"strconv"
	"time"

	"carawayproxy.example/caraway/internal/admission"
	"carawayproxy.example/caraway/internal/routing"

	"carawayproxy.example/caraway/standin/experiment/table"
)

// Size of the simulated fleet: the current fleet of one model family.
const (
	fleetGroups  = 20
	fleetDaemons = 9
)

// Latency targets of the users for the 95th percentile.
const (
	TargetFirstToken = 770 * time.Millisecond
	TargetInterval   = 38 * time.Millisecond
)

// NamedPolicy is a routing policy under test.
type NamedPolicy struct {
	Name     string
	New      func() routing.Policy
	Prefixes bool
}

// Policies returns the compared routing policies, starting with the daemons' own.
func Policies() []NamedPolicy {
	return []NamedPolicy{
		{Name: "default", New: routing.DefaultPolicy, Prefixes: true},
		{Name: "default-no-prefix", New: routing.DefaultPolicy},
		{Name: "cheapest", New: func() routing.Policy { return withPicker(routing.Cheapest{}) }, Prefixes: true},
		{Name: "round-robin", New: routing.RoundRobin},
		{Name: "least-own", New: routing.LeastInFlightOwn},
		{Name: "random", New: routing.Random},
	}
}

// withPicker returns the default policy with another picker.
func withPicker(p routing.Picker) routing.Policy {
	policy := routing.DefaultPolicy()
	policy.Picker = p
	return policy
}

// RoutingCase is one load under which policies are compared.
type RoutingCase struct {
	Name      string
	Load      float64 // as a share of Capacity
	Straggler float64
	Daemons   int // fleetDaemons if zero
}

// RoutingCases returns the compared loads.
func RoutingCases() []RoutingCase {
	return []RoutingCase{
		{Name: "30%", Load: 0.30},
		{Name: "70%", Load: 0.70},
		{Name: "95%", Load: 0.95},
		{Name: "70% straggler", Load: 0.70, Straggler: 3},
		{Name: "95% 60 daemons", Load: 0.95, Daemons: 60},
	}
}

// routingScenario returns the scenario of a policy under a load.
func routingScenario(c RoutingCase, p NamedPolicy, capacity float64, seed uint64) Scenario {
	daemons := c.Daemons
	if daemons == 0 {
		daemons = fleetDaemons
	}
	return Scenario{
		Name: c.Name, Seed: seed, Groups: fleetGroups, Daemons: daemons,
		Warmup: 15 * time.Second, Duration: 30 * time.Second,
		Sources:   []Source{{Workspace: "all", Rate: c.Load * capacity}},
		Policy:    p.New,
		Prefixes:  p.Prefixes,
		Straggler: c.Straggler,
	}
}

// Capacity measures the answers per second of groups whose batches are always
// full, under the random policy. This is a load of 100%.
func Capacity(groups int) float64 {
	full := Run(Scenario{
		Seed: 1, Groups: groups, Daemons: 1, Warmup: 15 * time.Second, Duration: 20 * time.Second,
		Sources: []Source{{Workspace: "all", Rate: float64(groups * maxRunning)}},
		Policy:  routing.Random,
		Limiter: func() admission.Limiter { return admission.Fixed(groups * maxRunning) },
	})
	return float64(full.Answered) / 20
}

// RoutingTable compares the policies under each load.
func RoutingTable(cases []RoutingCase, policies []NamedPolicy, seeds int) *table.Table {
	t := &table.Table{
		Name:   "routing",
		Title:  "Routing: 20 groups, 9 daemons, 95 in 100; targets 770 ms to the first token, 38 ms between tokens",
		Header: []string{"load", "policy", "first token ms", "between tokens ms", "cache hits %", "spread %", "answered %"},
		Value:  2,
	}
	capacity := Capacity(fleetGroups)
	t.Fill(len(cases)*len(policies), func(i int) []string {
		return routingRow(cases[i/len(policies)], policies[i%len(policies)], capacity, seeds)
	})
	return t
}

func routingRow(c RoutingCase, p NamedPolicy, capacity float64, seeds int) []string {
	first, interval := newLatency(), newLatency()
	hits, spread, answered, late := 0.0, 0.0, 0, 0
	for seed := range uint64(seeds) {
		s := Run(routingScenario(c, p, capacity, seed+1))
		first.Merge(s.FirstToken)
		interval.Merge(s.Interval)
		hits += s.HitShare()
		spread += s.Spread()
		answered += s.Answered
		late += s.Late
	}
	return []string{
		c.Name, p.Name, millis(first.At(95)), millis(interval.At(95)),
		percent(hits / float64(seeds)), percent(spread / float64(seeds)),
		percent(float64(answered) / float64(answered+late)),
	}
}

// millis formats a duration in milliseconds.
func millis(d time.Duration) string {
	return strconv.FormatFloat(float64(d)/float64(time.Millisecond), 'f', 1, 64)
}

// percent formats a share as a percentage.
func percent(share float64) string { return strconv.FormatFloat(100*share, 'f', 1, 64) }
