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
	eventUnresponsive = event.Define(2101, "backend.silent", log.WarnLevel,
		"A backend server does not respond to this daemon's polls, and no peer reports a response.",
		"Check that its instance is up and reachable from this availability zone.")
	eventResponding = event.Define(2102, "backend.heard", log.InfoLevel,
		"A backend server responds to polls of this daemon or of a peer, for the first time or again.", "Nothing.")
	eventRestarted = event.Define(2103, "backend.restarted", log.WarnLevel,
		"The process of a backend server has restarted.", "If this repeats, check the instance's own log.")
)

// Target is a backend server to poll.
type Target struct {
	Instance fleet.InstanceID
	Address  string
	Kind     fleet.InstanceKind
	// Unit is the unit by which the daemons divide the polling: the group id for
	// an instance that belongs to a group, otherwise the instance id.
	Unit string
	// Direct means that this daemon sends requests to the instance. It then
	// checks itself that it can reach the instance.
	Direct bool
}

// loopKey identifies a poll loop. A target whose key changes gets a new loop.
type loopKey struct {
	instance fleet.InstanceID
	address  string
	kind     fleet.InstanceKind
}

func (t Target) loopKey() loopKey { return loopKey{t.Instance, t.Address, t.Kind} }

// WatcherConfig is the configuration of a Watcher.
type WatcherConfig struct {
	Engines Engines
	Plains  Plains
	// Targets returns the backend servers to poll now.
	Targets func() []Target
	// Rank returns this daemon's position among the daemons that poll a unit,
	// zero for the first; nil if this daemon polls alone.
	Rank func(unit string) int
	// RequestHeartbeat is called when polls of a backend server begin to fail,
	// so that peers soon receive the result of Unresponsive; may be nil. It
	// must not block.
	RequestHeartbeat func()
	// CacheEvents receives the cache events of an engine; may be nil.
	CacheEvents func(id fleet.InstanceID, events []CacheEvent)
	Events      *event.Logger
	Metrics     metrics.Registry // nil for none
}

// Watcher holds the newest report of each backend server. It polls the targets
// for which this daemon is ranked first, and any target whose newest report
// becomes too old. It implements the Reports port of package group and is safe
// for concurrent use.
type Watcher struct {
	cfg            WatcherConfig
	polls, relayed metrics.Counter

	mu      sync.RWMutex
	targets map[fleet.InstanceID]*targetState
}

// NewWatcher returns a watcher that has no reports until Run has polled.
func NewWatcher(cfg WatcherConfig) *Watcher {
	if cfg.Rank == nil {
		cfg.Rank = func(string) int { return 0 }
	}
	if cfg.RequestHeartbeat == nil {
		cfg.RequestHeartbeat = func() {}
	}
	if cfg.Metrics == nil {
		cfg.Metrics = metrics.NewRegistry()
	}
	return &Watcher{
		cfg:     cfg,
		polls:   metrics.GetOrRegisterCounter("backend.polls", cfg.Metrics),
		relayed: metrics.GetOrRegisterCounter("backend.reports_relayed", cfg.Metrics),
		targets: map[fleet.InstanceID]*targetState{},
	}
}

// Report returns the newest report of an instance, local or relayed. A report
// that is Failed, or older than its reader allows, says nothing about the
// present state.
func (w *Watcher) Report(id fleet.InstanceID) (fleet.Report, bool) {
	w.mu.RLock()
	defer w.mu.RUnlock()
	s := w.targets[id]
	if s == nil {
		return fleet.Report{}, false
	}
	return s.report()
}

// Unreachable reports whether this daemon's own last poll of an instance failed,
// even if peers can reach it.
func (w *Watcher) Unreachable(id fleet.InstanceID) bool {
	w.mu.RLock()
	defer w.mu.RUnlock()
	s := w.targets[id]
	return s != nil && s.isFailing()
}

// RecordFailedAttempt schedules an early poll of the backend server at an
// address after an attempt there has failed.
func (w *Watcher) RecordFailedAttempt(address string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, s := range w.targets {
		if s.target.Address == address {
			s.requestPoll()
		}
	}
}

