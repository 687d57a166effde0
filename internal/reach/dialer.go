package reach

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"

	"carawayproxy.example/caraway/internal/backend"
	"carawayproxy.example/caraway/internal/event"
	"carawayproxy.example/caraway/internal/fleet"
	"carawayproxy.example/caraway/internal/httpx"
)

const (
	// hedgeDelay is how long a direct dial may take before another daemon is asked:
	// many times the longest round trip between availability zones.
	hedgeDelay = 50 * time.Millisecond
	// checkTimeout limits a direct dial that only checks this daemon's links, and
	// the dial of a server on another daemon's behalf.
	checkTimeout = 100 * time.Millisecond
	// checkInterval is the time between two checks while the links are lost.
	checkInterval = 250 * time.Millisecond
	// idleCheckAge is the time without a successful dial after which the links are
	// checked.
	idleCheckAge = time.Second
	// successAge is the maximum age of a successful dial that shows that this
	// daemon's links work.
	successAge = 500 * time.Millisecond
	// maxPeersAsked limits the daemons that are asked for a connection to one server.
	// The next one is asked when the last one has failed or after askDelay: it may
	// have lost its own links to the server, too.
	maxPeersAsked = 8
	askDelay      = 25 * time.Millisecond
	// minLinkedFailures is the number of daemons with links to other servers that
	// must fail to reach a server before it counts as down, one if no other has
	// answered within failureGrace. Daemons that decide on the cause of a server's end
	// wait for its sighting, so that a daemon that does not answer must not delay it.
	minLinkedFailures = 2
	failureGrace      = 50 * time.Millisecond
)

// Peer is another daemon that can open connections on this one's behalf.
type Peer struct {
	ID      fleet.DaemonID
	Address string // of its listener for peers
	Key     string // admits this daemon's tunnels
}

// Config configures a Dialer. The functions must not block.
type Config struct {
	Self fleet.DaemonID
	// Key admits other daemons' tunnels to this one.
	Key string
	// Peers returns the daemons that have their links, in order of preference.
	Peers func() []Peer
	// Servers returns the addresses of the listed backend servers.
	Servers func() []string
	// OnLost is called when this daemon's links count as lost, OnBack when they are
	// back, and OnPeersChanged when tunnels lead through a daemon that is to be used
	// no more.
	OnLost, OnBack, OnPeersChanged func()
	Events                         *event.Logger
	Metrics                        metrics.Registry
}

// Dialer opens connections to backend servers. Until Attach it dials directly
// only. It is safe for concurrent use.
type Dialer struct {
	dial  httpx.DialFunc
	paths *Paths
	cfg   atomic.Pointer[Config]

	checkMu sync.Mutex
	check   *linkCheck // in flight, nil if none

	mu      sync.Mutex
	tunnels map[fleet.DaemonID]int // open tunnels by the daemon that they lead through
	lostCh  chan struct{}          // closed while the links are lost
	isLost  bool

	served  atomic.Int64 // tunnels that this daemon serves
	metrics reachMetrics
}

type reachMetrics struct{ opened, failed, served metrics.Counter }

// NewDialer returns a Dialer that opens connections with dial.
func NewDialer(dial httpx.DialFunc) *Dialer {
	return &Dialer{dial: dial, paths: NewPaths(), tunnels: map[fleet.DaemonID]int{}, lostCh: make(chan struct{})}
}

// Attach lets the dialer use other daemons.
func (d *Dialer) Attach(cfg Config) {
	if cfg.Metrics == nil {
		cfg.Metrics = metrics.NewRegistry()
	}
	d.metrics = reachMetrics{
		opened: metrics.GetOrRegisterCounter("reach.tunnels_opened", cfg.Metrics),
		failed: metrics.GetOrRegisterCounter("reach.tunnels_failed", cfg.Metrics),
		served: metrics.GetOrRegisterCounter("reach.tunnels_served", cfg.Metrics),
	}
	d.cfg.Store(&cfg)
}

// Lost reports whether this daemon's own links to the servers are lost.
func (d *Dialer) Lost() bool { return d.paths.Lost() }

// LostSignal returns a channel that is closed once the links are lost.
func (d *Dialer) LostSignal() <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.lostCh
}

// Unreachable reports whether no server can be reached, neither directly nor
// through another daemon.
func (d *Dialer) Unreachable() bool {
	cfg := d.cfg.Load()
	return cfg != nil && d.paths.Lost() && len(cfg.Peers()) == 0
}

// linksLostError is the error of a dial of which it is not known whether the
// server or this daemon's own link failed. It matches backend.ErrLinksLost.
type linksLostError struct{ cause error }

// Error returns the text of the cause.
func (e *linksLostError) Error() string { return "own links may be lost: " + e.cause.Error() }

