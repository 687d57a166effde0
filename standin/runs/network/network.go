// Package network is an in-memory network for tests in virtual time: hosts
// with listeners and dialers, whose traffic can be delayed, cut in one or both
// directions, frozen and killed. Bytes that meet a cut or a frozen host are
// held, as a TCP connection would keep them for resending.
package network

import (
	"context"
	"maps"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// Errors of dialing and of connections.
var (
	ErrRefused = errors.New("connection refused")
	ErrReset   = errors.New("connection reset")
	ErrKilled  = errors.New("host was killed")
)

// Network joins hosts. It is safe for concurrent use.
type Network struct {
	latency func(from, to string) time.Duration
	// faults is what cuts and frozen say, nil when they are empty. It is asked
	// for every message and replaced, never changed.
	faults atomic.Pointer[faults]

	mu        sync.Mutex
	hosts     map[string]*Host
	listeners map[string]*listener // by "ip:port"
	cuts      map[path]bool
	frozen    map[string]bool
	conns     map[*conn]bool
	changed   chan struct{} // closed when a fault ends
	stats     map[string]*hostStats
	ports     uint64 // outgoing ports used
}

// path is one direction between two hosts.
type path struct{ from, to string }

// faults are the directions and hosts whose bytes are held.
type faults struct {
	cuts   map[path]bool
	frozen map[string]bool
}

// Stats counts a host's traffic.
type Stats struct {
	BytesSent     uint64
	BytesReceived uint64
	Writes        uint64
	Dials         uint64
}

// hostStats collects Stats.
type hostStats struct {
	sent, received, writes, dials atomic.Uint64
}

// New returns a network without hosts. latency gives the one-way delay
// between two addresses without port; nil for none.
func New(latency func(from, to string) time.Duration) *Network {
	if latency == nil {
		latency = func(string, string) time.Duration { return 0 }
	}
	return &Network{
		latency:   latency,
		hosts:     map[string]*Host{},
		listeners: map[string]*listener{},
		cuts:      map[path]bool{},
		frozen:    map[string]bool{},
		conns:     map[*conn]bool{},
		changed:   make(chan struct{}),
		stats:     map[string]*hostStats{},
	}
}

// Host returns the live host with an ip, a new one after the last was killed.
func (n *Network) Host(ip string) *Host {
	n.mu.Lock()
	defer n.mu.Unlock()
	if h := n.hosts[ip]; h != nil {
		return h
	}
	if n.stats[ip] == nil {
		n.stats[ip] = &hostStats{}
	}
	h := &Host{network: n, ip: ip, killed: make(chan struct{}), stats: n.stats[ip]}
	n.hosts[ip] = h
	return h
}

// Cut holds all bytes from one host to another, and new connections of the
// pair, until Heal.
func (n *Network) Cut(from, to string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cuts[path{from, to}] = true
	n.publish()
}

// CutBoth cuts both directions.
func (n *Network) CutBoth(a, b string) {
	n.Cut(a, b)
	n.Cut(b, a)
}

// Heal ends a cut in both directions.
func (n *Network) Heal(a, b string) {
	n.release(func() {
		delete(n.cuts, path{a, b})
		delete(n.cuts, path{b, a})
	})
}

// Freeze holds all bytes from and to a host until Thaw. Its connections stay
// open and new ones are accepted, as by the kernel of a stopped process. The
// code that runs on the host is not stopped.
func (n *Network) Freeze(ip string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.frozen[ip] = true
	n.publish()
}

// Thaw ends a freeze.
func (n *Network) Thaw(ip string) {
	n.release(func() { delete(n.frozen, ip) })
}

// Stats returns the counts of a host's traffic, of all hosts that had the ip.
func (n *Network) Stats(ip string) Stats {
	n.mu.Lock()
	defer n.mu.Unlock()
	s := n.stats[ip]
	if s == nil {
		return Stats{}
	}
	return Stats{
		BytesSent:     s.sent.Load(),
		BytesReceived: s.received.Load(),
		Writes:        s.writes.Load(),
		Dials:         s.dials.Load(),
	}
}

// publish renews faults. Called with mu held.
func (n *Network) publish() {
	if len(n.cuts) == 0 && len(n.frozen) == 0 {
		n.faults.Store(nil)
		return
	}
	n.faults.Store(&faults{cuts: maps.Clone(n.cuts), frozen: maps.Clone(n.frozen)})
}

// release ends a fault and wakes what it held.
func (n *Network) release(end func()) {
	n.mu.Lock()
	end()
	n.publish()
	close(n.changed)
	n.changed = make(chan struct{})
	conns := slices.Collect(maps.Keys(n.conns))
	n.mu.Unlock()
	for _, c := range conns {
		c.in.wake()
	}
}

// Separated reports whether bytes between two hosts are held in both
// directions.
func (n *Network) Separated(a, b string) bool { return n.held(a, b) && n.held(b, a) }

// held reports whether bytes from one host to another are held.
func (n *Network) held(from, to string) bool {
	f := n.faults.Load()
	return f != nil && (f.cuts[path{from, to}] || f.frozen[from] || f.frozen[to])
}

// Host is one machine; it has one ip and any number of ports.
type Host struct {
	network *Network
	ip      string
	killed  chan struct{}
	stats   *hostStats
}

// Addr returns "ip:port" for a port of the host.
func (h *Host) Addr(port string) string { return net.JoinHostPort(h.ip, port) }

// Kill closes all of the host's connections and listeners. Peers see a reset
// as soon as no fault holds it back. The ip is free for a new host.
func (h *Host) Kill() {
	n := h.network
	n.mu.Lock()
	if n.hosts[h.ip] != h {
		n.mu.Unlock()
		return
	}
	delete(n.hosts, h.ip)
	close(h.killed)
	var conns []*conn
	for c := range n.conns {
		if c.host == h {
			conns = append(conns, c)
		}
	}
	var listeners []*listener
	for _, l := range n.listeners {
		if l.host == h {
			listeners = append(listeners, l)
		}
	}
	n.mu.Unlock()
	for _, l := range listeners {
		l.Close()
	}
	for _, c := range conns {
		c.reset()
	}
}

// Listen opens a port of the host.
func (h *Host) Listen(port string) (net.Listener, error) {
	n := h.network
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.hosts[h.ip] != h {
		return nil, ErrKilled
	}
	at := address(net.JoinHostPort(h.ip, port))
	if n.listeners[string(at)] != nil {
		return nil, errors.Errorf("%s is in use", at)
	}
	l := &listener{host: h, at: at, backlog: make(chan *conn, backlog), closed: make(chan struct{})}
	n.listeners[string(at)] = l
	return l, nil
}

// Dial connects to "ip:port". While either direction is cut it waits.
func (h *Host) Dial(ctx context.Context, _, to string) (net.Conn, error) {
	n := h.network
	ip, _, err := net.SplitHostPort(to)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	h.stats.dials.Add(1)
	if err := n.waitOpen(ctx, h, ip); err != nil {
		return nil, err
	}
	if err := n.travel(ctx, h.ip, ip); err != nil {
		return nil, err
	}
	return n.connect(ctx, h, to)
}

// waitOpen waits until neither direction is cut.
func (n *Network) waitOpen(ctx context.Context, h *Host, ip string) error {
	for {
		n.mu.Lock()
		cut := n.cuts[path{h.ip, ip}] || n.cuts[path{ip, h.ip}]
		changed := n.changed
		n.mu.Unlock()
		if !cut {
			return nil
		}
		select {
		case <-changed:
		case <-h.killed:
			return ErrKilled
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// travel waits for one round trip.
func (n *Network) travel(ctx context.Context, from, to string) error {
	d := n.latency(from, to) + n.latency(to, from)
	if d <= 0 {
		return nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (n *Network) connect(ctx context.Context, h *Host, to string) (net.Conn, error) {
	n.mu.Lock()
	if n.hosts[h.ip] != h {
		n.mu.Unlock()
		return nil, ErrKilled
	}
	l := n.listeners[to]
	if l == nil {
		n.mu.Unlock()
		return nil, errors.Wrap(ErrRefused, to)
	}
	near, far := newPair(n, h, l.host, l.at)
	n.conns[near], n.conns[far] = true, true
	n.mu.Unlock()
	select {
	case l.backlog <- far:
		return near, nil
	case <-l.closed:
	case <-ctx.Done():
	}
	near.Close()
	far.Close()
	return nil, errors.Wrap(ErrRefused, to)
}

func (n *Network) forget(c *conn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.conns, c)
}

// address is a net.Addr.
type address string

func (a address) Network() string { return "tcp" }
func (a address) String() string  { return string(a) }

// backlog bounds the connections that wait to be accepted.
const backlog = 256

type listener struct {
	host    *Host
	at      address
	backlog chan *conn
	once    sync.Once
	closed  chan struct{}
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.backlog:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *listener) Close() error {
	l.once.Do(func() {
		n := l.host.network
		n.mu.Lock()
		if n.listeners[string(l.at)] == l {
			delete(n.listeners, string(l.at))
		}
		n.mu.Unlock()
		close(l.closed)
		l.drain()
	})
	return nil
}

func (l *listener) drain() {
	for {
		select {
		case c := <-l.backlog:
			c.reset()
		default:
			return
		}
	}
}

// Addr implements net.Listener.
func (l *listener) Addr() net.Addr { return l.at }
