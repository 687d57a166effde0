package clients

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// phase is what a connection waits for.
type phase int64

const (
	phaseHead    phase = iota // the client, for the head of a request
	phaseBody                 // the client, for the body of a request
	phaseServing              // the daemon, for the answer
	phaseIdle                 // the client, for its next request
	phaseClosed               // nothing: it was closed in favor of another one
	phaseBits    = 3
)

const (
	// minWait is how long a connection may wait for its client before it is closed in
	// favor of another one.
	minWait = 100 * time.Millisecond
	// fullPollInterval is the time between two checks for room while there is none.
	fullPollInterval = 5 * time.Millisecond
	// unfinishedWeight is how much faster the waiting time of an unfinished request
	// counts than that of an idle connection.
	unfinishedWeight = 4
)

// Listener bounds the connections of clients. When there are as many as it allows, it
// closes, for each further one, a connection that waits for its client: that for which
// the waiting time, times the connections that its address holds, is longest. While all are
// being served it accepts no further ones. Its server needs Attach.
type Listener struct {
	net.Listener
	max      int
	served   bool // max counts connections that are being served, too
	onClosed func(client string)
	started  time.Time
	ended    atomic.Bool

	mu        sync.Mutex
	conns     map[*conn]struct{}
	addresses map[string]int // connections by client address
	closed    uint64
}

// NewListener returns a listener for at most max connections. OnClosed is called for each
// connection that is closed in favor of another one.
func NewListener(l net.Listener, max int, onClosed func(client string)) *Listener {
	return &Listener{Listener: l, max: max, served: true, onClosed: onClosed, started: time.Now(), conns: map[*conn]struct{}{}, addresses: map[string]int{}}
}

// NewHandshakeListener returns a listener for at most max connections that wait for their
// client, and any number of others, for servers that bound those themselves.
func NewHandshakeListener(l net.Listener, max int, onClosed func(client string)) *Listener {
	h := NewListener(l, max, onClosed)
	h.served = false
	return h
}

// Open returns the number of connections.
func (l *Listener) Open() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.conns)
}

// Closed returns the number of connections that were closed in favor of others.
func (l *Listener) Closed() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.closed
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err // http.Server tries again after one that it recognizes as temporary
	}
	c := &conn{Conn: accepted, listener: l, address: Address(accepted.RemoteAddr().String())}
	c.enter(phaseHead)
	for !l.add(c) {
		if l.ended.Load() {
			_ = accepted.Close()
			return nil, net.ErrClosed
		}
		time.Sleep(fullPollInterval)
	}
	return c, nil
}

// Close implements net.Listener.
func (l *Listener) Close() error {
	l.ended.Store(true)
	return l.Listener.Close()
}

// add adds a connection, in place of another one if there is no room. It returns false if
// no other one may be closed yet.
func (l *Listener) add(c *conn) bool {
	l.mu.Lock()
	var closing *conn
	if l.isFull() {
		closing = l.choose(time.Since(l.started))
		if closing == nil {
			l.mu.Unlock()
			return false
		}
		l.remove(closing)
		l.closed++
	}
	c.enter(phaseHead) // until now it was the client that waited
	l.conns[c] = struct{}{}
	l.addresses[c.address]++
	l.mu.Unlock()
	if closing != nil {
		_ = closing.Conn.Close()
		l.onClosed(closing.address)
	}
	return true
}

// isFull reports whether there are as many connections as may be. The caller holds mu.
func (l *Listener) isFull() bool {
	if l.served || len(l.conns) < l.max {
		return len(l.conns) >= l.max
	}
	waiting := 0
	for c := range l.conns {
		if c.phase() != phaseServing {
			waiting++
		}
	}
	return waiting >= l.max
}

// choose returns the connection to close, nil for none. The caller holds mu.
func (l *Listener) choose(now time.Duration) *conn {
	var chosen *conn
	var seen int64
	highest := 0.0
	for c := range l.conns {
		packed := c.packed.Load()
		at, since := phase(packed&(1<<phaseBits-1)), time.Duration(packed>>phaseBits)
		if r, ok := rank(at, now-since, l.addresses[c.address]); ok && r > highest {
			chosen, highest, seen = c, r, packed
		}
	}
	if chosen == nil || !chosen.packed.CompareAndSwap(seen, int64(phaseClosed)) {
		return nil // none, or its client has sent something meanwhile
	}
	return chosen
}

// rank returns the rank of a connection among those that may be closed in favor of another
// one, of which the one with the highest rank is, and false for one that may not.
func rank(at phase, waited time.Duration, held int) (float64, bool) {
	if at == phaseServing || waited < minWait {
		return 0, false
	}
	r := float64(waited) * float64(held)
	if at != phaseIdle {
		r *= unfinishedWeight
	}
	return r, true
}

