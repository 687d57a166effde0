package suspects

import (
	"fmt"

	"carawayproxy.example/caraway/internal/placement"
	placementexp "carawayproxy.example/caraway/standin/experiment/placement"
	"carawayproxy.example/caraway/standin/experiment/table"
)

// Row is the result of one scenario under one policy, summed over all seeds.
type Row struct {
	Scenario Scenario
	Policy   string
	Seeds    int
	Outcome  Outcome
}

// LostPerCrasher returns the mean number of groups lost to each crashing request.
func (r Row) LostPerCrasher() float64 {
	if r.Scenario.Crashers == 0 {
		return 0
	}
	return float64(r.Outcome.Crashed) / float64(r.Scenario.Crashers*r.Seeds)
}

// healthyAccelerators is the number of accelerators left idle by a failed group:
// of its four instances with eight accelerators each, three are healthy.
const healthyAccelerators = 24

// Cost returns the weighted cost of the groups lost to crashing requests and of
// the innocent requests refused, in group-seconds of downtime. A lost group is
// down until it is repaired, and its healthy accelerators are idle. A refused
// request costs the group time that would have served it.
func (r Row) Cost(w placement.Weights) float64 {
	group := repairTime.Seconds() * (w.Downtime + w.Stranded*healthyAccelerators)
	caller := w.Downtime * float64(r.Scenario.Domains*r.Scenario.Groups) / r.Scenario.Rate
	return group*float64(r.Outcome.Crashed) + caller*float64(r.Outcome.Refused+r.Outcome.NoIdle)
}

func runAllSeeds(s Scenario, p NamedPolicy, seeds int) Row {
	row := Row{Scenario: s, Policy: p.Name, Seeds: seeds}
	for seed := range seeds {
		row.Outcome.add(Run(s, p.Policy, uint64(seed+1)))
	}
	return row
}

// Table compares the policies over the scenarios with the seeds 1 to seeds.
func Table(scenarios []Scenario, policies []NamedPolicy, seeds int) *table.Table {
	header := []string{
		"scenario", "policy", "groups lost per crashing request", "innocents refused", "no idle group", "innocents failed",
		"groups lost", "requests", "cost council", "cost trust",
	}
	t := &table.Table{
		Name:   "suspects",
		Title:  fmt.Sprintf("Requests that crash backend servers, sums over %d seeds.", seeds),
		Header: header,
		Value:  len(header) - 1,
	}
	t.Fill(len(scenarios)*len(policies), func(i int) []string {
		return runAllSeeds(scenarios[i/len(policies)], policies[i%len(policies)], seeds).cells()
	})
	return t
}

func (r Row) cells() []string {
	o := r.Outcome
	return []string{
		r.Scenario.Name, r.Policy, fmt.Sprintf("%.2f", r.LostPerCrasher()), fmt.Sprint(o.Refused), fmt.Sprint(o.NoIdle),
		fmt.Sprint(o.Failed), fmt.Sprint(o.Lost), fmt.Sprint(o.Requests),
		fmt.Sprintf("%.0f", r.Cost(placementexp.Council)), fmt.Sprintf("%.0f", r.Cost(placementexp.Trust)),
	}
}
