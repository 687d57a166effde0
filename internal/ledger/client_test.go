package ledger_test

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"carawayproxy.example/caraway/internal/fleet"
	"carawayproxy.example/caraway/internal/ledger"
	"carawayproxy.example/caraway/standin/platform"
)

// withTwoDaemons runs a test with two daemons on one log, in virtual time.
func withTwoDaemons(t *testing.T, run func(t *testing.T, log *platform.Log, a, b *daemon)) {
	synctest.Test(t, func(t *testing.T) {
		log := platform.NewLog(platform.LogConfig{})
		a, b := newDaemon(log, "a", 1), newDaemon(log, "b", 1)
		time.Sleep(time.Second)
		run(t, log, a, b)
		a.stop()
		b.stop()
	})
}

func contextWithTimeout(d time.Duration) (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), d)
}

func TestLogDownRejectsImmediately(t *testing.T) {
	withTwoDaemons(t, func(t *testing.T, log *platform.Log, a, _ *daemon) {
		log.SetFaults(platform.LogFaults{Down: true})
		ctx, cancel := contextWithTimeout(10 * time.Second)
		defer cancel()
		began := time.Now()
		g := a.client.Begin(ctx, key("k"), 1)
		assert.Equal(t, g.Failure.State, fleet.NotRun)
		assert.Equal(t, g.Failure.Reason, fleet.ReasonLogDown)
		assert.Assert(t, g.Failure.RetryAfter > 0)
		assert.Assert(t, time.Since(began) < time.Second, "rejected after %s", time.Since(began))
	})
}

// An intent whose append got no response in time is never run and does not
// block the key permanently.
func TestAbandonedIntentReleasesKey(t *testing.T) {
	withTwoDaemons(t, func(t *testing.T, log *platform.Log, a, b *daemon) {
		log.SetFaults(platform.LogFaults{Delay: 3 * time.Second})
		ctx, cancel := contextWithTimeout(time.Second)
		defer cancel()
		g := a.client.Begin(ctx, key("k"), 1)
		assert.Equal(t, g.Failure.State, fleet.NotRun)
		assert.Equal(t, a.client.Pending(), 1)
		log.SetFaults(platform.LogFaults{})
		time.Sleep(30 * time.Second)
		assert.Equal(t, a.client.Pending(), 0)
		ctx2, cancel2 := contextWithTimeout(5 * time.Second)
		defer cancel2()
		assert.Equal(t, b.client.Begin(ctx2, key("k"), 1).Decision, ledger.Run)
	})
}

func TestRepeatedCallsAtAnotherDaemon(t *testing.T) {
	withTwoDaemons(t, func(t *testing.T, _ *platform.Log, a, b *daemon) {
		ctx, cancel := contextWithTimeout(20 * time.Second)
		defer cancel()
		g := a.client.Begin(ctx, key("k"), 1)
		assert.Equal(t, g.Decision, ledger.Run)
		assert.Assert(t, a.client.IsGrantValid(g.Token))

		short, cancelShort := contextWithTimeout(2 * time.Second)
		defer cancelShort()
		pending := b.client.Begin(short, key("k"), 1)
		assert.NilError(t, short.Err(), "the answer came after the caller's deadline")
		assert.Equal(t, pending.Failure.State, fleet.MayHaveRun)
		assert.Equal(t, pending.Failure.Reason, fleet.ReasonKeyInUse)
		known, found := b.client.Lookup(key("k"), 1)
		assert.Assert(t, found)
		assert.Equal(t, known.Decision, ledger.Await)

		other := b.client.Begin(ctx, key("k"), 2)
		assert.Equal(t, other.Failure.State, fleet.NotRun)
		assert.Equal(t, other.Failure.Reason, fleet.ReasonKeyMismatch)

		waiting := make(chan ledger.Grant)
		go func() { waiting <- b.client.Begin(ctx, key("k"), 1) }()
		time.Sleep(time.Second)
		a.client.Finish(ctx, g.Token, ledger.AnswerOf([]byte("entry 12")))
		got := <-waiting
		assert.Equal(t, got.Decision, ledger.Replay)
		assert.Equal(t, string(got.Answer.Body), "entry 12")
	})
}

// An answer larger than the inline limit is replayed by the daemon that has it
// in its cache. At other daemons the call fails in state DONE.
func TestLargeAnswers(t *testing.T) {
	withTwoDaemons(t, func(t *testing.T, _ *platform.Log, a, b *daemon) {
		ctx, cancel := contextWithTimeout(20 * time.Second)
		defer cancel()
		body := strings.Repeat("x", 5000)
		g := a.client.Begin(ctx, key("k"), 1)
		a.client.Finish(ctx, g.Token, ledger.AnswerOf([]byte(body)))
		assert.Equal(t, string(a.client.Begin(ctx, key("k"), 1).Answer.Body), body)
		time.Sleep(time.Second)
		elsewhere := b.client.Begin(ctx, key("k"), 1)
		assert.Equal(t, elsewhere.Failure.State, fleet.Done)
		e, _ := b.folds[0].Lookup(key("k"))
		assert.Equal(t, e.Answer.Size, 5000)
		assert.Equal(t, e.Answer.Digest, ledger.AnswerOf([]byte(body)).Digest)
	})
}

