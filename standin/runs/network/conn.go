package network

import (
	"io"
	"net"
	"os"
	"strconv"
	"sync"
	"time"
)

// bufferBytes is the capacity of one direction of a connection. A writer blocks
// while it is full.
const bufferBytes = 256 << 10

// Over a link with a limited rate, limitedBufferBytes is that capacity, and bytes arrive
// in pieces of pieceBytes.
const (
	limitedBufferBytes = 64 << 10
	pieceBytes         = 8 << 10
)

// firstPort precedes the port of the first outgoing connection.
const firstPort = 40000

// chunk holds bytes in transit.
type chunk struct {
	data      []byte
	arrivesAt time.Time
}

// stream is one direction of a connection.
type stream struct {
	network  *Network
	from, to string
	latency  time.Duration

	mu            sync.Mutex
	readable      sync.Cond
	writable      sync.Cond
	arrival       *time.Timer // wakes the reader when the first chunk arrives
	readDeadline  deadline
	writeDeadline deadline
	chunks        []chunk
	size          int
	writerClosed  bool // the writer closed
	reset         bool // the writer was killed
	readerClosed  bool // the reader closed
}

func newStream(n *Network, from, to string) *stream {
	s := &stream{network: n, from: from, to: to, latency: n.latency(from, to)}
	s.readable.L = &s.mu
	s.writable.L = &s.mu
	s.readDeadline.cond = &s.readable
	s.writeDeadline.cond = &s.writable
	return s
}

// wake wakes both ends, after a fault has ended.
func (s *stream) wake() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.readable.Broadcast()
	s.writable.Broadcast()
}

func (s *stream) isHeld() bool { return s.network.isHeld(s.from, s.to) }

// receive waits for bytes that have arrived and copies them to p.
func (s *stream) receive(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for {
		switch {
		case s.readerClosed:
			return 0, net.ErrClosed
		case s.readDeadline.expired:
			return 0, os.ErrDeadlineExceeded
		}
		n, err := s.receiveArrived(p)
		if n > 0 || err != nil || len(p) == 0 {
			return n, err
		}
		s.readable.Wait()
	}
}

// receiveArrived copies the bytes that have arrived and sets the timer for the
// next chunk. The caller holds mu.
func (s *stream) receiveArrived(p []byte) (n int, err error) {
	if s.isHeld() {
		return 0, nil
	}
	if s.reset {
		return 0, ErrReset
	}
	now := time.Now()
	for len(s.chunks) > 0 && n < len(p) {
		c := &s.chunks[0]
		if c.arrivesAt.After(now) {
			s.wakeReaderAfter(c.arrivesAt.Sub(now))
			break
		}
		k := copy(p[n:], c.data)
		n += k
		c.data = c.data[k:]
		if len(c.data) == 0 {
			s.chunks[0] = chunk{}
			s.chunks = s.chunks[1:]
		}
	}
	s.size -= n
	if n > 0 {
		s.writable.Broadcast()
		return n, nil
	}
	if len(s.chunks) == 0 && s.writerClosed {
		return 0, io.EOF
	}
	return 0, nil
}

// wakeReaderAfter wakes the reader after d. The caller holds mu.
func (s *stream) wakeReaderAfter(d time.Duration) {
	if s.arrival == nil {
		s.arrival = time.AfterFunc(d, s.wakeReader)
		return
	}
	s.arrival.Reset(d)
}

func (s *stream) wakeReader() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.readable.Broadcast()
}

// send appends p, waiting for room, and returns the number of bytes appended.
func (s *stream) send(p []byte) (written int, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for {
		switch {
		case s.writerClosed:
			return written, net.ErrClosed
		case s.writeDeadline.expired:
			return written, os.ErrDeadlineExceeded
		case s.readerClosed && !s.isHeld():
			return written, ErrReset
		}
		written += s.append(p[written:])
		if written == len(p) {
			return written, nil
		}
		s.writable.Wait()
	}
}

// append appends as many bytes of p as there is room for and returns their
// number. The caller holds mu.
func (s *stream) append(p []byte) int {
	sender, receiver := s.network.link(s.from), s.network.link(s.to)
	if sender == nil && receiver == nil {
		n := min(len(p), bufferBytes-s.size)
		s.appendPiece(p[:n], time.Now().Add(s.latency))
		return n
	}
	n := min(len(p), max(limitedBufferBytes-s.size, 0))
	for at := 0; at < n; at += pieceBytes {
		piece := p[at:min(at+pieceBytes, n)]
		left := sender.send(time.Now(), len(piece))
		s.appendPiece(piece, receiver.receive(left.Add(s.latency), len(piece)))
	}
	return n
}

// appendPiece appends bytes that arrive at a time. The caller holds mu.
func (s *stream) appendPiece(p []byte, arrivesAt time.Time) {
	if len(p) == 0 {
		return
	}
	s.size += len(p)
	if last := len(s.chunks) - 1; last >= 0 && s.chunks[last].arrivesAt.Equal(arrivesAt) {
		s.chunks[last].data = append(s.chunks[last].data, p...)
		return
	}
	s.chunks = append(s.chunks, chunk{data: append([]byte(nil), p...), arrivesAt: arrivesAt})
	switch wait := time.Until(arrivesAt); {
	case wait <= 0:
		s.readable.Broadcast()
	case len(s.chunks) == 1:
		s.wakeReaderAfter(wait)
	}
}

