package suspects

import (
	"testing"

	"gotest.tools/v3/assert"

	"carawayproxy.example/caraway/internal/suspect"
)

const (
	// lightRate is the load of the runs in CI, in requests a second.
	lightRate = 5
	// seeds is how many runs are compared: in one run the refusals hang on
	// one or two bodies that come again and again.
	seeds = 5
)

// TestOddsBeatStrikes: on the same seeds the odds refuse no more innocents
// than two strikes in each mix, a tenth of them over all, and lose at most 1%
// more groups to crashing requests.
func TestOddsBeatStrikes(t *testing.T) {
	var strikes, odds Outcome
	for _, s := range Scenarios() {
		s.Rate = lightRate
		a := rowOf(s, NamedPolicy{"two-strikes", suspect.Strikes{Limit: 2}}, seeds)
		b := rowOf(s, NamedPolicy{"odds-least", suspect.Odds{}}, seeds)
		t.Logf("%s: strikes %+v, odds %+v", s.Name, a.Outcome, b.Outcome)
		refused := b.Outcome.Refused + b.Outcome.NoIdle
		assert.Assert(t, refused <= a.Outcome.Refused+1, "%s: %d innocents refused against %d", s.Name, refused, a.Outcome.Refused)
		strikes.add(a.Outcome)
		odds.add(b.Outcome)
	}
	assert.Assert(t, strikes.Refused > 50 && strikes.Crashed > 50, "the runs tell nothing: %+v", strikes)
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
