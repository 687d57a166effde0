// Package membership keeps the daemons' view of each other: heartbeats with
// incarnations over WebSocket and CBOR, and the relay of log records to peers
// that have lost the log.
package membership

import (
	"time"

	"carawayproxy.example/caraway/internal/fleet"
	"carawayproxy.example/caraway/internal/journal"
	"carawayproxy.example/caraway/internal/lease"
	"carawayproxy.example/caraway/internal/suspect"
)

// Heartbeat is what a daemon tells each linked peer at every beat. From,
// Address, Zone and Incarnation cross a link once, Leaving and Sightings once
// for each item, Reports as far as they changed; the receiver fills in the
// former and hands the latter to Config.OnLeaving, OnSightings and OnReports.
type Heartbeat struct {
	From           fleet.DaemonID                    `cbor:"1,keyasint"`
	Address        string                            `cbor:"2,keyasint"` // of its peer listener
	Zone           fleet.Zone                        `cbor:"3,keyasint"`
	Incarnation    uint64                            `cbor:"4,keyasint"`
	Sequence       uint64                            `cbor:"5,keyasint"`
	Ready          bool                              `cbor:"6,keyasint"`
	Draining       bool                              `cbor:"7,keyasint"`
	ConfigRevision uint64                            `cbor:"8,keyasint"`
	Streams        map[journal.Stream]StreamPosition `cbor:"9,keyasint"`
	// InFlight counts the sender's own requests on each group.
	InFlight map[fleet.GroupID]uint32 `cbor:"10,keyasint,omitempty"`
	// Leaving lists instances that the sender knows to be leaving.
	Leaving []fleet.InstanceID `cbor:"11,keyasint,omitempty"`
	// Sightings are group deaths that the sender saw lately.
	Sightings []suspect.Sighting `cbor:"12,keyasint,omitempty"`
	// Reports are the newest of the sender's own polls of backend servers. Each
	// crosses a link once. ReceivedAt is when it was asked for.
	Reports []fleet.Report `cbor:"-"`
	// Silent are the instances that do not answer the sender's polls. Each
	// crosses a link once for as long as it stays silent.
	Silent []fleet.InstanceID `cbor:"-"`
	// Stalled are the groups at which none of the sender's streams moves. Each
	// crosses a link once for as long as it stays so.
	Stalled []fleet.GroupID `cbor:"-"`
	// Leads is set while the sender does the control work of a scope that it
	// holds, Reads while it follows the platform's list and posts what it finds
	// there.
	Leads bool `cbor:"-"`
	Reads bool `cbor:"-"`
	// Processors is how many cores the sender may use.
	Processors float64 `cbor:"-"`
	// Renewed is what the sender tells of its hold on that scope.
	Renewed lease.Renewal `cbor:"-"`
	// StoreAway is set while the platform's store does not answer the sender.
	StoreAway bool `cbor:"-"`
}

// StreamPosition is how far a daemon has folded a stream.
type StreamPosition struct {
	Next journal.Offset `cbor:"1,keyasint"`
	// ConfirmedAgeMilli is the age of the log's last confirmation when the
	// heartbeat was sent, negative for never.
	ConfirmedAgeMilli int64 `cbor:"2,keyasint"`
}

// Bulletin is news of one key that crosses every link once. Of two of a key the
// one with the higher version counts.
type Bulletin struct {
	Key     string `cbor:"1,keyasint"`
	Version uint64 `cbor:"2,keyasint"`
	Body    []byte `cbor:"3,keyasint"`
	// AgeMilli is for how long it has been known when it is sent or heard: a
	// link that comes later gets what was posted before.
	AgeMilli uint64 `cbor:"4,keyasint,omitempty"`
}

// Age is AgeMilli as a duration.
func (b Bulletin) Age() time.Duration { return duration(b.AgeMilli) }

// Echo tells the receiver of a heartbeat which of its own heartbeats the
// sender heard last on the same link. It bounds from below when the heartbeat
// was sent, however long it lay in a buffer, and it shows that the sender
// hears the receiver.
type Echo struct {
	Sequence  uint64 `cbor:"1,keyasint,omitempty"` // zero for none yet
	HeldMilli uint64 `cbor:"2,keyasint,omitempty"` // since it was heard
}

// Peer is another daemon as this one sees it.
type Peer struct {
	Heartbeat Heartbeat
	HeardAt   time.Time // local, monotonic
	// SentAt is a moment on the local clock before which the heartbeat was
	// surely not sent. Zero until the peer has echoed a heartbeat of ours.
	SentAt time.Time
	// HeardUsAt is when the heartbeat that the peer last heard of us reached
	// it at the earliest, on the local clock.
	HeardUsAt time.Time
	// Alive: at the time of the view, SentAt and HeardUsAt were within the
	// bound.
	Alive bool
	// Departing: the peer has told of its planned stop.
	Departing bool
}

// View is an immutable state of the membership.
type View struct {
	At    time.Time // when it was made
	Peers map[fleet.DaemonID]Peer
	// ResumedAt is when the daemon last found that it had stood still for
	// longer than a peer's heartbeat counts. Zero for never.
	ResumedAt time.Time
	// Wanted is how many links the daemon would have if every daemon that it
	// knows of were there.
	Wanted int
	// Leaving lists instances that peers lately told to be leaving.
	Leaving []fleet.InstanceID
}

// AliveAt returns how many peers were heard, and have shown that they hear this
// daemon, within bound before now. It does not trust the view's own age.
func (v View) AliveAt(now time.Time, bound time.Duration) int {
	n := 0
	for _, p := range v.Peers {
		if p.freshAt(now, bound) {
			n++
		}
	}
	return n
}

func (p Peer) freshAt(now time.Time, bound time.Duration) bool {
	return !p.HeardUsAt.IsZero() && now.Sub(p.SentAt) <= bound && now.Sub(p.HeardUsAt) <= bound
}

// Source gives what the next heartbeat tells.
type Source interface {
	Heartbeat() Heartbeat
}
