package datastore

import (
	"context"
	"sync"
	"time"

	"carawayproxy.example/caraway/internal/fleet"
)

const (
	// pulseEvery is the time between two looks at the groups' streams.
	pulseEvery = 40 * time.Millisecond
	// lateSweep is how late a look may be before the daemon itself, and not
	// the groups, is taken to have stood still.
	lateSweep = 100 * time.Millisecond
	// silentFor is how long a group that was found silent is passed over
	// unless something is heard of it.
	silentFor = 3 * time.Second
)

// doubtedBound is how long a group may be silent of which a peer has just told
// that its streams have stopped, and doubtedFor how long that counts.
const (
	doubtedBound = 200 * time.Millisecond
	doubtedFor   = time.Second
)

// silenceBound is how long a group may be silent by how many of this daemon's
// streams at it have had events: one stream alone may wait for others'
// prompts to be read or for a lost packet.
var silenceBound = []time.Duration{
	1500 * time.Millisecond, // streams without any event yet
	600 * time.Millisecond,
	400 * time.Millisecond,
	300 * time.Millisecond,
}

// Pulses tells groups that have stopped from those that are busy. A group that
// works gives every stream an event again and again; one that has lost a
// member keeps accepting requests and gives none an event. It is safe for
// concurrent use.
type Pulses struct {
	// onSilent is told of each group that is found silent; it must not block.
	onSilent func(fleet.GroupID)

	mu      sync.Mutex
	groups  map[fleet.GroupID]*pulse
	sweptAt time.Time
}

// pulse is the streams of one group.
type pulse struct {
	attached int
	writing  int // attached streams that have had an event
	last     time.Time
	silent   chan struct{}
	silentAt time.Time // zero while not silent
	doubted  time.Time // when a peer last told that its streams have stopped
}

// NewPulses returns pulses without any stream. Run must go on beside it.
func NewPulses(onSilent func(fleet.GroupID)) *Pulses {
	return &Pulses{onSilent: onSilent, groups: map[fleet.GroupID]*pulse{}}
}

// Attach counts an attempt at a group in.
func (p *Pulses) Attach(id fleet.GroupID) *Beat {
	p.mu.Lock()
	defer p.mu.Unlock()
	g := p.groups[id]
	if g == nil {
		g = &pulse{silent: make(chan struct{})}
		p.groups[id] = g
	}
	if g.attached == 0 {
		g.last = time.Now()
	}
	g.attached++
	return &Beat{pulses: p, group: g, silent: g.silent}
}

// Silent reports whether a group was found silent lately.
func (p *Pulses) Silent(id fleet.GroupID, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	g := p.groups[id]
	return g != nil && !g.silentAt.IsZero() && now.Sub(g.silentAt) < silentFor
}

// Run looks at the groups until ctx ends.
func (p *Pulses) Run(ctx context.Context) {
	tick := time.NewTicker(pulseEvery)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			for _, id := range p.sweep(time.Now()) {
				p.onSilent(id)
			}
		case <-ctx.Done():
			return
		}
	}
}

// sweep returns the groups that it finds silent. After a look that was late it
// gives every group its time anew.
func (p *Pulses) sweep(now time.Time) []fleet.GroupID {
	p.mu.Lock()
	defer p.mu.Unlock()
	late := !p.sweptAt.IsZero() && now.Sub(p.sweptAt) > pulseEvery+lateSweep
	p.sweptAt = now
	var silent []fleet.GroupID
	for id, g := range p.groups {
		switch {
		case late:
			g.last = now
		case g.attached == 0 && (g.silentAt.IsZero() || now.Sub(g.silentAt) > silentFor):
			delete(p.groups, id)
		case g.attached > 0 && g.silentAt.IsZero() && now.Sub(g.last) > g.bound(now):
			g.silentAt = now
			close(g.silent)
			silent = append(silent, id)
		}
	}
	return silent
}

func (g *pulse) bound(now time.Time) time.Duration {
	bound := silenceBound[min(g.writing, len(silenceBound)-1)]
	if g.writing > 0 && now.Sub(g.doubted) < doubtedFor {
		return min(bound, doubtedBound)
	}
	return bound
}

// Doubt tells that a peer's streams at a group have stopped.
func (p *Pulses) Doubt(id fleet.GroupID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if g := p.groups[id]; g != nil {
		g.doubted = time.Now()
	}
}

// Beat is one attempt at a group.
type Beat struct {
	pulses  *Pulses
	group   *pulse
	silent  <-chan struct{}
	writing bool // under the pulses' lock
}

// Heard tells that something of the attempt's answer came.
func (b *Beat) Heard() {
	b.pulses.mu.Lock()
	defer b.pulses.mu.Unlock()
	b.group.last = time.Now()
	if !b.writing {
		b.writing = true
		b.group.writing++
	}
	if !b.group.silentAt.IsZero() {
		b.group.silentAt = time.Time{}
		b.group.silent = make(chan struct{})
	}
}

// Silent is closed once the group was found silent.
func (b *Beat) Silent() <-chan struct{} { return b.silent }

// Detach counts the attempt out.
func (b *Beat) Detach() {
	b.pulses.mu.Lock()
	defer b.pulses.mu.Unlock()
	b.group.attached--
	if b.writing {
		b.group.writing--
	}
}
