// Package network is an in-memory network for tests in virtual time. Its hosts
// have listeners and dialers. Traffic can be delayed and cut in one or both
// directions, and hosts can be frozen and killed. A cut or a frozen host holds
// bytes instead of losing them, as TCP keeps them for retransmission.
package network

import (
	"context"
	"maps"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// Errors of dials and connections.
var (
	ErrRefused error = syscall.ECONNREFUSED
	ErrReset         = errors.New("connection reset")
	ErrKilled        = errors.New("host was killed")
)

// Network connects hosts. It is safe for concurrent use.
type Network struct {
	latency func(from, to string) time.Duration
	// faults is an immutable copy of cuts and frozen, nil if both are empty. It
	// is read for every message, without mu.
	faults atomic.Pointer[faults]
	// links is an immutable map of the links with a limited rate, by IP address. It is
	// nil if there are none.
	links atomic.Pointer[map[string]*hostLink]

	mu        sync.Mutex
	hosts     map[string]*Host
	listeners map[string]*listener // by "ip:port"
	cuts      map[path]bool
	frozen    map[string]bool
	conns     map[*conn]bool
	changed   chan struct{} // closed when a fault ends
	stats     map[string]*hostStats
	ports     uint64 // number of outgoing ports used
}

// path is one direction between two hosts.
type path struct{ from, to string }

// faults holds the directions and hosts whose traffic is held.
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

// hostStats holds the counters of Stats.
type hostStats struct {
	sent, received, writes, dials atomic.Uint64
}

// New returns a network without hosts. latency returns the one-way delay between
// two addresses without port; nil means no delay.
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

// Host returns the live host with an ip. It creates one if there is none or the
// last was killed.
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

// Cut holds all bytes from one host to another, and new connections between the
// two, until Heal.
func (n *Network) Cut(from, to string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cuts[path{from, to}] = true
	n.updateFaults()
}

// CutBoth cuts both directions.
func (n *Network) CutBoth(a, b string) {
	n.Cut(a, b)
	n.Cut(b, a)
}

// Heal ends a cut in both directions.
func (n *Network) Heal(a, b string) {
	n.endFault(func() {
		delete(n.cuts, path{a, b})
		delete(n.cuts, path{b, a})
	})
}

// Freeze holds all bytes from and to a host until Thaw. Its connections stay
// open and new ones are accepted, as the kernel does for a stopped process. The
// code on the host keeps running.
func (n *Network) Freeze(ip string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.frozen[ip] = true
	n.updateFaults()
}

// Thaw ends a freeze.
func (n *Network) Thaw(ip string) {
	n.endFault(func() { delete(n.frozen, ip) })
}

// Stats returns the traffic counts of all hosts that have had the ip.
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

// updateFaults updates faults. The caller holds mu.
func (n *Network) updateFaults() {
	if len(n.cuts) == 0 && len(n.frozen) == 0 {
		n.faults.Store(nil)
		return
	}
	n.faults.Store(&faults{cuts: maps.Clone(n.cuts), frozen: maps.Clone(n.frozen)})
}

// endFault ends a fault and wakes the connections that it may have held.
func (n *Network) endFault(end func()) {
	n.mu.Lock()
	end()
	n.updateFaults()
	close(n.changed)
	n.changed = make(chan struct{})
	conns := slices.Collect(maps.Keys(n.conns))
	n.mu.Unlock()
	for _, c := range conns {
		c.in.wake()
	}
}

// SetLinkRate limits the rate at which a host sends and receives, in bytes a second each.
func (n *Network) SetLinkRate(ip string, bytesPerSecond float64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	links := map[string]*hostLink{}
	if old := n.links.Load(); old != nil {
		links = maps.Clone(*old)
	}
	links[ip] = &hostLink{rate: bytesPerSecond}
	n.links.Store(&links)
}

// link returns the limited link of a host, nil if it has none.
func (n *Network) link(ip string) *hostLink {
	if links := n.links.Load(); links != nil {
		return (*links)[ip]
	}
	return nil
}

// hostLink is a host's link with a limited rate. What is sent at the same time is
// transferred in the order in which it was written.
type hostLink struct {
	rate float64 // bytes a second

	mu                sync.Mutex
	sentBy, arrivedBy time.Time // when all that was written has left, and has arrived
}

// send returns when a number of bytes that are written now have left the host.
func (l *hostLink) send(now time.Time, bytes int) time.Time {
	if l == nil {
		return now
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.transfer(&l.sentBy, now, bytes)
}

// receive returns when a number of bytes whose transfer to the host begins at a time
// have arrived.
func (l *hostLink) receive(from time.Time, bytes int) time.Time {
	if l == nil {
		return from
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.transfer(&l.arrivedBy, from, bytes)
}

func (l *hostLink) transfer(free *time.Time, from time.Time, bytes int) time.Time {
	if free.After(from) {
		from = *free
	}
	*free = from.Add(time.Duration(float64(bytes) / l.rate * float64(time.Second)))
	return *free
}

// Separated reports whether bytes between two hosts are held in both
// directions.
func (n *Network) Separated(a, b string) bool { return n.isHeld(a, b) && n.isHeld(b, a) }

// isHeld reports whether bytes from one host to another are held.
func (n *Network) isHeld(from, to string) bool {
	f := n.faults.Load()
	return f != nil && (f.cuts[path{from, to}] || f.frozen[from] || f.frozen[to])
}

// Host is one machine with one ip and any number of ports.
type Host struct {
	network *Network
	ip      string
	killed  chan struct{}
	stats   *hostStats
}

// Addr returns "ip:port" for a port of the host.
func (h *Host) Addr(port string) string { return net.JoinHostPort(h.ip, port) }

// Kill closes all of the host's connections and listeners. Peers see a reset
// once no fault holds it. The ip becomes free for a new host.
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
	addr := address(net.JoinHostPort(h.ip, port))
	if n.listeners[string(addr)] != nil {
		return nil, errors.Errorf("address %s is already in use", addr)
	}
	l := &listener{host: h, addr: addr, backlog: make(chan *conn, backlog), closed: make(chan struct{})}
	n.listeners[string(addr)] = l
	return l, nil
}

// Dial connects to "ip:port". It waits while either direction is cut.
func (h *Host) Dial(ctx context.Context, _, to string) (net.Conn, error) {
	n := h.network
	ip, _, err := net.SplitHostPort(to)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	h.stats.dials.Add(1)
	if err := n.waitUncut(ctx, h, ip); err != nil {
		return nil, err
	}
	if err := n.waitRoundTrip(ctx, h.ip, ip); err != nil {
		return nil, err
	}
	return n.connect(ctx, h, to)
}

// waitUncut waits until neither direction is cut.
func (n *Network) waitUncut(ctx context.Context, h *Host, ip string) error {
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

// waitRoundTrip waits for one round trip.
func (n *Network) waitRoundTrip(ctx context.Context, from, to string) error {
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
	client, server := newPair(n, h, l.host, l.addr)
	n.conns[client], n.conns[server] = true, true
	n.mu.Unlock()
	select {
	case l.backlog <- server:
		return client, nil
	case <-l.closed:
	case <-ctx.Done():
	}
	client.Close()
	server.Close()
	return nil, errors.Wrap(ErrRefused, to)
}

func (n *Network) removeConn(c *conn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.conns, c)
}

// address implements net.Addr.
type address string

func (a address) Network() string { return "tcp" }
func (a address) String() string  { return string(a) }

// backlog is the maximum number of connections waiting to be accepted.
const backlog = 256

type listener struct {
	host    *Host
	addr    address
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
		if n.listeners[string(l.addr)] == l {
			delete(n.listeners, string(l.addr))
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
func (l *listener) Addr() net.Addr { return l.addr }
