package main

import (
	"math"
	"runtime/metrics"
	"sync"
	"time"

	"carawayproxy.example/caraway/standin/stack"
)

// steadyWindow is the part of a phase with a constant number of concurrent
// streams: from the end of the first streams to the start of the last one. Means
// over the whole phase also cover its ramp-up and tail, when fewer streams run.
type steadyWindow struct {
	mu     sync.Mutex
	timers []*time.Timer
	from   cpuSample
	to     cpuSample
}

// cpuSample is the CPU usage up to one point in time.
type cpuSample struct {
	at    time.Time
	usage cpuUsage
}

// minStreamDuration returns the minimum duration of a stream.
func (o *options) minStreamDuration() time.Duration { return time.Duration(o.Tokens) * o.Interval }

// watch samples the CPU usage at both ends of the window of a phase that starts
// now. A phase shorter than its streams has no window.
func (w *steadyWindow) watch(s *stack.Stack, d *stack.Daemon, opt options) {
	if opt.Duration <= opt.minStreamDuration() {
		return
	}
	w.timers = []*time.Timer{
		time.AfterFunc(opt.minStreamDuration(), func() { w.read(s, d, &w.from) }),
		time.AfterFunc(opt.Duration, func() { w.read(s, d, &w.to) }),
	}
}

func (w *steadyWindow) read(s *stack.Stack, d *stack.Daemon, sample *cpuSample) {
	used, err := readCPUUsage(s, d)
	if err != nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	*sample = cpuSample{at: time.Now(), usage: used}
}

// used returns the CPU usage in the window and the window's length, or false if
// there was no window.
func (w *steadyWindow) used() (cpuUsage, time.Duration, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.from.at.IsZero() || w.to.at.IsZero() {
		return cpuUsage{}, 0, false
	}
	return w.to.usage.since(w.from.usage), w.to.at.Sub(w.from.at), true
}

// schedLatency measures how long runnable goroutines of the callers waited for a
// processor. It separates tokens that arrived late from tokens that the callers
// read late.
type schedLatency struct{ before []uint64 }

const schedLatencyMetric = "/sched/latencies:seconds"

func readSchedLatency() *metrics.Float64Histogram {
	sample := []metrics.Sample{{Name: schedLatencyMetric}}
	metrics.Read(sample)
	return sample[0].Value.Float64Histogram()
}

func newSchedLatency() schedLatency {
	return schedLatency{before: readSchedLatency().Counts}
}

// quantile returns the qth percentile of the waits since the start.
func (l schedLatency) quantile(q float64) time.Duration {
	h := readSchedLatency()
	return quantileOf(h.Buckets, h.Counts, l.before, q)
}

// quantileOf returns the qth percentile of the counts since before, as the upper
// bound in seconds of its bucket, or the lower bound if the bucket is open.
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
