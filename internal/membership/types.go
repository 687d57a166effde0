// Package membership maintains the daemons' view of each other. Daemons exchange
// heartbeats with incarnations as CBOR over WebSocket, and relay log records to
// peers that have lost the log.
package membership

import (
	"time"

	"carawayproxy.example/caraway/internal/fleet"
	"carawayproxy.example/caraway/internal/journal"
	"carawayproxy.example/caraway/internal/lease"
	"carawayproxy.example/caraway/internal/suspect"
)

// Heartbeat is the state that a daemon sends to each linked peer at every
// heartbeat. From, Address, Zone, Incarnation and TunnelKey are sent once on a link, each
// item of Leaving and Sightings once, and Reports only as far as they changed.
// The receiver fills in the first four, and passes the others to
// Config.OnLeaving, OnSightings and OnReports.
type Heartbeat struct {
	From           fleet.DaemonID                    `cbor:"1,keyasint"`
	Address        string                            `cbor:"2,keyasint"` // of the peer listener
	Zone           fleet.Zone                        `cbor:"3,keyasint"`
	Incarnation    uint64                            `cbor:"4,keyasint"`
	Sequence       uint64                            `cbor:"5,keyasint"`
	Ready          bool                              `cbor:"6,keyasint"`
	Draining       bool                              `cbor:"7,keyasint"`
	ConfigRevision uint64                            `cbor:"8,keyasint"`
	Streams        map[journal.Stream]StreamPosition `cbor:"9,keyasint"`
	// InFlight is the number of the sender's own requests on each group. Receivers
	// find it in Mesh.PeerInFlight rather than here.
	InFlight map[fleet.GroupID]uint32 `cbor:"10,keyasint,omitempty"`
	// Leaving lists the instances that the sender knows to be leaving.
	Leaving []fleet.InstanceID `cbor:"11,keyasint,omitempty"`
	// Sightings are the group deaths that the sender observed recently.
	Sightings []suspect.Sighting `cbor:"12,keyasint,omitempty"`
	// Acquittals are the survivals of requests in flight at deaths that the
	// sender observed recently.
	Acquittals []suspect.Acquittal `cbor:"-"`
	// Reports are the latest results of the sender's own polls of backend
	// servers. Each is sent once on a link. ReceivedAt is when the report was
	// requested.
	Reports []fleet.Report `cbor:"-"`
	// Unresponsive lists the instances that do not answer the sender's polls.
	// Each is sent once on a link while it remains unresponsive.
	Unresponsive []fleet.InstanceID `cbor:"-"`
	// Stalled lists the groups at which none of the sender's streams makes
	// progress. Each is sent once on a link while it remains stalled.
	Stalled []fleet.GroupID `cbor:"-"`
	// HoldsScope is set while the sender does the control work of a scope that
	// it holds. IsReader is set while it follows the platform's list and
	// broadcasts the changes.
	HoldsScope bool `cbor:"-"`
	IsReader   bool `cbor:"-"`
	// Processors is the number of cores that the sender may use.
	Processors float64 `cbor:"-"`
	// Work is the mean number of replica groups that the requests of the
	// sender's callers keep busy, by service. WorkRequests is the number of
	// requests that it has been measured on.
	Work         map[fleet.ServiceName]float64 `cbor:"-"`
	WorkRequests uint64                        `cbor:"-"`
	// Renewal is the sender's latest renewal of its lease on the scope.
	Renewal lease.Renewal `cbor:"-"`
	// StoreUnavailable is set while the sender can't reach the platform's store.
	StoreUnavailable bool `cbor:"-"`
	// LinksLost is set while the sender can't reach the backend servers directly.
	LinksLost bool `cbor:"-"`
	// TunnelKey admits the receiver's tunnels to the sender; sent once on a link.
	TunnelKey string `cbor:"-"`
	// Daemons is the number of daemons that the sender hears, with itself. The mesh
	// fills it in.
	Daemons int `cbor:"-"`
	// DocumentReadAge is how long ago the sender read the routing document of
	// ConfigRevision and found no newer one, negative if it has not lately.
	DocumentReadAge time.Duration `cbor:"-"`
	// Evacuations is what the sender knows of evacuations, nil for nothing. Releases until
	// 11da555 do not send it.
	Evacuations *Evacuations `cbor:"-"`
}

