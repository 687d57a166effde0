package site

import (
	"context"
	"net"
	"slices"
	"sync"
	"syscall"
)

// LinkFault is how a daemon's links to backend servers are lost.
type LinkFault int

const (
	// LinksSilent holds up everything on old and new connections.
	LinksSilent LinkFault = iota + 1
	// LinksReset breaks open connections and refuses new ones.
	LinksReset
	// LinksRefuse keeps open connections and refuses new ones.
	LinksRefuse
)

// links are a daemon's connections to the servers, for faults on them. The zero
// value has no fault.
type links struct {
	mu    sync.Mutex
	lost  map[string]LinkFault // by IP address of the server
	conns map[*linkConn]bool
}

// linkConn is a connection to a server.
type linkConn struct {
	net.Conn
	links *links
	ip    string
}

// errLinkRefused is the error of dials over lost links that refuse.
var errLinkRefused = &net.OpError{Op: "dial", Net: "tcp", Err: syscall.ECONNREFUSED}

// dialer returns a dial function with the links' faults.
func (l *links) dialer(dial func(ctx context.Context, network, address string) (net.Conn, error)) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		ip, _, err := net.SplitHostPort(address)
		if err != nil {
			return nil, err
		}
		if f := l.fault(ip); f == LinksReset || f == LinksRefuse {
			return nil, errLinkRefused
		}
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		c := &linkConn{Conn: conn, links: l, ip: ip}
		l.mu.Lock()
		defer l.mu.Unlock()
		if l.conns == nil {
			l.conns = map[*linkConn]bool{}
		}
		l.conns[c] = true
		return c, nil
	}
}

func (l *links) fault(ip string) LinkFault {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lost[ip]
}

// Close implements net.Conn.
func (c *linkConn) Close() error {
	c.links.mu.Lock()
	delete(c.links.conns, c)
	c.links.mu.Unlock()
	return c.Conn.Close()
}

// LoseLinks makes a daemon lose its links to the servers at some addresses, all
// servers if there are none. RestoreLinks ends it.
func (d *Daemon) LoseLinks(fault LinkFault, addresses ...string) {
	var broken []*linkConn
	ips := d.world.serverIPs(addresses)
	d.links.mu.Lock()
	d.links.lost = map[string]LinkFault{}
	for _, ip := range ips {
		d.links.lost[ip] = fault
	}
	for c := range d.links.conns {
		if fault == LinksReset && slices.Contains(ips, c.ip) {
			broken = append(broken, c)
		}
	}
	d.links.mu.Unlock()
	if fault == LinksSilent {
		for _, ip := range ips {
			d.world.Net.CutBoth(d.ip, ip)
		}
	}
	for _, c := range broken {
		_ = c.Close() // ends both directions at once
	}
}

// RestoreLinks restores a daemon's links.
func (d *Daemon) RestoreLinks() {
	d.links.mu.Lock()
	lost := d.links.lost
	d.links.lost = nil
	d.links.mu.Unlock()
	for ip, fault := range lost {
		if fault == LinksSilent {
			d.world.Net.Heal(d.ip, ip)
		}
	}
}

// serverIPs returns the IP addresses of the servers at some addresses, all servers
// if there are none.
func (w *World) serverIPs(addresses []string) []string {
	if len(addresses) == 0 {
		addresses = w.ServerAddresses()
	}
	var ips []string
	for _, a := range addresses {
		if ip, _, err := net.SplitHostPort(a); err == nil && !slices.Contains(ips, ip) {
			ips = append(ips, ip)
		}
	}
	return ips
}
