package placementexp

import (
	"fmt"
	"strings"
	"sync"

	"carawayproxy.example/caraway/internal/placement"
	"carawayproxy.example/caraway/standin/experiment/table"
)

// workers bounds the runs under way at once.
const workers = 4

// NamedPolicy is a policy with its name in the tables.
type NamedPolicy struct {
	Name   string
	Policy placement.Policy
}

// Policies lists both deployments' choices and both baselines.
func Policies() []NamedPolicy {
	return []NamedPolicy{
		{"council", placement.Policy{Weights: Council}},
		{"trust", placement.Policy{Weights: Trust}},
		{"always-wait", placement.Policy{Choice: placement.ChooseWait}},
		{"always-rebuild", placement.Policy{Choice: placement.ChooseRebuild}},
	}
}

// job is one run to be done.
type job struct {
	seed     uint64
	scenario Scenario
	policy   NamedPolicy
}

// runAll runs jobs in parallel and returns their results in order.
func runAll(jobs []job) []Result {
	results := make([]Result, len(jobs))
	var wg sync.WaitGroup
	slots := make(chan struct{}, workers)
	for i, j := range jobs {
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			results[i] = Run(j.seed, j.scenario, j.policy.Name, j.policy.Policy)
		})
	}
	wg.Wait()
	return results
}

// RunAll runs every scenario with every policy on seeds 1 to seeds.
func RunAll(seeds int, scenarios []Scenario, policies []NamedPolicy) []Result {
	var jobs []job
	for _, s := range scenarios {
		for _, p := range policies {
			for seed := 1; seed <= seeds; seed++ {
				jobs = append(jobs, job{uint64(seed), s, p})
			}
		}
	}
	return runAll(jobs)
}

// Sum adds results up by scenario and policy, in the order of the results.
func Sum(results []Result) []Result {
	var sums []Result
	for _, r := range results {
		last := len(sums) - 1
		if last < 0 || sums[last].Scenario != r.Scenario || sums[last].Policy != r.Policy {
			sums = append(sums, Result{Scenario: r.Scenario, Policy: r.Policy})
			last++
		}
		s := &sums[last]
		s.Downtime += r.Downtime
		s.Slow += r.Slow
		s.Stranded += r.Stranded
		s.Idle += r.Idle
		s.Loads += r.Loads
		s.Cut += r.Cut
		s.Losses += r.Losses
		s.Whole += r.Whole
		s.Halted = s.Halted || r.Halted
	}
	return sums
}

// Ratios are the weights of stranded accelerators of the trade-off curve, for
// a weight of downtime of one.
var Ratios = []float64{0, 0.003, 0.03, 0.1, 0.3, 1, 3}

// curve runs the planner over the ratios on the scenario of a flapping member
// beside ordinary losses.
func curve(seeds int) *table.Table {
	t := &table.Table{
		Name:   "trade-off",
		Title:  fmt.Sprintf("Trade-off over the weight of stranded accelerators, downtime 1, sums over %d seeds.", seeds),
		Header: []string{"stranded weight", "scenario", "down s", "stranded acc s", "loads"},
		Value:  2,
	}
	for _, ratio := range Ratios {
		w := placement.Weights{Downtime: 1, Stranded: ratio}
		policies := []NamedPolicy{{fmt.Sprint(ratio), placement.Policy{Weights: w}}}
		for _, r := range Sum(RunAll(seeds, beginningWith("flapping"), policies)) {
			t.Rows = append(t.Rows, []string{r.Policy, r.Scenario, whole(r.Downtime), whole(r.Stranded), fmt.Sprint(r.Loads)})
		}
	}
	return t
}

// Tables returns the measures of scenarios under policies, the trade-off curve
// and the rollouts, summed over seeds 1 to seeds. The last two are of all
// scenarios and of their own policies, and left out when some were left out.
func Tables(scenarios []Scenario, policies []NamedPolicy, seeds int) []*table.Table {
	tables := []*table.Table{measures("placement", "Placement", RunAll(seeds, scenarios, policies), seeds)}
	if len(scenarios) < len(Scenarios()) || len(policies) < len(Policies()) {
		return tables
	}
	rollouts := RunAll(seeds, Rollouts(), Policies()[:2])
	return append(tables, curve(seeds), measures("rollouts", "Rollouts", rollouts, seeds))
}

// PromotionTable returns the measures of the outages of the log in which
// spares can be promoted, summed over seeds 1 to seeds.
func PromotionTable(policies []NamedPolicy, seeds int) *table.Table {
	results := RunAll(seeds, beginningWith("log-down+spare"), policies)
	return measures("promotion", "Promotion of spares with the log down", results, seeds)
}

// beginningWith returns the scenarios whose name begins with prefix.
func beginningWith(prefix string) []Scenario {
	var kept []Scenario
	for _, s := range Scenarios() {
		if strings.HasPrefix(s.Name, prefix) {
			kept = append(kept, s)
		}
	}
	return kept
}

// measures makes a table of results summed up by scenario and policy.
func measures(name, title string, results []Result, seeds int) *table.Table {
	header := []string{
		"scenario", "policy", "down s", "slow s", "stranded acc s", "idle acc s", "loads", "cut", "losses", "whole", "halted",
		"cost council", "cost trust",
	}
	t := &table.Table{
		Name:   name,
		Title:  fmt.Sprintf("%s, sums over %d seeds.", title, seeds),
		Header: header,
		Value:  len(header) - 1,
	}
	for _, r := range Sum(results) {
		t.Rows = append(t.Rows, []string{
			r.Scenario, r.Policy, whole(r.Downtime), whole(r.Slow), whole(r.Stranded), whole(r.Idle),
			fmt.Sprint(r.Loads), fmt.Sprint(r.Cut), fmt.Sprint(r.Losses), fmt.Sprint(r.Whole), fmt.Sprint(r.Halted),
			whole(r.Cost(Council)), whole(r.Cost(Trust)),
		})
	}
	return t
}

// whole writes a figure without decimals.
func whole(v float64) string { return fmt.Sprintf("%.0f", v) }