func (s *targetState) requestPoll() {
	s.pollRequested = true
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// LocalReports returns the newest reports that this daemon polled itself, to be
// relayed to peers.
func (w *Watcher) LocalReports() []fleet.Report {
	w.mu.RLock()
	defer w.mu.RUnlock()
	var out []fleet.Report
	for _, s := range w.targets {
		if s.polledLocally {
			out = append(out, s.newest)
		}
	}
	return out
}

// Unresponsive returns the instances that do not respond to this daemon's polls,
// except those that a peer reported first.
func (w *Watcher) Unresponsive() []fleet.InstanceID {
	w.mu.RLock()
	defer w.mu.RUnlock()
	var out []fleet.InstanceID
	for id, s := range w.targets {
		if s.detectedFirst {
			out = append(out, id)
		}
	}
	return out
}

// RecordPeerUnresponsive schedules an early poll of instances for which the
// polls of a peer began to fail. It does not change their reported state.
func (w *Watcher) RecordPeerUnresponsive(ids []fleet.InstanceID) {
	for _, id := range ids {
		w.update(id, nil, func(s *targetState) {
			s.promptedByPeer = !s.isFailing()
			s.requestPoll()
		})
	}
}

// AddRelayedReports records reports of a peer's successful polls. ReceivedAt
// must be a local time at or before the start of the peer's poll. Reports of
// instances that are not targets are ignored.
func (w *Watcher) AddRelayedReports(reports []fleet.Report) {
	w.relayed.Inc(int64(len(reports)))
	for _, r := range reports {
		w.update(r.Instance, nil, func(s *targetState) { s.recordRelayed(r) })
	}
}

// update applies f to the state of an instance and emits events for the
// changes. If expected is not nil, it does so only while expected is the
// instance's current state.
func (w *Watcher) update(id fleet.InstanceID, expected *targetState, f func(*targetState)) {
	w.mu.Lock()
	s := w.targets[id]
	if s == nil || expected != nil && s != expected {
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
		w.cfg.Events.Emit(eventUnresponsive, "instance", id, "address", address)
	case !after.Failed && (!had || before.Failed):
		w.cfg.Events.Emit(eventResponding, "instance", id, "address", address)
	case before.Incarnation != after.Incarnation:
		w.cfg.Events.Emit(eventRestarted, "instance", id, "address", address)
	}
}

// Run polls the targets, each in a loop of its own, until ctx ends.
func (w *Watcher) Run(ctx context.Context) {
	var loops sync.WaitGroup
	defer loops.Wait()
	running := map[loopKey]context.CancelFunc{}
	for {
		wanted := map[loopKey]bool{}
		for _, t := range w.cfg.Targets() {
			wanted[t.loopKey()] = true
			if running[t.loopKey()] != nil {
				w.updateTarget(t)
				continue
			}
			loopCtx, cancel := context.WithCancel(ctx)
			running[t.loopKey()] = cancel
			s := w.addTarget(t)
			loops.Go(func() { w.pollLoop(loopCtx, s) })
		}
		for key, cancel := range running {
			if !wanted[key] {
				cancel()
				delete(running, key)
			}
		}
		select {
		case <-time.After(PollInterval):
		case <-ctx.Done():
			for _, cancel := range running {
				cancel()
			}
			return
		}
	}
}

func (w *Watcher) addTarget(t Target) *targetState {
	w.mu.Lock()
	defer w.mu.Unlock()
	s := &targetState{target: t, wake: make(chan struct{}, 1)}
	w.targets[t.Instance] = s
	return s
}

// updateTarget applies changes of a target's Unit and Direct fields.
func (w *Watcher) updateTarget(t Target) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if s := w.targets[t.Instance]; s != nil && s.target.loopKey() == t.loopKey() {
		s.target = t
	}
}

func (w *Watcher) removeTarget(s *targetState) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.targets[s.target.Instance] == s {
		delete(w.targets, s.target.Instance)
	}
}
