package lease_test

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
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

// pausableLog is a daemon's connection to the log. Calls block while it is
// paused, which simulates a pause of the daemon.
type pausableLog struct {
	inner             journal.Log
	mu                sync.Mutex
	resumed           chan struct{} // closed unless paused
	failReadsOnAppend bool          // reads fail from the next append on
	readsFail         bool
}

func newPausableLog(inner journal.Log) *pausableLog {
	l := &pausableLog{inner: inner, resumed: make(chan struct{})}
	close(l.resumed)
	return l
}

func (l *pausableLog) pause() {
	l.mu.Lock()
	defer l.mu.Unlock()
	select {
	case <-l.resumed:
		l.resumed = make(chan struct{})
	default:
	}
}

func (l *pausableLog) resume() {
	l.mu.Lock()
	defer l.mu.Unlock()
	select {
	case <-l.resumed:
	default:
		close(l.resumed)
	}
}

func (l *pausableLog) waitResumed() {
	l.mu.Lock()
	resumed := l.resumed
	l.mu.Unlock()
	<-resumed
}

// setReads sets whether reads fail from the next append on.
func (l *pausableLog) setReads(fail bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.failReadsOnAppend, l.readsFail = fail, false
}

func (l *pausableLog) readsFailing() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.readsFail
}

func (l *pausableLog) Append(ctx context.Context, s journal.Stream, payloads [][]byte) (journal.Offset, error) {
	l.waitResumed()
	l.mu.Lock()
	l.readsFail = l.failReadsOnAppend
	l.mu.Unlock()
	return l.inner.Append(ctx, s, payloads)
}

func (l *pausableLog) Read(ctx context.Context, s journal.Stream, from journal.Offset, limit int, wait time.Duration) (journal.Page, error) {
	l.waitResumed()
	page, err := l.inner.Read(ctx, s, from, limit, wait)
	l.waitResumed()
	if l.readsFailing() {
		return journal.Page{}, errors.New("no answer")
	}
	return page, err
}

// daemon is a lease manager with its own replica of the control stream.
type daemon struct {
	*lease.Manager
	id      fleet.DaemonID
	fold    *lease.Fold
	replica *journal.Replica
	log     *pausableLog
	// stepPause is a pause in the manager's next check of the leases.
	stepPause atomic.Int64 // time.Duration
	stop      context.CancelFunc
	done      sync.WaitGroup
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
	d := &daemon{id: id, fold: lease.NewFold(), log: newPausableLog(c.log), stop: stop}
	d.replica = journal.NewReplica(journal.Config{
		Stream: journal.StreamControl, Self: id, Log: d.log, Fold: journal.NewMux(d.fold),
	})
	d.Manager = lease.NewManager(lease.ManagerConfig{
		Self: id, Proposer: d.replica, Fold: d.fold, Scopes: c.scopes, Alive: d.livePeers(c),
	})
	c.mu.Lock()
	c.alive[id] = d
	c.mu.Unlock()
	d.done.Go(func() { d.replica.Run(ctx) })
	d.done.Go(func() { d.Manager.Run(ctx) })
	c.t.Cleanup(func() { c.kill(d) })
	return d
}

// livePeers returns a function that lists the live daemons. It blocks while the
// log is paused, which simulates a pause of the daemon.
func (d *daemon) livePeers(c *cluster) func() []fleet.DaemonID {
	return func() []fleet.DaemonID {
		d.log.waitResumed()
		time.Sleep(time.Duration(d.stepPause.Swap(0)))
		return c.ids()
	}
}

// kill stops a daemon without releasing its leases.
func (c *cluster) kill(d *daemon) {
	c.mu.Lock()
	delete(c.alive, d.id)
	c.mu.Unlock()
	d.log.resume()
	d.stop()
	d.done.Wait()
}

// holders returns the daemons that hold a scope at the same time. While they are read
// one after the other, one may release the scope to a later one, so several are read
// again.
func (c *cluster) holders(scope lease.Scope) []fleet.DaemonID {
	ids := c.readHolders(scope)
	if len(ids) <= 1 {
		return ids
	}
	again := c.readHolders(scope)
	return slices.DeleteFunc(ids, func(id fleet.DaemonID) bool { return !slices.Contains(again, id) })
}

func (c *cluster) readHolders(scope lease.Scope) []fleet.DaemonID {
	var ids []fleet.DaemonID
	for _, d := range c.all() {
		if _, ok := d.Held(scope); ok {
			ids = append(ids, d.id)
		}
	}
	return ids
}

// watch polls all scopes for the given time and fails if a scope has two
// holders. It returns the longest time that a scope had no holder.
func (c *cluster) watch(length time.Duration) time.Duration {
	const step = 100 * time.Millisecond
	unheld := map[lease.Scope]time.Duration{}
	longest := time.Duration(0)
	for range length / step {
		for _, s := range c.scopes {
			ids := c.holders(s)
			assert.Assert(c.t, len(ids) <= 1, "scope %s is held by %v", s, ids)
			unheld[s] += step
			if len(ids) == 1 {
				unheld[s] = 0
			}
			longest = max(longest, unheld[s])
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
	c.t.Fatalf("no daemon holds %s", scope)
	return nil
}
