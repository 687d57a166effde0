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

// breaches returns the names of the invariants that broke in run.
func breaches(run func()) []string {
	var names []string
	defer invariant.SetHandler(func(b invariant.Breach) { names = append(names, b.Name) })()
	run()
	return names
}

// yes says of every record that it counts, and folds none.
type yes struct{}

func (yes) Propose(context.Context, journal.Kind, any) journal.Result {
	return journal.Result{Fate: journal.FateAccepted, Verdict: journal.Accept()}
}

func (yes) Status() journal.Status { return journal.Status{} }

// TestSecondGrantBreaksTheInvariant: a log that lets two intents for one key
// win is noticed at the second grant.
func TestSecondGrantBreaksTheInvariant(t *testing.T) {
	c := ledger.NewClient(ledger.ClientConfig{Self: "a", Shards: []ledger.Shard{{Proposer: yes{}, Book: ledger.NewBook(0)}}})
	begin := func(k string) func() {
		return func() { assert.Equal(t, c.Begin(t.Context(), key(k), 1).Decision, ledger.Run) }
	}
	assert.Equal(t, len(breaches(begin("k"))), 0)
	assert.Equal(t, len(breaches(begin("other"))), 0)
	assert.DeepEqual(t, breaches(begin("k")), []string{"ledger.grant-once"})
}

// TestDamagedAnswerBreaksTheInvariant: a recorded answer that is not what the
// backend server gave is noticed before a caller gets it.
func TestDamagedAnswerBreaksTheInvariant(t *testing.T) {
	inBubble(t, func(t *testing.T, _ *platform.Log, a, b *daemon) {
		ctx, cancel := within(time.Minute)
		defer cancel()
		g := a.client.Begin(ctx, key("k"), 1)
		a.client.Finish(ctx, g.Token, ledger.AnswerOf([]byte("credited")))
		time.Sleep(time.Second)
		state, err := b.books[0].Snapshot()
		assert.NilError(t, err)
		replay := func() { assert.Equal(t, b.client.Begin(ctx, key("k"), 1).Decision, ledger.Replay) }
		assert.Equal(t, len(breaches(replay)), 0)
		assert.NilError(t, b.books[0].Restore(bytes.ReplaceAll(state, []byte("credited"), []byte("creditex"))))
		assert.DeepEqual(t, breaches(replay), []string{"ledger.whole-answer"})
	})
}
