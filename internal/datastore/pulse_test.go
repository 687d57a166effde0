package datastore

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"carawayproxy.example/caraway/internal/fleet"
)

// sweepUntil looks at the pulses as Run does, from one moment to another, and
// returns when the group was found silent, zero for never.
func sweepUntil(p *Pulses, from, to time.Time) time.Duration {
	for now := from; now.Before(to); now = now.Add(pulseEvery) {
		if len(p.sweep(now)) > 0 {
			return now.Sub(from)
		}
	}
	return 0
}

func TestSilenceIsToldSoonerTheMoreStreamsWrite(t *testing.T) {
	for writing, bound := range map[int]time.Duration{0: silenceBound[0], 1: silenceBound[1], 2: silenceBound[2], 3: silenceBound[3], 9: silenceBound[3]} {
		p := NewPulses(func(fleet.GroupID) {})
		var beats []*Beat
		for range max(writing, 1) {
			beats = append(beats, p.Attach("g"))
		}
		for _, b := range beats[:writing] {
			b.Heard()
		}
		now := time.Now()
		found := sweepUntil(p, now, now.Add(3*time.Second))
		assert.Assert(t, found >= bound && found <= bound+2*pulseEvery, "%d writing: found after %s, bound %s", writing, found, bound)
		assert.Assert(t, p.Silent("g", now.Add(found)))
		select {
		case <-beats[0].Silent():
		default:
			t.Fatal("the streams were not told")
		}
	}
}

// One event of any stream shows that the group moves.
func TestAnyEventEndsTheSilence(t *testing.T) {
	p := NewPulses(func(fleet.GroupID) {})
	a, b := p.Attach("g"), p.Attach("g")
	a.Heard()
	b.Heard()
	now := time.Now()
	assert.Assert(t, sweepUntil(p, now, now.Add(time.Second)) > 0)
	b.Heard()
	assert.Assert(t, !p.Silent("g", time.Now()))
	assert.Equal(t, sweepUntil(p, time.Now(), time.Now().Add(200*time.Millisecond)), time.Duration(0))
}

// A daemon that stood still itself blames no group for it.
func TestFrozenDaemonBlamesNobody(t *testing.T) {
	p := NewPulses(func(fleet.GroupID) {})
	for range 4 {
		p.Attach("g").Heard()
	}
	now := time.Now()
	p.sweep(now)
	assert.Equal(t, len(p.sweep(now.Add(4*time.Second))), 0)
	assert.Equal(t, sweepUntil(p, now.Add(4*time.Second), now.Add(4*time.Second+200*time.Millisecond)), time.Duration(0))
}

// A group without streams is not judged, and is forgotten.
func TestGroupWithoutStreams(t *testing.T) {
	p := NewPulses(func(fleet.GroupID) {})
	b := p.Attach("g")
	b.Heard()
	b.Detach()
	now := time.Now()
	assert.Equal(t, sweepUntil(p, now, now.Add(3*time.Second)), time.Duration(0))
	assert.Equal(t, len(p.groups), 0)
}

// What a peer has found shortens the wait, but nothing is taken on its word.
func TestPeersDoubtShortensTheWait(t *testing.T) {
	p := NewPulses(func(fleet.GroupID) {})
	p.Attach("g").Heard()
	p.Doubt("g")
	p.Doubt("unknown")
	now := time.Now()
	found := sweepUntil(p, now, now.Add(time.Second))
	assert.Assert(t, found >= doubtedBound && found <= doubtedBound+2*pulseEvery, "found after %s", found)

	fresh := NewPulses(func(fleet.GroupID) {})
	fresh.Attach("g")
	fresh.Doubt("g")
	assert.Equal(t, sweepUntil(fresh, now, now.Add(time.Second)), time.Duration(0), "a stream without an event yet waits as before")
}
