package edge

import (
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"carawayproxy.example/caraway/internal/routes"
)

// The routing document says how long callers may stay idle and take to send a
// request's headers, and may change that while the server runs. net/http keeps
// such bounds for good, so it is given stand-ins that no real bound is as long
// as, and each connection puts the document's in their place.
const (
	idleStandIn   = 48 * time.Hour
	headerStandIn = 24 * time.Hour
)

// boundedListener gives its connections the document's bounds.
type boundedListener struct {
	net.Listener
	limits func() routes.Limits
}

// Accept implements net.Listener.
func (l boundedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, errors.WithStack(err)
	}
	return boundedConn{c, l.limits}, nil
}

type boundedConn struct {
	net.Conn
	limits func() routes.Limits
}

// SetReadDeadline implements net.Conn.
func (c boundedConn) SetReadDeadline(t time.Time) error {
	if t.IsZero() {
		return c.Conn.SetReadDeadline(t)
	}
	now := time.Now()
	switch left := t.Sub(now); {
	case left > (idleStandIn+headerStandIn)/2:
		t = now.Add(orElse(c.limits().IdleTimeout, idleTimeout))
	case left > headerStandIn/2:
		t = now.Add(orElse(c.limits().HeaderTimeout, headerTimeout))
	}
	return c.Conn.SetReadDeadline(t)
}

// orElse is a bound of the document, or the default where it has none.
func orElse(bound, otherwise time.Duration) time.Duration {
	if bound > 0 {
		return bound
	}
	return otherwise
}

// callerLimits are those of the document in force.
func (d *Daemon) callerLimits() routes.Limits {
	if t := d.routes.Table(); t != nil {
		return t.Document.Limits
	}
	return routes.Limits{}
}

// boundedByDocument leaves a server's bounds to its connections.
func boundedByDocument(s *http.Server) *http.Server {
	s.ReadHeaderTimeout, s.IdleTimeout = headerStandIn, idleStandIn
	return s
}
