package network

import (
	"io"
	"net"
	"os"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"
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
	readable chan struct{} // capacity one
	writable chan struct{} // capacity one

	mu     sync.Mutex
	chunks []chunk
	size   int
	ended  bool // the writer closed
	reset  bool // the writer was killed
	gone   bool // the reader closed
}

func newStream(n *Network, from, to string) *stream {
	return &stream{
		network: n, from: from, to: to,
		readable: make(chan struct{}, 1),
		writable: make(chan struct{}, 1),
	}
}

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

func (s *stream) wakeReader() { signal(s.readable) }

// take copies what has arrived. It returns the time until more arrives, or
// zero when that is not known.
func (s *stream) take(p []byte) (n int, wait time.Duration, err error) {
	held := s.network.held(s.from, s.to)
	s.mu.Lock()
	defer s.mu.Unlock()
	if held {
		return 0, 0, nil
	}
	if s.reset {
		return 0, 0, ErrReset
	}
	now := time.Now()
	for len(s.chunks) > 0 && n < len(p) {
		c := &s.chunks[0]
		if c.due.After(now) {
			wait = c.due.Sub(now)
			break
		}
		k := copy(p[n:], c.data)
		n += k
		c.data = c.data[k:]
		if len(c.data) == 0 {
			s.chunks = s.chunks[1:]
		}
	}
	s.size -= n
	if n > 0 {
		signal(s.writable)
		return n, 0, nil
	}
	if len(s.chunks) == 0 && s.ended {
		return 0, 0, io.EOF
	}
	return 0, wait, nil
}

// put appends as much as there is room for.
func (s *stream) put(p []byte) (int, error) {
	held := s.network.held(s.from, s.to)
	due := time.Now().Add(s.network.latency(s.from, s.to))
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.gone && !held {
		return 0, ErrReset
	}
	n := min(len(p), bufferBytes-s.size)
	if n == 0 {
		return 0, nil
	}
	s.chunks = append(s.chunks, chunk{data: append([]byte(nil), p[:n]...), due: due})
	s.size += n
	signal(s.readable)
	if s.size < bufferBytes {
		signal(s.writable)
	}
	return n, nil
}

// end marks the writer's close, abrupt or not.
func (s *stream) end(reset bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ended = true
	s.reset = s.reset || reset
	signal(s.readable)
}

// leave marks the reader's close.
func (s *stream) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.gone = true
	signal(s.writable)
}

// conn is one end of a connection.
type conn struct {
	host          *Host
	local, remote address
	in, out       *stream
	once          sync.Once
	closed        chan struct{}
	readDeadline  deadline
	writeDeadline deadline
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
	return &conn{
		host: h, local: local, remote: remote, in: in, out: out,
		closed:        make(chan struct{}),
		readDeadline:  newDeadline(),
		writeDeadline: newDeadline(),
	}
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	for {
		passed := c.readDeadline.wait()
		select {
		case <-c.closed:
			return 0, net.ErrClosed
		case <-passed:
			return 0, os.ErrDeadlineExceeded
		default:
		}
		n, wait, err := c.in.take(p)
		if err != nil {
			signal(c.in.readable) // for other readers
			return 0, err
		}
		if n > 0 || len(p) == 0 {
			c.host.network.count(c.host.ip, func(s *Stats) { s.BytesReceived += uint64(n) })
			return n, nil
		}
		c.waitReadable(passed, wait)
	}
}

func (c *conn) waitReadable(passed <-chan struct{}, wait time.Duration) {
	var due <-chan time.Time
	if wait > 0 {
		t := time.NewTimer(wait)
		defer t.Stop()
		due = t.C
	}
	select {
	case <-c.in.readable:
	case <-due:
	case <-passed:
	case <-c.closed:
	}
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	c.host.network.count(c.host.ip, func(s *Stats) { s.Writes++ })
	written := 0
	for {
		passed := c.writeDeadline.wait()
		select {
		case <-c.closed:
			return written, net.ErrClosed
		case <-passed:
			return written, os.ErrDeadlineExceeded
		default:
		}
		n, err := c.out.put(p[written:])
		written += n
		c.host.network.count(c.host.ip, func(s *Stats) { s.BytesSent += uint64(n) })
		if err != nil || written == len(p) {
			return written, errors.WithStack(err)
		}
		select {
		case <-c.out.writable:
		case <-passed:
		case <-c.closed:
		}
	}
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
		close(c.closed)
		c.out.end(reset)
		c.in.leave()
		c.readDeadline.set(time.Time{})
		c.writeDeadline.set(time.Time{})
		c.host.network.forget(c)
	})
}

// LocalAddr implements net.Conn.
func (c *conn) LocalAddr() net.Addr { return c.local }

// RemoteAddr implements net.Conn.
func (c *conn) RemoteAddr() net.Addr { return c.remote }

// SetDeadline implements net.Conn.
func (c *conn) SetDeadline(t time.Time) error {
	c.readDeadline.set(t)
	c.writeDeadline.set(t)
	return nil
}

// SetReadDeadline implements net.Conn.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.readDeadline.set(t)
	return nil
}

// SetWriteDeadline implements net.Conn.
func (c *conn) SetWriteDeadline(t time.Time) error {
	c.writeDeadline.set(t)
	return nil
}

// deadline is a moment that can be moved while it is waited for.
type deadline struct {
	state *deadlineState
}

type deadlineState struct {
	mu     sync.Mutex
	timer  *time.Timer
	moves  uint64        // so that a timer that fired late finds itself replaced
	passed chan struct{} // closed once the deadline has passed
}

func newDeadline() deadline {
	return deadline{state: &deadlineState{passed: make(chan struct{})}}
}

func (d deadline) wait() <-chan struct{} {
	d.state.mu.Lock()
	defer d.state.mu.Unlock()
	return d.state.passed
}

// set moves the deadline; the zero time means none.
func (d deadline) set(t time.Time) {
	s := d.state
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.timer != nil {
		s.timer.Stop()
		s.timer = nil
	}
	s.moves++
	select {
	case <-s.passed:
		s.passed = make(chan struct{})
	default:
	}
	if t.IsZero() {
		return
	}
	wait := time.Until(t)
	if wait <= 0 {
		close(s.passed)
		return
	}
	moves := s.moves
	s.timer = time.AfterFunc(wait, func() { s.expire(moves) })
}

func (s *deadlineState) expire(moves uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.moves == moves {
		close(s.passed)
	}
}
