package runs

import (
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var (
	oneSeed    = flag.Uint64("one-seed", 0, "seed of TestOneSeed, which is skipped if zero")
	reportFile = flag.String("report", "", "file for the report of TestOneSeed")
)

// Limits of the process that runs one seed.
const (
	// gcPercent trades memory, of which one seed needs little, for time.
	gcPercent   = 400
	seedTimeout = 15 * time.Minute
	// One in twoThreadSeedInterval seeds runs on two threads. The others run on
	// one, which takes half of the processor time but has fewer orders of
	// events at the same virtual time.
	twoThreadSeedInterval = 10
)

// seedOutcome is the result that the process of one seed writes to its report
// file.
type seedOutcome struct {
	Report   *Report
	Breaches []string
}

// TestOneSeed runs one seed in this process.
func TestOneSeed(t *testing.T) {
	if *oneSeed == 0 {
		t.Skip("no -one-seed")
	}
	b := watchInvariants(t)
	o := Options{Seed: *oneSeed}
	if *logFile != "" {
		f, err := os.Create(*logFile)
		assert.NilError(t, err)
		defer f.Close()
		o.Log = f
	}
	out := seedOutcome{Report: runInBubble(t, o), Breaches: b.strings()}
	if *reportFile == "" {
		out.check(t)
		return
	}
	data, err := json.Marshal(out)
	assert.NilError(t, err)
	assert.NilError(t, os.WriteFile(*reportFile, data, 0o600))
}

// check fails the test if the run has findings or too low counts.
func (o seedOutcome) check(t *testing.T) {
	t.Logf("seed %d: %v", o.Report.Seed, o.Report.Counts)
	for event, n := range minCountsPerRun {
		assert.Check(t, o.Report.Counts[event] >= n, "seed %d: %s: %d, want at least %d", o.Report.Seed, event, o.Report.Counts[event], n)
	}
	for _, f := range o.Report.Findings {
		t.Errorf("seed %d: %v", o.Report.Seed, f)
	}
	for _, b := range o.Breaches {
		t.Errorf("seed %d: %s", o.Report.Seed, b)
	}
}

// runSeed runs one seed in its own process.
func runSeed(t *testing.T, seed uint64, totals *totals) {
	path := filepath.Join(t.TempDir(), "report")
	cmd := seedCommand(seed, path)
	output, err := cmd.CombinedOutput()
	assert.NilError(t, err, "seed %d: %s", seed, output)
	data, err := os.ReadFile(path)
	assert.NilError(t, err)
	var o seedOutcome
	assert.NilError(t, json.Unmarshal(data, &o))
	totals.add(o.Report, cmd.ProcessState.UserTime()+cmd.ProcessState.SystemTime())
	o.check(t)
}

func seedName(seed uint64) string { return fmt.Sprintf("seed-%d", seed) }

func seedCommand(seed uint64, report string) *exec.Cmd {
	threads := 1
	if seed%twoThreadSeedInterval == 0 && !underRace {
		threads = 2
	}
	cmd := exec.Command(os.Args[0], "-test.run", "^TestOneSeed$", "-test.timeout", seedTimeout.String(),
		"-one-seed", fmt.Sprint(seed), "-report", report, "-daemon-log", *logFile)
	cmd.Env = append(os.Environ(), fmt.Sprintf("GOMAXPROCS=%d", threads), fmt.Sprintf("GOGC=%d", gcPercent))
	return cmd
}
