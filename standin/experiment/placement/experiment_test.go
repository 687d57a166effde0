package placementexp

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"carawayproxy.example/caraway/internal/placement"
)

// shortened returns the named scenario, cut to a maximum length.
func shortened(t *testing.T, name string, length time.Duration) Scenario {
	for _, s := range append(Scenarios(), Rollouts()...) {
		if s.Name == name {
			s.Length = min(s.Length, length)
			return s
		}
	}
	t.Fatalf("no scenario %q", name)
	return Scenario{}
}

// outageSeeds is the number of runs of an outage with enough losses to compare.
const outageSeeds = 6

// runPolicies runs a scenario under every policy and sums the results by policy.
func runPolicies(t *testing.T, s Scenario, seeds int) map[string]Result {
	byPolicy := map[string]Result{}
	for _, r := range Sum(RunAll(seeds, []Scenario{s}, Policies())) {
		assert.Assert(t, r.Losses > 0)
		byPolicy[r.Policy] = r
	}
	return byPolicy
}

// TestBothDeploymentsBeatTheBaselines compares the policy of each deployment with
// both baselines, with its own weights and the same losses.
func TestBothDeploymentsBeatTheBaselines(t *testing.T) {
	seeds := map[string]int{"single": 2, "flapping": 2, "slow-store": 2, "log-down+spare, mixed": outageSeeds}
	for name, n := range seeds {
		t.Run(name, func(t *testing.T) {
			r := runPolicies(t, shortened(t, name, 40*time.Minute), n)
			for _, baseline := range []string{"always-wait", "always-rebuild"} {
				b := r[baseline]
				assert.Assert(t, r["council"].Cost(Council) < b.Cost(Council), "council: %.0f, %s: %.0f", r["council"].Cost(Council), baseline, b.Cost(Council))
				assert.Assert(t, r["trust"].Cost(Trust) < b.Cost(Trust), "trust: %.0f, %s: %.0f", r["trust"].Cost(Trust), baseline, b.Cost(Trust))
			}
		})
	}
}

// TestPromotionCostsNoMoreThanRebuilding covers outages in which every loss is
// permanent, so that waiting has no benefit.
func TestPromotionCostsNoMoreThanRebuilding(t *testing.T) {
	r := runPolicies(t, shortened(t, "log-down+spare", 40*time.Minute), outageSeeds)
	rebuild := r["always-rebuild"]
	assert.Assert(t, r["council"].Cost(Council) <= rebuild.Cost(Council))
	assert.Assert(t, r["trust"].Cost(Trust) <= rebuild.Cost(Trust))
	assert.Assert(t, r["council"].Cost(Council) < r["always-wait"].Cost(Council))
}

func TestStragglerIsReplacedWithLittleDowntime(t *testing.T) {
	s := shortened(t, "straggler", time.Hour)
	r := Run(1, s, "council", placement.Policy{Weights: Council})
	wait := Run(1, s, "always-wait", placement.Policy{Choice: placement.ChooseWait})
	assert.Assert(t, r.Downtime+r.Slow < wait.Slow/10, "%.0f s down and %.0f s slow against %.0f s", r.Downtime, r.Slow, wait.Slow)
	assert.Equal(t, r.CutRequests, 0)
}

func TestSpareReducesDowntimeWhileTheLogIsDown(t *testing.T) {
	without := Run(1, shortened(t, "log-down", time.Hour), "council", placement.Policy{Weights: Council})
	with := Run(1, shortened(t, "log-down+spare", time.Hour), "council", placement.Policy{Weights: Council})
	assert.Assert(t, with.Downtime < without.Downtime, "%.0f s with, %.0f s without", with.Downtime, without.Downtime)
}

func TestRolloutCutsNoRequestsAndBoundsDowntime(t *testing.T) {
	r := Run(1, shortened(t, "rollout", 2*time.Hour), "council", placement.Policy{Weights: Council})
	assert.Equal(t, r.CutRequests, 0)
	assert.Equal(t, r.Whole, wantedGroups)
	assert.Equal(t, r.Loads, wantedGroups*groupSize, "each instance loads once")
	// One group is replaced at a time until the first is whole, then a tenth of
	// the groups. Each is out of service for its drain and its load.
	downtimePerGroup := (maxRequestTime + loadTime + 10*time.Second).Seconds()
	assert.Assert(t, r.Downtime <= float64(wantedGroups)*downtimePerGroup, "%.0f s", r.Downtime)
}

func TestBadRolloutStopsAfterOneGroup(t *testing.T) {
	s := shortened(t, "rollout-bad", time.Hour)
	r := Run(1, s, "council", placement.Policy{Weights: Council})
	assert.Assert(t, r.Halted)
	assert.Equal(t, r.CutRequests, 0)
	assert.Assert(t, r.Downtime <= s.Length.Seconds(), "more than one group is out: %.0f s", r.Downtime)
}

func TestSameSeedSameResult(t *testing.T) {
	s := shortened(t, "single", 20*time.Minute)
	p := Policies()[1]
	assert.Equal(t, Run(7, s, p.Name, p.Policy), Run(7, s, p.Name, p.Policy))
}

func TestOneRowForEachScenarioAndPolicy(t *testing.T) {
	results := []Result{
		{Scenario: "a", Policy: "p", Seed: 1, Downtime: 2}, {Scenario: "a", Policy: "p", Seed: 2, Downtime: 3},
		{Scenario: "a", Policy: "q", Seed: 1}, {Scenario: "b", Policy: "p", Seed: 1},
	}
	rows := resultTable("n", "N", results, 2).Rows
	assert.Equal(t, len(rows), 3)
	assert.DeepEqual(t, rows[0][:3], []string{"a", "p", "5"})
}

func BenchmarkTables(b *testing.B) {
	for b.Loop() {
		Tables(Scenarios(), Policies(), 1)
	}
}
