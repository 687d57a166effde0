package membership

import (
	"context"
	"sync"
	"time"

	"github.com/coder/websocket"
	"github.com/pkg/errors"

	"carawayproxy.example/caraway/internal/fleet"
)

const (
	// linkQueue bounds the messages that wait to be sent on a link.
	linkQueue = 64
	// sentKept is how many of the last heartbeats' times a link remembers,
	// to read echoes.
	sentKept = 64
)

// link is an open connection to one peer.
type link struct {
	conn   *websocket.Conn
	peer   helloMessage
	dialed bool // by this daemon
	out    chan []byte
	cancel context.CancelCauseFunc
	meters *meters

	mu       sync.Mutex
	heardAt  time.Time
	heardSeq uint64
	sent     [sentKept]sentBeat
	newsSent uint64 // number of the last item sent

	numbering *numbering // of names sent, used by one goroutine at a time
	names     names      // received, used by the reader only
	// reportsSent and reportsHeard are the last of each instance, silentSent
	// the instances last named as silent, by the same goroutines.
	reportsSent  map[fleet.InstanceID]fleet.Report
	reportsHeard map[uint32]fleet.Report
	silentSent   map[fleet.InstanceID]bool
	stalledSent  map[fleet.GroupID]bool
	loadSent     map[fleet.GroupID]uint32
}

// errCongested ends a link whose peer does not read.
var errCongested = errors.New("too many messages wait for the peer")

type sentBeat struct {
	sequence uint64
	at       time.Time
}

func newLink(conn *websocket.Conn, peer helloMessage, dialed bool, meters *meters) *link {
	return &link{
		conn: conn, peer: peer, dialed: dialed, meters: meters,
		out:     make(chan []byte, linkQueue),
		heardAt: time.Now(),

		numbering:    newNumbering(),
		reportsSent:  map[fleet.InstanceID]fleet.Report{},
		silentSent:   map[fleet.InstanceID]bool{},
		stalledSent:  map[fleet.GroupID]bool{},
		loadSent:     map[fleet.GroupID]uint32{},
		reportsHeard: map[uint32]fleet.Report{},
	}
}

// send queues a message; it reports whether there was room.
func (l *link) send(frame []byte) bool {
	select {
	case l.out <- frame:
		return true
	default:
		l.meters.dropped.Inc(1)
		return false
	}
}

// sendLoad queues the counts that have changed since the last message, if any.
// Groups without a number yet wait for the next heartbeat.
func (l *link) sendLoad(inFlight map[fleet.GroupID]uint32) error {
	var b loadMessage
	for group, count := range inFlight {
		if i, known := l.numbering.numbers[string(group)]; known && l.loadSent[group] != count {
			b.InFlight = append(b.InFlight, i, count)
		}
	}
	for group, count := range l.loadSent {
		if _, still := inFlight[group]; !still && count > 0 {
			b.InFlight = append(b.InFlight, l.numbering.numbers[string(group)], 0)
		}
	}
	if len(b.InFlight) == 0 {
		return nil
	}
	l.loadSent = inFlight
	frame, err := encode(&b)
	if err != nil {
		return err
	}
	if !l.send(frame) {
		return errCongested
	}
	return nil
}

// sendBeat queues a heartbeat with the link's echo. After an error the link is
// no longer of use: the peer would miss names.
func (l *link) sendBeat(now time.Time, h Heartbeat) error {
	b := beatMessage{
		Echo: l.echo(now), Sequence: h.Sequence, Ready: h.Ready, Draining: h.Draining,
		ConfigRevision: h.ConfigRevision, Leads: h.Leads, Reads: h.Reads,
		Renewed: h.Renewed, StoreAway: h.StoreAway, Processors: h.Processors,
	}
	l.numbering.packReports(&b, now, h.Reports, l.reportsSent)
	b.Silent = packNew(l.numbering, h.Silent, l.silentSent)
	b.Stalled = packNew(l.numbering, h.Stalled, l.stalledSent)
	l.numbering.pack(&b, h.Streams, h.InFlight)
	l.loadSent = h.InFlight
	frame, err := encode(&b)
	if err != nil {
		return err
	}
	l.noteSent(now, b.Sequence)
	if !l.send(frame) {
		return errCongested
	}
	return nil
}

func (l *link) echo(now time.Time) Echo {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.heardSeq == 0 {
		return Echo{}
	}
	// Rounded down, so that the receiver's bound stays a lower one.
	return Echo{Sequence: l.heardSeq, HeldMilli: uint64(now.Sub(l.heardAt) / time.Millisecond)}
}

func (l *link) noteSent(now time.Time, sequence uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sent[sequence%sentKept] = sentBeat{sequence: sequence, at: now}
}

// evidence is what the echo of a heartbeat shows, both zero for nothing.
type evidence struct {
	sentAt    time.Time // the heartbeat was not sent before
	heardUsAt time.Time // the one of ours that it echoes did not arrive before
}

// heard notes a heartbeat and returns what its echo shows.
func (l *link) heard(now time.Time, b *beatMessage) evidence {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.heardAt = now
	l.heardSeq = b.Sequence
	s := l.sent[b.Echo.Sequence%sentKept]
	if b.Echo.Sequence == 0 || s.sequence != b.Echo.Sequence {
		return evidence{}
	}
	sentAt := s.at.Add(duration(b.Echo.HeldMilli))
	if sentAt.After(now) {
		sentAt = now
	}
	return evidence{sentAt: sentAt, heardUsAt: s.at}
}

func (l *link) silentFor(now time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return now.Sub(l.heardAt)
}

// write sends what is queued until ctx ends.
func (l *link) write(ctx context.Context) error {
	for {
		select {
		case frame := <-l.out:
			if err := writeFrame(ctx, l.conn, frame, l.meters); err != nil {
				return err
			}
		case <-ctx.Done():
			return context.Cause(ctx)
		}
	}
}

// read hands each message to handle until one fails or the peer is silent
// for longer than idle.
func (l *link) read(ctx context.Context, idle time.Duration, handle func([]byte) error) error {
	for {
		frame, err := readFrame(ctx, l.conn, idle, l.meters)
		if err != nil {
			return err
		}
		if err := handle(frame); err != nil {
			return err
		}
	}
}

func writeFrame(ctx context.Context, conn *websocket.Conn, frame []byte, m *meters) error {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	if err := conn.Write(ctx, websocket.MessageBinary, frame); err != nil {
		return errors.Wrap(err, "send")
	}
	m.bytesSent.Inc(int64(len(frame)))
	m.messagesSent.Inc(1)
	return nil
}

func readFrame(ctx context.Context, conn *websocket.Conn, idle time.Duration, m *meters) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, idle)
	defer cancel()
	kind, frame, err := conn.Read(ctx)
	if err != nil {
		return nil, errors.Wrap(err, "receive")
	}
	if kind != websocket.MessageBinary {
		return nil, errors.New("receive: not a binary frame")
	}
	m.bytesReceived.Inc(int64(len(frame)))
	m.messagesReceived.Inc(1)
	return frame, nil
}
