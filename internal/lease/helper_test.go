package lease_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"carawayproxy.example/caraway/internal/fleet"
	"carawayproxy.example/caraway/internal/journal"
	"carawayproxy.example/caraway/internal/lease"
	"carawayproxy.example/caraway/standin/platform"
	"carawayproxy.example/caraway/standin/property"
)

// TestMain fixes the seed of the property tests unless one is given.
func TestMain(m *testing.M) { property.Main(m, property.Seeded("20261203")) }

// gate is a daemon's way to the log. While it is shut, calls wait: the daemon
// is as if it were paused.
type gate struct {
	to    journal.Log
	mu    sync.Mutex
	open  chan struct{} // closed while the gate is open
	armed bool          // the next append begins a time in which reads fail
	blind bool          // reads fail
}

func newGate(to journal.Log) *gate {
	g := &gate{to: to, open: make(chan struct{})}
	close(g.open)
	return g
}

func (g *gate) shut() {
	g.mu.Lock()
	defer g.mu.Unlock()
	select {
	case <-g.open:
		g.open = make(chan struct{})
	default:
	}
}

func (g *gate) reopen() {
	g.mu.Lock()
	defer g.mu.Unlock()
	select {
	case <-g.open:
	default:
		close(g.open)
	}
}

func (g *gate) pass() {
	g.mu.Lock()
	open := g.open
	g.mu.Unlock()
	<-open
}

// setReads says whether reads fail from the next append on.
func (g *gate) setReads(fail bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.armed, g.blind = fail, false
}

func (g *gate) isBlind() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.blind
}

func (g *gate) Append(ctx context.Context, s journal.Stream, payloads [][]byte) (journal.Offset, error) {
	g.pass()
	g.mu.Lock()
	g.blind = g.armed
	g.mu.Unlock()
	return g.to.Append(ctx, s, payloads)
}

func (g *gate) Read(ctx context.Context, s journal.Stream, from journal.Offset, limit int, wait time.Duration) (journal.Page, error) {
	g.pass()
	page, err := g.to.Read(ctx, s, from, limit, wait)
	g.pass()
	if g.isBlind() {
		return journal.Page{}, errors.New("no answer")
	}
	return page, err
}

// daemon is one keeper on a replica of the control stream.
type daemon struct {
	*lease.Keeper
	id      fleet.DaemonID
	book    *lease.Book
	replica *journal.Replica
	gate    *gate
	stop    context.CancelFunc
	done    sync.WaitGroup
}

// cluster is several daemons on one log.
type cluster struct {
	t      testing.TB
	log    *platform.Log
	scopes []lease.Scope

	mu    sync.Mutex
	alive map[fleet.DaemonID]*daemon
}

func newCluster(t testing.TB, scopes int) *cluster {
	c := &cluster{t: t, log: platform.NewLog(platform.LogConfig{}), alive: map[fleet.DaemonID]*daemon{}}
	for i := range scopes {
		c.scopes = append(c.scopes, lease.Scope(fmt.Sprintf("placement/%02d", i)))
	}
	return c
}

func (c *cluster) ids() []fleet.DaemonID {
	c.mu.Lock()
	defer c.mu.Unlock()
	var ids []fleet.DaemonID
	for id := range c.alive {
		ids = append(ids, id)
	}
	return ids
}

func (c *cluster) all() []*daemon {
	c.mu.Lock()
	defer c.mu.Unlock()
	var all []*daemon
	for _, d := range c.alive {
		all = append(all, d)
	}
	return all
}

func (c *cluster) start(id fleet.DaemonID) *daemon {
	ctx, stop := context.WithCancel(context.Background())
	d := &daemon{id: id, book: lease.NewBook(), gate: newGate(c.log), stop: stop}
	d.replica = journal.NewReplica(journal.Config{
		Stream: journal.StreamControl, Self: id, Log: d.gate, Fold: journal.NewMux(d.book),
	})
	d.Keeper = lease.NewKeeper(lease.KeeperConfig{
		Self: id, Proposer: d.replica, Book: d.book, Scopes: c.scopes, Alive: d.livePeers(c),
	})
	c.mu.Lock()
	c.alive[id] = d
	c.mu.Unlock()
	d.done.Go(func() { d.replica.Run(ctx) })
	d.done.Go(func() { d.Keeper.Run(ctx) })
	c.t.Cleanup(func() { c.kill(d) })
	return d
}

// livePeers stops the keeper while the gate is shut, as a pause would.
func (d *daemon) livePeers(c *cluster) func() []fleet.DaemonID {
	return func() []fleet.DaemonID {
		d.gate.pass()
		return c.ids()
	}
}

// kill ends a daemon without any goodbye.
func (c *cluster) kill(d *daemon) {
	c.mu.Lock()
	delete(c.alive, d.id)
	c.mu.Unlock()
	d.gate.reopen()
	d.stop()
	d.done.Wait()
}

// holders counts the daemons that hold a scope now.
func (c *cluster) holders(scope lease.Scope) []fleet.DaemonID {
	var ids []fleet.DaemonID
	for _, d := range c.all() {
		if _, ok := d.Held(scope); ok {
			ids = append(ids, d.id)
		}
	}
	return ids
}

// watch looks at all scopes every step until for has passed, and fails when
// one has two holders. It returns the longest time without a holder.
func (c *cluster) watch(length time.Duration) time.Duration {
	const step = 100 * time.Millisecond
	without := map[lease.Scope]time.Duration{}
	longest := time.Duration(0)
	for range length / step {
		for _, s := range c.scopes {
			ids := c.holders(s)
			assert.Assert(c.t, len(ids) <= 1, "scope %s is held by %v", s, ids)
			without[s] += step
			if len(ids) == 1 {
				without[s] = 0
			}
			longest = max(longest, without[s])
		}
		time.Sleep(step)
	}
	return longest
}

// holder returns the daemon that holds a scope.
func (c *cluster) holder(scope lease.Scope) *daemon {
	c.t.Helper()
	for _, d := range c.all() {
		if _, ok := d.Held(scope); ok {
			return d
		}
	}
	c.t.Fatalf("nobody holds %s", scope)
	return nil
}
