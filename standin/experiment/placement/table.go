package placementexp

import (
	"encoding/csv"
	"fmt"
	"io"
	"strings"
	"sync"
	"text/tabwriter"

	"carawayproxy.example/caraway/internal/placement"
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
func curve(seeds int) []Result {
	var policies []NamedPolicy
	for _, ratio := range Ratios {
		w := placement.Weights{Downtime: 1, Stranded: ratio}
		policies = append(policies, NamedPolicy{fmt.Sprintf("stranded %g", ratio), placement.Policy{Weights: w}})
	}
	return RunAll(seeds, beginningWith("flapping"), policies)
}

// Table writes the measures of all scenarios, the trade-off curve and the
// rollouts, summed over seeds 1 to seeds.
func Table(w io.Writer, seeds int) error {
	t := tabwriter.NewWriter(w, 2, 8, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(t, "Placement, sums over %d seeds.\n", seeds)
	rows(t, Sum(RunAll(seeds, Scenarios(), Policies())))
	fmt.Fprintln(t, "\nTrade-off over the weight of stranded accelerators.")
	rows(t, Sum(curve(seeds)))
	fmt.Fprintln(t, "\nRollouts.")
	rows(t, Sum(RunAll(seeds, Rollouts(), Policies()[:2])))
	return t.Flush()
}

// PromotionTable writes the measures of the outages of the log in which spares
// can be promoted, summed over seeds 1 to seeds.
func PromotionTable(w io.Writer, seeds int) error {
	t := tabwriter.NewWriter(w, 2, 8, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(t, "Promotion of spares with the log down, sums over %d seeds.\n", seeds)
	rows(t, Sum(RunAll(seeds, beginningWith("log-down+spare"), Policies())))
	return t.Flush()
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

func rows(w io.Writer, results []Result) {
	fmt.Fprintln(w, "scenario\tpolicy\tdown s\tslow s\tstranded acc s\tidle acc s\tloads\tcut\tlosses\twhole\thalted\tcost council\tcost trust\t")
	for _, r := range results {
		fmt.Fprintf(w, "%s\t%s\t%.0f\t%.0f\t%.0f\t%.0f\t%d\t%d\t%d\t%d\t%t\t%.0f\t%.0f\t\n", r.Scenario, r.Policy, r.Downtime, r.Slow,
			r.Stranded, r.Idle, r.Loads, r.Cut, r.Losses, r.Whole, r.Halted, r.Cost(Council), r.Cost(Trust))
	}
}

// WriteCSV writes one line for each result.
func WriteCSV(w io.Writer, results []Result) error {
	c := csv.NewWriter(w)
	header := []string{"scenario", "policy", "seed", "downtime_s", "slow_s", "stranded_acc_s", "idle_acc_s", "loads", "cut", "losses", "whole", "halted"}
	if err := c.Write(header); err != nil {
		return err
	}
	for _, r := range results {
		line := []string{
			r.Scenario, r.Policy, fmt.Sprint(r.Seed), fmt.Sprintf("%.0f", r.Downtime), fmt.Sprintf("%.0f", r.Slow),
			fmt.Sprintf("%.0f", r.Stranded), fmt.Sprintf("%.0f", r.Idle), fmt.Sprint(r.Loads), fmt.Sprint(r.Cut),
			fmt.Sprint(r.Losses), fmt.Sprint(r.Whole), fmt.Sprint(r.Halted),
		}
		if err := c.Write(line); err != nil {
			return err
		}
	}
	c.Flush()
	return c.Error()
}