// Unwrap returns the cause.
func (e *linksLostError) Unwrap() error { return e.cause }

// Is reports whether target is backend.ErrLinksLost.
func (e *linksLostError) Is(target error) bool { return target == backend.ErrLinksLost }

// DialContext opens a connection to a server. It dials directly first, and asks
// other daemons if that fails or takes longer than hedgeDelay. Where only other
// daemons have reached the server, it is the other way round. An error matches
// backend.ErrLinksLost unless it is known to be the server's.
func (d *Dialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	if d.cfg.Load() == nil {
		return d.dial(ctx, network, address)
	}
	r := &race{d: d, address: address, results: make(chan result, 2)}
	if d.paths.PrefersRelay(address, time.Now()) {
		return r.run(ctx, r.startRelay, r.startDirect, false)
	}
	return r.run(ctx, r.startDirect, r.startRelay, true)
}

// race is one dial, directly and through other daemons.
type race struct {
	d       *Dialer
	address string
	results chan result
}

// result is the result of one of the two ways.
type result struct {
	conn    net.Conn
	err     error
	relayed bool
	// serverDown is set if a daemon whose own links work could not reach the server.
	serverDown bool
}

func (r *race) startDirect(ctx context.Context) {
	conn, err := r.d.dial(ctx, "tcp", r.address)
	r.results <- result{conn: conn, err: err}
}

func (r *race) startRelay(ctx context.Context) {
	conn, serverDown, err := r.d.dialThroughPeers(ctx, r.address)
	r.results <- result{conn: conn, err: err, relayed: true, serverDown: serverDown}
}

// run starts the first way, and the second one when the first has failed or, if
// hedged is set, after hedgeDelay. It returns the first connection.
func (r *race) run(ctx context.Context, first, second func(context.Context), hedged bool) (net.Conn, error) {
	began := time.Now()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	pending := 1
	go first(ctx)
	timer := time.NewTimer(hedgeDelay)
	defer timer.Stop()
	startSecond := func() {
		if second == nil {
			return
		}
		go second(ctx)
		second = nil
		pending++
		go r.d.checkLinksIfSilent(r.address)
	}
	var directErr, relayErr error
	serverDown, hedges := false, 0
	for {
		select {
		case res := <-r.results:
			pending--
			if res.err == nil {
				r.closeLoser(pending)
				r.recordConnected(res.conn, directErr != nil || hedges > 0)
				return res.conn, nil
			}
			if res.relayed {
				relayErr, serverDown = res.err, res.serverDown
			} else {
				directErr = res.err
				r.d.recordFailure(r.address)
			}
			startSecond()
			if pending == 0 {
				return nil, r.classify(began, directErr, relayErr, serverDown)
			}
		case <-timer.C:
			// A timer that fires late shows that this daemon is busy rather than that
			// the dial takes long.
			if hedges++; hedged && (time.Since(began) < 2*hedgeDelay || hedges > 1) {
				startSecond()
			} else if hedged {
				timer.Reset(hedgeDelay)
			}
		case <-ctx.Done():
			r.closeLoser(pending)
			if directErr == nil {
				directErr = ctx.Err()
			}
			return nil, r.classify(began, directErr, relayErr, serverDown)
		}
	}
}

// closeLoser closes the connections that are still to come.
func (r *race) closeLoser(pending int) {
	if pending == 0 {
		return
	}
	go func() {
		for range pending {
			if res := <-r.results; res.err == nil {
				_ = res.conn.Close() // nothing was sent on it
			}
		}
	}()
}

// recordConnected records which way has led to the server. directFailed is set if
// the direct dial has failed or taken too long.
func (r *race) recordConnected(conn net.Conn, directFailed bool) {
	tunnel, relayed := conn.(*tunnelConn)
	switch {
	case !relayed:
		r.d.recordSuccess(r.address)
	case directFailed:
		r.d.recordFailure(r.address)
		r.d.paths.RecordRelayed(r.address, tunnel.peer.ID, time.Now())
	}
}

// classify returns the error of a dial. It is the server's if a daemon whose links
// work could not reach the server either.
func (r *race) classify(began time.Time, directErr, relayErr error, serverDown bool) error {
	err := directErr
	if err == nil {
		err = relayErr
	}
	if serverDown || r.d.paths.SucceededSince(began.Add(-successAge)) || !r.d.hasOtherServer(r.address) {
		return err
	}
	return &linksLostError{cause: err}
}

func (d *Dialer) hasOtherServer(address string) bool {
	for _, a := range d.cfg.Load().Servers() {
		if a != address {
			return true
		}
	}
	return false
}

