package site

import (
	"maps"
	"net"
	"slices"
	"sync"
	"time"
)

// silence holds the answers of a backend server's process for a time. Its
// connections stay open and its host accepts connections and bytes, but the
// process reads and writes nothing: no event or head, and no answer to a report
// or an order. Afterwards everything continues where it stood. The zero value is
// not silent.
type silence struct {
	mu    sync.Mutex
	until time.Time
	// inside lets each connection write the first half of its next write, so that
	// the silence begins inside an event or a head.
	inside bool
}

// begin starts a silence, or extends one.
func (s *silence) begin(length time.Duration, inside bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if end := time.Now().Add(length); end.After(s.until) {
		s.until = end
	}
	s.inside = inside
}

// state returns the end of the silence and whether it begins inside writes.
func (s *silence) state() (until time.Time, inside bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.until, s.inside
}

func (s *silence) silent() bool {
	until, _ := s.state()
	return time.Now().Before(until)
}

// wait returns once the process is not silent.
func (s *silence) wait() {
	for {
		until, _ := s.state()
		left := time.Until(until)
		if left <= 0 {
			return
		}
		time.Sleep(left)
	}
}

// silentHost is the host of a backend server that can be silent.
type silentHost struct {
	Host
	silence *silence
}

// Listen implements Host.
func (h silentHost) Listen(port string) (net.Listener, error) {
	l, err := h.Host.Listen(port)
	if err != nil {
		return nil, err
	}
	return silentListener{l, h.silence}, nil
}

type silentListener struct {
	net.Listener
	silence *silence
}

// Accept implements net.Listener.
func (l silentListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &silentConn{Conn: c, silence: l.silence}, nil
}

// silentConn is a connection to a backend server that can be silent. Only one
// goroutine writes at a time.
type silentConn struct {
	net.Conn
	silence *silence
	halved  time.Time // end of the silence in which a write was halved
}

// Read implements net.Conn.
func (c *silentConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.silence.wait()
	}
	return n, err
}

// Write implements net.Conn.
func (c *silentConn) Write(p []byte) (int, error) {
	until, inside := c.silence.state()
	if !inside || !time.Now().Before(until) || c.halved.Equal(until) {
		c.silence.wait()
		return c.Conn.Write(p)
	}
	c.halved = until
	n, err := c.Conn.Write(p[:len(p)/2])
	if err != nil {
		return n, err
	}
	c.silence.wait()
	rest, err := c.Conn.Write(p[n:])
	return n + rest, err
}

// Silence makes an engine silent for a time. Its group sends no events meanwhile,
// whichever member it is.
func (w *World) Silence(e *Engine, length time.Duration) { e.silence.begin(length, false) }

// SilenceInside is Silence, but every connection first sends half of what the
// engine writes next.
func (w *World) SilenceInside(e *Engine, length time.Duration) { e.silence.begin(length, true) }

// SilencePlain makes a plain server silent for a time.
func (w *World) SilencePlain(p *Plain, length time.Duration) { p.silence.begin(length, false) }

// SilenceDomain makes all engines of a fabric domain silent for a time.
func (w *World) SilenceDomain(domain string, length time.Duration) {
	for _, e := range w.engines() {
		if e.domain == domain {
			w.Silence(e, length)
		}
	}
}

// SilenceAll makes all backend servers of some services silent for a time, those
// of all services if there are none.
func (w *World) SilenceAll(length time.Duration, services ...string) {
	if len(services) == 0 {
		services = []string{EngineService, PlainService}
	}
	for _, service := range services {
		switch service {
		case EngineService:
			for _, e := range w.engines() {
				w.Silence(e, length)
			}
		case PlainService:
			for _, p := range w.Plains {
				w.SilencePlain(p, length)
			}
		}
	}
}

// engines returns all engines, including those that have ended.
func (w *World) engines() []*Engine {
	w.shared.mu.Lock()
	defer w.shared.mu.Unlock()
	return append([]*Engine(nil), w.Engines...)
}

// hasSilentMember reports whether a member of the group of m other than its
// leader is silent. The caller holds the lock of World.shared.
func (s *sharedState) hasSilentMember(m *groupMembership) bool {
	for _, id := range m.members[1:] {
		if e := s.engines[id]; e != nil && e.silence.silent() {
			return true
		}
	}
	return false
}

// recordBrokenOff records that an engine ended a stream of a request on its own.
func (s *sharedState) recordBrokenOff(id string, e *Engine, m *groupMembership) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.brokenOff[id] = true
	if last := s.lastWriter[id]; !e.dead && e.membership != m && (last == "" || last == e.ID) {
		s.endedByOrder[id] = true
	}
}

// recordEvent records which engine last sent an event of a request.
func (s *sharedState) recordEvent(id string, e *Engine) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastWriter[id] = e.ID
}

// EndedByOrder returns the requests whose streams engines ended since they were
// ordered out of their groups, while no other engine had gone on with them.
func (w *World) EndedByOrder() []string {
	w.shared.mu.Lock()
	defer w.shared.mu.Unlock()
	return slices.Sorted(maps.Keys(w.shared.endedByOrder))
}

// BrokenOff reports whether an engine ended a stream of a request on its own, for
// example because it was ordered out of its group.
func (w *World) BrokenOff(id string) bool {
	w.shared.mu.Lock()
	defer w.shared.mu.Unlock()
	return w.shared.brokenOff[id]
}
