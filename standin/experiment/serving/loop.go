// Package serving runs small discrete-event simulations with the packages for
// routing and admission: several daemons, groups of model engines and callers.
// Runs with the same seed give the same results.
package serving

import (
	"container/heap"
	"time"
)

// loop runs events in the order of virtual time.
type loop struct {
	now    time.Duration
	events eventHeap
	count  uint64
}

type timedEvent struct {
	at    time.Duration
	order uint64 // breaks ties
	run   func()
}

// after runs f once d has passed.
func (l *loop) after(d time.Duration, f func()) {
	l.count++
	heap.Push(&l.events, timedEvent{at: l.now + d, order: l.count, run: f})
}

// every runs f after offset and then once per period.
func (l *loop) every(offset, period time.Duration, f func()) {
	var tick func()
	tick = func() {
		f()
		l.after(period, tick)
	}
	l.after(offset, tick)
}

// runUntil runs events up to and including end.
func (l *loop) runUntil(end time.Duration) {
	for len(l.events) > 0 && l.events[0].at <= end {
		e := heap.Pop(&l.events).(timedEvent)
		l.now = e.at
		e.run()
	}
	l.now = end
}

type eventHeap []timedEvent

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].order < h[j].order
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(timedEvent)) }
func (h *eventHeap) Pop() any {
	old := *h
	last := len(old) - 1
	e := old[last]
	old[last] = timedEvent{}
	*h = old[:last]
	return e
}
