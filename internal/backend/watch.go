package backend

import (
	"context"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/rcrowley/go-metrics"

	"carawayproxy.example/caraway/internal/event"
	"carawayproxy.example/caraway/internal/fleet"
)

var (
	eventSilent = event.Define(2101, "backend.silent", log.WarnLevel,
		"A backend server no longer answers this daemon's polls, and no peer hears it.", "See whether its instance is up and reachable from this availability zone.")
	eventHeard = event.Define(2102, "backend.heard", log.InfoLevel,
		"A backend server answers polls, of this daemon or of a peer, for the first time or again.", "Nothing.")
	eventRestarted = event.Define(2103, "backend.restarted", log.WarnLevel,
		"A backend server's process is a new one.", "Look at the instance's own log when this repeats.")
)

// Target is one backend server to watch.
type Target struct {
	Instance fleet.InstanceID
	Address  string
	Kind     fleet.InstanceKind
	// Unit is what daemons share the watching of: the group's id for an
	// instance of a group, else the instance's.
	Unit string
	// Direct: this daemon sends requests to the instance, so it tries by
	// itself whether it reaches it.
	Direct bool
}

// place is what a poll loop runs for.
type place struct {
	instance fleet.InstanceID
	address  string
	kind     fleet.InstanceKind
}

func (t Target) place() place { return place{t.Instance, t.Address, t.Kind} }

// WatcherConfig is what a Watcher works with.
type WatcherConfig struct {
	Engines Engines
	Plains  Plains
	// Targets gives the backend servers to watch now.
	Targets func() []Target
	// Rank gives this daemon's place among those that watch a unit, zero for
	// the first; nil when it watches alone.
	Rank func(unit string) int
	// Hurry is called when polls of a backend server begin to fail, so that
	// peers are told soon by Silent; nil for none. It must not block.
	Hurry func()
	// CacheEvents takes an engine's cache events; may be nil.
	CacheEvents func(id fleet.InstanceID, events []CacheEvent)
	Events      *event.Logger
	Metrics     metrics.Registry // nil for none
}

// Watcher keeps the newest report of each backend server. It polls those that
// are this daemon's share, and any whose newest report grows old. It
// implements the Reports port of package group and is safe for concurrent use.
type Watcher struct {
	cfg            WatcherConfig
	polls, relayed metrics.Counter

	mu   sync.RWMutex
	seen map[fleet.InstanceID]*seen
}

// NewWatcher returns a watcher that knows nothing until Run has polled.
func NewWatcher(cfg WatcherConfig) *Watcher {
	if cfg.Rank == nil {
		cfg.Rank = func(string) int { return 0 }
	}
	if cfg.Hurry == nil {
		cfg.Hurry = func() {}
	}
	if cfg.Metrics == nil {
		cfg.Metrics = metrics.NewRegistry()
	}
	return &Watcher{
		cfg:     cfg,
		polls:   metrics.GetOrRegisterCounter("backend.polls", cfg.Metrics),
		relayed: metrics.GetOrRegisterCounter("backend.reports_relayed", cfg.Metrics),
		seen:    map[fleet.InstanceID]*seen{},
	}
}

// Report returns the newest report of an instance, own or relayed. A report
// that is older than its reader allows, or Failed, proves nothing about the
// present.
func (w *Watcher) Report(id fleet.InstanceID) (fleet.Report, bool) {
	w.mu.RLock()
	defer w.mu.RUnlock()
	s := w.seen[id]
	if s == nil {
		return fleet.Report{}, false
	}
	return s.report()
}

// Unreached reports whether this daemon's own last poll of an instance failed,
// whatever peers hear.
func (w *Watcher) Unreached(id fleet.InstanceID) bool {
	w.mu.RLock()
	defer w.mu.RUnlock()
	s := w.seen[id]
	return s != nil && s.failing()
}

