package journal_test

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"carawayproxy.example/caraway/internal/journal"
	"carawayproxy.example/caraway/standin/platform"
)

const retention = time.Hour

// runSnapshotter writes snapshots of a daemon's stream until the test ends or
// the returned function is called.
func runSnapshotter(t testing.TB, l journal.Log, d *daemon) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	s := journal.NewSnapshotter(journal.SnapshotterConfig{
		Log: l, Replicas: []*journal.Replica{d.Replica}, IsHolder: func(journal.Stream) bool { return true },
	})
	go func() {
		defer close(ended)
		s.Run(ctx)
	}()
	stop = func() {
		cancel()
		<-ended
	}
	t.Cleanup(stop)
	return stop
}

func addMany(t testing.TB, d *daemon, n int, size int) {
	t.Helper()
	for i := range n {
		name := fmt.Sprintf("%06d%s", i, strings.Repeat("x", size))
		mustAccept(t, d.Propose(t.Context(), kindAdd, add{name}))
	}
}

// All records have expired; the state is only in the snapshot.
func TestStartFromSnapshot(t *testing.T) {
	for name, size := range map[string]int{"small": 10, "chunked": 64 << 10} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				l := platform.NewLog(platform.LogConfig{Retention: retention})
				a := startDaemon(t, "a", l, nil)
				runSnapshotter(t, l, a)
				addMany(t, a, 20, size)
				time.Sleep(retention + 15*time.Minute)
				addMany(t, a, 1, size)
				b := startDaemon(t, "b", l, nil)
				time.Sleep(time.Second)
				assert.Equal(t, b.Status().Next, a.Status().Next)
				assert.DeepEqual(t, b.fold.added(), a.fold.added())
				assert.Equal(t, b.events.count("journal.adopted"), 1)
			})
		})
	}
}

// The snapshots of an idle stream expire too and must be written again.
func TestSnapshotOutlivesRetention(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := platform.NewLog(platform.LogConfig{Retention: retention})
		a := startDaemon(t, "a", l, nil)
		runSnapshotter(t, l, a)
		addMany(t, a, 3, 1)
		time.Sleep(24 * time.Hour)
		b := startDaemon(t, "b", l, nil)
		time.Sleep(time.Second)
		assert.DeepEqual(t, b.fold.added(), a.fold.added())
	})
}

func TestRecordCountTriggersSnapshot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := platform.NewLog(platform.LogConfig{Retention: retention})
		a := startDaemon(t, "a", l, nil)
		written := &eventCount{byName: map[string]int{}}
		s := journal.NewSnapshotter(journal.SnapshotterConfig{
			Log: l, Replicas: []*journal.Replica{a.Replica}, Records: 10,
			IsHolder: func(journal.Stream) bool { return true }, Events: logger(written),
		})
		ctx, cancel := context.WithTimeout(context.Background(), 50*time.Second)
		defer cancel()
		go s.Run(ctx)
		time.Sleep(6 * time.Second)
		addMany(t, a, 11, 1)
		<-ctx.Done()
		synctest.Wait()
		assert.Equal(t, written.count("journal.snapshot"), 1)
	})
}

// A daemon was disconnected from the log for longer than the retention.
func TestGapLoadsASnapshot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := platform.NewLog(platform.LogConfig{Retention: retention})
		a := startDaemon(t, "a", l, nil)
		runSnapshotter(t, l, a)
		b := startDaemon(t, "b", l, nil)
		addMany(t, a, 3, 1)
		time.Sleep(time.Second)
		assert.Equal(t, b.Status().Next, journal.Offset(3), "b must have started before it loses the log")
		b.log.update(func(l *faultyLog) { l.unreachable = true })
		time.Sleep(time.Minute)
		addMany(t, a, 5, 1)
		time.Sleep(retention + time.Minute)
		addMany(t, a, 2, 1)
		b.log.update(func(l *faultyLog) { l.unreachable = false })
		time.Sleep(5 * time.Second)
		assert.Equal(t, b.events.count("journal.gap"), 1, "events %v, status %+v", b.events.all(), b.Status())
		assert.DeepEqual(t, b.fold.added(), a.fold.added())
		assert.Equal(t, b.Status().Next, a.Status().Next)
	})
}

