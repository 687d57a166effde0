// Package soak runs the real daemon as separate processes on loopback, before
// the stand-ins of standin/site, and breaks them from outside: signals, a proxy
// before the store, engines that fall silent. It judges by what callers and
// backend servers see.
package soak

import (
	"io"
	"net"
	"sync"
	"time"
)

// Manner is what a proxy does to connections.
type Manner int

// Manners of a proxy.
const (
	Pass   Manner = iota
	Delay         // what comes is passed on late
	Silent        // nothing is passed on; connections stay open
	OneWay        // what the server sends is held back
	Reset         // connections are closed at once
)

// delayTime is how late a delaying proxy passes bytes on.
const delayTime = 150 * time.Millisecond

// Proxy stands between one daemon and the store. It is safe for concurrent use.
type Proxy struct {
	listener net.Listener
	to       string

	mu     sync.Mutex
	manner Manner
	conns  map[net.Conn]bool
	wait   chan struct{} // closed at each change of the manner
}

// NewProxy listens on a loopback port and passes on to an address.
func NewProxy(to string) (*Proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Proxy{listener: l, to: to, conns: map[net.Conn]bool{}, wait: make(chan struct{})}
	go p.run()
	return p, nil
}

// Address is where the proxy listens.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// Set changes what happens to connections, also to open ones.
func (p *Proxy) Set(m Manner) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.manner = m
	close(p.wait)
	p.wait = make(chan struct{})
	if m == Reset {
		for c := range p.conns {
			_ = c.Close()
		}
	}
}

// Close ends the proxy and its connections.
func (p *Proxy) Close() {
	_ = p.listener.Close()
	p.Set(Reset)
}

func (p *Proxy) run() {
	for {
		from, err := p.listener.Accept()
		if err != nil {
			return // closed
		}
		go p.carry(from)
	}
}

func (p *Proxy) carry(from net.Conn) {
	defer from.Close()
	if m, _ := p.now(); m == Reset {
		return
	}
	to, err := net.Dial("tcp", p.to)
	if err != nil {
		return
	}
	defer to.Close()
	p.mu.Lock()
	p.conns[from], p.conns[to] = true, true
	p.mu.Unlock()
	done := make(chan struct{}, 2)
	go func() { p.copy(to, from, false); done <- struct{}{} }()
	go func() { p.copy(from, to, true); done <- struct{}{} }()
	<-done
	p.mu.Lock()
	delete(p.conns, from)
	delete(p.conns, to)
	p.mu.Unlock()
}

func (p *Proxy) now() (Manner, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.manner, p.wait
}

// copy passes bytes on in the proxy's manner until either end closes.
func (p *Proxy) copy(to io.Writer, from io.Reader, back bool) {
	buf := make([]byte, 16<<10)
	for {
		n, err := from.Read(buf)
		for {
			m, changed := p.now()
			if m == Delay {
				time.Sleep(delayTime)
			}
			if m != Silent && (m != OneWay || !back) {
				break
			}
			<-changed
		}
		if n > 0 {
			if _, err := to.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
