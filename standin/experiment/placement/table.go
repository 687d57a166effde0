package placementexp

import (
	"fmt"
	"strings"
	"sync"

	"carawayproxy.example/caraway/internal/placement"
	"carawayproxy.example/caraway/standin/experiment/table"
)

// maxConcurrentRuns bounds the concurrent runs.
const maxConcurrentRuns = 4

// NamedPolicy is a policy with its name in the tables.
type NamedPolicy struct {
	Name   string
	Policy placement.Policy
}

// Policies returns the policies of both deployments and both baselines.
func Policies() []NamedPolicy {
	return []NamedPolicy{
		{"council", placement.Policy{Weights: Council}},
		{"trust", placement.Policy{Weights: Trust}},
		{"always-wait", placement.Policy{Choice: placement.ChooseWait}},
		{"always-rebuild", placement.Policy{Choice: placement.ChooseRebuild}},
	}
}

// job is one pending run.
type job struct {
	seed     uint64
	scenario Scenario
	policy   NamedPolicy
}

// runAll runs jobs in parallel and returns their results in order.
func runAll(jobs []job) []Result {
	results := make([]Result, len(jobs))
	var wg sync.WaitGroup
	slots := make(chan struct{}, maxConcurrentRuns)
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

// RunAll runs every scenario under every policy with the seeds 1 to seeds.
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

// Sum adds up adjacent results of the same scenario and policy, keeping the order.
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
		s.CutRequests += r.CutRequests
		s.Losses += r.Losses
		s.Whole += r.Whole
		s.Halted = s.Halted || r.Halted
	}
	return sums
}

// Ratios are the weights of stranded accelerators on the trade-off curve, where
// downtime has the weight one.
var Ratios = []float64{0, 0.003, 0.03, 0.1, 0.3, 1, 3}

// tradeOffTable runs the planner with each ratio on the flapping scenario.
func tradeOffTable(seeds int) *table.Table {
	t := &table.Table{
		Name:   "trade-off",
		Title:  fmt.Sprintf("Trade-off over the weight of stranded accelerators, downtime 1, sums over %d seeds.", seeds),
		Header: []string{"stranded weight", "scenario", "down s", "stranded acc s", "loads"},
		Value:  2,
	}
	for _, ratio := range Ratios {
		w := placement.Weights{Downtime: 1, Stranded: ratio}
		policies := []NamedPolicy{{fmt.Sprint(ratio), placement.Policy{Weights: w}}}
		for _, r := range Sum(RunAll(seeds, scenariosWithPrefix("flapping"), policies)) {
			t.Rows = append(t.Rows, []string{r.Policy, r.Scenario, formatWhole(r.Downtime), formatWhole(r.Stranded), fmt.Sprint(r.Loads)})
		}
	}
	return t
}

// Tables returns the results of the scenarios under the policies, the trade-off
// curve and the rollouts, summed over the seeds 1 to seeds. The last two have
// fixed scenarios and policies, and are omitted if the arguments are a selection.
func Tables(scenarios []Scenario, policies []NamedPolicy, seeds int) []*table.Table {
	tables := []*table.Table{resultTable("placement", "Placement", RunAll(seeds, scenarios, policies), seeds)}
	if len(scenarios) < len(Scenarios()) || len(policies) < len(Policies()) {
		return tables
	}
	rollouts := RunAll(seeds, Rollouts(), Policies()[:2])
	return append(tables, tradeOffTable(seeds), resultTable("rollouts", "Rollouts", rollouts, seeds))
}

// PromotionTable returns the results of the log outages with spares that can be
// promoted, summed over the seeds 1 to seeds.
func PromotionTable(policies []NamedPolicy, seeds int) *table.Table {
	results := RunAll(seeds, scenariosWithPrefix("log-down+spare"), policies)
	return resultTable("promotion", "Promotion of spares with the log down", results, seeds)
}

// scenariosWithPrefix returns the scenarios whose name has the prefix.
func scenariosWithPrefix(prefix string) []Scenario {
	var kept []Scenario
	for _, s := range Scenarios() {
		if strings.HasPrefix(s.Name, prefix) {
			kept = append(kept, s)
		}
	}
	return kept
}

// resultTable returns a table of the results summed by scenario and policy.
func resultTable(name, title string, results []Result, seeds int) *table.Table {
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
			r.Scenario, r.Policy, formatWhole(r.Downtime), formatWhole(r.Slow), formatWhole(r.Stranded), formatWhole(r.Idle),
			fmt.Sprint(r.Loads), fmt.Sprint(r.CutRequests), fmt.Sprint(r.Losses), fmt.Sprint(r.Whole), fmt.Sprint(r.Halted),
			formatWhole(r.Cost(Council)), formatWhole(r.Cost(Trust)),
		})
	}
	return t
}

// formatWhole formats a number without decimals.
func formatWhole(v float64) string { return fmt.Sprintf("%.0f", v) }