// Records have expired and there is no snapshot. The replica must not skip
// records; it waits until a peer has the state.
func TestGapWithoutSnapshotWaitsForAPeer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := platform.NewLog(platform.LogConfig{Retention: retention})
		a := startDaemon(t, "a", l, nil)
		addMany(t, a, 3, 1)
		time.Sleep(retention + time.Minute)
		addMany(t, a, 1, 1)
		isolated := startDaemon(t, "b", l, nil)
		time.Sleep(time.Minute)
		assert.Assert(t, isolated.Status().ConfirmedAt.IsZero())
		assert.Equal(t, len(isolated.fold.added()), 0)
		assert.Equal(t, isolated.events.count("journal.no-snapshot"), 1)
		withPeer := startDaemon(t, "c", l, func(c *journal.Config) { c.Peers = peersOf{a} })
		time.Sleep(5 * time.Second)
		assert.DeepEqual(t, withPeer.fold.added(), a.fold.added())
		assert.Assert(t, !withPeer.Status().ConfirmedAt.IsZero())
	})
}

func TestStartFromPeerWhileTheLogIsDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := platform.NewLog(platform.LogConfig{})
		a := startDaemon(t, "a", l, nil)
		addMany(t, a, 5, 1)
		l.SetFaults(platform.LogFaults{Down: true})
		b := startDaemon(t, "b", l, func(c *journal.Config) { c.Peers = peersOf{a} })
		time.Sleep(2 * time.Second)
		assert.DeepEqual(t, b.fold.added(), a.fold.added())
		assert.Assert(t, b.Status().LastLogResponse.IsZero())
		assert.Equal(t, b.Propose(t.Context(), kindAdd, add{"down"}).Outcome, journal.OutcomeNotAppended)
		l.SetFaults(platform.LogFaults{})
		time.Sleep(2 * time.Second)
		mustAccept(t, b.Propose(t.Context(), kindAdd, add{"after"}))
	})
}

// One daemon cannot reach the log; a peer relays the entries.
func TestPeerRelaysEntriesWhileLogIsUnreachable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := platform.NewLog(platform.LogConfig{})
		a := startDaemon(t, "a", l, nil)
		b := startDaemon(t, "b", l, func(c *journal.Config) { c.Peers = peersOf{a} })
		addMany(t, a, 1, 1)
		time.Sleep(time.Second)
		assert.Equal(t, b.Status().Next, journal.Offset(1), "b must have started before it loses the log")
		b.log.update(func(l *faultyLog) { l.unreachable = true })
		time.Sleep(3 * time.Second)
		mustAccept(t, a.Propose(t.Context(), kindAdd, add{"relayed"}))
		time.Sleep(time.Second)
		assert.DeepEqual(t, b.fold.added(), a.fold.added())
		at := time.Now()
		b.Confirm(a.Status().Next, at)
		assert.Equal(t, b.Status().ConfirmedAt, at)
		b.Confirm(a.Status().Next+1, at.Add(time.Second))
		assert.Equal(t, b.Status().ConfirmedAt, at, "a record is missing")
	})
}

// The peer's ring no longer has the next entries.
func TestPeerSendsStateWhenEntriesAreGone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := platform.NewLog(platform.LogConfig{})
		a := startDaemon(t, "a", l, nil)
		b := startDaemon(t, "b", l, func(c *journal.Config) { c.Peers = peersOf{a} })
		addMany(t, a, 1, 1)
		time.Sleep(time.Second)
		assert.Equal(t, b.Status().Next, journal.Offset(1), "b must have started before it loses the log")
		b.log.update(func(l *faultyLog) { l.unreachable = true })
		time.Sleep(3 * time.Second)
		addMany(t, a, 30, 64<<10)
		b.Confirm(a.Status().Next, time.Now())
		time.Sleep(2 * time.Second)
		assert.DeepEqual(t, b.fold.added(), a.fold.added())
	})
}

