// Command experiment runs the decision packages in small discrete-event
// simulations and prints the tables of the design notes.
package main

import (
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/jessevdk/go-flags"
	"github.com/pkg/errors"

	placementexp "carawayproxy.example/caraway/standin/experiment/placement"
	"carawayproxy.example/caraway/standin/experiment/serving"
	"carawayproxy.example/caraway/standin/experiment/suspects"
	"carawayproxy.example/caraway/standin/experiment/table"
)

// options are the command's flags.
type options struct {
	Suite    string `long:"suite" env:"CARAWAY_EXPERIMENT_SUITE" default:"all" description:"suite to run: all, routing, admission, flood, delay, retries, placement, promotion or suspects"`
	Seeds    int    `long:"seeds" env:"CARAWAY_EXPERIMENT_SEEDS" default:"0" description:"runs of each case, with the seeds 1 and up; 0 makes as many as the suite's table in docs/design/ is of"`
	Scenario string `long:"scenario" env:"CARAWAY_EXPERIMENT_SCENARIO" description:"only the cases whose name contains this"`
	Policy   string `long:"policy" env:"CARAWAY_EXPERIMENT_POLICY" description:"only the policies whose name contains this"`
	Out      string `long:"out" env:"CARAWAY_EXPERIMENT_OUT" description:"directory for a CSV file and a plot of each table; none are written without it"`
}

// Number of runs of each case in the tables of the design notes.
const (
	defaultSeeds = 3
	// promotionSeeds is higher because promotions differ in a few seeds only.
	promotionSeeds = 8
	// suspectsSeeds is higher because innocent requests are rarely refused.
	suspectsSeeds = 16
)

// suite is a named set of tables.
type suite struct {
	name   string
	seeds  int // default runs of each case
	tables func(o options) []*table.Table
}

func suites() []suite {
	return []suite{
		{"routing", defaultSeeds, routingTables},
		{"admission", defaultSeeds, admissionTables},
		{"flood", defaultSeeds, floodTables},
		{"delay", defaultSeeds, delayTables},
		{"retries", defaultSeeds, retriesTables},
		{"placement", defaultSeeds, placementTables},
		{"promotion", promotionSeeds, promotionTables},
		{"suspects", suspectsSeeds, suspectsTables},
	}
}

// writeTable writes a table as text, and its files if an output directory is set.
func (o options) writeTable(t *table.Table, w io.Writer) error {
	if err := t.WriteText(w); err != nil {
		return err
	}
	if _, err := fmt.Fprintln(w); err != nil {
		return errors.WithStack(err)
	}
	if o.Out == "" || len(t.Rows) == 0 {
		return nil
	}
	return t.Save(o.Out)
}

// withDefaultSeeds returns the options with the suite's number of seeds if they
// don't set it.
func (s suite) withDefaultSeeds(o options) options {
	if o.Seeds == 0 {
		o.Seeds = s.seeds
	}
	return o
}

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		if flags.WroteHelp(err) {
			return
		}
		os.Exit(2)
	}
	if err := run(o, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
}

// run writes the tables selected by the options.
func run(o options, w io.Writer) error {
	if o.Seeds < 0 {
		return errors.Errorf("--seeds: want 0 or more, got %d", o.Seeds)
	}
	found := false
	for _, s := range suites() {
		if o.Suite != "all" && o.Suite != s.name {
			continue
		}
		found = true
		for _, t := range s.tables(s.withDefaultSeeds(o)) {
			if err := o.writeTable(t, w); err != nil {
				return errors.Wrap(err, s.name)
			}
		}
	}
	if !found {
		return errors.Errorf("--suite: no suite %q", o.Suite)
	}
	return nil
}

func routingTables(o options) []*table.Table {
	cases := filterByName(serving.RoutingCases(), o.Scenario, func(c serving.RoutingCase) string { return c.Name })
	policies := filterByName(serving.Policies(), o.Policy, func(p serving.NamedPolicy) string { return p.Name })
	return []*table.Table{serving.RoutingTable(cases, policies, o.Seeds)}
}

func admissionTables(o options) []*table.Table {
	loads := filterByName([]float64{1, 2, 5}, o.Scenario, func(l float64) string { return fmt.Sprintf("%gx", l) })
	return []*table.Table{serving.AdmissionTable(limits(o), loads, o.Seeds)}
}

func floodTables(o options) []*table.Table {
	loads := filterByName([]float64{0.7, 1}, o.Scenario, func(l float64) string { return fmt.Sprint(l) })
	return []*table.Table{serving.FloodTable(limits(o), loads, o.Seeds)}
}

func delayTables(o options) []*table.Table {
	loads := filterByName([]float64{0.7, 1}, o.Scenario, func(l float64) string { return fmt.Sprint(l) })
	return []*table.Table{serving.DelayTable(limits(o), loads, o.Seeds)}
}

func retriesTables(o options) []*table.Table {
	cases := filterByName(serving.RetryCases(), o.Scenario, func(c serving.RetryCase) string { return c.Name })
	variants := filterByName(serving.RetryVariants(), o.Policy, func(v serving.NamedRetries) string { return v.Name })
	return []*table.Table{serving.RetriesTable(cases, variants, o.Seeds)}
}

func placementTables(o options) []*table.Table {
	scenarios := filterByName(placementexp.Scenarios(), o.Scenario, func(s placementexp.Scenario) string { return s.Name })
	return placementexp.Tables(scenarios, placementPolicies(o), o.Seeds)
}

func promotionTables(o options) []*table.Table {
	return []*table.Table{placementexp.PromotionTable(placementPolicies(o), o.Seeds)}
}

func suspectsTables(o options) []*table.Table {
	scenarios := filterByName(suspects.Scenarios(), o.Scenario, func(s suspects.Scenario) string { return s.Name })
	policies := filterByName(suspects.Policies(), o.Policy, func(p suspects.NamedPolicy) string { return p.Name })
	return []*table.Table{suspects.Table(scenarios, policies, o.Seeds)}
}

func placementPolicies(o options) []placementexp.NamedPolicy {
	return filterByName(placementexp.Policies(), o.Policy, func(p placementexp.NamedPolicy) string { return p.Name })
}

func limits(o options) []serving.NamedLimit {
	return filterByName(serving.Limits(), o.Policy, func(l serving.NamedLimit) string { return l.Name })
}

// filterByName returns the items whose name contains part.
func filterByName[T any](items []T, part string, name func(T) string) []T {
	var kept []T
	for _, item := range items {
		if strings.Contains(name(item), part) {
			kept = append(kept, item)
		}
	}
	return kept
}
