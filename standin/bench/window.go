package main

import (
	"math"
	"runtime/metrics"
	"sync"
	"time"

	"carawayproxy.example/caraway/standin/stack"
)

// window is the part of a phase in which all its streams run side by side:
// from when the first of them end to when no more begin. A phase's means also
// hold its start and its tail, when fewer run.
type window struct {
	mu     sync.Mutex
	timers []*time.Timer
	from   reading
	to     reading
}

// reading is what was used up to one moment.
type reading struct {
	at    time.Time
	spent spent
}

// streamTime is how long a stream lasts at the least.
func (o *options) streamTime() time.Duration { return time.Duration(o.Tokens) * o.Interval }

// watch reads what is used at both ends of the window of a phase that begins
// now. A phase that is shorter than its streams has no window.
func (w *window) watch(s *stack.Stack, d *stack.Daemon, opt options) {
	if opt.Duration <= opt.streamTime() {
		return
	}
	w.timers = []*time.Timer{
		time.AfterFunc(opt.streamTime(), func() { w.read(s, d, &w.from) }),
		time.AfterFunc(opt.Duration, func() { w.read(s, d, &w.to) }),
	}
}

func (w *window) read(s *stack.Stack, d *stack.Daemon, into *reading) {
	used, err := spentSoFar(s, d)
	if err != nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	*into = reading{at: time.Now(), spent: used}
}

// used returns what was used in the window and how long it was, or false when
// there was none.
func (w *window) used() (spent, time.Duration, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.from.at.IsZero() || w.to.at.IsZero() {
		return spent{}, 0, false
	}
	return w.to.spent.since(w.from.spent), w.to.at.Sub(w.from.at), true
}

// waits counts how long goroutines of the callers that could run waited for a
// processor. It tells a late token from a late look at it.
type waits struct{ before []uint64 }

const waitsMetric = "/sched/latencies:seconds"

func readWaits() *metrics.Float64Histogram {
	sample := []metrics.Sample{{Name: waitsMetric}}
	metrics.Read(sample)
	return sample[0].Value.Float64Histogram()
}

func beginWaits() waits {
	return waits{before: readWaits().Counts}
}

// quantile returns the wait that q in 100 did not exceed since the beginning.
func (w waits) quantile(q float64) time.Duration {
	h := readWaits()
	return quantileOf(h.Buckets, h.Counts, w.before, q)
}

// quantileOf returns the upper bound in seconds of the bucket that holds the
// quantile of the counts since before, or the lower one of an open bucket.
func quantileOf(buckets []float64, counts, before []uint64, q float64) time.Duration {
	total := uint64(0)
	for i := range counts {
		total += counts[i] - before[i]
	}
	want := uint64(math.Ceil(float64(total) * q / 100))
	seen := uint64(0)
	for i := range counts {
		seen += counts[i] - before[i]
		if total == 0 || seen < want {
			continue
		}
		bound := buckets[i+1]
		if math.IsInf(bound, 1) {
			bound = buckets[i]
		}
		return time.Duration(bound * float64(time.Second))
	}
	return 0
}
