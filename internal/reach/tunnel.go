package reach

import (
	"context"
	"crypto/subtle"
	"io"
	"net"
	"net/http"
	"net/url"
	"slices"
	"sync"
	"time"

	"github.com/coder/websocket"
	"github.com/pkg/errors"

	"carawayproxy.example/caraway/internal/httpx"
)

// TunnelPath is the HTTP path at which a daemon opens connections to backend
// servers for other daemons, on its listener for peers.
const TunnelPath = "/tunnel"

const (
	paramServer = "server"
	headerKey   = "Caraway-Tunnel-Key"
	headerFrom  = "Caraway-Daemon"
	// headerLinks is set to linksUp in the answer that a server can't be reached, if
	// the daemon that answers can reach others.
	headerLinks = "Caraway-Links"
	linksUp     = "up"
)

const (
	// tunnelTimeout limits the opening of a tunnel: the dial of the other daemon,
	// that daemon's dial of the server, and its check of its own links.
	tunnelTimeout = 250 * time.Millisecond
	// maxServedTunnels bounds the tunnels that a daemon serves.
	maxServedTunnels = 1024
	// maxFrameBytes bounds a message in a tunnel, copyBufferBytes those sent.
	maxFrameBytes   = 64 << 10
	copyBufferBytes = 16 << 10
	// tunnelIdleTimeout ends a tunnel on which nothing has arrived from the other
	// daemon nor from the server, longer than any request may be silent.
	tunnelIdleTimeout = 5 * time.Minute
)

// dialThroughPeers opens a connection to a server through another daemon, the one
// that reached the server last first. serverDown is set if daemons whose own links
// work could not reach the server.
func (d *Dialer) dialThroughPeers(ctx context.Context, address string) (conn net.Conn, serverDown bool, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	peers := d.peersFor(address)
	if len(peers) == 0 {
		return nil, false, errors.New("no other daemon has links to the backend servers")
	}
	type answer struct {
		conn   net.Conn
		linked bool
		err    error
	}
	answers := make(chan answer, len(peers))
	asked, answered, linkedFailures := 0, 0, 0
	ask := func() {
		p := peers[asked]
		asked++
		go func() {
			conn, linked, err := d.openTunnel(ctx, p, address)
			answers <- answer{conn, linked, err}
		}()
	}
	ask()
	next := time.NewTicker(askDelay)
	defer next.Stop()
	var grace <-chan time.Time // ends the wait for daemons that do not answer
	failed := func(a answer) (net.Conn, bool, error) {
		d.metrics.failed.Inc(1)
		return nil, linkedFailures >= min(minLinkedFailures, answered), a.err
	}
	var last answer
	discard := func() {
		for range asked - answered {
			if late := <-answers; late.err == nil {
				_ = late.conn.Close() // nothing was sent on it
			}
		}
	}
	for {
		select {
		case a := <-answers:
			answered++
			if a.err == nil {
				go discard()
				d.metrics.opened.Inc(1)
				return a.conn, false, nil
			}
			last = a
			if a.linked {
				linkedFailures++
			}
			switch {
			case asked < len(peers):
				ask()
			case answered == asked:
				return failed(last)
			}
			if a.linked && grace == nil {
				grace = time.After(failureGrace)
			}
		case <-grace:
			if asked == len(peers) || linkedFailures >= minLinkedFailures {
				go discard()
				return failed(last)
			}
			grace = time.After(askDelay)
		case <-next.C:
			if asked < len(peers) {
				ask()
			}
		}
	}
}

// peersFor returns the daemons to ask for a connection to a server, in this order.
func (d *Dialer) peersFor(address string) []Peer {
	cfg := d.cfg.Load()
	peers := cfg.Peers()
	if cfg.Carries != nil {
		carries := cfg.Carries(address)
		peers = slices.DeleteFunc(peers, func(p Peer) bool { return !carries(p) })
	}
	last := d.paths.LastRelay(address)
	if i := slices.IndexFunc(peers, func(p Peer) bool { return p.ID == last }); i > 0 {
		peers[0], peers[i] = peers[i], peers[0]
	}
	return peers[:min(len(peers), maxPeersAsked)]
}

// openTunnel opens a connection to a server through one daemon. linked is set if
// that daemon can't reach the server but others.
func (d *Dialer) openTunnel(ctx context.Context, p Peer, address string) (conn net.Conn, linked bool, err error) {
	// The tunnel's own request must not carry the values of ctx, such as the trace of
	// the request that the connection is for.
	dialCtx, cancel := context.WithTimeout(context.Background(), tunnelTimeout)
	defer cancel()
	defer context.AfterFunc(ctx, cancel)()
	transport := &http.Transport{DialContext: d.dial, DisableKeepAlives: true}
	header := http.Header{}
	header.Set(headerKey, p.Key)
	header.Set(headerFrom, string(d.cfg.Load().Self))
	target := url.URL{Scheme: "ws", Host: p.Address, Path: TunnelPath, RawQuery: url.Values{paramServer: {address}}.Encode()}
	ws, res, err := websocket.Dial(dialCtx, target.String(), &websocket.DialOptions{
		HTTPClient: &http.Client{Transport: transport}, HTTPHeader: header, CompressionMode: websocket.CompressionDisabled,
	})
	if err != nil {
		linked = res != nil && res.Header.Get(headerLinks) == linksUp
		return nil, linked, errors.Wrapf(err, "tunnel through %s to %s", p.ID, address)
	}
	ws.SetReadLimit(maxFrameBytes)
	d.mu.Lock()
	d.tunnels[p.ID]++
	d.mu.Unlock()
	return &tunnelConn{Conn: websocket.NetConn(context.Background(), ws, websocket.MessageBinary), ws: ws, d: d, peer: p}, false, nil
}