func (d *Dialer) recordSuccess(address string) {
	back, hopeful := d.paths.RecordSuccess(address, len(d.cfg.Load().Servers()), time.Now())
	switch {
	case back:
		d.setLost(false, address)
	case hopeful:
		go d.checkLinks(address)
	}
}

func (d *Dialer) recordFailure(address string) {
	lost, suspect := d.paths.RecordFailure(address, len(d.cfg.Load().Servers()), time.Now())
	switch {
	case lost:
		d.setLost(true, address)
	case suspect:
		go d.checkLinks(address)
	}
}

// setLost reports that the links are lost or back.
func (d *Dialer) setLost(lost bool, address string) {
	d.mu.Lock()
	if lost == d.isLost {
		d.mu.Unlock()
		return
	}
	d.isLost = lost
	if lost {
		close(d.lostCh)
	} else {
		d.lostCh = make(chan struct{})
	}
	d.mu.Unlock()
	cfg := d.cfg.Load()
	if lost {
		cfg.Events.Emit(eventLinksLost, "address", address, "peers", len(cfg.Peers()))
		cfg.OnLost()
		return
	}
	cfg.Events.Emit(eventLinksBack, "address", address)
	cfg.OnBack()
}

// linkCheck is a check of this daemon's links that is in flight.
type linkCheck struct {
	done chan struct{}
	ok   bool
}

// checkLinks dials a server other than the given one directly, and reports whether
// that succeeds. Concurrent calls share one dial.
func (d *Dialer) checkLinks(except string) bool {
	d.checkMu.Lock()
	c := d.check
	if c != nil {
		d.checkMu.Unlock()
		<-c.done
		return c.ok
	}
	c = &linkCheck{done: make(chan struct{})}
	d.check = c
	d.checkMu.Unlock()
	if address := d.randomServer(except); address != "" {
		c.ok = d.dialDirect(context.Background(), address) == nil
	}
	d.checkMu.Lock()
	d.check = nil
	d.checkMu.Unlock()
	close(c.done)
	return c.ok
}

// checkLinksIfSilent checks the links unless a dial has succeeded lately.
func (d *Dialer) checkLinksIfSilent(except string) {
	if !d.paths.SucceededSince(time.Now().Add(-successAge)) {
		d.checkLinks(except)
	}
}

// CheckServer dials a server directly, to see whether this daemon's link to it
// works.
func (d *Dialer) CheckServer(ctx context.Context, address string) {
	if d.cfg.Load() != nil {
		_ = d.dialDirect(ctx, address) // the result is recorded
	}
}

// dialDirect dials a server directly, closes the connection and records the result.
func (d *Dialer) dialDirect(ctx context.Context, address string) error {
	conn, err := d.dialRecorded(ctx, address)
	if err != nil {
		return err
	}
	return errors.WithStack(conn.Close())
}

// dialRecorded dials a server directly within checkTimeout and records the result.
func (d *Dialer) dialRecorded(ctx context.Context, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	conn, err := d.dial(ctx, "tcp", address)
	if err != nil {
		d.recordFailure(address)
		return nil, errors.WithStack(err)
	}
	d.recordSuccess(address)
	return conn, nil
}

// randomServer returns the address of a listed server other than the given one,
// empty if there is none. Servers that could not be reached lately come last.
func (d *Dialer) randomServer(except string) string {
	servers := d.cfg.Load().Servers()
	rand.Shuffle(len(servers), func(i, j int) { servers[i], servers[j] = servers[j], servers[i] })
	failed := ""
	for _, a := range servers {
		switch {
		case a == except:
		case d.paths.FailedLately(a, time.Now()):
			failed = a
		default:
			return a
		}
	}
	return failed
}

// Run checks the links while they are lost, until ctx ends.
func (d *Dialer) Run(ctx context.Context) {
	tick := time.NewTicker(checkInterval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
		switch {
		case d.paths.Lost():
			d.checkLinks("")
		case !d.paths.SucceededSince(time.Now().Add(-idleCheckAge)):
			d.checkIdleLinks()
		}
		if d.usesForeignPeer() {
			d.cfg.Load().OnPeersChanged()
		}
	}
}

// checkIdleLinks checks the links of a daemon that has not dialed any server lately,
// so that it learns of their loss before its next request.
func (d *Dialer) checkIdleLinks() {
	for range minFailedServers {
		if d.checkLinks("") {
			return
		}
	}
}

// usesForeignPeer reports whether a tunnel leads through a daemon that is not to be
// used any more.
func (d *Dialer) usesForeignPeer() bool {
	usable := map[fleet.DaemonID]bool{}
	for _, p := range d.cfg.Load().Peers() {
		usable[p.ID] = true
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for id := range d.tunnels {
		if !usable[id] {
			return true
		}
	}
	return false
}