// closeWriter closes the writer's side; with reset, bytes in transit are dropped.
func (s *stream) closeWriter(reset bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writerClosed = true
	s.reset = s.reset || reset
	s.writeDeadline.stop()
	s.readable.Broadcast()
	s.writable.Broadcast()
}

// closeReader closes the reader's side.
func (s *stream) closeReader() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.readerClosed = true
	s.readDeadline.stop()
	if s.arrival != nil {
		s.arrival.Stop()
	}
	s.readable.Broadcast()
	s.writable.Broadcast()
}

// setReadDeadline sets the reader's deadline.
func (s *stream) setReadDeadline(t time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.readerClosed {
		s.readDeadline.set(t, s.readTimerFired)
	}
}

// setWriteDeadline sets the writer's deadline.
func (s *stream) setWriteDeadline(t time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.writerClosed {
		s.writeDeadline.set(t, s.writeTimerFired)
	}
}

func (s *stream) readTimerFired()  { s.expire(&s.readDeadline, s.readTimerFired) }
func (s *stream) writeTimerFired() { s.expire(&s.writeDeadline, s.writeTimerFired) }

func (s *stream) expire(d *deadline, onTimer func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	d.timerFired(onTimer)
}

// conn is one end of a connection.
type conn struct {
	host          *Host
	stats         *hostStats
	local, remote address
	in, out       *stream
	once          sync.Once
}

// newPair returns both ends of a connection. The caller holds n.mu.
func newPair(n *Network, from, to *Host, serverAddr address) (client, server *conn) {
	toServer := newStream(n, from.ip, to.ip)
	toClient := newStream(n, to.ip, from.ip)
	n.ports++
	port := strconv.FormatUint(firstPort+n.ports, 10)
	clientAddr := address(net.JoinHostPort(from.ip, port))
	client = newConn(from, clientAddr, serverAddr, toClient, toServer)
	server = newConn(to, serverAddr, clientAddr, toServer, toClient)
	return client, server
}

func newConn(h *Host, local, remote address, in, out *stream) *conn {
	return &conn{host: h, stats: h.stats, local: local, remote: remote, in: in, out: out}
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.in.receive(p)
	c.stats.received.Add(uint64(n))
	return n, err
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	c.stats.writes.Add(1)
	n, err := c.out.send(p)
	c.stats.sent.Add(uint64(n))
	return n, err
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.closeWith(false)
	return nil
}

// reset closes the connection and drops the bytes in transit.
func (c *conn) reset() { c.closeWith(true) }

func (c *conn) closeWith(reset bool) {
	c.once.Do(func() {
		c.out.closeWriter(reset)
		c.in.closeReader()
		c.host.network.removeConn(c)
	})
}

// LocalAddr implements net.Conn.
func (c *conn) LocalAddr() net.Addr { return c.local }

// RemoteAddr implements net.Conn.
func (c *conn) RemoteAddr() net.Addr { return c.remote }

// SetDeadline implements net.Conn.
func (c *conn) SetDeadline(t time.Time) error {
	c.in.setReadDeadline(t)
	c.out.setWriteDeadline(t)
	return nil
}

// SetReadDeadline implements net.Conn.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.in.setReadDeadline(t)
	return nil
}

// SetWriteDeadline implements net.Conn.
func (c *conn) SetWriteDeadline(t time.Time) error {
	c.out.setWriteDeadline(t)
	return nil
}

// deadline is a deadline that can be moved while a reader or writer waits. It is
// guarded by mu of its stream.
type deadline struct {
	cond    *sync.Cond
	expired bool
	at      time.Time // zero for none
	timer   *time.Timer
	// timerAt is when the timer fires, zero if it is not running. It may be
	// earlier than at, since a later deadline does not reset the timer.
	timerAt time.Time
}

// set moves the deadline; the zero time means none. onTimer is the timer's
// callback.
func (d *deadline) set(t time.Time, onTimer func()) {
	d.at = t
	d.expired = false
	if t.IsZero() {
		return
	}
	wait := time.Until(t)
	if wait <= 0 {
		d.expired = true
		d.cond.Broadcast()
		return
	}
	if d.timerAt.IsZero() || t.Before(d.timerAt) {
		d.startTimer(wait, onTimer)
	}
}

func (d *deadline) startTimer(wait time.Duration, onTimer func()) {
	d.timerAt = d.at
	if d.timer == nil {
		d.timer = time.AfterFunc(wait, onTimer)
		return
	}
	d.timer.Reset(wait)
}

// timerFired handles the timer. If the deadline was moved, it restarts the timer.
func (d *deadline) timerFired(onTimer func()) {
	d.timerAt = time.Time{}
	if d.at.IsZero() {
		return
	}
	if wait := time.Until(d.at); wait > 0 {
		d.startTimer(wait, onTimer)
		return
	}
	d.expired = true
	d.cond.Broadcast()
}

func (d *deadline) stop() {
	d.at = time.Time{}
	if d.timer != nil {
		d.timer.Stop()
	}
}
