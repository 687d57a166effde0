// Command experiment runs the decision packages in small discrete runs in
// virtual time and prints the tables of the design notes.
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

// Runs of each case in the tables of the design notes.
const (
	customarySeeds = 3
	// promotionSeeds is more, as promotions differ in a few seeds only.
	promotionSeeds = 8
	// suspectSeeds is more, as innocents are refused seldom.
	suspectSeeds = 16
)

// suite makes tables.
type suite struct {
	name   string
	seeds  int // of its tables in the design notes
	tables func(o options) []*table.Table
}

func suites() []suite {
	return []suite{
		{"routing", customarySeeds, routing},
		{"admission", customarySeeds, admission},
		{"flood", customarySeeds, flood},
		{"delay", customarySeeds, delay},
		{"retries", customarySeeds, retries},
		{"placement", customarySeeds, placement},
		{"promotion", promotionSeeds, promotion},
		{"suspects", suspectSeeds, suspected},
	}
}

// write writes a table, and its files when they are asked for.
func (o options) write(t *table.Table, w io.Writer) error {
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

// with returns the options with the suite's own seeds where they name none.
func (s suite) with(o options) options {
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

// run writes the tables that the options name.
func run(o options, w io.Writer) error {
	if o.Seeds < 0 {
		return errors.Errorf("--seeds: %d is negative", o.Seeds)
	}
	found := false
	for _, s := range suites() {
		if o.Suite != "all" && o.Suite != s.name {
			continue
		}
		found = true
		for _, t := range s.tables(s.with(o)) {
			if err := o.write(t, w); err != nil {
				return errors.Wrap(err, s.name)
			}
		}
	}
	if !found {
		return errors.Errorf("--suite: no suite %q", o.Suite)
	}
	return nil
}

func routing(o options) []*table.Table {
	cases := only(serving.RoutingCases(), o.Scenario, func(c serving.RoutingCase) string { return c.Name })
	policies := only(serving.Policies(), o.Policy, func(p serving.NamedPolicy) string { return p.Name })
	return []*table.Table{serving.RoutingTable(cases, policies, o.Seeds)}
}

func admission(o options) []*table.Table {
	loads := only([]float64{1, 2, 5}, o.Scenario, func(l float64) string { return fmt.Sprintf("%gx", l) })
	return []*table.Table{serving.AdmissionTable(limits(o), loads, o.Seeds)}
}

func flood(o options) []*table.Table {
	loads := only([]float64{0.7, 1}, o.Scenario, func(l float64) string { return fmt.Sprint(l) })
	return []*table.Table{serving.FloodTable(limits(o), loads, o.Seeds)}
}

func delay(o options) []*table.Table {
	loads := only([]float64{0.7, 1}, o.Scenario, func(l float64) string { return fmt.Sprint(l) })
	return []*table.Table{serving.DelayTable(limits(o), loads, o.Seeds)}
}

func retries(o options) []*table.Table {
	cases := only(serving.RetryCases(), o.Scenario, func(c serving.RetryCase) string { return c.Name })
	variants := only(serving.RetryVariants(), o.Policy, func(v serving.NamedRetries) string { return v.Name })
	return []*table.Table{serving.RetriesTable(cases, variants, o.Seeds)}
}

func placement(o options) []*table.Table {
	scenarios := only(placementexp.Scenarios(), o.Scenario, func(s placementexp.Scenario) string { return s.Name })
	return placementexp.Tables(scenarios, placers(o), o.Seeds)
}

func promotion(o options) []*table.Table {
	return []*table.Table{placementexp.PromotionTable(placers(o), o.Seeds)}
}

func suspected(o options) []*table.Table {
	scenarios := only(suspects.Scenarios(), o.Scenario, func(s suspects.Scenario) string { return s.Name })
	policies := only(suspects.Policies(), o.Policy, func(p suspects.NamedPolicy) string { return p.Name })
	return []*table.Table{suspects.Table(scenarios, policies, o.Seeds)}
}

func placers(o options) []placementexp.NamedPolicy {
	return only(placementexp.Policies(), o.Policy, func(p placementexp.NamedPolicy) string { return p.Name })
}

func limits(o options) []serving.NamedLimit {
	return only(serving.Limits(), o.Policy, func(l serving.NamedLimit) string { return l.Name })
}

// only returns the items whose name contains part.
func only[T any](items []T, part string, name func(T) string) []T {
	var kept []T
	for _, item := range items {
		if strings.Contains(name(item), part) {
			kept = append(kept, item)
		}
	}
	return kept
}
