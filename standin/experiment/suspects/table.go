package suspects

import (
	"fmt"

	"carawayproxy.example/caraway/internal/placement"
	placementexp "carawayproxy.example/caraway/standin/experiment/placement"
	"carawayproxy.example/caraway/standin/experiment/table"
)

// Row is one scenario under one policy, over all seeds.
type Row struct {
	Scenario Scenario
	Policy   string
	Seeds    int
	Outcome  Outcome
}

// LostPerCrasher is how many groups each crashing request cost.
func (r Row) LostPerCrasher() float64 {
	if r.Scenario.Crashers == 0 {
		return 0
	}
	return float64(r.Outcome.Crashed) / float64(r.Scenario.Crashers*r.Seeds)
}

// healthyAccelerators is what a dead group leaves idle: of four instances of
// eight accelerators three are healthy.
const healthyAccelerators = 24

// Cost weighs the groups lost to crashing requests and the innocents refused,
// in group-seconds of downtime. A lost group is down while it is repaired, and
// its healthy accelerators are idle. A refused caller costs the group time
// that would have served it.
func (r Row) Cost(w placement.Weights) float64 {
	group := repair.Seconds() * (w.Downtime + w.Stranded*healthyAccelerators)
	caller := w.Downtime * float64(r.Scenario.Domains*r.Scenario.Groups) / r.Scenario.Rate
	return group*float64(r.Outcome.Crashed) + caller*float64(r.Outcome.Refused+r.Outcome.NoIdle)
}

func rowOf(s Scenario, p NamedPolicy, seeds int) Row {
	row := Row{Scenario: s, Policy: p.Name, Seeds: seeds}
	for seed := range seeds {
		row.Outcome.add(Run(s, p.Policy, uint64(seed+1)))
	}
	return row
}

// Table returns the comparison of policies over scenarios with seeds 1 to
// seeds.
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
		return rowOf(scenarios[i/len(policies)], policies[i%len(policies)], seeds).cells()
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
