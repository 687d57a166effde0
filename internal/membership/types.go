// Package membership keeps the daemons' view of each other: heartbeats with
// incarnations over WebSocket and CBOR, and the relay of log records to peers
// that have lost the log.
package membership

import (
	"time"

	"carawayproxy.example/caraway/internal/fleet"
	"carawayproxy.example/caraway/internal/journal"
	"carawayproxy.example/caraway/internal/suspect"
)

// Heartbeat is what a daemon tells each linked peer at every beat.
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
}

// StreamPosition is how far a daemon has folded a stream.
type StreamPosition struct {
	Next journal.Offset `cbor:"1,keyasint"`
	// ConfirmedAgeMilli is the age of the log's last confirmation when the
	// heartbeat was sent, negative for never.
	ConfirmedAgeMilli int64 `cbor:"2,keyasint"`
}

// Peer is another daemon as this one sees it.
type Peer struct {
	Heartbeat Heartbeat
	HeardAt   time.Time // local, monotonic
	Alive     bool      // heard within the bound
}

// View is an immutable state of the membership.
type View struct {
	Peers map[fleet.DaemonID]Peer
}

// Source gives what the next heartbeat tells.
type Source interface {
	Heartbeat() Heartbeat
}
