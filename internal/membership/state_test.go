package membership

import (
	"bytes"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"carawayproxy.example/caraway/internal/fleet"
	"carawayproxy.example/caraway/internal/journal"
	"carawayproxy.example/caraway/internal/suspect"
)

var epoch = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

func heartbeatOf(id fleet.DaemonID, address string, incarnation, sequence uint64) Heartbeat {
	return Heartbeat{From: id, Address: address, Incarnation: incarnation, Sequence: sequence}
}

func TestTableKeepsTheNewestHeartbeat(t *testing.T) {
	tests := map[string]struct {
		h        Heartbeat
		accepted bool
	}{
		"newer sequence":                  {heartbeatOf("a", "x:1", 2, 11), true},
		"same sequence":                   {heartbeatOf("a", "x:1", 2, 10), false},
		"older sequence":                  {heartbeatOf("a", "x:1", 2, 9), false},
		"older incarnation, new sequence": {heartbeatOf("a", "x:1", 1, 99), false},
		"newer incarnation":               {heartbeatOf("a", "x:1", 3, 1), true},
		"predecessor at the address":      {heartbeatOf("old", "x:1", 1, 99), false},
		"successor at the address":        {heartbeatOf("new", "x:1", 3, 1), true},
		"another daemon":                  {heartbeatOf("b", "y:1", 1, 1), true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			table := newTable()
			assert.Assert(t, table.observe(epoch, heartbeatOf("a", "x:1", 2, 10), echoTiming{}))
			assert.Equal(t, table.observe(epoch, test.h, echoTiming{}), test.accepted)
		})
	}
}

func TestLateHeartbeatDoesNotRestoreDepartedPeer(t *testing.T) {
	table := newTable()
	table.observe(epoch, heartbeatOf("a", "x:1", 2, 10), echoTiming{})
	assert.Assert(t, !table.linkLost(epoch, "a"), "peers without a goodbye stay in the view")
	table.markDeparting("a")
	assert.Assert(t, table.linkLost(epoch, "a"))
	assert.Assert(t, !table.observe(epoch, heartbeatOf("a", "x:1", 2, 11), echoTiming{}))
	assert.Equal(t, len(table.peers), 0)
}

func TestReadiness(t *testing.T) {
	now := epoch.Add(time.Hour)
	ago := func(d time.Duration) time.Time { return now.Add(-d) }
	peer := func(sent, acked, confirmed time.Duration, next journal.Offset) Peer {
		return Peer{SentAt: ago(sent), AckedAt: ago(acked), Heartbeat: Heartbeat{Streams: map[journal.Stream]StreamPosition{
			"config": {Next: next, ConfirmedAgeMilli: confirmed.Milliseconds()},
		}}}
	}
	const s = time.Second
	old := journal.Status{Stream: "config", Next: 5, ConfirmedAt: ago(60 * s), LastLogResponse: ago(60 * s)}
	fresh := journal.Status{Stream: "config", Next: 5, ConfirmedAt: ago(s)}
	broken := fresh
	broken.Err = errors.New("unknown kind")
	withoutLog := peer(0, 0, time.Minute, 5)
	tests := map[string]struct {
		view   View
		status journal.Status
		alone  bool
		ready  bool
	}{
		"fresh":                             {View{At: now}, fresh, false, true},
		"fresh but the fold is broken":      {View{At: now}, broken, false, false},
		"never confirmed":                   {View{At: now}, journal.Status{Stream: "config"}, true, false},
		"fresh but the view is old":         {View{At: ago(3 * s)}, fresh, false, false},
		"no log, no peer":                   {View{At: now}, old, false, false},
		"no log, never a peer":              {View{At: now}, old, true, true},
		"alone, was just frozen":            {View{At: now, ResumedAt: ago(s)}, old, true, false},
		"alone, was frozen, log still down": {View{At: now, ResumedAt: ago(6 * s)}, old, true, true},
		"outage, the only peer agrees":      {View{At: now, ExpectedLinks: 1, Peers: map[fleet.DaemonID]Peer{"a": withoutLog}}, old, false, true},
		"outage, minority":                  {View{At: now, ExpectedLinks: 4, Peers: map[fleet.DaemonID]Peer{"a": withoutLog}}, old, false, false},
		"outage, half of the daemons":       {View{At: now, ExpectedLinks: 3, Peers: map[fleet.DaemonID]Peer{"a": withoutLog}}, old, false, false},
		"a peer is ahead":                   {View{At: now, ExpectedLinks: 1, Peers: map[fleet.DaemonID]Peer{"a": peer(0, 0, time.Minute, 6)}}, old, false, false},
		"a peer can reach the log":          {View{At: now, ExpectedLinks: 1, Peers: map[fleet.DaemonID]Peer{"a": peer(0, 0, s, 5)}}, old, false, false},
		"peer's heartbeat is old":           {View{At: now, ExpectedLinks: 1, Peers: map[fleet.DaemonID]Peer{"a": peer(3*s, 3*s, time.Minute, 5)}}, old, false, false},
		"peer does not receive ours":        {View{At: now, ExpectedLinks: 1, Peers: map[fleet.DaemonID]Peer{"a": peer(0, 3*s, time.Minute, 5)}}, old, false, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			ready, reason := Readiness(now, test.view, []journal.Status{test.status}, !test.alone, ReadinessPolicy{})
			assert.Equal(t, ready, test.ready, reason)
			assert.Equal(t, reason == "", ready)
		})
	}
}

