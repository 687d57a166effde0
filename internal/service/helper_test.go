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

var errCut = errors.New("cut off")

// link is a daemon's way to the log.
type link struct {
	journal.Log
	mu   sync.Mutex
	cut  bool // calls fail
	hang bool // calls get no answer
	mute bool // appends fail without a proof, reads go on
}

func (l *link) setCut(cut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut = cut
}

func (l *link) setHang(hang bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.hang = hang
}

func (l *link) setMute(mute bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.mute = mute
}

func (l *link) isMute() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.mute
}

func (l *link) pass(ctx context.Context) error {
	l.mu.Lock()
	cut, hang := l.cut, l.hang
	l.mu.Unlock()
	if hang {
		<-ctx.Done()
	}
	if cut || hang {
		return errCut
	}
	return nil
}

func (l *link) Append(ctx context.Context, s journal.Stream, p [][]byte) (journal.Offset, error) {
	if err := l.pass(ctx); err != nil {
		return 0, err
	}
	if l.isMute() {
		return 0, errCut
	}
	return l.Log.Append(ctx, s, p)
}

func (l *link) Read(ctx context.Context, s journal.Stream, from journal.Offset, limit int, wait time.Duration) (journal.Page, error) {
	if err := l.pass(ctx); err != nil {
		return journal.Page{}, err
	}
	return l.Log.Read(ctx, s, from, limit, wait)
}

// daemon is a book on a replica of the config stream, which writes its
// snapshots too if it is to.
type daemon struct {
	*service.Publisher
	book    *service.Book
	replica *journal.Replica
	link    *link
	stop    context.CancelFunc
	done    sync.WaitGroup
}

// peers is a PeerSource over the daemons in it.
type peers struct {
	mu  sync.Mutex
	all []*daemon
}

func (p *peers) add(d *daemon) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.all = append(p.all, d)
}

func (p *peers) list() []*daemon {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]*daemon(nil), p.all...)
}

func (p *peers) FetchState(context.Context, journal.Stream) (journal.State, error) {
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

func (p *peers) FetchEntries(_ context.Context, _ journal.Stream, from journal.Offset, limit int) ([]journal.Entry, error) {
	for _, d := range p.list() {
		if held := d.replica.Entries(from, limit); held != nil {
			return held, nil
		}
	}
	return nil, nil
}

func start(t testing.TB, id fleet.DaemonID, l journal.Log, p *peers, snapshots bool) *daemon {
	ctx, stop := context.WithCancel(context.Background())
	d := &daemon{book: service.NewBook(), link: &link{Log: l}, stop: stop}
	cfg := journal.Config{Stream: journal.StreamConfig, Self: id, Log: d.link, Fold: d.book}
	if p != nil {
		cfg.Peers = p
	}
	d.replica = journal.NewReplica(cfg)
	if p != nil {
		p.add(d)
	}
	d.Publisher = service.NewPublisher(d.replica, d.book, nil)
	d.done.Go(func() { d.replica.Run(ctx) })
	if snapshots {
		s := journal.NewSnapshotter(journal.SnapshotterConfig{
			Log: d.link, Self: id, Replicas: []*journal.Replica{d.replica},
			Held: func(journal.Stream) bool { return true },
		})
		d.done.Go(func() { s.Run(ctx) })
	}
	t.Cleanup(d.kill)
	return d
}

func (d *daemon) kill() {
	d.stop()
	d.done.Wait()
}

// file returns a service file that differs by its comment.
func file(name, owner, comment string) string {
	body := strings.Replace(plainFile, "service: bookings", "service: "+name, 1)
	if owner != "" {
		body += "owner: " + owner + "\n"
	}
	return body + "# " + comment + "\n"
}

func change(base uint64, name, owner, comment string) service.Change {
	return service.Change{
		Service: fleet.ServiceName(name), BaseRevision: base,
		Body: file(name, owner, comment), File: name + ".yaml",
	}
}

func publication(author string, changes ...service.Change) service.Publication {
	return service.Publication{Author: author, Changes: changes}
}

func accepted(t testing.TB, out service.Outcome) uint64 {
	t.Helper()
	assert.Equal(t, out.Kind, service.Accepted, "%+v", out)
	return out.Revision
}

func newLog() *platform.Log { return platform.NewLog(platform.LogConfig{Retention: time.Hour}) }