// remove removes a connection. The caller holds mu.
func (l *Listener) remove(c *conn) {
	if _, known := l.conns[c]; !known {
		return
	}
	delete(l.conns, c)
	if l.addresses[c.address]--; l.addresses[c.address] == 0 {
		delete(l.addresses, c.address)
	}
}

// conn is a connection of a client.
type conn struct {
	net.Conn
	listener *Listener
	address  string
	// packed is the phase, and above phaseBits the time since which it lasts, in
	// nanoseconds since the listener was started.
	packed atomic.Int64
	// received is the number of bytes that were read from it.
	received atomic.Int64

	// mu guards requests, the requests of HTTP/2 by phase.
	mu       sync.Mutex
	requests [phaseClosed]int
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.received.Add(int64(n))
	return n, err
}

// phase returns the present phase.
func (c *conn) phase() phase { return phase(c.packed.Load() & (1<<phaseBits - 1)) }

// enter begins a phase. It returns false if the connection was closed in favor of another
// one.
func (c *conn) enter(p phase) bool {
	next := int64(time.Since(c.listener.started))<<phaseBits | int64(p)
	for {
		packed := c.packed.Load()
		if phase(packed&(1<<phaseBits-1)) == phaseClosed {
			return false
		}
		if c.packed.CompareAndSwap(packed, next) {
			return true
		}
	}
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.listener.mu.Lock()
	c.listener.remove(c)
	c.listener.mu.Unlock()
	return c.Conn.Close()
}

type connKey struct{}

// Attach makes a server report the phases of the connections of a Listener.
func Attach(s *http.Server) *http.Server {
	handler := s.Handler
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		if c, ok := unwrap(c); ok {
			ctx = context.WithValue(ctx, connKey{}, c)
		}
		return ctx
	}
	s.ConnState = func(c net.Conn, state http.ConnState) {
		if c, ok := unwrap(c); ok {
			switch state {
			case http.StateActive:
				c.enter(phaseHead)
			case http.StateIdle:
				c.enter(phaseIdle)
			}
		}
	}
	s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		p := phaseServing
		if r.ContentLength != 0 {
			p = phaseBody
		}
		if c, ok := r.Context().Value(connKey{}).(*conn); ok && r.ProtoMajor >= 2 {
			x := &stream{conn: c, at: phaseIdle}
			if !x.enter(p) {
				panic(http.ErrAbortHandler) // nothing of it has run
			}
			defer x.enter(phaseIdle)
			r = r.WithContext(context.WithValue(r.Context(), streamKey{}, x))
		} else if !enter(r.Context(), p) {
			panic(http.ErrAbortHandler)
		}
		handler.ServeHTTP(w, r)
	})
	return s
}

// unwrap returns the connection of a Listener below a connection, which may be that of TLS.
func unwrap(c net.Conn) (*conn, bool) {
	if t, ok := c.(*tls.Conn); ok {
		c = t.NetConn()
	}
	known, ok := c.(*conn)
	return known, ok
}

// HasReadBody records that the body of a request was read, so that its connection no longer
// waits for its client. It returns false if the connection was closed before, in favor of
// another one: the request must not run.
func HasReadBody(ctx context.Context) bool { return enter(ctx, phaseServing) }

// AwaitMessage records that the request, which has no body, waits for a first message of its
// client. HasReadBody ends that.
func AwaitMessage(ctx context.Context) { enter(ctx, phaseBody) }

func enter(ctx context.Context, p phase) bool {
	if x, ok := ctx.Value(streamKey{}).(*stream); ok {
		return x.enter(p)
	}
	c, ok := ctx.Value(connKey{}).(*conn)
	return !ok || c.enter(p)
}

type streamKey struct{}

// stream is one of the requests that run on a connection at once, with HTTP/2.
type stream struct {
	conn *conn
	at   phase // phaseBody, phaseServing, or phaseIdle before and after these
}

// enter begins a phase of a request. The connection is served while any of its requests is,
// and otherwise waits for its client since the last one was or, if none is left, is idle.
func (x *stream) enter(p phase) bool {
	c := x.conn
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requests[x.at]--
	c.requests[p]++
	x.at = p
	at := phaseIdle
	switch {
	case c.requests[phaseServing] > 0:
		at = phaseServing
	case c.requests[phaseBody] > 0:
		at = phaseBody
	}
	if c.phase() == at {
		return true // it goes on since when it began
	}
	return c.enter(at)
}

// Address returns the IP address of a remote address with a port.
func Address(remote string) string {
	host, _, err := net.SplitHostPort(remote)
	if err != nil {
		return remote
	}
	return host
}
