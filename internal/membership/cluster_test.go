package membership

import (
	"context"
	"fmt"
	"maps"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"carawayproxy.example/caraway/internal/fleet"
	"carawayproxy.example/caraway/internal/journal"
	"carawayproxy.example/caraway/internal/suspect"
	"carawayproxy.example/caraway/standin/runs/network"
)

const oneWay = 500 * time.Microsecond

// testStreams has as many streams as a daemon relays in production.
var testStreams = []journal.Stream{
	"config", "control", "ledger-00", "ledger-01", "ledger-02", "ledger-03",
	"ledger-04", "ledger-05", "ledger-06", "ledger-07",
}

// fakeLog is an in-memory log of all streams.
type fakeLog struct {
	mu      sync.Mutex
	streams map[journal.Stream][]journal.Entry
}

func (l *fakeLog) append(s journal.Stream, payload string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	at := journal.Offset(len(l.streams[s]))
	l.streams[s] = append(l.streams[s], journal.Entry{Offset: at, Payload: []byte(payload)})
}

func (l *fakeLog) from(s journal.Stream, at journal.Offset) []journal.Entry {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.streams[s][at:]
}

// fakeReplica is a Relay that keeps every entry.
type fakeReplica struct {
	mu      sync.Mutex
	entries []journal.Entry
	status  journal.Status
}

func (r *fakeReplica) Status() journal.Status {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.status
}

func (r *fakeReplica) Entries(from journal.Offset, limit int) []journal.Entry {
	r.mu.Lock()
	defer r.mu.Unlock()
	rest := r.entries[min(int(from), len(r.entries)):]
	return rest[:min(limit, len(rest))]
}

func (r *fakeReplica) FoldRelayed(entries []journal.Entry) journal.Offset {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, e := range entries {
		if e.Offset == r.status.Next {
			r.entries = append(r.entries, e)
			r.status.Next++
		}
	}
	return r.status.Next
}

func (r *fakeReplica) Confirm(next journal.Offset, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.status.Next >= next && at.After(r.status.ConfirmedAt) {
		r.status.ConfirmedAt = at
	}
}

func (r *fakeReplica) Export() (journal.State, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return journal.State{Stream: r.status.Stream, Next: r.status.Next, Data: []byte("state")}, nil
}

// read adds the log entries that the replica lacks.
func (r *fakeReplica) read(l *fakeLog) {
	r.FoldRelayed(l.from(r.status.Stream, r.Status().Next))
	r.mu.Lock()
	defer r.mu.Unlock()
	r.status.ConfirmedAt = time.Now()
	r.status.LastLogResponse = time.Now()
}

// member is one daemon's mesh with its replicas.
type member struct {
	*Mesh
	ip       string
	host     *network.Host
	replicas map[journal.Stream]*fakeReplica
	stop     func()

	mu             sync.Mutex
	logUnavailable bool
	heartbeat      Heartbeat
	leaving        []fleet.InstanceID
	sightings      []suspect.Sighting
	poll           func(now time.Time) []fleet.Report // own polls, nil for none
	reports        []fleet.Report                     // received
	unresponsive   []fleet.InstanceID                 // received
}

func (m *member) Heartbeat() Heartbeat {
	m.mu.Lock()
	defer m.mu.Unlock()
	h := m.heartbeat
	if m.poll != nil {
		h.Reports = m.poll(time.Now())
	}
	return h
}

func (m *member) set(f func(*member)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	f(m)
}

func (m *member) get(f func(*member) int) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return f(m)
}

func (m *member) tailLog(ctx context.Context, l *fakeLog) {
	tick := time.NewTicker(100 * time.Millisecond)
	defer tick.Stop()
	for {
		if m.get(func(m *member) int { return map[bool]int{true: 1}[m.logUnavailable] }) == 0 {
			for _, r := range m.replicas {
				r.read(l)
			}
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
	}
}

func (m *member) ready(now time.Time) (bool, string) { return m.readyBy(now, ReadinessPolicy{}) }

func (m *member) readyBy(now time.Time, policy ReadinessPolicy) (bool, string) {
	var statuses []journal.Status
	for _, r := range m.replicas {
		statuses = append(statuses, r.Status())
	}
	return Readiness(now, m.View(), statuses, m.EverHadPeers(), policy)
}

// cluster is a set of members over an in-memory network.
type cluster struct {
	t       *testing.T
	net     *network.Network
	log     *fakeLog
	members []*member
}

// runCluster runs f with n members in virtual time. All goroutines of the members
// must have ended when it returns.
func runCluster(t *testing.T, n int, f func(t *testing.T, c *cluster)) {
	t.Helper()
	runStaggeredCluster(t, n, 0, f)
}

// runStaggeredCluster is runCluster with a pause between the starts of two members,
// so that their heartbeats arrive at different times.
func runStaggeredCluster(t *testing.T, n int, pause time.Duration, f func(t *testing.T, c *cluster)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		c := &cluster{
			t:   t,
			net: network.New(func(string, string) time.Duration { return oneWay }),
			log: &fakeLog{streams: map[journal.Stream][]journal.Entry{}},
		}
		for i := range n {
			c.members = append(c.members, c.start(i, 1))
			time.Sleep(pause)
		}
		defer func() {
			for _, m := range c.members {
				m.stop()
			}
		}()
		c.setAddresses()
		time.Sleep(5 * time.Second)
		f(t, c)
	})
}

