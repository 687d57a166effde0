package membership

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/coder/websocket"
	"github.com/pkg/errors"

	"carawayproxy.example/caraway/internal/clients"
)

// PeerPath is the HTTP path at which a daemon accepts links.
const PeerPath = "/peer"

// maxHelloBytes bounds the first message of a link.
const maxHelloBytes = 4 << 10

// Reasons for ending a link.
var (
	errReplaced       = errors.New("replaced by another link to the same peer")
	errDuplicateLink  = errors.New("duplicate link to the same peer")
	errSelfLink       = errors.New("dialed the daemon's own address")
	errNotHello       = errors.New("first message is not a hello")
	errStopped        = errors.New("stopped")
	errClosedForOther = errors.New("closed in favor of another connection")
	errTooManyLinks   = errors.New("too many links")
)

func isUnknownType(err error) bool { return errors.Is(err, errUnknownType) }

// Handler returns the handler that accepts peers' links at PeerPath. It rejects
// them with status 503 while the mesh is not running.
func (m *Mesh) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc(PeerPath, m.accept)
	return mux
}

func (m *Mesh) accept(w http.ResponseWriter, r *http.Request) {
	if !m.addTask() {
		http.Error(w, "not running", http.StatusServiceUnavailable)
		return
	}
	defer m.tasks.Done()
	ctx := m.runContext()
	if ctx == nil || m.atLinkLimit() {
		http.Error(w, errTooManyLinks.Error(), http.StatusServiceUnavailable)
		return
	}
	clients.AwaitMessage(r.Context())
	conn, err := websocket.Accept(w, r, nil)
	if err != nil {
		return // Accept has written the response
	}
	m.runLink(ctx, conn, false, func() bool { return clients.HasReadBody(r.Context()) })
}

func (m *Mesh) runContext() context.Context {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.running
}

func (m *Mesh) atLinkLimit() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.links) >= m.cfg.MaxLinks
}

// runDialers runs one dialer for each chosen address until ctx ends.
func (m *Mesh) runDialers(ctx context.Context) {
	stops := map[string]context.CancelFunc{}
	defer func() {
		for _, stop := range stops {
			stop()
		}
	}()
	tick := time.NewTicker(redialMax)
	defer tick.Stop()
	for {
		m.mu.Lock()
		m.updateTopology()
		chosen := append(slices.Clone(m.topology.Load().chosen), m.extra...)
		m.mu.Unlock()
		m.adjustDialers(ctx, stops, chosen)
		select {
		case <-m.endpointsChanged:
		case <-tick.C: // pick up newly known zones
		case <-ctx.Done():
			return
		}
	}
}

func (m *Mesh) adjustDialers(ctx context.Context, stops map[string]context.CancelFunc, chosen []string) {
	wanted := make(map[string]bool, len(chosen))
	for _, address := range chosen {
		wanted[address] = true
		if stops[address] != nil {
			continue
		}
		dialCtx, stop := context.WithCancel(ctx)
		stops[address] = stop
		if !m.spawn(func() { m.runDialer(ctx, dialCtx, address) }) {
			stop()
		}
	}
	for address, stop := range stops {
		if !wanted[address] {
			stop()
			delete(stops, address)
		}
	}
}

