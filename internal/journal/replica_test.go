package journal_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"
	"golang.org/x/time/rate"
	"gotest.tools/v3/assert"

	"carawayproxy.example/caraway/internal/fleet"
	"carawayproxy.example/caraway/internal/journal"
	"carawayproxy.example/caraway/standin/platform"
)

func TestReplicasDecideEqually(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := platform.NewLog(platform.LogConfig{})
		a := startDaemon(t, "a", l, nil)
		b := startDaemon(t, "b", l, nil)
		mustAccept(t, a.Propose(t.Context(), kindSet, set{Base: 0}))
		res := b.Propose(t.Context(), kindSet, set{Base: 0})
		assert.Equal(t, res.Outcome, journal.OutcomeRejected)
		assert.Equal(t, res.Verdict.Reason, "base")
		mustAccept(t, b.Propose(t.Context(), kindSet, set{Base: 1}))
		synctest.Wait()
		assert.Equal(t, a.fold.revision(), uint64(2))
		assert.Equal(t, b.fold.revision(), uint64(2))
	})
}

func TestIdleLogStillConfirms(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := startDaemon(t, "a", platform.NewLog(platform.LogConfig{}), nil)
		for range 60 {
			time.Sleep(time.Second)
			age := time.Since(d.Status().ConfirmedAt)
			assert.Assert(t, age <= 2*journal.DefaultWait, "age %v", age)
		}
	})
}

// The log stored the record but its response was lost.
func TestLostResponseIsResolvedFromLog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := platform.NewLog(platform.LogConfig{})
		d := startDaemon(t, "a", l, nil)
		mustAccept(t, d.Propose(t.Context(), kindAdd, add{"before"}))
		l.SetFaults(platform.LogFaults{LoseResponses: 1})
		mustAccept(t, d.Propose(t.Context(), kindAdd, add{"lost"}))
		assert.DeepEqual(t, d.fold.added(), []string{"before", "lost"})
		assert.Equal(t, l.Stats().Lost, uint64(1))
	})
}

// An append is delayed until its record has been appended again, so that both
// copies land in the log.
func TestDuplicateCountsOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := platform.NewLog(platform.LogConfig{})
		d := startDaemon(t, "a", l, nil)
		other := startDaemon(t, "b", l, nil)
		mustAccept(t, d.Propose(t.Context(), kindAdd, add{"before"}))
		d.log.update(func(l *faultyLog) { l.appendDelay = 500 * time.Millisecond })
		mustAccept(t, d.Propose(t.Context(), kindAdd, add{"late"}))
		d.log.delayedAppends.Wait()
		synctest.Wait()
		assert.Assert(t, l.Stats().Records > 2, "the record must be in the log twice")
		assert.DeepEqual(t, d.fold.added(), []string{"before", "late"})
		assert.DeepEqual(t, other.fold.added(), []string{"before", "late"})
		assert.Assert(t, other.events.count("journal.repeat") > 0)
	})
}

// A duplicate must not count even if its id has left the window.
func TestDuplicateBeyondWindowDoesNotCount(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := platform.NewLog(platform.LogConfig{})
		payload := encode(t, journal.Record{
			Format: journal.RecordFormat, ID: journal.RecordID(uuid.New()), Kind: kindAdd, Body: body(t, add{"one"}),
		})
		appendAll(t, l, payload)
		for range journal.DuplicateWindow / 64 {
			var fill [][]byte
			for range 64 {
				fill = append(fill, encode(t, journal.Record{
					Format: journal.RecordFormat, ID: journal.RecordID(uuid.New()), Kind: kindSet,
					Body: body(t, set{Base: 99}), Basis: 1,
				}))
			}
			appendAll(t, l, fill...)
		}
		appendAll(t, l, payload)
		d := startDaemon(t, "a", l, nil)
		time.Sleep(time.Second)
		assert.Equal(t, d.Status().Next, journal.Offset(journal.DuplicateWindow+2))
		assert.DeepEqual(t, d.fold.added(), []string{"one"})
		assert.Equal(t, d.events.count("journal.stale"), 1)
	})
}

// The first append got no response and is still in flight when the second one
// fails with ErrNotAppended, which does not prove that the first had no effect.
func TestNotAppendedAfterLostResponseProvesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := startDaemon(t, "a", platform.NewLog(platform.LogConfig{}), nil)
		mustAccept(t, d.Propose(t.Context(), kindAdd, add{"before"}))
		d.log.update(func(l *faultyLog) { l.appendDelay = time.Second })
		result := make(chan journal.Result, 1)
		go func() { result <- d.Propose(context.Background(), kindAdd, add{"late"}) }()
		time.Sleep(100 * time.Millisecond)
		d.log.update(func(l *faultyLog) { l.rejectAppends = true })
		mustAccept(t, <-result)
	})
}