func TestUnusableSnapshotsAreSkipped(t *testing.T) {
	for name, corrupt := range map[string]func(*journal.State){
		"corrupt":        func(s *journal.State) { s.Data[len(s.Data)-1] ^= 1 },
		"unknown format": func(s *journal.State) { s.Format = journal.StateFormat + 1 },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				l := platform.NewLog(platform.LogConfig{Retention: retention})
				a := startDaemon(t, "a", l, nil)
				stop := runSnapshotter(t, l, a)
				addMany(t, a, 3, 1)
				time.Sleep(retention + 5*time.Minute)
				stop()
				addMany(t, a, 2, 1)
				bad, err := a.Export()
				assert.NilError(t, err)
				corrupt(&bad)
				assert.NilError(t, journal.NewSnapshotter(journal.SnapshotterConfig{Log: l}).Write(t.Context(), bad))
				b := startDaemon(t, "b", l, nil)
				time.Sleep(time.Second)
				assert.DeepEqual(t, b.fold.added(), a.fold.added())
				assert.Equal(t, b.events.count("journal.bad-snapshot"), 1)
			})
		})
	}
}

// A proposal whose record is part of an adopted state gets its result from the
// window of ids in that state.
func TestAdoptedStateSettlesProposals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := platform.NewLog(platform.LogConfig{})
		a := startDaemon(t, "a", l, nil)
		b := startDaemon(t, "b", l, nil)
		addMany(t, a, 1, 1)
		b.log.update(func(l *faultyLog) { l.readDelay = 3 * time.Second })
		time.Sleep(5 * time.Second)
		b.log.update(func(l *faultyLog) { l.appendDelay = time.Second })
		result := make(chan journal.Result, 1)
		go func() { result <- b.Propose(context.Background(), kindAdd, add{"late"}) }()
		time.Sleep(1500 * time.Millisecond)
		s, err := a.Export()
		assert.NilError(t, err)
		assert.NilError(t, b.Adopt(s))
		synctest.Wait()
		mustAccept(t, <-result)
	})
}

// The record is in the adopted state and its duplicate follows.
func TestDuplicateAcrossSnapshotCountsOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := platform.NewLog(platform.LogConfig{})
		payload := encode(t, journal.Record{
			Format: journal.RecordFormat, ID: journal.RecordID{7}, Kind: kindAdd, Body: body(t, add{"one"}),
		})
		appendAll(t, l, payload)
		a := startDaemon(t, "a", l, nil)
		synctest.Wait()
		s, err := a.Export()
		assert.NilError(t, err)
		fold := &recordingFold{}
		b := journal.NewReplica(journal.Config{Stream: journal.StreamControl, Fold: fold})
		assert.NilError(t, b.Adopt(s))
		assert.Equal(t, b.FoldRelayed([]journal.Entry{{Offset: 1, Payload: payload}}), journal.Offset(2))
		assert.DeepEqual(t, fold.added(), []string{"one"})
	})
}

func TestAdoptOnlyMovesForward(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := platform.NewLog(platform.LogConfig{})
		a := startDaemon(t, "a", l, nil)
		addMany(t, a, 2, 1)
		old, err := a.Export()
		assert.NilError(t, err)
		addMany(t, a, 2, 1)
		assert.NilError(t, a.Adopt(old))
		assert.Equal(t, a.Status().Next, journal.Offset(4))
		assert.Equal(t, len(a.fold.added()), 4)
		old.Stream = journal.StreamConfig
		assert.ErrorContains(t, a.Adopt(old), "of stream config")
	})
}

func TestEqualStatesHaveEqualBytes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := platform.NewLog(platform.LogConfig{})
		a := startDaemon(t, "a", l, nil)
		b := startDaemon(t, "b", l, nil)
		addMany(t, a, 5, 1)
		synctest.Wait()
		first, err := a.Export()
		assert.NilError(t, err)
		second, err := b.Export()
		assert.NilError(t, err)
		assert.DeepEqual(t, first, second)
	})
}
