package membership

import (
	"bytes"
	"context"
	"sync"
	"time"

	"github.com/coder/websocket"
	"github.com/pkg/errors"

	"carawayproxy.example/caraway/internal/fleet"
)

const (
	// linkQueue bounds the messages queued for sending on a link.
	linkQueue = 64
	// sentHistory is the number of recent heartbeats whose send times a link
	// keeps to evaluate echoes.
	sentHistory = 64
	// maxKeptBytes bounds the buffer that a link keeps between two messages. Heartbeats
	// have a few KB; an exported state may have 8 MB.
	maxKeptBytes = 16 << 10
)

// link is an open connection to one peer.
type link struct {
	conn   *websocket.Conn
	peer   helloMessage
	dialed bool // by this daemon
	out    chan []byte
	cancel context.CancelCauseFunc
	ended  chan struct{} // closed when the link has ended
	meters *meters

	mu               sync.Mutex
	receivedAt       time.Time
	receivedSequence uint64
	sent             [sentHistory]sentHeartbeat
	gossipSent       uint64 // number of the last gossip item sent
	// listSince is the position of the list from which on its changes are sent on this
	// link, once listKnown is set, and listSentAt when a position was last sent. listEra
	// is its era.
	listSince  uint64
	listEra    uint64
	listKnown  bool
	listSentAt time.Time

	sentNames     *nameTable // used by one goroutine at a time
	receivedNames nameList   // used by the reader only
	// reportsSent and reportsReceived hold the last report of each instance,
	// unresponsiveSent and stalledSent the names listed in the last heartbeat;
	// used by the same goroutines.
	reportsSent      map[fleet.InstanceID]fleet.Report
	reportsReceived  map[uint32]fleet.Report
	unresponsiveSent map[fleet.InstanceID]bool
	stalledSent      map[fleet.GroupID]bool
	loadSent         map[fleet.GroupID]uint32
	totalsSent       map[fleet.GroupID]uint32 // in totalsMessages
	// totals holds the peer's totals, used by the reader only. gossipMissed is set
	// once gossip of the peer could not be decoded.
	totals       map[fleet.GroupID]uint32
	gossipMissed bool
}

// errCongested closes a link whose peer does not read fast enough.
var errCongested = errors.New("send queue of the link is full")

type sentHeartbeat struct {
	sequence uint64
	at       time.Time
}

func newLink(conn *websocket.Conn, peer helloMessage, dialed bool, meters *meters) *link {
	return &link{
		conn: conn, peer: peer, dialed: dialed, meters: meters,
		out:        make(chan []byte, linkQueue),
		ended:      make(chan struct{}),
		receivedAt: time.Now(),

		sentNames:        newNameTable(),
		reportsSent:      map[fleet.InstanceID]fleet.Report{},
		unresponsiveSent: map[fleet.InstanceID]bool{},
		stalledSent:      map[fleet.GroupID]bool{},
		loadSent:         map[fleet.GroupID]uint32{},
		reportsReceived:  map[uint32]fleet.Report{},
	}
}