// After an append without a response, the log rejects all further appends. The
// proposal ends with OutcomeUnknown after a bounded number of retries.
func TestAppendRetriesAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := startDaemon(t, "a", platform.NewLog(platform.LogConfig{}), nil)
		mustAccept(t, d.Propose(t.Context(), kindAdd, add{"before"}))
		d.log.update(func(l *faultyLog) { l.dropAppends = true })
		time.AfterFunc(100*time.Millisecond, func() {
			d.log.update(func(l *faultyLog) { l.rejectAppends = true })
		})
		ctx, cancel := contextWithTimeout(time.Minute)
		defer cancel()
		start := time.Now()
		assert.Equal(t, d.Propose(ctx, kindAdd, add{"lost"}).Outcome, journal.OutcomeUnknown)
		assert.Assert(t, time.Since(start) < 3*time.Second, "after %v", time.Since(start))
	})
}

func TestLogDownRejectsImmediately(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := platform.NewLog(platform.LogConfig{})
		d := startDaemon(t, "a", l, nil)
		mustAccept(t, d.Propose(t.Context(), kindAdd, add{"before"}))
		l.SetFaults(platform.LogFaults{Down: true})
		start := time.Now()
		res := d.Propose(t.Context(), kindAdd, add{"down"})
		assert.Equal(t, res.Outcome, journal.OutcomeNotAppended)
		assert.Assert(t, errors.Is(res.Err, journal.ErrNotAppended))
		assert.Equal(t, time.Since(start), time.Duration(0))
		l.SetFaults(platform.LogFaults{})
		time.Sleep(10 * time.Second)
		assert.DeepEqual(t, d.fold.added(), []string{"before"})
	})
}

func TestLogDownAtStartRejectsImmediately(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := platform.NewLog(platform.LogConfig{})
		l.SetFaults(platform.LogFaults{Down: true})
		d := startDaemon(t, "a", l, nil)
		res := d.Propose(t.Context(), kindAdd, add{"down"})
		assert.Equal(t, res.Outcome, journal.OutcomeNotAppended)
		synctest.Wait()
		res = d.Propose(t.Context(), kindAdd, add{"down"})
		assert.Equal(t, res.Outcome, journal.OutcomeNotAppended)
	})
}

// Appends fail without a response, so the record may or may not be in the log.
func TestLostAppendHasUnknownOutcome(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := platform.NewLog(platform.LogConfig{})
		d := startDaemon(t, "a", l, nil)
		mustAccept(t, d.Propose(t.Context(), kindAdd, add{"before"}))
		d.log.update(func(l *faultyLog) { l.dropAppends = true })
		start := time.Now()
		res := d.Propose(t.Context(), kindAdd, add{"cut"})
		assert.Equal(t, res.Outcome, journal.OutcomeUnknown)
		assert.Assert(t, time.Since(start) < time.Second)
	})
}

// A record that lands after its proposer stopped waiting counts on all daemons.
func TestLateAppendOfUnknownOutcomeCounts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := platform.NewLog(platform.LogConfig{})
		a := startDaemon(t, "a", l, nil)
		b := startDaemon(t, "b", l, nil)
		mustAccept(t, a.Propose(t.Context(), kindAdd, add{"before"}))
		a.log.update(func(l *faultyLog) { l.appendDelay = 3 * time.Second })
		ctx, cancel := contextWithTimeout(100 * time.Millisecond)
		defer cancel()
		assert.Equal(t, a.Propose(ctx, kindAdd, add{"late"}).Outcome, journal.OutcomeUnknown)
		time.Sleep(4 * time.Second)
		for _, d := range []*daemon{a, b} {
			assert.DeepEqual(t, d.fold.added(), []string{"before", "late"})
		}
	})
}

func TestMalformedPayloadIsSkipped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := platform.NewLog(platform.LogConfig{})
		appendAll(t, l, []byte("not a record"), nil, []byte{0xa0})
		a := startDaemon(t, "a", l, nil)
		mustAccept(t, a.Propose(t.Context(), kindAdd, add{"after"}))
		assert.Equal(t, a.events.count("journal.malformed"), 3)
		assert.Equal(t, a.Status().Next, journal.Offset(4))
	})
}

