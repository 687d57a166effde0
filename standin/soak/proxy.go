// Package soak runs the real daemon as separate processes on loopback, against
// the simulated platform of standin/site. It injects faults from outside:
// signals, a proxy between each daemon and the store, unresponsive engines. It
// checks what callers and backend servers observe.
package soak

import (
	"io"
	"net"
	"sync"
	"time"
)

// Mode is how a proxy treats its connections.
type Mode int

// Modes of a proxy.
const (
	Forward       Mode = iota // forwards at once
	Delay                     // forwards with a delay
	Blackhole                 // forwards nothing; connections stay open
	DropResponses             // forwards nothing from the server
	Reset                     // closes connections at once
)

// delayTime is the delay of the Delay mode for each read.
const delayTime = 150 * time.Millisecond

// Proxy forwards connections from one daemon to the store. It is safe for
// concurrent use.
type Proxy struct {
	listener net.Listener
	target   string

	mu      sync.Mutex
	mode    Mode
	conns   map[net.Conn]bool
	changed chan struct{} // closed and replaced at each change of the mode
}

// NewProxy listens on a loopback port and forwards connections to address to.
func NewProxy(to string) (*Proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Proxy{listener: l, target: to, conns: map[net.Conn]bool{}, changed: make(chan struct{})}
	go p.acceptLoop()
	return p, nil
}

// Address returns the address on which the proxy listens.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// SetMode changes the mode for new and open connections.
func (p *Proxy) SetMode(m Mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
	close(p.changed)
	p.changed = make(chan struct{})
	if m == Reset {
		for c := range p.conns {
			_ = c.Close()
		}
	}
}

// Close closes the listener and all connections.
func (p *Proxy) Close() {
	_ = p.listener.Close()
	p.SetMode(Reset)
}

func (p *Proxy) acceptLoop() {
	for {
		from, err := p.listener.Accept()
		if err != nil {
			return // closed
		}
		go p.forward(from)
	}
}

func (p *Proxy) forward(from net.Conn) {
	defer from.Close()
	if m, _ := p.current(); m == Reset {
		return
	}
	to, err := net.Dial("tcp", p.target)
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

func (p *Proxy) current() (Mode, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode, p.changed
}

// copy forwards bytes in the current mode until either end closes. back is true
// for bytes from the server.
func (p *Proxy) copy(to io.Writer, from io.Reader, back bool) {
	buf := make([]byte, 16<<10)
	for {
		n, err := from.Read(buf)
		for {
			m, changed := p.current()
			if m == Delay {
				time.Sleep(delayTime)
			}
			if m != Blackhole && (m != DropResponses || !back) {
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