// runDialer maintains a link to an address until dialCtx ends. An open link lasts
// until ctx ends, even if the address is no longer chosen.
func (m *Mesh) runDialer(ctx, dialCtx context.Context, address string) {
	backoff := redialMin
	if m.cfg.Address > address {
		// The daemon with the lower address dials first.
		sleep(dialCtx, 2*redialMin)
	}
	for dialCtx.Err() == nil {
		if l := m.linkTo(address); l != nil {
			select {
			case <-l.ended:
				sleep(dialCtx, redialMin)
			case <-dialCtx.Done():
			}
			continue
		}
		conn, err := m.dial(dialCtx, address)
		if err != nil {
			m.cfg.Events.Emit(eventDialFailed, "address", address, "err", err)
			sleep(dialCtx, backoff)
			backoff = min(2*backoff, redialMax)
			continue
		}
		started := time.Now()
		err = m.runLink(ctx, conn, true, func() bool { return true })
		if errors.Is(err, errSelfLink) {
			<-dialCtx.Done()
			return
		}
		if time.Since(started) > redialMax {
			backoff = redialMin
		}
		sleep(dialCtx, backoff)
		backoff = min(2*backoff, redialMax)
	}
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

func (m *Mesh) dial(ctx context.Context, address string) (*websocket.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, _, err := websocket.Dial(ctx, "ws://"+address+PeerPath, &websocket.DialOptions{HTTPClient: m.client})
	return conn, errors.Wrap(err, "dial")
}

// linkTo returns the open link to an address, nil if there is none.
func (m *Mesh) linkTo(address string) *link {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, l := range m.links {
		if l.peer.Address == address {
			return l
		}
	}
	return nil
}

// runLink runs a connection from the hello to its end, and returns the reason for
// its end. OnHello is called when the peer's hello has arrived. It returns false if the
// connection was closed before.
func (m *Mesh) runLink(ctx context.Context, conn *websocket.Conn, dialed bool, onHello func() bool) error {
	defer conn.CloseNow()
	peer, err := m.exchangeHellos(ctx, conn, dialed)
	if err != nil {
		return err
	}
	if !onHello() {
		return errClosedForOther
	}
	l := newLink(conn, *peer, dialed, &m.meters)
	ctx, l.cancel = context.WithCancelCause(ctx)
	defer l.cancel(nil)
	if err := m.register(l); err != nil {
		return err
	}
	defer close(l.ended)
	defer m.unregister(l)
	m.cfg.Events.Emit(eventLinkUp, "peer", peer.From, "address", peer.Address, "dialed", dialed)
	err = m.exchangeMessages(ctx, l)
	if cause := context.Cause(ctx); cause != nil {
		err = cause
	}
	m.cfg.Events.Emit(eventLinkDown, "peer", peer.From, "address", peer.Address, "err", err)
	return err
}

// exchangeHellos sends a hello and returns the peer's. The dialer sends first.
func (m *Mesh) exchangeHellos(ctx context.Context, conn *websocket.Conn, dialed bool) (*helloMessage, error) {
	conn.SetReadLimit(maxHelloBytes)
	if dialed {
		if err := m.sendHello(ctx, conn); err != nil {
			return nil, err
		}
	}
	frame, err := readFrame(ctx, conn, dialTimeout, &m.meters)
	if err != nil {
		return nil, err
	}
	body, err := decode(frame)
	if err != nil {
		m.cfg.Events.Emit(eventBadMessage, "peer", "unknown", "err", err)
		return nil, err
	}
	hello, ok := body.(*helloMessage)
	if !ok {
		return nil, errNotHello
	}
	if !dialed {
		if err := m.sendHello(ctx, conn); err != nil {
			return nil, err
		}
	}
	if hello.From == m.cfg.Self {
		return nil, errSelfLink
	}
	conn.SetReadLimit(maxMessageBytes)
	return hello, nil
}

func (m *Mesh) sendHello(ctx context.Context, conn *websocket.Conn) error {
	frame, err := encode(&helloMessage{
		From: m.cfg.Self, Address: m.cfg.Address, Zone: m.cfg.Zone, Incarnation: m.cfg.Incarnation, TunnelKey: m.cfg.TunnelKey,
		WantsTotals: m.wantsTotals(),
	})
	if err != nil {
		return err
	}
	return writeFrame(ctx, conn, frame, &m.meters)
}

// wantsTotals reports whether this daemon reads totalsMessages. Hubs get none.
func (m *Mesh) wantsTotals() bool {
	_, ok := m.cfg.Policy.(Hubs)
	return ok
}

// exchangeMessages sends and receives until either fails or ctx ends.
func (m *Mesh) exchangeMessages(ctx context.Context, l *link) error {
	written := make(chan error, 1)
	go func() {
		err := l.write(ctx)
		l.cancel(err)
		written <- err
	}()
	err := l.read(ctx, 2*m.cfg.AliveFor, func(frame []byte) error { return m.handle(l, frame) })
	l.cancel(err)
	<-written
	return err
}

// register makes l the link to its peer, unless an existing one is kept.
func (m *Mesh) register(l *link) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.running == nil {
		return errStopped
	}
	if len(m.links) >= m.cfg.MaxLinks {
		return errTooManyLinks
	}
	old := m.links[l.peer.From]
	if old != nil {
		if m.keepsExisting(old, l) {
			return errDuplicateLink
		}
		old.cancel(errReplaced)
	}
	m.links[l.peer.From] = l
	return nil
}

// keepsExisting reports whether an open link is kept rather than a new one. If
// both daemons dialed at the same time, both keep the link that the daemon with
// the lower id dialed.
func (m *Mesh) keepsExisting(old, l *link) bool {
	if old.dialed == l.dialed || old.idleFor(time.Now()) > 2*m.cfg.HeartbeatInterval {
		return false
	}
	return old.dialed == (m.cfg.Self < old.peer.From)
}

func (m *Mesh) unregister(l *link) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.links[l.peer.From] != l {
		return
	}
	delete(m.links, l.peer.From)
	now := time.Now()
	if m.table.linkLost(now, l.peer.From) {
		m.cfg.Events.Emit(eventPeerGone, "peer", l.peer.From, "reason", "goodbye")
	}
	m.publish(now)
}