func apply(t *testing.T, r *Registry, at journal.Offset, kind journal.Kind, body any) journal.Verdict {
	data, err := wireCodec.enc.Marshal(body)
	assert.NilError(t, err)
	v, err := r.Apply(at, journal.Record{Kind: kind, Body: data})
	assert.NilError(t, err)
	return v
}

func TestRegistry(t *testing.T) {
	r := NewRegistry()
	hello := func(at journal.Offset, id fleet.DaemonID, address string, inc uint64) bool {
		return apply(t, r, at, KindHello, Hello{Daemon: id, Address: address, Zone: "z", Incarnation: inc}).Accepted
	}
	assert.Assert(t, hello(1, "a", "x:1", 1))
	assert.Assert(t, hello(2, "b", "y:1", 1))
	assert.Assert(t, hello(3, "a2", "x:1", 2), "a successor takes over the address")
	assert.Assert(t, !hello(4, "a", "x:1", 1), "a predecessor does not get it back")
	assert.Assert(t, !hello(5, "", "x:1", 9))
	assert.Equal(t, len(r.Daemons()), 2)
	assert.Assert(t, apply(t, r, 6, KindGoodbye, Goodbye{Daemon: "b"}).Accepted)
	assert.Assert(t, !apply(t, r, 7, KindGoodbye, Goodbye{Daemon: "b"}).Accepted)
	v, err := r.Apply(8, journal.Record{Kind: KindHello, Body: []byte{0xff}})
	assert.NilError(t, err)
	assert.Assert(t, !v.Accepted, "a malformed record is rejected")

	data, err := r.Snapshot()
	assert.NilError(t, err)
	other := NewRegistry()
	assert.NilError(t, other.Restore(data))
	again, err := other.Snapshot()
	assert.NilError(t, err)
	assert.Assert(t, bytes.Equal(data, again))
	assert.Assert(t, other.Restore([]byte("no")) != nil)
	assert.DeepEqual(t, other.Daemons(), r.Daemons())

	assert.Assert(t, hello(3+maxHelloAge+1, "c", "z:1", 1), "the other hellos have expired")
	assert.Equal(t, len(r.Daemons()), 1)
}

func TestRegistryIsBounded(t *testing.T) {
	t.Parallel()
	r := NewRegistry()
	for i := range maxHellos + 10 {
		id := fleet.DaemonID(string(rune('a'+i%26)) + time.Duration(i).String())
		apply(t, r, journal.Offset(i), KindHello, Hello{Daemon: id, Address: string(id), Incarnation: 1})
	}
	assert.Equal(t, len(r.Daemons()), maxHellos)
}

