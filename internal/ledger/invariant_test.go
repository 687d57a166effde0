package ledger_test

import (
	"bytes"
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"carawayproxy.example/caraway/internal/invariant"
	"carawayproxy.example/caraway/internal/journal"
	"carawayproxy.example/caraway/internal/ledger"
	"carawayproxy.example/caraway/standin/platform"
)

// breachedInvariants returns the names of the invariants breached during run.
func breachedInvariants(run func()) []string {
	var names []string
	defer invariant.SetHandler(func(b invariant.Breach) { names = append(names, b.Name) })()
	run()
	return names
}

// acceptAllProposer accepts every record and folds none.
type acceptAllProposer struct{}

func (acceptAllProposer) Propose(context.Context, journal.Kind, any) journal.Result {
	return journal.Result{Outcome: journal.OutcomeAccepted, Verdict: journal.Accept()}
}

func (acceptAllProposer) Status() journal.Status { return journal.Status{} }

// A log that accepts two intents for one key is detected at the second grant.
func TestSecondGrantBreachesInvariant(t *testing.T) {
	c := ledger.NewClient(ledger.ClientConfig{Self: "a", Shards: []ledger.Shard{{Proposer: acceptAllProposer{}, Fold: ledger.NewFold(0)}}})
	begin := func(k string) func() {
		return func() { assert.Equal(t, c.Begin(t.Context(), key(k), 1).Decision, ledger.Run) }
	}
	assert.Equal(t, len(breachedInvariants(begin("k"))), 0)
	assert.Equal(t, len(breachedInvariants(begin("other"))), 0)
	assert.DeepEqual(t, breachedInvariants(begin("k")), []string{"ledger.grant-once"})
}

// A recorded answer that differs from the backend server's answer is detected
// when it is replayed.
func TestCorruptAnswerBreachesInvariant(t *testing.T) {
	withTwoDaemons(t, func(t *testing.T, _ *platform.Log, a, b *daemon) {
		ctx, cancel := contextWithTimeout(time.Minute)
		defer cancel()
		g := a.client.Begin(ctx, key("k"), 1)
		a.client.Finish(ctx, g.Token, ledger.AnswerOf([]byte("credited")))
		time.Sleep(time.Second)
		state, err := b.folds[0].Snapshot()
		assert.NilError(t, err)
		replay := func() { assert.Equal(t, b.client.Begin(ctx, key("k"), 1).Decision, ledger.Replay) }
		assert.Equal(t, len(breachedInvariants(replay)), 0)
		assert.NilError(t, b.folds[0].Restore(bytes.ReplaceAll(state, []byte("credited"), []byte("creditex"))))
		assert.DeepEqual(t, breachedInvariants(replay), []string{"ledger.whole-answer"})
	})
}
