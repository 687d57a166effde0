package journal_test

import (
	"context"
	"maps"
	"sync"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"carawayproxy.example/caraway/internal/event"
	"carawayproxy.example/caraway/internal/fleet"
	"carawayproxy.example/caraway/internal/journal"
	"carawayproxy.example/caraway/standin/platform"
)

const (
	kindAdd journal.Kind = "test.add" // counts each time it is applied
	kindSet journal.Kind = "test.set" // counts if its base is current
)

type add struct {
	Name string `cbor:"1,keyasint"`
}

type set struct {
	Base uint64 `cbor:"1,keyasint"`
}

// tally is a fold that shows every repeat: it lists what was applied.
type tally struct {
	mu    sync.Mutex
	state tallyState
}

type tallyState struct {
	Added    []string `cbor:"1,keyasint"`
	Revision uint64   `cbor:"2,keyasint"`
}

func (t *tally) Kinds() []journal.Kind { return []journal.Kind{kindAdd, kindSet} }

func (t *tally) Apply(_ journal.Offset, r journal.Record) (journal.Verdict, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r.Kind == kindSet {
		var s set
		if journal.Decode(r.Body, &s) != nil || s.Base != t.state.Revision {
			return journal.Reject("base"), nil
		}
		t.state.Revision++
		return journal.Accept(), nil
	}
	var a add
	if journal.Decode(r.Body, &a) != nil {
		return journal.Reject("malformed body"), nil
	}
	t.state.Added = append(t.state.Added, a.Name)
	return journal.Accept(), nil
}

func (t *tally) Snapshot() ([]byte, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return journal.Encode(t.state)
}

func (t *tally) Restore(data []byte) error {
	var s tallyState
	if err := journal.Decode(data, &s); err != nil {
		return err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.state = s
	return nil
}

func (t *tally) added() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]string(nil), t.state.Added...)
}

func (t *tally) revision() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.state.Revision
}

var errCut = errors.New("cut off")

// link is one daemon's way to the log, with faults of its own.
type link struct {
	mu        sync.Mutex
	to        journal.Log
	cut       bool          // reads fail, appends fail without a proof
	late      time.Duration // appends get no answer and take effect later
	refuse    bool          // appends provably have no effect
	mute      bool          // appends fail without a proof, reads go on
	delayed   sync.WaitGroup
	readDelay time.Duration
}

func (l *link) set(change func(*link)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	change(l)
}

func (l *link) log() journal.Log {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.to
}

func (l *link) faults() (cut bool, late, delay time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.cut, l.late, l.readDelay
}

func (l *link) Append(ctx context.Context, s journal.Stream, payloads [][]byte) (journal.Offset, error) {
	l.mu.Lock()
	refuse, mute := l.refuse, l.mute
	l.mu.Unlock()
	if refuse {
		return 0, journal.ErrNotAppended
	}
	cut, late, _ := l.faults()
	if cut || mute {
		return 0, errCut
	}
	if late > 0 {
		l.delayed.Go(func() {
			time.Sleep(late)
			_, _ = l.log().Append(context.Background(), s, payloads)
		})
		return 0, errCut
	}
	return l.log().Append(ctx, s, payloads)
}

func (l *link) Read(ctx context.Context, s journal.Stream, from journal.Offset, limit int, wait time.Duration) (journal.Page, error) {
	cut, _, delay := l.faults()
	if cut {
		return journal.Page{}, errCut
	}
	if delay > 0 {
		time.Sleep(delay)
	}
	return l.log().Read(ctx, s, from, limit, wait)
}

// daemon is one replica with its fold and its way to the log.
type daemon struct {
	*journal.Replica
	fold   *tally
	link   *link
	stop   context.CancelFunc
	ended  chan struct{}
	events *eventCount
}

// eventCount counts emitted events by name.
type eventCount struct {
	mu sync.Mutex
	by map[string]int
}

func (c *eventCount) sink(_ time.Time, e *event.Event, _ []any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.by[e.Name]++
}

func (c *eventCount) all() map[string]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(c.by)
}

func (c *eventCount) of(name string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.by[name]
}

func logger(c *eventCount) *event.Logger {
	return event.NewLogger(discard{}, log.FatalLevel, c.sink)
}

type discard struct{}

func (discard) Write(p []byte) (int, error) { return len(p), nil }

// startDaemon runs a replica of the control stream until the test ends or
// halt. change, if any, alters its configuration.
func startDaemon(t testing.TB, id fleet.DaemonID, l journal.Log, change func(*journal.Config)) *daemon {
	t.Helper()
	ctx, stop := context.WithCancel(context.Background())
	d := &daemon{fold: &tally{}, link: &link{to: l}, stop: stop, ended: make(chan struct{})}
	d.events = &eventCount{by: map[string]int{}}
	cfg := journal.Config{
		Stream: journal.StreamControl,
		Self:   id,
		Log:    d.link,
		Fold:   d.fold,
		Events: logger(d.events),
	}
	if change != nil {
		change(&cfg)
	}
	d.Replica = journal.NewReplica(cfg)
	go func() {
		defer close(d.ended)
		d.Run(ctx)
	}()
	t.Cleanup(d.halt)
	return d
}

func (d *daemon) halt() {
	d.stop()
	<-d.ended
	d.link.delayed.Wait()
}

// peersOf serves the state and entries of other replicas.
type peersOf []*daemon

func (p peersOf) FetchState(_ context.Context, _ journal.Stream) (journal.State, error) {
	var best journal.State
	err := errors.New("no peer has a state")
	for _, d := range p {
		if s, exportErr := d.Export(); exportErr == nil && (err != nil || s.Next > best.Next) {
			best, err = s, nil
		}
	}
	return best, err
}

func (p peersOf) FetchEntries(_ context.Context, _ journal.Stream, from journal.Offset, limit int) ([]journal.Entry, error) {
	for _, d := range p {
		if held := d.Entries(from, limit); held != nil {
			return held, nil
		}
	}
	return nil, nil
}

func mustAccept(t testing.TB, res journal.Result) {
	t.Helper()
	assert.Equal(t, res.Fate, journal.FateAccepted, "err %v, verdict %+v", res.Err, res.Verdict)
}

func bound(d time.Duration) (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), d)
}

var _ journal.Log = (*platform.Log)(nil)
