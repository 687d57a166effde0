package suspects

import (
	"os"
	"testing"

	"gotest.tools/v3/assert"

	"carawayproxy.example/caraway/internal/suspect"
)

// lightRate is the load of the runs in CI, in requests a second.
const lightRate = 5

// TestOddsBeatStrikes: on the same seeds the odds refuse no more innocents
// than two strikes and lose at most a tenth more groups to crashing requests.
func TestOddsBeatStrikes(t *testing.T) {
	var strikes, odds Outcome
	for _, s := range Scenarios() {
		s.Rate = lightRate
		a := rowOf(s, NamedPolicy{"two-strikes", suspect.Strikes{Limit: 2}}, 1)
		b := rowOf(s, NamedPolicy{"odds-least", suspect.Odds{}}, 1)
		t.Logf("%s: strikes %+v, odds %+v", s.Name, a.Outcome, b.Outcome)
		refused := b.Outcome.Refused + b.Outcome.NoIdle
		assert.Assert(t, refused <= a.Outcome.Refused+1, "%s: %d innocents refused against %d", s.Name, refused, a.Outcome.Refused)
		strikes.add(a.Outcome)
		odds.add(b.Outcome)
	}
	assert.Assert(t, strikes.Refused > 50 && strikes.Crashed > 50, "the runs tell nothing: %+v", strikes)
	assert.Assert(t, 10*odds.Refused <= strikes.Refused, "%d innocents refused against %d", odds.Refused, strikes.Refused)
	assert.Assert(t, 10*odds.Crashed <= 11*strikes.Crashed, "%d groups lost against %d", odds.Crashed, strikes.Crashed)
}

func TestSameSeedSameOutcome(t *testing.T) {
	all := Scenarios()
	s := all[len(all)-1]
	s.Rate = lightRate
	for _, p := range Policies() {
		assert.Equal(t, Run(s, p.Policy, 7), Run(s, p.Policy, 7), p.Name)
	}
}

// BenchmarkTable prints the table of the design note.
func BenchmarkTable(b *testing.B) {
	for range b.N {
		assert.NilError(b, Table(os.Stdout, 3))
	}
}