// Evacuations is the availability zones that the operator evacuates, as of position Next
// of the operator's records.
type Evacuations struct {
	Era   uint64       `cbor:"1,keyasint,omitempty"`
	Next  uint64       `cbor:"2,keyasint,omitempty"`
	Zones []fleet.Zone `cbor:"3,keyasint,omitempty"`
	// Document is the newest version of the routing document among the records before
	// position DocumentNext, zero if the sender has none.
	Document     uint64 `cbor:"4,keyasint,omitempty"`
	DocumentEra  uint64 `cbor:"5,keyasint,omitempty"`
	DocumentNext uint64 `cbor:"6,keyasint,omitempty"`
}

// ListPosition tells that all changes of the list of backend servers from position
// Since up to Next were broadcast, and that the list ended at Next or later some time
// ago.
type ListPosition struct {
	Since uint64 `cbor:"1,keyasint,omitempty"`
	Next  uint64 `cbor:"2,keyasint,omitempty"`
	// AgeMilli is that time in milliseconds when the position is sent.
	AgeMilli uint64 `cbor:"3,keyasint,omitempty"`
	// Era is that of the store in which both positions were given out, zero if it names
	// none. Releases until ff36b26 do not send it.
	Era uint64 `cbor:"4,keyasint,omitempty"`
}

// Age returns AgeMilli as a duration, at most a day.
func (p ListPosition) Age() time.Duration { return boundedMillis(p.AgeMilli) }

// StreamPosition is how far a daemon has folded a stream.
type StreamPosition struct {
	Next journal.Offset `cbor:"1,keyasint"`
	// ConfirmedAgeMilli is the age in milliseconds of the log's last confirmation
	// when the heartbeat was sent, negative if there was none.
	ConfirmedAgeMilli int64 `cbor:"2,keyasint"`
}

// Broadcast is a keyed item that is broadcast to all daemons. It crosses every
// link once. Of two items with the same key, that of the later era wins, and of one era
// the one with the higher version.
type Broadcast struct {
	Key     string `cbor:"1,keyasint"`
	Version uint64 `cbor:"2,keyasint"`
	Body    []byte `cbor:"3,keyasint"`
	// AgeMilli is the age in milliseconds when the item is sent or received.
	// Links that open later get earlier items, too.
	AgeMilli uint64 `cbor:"4,keyasint,omitempty"`
	// Era is that of the store in which the version was given out, zero for versions of
	// other origin. Releases until ff36b26 do not send it, and drop it from what they
	// pass on.
	Era uint64 `cbor:"5,keyasint,omitempty"`
}

// replaces reports whether b is newer than another item of its key.
func (b *Broadcast) replaces(other *Broadcast) bool {
	return b.Era > other.Era || b.Era == other.Era && b.Version > other.Version
}

// Age returns AgeMilli as a duration, at most a day.
func (b Broadcast) Age() time.Duration { return boundedMillis(b.AgeMilli) }

// Echo identifies the receiver's own heartbeat that the sender of a heartbeat
// received last on the same link. It gives a lower bound for when the heartbeat
// was sent, however long it was buffered, and shows that the sender receives the
// receiver's heartbeats.
type Echo struct {
	Sequence  uint64 `cbor:"1,keyasint,omitempty"` // zero if none was received yet
	HeldMilli uint64 `cbor:"2,keyasint,omitempty"` // time since it was received
}

// Peer is another daemon as seen by this one.
type Peer struct {
	Heartbeat  Heartbeat
	ReceivedAt time.Time // local, monotonic
	// SentAt is a lower bound on the local clock for when the heartbeat was sent.
	// Zero until the peer has echoed one of this daemon's heartbeats.
	SentAt time.Time
	// AckedAt is a lower bound on the local clock for when the peer received the
	// last of this daemon's heartbeats that it has echoed.
	AckedAt time.Time
	// Alive is set if SentAt and AckedAt were within AliveFor when the view was
	// built.
	Alive bool
	// Departing is set after the peer has announced its planned stop.
	Departing bool
}

// View is an immutable snapshot of the membership.
type View struct {
	At    time.Time // when it was built
	Peers map[fleet.DaemonID]Peer
	// ResumedAt is when the daemon last noticed that it had been frozen for
	// longer than AliveFor. Zero for never.
	ResumedAt time.Time
	// ExpectedLinks is the number of links that the daemon would have if every
	// known daemon were running.
	ExpectedLinks int
	// Leaving lists the instances that daemons recently reported as leaving.
	Leaving []fleet.InstanceID
}

// AliveAt returns the number of peers whose heartbeat was sent, and that received
// a heartbeat of this daemon, within bound before now. It does not depend on the
// age of the view.
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
	return !p.AckedAt.IsZero() && now.Sub(p.SentAt) <= bound && now.Sub(p.AckedAt) <= bound
}

// Source provides the content of the next heartbeat.
type Source interface {
	Heartbeat() Heartbeat
}
