package membership

import (
	"context"
	"net"
	"time"

	"github.com/rcrowley/go-metrics"

	"carawayproxy.example/caraway/internal/event"
	"carawayproxy.example/caraway/internal/fleet"
	"carawayproxy.example/caraway/internal/journal"
	"carawayproxy.example/caraway/internal/suspect"
)

// Relay is the part of a stream's replica that the mesh reads and writes.
type Relay interface {
	Status() journal.Status
	// Entries returns at most limit entries from an offset on, none if the
	// replica no longer holds that offset.
	Entries(from journal.Offset, limit int) []journal.Entry
	// FoldRelayed adds entries and returns the first offset that is not folded.
	FoldRelayed([]journal.Entry) journal.Offset
	// Confirm records that every record that was in the log at the given time
	// has an offset below next.
	Confirm(next journal.Offset, at time.Time)
	Export() (journal.State, error)
}

// Defaults of Config.
const (
	DefaultHeartbeatInterval = 500 * time.Millisecond
	DefaultAliveFor          = 2 * time.Second
	DefaultMaxLinks          = 1500
)

const (
	// dialTimeout bounds a dial including its handshake.
	dialTimeout = 2 * time.Second
	// redialMin and redialMax bound the backoff between dials of one address.
	redialMin = 250 * time.Millisecond
	redialMax = 4 * time.Second
	// writeTimeout bounds the sending of one message.
	writeTimeout = 2 * time.Second
	// requestTimeout bounds one request to one peer.
	requestTimeout = 2 * time.Second
	// gossipRetention is how long gossip items are forwarded.
	gossipRetention = 30 * time.Second
	// evidenceRetention is how long sightings and acquittals are sent to new
	// links, so that a daemon that starts learns of recent deaths.
	evidenceRetention = 5 * time.Minute
	// peerRetention is how long a peer without heartbeats stays in the view.
	peerRetention = 10 * time.Minute
	// relayDelay is how long a daemon that can read the log lags behind a peer
	// before it fetches records from peers.
	relayDelay = 300 * time.Millisecond
	// logTimeout is how long the log may be silent before records are fetched
	// from peers without delay.
	logTimeout = 2 * time.Second
)

// Config configures a Mesh.
type Config struct {
	Self    fleet.DaemonID
	Address string // of the peer listener, "ip:port"
	Zone    fleet.Zone
	// Processors is the number of cores that this daemon may use.
	Processors  float64
	Incarnation uint64
	// TunnelKey is sent to each peer when a link opens; see Heartbeat.TunnelKey.
	TunnelKey string
	Source    Source
	// Dial opens a connection to a peer's address.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// Replicas are the streams to relay.
	Replicas map[journal.Stream]Relay
	// Loads returns the number of the daemon's own requests on each group, as in
	// heartbeats. Changes are sent within a fifth of the heartbeat interval; if
	// nil, they are sent with heartbeats only.
	Loads func() map[fleet.GroupID]uint32
	// OnSightings, OnAcquittals and OnLeaving receive each item once, except that
	// an acquittal may be received again over a new link. They may be nil and must
	// not block.
	OnSightings  func([]suspect.Sighting)
	OnAcquittals func([]suspect.Acquittal)
	OnLeaving    func([]fleet.InstanceID)
	// OnReports receives the reports that a peer polled. It may be nil and must
	// not block. ReceivedAt of each report is a lower bound on the local clock
	// for when the peer requested it.
	OnReports func([]fleet.Report)
	// OnUnresponsive receives the instances that have stopped answering a
	// peer's polls. It may be nil and must not block.
	OnUnresponsive func([]fleet.InstanceID)
	// OnBroadcasts receives each broadcast item of a peer once. It may be nil
	// and must not block.
	OnBroadcasts func([]Broadcast)
	// ListPosition returns how far this daemon's broadcasts cover the list of backend
	// servers or, if relayed is set, those of all daemons that it has received; nil if
	// it is not known. OnListPosition receives such a position of a peer, after the
	// broadcasts, and as of when the list certainly ended there or later. They may be
	// nil and must not block.
	ListPosition   func(relayed bool) *ListPosition
	OnListPosition func(p ListPosition, asOf time.Time)
	// OnEvacuations receives what a peer knows of evacuations with each heartbeat. It may
	// be nil and must not block.
	OnEvacuations func(Evacuations)
	// OnStalled receives the groups at which a peer's streams have stalled. It
	// may be nil and must not block.
	OnStalled func([]fleet.GroupID)
	Events    *event.Logger
	Metrics   metrics.Registry // nil for none
	// Policy chooses the peers to dial; FullMesh if nil.
	Policy LinkPolicy
	// HeartbeatInterval is the time between heartbeats;
	// DefaultHeartbeatInterval if zero.
	HeartbeatInterval time.Duration
	// AliveFor is how long a peer counts as alive after a heartbeat;
	// DefaultAliveFor if zero. A link without messages for twice as long is
	// closed.
	AliveFor time.Duration
	// MaxLinks bounds the number of links, incoming and outgoing together;
	// DefaultMaxLinks if zero.
	MaxLinks int
}

func (c Config) withDefaults() Config {
	if c.HeartbeatInterval == 0 {
		c.HeartbeatInterval = DefaultHeartbeatInterval
	}
	if c.AliveFor == 0 {
		c.AliveFor = DefaultAliveFor
	}
	if c.MaxLinks == 0 {
		c.MaxLinks = DefaultMaxLinks
	}
	if c.Policy == nil {
		c.Policy = FullMesh{}
	}
	if c.Metrics == nil {
		c.Metrics = metrics.NewRegistry()
	}
	if c.Dial == nil {
		c.Dial = (&net.Dialer{}).DialContext
	}
	return c
}

// meters holds the mesh's metrics.
type meters struct {
	bytesSent, bytesReceived       metrics.Counter
	messagesSent, messagesReceived metrics.Counter
	relayed, dropped               metrics.Counter
	links, alive                   metrics.Gauge
}

func newMeters(r metrics.Registry) meters {
	return meters{
		bytesSent:        metrics.GetOrRegisterCounter("membership.bytes_sent", r),
		bytesReceived:    metrics.GetOrRegisterCounter("membership.bytes_received", r),
		messagesSent:     metrics.GetOrRegisterCounter("membership.messages_sent", r),
		messagesReceived: metrics.GetOrRegisterCounter("membership.messages_received", r),
		relayed:          metrics.GetOrRegisterCounter("membership.entries_relayed", r),
		dropped:          metrics.GetOrRegisterCounter("membership.messages_dropped", r),
		links:            metrics.GetOrRegisterGauge("membership.links", r),
		alive:            metrics.GetOrRegisterGauge("membership.peers_alive", r),
	}
}
