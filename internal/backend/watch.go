package backend

import (
	"context"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"carawayproxy.example/caraway/internal/event"
	"carawayproxy.example/caraway/internal/fleet"
)

// Bounds of watching.
const (
	// PollEvery is the time between two polls of one backend server.
	PollEvery   = 500 * time.Millisecond
	pollTimeout = time.Second
	// cachePolls is how many polls pass between two readings of an engine's
	// cache events.
	cachePolls = 4
)

var (
	eventSilent = event.Define(2101, "backend.silent", log.WarnLevel,
		"A backend server no longer answers this daemon's polls.", "See whether its instance is up and reachable from this availability zone.")
	eventHeard = event.Define(2102, "backend.heard", log.InfoLevel,
		"A backend server answers polls, for the first time or again.", "Nothing.")
	eventRestarted = event.Define(2103, "backend.restarted", log.WarnLevel,
		"A backend server's process is a new one.", "Look at the instance's own log when this repeats.")
)

// Target is one backend server to watch.
type Target struct {
	Instance fleet.InstanceID
	Address  string
	Kind     fleet.InstanceKind
}

// WatcherConfig is what a Watcher works with.
type WatcherConfig struct {
	Engines Engines
	Plains  Plains
	// Targets gives the backend servers to watch now.
	Targets func() []Target
	// CacheEvents takes an engine's cache events; may be nil.
	CacheEvents func(id fleet.InstanceID, events []CacheEvent)
	Events      *event.Logger
}

// Watcher polls backend servers and keeps their latest reports. It implements
// the Reports port of package group and is safe for concurrent use.
type Watcher struct {
	cfg WatcherConfig

	mu      sync.RWMutex
	reports map[fleet.InstanceID]fleet.Report
}

// NewWatcher returns a watcher that knows nothing until Run has polled.
func NewWatcher(cfg WatcherConfig) *Watcher {
	return &Watcher{cfg: cfg, reports: map[fleet.InstanceID]fleet.Report{}}
}

// Report returns the latest report of an instance. A report that is older
// than its reader allows, or Failed, proves nothing about the present.
func (w *Watcher) Report(id fleet.InstanceID) (fleet.Report, bool) {
	w.mu.RLock()
	defer w.mu.RUnlock()
	r, ok := w.reports[id]
	return r, ok
}

// Run watches the targets, one poll loop each, until ctx ends.
func (w *Watcher) Run(ctx context.Context) {
	var loops sync.WaitGroup
	defer loops.Wait()
	running := map[Target]context.CancelFunc{}
	for {
		wanted := map[Target]bool{}
		for _, t := range w.cfg.Targets() {
			wanted[t] = true
			if running[t] != nil {
				continue
			}
			loopCtx, cancel := context.WithCancel(ctx)
			running[t] = cancel
			loops.Go(func() { w.poll(loopCtx, t) })
		}
		for t, cancel := range running {
			if !wanted[t] {
				cancel()
				delete(running, t)
			}
		}
		select {
		case <-time.After(PollEvery):
		case <-ctx.Done():
			for _, cancel := range running {
				cancel()
			}
			return
		}
	}
}

func (w *Watcher) poll(ctx context.Context, t Target) {
	defer w.forget(t.Instance)
	var cacheSequence uint64
	for n := 0; ctx.Err() == nil; n++ {
		w.pollOnce(ctx, t)
		if t.Kind == fleet.KindEngine && w.cfg.CacheEvents != nil && n%cachePolls == cachePolls-1 {
			cacheSequence = w.pollCache(ctx, t, cacheSequence)
		}
		select {
		case <-time.After(PollEvery):
		case <-ctx.Done():
		}
	}
}

// pollOnce asks for one report. The report counts from when it was asked for,
// so that an answer that lay unread while this process was paused is old.
func (w *Watcher) pollOnce(ctx context.Context, t Target) {
	asked := time.Now()
	pollCtx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	var r fleet.Report
	var err error
	if t.Kind == fleet.KindEngine {
		r, err = w.cfg.Engines.Report(pollCtx, t.Address)
	} else {
		r, err = w.cfg.Plains.Health(pollCtx, t.Address)
	}
	if ctx.Err() != nil {
		return
	}
	if err == nil && r.Instance == t.Instance {
		r.ReceivedAt = asked
		w.keep(t, r)
		return
	}
	w.fail(t, asked)
}

func (w *Watcher) keep(t Target, r fleet.Report) {
	w.mu.Lock()
	old, known := w.reports[t.Instance]
	w.reports[t.Instance] = r
	w.mu.Unlock()
	switch {
	case !known || old.Failed:
		w.cfg.Events.Emit(eventHeard, "instance", t.Instance, "address", t.Address)
	case old.Incarnation != r.Incarnation:
		w.cfg.Events.Emit(eventRestarted, "instance", t.Instance, "address", t.Address)
	}
}

func (w *Watcher) fail(t Target, asked time.Time) {
	w.mu.Lock()
	r := w.reports[t.Instance]
	first := !r.Failed
	if first {
		r.Failed = true
		r.FailedSince = asked
	}
	r.Instance = t.Instance
	w.reports[t.Instance] = r
	w.mu.Unlock()
	if first {
		w.cfg.Events.Emit(eventSilent, "instance", t.Instance, "address", t.Address)
	}
}

func (w *Watcher) forget(id fleet.InstanceID) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.reports, id)
}

func (w *Watcher) pollCache(ctx context.Context, t Target, after uint64) uint64 {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	events, last, err := w.cfg.Engines.CacheEvents(ctx, t.Address, after)
	if err != nil {
		return after
	}
	if len(events) > 0 {
		w.cfg.CacheEvents(t.Instance, events)
	}
	return last
}