// Doubt makes this daemon poll the backend server at an address soon, as an
// attempt there failed.
func (w *Watcher) Doubt(address string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, s := range w.seen {
		if s.target.Address == address {
			s.doubt()
		}
	}
}

func (s *seen) doubt() {
	s.doubted = true
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// Offer returns the newest reports that this daemon polled itself, for peers.
func (w *Watcher) Offer() []fleet.Report {
	w.mu.RLock()
	defer w.mu.RUnlock()
	var out []fleet.Report
	for _, s := range w.seen {
		if s.own {
			out = append(out, s.newest)
		}
	}
	return out
}

// Silent returns the instances that do not answer this daemon's polls, but for
// those of which a peer said so first.
func (w *Watcher) Silent() []fleet.InstanceID {
	w.mu.RLock()
	defer w.mu.RUnlock()
	var out []fleet.InstanceID
	for id, s := range w.seen {
		if s.found {
			out = append(out, id)
		}
	}
	return out
}

// Prompt makes this daemon poll instances soon, as a peer's polls of them
// began to fail. It proves nothing else.
func (w *Watcher) Prompt(ids []fleet.InstanceID) {
	for _, id := range ids {
		w.change(id, nil, func(s *seen) {
			s.prompted = !s.failing()
			s.doubt()
		})
	}
}

// Relayed takes the reports of a peer's successful polls. ReceivedAt must be a
// moment on the own clock before which the peer surely did not ask. Reports of
// instances that are not watched are dropped.
func (w *Watcher) Relayed(reports []fleet.Report) {
	w.relayed.Inc(int64(len(reports)))
	for _, r := range reports {
		w.change(r.Instance, nil, func(s *seen) { s.relayed(r) })
	}
}

// change applies f to what is known of an instance and tells of what that
// changed. With of not nil it does so only while that is still watched.
func (w *Watcher) change(id fleet.InstanceID, of *seen, f func(*seen)) {
	w.mu.Lock()
	s := w.seen[id]
	if s == nil || of != nil && s != of {
		w.mu.Unlock()
		return
	}
	before, had := s.report()
	f(s)
	after, has := s.report()
	address := s.target.Address
	w.mu.Unlock()
	switch {
	case !has:
	case after.Failed && !before.Failed:
		w.cfg.Events.Emit(eventSilent, "instance", id, "address", address)
	case !after.Failed && (!had || before.Failed):
		w.cfg.Events.Emit(eventHeard, "instance", id, "address", address)
	case before.Incarnation != after.Incarnation:
		w.cfg.Events.Emit(eventRestarted, "instance", id, "address", address)
	}
}

// Run watches the targets, one poll loop each, until ctx ends.
func (w *Watcher) Run(ctx context.Context) {
	var loops sync.WaitGroup
	defer loops.Wait()
	running := map[place]context.CancelFunc{}
	for {
		wanted := map[place]bool{}
		for _, t := range w.cfg.Targets() {
			wanted[t.place()] = true
			if running[t.place()] != nil {
				w.retarget(t)
				continue
			}
			loopCtx, cancel := context.WithCancel(ctx)
			running[t.place()] = cancel
			s := w.begin(t)
			loops.Go(func() { w.watch(loopCtx, s) })
		}
		for p, cancel := range running {
			if !wanted[p] {
				cancel()
				delete(running, p)
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

func (w *Watcher) begin(t Target) *seen {
	w.mu.Lock()
	defer w.mu.Unlock()
	s := &seen{target: t, wake: make(chan struct{}, 1)}
	w.seen[t.Instance] = s
	return s
}

// retarget takes in a target's unit and whether it is sent to.
func (w *Watcher) retarget(t Target) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if s := w.seen[t.Instance]; s != nil && s.target.place() == t.place() {
		s.target = t
	}
}

func (w *Watcher) forget(s *seen) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.seen[s.target.Instance] == s {
		delete(w.seen, s.target.Instance)
	}
}