func (c *cluster) setAddresses() {
	var addresses []string
	for _, m := range c.members {
		addresses = append(addresses, m.cfg.Address)
	}
	for _, m := range c.members {
		m.SetAddresses(addresses)
	}
}

func (c *cluster) start(i int, incarnation uint64) *member {
	m := &member{ip: fmt.Sprintf("10.0.0.%d", i+1), replicas: map[journal.Stream]*fakeReplica{}}
	m.host = c.net.Host(m.ip)
	relays := map[journal.Stream]Relay{}
	for _, s := range testStreams {
		m.replicas[s] = &fakeReplica{status: journal.Status{Stream: s}}
		relays[s] = m.replicas[s]
	}
	m.Mesh = NewMesh(Config{
		Self:    fleet.DaemonID(fmt.Sprintf("daemon-%02d-%d", i, incarnation)),
		Address: m.ip + ":7000", Zone: "pokhara-a", Incarnation: incarnation,
		Source: m, Dial: m.host.Dial, Replicas: relays,
		OnLeaving: func(ids []fleet.InstanceID) {
			m.set(func(m *member) { m.leaving = append(m.leaving, ids...) })
		},
		OnReports: func(r []fleet.Report) {
			m.set(func(m *member) { m.reports = append(m.reports, r...) })
		},
		Loads: func() map[fleet.GroupID]uint32 {
			m.mu.Lock()
			defer m.mu.Unlock()
			return maps.Clone(m.heartbeat.InFlight)
		},
		OnUnresponsive: func(ids []fleet.InstanceID) {
			m.set(func(m *member) { m.unresponsive = append(m.unresponsive, ids...) })
		},
		OnSightings: func(s []suspect.Sighting) {
			m.set(func(m *member) { m.sightings = append(m.sightings, s...) })
		},
	})
	l, err := m.host.Listen("7000")
	assert.NilError(c.t, err)
	server := &http.Server{Handler: m.Handler()}
	ctx, cancel := context.WithCancel(context.Background())
	var tasks sync.WaitGroup
	tasks.Go(func() { server.Serve(l) })
	tasks.Go(func() { m.Run(ctx) })
	tasks.Go(func() { m.tailLog(ctx, c.log) })
	m.stop = func() {
		cancel()
		server.Close()
		tasks.Wait()
	}
	return m
}

// chain cuts all pairs of members except neighbours.
func (c *cluster) chain() {
	for i, a := range c.members {
		for j, b := range c.members {
			if j > i+1 {
				c.net.CutBoth(a.ip, b.ip)
			}
		}
	}
}

// isolate cuts a member from all others.
func (c *cluster) isolate(m *member) {
	for _, other := range c.members {
		if other != m {
			c.net.CutBoth(m.ip, other.ip)
		}
	}
}

func (c *cluster) heal(m *member) {
	for _, other := range c.members {
		if other != m {
			c.net.Heal(m.ip, other.ip)
		}
	}
}

// waitForAll waits until f holds for all members and returns how long that
// took. It fails the test after the bound.
func (c *cluster) waitForAll(bound time.Duration, condition string, f func(m *member) bool) time.Duration {
	c.t.Helper()
	start := time.Now()
	for {
		all := true
		for _, m := range c.members {
			all = all && f(m)
		}
		if all {
			return time.Since(start)
		}
		if time.Since(start) > bound {
			c.t.Fatalf("%s: not within %v", condition, bound)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

func (m *member) next(s journal.Stream) journal.Offset { return m.replicas[s].Status().Next }

func fakePositions() map[journal.Stream]StreamPosition {
	out := map[journal.Stream]StreamPosition{}
	for _, s := range testStreams {
		out[s] = StreamPosition{Next: 70_000, ConfirmedAgeMilli: 700}
	}
	return out
}
