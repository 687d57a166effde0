package main

import (
	"fmt"
	"runtime"
	"time"
)

// turn is one phase of load, sent directly or through one daemon.
type turn struct {
	name         string
	result       *result
	cpu          cpuUsage
	memoryBefore uint64 // resident bytes of the daemon before the phase
	memoryLate   uint64 // resident bytes of the daemon late in the phase
	steady       *steadyWindow
}

// cpuPerThousandTokens returns the daemon's CPU time per 1,000 tokens.
func (t *turn) cpuPerThousandTokens() time.Duration {
	return t.cpu.daemon * 1000 / time.Duration(max(t.result.tokens, 1))
}

// meetsTargets reports whether the turn met the latency targets without a
// failed request.
func (t *turn) meetsTargets() bool {
	r := t.result
	return r.tokenGap.ValueAtQuantile(95) <= gapTarget.Microseconds() && r.firstToken.ValueAtQuantile(95) <= firstTarget.Microseconds() && r.failed == 0
}

// report prints one turn side by side with the direct calls to the engines.
func report(directTurn *turn, t *turn) {
	direct := directTurn.result
	fmt.Printf("  %-28s %12s %12s %8s\n", "", "direct", t.name, "ratio")
	row := func(name string, a, b int64) {
		fmt.Printf("  %-28s %10.2fms %10.2fms %8.2f\n", name, float64(a)/1000, float64(b)/1000, float64(b)/float64(max(a, 1)))
	}
	through := t.result
	row("first token, median", direct.firstToken.ValueAtQuantile(50), through.firstToken.ValueAtQuantile(50))
	row("first token, 95 in 100", direct.firstToken.ValueAtQuantile(95), through.firstToken.ValueAtQuantile(95))
	row("between tokens, median", direct.tokenGap.ValueAtQuantile(50), through.tokenGap.ValueAtQuantile(50))
	row("between tokens, 95 in 100", direct.tokenGap.ValueAtQuantile(95), through.tokenGap.ValueAtQuantile(95))
	fmt.Printf("  %-28s %12d %12d\n", "requests ended", direct.completed, through.completed)
	fmt.Printf("  %-28s %12d %12d\n", "requests failed", direct.failed, through.failed)
	fmt.Printf("  %-28s %12.0f %12.0f\n", "tokens/s", direct.tokensPerSecond(), through.tokensPerSecond())
	fmt.Printf("  %-28s %12.2f %12.2f\n", "tokens a message", direct.tokensPerMessage(), through.tokensPerMessage())
	row("callers' wait for a processor", direct.schedWait.Microseconds(), through.schedWait.Microseconds())
	if through.lastErr != nil {
		fmt.Println("  last failure:", through.lastErr)
	}
	cores := func(d time.Duration) float64 { return d.Seconds() / through.duration.Seconds() }
	fmt.Printf("  daemon's processor time: %s for 1,000 tokens\n", t.cpuPerThousandTokens().Round(10*time.Microsecond))
	fmt.Printf("  cores: daemon %.2f, engines %.2f, callers %.2f, whole machine %.2f\n",
		cores(t.cpu.daemon), cores(t.cpu.engines), cores(t.cpu.callers), cores(t.cpu.machine))
	directTurn.reportSteady()
	t.reportSteady()
	fmt.Printf("  daemon's memory: %d MiB before, %d MiB late in the phase\n", t.memoryBefore>>20, t.memoryLate>>20)
	fmt.Printf("  target (%s between tokens, first within %s, for 95 in 100, none failed): kept %t\n", gapTarget, firstTarget, t.meetsTargets())
}

// reportSteady prints the cores in use during the steady window of a turn.
func (t *turn) reportSteady() {
	used, length, ok := t.steady.used()
	if !ok {
		return
	}
	cores := func(d time.Duration) float64 { return d.Seconds() / length.Seconds() }
	fmt.Printf("  cores with all streams at once, %s: daemon %.2f, engines %.2f, callers %.2f, whole machine %.2f of %d\n",
		t.name, cores(used.daemon), cores(used.engines), cores(used.callers), cores(used.machine), runtime.NumCPU())
}

// compare prints the CPU time of two builds under the same load. Turns with
// failed requests carried a smaller load and are excluded.
func compare(turns []*turn) {
	current, base := totalCPU(turns, daemonName), totalCPU(turns, baselineName)
	if current.tokens == 0 || base.tokens == 0 {
		return
	}
	fmt.Printf("  processor time for a token: %.1f us in %d turns against %.1f us in %d, ratio %.2f\n",
		current.microsPerToken(), current.turns, base.microsPerToken(), base.turns, current.microsPerToken()/base.microsPerToken())
	fmt.Printf("  daemon's processor time against the engines' in the same turns: %.3f against %.3f, ratio %.2f\n",
		current.ratioToEngines(), base.ratioToEngines(), current.ratioToEngines()/base.ratioToEngines())
}

// cpuTotal sums the turns of one daemon.
type cpuTotal struct {
	turns, tokens   int
	daemon, engines time.Duration
}

func (c cpuTotal) microsPerToken() float64 {
	return float64(c.daemon.Nanoseconds()) / float64(c.tokens) / float64(time.Microsecond)
}

// ratioToEngines returns the daemon's CPU time divided by that of the engines.
// Other load on the machine affects both alike, so the ratio is more stable than
// the CPU time itself.
func (c cpuTotal) ratioToEngines() float64 { return c.daemon.Seconds() / c.engines.Seconds() }

func totalCPU(turns []*turn, name string) cpuTotal {
	var total cpuTotal
	for _, t := range turns {
		if t.name != name || t.result.failed > 0 {
			continue
		}
		total.turns++
		total.tokens += t.result.tokens
		total.daemon += t.cpu.daemon
		total.engines += t.cpu.engines
	}
	return total
}
