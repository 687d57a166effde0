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
	kindAdd journal.Kind = "test.add" // always accepted
	kindSet journal.Kind = "test.set" // accepted if its base is the current revision
)

type add struct {
	Name string `cbor:"1,keyasint"`
}

type set struct {
	Base uint64 `cbor:"1,keyasint"`
}

// recordingFold lists all applied records, so that duplicates are visible.
type recordingFold struct {
	mu    sync.Mutex
	state recordingState
}

type recordingState struct {
	Added    []string `cbor:"1,keyasint"`
	Revision uint64   `cbor:"2,keyasint"`
}

func (t *recordingFold) Kinds() []journal.Kind { return []journal.Kind{kindAdd, kindSet} }

func (t *recordingFold) Apply(_ journal.Offset, r journal.Record) (journal.Verdict, error) {
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

func (t *recordingFold) Snapshot() ([]byte, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return journal.Encode(t.state)
}

func (t *recordingFold) Restore(data []byte) error {
	var s recordingState
	if err := journal.Decode(data, &s); err != nil {
		return err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.state = s
	return nil
}

func (t *recordingFold) added() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]string(nil), t.state.Added...)
}

func (t *recordingFold) revision() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.state.Revision
}

var errUnreachable = errors.New("log unreachable")

// faultyLog is one daemon's connection to the log, with injected faults.
type faultyLog struct {
	mu             sync.Mutex
	target         journal.Log
	unreachable    bool          // reads and appends fail; the error does not prove the append failed
	appendDelay    time.Duration // appends return an error at once and take effect after this time
	rejectAppends  bool          // appends fail with ErrNotAppended
	dropAppends    bool          // like unreachable, for appends only
	delayedAppends sync.WaitGroup
	readDelay      time.Duration
}

func (l *faultyLog) update(change func(*faultyLog)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	change(l)
}

func (l *faultyLog) log() journal.Log {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.target
}

func (l *faultyLog) faults() (unreachable bool, appendDelay, readDelay time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.unreachable, l.appendDelay, l.readDelay
}

func (l *faultyLog) Append(ctx context.Context, s journal.Stream, payloads [][]byte) (journal.Offset, error) {
	l.mu.Lock()
	reject, drop := l.rejectAppends, l.dropAppends
	l.mu.Unlock()
	if reject {
		return 0, journal.ErrNotAppended
	}
	unreachable, appendDelay, _ := l.faults()
	if unreachable || drop {
		return 0, errUnreachable
	}
	if appendDelay > 0 {
		l.delayedAppends.Go(func() {
			time.Sleep(appendDelay)
			_, _ = l.log().Append(context.Background(), s, payloads)
		})
		return 0, errUnreachable
	}
	return l.log().Append(ctx, s, payloads)
}

func (l *faultyLog) Read(ctx context.Context, s journal.Stream, from journal.Offset, limit int, wait time.Duration) (journal.Page, error) {
	unreachable, _, readDelay := l.faults()
	if unreachable {
		return journal.Page{}, errUnreachable
	}
	if readDelay > 0 {
		time.Sleep(readDelay)
	}
	return l.log().Read(ctx, s, from, limit, wait)
}

// daemon is one replica with its fold and its connection to the log.
type daemon struct {
	*journal.Replica
	fold   *recordingFold
	log    *faultyLog
	stop   context.CancelFunc
	ended  chan struct{}
	events *eventCount
}

// eventCount counts emitted events by name.
type eventCount struct {
	mu     sync.Mutex
	byName map[string]int
}

func (c *eventCount) sink(_ time.Time, e *event.Event, _ []any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.byName[e.Name]++
}

func (c *eventCount) all() map[string]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(c.byName)
}

func (c *eventCount) count(name string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.byName[name]
}

func logger(c *eventCount) *event.Logger {
	return event.NewLogger(discard{}, log.FatalLevel, c.sink)
}

type discard struct{}

func (discard) Write(p []byte) (int, error) { return len(p), nil }

// startDaemon runs a replica of the control stream until the test ends or
// stopAndWait is called. change, if not nil, alters its configuration.
func startDaemon(t testing.TB, id fleet.DaemonID, l journal.Log, change func(*journal.Config)) *daemon {
	t.Helper()
	ctx, stop := context.WithCancel(context.Background())
	d := &daemon{fold: &recordingFold{}, log: &faultyLog{target: l}, stop: stop, ended: make(chan struct{})}
	d.events = &eventCount{byName: map[string]int{}}
	cfg := journal.Config{
		Stream: journal.StreamControl,
		Self:   id,
		Log:    d.log,
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
	t.Cleanup(d.stopAndWait)
	return d
}

func (d *daemon) stopAndWait() {
	d.stop()
	<-d.ended
	d.log.delayedAppends.Wait()
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
		if entries := d.Entries(from, limit); entries != nil {
			return entries, nil
		}
	}
	return nil, nil
}

func mustAccept(t testing.TB, res journal.Result) {
	t.Helper()
	assert.Equal(t, res.Outcome, journal.OutcomeAccepted, "err %v, verdict %+v", res.Err, res.Verdict)
}

func contextWithTimeout(d time.Duration) (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), d)
}

var _ journal.Log = (*platform.Log)(nil)
