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

// Relay is the part of a stream's replica that the mesh feeds and reads.
type Relay interface {
	Status() journal.Status
	// Entries returns entries from an offset on, none when it holds none.
	Entries(from journal.Offset, limit int) []journal.Entry
	// Offer takes entries in and returns the first offset not folded.
	Offer([]journal.Entry) journal.Offset
	// Confirm tells that every record that was in the log at the moment has
	// an offset below next.
	Confirm(next journal.Offset, at time.Time)
	Export() (journal.State, error)
}

// Default timings and bounds of a mesh.
const (
	DefaultBeat     = 500 * time.Millisecond
	DefaultAliveFor = 2 * time.Second
	DefaultMaxLinks = 1500
)

const (
	// dialTimeout bounds a dial with its handshake.
	dialTimeout = 2 * time.Second
	// redialMin and redialMax bound the pause between dials of one address.
	redialMin = 250 * time.Millisecond
	redialMax = 4 * time.Second
	// writeTimeout bounds the sending of one message.
	writeTimeout = 2 * time.Second
	// requestTimeout bounds one request to one peer.
	requestTimeout = 2 * time.Second
	// newsFor is how long sightings and leaving instances are passed on.
	newsFor = 30 * time.Second
	// forgetAfter is how long a silent peer stays in the view.
	forgetAfter = 10 * time.Minute
	// relayPatience is how long a daemon that reads the log waits before it
	// takes records from peers.
	relayPatience = 300 * time.Millisecond
	// logSilence is how long the log may be silent before records are taken
	// from peers at once.
	logSilence = 2 * time.Second
)

// Config sets up a Mesh.
type Config struct {
	Self        fleet.DaemonID
	Address     string // of the own peer listener, "ip:port"
	Zone        fleet.Zone
	Incarnation uint64
	Source      Source
	// Dial opens a connection to a peer's address.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// Replicas are the streams to relay.
	Replicas map[journal.Stream]Relay
	// Loads counts the own requests on each group, as heartbeats do. Changes are
	// told within a fifth of a beat; nil for with heartbeats only.
	Loads func() map[fleet.GroupID]uint32
	// OnSightings and OnLeaving receive each item once; nil for none. They
	// must not block.
	OnSightings func([]suspect.Sighting)
	OnLeaving   func([]fleet.InstanceID)
	// OnReports receives the reports that a peer polled; nil for none. It must
	// not block. ReceivedAt of each is a moment on the own clock before which
	// the peer surely did not ask for it.
	OnReports func([]fleet.Report)
	// OnSilent receives the instances whose polls by a peer began to fail; nil
	// for none. It must not block.
	OnSilent func([]fleet.InstanceID)
	// OnBulletins receives each of peers' bulletins once; nil for none. It must
	// not block.
	OnBulletins func([]Bulletin)
	// OnStalled receives the groups at which a peer's streams have stopped; nil
	// for none. It must not block.
	OnStalled func([]fleet.GroupID)
	Events    *event.Logger
	Metrics   metrics.Registry // nil for none
	// Policy chooses the peers to dial, FullMesh when nil.
	Policy LinkPolicy
	// Beat is the time between heartbeats, DefaultBeat when zero.
	Beat time.Duration
	// AliveFor is how long a peer counts as alive after a heartbeat,
	// DefaultAliveFor when zero. A link that is silent for twice as long is
	// dropped.
	AliveFor time.Duration
	// MaxLinks bounds the links in either direction, DefaultMaxLinks when
	// zero.
	MaxLinks int
}

func (c Config) withDefaults() Config {
	if c.Beat == 0 {
		c.Beat = DefaultBeat
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

// meters are the mesh's counts.
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
