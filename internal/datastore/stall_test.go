package datastore

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"carawayproxy.example/caraway/internal/fleet"
)

// sweepUntil sweeps at the interval of Run and returns the time until the group
// was found to be stalled, zero for never.
func sweepUntil(d *StallDetector, from, to time.Time) time.Duration {
	for now := from; now.Before(to); now = now.Add(stallCheckInterval) {
		if len(d.sweep(now)) > 0 {
			return now.Sub(from)
		}
	}
	return 0
}

func TestStallIsDetectedSoonerWithMoreActiveStreams(t *testing.T) {
	for active, timeout := range map[int]time.Duration{
		0: stallTimeouts[0],
		1: stallTimeouts[1],
		2: stallTimeouts[2],
		3: stallTimeouts[3],
		9: stallTimeouts[3],
	} {
		d := NewStallDetector(func(fleet.GroupID) {}, nil)
		var attempts []*StreamMonitor
		for range max(active, 1) {
			attempts = append(attempts, d.Attach("g"))
		}
		for _, m := range attempts[:active] {
			m.RecordEvent()
		}
		now := time.Now()
		found := sweepUntil(d, now, now.Add(3*time.Second))
		assert.Assert(t, found >= timeout && found <= timeout+2*stallCheckInterval,
			"%d active streams: found after %s, timeout %s", active, found, timeout)
		assert.Assert(t, d.Stalled("g", now.Add(found)))
		select {
		case <-attempts[0].Stalled():
		default:
			t.Fatal("the streams were not notified")
		}
	}
}

// One event on any stream shows that the group makes progress.
func TestAnyEventClearsTheStall(t *testing.T) {
	d := NewStallDetector(func(fleet.GroupID) {}, nil)
	a, b := d.Attach("g"), d.Attach("g")
	a.RecordEvent()
	b.RecordEvent()
	now := time.Now()
	assert.Assert(t, sweepUntil(d, now, now.Add(time.Second)) > 0)
	b.RecordEvent()
	assert.Assert(t, !d.Stalled("g", time.Now()))
	assert.Equal(t, sweepUntil(d, time.Now(), time.Now().Add(200*time.Millisecond)), time.Duration(0))
}

// A daemon that was itself frozen must not report groups as stalled.
func TestFrozenDaemonReportsNoStall(t *testing.T) {
	d := NewStallDetector(func(fleet.GroupID) {}, nil)
	for range 4 {
		d.Attach("g").RecordEvent()
	}
	now := time.Now()
	d.sweep(now)
	assert.Equal(t, len(d.sweep(now.Add(4*time.Second))), 0)
	assert.Equal(t, sweepUntil(d, now.Add(4*time.Second), now.Add(4*time.Second+200*time.Millisecond)), time.Duration(0))
}

// A group without streams is never stalled, and is removed.
func TestGroupWithoutStreams(t *testing.T) {
	d := NewStallDetector(func(fleet.GroupID) {}, nil)
	m := d.Attach("g")
	m.RecordEvent()
	m.Detach()
	now := time.Now()
	assert.Equal(t, sweepUntil(d, now, now.Add(3*time.Second)), time.Duration(0))
	assert.Equal(t, len(d.groups), 0)
}

// A peer's report shortens the timeout but does not by itself mark a group as
// stalled.
func TestPeerStallReportShortensTheTimeout(t *testing.T) {
	d := NewStallDetector(func(fleet.GroupID) {}, nil)
	d.Attach("g").RecordEvent()
	d.RecordPeerStall("g")
	d.RecordPeerStall("unknown")
	now := time.Now()
	found := sweepUntil(d, now, now.Add(time.Second))
	assert.Assert(t, found >= peerStallTimeout && found <= peerStallTimeout+2*stallCheckInterval,
		"found after %s", found)

	fresh := NewStallDetector(func(fleet.GroupID) {}, nil)
	fresh.Attach("g")
	fresh.RecordPeerStall("g")
	assert.Equal(t, sweepUntil(fresh, now, now.Add(time.Second)), time.Duration(0),
		"the timeout of a stream without an event is not shortened")
}

// Streams that stay with a silent group kept it from ever being found stalled again:
// after stallRetention it was routed to although nothing moved, and each new attempt
// counted as stalled at once.
func TestLastingSilenceWasNotFoundAgain(t *testing.T) {
	d := NewStallDetector(func(fleet.GroupID) {}, nil)
	d.Attach("g").RecordEvent()
	now := time.Now()
	found := now.Add(sweepUntil(d, now, now.Add(time.Second)))
	assert.Assert(t, d.Stalled("g", found))

	ended := found.Add(stallRetention + 2*stallCheckInterval)
	assert.Equal(t, sweepUntil(d, found, ended), time.Duration(0))
	assert.Assert(t, !d.Stalled("g", ended))
	select {
	case <-d.Attach("g").Stalled():
		t.Error("a new attempt counts as stalled at once")
	default:
	}
	again := sweepUntil(d, ended, ended.Add(2*time.Second))
	assert.Assert(t, again > 0, "the silence was not found again")
	assert.Assert(t, d.Stalled("g", ended.Add(again)))
}
