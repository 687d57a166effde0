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
	oneSeed    = flag.Uint64("one-seed", 0, "seed of TestOneSeed, which is passed over when zero")
	reportFile = flag.String("report", "", "file for the report of TestOneSeed")
)

// Limits of the process of one seed.
const (
	// gcPercent trades memory, which one seed takes little of, for time.
	gcPercent   = 400
	seedTimeout = 15 * time.Minute
	// twoThreadsEvery is which seeds run on two threads. The others run on
	// one, which takes half of the processor time and orders what happens at
	// one virtual moment in fewer ways.
	twoThreadsEvery = 10
)

// outcome is what the process of one seed hands back.
type outcome struct {
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
	out := outcome{Report: inBubble(t, o), Breaches: b.strings()}
	if *reportFile == "" {
		out.check(t)
		return
	}
	data, err := json.Marshal(out)
	assert.NilError(t, err)
	assert.NilError(t, os.WriteFile(*reportFile, data, 0o600))
}

// check fails the test with what the run found.
func (o outcome) check(t *testing.T) {
	t.Logf("seed %d: %v", o.Report.Seed, o.Report.Counts)
	for what, n := range leastOfEach {
		assert.Check(t, o.Report.Counts[what] >= n, "seed %d: %s: %d, want %d", o.Report.Seed, what, o.Report.Counts[what], n)
	}
	for _, f := range o.Report.Findings {
		t.Errorf("seed %d: %v", o.Report.Seed, f)
	}
	for _, b := range o.Breaches {
		t.Errorf("seed %d: %s", o.Report.Seed, b)
	}
}

// runSeed runs one seed in a process of its own.
func runSeed(t *testing.T, seed uint64, totals *totals) {
	path := filepath.Join(t.TempDir(), "report")
	cmd := seedCommand(seed, path)
	said, err := cmd.CombinedOutput()
	assert.NilError(t, err, "seed %d: %s", seed, said)
	data, err := os.ReadFile(path)
	assert.NilError(t, err)
	var o outcome
	assert.NilError(t, json.Unmarshal(data, &o))
	totals.add(o.Report, cmd.ProcessState.UserTime()+cmd.ProcessState.SystemTime())
	o.check(t)
}

func seedName(seed uint64) string { return fmt.Sprintf("seed-%d", seed) }

func seedCommand(seed uint64, report string) *exec.Cmd {
	threads := 1
	if seed%twoThreadsEvery == 0 && !underRace {
		threads = 2
	}
	cmd := exec.Command(os.Args[0], "-test.run", "^TestOneSeed$", "-test.timeout", seedTimeout.String(),
		"-one-seed", fmt.Sprint(seed), "-report", report, "-daemon-log", *logFile)
	cmd.Env = append(os.Environ(), fmt.Sprintf("GOMAXPROCS=%d", threads), fmt.Sprintf("GOGC=%d", gcPercent))
	return cmd
}
