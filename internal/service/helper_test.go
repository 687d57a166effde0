package service_test

import (
	"context"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"carawayproxy.example/caraway/internal/fleet"
	"carawayproxy.example/caraway/internal/journal"
	"carawayproxy.example/caraway/internal/service"
	"carawayproxy.example/caraway/standin/platform"
	"carawayproxy.example/caraway/standin/property"
)

// TestMain fixes the seed of the property tests unless one is given.
func TestMain(m *testing.M) { property.Main(m, property.Seeded("20261203")) }

var errDisconnected = errors.New("disconnected from the log")

// faultyLog is a daemon's connection to the log, with faults.
type faultyLog struct {
	journal.Log
	mu           sync.Mutex
	disconnected bool // all calls fail
	unresponsive bool // all calls block until their context ends
	dropAppends  bool // appends fail with an unknown outcome; reads work
}

func (l *faultyLog) setDisconnected(disconnected bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.disconnected = disconnected
}

func (l *faultyLog) setUnresponsive(unresponsive bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.unresponsive = unresponsive
}

func (l *faultyLog) setDropAppends(drop bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.dropAppends = drop
}

func (l *faultyLog) dropsAppends() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.dropAppends
}

func (l *faultyLog) checkConnection(ctx context.Context) error {
	l.mu.Lock()
	disconnected, unresponsive := l.disconnected, l.unresponsive
	l.mu.Unlock()
	if unresponsive {
		<-ctx.Done()
	}
	if disconnected || unresponsive {
		return errDisconnected
	}
	return nil
}

func (l *faultyLog) Append(ctx context.Context, s journal.Stream, p [][]byte) (journal.Offset, error) {
	if err := l.checkConnection(ctx); err != nil {
		return 0, err
	}
	if l.dropsAppends() {
		return 0, errDisconnected
	}
	return l.Log.Append(ctx, s, p)
}

func (l *faultyLog) Read(ctx context.Context, s journal.Stream, from journal.Offset, limit int, wait time.Duration) (journal.Page, error) {
	if err := l.checkConnection(ctx); err != nil {
		return journal.Page{}, err
	}
	return l.Log.Read(ctx, s, from, limit, wait)
}

// testDaemon is a fold with its replica of the config stream. With a
// snapshotter it also writes the snapshots of the stream.
type testDaemon struct {
	*service.Publisher
	fold    *service.Fold
	replica *journal.Replica
	log     *faultyLog
	cancel  context.CancelFunc
	done    sync.WaitGroup
}

// peerSet is a journal.PeerSource backed by the daemons in it.
type peerSet struct {
	mu  sync.Mutex
	all []*testDaemon
}

func (p *peerSet) add(d *testDaemon) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.all = append(p.all, d)
}

func (p *peerSet) list() []*testDaemon {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]*testDaemon(nil), p.all...)
}

func (p *peerSet) FetchState(context.Context, journal.Stream) (journal.State, error) {
	var best journal.State
	for _, d := range p.list() {
		if s, err := d.replica.Export(); err == nil && (best.Data == nil || s.Next > best.Next) {
			best = s
		}
	}
	if best.Data == nil {
		return best, errors.New("no peer has a state")
	}
	return best, nil
}

func (p *peerSet) FetchEntries(_ context.Context, _ journal.Stream, from journal.Offset, limit int) ([]journal.Entry, error) {
	for _, d := range p.list() {
		if entries := d.replica.Entries(from, limit); entries != nil {
			return entries, nil
		}
	}
	return nil, nil
}

func startDaemon(t testing.TB, id fleet.DaemonID, l journal.Log, p *peerSet, snapshots bool) *testDaemon {
	ctx, cancel := context.WithCancel(context.Background())
	d := &testDaemon{fold: service.NewFold(), log: &faultyLog{Log: l}, cancel: cancel}
	cfg := journal.Config{Stream: journal.StreamConfig, Self: id, Log: d.log, Fold: d.fold}
	if p != nil {
		cfg.Peers = p
	}
	d.replica = journal.NewReplica(cfg)
	if p != nil {
		p.add(d)
	}
	d.Publisher = service.NewPublisher(d.replica, d.fold, nil)
	d.done.Go(func() { d.replica.Run(ctx) })
	if snapshots {
		s := journal.NewSnapshotter(journal.SnapshotterConfig{
			Log: d.log, Self: id, Replicas: []*journal.Replica{d.replica},
			IsHolder: func(journal.Stream) bool { return true },
		})
		d.done.Go(func() { s.Run(ctx) })
	}
	t.Cleanup(d.shutdown)
	return d
}

func (d *testDaemon) shutdown() {
	d.cancel()
	d.done.Wait()
}

// serviceFile returns a plain service's file that ends with the comment.
func serviceFile(name, owner, comment string) string {
	body := strings.Replace(plainFile, "service: bookings", "service: "+name, 1)
	if owner != "" {
		body += "owner: " + owner + "\n"
	}
	return body + "# " + comment + "\n"
}

func change(base uint64, name, owner, comment string) service.Change {
	return service.Change{
		Service: fleet.ServiceName(name), BaseRevision: base,
		Body: serviceFile(name, owner, comment), File: name + ".yaml",
	}
}

func publication(author string, changes ...service.Change) service.Publication {
	return service.Publication{Author: author, Changes: changes}
}

func requireAccepted(t testing.TB, out service.Outcome) uint64 {
	t.Helper()
	assert.Equal(t, out.Kind, service.Accepted, "%+v", out)
	return out.Revision
}

func newLog() *platform.Log { return platform.NewLog(platform.LogConfig{Retention: time.Hour}) }
