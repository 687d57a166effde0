package runs

import (
	"flag"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"carawayproxy.example/caraway/internal/invariant"
)

var (
	soakSeed    = flag.Uint64("soak-seed", 0, "first seed of TestSoak, which is passed over when zero")
	soakMinutes = flag.Int("soak-minutes", 10, "real minutes that TestSoak goes on")
	oneSeed     = flag.Uint64("seed", 1, "seed of TestOneSeed")
	oneLength   = flag.Duration("length", 0, "virtual length of TestOneSeed, 10 minutes when zero")
	firstSeed   = flag.Uint64("first-seed", 1, "first seed of TestSeeds")
	seeds       = flag.Int("seeds", 200, "seeds of TestSeeds")
)

// breaches collects the invariants that broke in any run.
type breaches struct {
	mu  sync.Mutex
	all []invariant.Breach
}

func (b *breaches) take(x invariant.Breach) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.all = append(b.all, x)
}

func watchInvariants(t *testing.T) *breaches {
	b := &breaches{}
	t.Cleanup(invariant.SetHandler(b.take))
	return b
}

// inBubble runs one seed in virtual time.
func inBubble(t *testing.T, o Options) *Report {
	t.Helper()
	var report *Report
	var err error
	synctest.Test(t, func(*testing.T) { report, err = Run(o) })
	assert.NilError(t, err)
	return report
}

func TestOneSeed(t *testing.T) {
	b := watchInvariants(t)
	began := time.Now()
	r := inBubble(t, Options{Seed: *oneSeed, Length: *oneLength})
	t.Logf("one seed took %v: %v", time.Since(began), r.Counts)
	for _, f := range r.Findings {
		t.Error(fmt.Sprintf("seed %d: %v", r.Seed, f))
	}
	for _, x := range b.all {
		t.Error(x)
	}
}

// TestSeeds runs many seeds, several at a time.
func TestSeeds(t *testing.T) {
	b := watchInvariants(t)
	totals := newTotals()
	t.Run("all", func(t *testing.T) {
		for i := range *seeds {
			t.Run(fmt.Sprintf("seed-%d", *firstSeed+uint64(i)), func(t *testing.T) {
				t.Parallel()
				r := inBubble(t, Options{Seed: *firstSeed + uint64(i), Length: *oneLength})
				totals.add(r)
				for _, f := range r.Findings {
					t.Error(fmt.Sprintf("seed %d: %v", r.Seed, f))
				}
			})
		}
	})
	for _, x := range b.all {
		t.Error(x)
	}
	t.Log(totals)
	totals.checkThatFaultsBit(t, *seeds)
}

// totals sums the counts of many runs.
type totals struct {
	mu     sync.Mutex
	runs   int
	counts map[string]int
}

func newTotals() *totals { return &totals{counts: map[string]int{}} }

func (s *totals) add(r *Report) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs++
	for what, n := range r.Counts {
		s.counts[what] += n
	}
}

func (s *totals) String() string { return fmt.Sprintf("%d runs: %v", s.runs, s.counts) }

// Least counts that a run must meet on average; a set of runs below them
// proves nothing.
var least = map[string]int{
	"faults":                          30,
	"calls":                           800,
	"calls whole":                     600,
	"engine runs":                     300,
	"plain runs":                      200,
	"bookings repeated":               40,
	"bookings at two daemons at once": 20,
	"publications accepted":           1,
	"refusals checked":                3,
	"planned stops while quiet":       1,
}

func (s *totals) checkThatFaultsBit(t *testing.T, runs int) {
	for what, n := range least {
		assert.Check(t, s.counts[what] >= n*runs, "%s: %d in %d runs, want %d a run", what, s.counts[what], runs, n)
	}
}
