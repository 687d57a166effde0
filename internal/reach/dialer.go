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
	Zone    fleet.Zone
}

// Config configures a Dialer. The functions must not block.
type Config struct {
	Self fleet.DaemonID
	// Key admits other daemons' tunnels to this one.
	Key string
	// Peers returns the daemons that have their links, in order of preference.
	Peers func() []Peer
	// Carries returns which daemons a tunnel to a server may lead through; nil for all.
	Carries func(address string) func(Peer) bool
	// Servers returns the addresses of the listed backend servers, and ServerCount
	// their number.
	Servers     func() []string
	ServerCount func() int
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
	isLost  bool                   // as last reported

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

// UsesTunnels reports whether connections lead, or may lead next, through other
// daemons.
func (d *Dialer) UsesTunnels() bool {
	d.mu.Lock()
	open := len(d.tunnels) > 0
	d.mu.Unlock()
	return open || d.paths.Lost()
}

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

func (d *Dialer) recordSuccess(address string) {
	back, hopeful := d.paths.RecordSuccess(address, d.cfg.Load().ServerCount(), time.Now())
	switch {
	case back:
		d.reportLinks(address)
	case hopeful:
		go d.checkLinks(address)
	}
}

func (d *Dialer) recordFailure(address string) {
	lost, suspect := d.paths.RecordFailure(address, d.cfg.Load().ServerCount(), time.Now())
	switch {
	case lost:
		d.reportLinks(address)
	case suspect:
		go d.checkLinks(address)
	}
}

// reportLinks reports a change of whether the links are lost. Several dials may
// change it at the same time; the last call reports the present state.
func (d *Dialer) reportLinks(address string) {
	d.mu.Lock()
	lost := d.paths.Lost()
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
		if d.usesFormerPeer() {
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

// usesFormerPeer reports whether a tunnel leads through a daemon that is not to be
// used any more.
func (d *Dialer) usesFormerPeer() bool {
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