// An outcome that cannot be recorded is replayed immediately by the same daemon
// and recorded once the log is available again.
func TestOutcomeSurvivesOutage(t *testing.T) {
	withTwoDaemons(t, func(t *testing.T, log *platform.Log, a, b *daemon) {
		ctx, cancel := contextWithTimeout(200 * time.Second)
		defer cancel()
		g := a.client.Begin(ctx, key("k"), 1)
		log.SetFaults(platform.LogFaults{Down: true})
		began := time.Now()
		a.client.Finish(ctx, g.Token, ledger.AnswerOf([]byte("done")))
		assert.Assert(t, time.Since(began) <= 500*time.Millisecond)
		assert.Equal(t, a.client.Pending(), 1)
		assert.Equal(t, a.client.Begin(ctx, key("k"), 1).Decision, ledger.Replay)
		time.Sleep(time.Minute)
		log.SetFaults(platform.LogFaults{})
		time.Sleep(10 * time.Second)
		assert.Equal(t, a.client.Pending(), 0)
		assert.Equal(t, string(b.client.Begin(ctx, key("k"), 1).Answer.Body), "done")
	})
}

// Repeats of a call with an unknown outcome do not wait, and a late outcome is
// still recorded.
func TestUnknownOutcomeAnswersRepeatsImmediately(t *testing.T) {
	withTwoDaemons(t, func(t *testing.T, _ *platform.Log, a, b *daemon) {
		ctx, cancel := contextWithTimeout(20 * time.Second)
		defer cancel()
		g := a.client.Begin(ctx, key("k"), 1)
		a.client.RecordUnknown(ctx, g.Token)
		time.Sleep(time.Second)
		began := time.Now()
		assert.Equal(t, b.client.Begin(ctx, key("k"), 1).Failure.State, fleet.MayHaveRun)
		assert.Assert(t, time.Since(began) < 100*time.Millisecond)
		a.client.Finish(ctx, g.Token, ledger.AnswerOf([]byte("late")))
		time.Sleep(time.Second)
		assert.Equal(t, string(b.client.Begin(ctx, key("k"), 1).Answer.Body), "late")
	})
}

// A process that was paused for hours must not send the request.
func TestGrantExpiresAfterPause(t *testing.T) {
	withTwoDaemons(t, func(t *testing.T, _ *platform.Log, a, _ *daemon) {
		ctx, cancel := contextWithTimeout(24 * time.Hour)
		defer cancel()
		g := a.client.Begin(ctx, key("k"), 1)
		time.Sleep(7 * time.Hour)
		assert.Assert(t, !a.client.IsGrantValid(g.Token))
	})
}

// A non-idempotent request costs two records in the log, an intent and an
// outcome. A repeat costs none.
func TestAppendsPerRequest(t *testing.T) {
	withTwoDaemons(t, func(t *testing.T, log *platform.Log, a, b *daemon) {
		ctx, cancel := contextWithTimeout(time.Hour)
		defer cancel()
		before := log.Stats().Records
		const requests = 50
		for n := range requests {
			k := key(callID("k", n))
			g := a.client.Begin(ctx, k, 1)
			a.client.Finish(ctx, g.Token, ledger.AnswerOf([]byte("ok")))
			time.Sleep(time.Second)
			assert.Equal(t, b.client.Begin(ctx, k, 1).Decision, ledger.Replay)
		}
		assert.Equal(t, log.Stats().Records-before, uint64(2*requests))
	})
}

// A call whose key is owned by a stopped daemon does not wait and is not run.
func TestStoppedOwner(t *testing.T) {
	withTwoDaemons(t, func(t *testing.T, log *platform.Log, a, _ *daemon) {
		ctx, cancel := contextWithTimeout(time.Minute)
		defer cancel()
		owner := newDaemon(log, "gone", 1)
		time.Sleep(time.Second)
		assert.Equal(t, owner.client.Begin(ctx, key("k"), 1).Decision, ledger.Run)
		owner.stop()
		began := time.Now()
		g := a.client.Begin(ctx, key("k"), 1)
		assert.Equal(t, g.Decision, ledger.Refused)
		assert.Equal(t, g.Failure.State, fleet.MayHaveRun)
		assert.Assert(t, time.Since(began) < 2*time.Second)
	})
}

// A call without time left fails in state NOT_RUN only if no earlier call has
// the key.
func TestDeadlineWithPendingKey(t *testing.T) {
	withTwoDaemons(t, func(t *testing.T, _ *platform.Log, a, b *daemon) {
		ctx, cancel := contextWithTimeout(time.Minute)
		defer cancel()
		ended, cancelEnded := context.WithCancel(ctx)
		cancelEnded()
		assert.Equal(t, b.client.Begin(ended, key("k"), 1).Failure.State, fleet.NotRun)
		assert.Equal(t, a.client.Begin(ctx, key("k"), 1).Decision, ledger.Run)
		time.Sleep(time.Second)
		assert.Equal(t, b.client.Begin(ended, key("k"), 1).Failure.State, fleet.MayHaveRun)
	})
}
