package network

import (
	"io"
	"net"
	"os"
	"strconv"
	"sync"
	"time"
)

// bufferBytes is what one direction of a connection holds before a writer
// waits.
const bufferBytes = 256 << 10

// firstPort is the port of the first outgoing connection.
const firstPort = 40000

// chunk is bytes on their way.
type chunk struct {
	data []byte
	due  time.Time
}

// stream is one direction of a connection.
type stream struct {
	network  *Network
	from, to string
	latency  time.Duration

	mu       sync.Mutex
	readable sync.Cond
	writable sync.Cond
	arrival  *time.Timer // wakes the reader when the first chunk is due
	read     deadline
	write    deadline
	chunks   []chunk
	size     int
	ended    bool // the writer closed
	reset    bool // the writer was killed
	gone     bool // the reader closed
}

func newStream(n *Network, from, to string) *stream {
	s := &stream{network: n, from: from, to: to, latency: n.latency(from, to)}
	s.readable.L = &s.mu
	s.writable.L = &s.mu
	s.read.wakes = &s.readable
	s.write.wakes = &s.writable
	return s
}

// wake lets both ends look again, after a fault has ended.
func (s *stream) wake() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.readable.Broadcast()
	s.writable.Broadcast()
}

func (s *stream) held() bool { return s.network.held(s.from, s.to) }

// take waits for bytes that have arrived and copies them.
func (s *stream) take(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for {
		switch {
		case s.gone:
			return 0, net.ErrClosed
		case s.read.passed:
			return 0, os.ErrDeadlineExceeded
		}
		n, err := s.takeArrived(p)
		if n > 0 || err != nil || len(p) == 0 {
			return n, err
		}
		s.readable.Wait()
	}
}

// takeArrived copies what has arrived and sees to it that the reader wakes for
// the next chunk. Called with mu held.
func (s *stream) takeArrived(p []byte) (n int, err error) {
	if s.held() {
		return 0, nil
	}
	if s.reset {
		return 0, ErrReset
	}
	now := time.Now()
	for len(s.chunks) > 0 && n < len(p) {
		c := &s.chunks[0]
		if c.due.After(now) {
			s.wakeAfter(c.due.Sub(now))
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
	if len(s.chunks) == 0 && s.ended {
		return 0, io.EOF
	}
	return 0, nil
}

// wakeAfter wakes the reader after a while. Called with mu held.
func (s *stream) wakeAfter(d time.Duration) {
	if s.arrival == nil {
		s.arrival = time.AfterFunc(d, s.arrived)
		return
	}
	s.arrival.Reset(d)
}

func (s *stream) arrived() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.readable.Broadcast()
}

// put appends p, waiting for room, and returns how much of it was appended.
func (s *stream) put(p []byte) (written int, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for {
		switch {
		case s.ended:
			return written, net.ErrClosed
		case s.write.passed:
			return written, os.ErrDeadlineExceeded
		case s.gone && !s.held():
			return written, ErrReset
		}
		written += s.append(p[written:])
		if written == len(p) {
			return written, nil
		}
		s.writable.Wait()
	}
}

// append takes as much as there is room for. Called with mu held.
func (s *stream) append(p []byte) int {
	n := min(len(p), bufferBytes-s.size)
	if n == 0 {
		return 0
	}
	due := time.Now().Add(s.latency)
	s.size += n
	if last := len(s.chunks) - 1; last >= 0 && s.chunks[last].due.Equal(due) {
		s.chunks[last].data = append(s.chunks[last].data, p[:n]...)
		return n
	}
	s.chunks = append(s.chunks, chunk{data: append([]byte(nil), p[:n]...), due: due})
	switch {
	case s.latency <= 0:
		s.readable.Broadcast()
	case len(s.chunks) == 1:
		s.wakeAfter(s.latency)
	}
	return n
}

// end marks the writer's close, abrupt or not.
func (s *stream) end(reset bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ended = true
	s.reset = s.reset || reset
	s.write.stop()
	s.readable.Broadcast()
	s.writable.Broadcast()
}

// leave marks the reader's close.
func (s *stream) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.gone = true
	s.read.stop()
	if s.arrival != nil {
		s.arrival.Stop()
	}
	s.readable.Broadcast()
	s.writable.Broadcast()
}

// setReadDeadline moves the reader's deadline, setWriteDeadline the writer's.
func (s *stream) setReadDeadline(t time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.gone {
		s.read.set(t, s.readLate)
	}
}

func (s *stream) setWriteDeadline(t time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.ended {
		s.write.set(t, s.writeLate)
	}
}

func (s *stream) readLate()  { s.expire(&s.read, s.readLate) }
func (s *stream) writeLate() { s.expire(&s.write, s.writeLate) }

func (s *stream) expire(d *deadline, again func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	d.expire(again)
}

// conn is one end of a connection.
type conn struct {
	host          *Host
	stats         *hostStats
	local, remote address
	in, out       *stream
	once          sync.Once
}

// newPair returns both ends of a connection. Called with the network's mu held.
func newPair(n *Network, from, to *Host, at address) (near, far *conn) {
	there := newStream(n, from.ip, to.ip)
	back := newStream(n, to.ip, from.ip)
	n.ports++
	port := strconv.FormatUint(firstPort+n.ports, 10)
	own := address(net.JoinHostPort(from.ip, port))
	near = newConn(from, own, at, back, there)
	far = newConn(to, at, own, there, back)
	return near, far
}

func newConn(h *Host, local, remote address, in, out *stream) *conn {
	return &conn{host: h, stats: h.stats, local: local, remote: remote, in: in, out: out}
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.in.take(p)
	c.stats.received.Add(uint64(n))
	return n, err
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	c.stats.writes.Add(1)
	n, err := c.out.put(p)
	c.stats.sent.Add(uint64(n))
	return n, err
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.shut(false)
	return nil
}

// reset closes without letting the bytes on their way arrive.
func (c *conn) reset() { c.shut(true) }

func (c *conn) shut(reset bool) {
	c.once.Do(func() {
		c.out.end(reset)
		c.in.leave()
		c.host.network.forget(c)
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

// deadline is a moment that can be moved while it is waited for. Its stream's
// mu guards it.
type deadline struct {
	wakes  *sync.Cond
	passed bool
	at     time.Time // zero for none
	timer  *time.Timer
	// fires is when the timer fires, zero when it does not. It may be earlier
	// than at: moving a deadline back leaves the timer alone.
	fires time.Time
}

// set moves the deadline; the zero time means none. late is called by a timer.
func (d *deadline) set(t time.Time, late func()) {
	d.at = t
	d.passed = false
	if t.IsZero() {
		return
	}
	wait := time.Until(t)
	if wait <= 0 {
		d.passed = true
		d.wakes.Broadcast()
		return
	}
	if d.fires.IsZero() || t.Before(d.fires) {
		d.arm(wait, late)
	}
}

func (d *deadline) arm(wait time.Duration, late func()) {
	d.fires = d.at
	if d.timer == nil {
		d.timer = time.AfterFunc(wait, late)
		return
	}
	d.timer.Reset(wait)
}

// expire follows the timer. A deadline that was moved back waits again.
func (d *deadline) expire(late func()) {
	d.fires = time.Time{}
	if d.at.IsZero() {
		return
	}
	if wait := time.Until(d.at); wait > 0 {
		d.arm(wait, late)
		return
	}
	d.passed = true
	d.wakes.Broadcast()
}

func (d *deadline) stop() {
	d.at = time.Time{}
	if d.timer != nil {
		d.timer.Stop()
	}
}