// tunnelConn is a connection to a server through another daemon.
type tunnelConn struct {
	net.Conn
	ws    *websocket.Conn
	d     *Dialer
	peer  Peer
	close sync.Once
}

// errTunnelBroken is the error of reads after a tunnel ended without a clean end of
// the server's data. It does not match io.EOF, with which an answer may end.
var errTunnelBroken = errors.New("tunnel broken off")

// Read implements net.Conn.
func (c *tunnelConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err != nil && err != io.EOF && errors.Is(err, io.EOF) {
		err = errors.Wrapf(errTunnelBroken, "through %s: %v", c.peer.ID, err)
	}
	return n, err
}

// Close implements net.Conn. It does not wait for the other daemon.
func (c *tunnelConn) Close() error {
	var err error
	c.close.Do(func() {
		c.d.mu.Lock()
		if c.d.tunnels[c.peer.ID]--; c.d.tunnels[c.peer.ID] == 0 {
			delete(c.d.tunnels, c.peer.ID)
		}
		c.d.mu.Unlock()
		err = errors.WithStack(c.ws.CloseNow())
		_ = c.Conn.Close() // ends the timers of its deadlines
	})
	return err
}

// Via returns the daemon that a connection leads through, empty for a direct one.
func Via(c net.Conn) string {
	if t, ok := c.(*tunnelConn); ok {
		return string(t.peer.ID)
	}
	return ""
}

// Served returns the number of tunnels that this daemon serves.
func (d *Dialer) Served() int { return int(d.served.Load()) }

// Handler returns the handler that opens connections to listed servers for other
// daemons, directly only, while accepts returns true.
func (d *Dialer) Handler(accepts func() bool) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		cfg := d.cfg.Load()
		address := r.URL.Query().Get(paramServer)
		switch {
		case cfg == nil || cfg.Key == "" || subtle.ConstantTimeCompare([]byte(r.Header.Get(headerKey)), []byte(cfg.Key)) != 1:
			http.Error(w, "wrong key", http.StatusForbidden)
			return
		case !cfg.isServer(address):
			http.Error(w, "not a listed backend server: "+address, http.StatusNotFound)
			return
		case !accepts():
			http.Error(w, "stopping", http.StatusServiceUnavailable)
			return
		}
		if d.served.Add(1) > maxServedTunnels {
			d.served.Add(-1)
			http.Error(w, "too many tunnels", http.StatusServiceUnavailable)
			return
		}
		defer d.served.Add(-1)
		d.serveTunnel(w, r, address)
	})
}

func (c *Config) isServer(address string) bool {
	for _, a := range c.Servers() {
		if a == address {
			return true
		}
	}
	return false
}

func (d *Dialer) serveTunnel(w http.ResponseWriter, r *http.Request, address string) {
	cfg := d.cfg.Load()
	from := r.Header.Get(headerFrom)
	server, err := d.dialRecorded(r.Context(), address)
	if err != nil {
		linked := d.paths.SucceededSince(time.Now().Add(-successAge)) || d.checkLinks(address)
		if linked {
			w.Header().Set(headerLinks, linksUp)
		}
		cfg.Events.Emit(eventTunnelFailed, "peer", from, "address", address, "linked", linked, "error", err)
		http.Error(w, "can't reach the backend server", http.StatusBadGateway)
		return
	}
	server = httpx.ResetAware(server)
	defer server.Close()
	ws, err := websocket.Accept(w, r, &websocket.AcceptOptions{CompressionMode: websocket.CompressionDisabled})
	if err != nil {
		return // Accept has written the response
	}
	defer ws.CloseNow()
	ws.SetReadLimit(maxFrameBytes)
	d.metrics.served.Inc(1)
	cfg.Events.Emit(eventTunnelServed, "peer", from, "address", address, "tunnels", d.Served())
	splice(ws, server)
}

// splice copies in both directions until either side ends. The end of the server's
// data is passed on as a clean end only if the server closed its connection in
// order, since an answer may end with it.
func splice(ws *websocket.Conn, server net.Conn) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	peer := websocket.NetConn(ctx, ws, websocket.MessageBinary)
	go func() {
		_, _ = io.CopyBuffer(struct{ io.Writer }{server}, struct{ io.Reader }{peer}, make([]byte, copyBufferBytes))
		_ = server.Close() // the other daemon has closed the tunnel; ends the copy below
	}()
	buf := make([]byte, copyBufferBytes)
	for {
		if err := server.SetReadDeadline(time.Now().Add(tunnelIdleTimeout)); err != nil {
			return
		}
		n, err := server.Read(buf)
		if n > 0 {
			if _, writeErr := peer.Write(buf[:n]); writeErr != nil {
				return
			}
		}
		if errors.Is(err, io.EOF) {
			_ = ws.Close(websocket.StatusNormalClosure, "")
			return
		}
		if err != nil {
			return
		}
	}
}

var _ httpx.DialFunc = (*Dialer)(nil).DialContext