// A link that opens later gets earlier broadcast items, with their age.
func TestBroadcastAgeAccumulatesAcrossHops(t *testing.T) {
	author, forwarder := newGossipBuffer(true), newGossipBuffer(true)
	author.addBroadcasts(epoch, "", []Broadcast{{Key: "x", Version: 1}})
	items := author.itemsAfter(epoch.Add(3*time.Second), 0, "p1")
	assert.Equal(t, items.Broadcasts[0].Age(), 3*time.Second)
	fresh, _ := forwarder.addBroadcasts(epoch.Add(4*time.Second), "p0", items.Broadcasts)
	assert.Equal(t, fresh[0].Age(), 3*time.Second)
	items = forwarder.itemsAfter(epoch.Add(6*time.Second), 0, "p2")
	assert.Equal(t, items.Broadcasts[0].Age(), 5*time.Second, "the time at each daemon is included")
	forwarder.expire(epoch.Add(gossipRetention + 2*time.Second))
	assert.Equal(t, len(forwarder.broadcasts), 0, "it expires everywhere at the same time")
}

// Broadcast items cross each link once, the newest of a key wins, and those of
// peers are forwarded except in a full mesh.
func TestBroadcasts(t *testing.T) {
	for _, forwards := range []bool{false, true} {
		b := newGossipBuffer(forwards)
		b.addBroadcasts(epoch, "", []Broadcast{{Key: "own", Version: 2}})
		fresh, _ := b.addBroadcasts(epoch, "p1", []Broadcast{{Key: "own", Version: 1}, {Key: "x", Version: 5}, {Key: "x", Version: 5}})
		assert.Equal(t, len(fresh), 1)
		n := b.itemsAfter(epoch, 0, "p2")
		assert.Equal(t, len(n.Broadcasts), map[bool]int{false: 1, true: 2}[forwards])
		assert.Assert(t, b.itemsAfter(epoch, b.lastNumber, "p2") == nil)
		n = b.itemsAfter(epoch, 0, "p1")
		assert.Equal(t, len(n.Broadcasts), 1, "nothing is sent back to its sender")
		fresh, _ = b.addBroadcasts(epoch, "p1", []Broadcast{{Key: "x", Version: 6}})
		assert.Equal(t, len(fresh), 1)
		b.expire(epoch.Add(gossipRetention))
		assert.Equal(t, len(b.broadcasts), 0)
	}
}

// Daemons are replaced one after the other in an upgrade. The survivals of a request
// must outlast the daemon that saw them, like the deaths, or a daemon that has just
// started convicts a request that has run soundly everywhere.
func TestDaemonThatStartedLaterKnewDeathsOnly(t *testing.T) {
	b := newGossipBuffer(false)
	fromPeer := &gossipMessage{Sightings: []sightingItem{{ID: [16]byte{1}}}, Acquittals: []acquittalItem{{ID: [16]byte{2}}}}
	_, sightings, acquittals := b.addFromPeer(epoch, "p1", fromPeer)
	assert.Equal(t, len(sightings)+len(acquittals), 2)
	m := b.itemsAfter(epoch.Add(time.Second), 0, "p3")
	assert.Equal(t, len(m.Sightings), 1)
	assert.Equal(t, len(m.Acquittals), 1)
	assert.Equal(t, m.Acquittals[0].AgeMilli, uint64(1000))
	assert.Assert(t, b.itemsAfter(epoch, 0, "p1") == nil, "nothing is sent back to its sender")
	_, _, acquittals = b.addFromPeer(epoch, "p2", fromPeer)
	assert.Equal(t, len(acquittals), 0, "it is known already")
	before := b.lastNumber
	b.addFromPeer(epoch, "p1", &gossipMessage{Acquittals: []acquittalItem{{ID: [16]byte{3}}}})
	assert.Assert(t, b.itemsAfter(epoch, before, "p3") == nil, "links that were open got it from its daemon")
	for i := range maxGossipItems {
		b.addFromPeer(epoch, "p1", &gossipMessage{Acquittals: []acquittalItem{{ID: [16]byte{4, byte(i), byte(i >> 8)}}}})
	}
	assert.Assert(t, b.addAcquittal(suspect.Acquittal{ID: [16]byte{5}, At: epoch}, ""))
	assert.Equal(t, len(b.itemsAfter(epoch, b.lastNumber-1, "p3").Acquittals), 1, "its own have room")
	b.expire(epoch.Add(evidenceRetention))
	assert.Equal(t, len(b.acquittals), 0)
}
