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
	r := inBubble(t, Options{Seed: 1})
	t.Logf("one seed took %v: %v", time.Since(began), r.Counts)
	for _, f := range r.Findings {
		t.Error(fmt.Sprintf("seed %d: %v", r.Seed, f))
	}
	for _, x := range b.all {
		t.Error(x)
	}
}
