package suspects

import (
	"testing"

	"gotest.tools/v3/assert"

	"carawayproxy.example/caraway/internal/suspect"
)

const (
	// lightRate is the load of the runs in CI, in requests per second.
	lightRate = 5
	// seeds is the number of runs compared. One run is not enough, as its
	// refusals depend on one or two bodies that recur.
	seeds = 5
)

// TestOddsBeatStrikes compares the odds with two strikes on the same seeds. The
// odds refuse at most one innocent request more in each scenario and at most a
// tenth over all scenarios, and lose at most 1% more groups to crashing requests.
func TestOddsBeatStrikes(t *testing.T) {
	var strikes, odds Outcome
	for _, s := range Scenarios() {
		s.Rate = lightRate
		a := runAllSeeds(s, NamedPolicy{"two-strikes", suspect.Strikes{Limit: 2}}, seeds)
		b := runAllSeeds(s, NamedPolicy{"odds-least", suspect.Odds{}}, seeds)
		t.Logf("%s: strikes %+v, odds %+v", s.Name, a.Outcome, b.Outcome)
		refused := b.Outcome.Refused + b.Outcome.NoIdle
		assert.Assert(t, refused <= a.Outcome.Refused+1, "%s: %d innocents refused against %d", s.Name, refused, a.Outcome.Refused)
		strikes.add(a.Outcome)
		odds.add(b.Outcome)
	}
	assert.Assert(t, strikes.Refused > 50 && strikes.Crashed > 50, "too few events to compare: %+v", strikes)
	assert.Assert(t, 10*(odds.Refused+odds.NoIdle) <= strikes.Refused, "%d innocents refused against %d", odds.Refused+odds.NoIdle, strikes.Refused)
	assert.Assert(t, 100*odds.Crashed <= 101*strikes.Crashed, "%d groups lost against %d", odds.Crashed, strikes.Crashed)
}

func TestSameSeedSameOutcome(t *testing.T) {
	all := Scenarios()
	s := all[len(all)-1]
	s.Rate = lightRate
	for _, p := range Policies() {
		assert.Equal(t, Run(s, p.Policy, 7), Run(s, p.Policy, 7), p.Name)
	}
}

func BenchmarkTable(b *testing.B) {
	for b.Loop() {
		Table(Scenarios(), Policies(), 3)
	}
}
