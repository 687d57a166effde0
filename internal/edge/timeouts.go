package edge

import (
	"net"
	"net/http"
	"time"

	"carawayproxy.example/caraway/internal/routes"
)

// The routing document states how long client connections may stay idle and how
// long clients may take to send request headers, and may change these timeouts
// while the server runs. net/http does not support changing them, so the server
// gets placeholder timeouts, longer than any real timeout. Each connection
// recognizes them and uses the document's timeouts instead.
const (
	idlePlaceholder   = 48 * time.Hour
	headerPlaceholder = 24 * time.Hour
)

// timeoutListener applies the document's timeouts to accepted connections.
type timeoutListener struct {
	net.Listener
	limits func() routes.Limits
}

// Accept implements net.Listener.
func (l timeoutListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err // http.Server tries again after one that it recognizes as temporary
	}
	return timeoutConn{c, l.limits}, nil
}

type timeoutConn struct {
	net.Conn
	limits func() routes.Limits
}

// SetReadDeadline implements net.Conn.
func (c timeoutConn) SetReadDeadline(t time.Time) error {
	if t.IsZero() {
		return c.Conn.SetReadDeadline(t)
	}
	now := time.Now()
	switch left := t.Sub(now); {
	case left > (idlePlaceholder+headerPlaceholder)/2:
		t = now.Add(orDefault(c.limits().IdleTimeout, idleTimeout))
	case left > headerPlaceholder/2:
		t = now.Add(orDefault(c.limits().HeaderTimeout, headerTimeout))
	}
	return c.Conn.SetReadDeadline(t)
}

// orDefault returns the document's timeout, or the default if it has none.
func orDefault(timeout, fallback time.Duration) time.Duration {
	if timeout > 0 {
		return timeout
	}
	return fallback
}

// callerLimits returns the limits of the current routing document.
func (d *Daemon) callerLimits() routes.Limits {
	if t := d.routes.Table(); t != nil {
		return t.Document.Limits
	}
	return routes.Limits{}
}

// withPlaceholderTimeouts sets the placeholder timeouts of a server whose
// connections come from a timeoutListener.
func withPlaceholderTimeouts(s *http.Server) *http.Server {
	s.ReadHeaderTimeout, s.IdleTimeout = headerPlaceholder, idlePlaceholder
	return s
}