// The log was replaced by one without the folded records. Its reads must not
// confirm the state.
func TestLogThatLostRecordsConfirmsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := startDaemon(t, "a", platform.NewLog(platform.LogConfig{}), nil)
		mustAccept(t, d.Propose(t.Context(), kindAdd, add{"before"}))
		d.log.update(func(l *faultyLog) { l.target = platform.NewLog(platform.LogConfig{}) })
		time.Sleep(3 * time.Second)
		confirmed := d.Status().ConfirmedAt
		time.Sleep(10 * time.Second)
		assert.Equal(t, d.Status().ConfirmedAt, confirmed)
		assert.Equal(t, d.events.count("journal.log-down"), 1)
		assert.DeepEqual(t, d.fold.added(), []string{"before"})
	})
}

func TestUnknownRecordStopsReplica(t *testing.T) {
	future, err := journal.Encode(map[int]any{1: journal.RecordFormat + 1, 9: "field of the future"})
	assert.NilError(t, err)
	kind := journal.Record{Format: journal.RecordFormat, ID: journal.RecordID{1}, Kind: "test.future"}
	for name, payload := range map[string][]byte{"format": future, "kind": encode(t, kind)} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				l := platform.NewLog(platform.LogConfig{})
				d := startDaemon(t, "a", l, nil)
				mustAccept(t, d.Propose(t.Context(), kindAdd, add{"before"}))
				appendAll(t, l, payload)
				time.Sleep(time.Second)
				status := d.Status()
				assert.ErrorContains(t, status.Err, "unknown record "+name)
				assert.Equal(t, status.Next, journal.Offset(1))
				assert.Equal(t, d.events.count("journal.stopped"), 1)
				confirmed := status.ConfirmedAt
				res := d.Propose(t.Context(), kindAdd, add{"after"})
				assert.Equal(t, res.Outcome, journal.OutcomeNotAppended)
				d.Confirm(1, time.Now())
				assert.Equal(t, d.Status().ConfirmedAt, confirmed)
			})
		})
	}
}

func TestInvalidProposalIsNotAppended(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := platform.NewLog(platform.LogConfig{})
		d := startDaemon(t, "a", l, nil)
		res := d.Propose(t.Context(), "test.other", add{"x"})
		assert.Equal(t, res.Outcome, journal.OutcomeNotAppended)
		res = d.Propose(t.Context(), kindAdd, add{string(make([]byte, journal.MaxRecordBytes))})
		assert.Assert(t, errors.Is(res.Err, journal.ErrTooLarge))
		assert.Equal(t, l.Stats().Records, uint64(0))
	})
}

// Nine daemons under load: each daemon has one append in flight and batches the
// proposals that arrive meanwhile, so the append rate is limited by the budget
// and not by the number of proposals.
func TestAppendBudgetUnderLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const (
			daemons  = 9
			budget   = 20 // appends per second and daemon
			clients  = 20 // concurrent proposers per daemon
			duration = 3 * time.Second
		)
		l := platform.NewLog(platform.LogConfig{})
		l.SetFaults(platform.LogFaults{Delay: 5 * time.Millisecond})
		ctx, cancel := context.WithTimeout(t.Context(), duration)
		defer cancel()
		var wg sync.WaitGroup
		for i := range daemons {
			d := startDaemon(t, fleet.DaemonID(fmt.Sprint(i)), l, func(c *journal.Config) {
				c.Budget = rate.NewLimiter(budget, 1)
			})
			for range clients {
				wg.Go(func() {
					for ctx.Err() == nil {
						d.Propose(ctx, kindAdd, add{"x"})
					}
				})
			}
		}
		wg.Wait()
		stats := l.Stats()
		seconds := uint64(duration / time.Second)
		t.Logf("%d appends/s, %d records/s", stats.Appends/seconds, stats.Records/seconds)
		assert.Assert(t, stats.Appends <= daemons*(budget*seconds+1), "%d appends", stats.Appends)
		assert.Equal(t, stats.Refused, uint64(0))
		assert.Assert(t, stats.Records > 10*stats.Appends, "%d records in %d appends", stats.Records, stats.Appends)
	})
}

func TestIdleReplicasAppendNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := platform.NewLog(platform.LogConfig{})
		for i := range 9 {
			startDaemon(t, fleet.DaemonID(fmt.Sprint(i)), l, nil)
		}
		time.Sleep(time.Minute)
		assert.Equal(t, l.Stats().Appends, uint64(0))
	})
}

func encode(t testing.TB, r journal.Record) []byte {
	t.Helper()
	data, err := journal.EncodeRecord(r)
	assert.NilError(t, err)
	return data
}

func body(t testing.TB, v any) []byte {
	t.Helper()
	data, err := journal.Encode(v)
	assert.NilError(t, err)
	return data
}

func appendAll(t testing.TB, l journal.Log, payloads ...[]byte) {
	t.Helper()
	_, err := l.Append(context.Background(), journal.StreamControl, payloads)
	assert.NilError(t, err)
}