// send queues a message and reports whether the queue had room.
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
// Groups without a number are left to the next heartbeat.
func (l *link) sendLoad(inFlight map[fleet.GroupID]uint32) error {
	var b loadMessage
	for group, count := range inFlight {
		if i, known := l.sentNames.numbers[string(group)]; known && l.loadSent[group] != count {
			b.InFlight = append(b.InFlight, i, count)
		}
	}
	for group, count := range l.loadSent {
		if _, still := inFlight[group]; !still && count > 0 {
			b.InFlight = append(b.InFlight, l.sentNames.numbers[string(group)], 0)
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

// sendHeartbeat queues a heartbeat with the link's echo. After an error the link
// must be closed, because the peer would miss names.
func (l *link) sendHeartbeat(now time.Time, h Heartbeat) error {
	b := heartbeatMessage{
		Echo: l.echo(now), Sequence: h.Sequence, Ready: h.Ready, Draining: h.Draining,
		ConfigRevision: h.ConfigRevision, HoldsScope: h.HoldsScope, IsReader: h.IsReader,
		Renewal: h.Renewal, StoreUnavailable: h.StoreUnavailable, Processors: h.Processors, LinksLost: h.LinksLost,
		Daemons: uint32(h.Daemons), Evacuations: h.Evacuations,
	}
	if h.DocumentReadAge >= 0 {
		b.DocumentAge = ceilMillis(h.DocumentReadAge) + 1
	}
	l.sentNames.packReports(&b, now, h.Reports, l.reportsSent)
	b.Unresponsive = packNew(l.sentNames, h.Unresponsive, l.unresponsiveSent)
	b.Stalled = packNew(l.sentNames, h.Stalled, l.stalledSent)
	b.Work, b.WorkRequests = l.sentNames.packWork(h.Work), h.WorkRequests
	l.sentNames.pack(&b, h.Streams, h.InFlight)
	l.loadSent = h.InFlight
	frame, err := encode(&b)
	if err != nil {
		return err
	}
	l.recordSent(now, b.Sequence)
	if !l.send(frame) {
		return errCongested
	}
	return nil
}

func (l *link) echo(now time.Time) Echo {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.receivedSequence == 0 {
		return Echo{}
	}
	// Rounded down, so that the receiver's SentAt stays a lower bound.
	return Echo{
		Sequence:  l.receivedSequence,
		HeldMilli: uint64(now.Sub(l.receivedAt) / time.Millisecond),
	}
}

func (l *link) recordSent(now time.Time, sequence uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sent[sequence%sentHistory] = sentHeartbeat{sequence: sequence, at: now}
}

// echoTiming holds the lower bounds derived from a heartbeat's echo, both zero if
// there is none.
type echoTiming struct {
	sentAt  time.Time // lower bound for when the heartbeat was sent
	ackedAt time.Time // lower bound for when the peer received the echoed heartbeat
}

// recordReceived records a heartbeat and returns the bounds from its echo.
func (l *link) recordReceived(now time.Time, b *heartbeatMessage) echoTiming {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.receivedAt = now
	l.receivedSequence = b.Sequence
	return l.timing(now, b.Echo)
}

// timingOf returns the bounds from the echo of a message that is no heartbeat.
func (l *link) timingOf(now time.Time, e Echo) echoTiming {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.timing(now, e)
}

// timing returns the bounds from an echo. Called with mu held.
func (l *link) timing(now time.Time, e Echo) echoTiming {
	s := l.sent[e.Sequence%sentHistory]
	if e.Sequence == 0 || s.sequence != e.Sequence {
		return echoTiming{}
	}
	sentAt := s.at.Add(boundedMillis(e.HeldMilli))
	if sentAt.After(now) {
		sentAt = now
	}
	return echoTiming{sentAt: sentAt, ackedAt: s.at}
}

func (l *link) idleFor(now time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return now.Sub(l.receivedAt)
}

// write sends queued messages until ctx ends or sending fails.
func (l *link) write(ctx context.Context) error {
	bound := newStepBound(ctx, writeTimeout)
	defer bound.close()
	for {
		select {
		case frame := <-l.out:
			bound.begin()
			if err := sendFrame(bound.ctx, l.conn, frame, l.meters); err != nil {
				return bound.explain(err, "send")
			}
			bound.end()
		case <-ctx.Done():
			return context.Cause(ctx)
		}
	}
}

// read passes each message to handle until handle fails or no message arrives
// within idle. A message is valid until handle returns.
func (l *link) read(ctx context.Context, idle time.Duration, handle func([]byte) error) error {
	bound := newStepBound(ctx, idle)
	defer bound.close()
	var buffer bytes.Buffer
	for {
		bound.begin()
		frame, err := receiveFrame(bound.ctx, l.conn, l.meters, &buffer)
		if err != nil {
			return bound.explain(err, "receive")
		}
		bound.end()
		if err := handle(frame); err != nil {
			return err
		}
		if buffer.Cap() > maxKeptBytes {
			buffer = bytes.Buffer{}
		}
	}
}

// stepBound bounds the time of steps that follow each other by one context and one timer.
type stepBound struct {
	ctx    context.Context // of the steps
	cancel context.CancelCauseFunc
	timer  *time.Timer
	limit  time.Duration
}

func newStepBound(ctx context.Context, limit time.Duration) *stepBound {
	b := &stepBound{limit: limit}
	b.ctx, b.cancel = context.WithCancelCause(ctx)
	b.timer = time.AfterFunc(limit, func() { b.cancel(context.DeadlineExceeded) })
	b.timer.Stop() // until the first step begins
	return b
}

// begin starts a step, and end ends it. After a step that took too long the context has
// ended.
func (b *stepBound) begin() { b.timer.Reset(b.limit) }
func (b *stepBound) end()   { b.timer.Stop() }

func (b *stepBound) close() {
	b.timer.Stop()
	b.cancel(nil)
}

// explain returns the error of a step, which names the time if the step took too long.
func (b *stepBound) explain(err error, step string) error {
	if errors.Is(context.Cause(b.ctx), context.DeadlineExceeded) {
		return errors.Wrap(context.DeadlineExceeded, step)
	}
	return err
}

func writeFrame(ctx context.Context, conn *websocket.Conn, frame []byte, m *meters) error {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	return sendFrame(ctx, conn, frame, m)
}

func sendFrame(ctx context.Context, conn *websocket.Conn, frame []byte, m *meters) error {
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
	return receiveFrame(ctx, conn, m, new(bytes.Buffer))
}

// receiveFrame reads the next message into a buffer, whose former content it drops.
func receiveFrame(ctx context.Context, conn *websocket.Conn, m *meters, buffer *bytes.Buffer) ([]byte, error) {
	kind, message, err := conn.Reader(ctx)
	if err != nil {
		return nil, errors.Wrap(err, "receive")
	}
	buffer.Reset()
	if _, err := buffer.ReadFrom(message); err != nil {
		return nil, errors.Wrap(err, "receive")
	}
	frame := buffer.Bytes()
	if kind != websocket.MessageBinary {
		return nil, errors.New("receive: not a binary frame")
	}
	m.bytesReceived.Inc(int64(len(frame)))
	m.messagesReceived.Inc(1)
	return frame, nil
}
