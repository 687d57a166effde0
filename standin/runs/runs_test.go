package runs

import (
	"flag"
	"fmt"
	"io"
	"log"
	"os"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"carawayproxy.example/caraway/internal/invariant"
)

var (
	soakSeed    = flag.Uint64("soak-seed", 0, "first seed of TestSoak, which is skipped if zero")
	soakMinutes = flag.Int("soak-minutes", 10, "duration of TestSoak in minutes of real time")
	logFile     = flag.String("daemon-log", "", "file for the daemons' log lines; use it with one seed at a time")
	firstSeed   = flag.Uint64("first-seed", 1, "first seed of TestSeeds")
	seeds       = flag.Int("seeds", 2, "number of seeds of TestSeeds")
)

// TestMain silences net/http, which logs every connection that a fault broke.
func TestMain(m *testing.M) {
	log.SetOutput(io.Discard)
	os.Exit(m.Run())
}

// breaches collects the violated invariants of a run.
type breaches struct {
	mu  sync.Mutex
	all []invariant.Breach
}

func (b *breaches) add(x invariant.Breach) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.all = append(b.all, x)
}

func watchInvariants(t *testing.T) *breaches {
	b := &breaches{}
	t.Cleanup(invariant.SetHandler(b.add))
	return b
}

// runInBubble runs one seed in virtual time.
func runInBubble(t *testing.T, o Options) *Report {
	t.Helper()
	var report *Report
	var err error
	synctest.Test(t, func(*testing.T) { report, err = Run(o) })
	assert.NilError(t, err)
	return report
}

// strings returns the breaches as text. Their details name daemons and requests,
// whose names begin with the seed.
func (b *breaches) strings() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []string
	for _, x := range b.all {
		out = append(out, fmt.Sprint(x))
	}
	return out
}

// TestSeeds runs many seeds, each in its own process. -parallel limits how many
// run concurrently.
func TestSeeds(t *testing.T) {
	totals := newTotals()
	t.Run("all", func(t *testing.T) {
		for i := range *seeds {
			seed := *firstSeed + uint64(i)
			t.Run(seedName(seed), func(t *testing.T) {
				t.Parallel()
				runSeed(t, seed, totals)
			})
		}
	})
	totals.check(t)
}

// TestSoak runs one seed after another for -soak-minutes of real time. -parallel
// limits how many run concurrently.
func TestSoak(t *testing.T) {
	if *soakSeed == 0 {
		t.Skip("no -soak-seed")
	}
	totals := newTotals()
	until := time.Now().Add(time.Duration(*soakMinutes) * time.Minute)
	next := seedsFrom(*soakSeed)
	t.Run("all", func(t *testing.T) {
		for i := range soakWorkers {
			t.Run(fmt.Sprintf("worker-%d", i), func(t *testing.T) {
				t.Parallel()
				for time.Now().Before(until) {
					seed := next()
					t.Run(seedName(seed), func(t *testing.T) { runSeed(t, seed, totals) })
				}
			})
		}
	})
	totals.check(t)
}

// seedsFrom returns a function that counts up from first. It is safe for
// concurrent use.
func seedsFrom(first uint64) func() uint64 {
	var issued atomic.Uint64
	return func() uint64 { return first + issued.Add(1) - 1 }
}

// soakWorkers is more than -parallel lets run concurrently.
const soakWorkers = 64

// totals sums the counts of many runs.
type totals struct {
	mu     sync.Mutex
	runs   int
	cpu    time.Duration
	counts map[string]int
}

func newTotals() *totals { return &totals{counts: map[string]int{}} }

func (s *totals) add(r *Report, cpu time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs++
	s.cpu += cpu
	for event, n := range r.Counts {
		s.counts[event] += n
	}
}

// check logs the counts and fails the test if they are too low.
func (s *totals) check(t *testing.T) {
	if s.runs == 0 {
		t.Fatal("no run ended")
	}
	t.Logf("%d runs with %v of processor time on average: %v", s.runs, s.cpu/time.Duration(s.runs), s.counts)
	s.checkAverageCounts(t)
}

// minAverageCounts holds the minimum average counts per run. Runs with lower
// counts meet too few faults or calls to prove anything.
var minAverageCounts = map[string]int{
	"faults":                          30,
	"calls":                           800,
	"calls whole":                     600,
	"engine runs":                     300,
	"plain runs":                      200,
	"runs at backend servers judged":  300,
	"bookings repeated":               40,
	"bookings at two daemons at once": 20,
	"publications accepted":           8,
	"refusals checked":                3,
	"planned stops while quiet":       1,
	"calls during a planned stop":     10,
}

// minCountsPerRun holds the minimum counts of every single run: each has the long
// faults.
var minCountsPerRun = map[string]int{
	"fault log down for minutes":               1,
	"log calls refused while down":             100,
	"availability zones lost":                  1,
	"instances of lost zones":                  4,
	"calls judged in a long fault":             30,
	"daemons started behind expired records":   1,
	"bookings repeated behind expired records": 1,
}

func (s *totals) checkAverageCounts(t *testing.T) {
	for event, n := range minAverageCounts {
		assert.Check(t, s.counts[event] >= n*s.runs, "%s: %d in %d runs, want %d per run", event, s.counts[event], s.runs, n)
	}
}
