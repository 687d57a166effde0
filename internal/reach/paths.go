// Package reach opens connections to backend servers, directly or, where this
// daemon's own links to them are lost, through another daemon.
package reach

import (
	"sync"
	"time"

	"carawayproxy.example/caraway/internal/fleet"
)

const (
	// failureWindow is the time within which failed dials of several servers show
	// that this daemon's own links are lost.
	failureWindow = time.Second
	// minFailedServers is the number of servers whose dials must fail, with no
	// successful one in between. If fewer are listed, all must fail and one must have
	// been reached before: while the deployment starts, the first server that is listed
	// may not answer yet. Of suspectServers or more, a further one is dialed at once.
	minFailedServers = 3
	suspectServers   = 2
	// relayTTL is how long a server that only another daemon could reach is dialed
	// through another daemon first.
	relayTTL = time.Second
	// relayRetention is how much longer the daemon that reached a server is
	// remembered.
	relayRetention = 30 * time.Second
)

// Paths decides which way connections to servers are opened, by the results of
// this daemon's own dials. It performs no I/O and is safe for concurrent use.
type Paths struct {
	mu       sync.Mutex
	failedAt map[string]time.Time     // servers whose last direct dial failed, by address
	relays   map[string]relayedServer // servers to dial through another daemon first
	// succeededAt is when a direct dial of any server last succeeded. linked is set
	// once one has, or another daemon has reached a server that this one could not.
	succeededAt time.Time
	linked      bool
	lost        bool
	// reached is the only server that a direct dial has reached since the last
	// failed one while the links are lost, empty for none.
	reached string
}

// relayedServer is a server that another daemon has reached for this one.
type relayedServer struct {
	until time.Time
	via   fleet.DaemonID
}

// NewPaths returns Paths without any result.
func NewPaths() *Paths {
	return &Paths{failedAt: map[string]time.Time{}, relays: map[string]relayedServer{}}
}

// RecordSuccess records a direct dial of one of a number of servers that succeeded.
// It reports whether lost links are back and, if not, whether they may be, so that a
// further server should be dialed: where the links to most servers are lost, one
// success shows little.
func (p *Paths) RecordSuccess(address string, servers int, now time.Time) (back, hopeful bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.succeededAt, p.linked = now, true
	delete(p.failedAt, address)
	delete(p.relays, address)
	switch {
	case !p.lost:
		return false, false
	case servers > 1 && (p.reached == "" || p.reached == address):
		p.reached = address
		return false, true
	}
	p.lost, p.reached = false, ""
	for a, r := range p.relays {
		r.until = now
		p.relays[a] = r
	}
	return true, false
}

// RecordFailure records a direct dial of one of a number of servers that failed. It
// reports whether the links count as lost from now on and, if not, whether they may
// be, so that a further server should be dialed.
func (p *Paths) RecordFailure(address string, servers int, now time.Time) (lost, suspect bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.failedAt[address] = now
	p.reached = ""
	failed := 0
	for a, at := range p.failedAt {
		switch {
		case now.Sub(at) > failureWindow:
			delete(p.failedAt, a)
		case at.After(p.succeededAt):
			failed++
		}
	}
	switch {
	case p.lost:
		return false, false
	case failed < minFailedServers && (failed < servers || !p.linked):
		return false, failed >= suspectServers
	}
	p.lost = true
	return true, false
}

// RecordRelayed records that another daemon reached a server that this one had
// failed to reach directly.
func (p *Paths) RecordRelayed(address string, via fleet.DaemonID, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for a, r := range p.relays {
		if now.Sub(r.until) > relayRetention {
			delete(p.relays, a)
		}
	}
	p.relays[address] = relayedServer{until: now.Add(relayTTL), via: via}
	p.linked = true
}

// LastRelay returns the daemon that last reached a server for this one, empty if
// none has lately.
func (p *Paths) LastRelay(address string) fleet.DaemonID {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.relays[address].via
}

// PrefersRelay reports whether a server is dialed through another daemon first.
func (p *Paths) PrefersRelay(address string, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.lost || now.Before(p.relays[address].until)
}

// FailedLately reports whether the last direct dial of a server failed within
// failureWindow.
func (p *Paths) FailedLately(address string, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	at, failed := p.failedAt[address]
	return failed && now.Sub(at) <= failureWindow
}

// Lost reports whether this daemon's own links to the servers are lost.
func (p *Paths) Lost() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.lost
}

// SucceededSince reports whether a direct dial has succeeded since a point in
// time.
func (p *Paths) SucceededSince(at time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.succeededAt.Before(at)
}
