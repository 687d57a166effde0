package datastore

import (
	"context"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"carawayproxy.example/caraway/internal/fleet"
)

const (
	// stallCheckInterval is the time between two checks of the groups' streams.
	stallCheckInterval = 40 * time.Millisecond
	// maxSweepDelay is how late a check may be. After a later one, this daemon
	// rather than the groups is assumed to have been stalled.
	maxSweepDelay = 100 * time.Millisecond
	// stallRetention is how long a stalled group stays excluded from routing,
	// unless an event of one of its streams arrives.
	stallRetention = 3 * time.Second
)

// peerStallTimeout is the stall timeout of a group whose streams have stalled
// at a peer as well, and peerStallRetention is how long a peer's report counts.
const (
	peerStallTimeout   = 200 * time.Millisecond
	peerStallRetention = time.Second
)

// stallTimeouts are the times without an event after which a group counts as
// stalled, by the number of this daemon's streams that have had an event. One
// stream alone may wait for the prefill of other requests or for a lost packet.
var stallTimeouts = []time.Duration{
	1500 * time.Millisecond, // streams without any event yet
	600 * time.Millisecond,
	400 * time.Millisecond,
	300 * time.Millisecond,
}

// StallDetector detects groups that have stalled. A working group, however
// busy, sends events on every stream at short intervals; a group that has lost
// a member still accepts requests but sends no events. It is safe for
// concurrent use.
type StallDetector struct {
	// onStalled is called with each group that is found to be stalled; it must
	// not block.
	onStalled func(fleet.GroupID)
	// found counts stalls, and ended those that an event of the group ended.
	found, ended metrics.Counter

	mu      sync.Mutex
	groups  map[fleet.GroupID]*groupStreams
	sweptAt time.Time
}

// groupStreams tracks this daemon's streams at one group.
type groupStreams struct {
	attached      int
	active        int // attached streams that have had an event
	lastEventAt   time.Time
	stalled       chan struct{}
	stalledAt     time.Time // zero while not stalled
	peerStalledAt time.Time // when a peer last reported its streams as stalled
}

// NewStallDetector returns a detector without any stream. It needs Run to
// detect stalls. It registers its metrics in r; nil for none.
func NewStallDetector(onStalled func(fleet.GroupID), r metrics.Registry) *StallDetector {
	if r == nil {
		r = metrics.NewRegistry()
	}
	return &StallDetector{
		onStalled: onStalled,
		found:     metrics.GetOrRegisterCounter("datastore.stalls", r),
		ended:     metrics.GetOrRegisterCounter("datastore.stalls_ended", r),
		groups:    map[fleet.GroupID]*groupStreams{},
	}
}

// Attach registers an attempt at a group. The caller must call Detach at its end.
func (d *StallDetector) Attach(id fleet.GroupID) *StreamMonitor {
	d.mu.Lock()
	defer d.mu.Unlock()
	g := d.groups[id]
	if g == nil {
		g = &groupStreams{stalled: make(chan struct{})}
		d.groups[id] = g
	}
	if g.attached == 0 {
		g.lastEventAt = time.Now()
	}
	g.attached++
	return &StreamMonitor{detector: d, group: g}
}

// Stalled reports whether a group was found to be stalled within stallRetention.
func (d *StallDetector) Stalled(id fleet.GroupID, now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	g := d.groups[id]
	return g != nil && !g.stalledAt.IsZero() && now.Sub(g.stalledAt) < stallRetention
}

// Reset forgets all groups and the attempts at them. It is called when this
// daemon's own links to the servers are lost: silence on them shows nothing about
// the groups. Later attempts are tracked anew.
func (d *StallDetector) Reset() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.groups = map[fleet.GroupID]*groupStreams{}
}

// Run checks the groups every stallCheckInterval until ctx ends.
func (d *StallDetector) Run(ctx context.Context) {
	tick := time.NewTicker(stallCheckInterval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			for _, id := range d.sweep(time.Now()) {
				d.onStalled(id)
			}
		case <-ctx.Done():
			return
		}
	}
}

// sweep returns the groups that are newly found to be stalled. If the sweep
// itself is late, the timeouts of all groups restart.
func (d *StallDetector) sweep(now time.Time) []fleet.GroupID {
	d.mu.Lock()
	defer d.mu.Unlock()
	late := !d.sweptAt.IsZero() && now.Sub(d.sweptAt) > stallCheckInterval+maxSweepDelay
	d.sweptAt = now
	var stalled []fleet.GroupID
	for id, g := range d.groups {
		switch {
		case late:
			g.lastEventAt = now
		case g.attached == 0 && (g.stalledAt.IsZero() || now.Sub(g.stalledAt) > stallRetention):
			delete(d.groups, id)
		case !g.stalledAt.IsZero() && now.Sub(g.stalledAt) > stallRetention:
			g.clearStall() // the group is routed to again and measured anew
			g.lastEventAt = now
		case g.attached > 0 && g.stalledAt.IsZero() && now.Sub(g.lastEventAt) > g.stallTimeout(now):
			g.stalledAt = now
			d.found.Inc(1)
			close(g.stalled)
			stalled = append(stalled, id)
		}
	}
	return stalled
}

func (g *groupStreams) clearStall() {
	g.stalledAt = time.Time{}
	g.stalled = make(chan struct{})
}

func (g *groupStreams) stallTimeout(now time.Time) time.Duration {
	timeout := stallTimeouts[min(g.active, len(stallTimeouts)-1)]
	if g.active > 0 && now.Sub(g.peerStalledAt) < peerStallRetention {
		return min(timeout, peerStallTimeout)
	}
	return timeout
}

// RecordPeerStall records that a peer's streams at a group have stalled, which
// shortens the group's timeout.
func (d *StallDetector) RecordPeerStall(id fleet.GroupID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if g := d.groups[id]; g != nil {
		g.peerStalledAt = time.Now()
	}
}

// Hears reports whether an event of the group has arrived lately, so that a peer's stall
// is none of the group's.
func (d *StallDetector) Hears(id fleet.GroupID, now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	g := d.groups[id]
	return g != nil && g.active > 0 && now.Sub(g.lastEventAt) < peerStallTimeout
}

// CountActive returns the number of streams at the group that have had an event. The
// silence of several is the group's; a single one may only wait for others.
func (d *StallDetector) CountActive(id fleet.GroupID) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	if g := d.groups[id]; g != nil {
		return g.active
	}
	return 0
}

// StreamMonitor tracks the stream of one attempt at a group.
type StreamMonitor struct {
	detector *StallDetector
	group    *groupStreams
	active   bool // guarded by detector.mu
}

// RecordEvent records an event on the attempt's stream.
func (m *StreamMonitor) RecordEvent() {
	m.detector.mu.Lock()
	defer m.detector.mu.Unlock()
	m.group.lastEventAt = time.Now()
	if !m.active {
		m.active = true
		m.group.active++
	}
	if !m.group.stalledAt.IsZero() {
		m.detector.ended.Inc(1)
		m.group.clearStall()
	}
}

// Stalled returns a channel that is closed once the group is found to be stalled.
// An event of the group, or the end of stallRetention, replaces a closed channel.
func (m *StreamMonitor) Stalled() <-chan struct{} {
	m.detector.mu.Lock()
	defer m.detector.mu.Unlock()
	return m.group.stalled
}

// Detach ends the tracking of the attempt.
func (m *StreamMonitor) Detach() {
	m.detector.mu.Lock()
	defer m.detector.mu.Unlock()
	m.group.attached--
	if m.active {
		m.group.active--
	}
}
