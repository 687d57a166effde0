package suspects

import (
	"encoding/csv"
	"fmt"
	"io"
	"strconv"
	"sync"
	"text/tabwriter"

	"github.com/pkg/errors"

	"carawayproxy.example/caraway/internal/placement"
	placementexp "carawayproxy.example/caraway/standin/experiment/placement"
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

// rowsAtOnce is how many rows are made at once; each run has one goroutine.
const rowsAtOnce = 4

// Rows runs every scenario under every policy with seeds 1 to seeds.
func Rows(seeds int) []Row {
	scenarios, policies := Scenarios(), Policies()
	rows := make([]Row, len(scenarios)*len(policies))
	places := make(chan struct{}, rowsAtOnce)
	var wg sync.WaitGroup
	for i := range rows {
		s, p := scenarios[i/len(policies)], policies[i%len(policies)]
		places <- struct{}{}
		wg.Go(func() {
			defer func() { <-places }()
			rows[i] = rowOf(s, p, seeds)
		})
	}
	wg.Wait()
	return rows
}

func rowOf(s Scenario, p NamedPolicy, seeds int) Row {
	row := Row{Scenario: s, Policy: p.Name, Seeds: seeds}
	for seed := range seeds {
		row.Outcome.add(Run(s, p.Policy, uint64(seed+1)))
	}
	return row
}

// Table writes the comparison for people.
func Table(w io.Writer, seeds int) error {
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "scenario\tpolicy\tgroups lost per crashing request\tinnocents refused\tno idle group\tinnocents failed\tgroups lost\trequests\tcost council\tcost trust\t")
	for _, r := range Rows(seeds) {
		o := r.Outcome
		fmt.Fprintf(t, "%s\t%s\t%.2f\t%d\t%d\t%d\t%d\t%d\t%.0f\t%.0f\t\n",
			r.Scenario.Name, r.Policy, r.LostPerCrasher(), o.Refused, o.NoIdle, o.Failed, o.Lost, o.Requests,
			r.Cost(placementexp.Council), r.Cost(placementexp.Trust))
	}
	return errors.WithStack(t.Flush())
}

// CSV writes the comparison for programs.
func CSV(w io.Writer, seeds int) error {
	c := csv.NewWriter(w)
	_ = c.Write([]string{"scenario", "policy", "seeds", "lost_per_crasher", "innocents_refused", "no_idle_group", "innocents_failed", "groups_lost", "requests"})
	for _, r := range Rows(seeds) {
		o := r.Outcome
		_ = c.Write([]string{
			r.Scenario.Name, r.Policy, strconv.Itoa(seeds), strconv.FormatFloat(r.LostPerCrasher(), 'f', 3, 64),
			strconv.Itoa(o.Refused), strconv.Itoa(o.NoIdle), strconv.Itoa(o.Failed), strconv.Itoa(o.Lost), strconv.Itoa(o.Requests),
		})
	}
	c.Flush()
	return errors.WithStack(c.Error())
}
