package main

import (
	"fmt"
	"runtime"
	"time"
)

// turn is one phase of load through one daemon.
type turn struct {
	name   string
	result *result
	spent  spent
	idle   uint64 // bytes of the daemon before the phase
	loaded uint64 // bytes of the daemon late in the phase
	full   *window
}

// perThousand is the daemon's processor time for a thousand tokens.
func (t *turn) perThousand() time.Duration {
	return t.spent.daemon * 1000 / time.Duration(max(t.result.tokens, 1))
}

// kept reports whether the turn held the targets.
func (t *turn) kept() bool {
	r := t.result
	return r.gap.ValueAtQuantile(95) <= gapTarget.Microseconds() && r.first.ValueAtQuantile(95) <= firstTarget.Microseconds() && r.failed == 0
}

// report prints what one turn added to calling the engines directly.
func report(directly *turn, t *turn) {
	direct := directly.result
	fmt.Printf("  %-28s %12s %12s %8s\n", "", "direct", t.name, "ratio")
	row := func(name string, a, b int64) {
		fmt.Printf("  %-28s %10.2fms %10.2fms %8.2f\n", name, float64(a)/1000, float64(b)/1000, float64(b)/float64(max(a, 1)))
	}
	through := t.result
	row("first token, median", direct.first.ValueAtQuantile(50), through.first.ValueAtQuantile(50))
	row("first token, 95 in 100", direct.first.ValueAtQuantile(95), through.first.ValueAtQuantile(95))
	row("between tokens, median", direct.gap.ValueAtQuantile(50), through.gap.ValueAtQuantile(50))
	row("between tokens, 95 in 100", direct.gap.ValueAtQuantile(95), through.gap.ValueAtQuantile(95))
	fmt.Printf("  %-28s %12d %12d\n", "requests ended", direct.done, through.done)
	fmt.Printf("  %-28s %12d %12d\n", "requests failed", direct.failed, through.failed)
	fmt.Printf("  %-28s %12.0f %12.0f\n", "tokens/s", direct.tokensPerSecond(), through.tokensPerSecond())
	fmt.Printf("  %-28s %12.2f %12.2f\n", "tokens a message", direct.tokensPerMessage(), through.tokensPerMessage())
	row("callers' wait for a processor", direct.waited.Microseconds(), through.waited.Microseconds())
	if through.lastErr != nil {
		fmt.Println("  last failure:", through.lastErr)
	}
	cores := func(d time.Duration) float64 { return d.Seconds() / through.took.Seconds() }
	fmt.Printf("  daemon's processor time: %s for 1,000 tokens\n", t.perThousand().Round(10*time.Microsecond))
	fmt.Printf("  cores: daemon %.2f, engines %.2f, callers %.2f, whole machine %.2f\n",
		cores(t.spent.daemon), cores(t.spent.engines), cores(t.spent.callers), cores(t.spent.machine))
	directly.reportFull()
	t.reportFull()
	fmt.Printf("  daemon's memory: %d MiB before, %d MiB late in the phase\n", t.idle>>20, t.loaded>>20)
	fmt.Printf("  target (%s between tokens, first within %s, for 95 in 100, none failed): kept %t\n", gapTarget, firstTarget, t.kept())
}

// reportFull prints the cores that were used while all streams of a turn ran.
func (t *turn) reportFull() {
	used, over, ok := t.full.used()
	if !ok {
		return
	}
	cores := func(d time.Duration) float64 { return d.Seconds() / over.Seconds() }
	fmt.Printf("  cores with all streams at once, %s: daemon %.2f, engines %.2f, callers %.2f, whole machine %.2f of %d\n",
		t.name, cores(used.daemon), cores(used.engines), cores(used.callers), cores(used.machine), runtime.NumCPU())
}

// compare prints the processor time of two builds under the same load. A turn
// with failures carried less and is left out.
func compare(turns []*turn) {
	now, base := total(turns, daemonName), total(turns, baselineName)
	if now.tokens == 0 || base.tokens == 0 {
		return
	}
	fmt.Printf("  processor time for a token: %.1f us in %d turns against %.1f us in %d, ratio %.2f\n",
		now.micros(), now.turns, base.micros(), base.turns, now.micros()/base.micros())
	fmt.Printf("  daemon's processor time against the engines' in the same turns: %.3f against %.3f, ratio %.2f\n",
		now.toEngines(), base.toEngines(), now.toEngines()/base.toEngines())
}

// sum is what the turns of one daemon took together.
type sum struct {
	turns, tokens  int
	spent, engines time.Duration
}

func (s sum) micros() float64 {
	return float64(s.spent.Nanoseconds()) / float64(s.tokens) / float64(time.Microsecond)
}

// toEngines is the daemon's processor time for each second of the engines'.
// Both rise and fall with what else the machine does.
func (s sum) toEngines() float64 { return s.spent.Seconds() / s.engines.Seconds() }

func total(turns []*turn, name string) sum {
	var s sum
	for _, t := range turns {
		if t.name != name || t.result.failed > 0 {
			continue
		}
		s.turns++
		s.tokens += t.result.tokens
		s.spent += t.spent.daemon
		s.engines += t.spent.engines
	}
	return s
}
