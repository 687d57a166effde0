package ledger

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
	metrics "github.com/rcrowley/go-metrics"

	"carawayproxy.example/caraway/internal/event"
	"carawayproxy.example/caraway/internal/fleet"
	"carawayproxy.example/caraway/internal/invariant"
	"carawayproxy.example/caraway/internal/journal"
)

const (
	defaultInlineBytes      = 4096
	defaultAnswerCacheBytes = 16 << 20
	defaultFinishWait       = 500 * time.Millisecond
	// grantLogSize is the number of recent grants kept for the invariant that
	// no key is granted twice.
	grantLogSize = 1 << 14
	// answerMargin is the part of the caller's deadline reserved for the
	// response that the outcome is unknown.
	answerMargin = 50 * time.Millisecond
	// retryAfterLogDown is the retry delay sent to callers while the log is
	// unavailable.
	retryAfterLogDown = 2 * time.Second
	// retryAfterPendingOutcome is the retry delay sent to callers while the
	// outcome of an earlier call is pending.
	retryAfterPendingOutcome = time.Second
)

// Shard is one ledger stream with its fold and its proposer.
type Shard struct {
	Proposer journal.Proposer
	Fold     *Fold
}

// ClientConfig is the configuration of a Client.
type ClientConfig struct {
	Self fleet.DaemonID
	// Shards are the streams of the ledger; a key is assigned to one by its
	// hash. Their number and order must be the same on all daemons.
	Shards  []Shard
	Events  *event.Logger
	Metrics metrics.Registry
	// InlineBytes is the maximum size of an answer that is recorded with its
	// body, 4096 if zero.
	InlineBytes int
	// AnswerCacheBytes limits the answers kept in memory, 16 MiB if zero.
	AnswerCacheBytes int
	// OutcomeWait limits how long Begin waits for the outcome of an earlier
	// call; if zero, only the context limits it.
	OutcomeWait time.Duration
	// FinishWait limits how long Finish waits for its record to be written,
	// 500 ms if zero. After that, Run retries it.
	FinishWait time.Duration
	// HasStopped reports whether a daemon is known to have stopped permanently,
	// in which case Begin does not wait for the outcome of its intents; nil means
	// that no daemon is known to have stopped.
	HasStopped func(fleet.DaemonID) bool
}

// Client records the non-idempotent requests of one daemon in the ledger. It is
// safe for concurrent use.
type Client struct {
	cfg     ClientConfig
	answers *answerCache
	queue   *queue
	grants  *grantLog
	metrics clientMetrics
}

// NewClient returns a client. Run must be running to retry records that were
// not written immediately.
func NewClient(cfg ClientConfig) *Client {
	if cfg.InlineBytes == 0 {
		cfg.InlineBytes = defaultInlineBytes
	}
	if cfg.AnswerCacheBytes == 0 {
		cfg.AnswerCacheBytes = defaultAnswerCacheBytes
	}
	if cfg.FinishWait == 0 {
		cfg.FinishWait = defaultFinishWait
	}
	if cfg.HasStopped == nil {
		cfg.HasStopped = func(fleet.DaemonID) bool { return false }
	}
	return &Client{
		cfg:     cfg,
		answers: newAnswerCache(cfg.AnswerCacheBytes),
		queue:   newQueue(),
		grants:  newGrantLog(grantLogSize),
		metrics: newClientMetrics(cfg.Metrics),
	}
}

// Lookup returns what this daemon knows about a key without a log access. It
// returns false for an unknown key, which may still exist on other daemons.
func (c *Client) Lookup(key Key, digest uint64) (Grant, bool) {
	e, ok := c.shard(key).Fold.Lookup(key)
	if !ok || e.Phase == PhaseAbandoned {
		return Grant{}, false
	}
	if grant, ok := c.resolvedGrant(e, digest); ok {
		return grant, true
	}
	return Grant{Decision: Await}, true
}

// Begin records the intent to run a request and returns whether this call runs
// it. If an earlier call has the key, Begin waits for its outcome until shortly
// before the context's deadline.
func (c *Client) Begin(ctx context.Context, key Key, digest uint64) Grant {
	shard := c.shard(key)
	if shard.Fold.Expired(key) {
		return c.refuseExpiredKey()
	}
	ctx, cancel := c.withAnswerMargin(ctx)
	defer cancel()
	for ctx.Err() == nil {
		changed, done := shard.Fold.Watch(key)
		e, ok := shard.Fold.Lookup(key)
		if !ok || e.Phase == PhaseAbandoned {
			done()
			grant, final := c.propose(ctx, shard, key, digest)
			if final {
				return grant
			}
			continue
		}
		if grant, ok := c.resolvedGrant(e, digest); ok {
			done()
			return grant
		}
		ended := c.await(ctx, changed, e)
		done()
		if ended {
			return c.uncertain(key, "an earlier call with this key has no outcome yet")
		}
	}
	return c.deadlineGrant(key, digest)
}

// deadlineGrant returns the grant after the caller's deadline has passed. The
// key's entry may have changed since the last lookup.
func (c *Client) deadlineGrant(key Key, digest uint64) Grant {
	grant, found := c.Lookup(key, digest)
	switch {
	case !found:
		return Grant{Failure: fleet.NewNotRunFailure(fleet.ReasonDeadline, jitteredRetryAfter(retryAfterPendingOutcome), "the request's time ended before it could be recorded")}
	case grant.Decision == Await:
		return c.uncertain(key, "an earlier call with this key has no outcome yet")
	default:
		return grant
	}
}

// resolvedGrant returns the grant if the entry determines it: the key belongs to
// another request, or the outcome is known, or the owner has stopped.
func (c *Client) resolvedGrant(e Entry, digest uint64) (Grant, bool) {
	if e.Digest != digest {
		f := fleet.NewNotRunFailure(fleet.ReasonKeyMismatch, 0, "the idempotency key was used for another request")
		f.Field = "idempotency_key"
		return Grant{Failure: f}, true
	}
	if answer, ok := c.answers.get(e.Intent); ok {
		return c.replay(e.Key, answer), true
	}
	switch e.Phase {
	case PhaseDone:
		return c.replayRecorded(e), true
	case PhaseUnknown:
		return c.uncertain(e.Key, "an earlier call with this key got no answer from the backend server"), true
	}
	if e.Owner != c.cfg.Self && c.cfg.HasStopped(e.Owner) {
		return c.uncertain(e.Key, "the daemon that ran an earlier call with this key has stopped"), true
	}
	return Grant{}, false
}

// propose proposes an intent for the key. It returns false if the key must be
// looked up again.
func (c *Client) propose(ctx context.Context, shard Shard, key Key, digest uint64) (Grant, bool) {
	intent := IntentID(uuid.New())
	body := intentRecord{
		Key:    encodeKey(key),
		Intent: intent,
		Digest: digest,
		Window: shard.Fold.Window().Milliseconds(),
	}
	c.metrics.appends.Inc(1)
	res := shard.Proposer.Propose(ctx, KindIntent, body)
	switch res.Outcome {
	case journal.OutcomeAccepted:
		return c.grant(key, intent), true
	case journal.OutcomeRejected:
		if res.Verdict.Reason == rejectExpired {
			return c.refuseExpiredKey(), true
		}
		return Grant{}, false
	case journal.OutcomeNotAppended:
		return c.refuseLogDown(), true
	default:
		c.cfg.Events.Emit(eventIntentUnknown, "workspace", key.Workspace, "service", key.Service, "key", key.Caller, "error", res.Err)
		c.enqueue(Token{Key: key, Intent: intent}, record{kind: KindAbandoned})
		return c.refuseLogDown(), true
	}
}

// grant returns a grant to run the request and checks that the key has no other
// recent grant.
func (c *Client) grant(key Key, intent IntentID) Grant {
	isNew := c.grants.add(key, intent, c.shard(key).Fold.Window()/2)
	invariant.Check(isNew, "ledger.grant-once", "key %v granted again as intent %x", key, intent)
	c.metrics.runs.Inc(1)
	return Grant{
		Decision: Run,
		Token:    Token{Key: key, Intent: intent, GrantedAt: time.Now()},
	}
}

// IsGrantValid reports whether a grant is still valid. It must be called
// immediately before the request is sent, because a process that was paused for
// more than a quarter of the window must not send it any more.
func (c *Client) IsGrantValid(t Token) bool {
	fold := c.shard(t.Key).Fold
	if time.Since(t.GrantedAt) > fold.Window()/4 {
		return false
	}
	e, ok := fold.Lookup(t.Key)
	return ok && e.Phase == PhaseIntent && e.Intent == t.Intent
}

// await waits for a change of the key and reports whether ctx ended first. It
// returns regularly if another daemon owns the entry, to check that the owner
// is still running.
func (c *Client) await(ctx context.Context, changed <-chan struct{}, e Entry) (ended bool) {
	c.metrics.waits.Inc(1)
	var ownerCheck <-chan time.Time
	if e.Owner != c.cfg.Self {
		t := time.NewTimer(retryAfterPendingOutcome)
		defer t.Stop()
		ownerCheck = t.C
	}
	select {
	case <-changed:
		return false
	case <-ownerCheck:
		return false
	case <-ctx.Done():
		return true
	}
}

// withAnswerMargin returns a context that ends early enough to answer the
// caller before its deadline, and after OutcomeWait at the latest.
func (c *Client) withAnswerMargin(ctx context.Context) (context.Context, context.CancelFunc) {
	deadline, ok := ctx.Deadline()
	if ok {
		remaining := time.Until(deadline)
		deadline = deadline.Add(-min(answerMargin, remaining/10))
	}
	if c.cfg.OutcomeWait > 0 {
		latest := time.Now().Add(c.cfg.OutcomeWait)
		if !ok || latest.Before(deadline) {
			deadline, ok = latest, true
		}
	}
	if !ok {
		return context.WithCancel(ctx)
	}
	return context.WithDeadline(ctx, deadline)
}

// replayRecorded returns the recorded answer, or a failure if its body was too
// large to be recorded.
func (c *Client) replayRecorded(e Entry) Grant {
	if e.Answer.Whole() {
		return c.replay(e.Key, e.Answer)
	}
	c.metrics.replays.Inc(1)
	return Grant{Failure: &fleet.Failure{
		State:   fleet.Done,
		Reason:  fleet.ReasonKeyInUse,
		Message: "the request with this key ran to its end; its answer was too large to be recorded",
	}}
}

func (c *Client) replay(key Key, a Answer) Grant {
	invariant.Check(xxhash.Sum64(a.Body) == a.Digest || a.Failed, "ledger.whole-answer", "answer of key %v does not match its digest", key)
	c.metrics.replays.Inc(1)
	c.cfg.Events.Emit(eventReplayed, "workspace", key.Workspace, "service", key.Service, "key", key.Caller)
	return Grant{Decision: Replay, Answer: a}
}

func (c *Client) uncertain(key Key, message string) Grant {
	c.metrics.uncertain.Inc(1)
	c.cfg.Events.Emit(eventUncertain, "workspace", key.Workspace, "service", key.Service, "key", key.Caller, "reason", message)
	return Grant{Failure: fleet.NewUncertainFailure(fleet.ReasonKeyInUse, jitteredRetryAfter(retryAfterPendingOutcome), "%s", message)}
}

func (c *Client) refuseLogDown() Grant {
	c.metrics.refused.Inc(1)
	return Grant{Failure: fleet.NewNotRunFailure(fleet.ReasonLogDown, jitteredRetryAfter(retryAfterLogDown), "the request can't be recorded now, so this call was not run")}
}

func (c *Client) refuseExpiredKey() Grant {
	f := fleet.NewNotRunFailure(fleet.ReasonKeyExpired, 0, "the idempotency key is older than its window")
	f.Field = "idempotency_key"
	return Grant{Failure: f}
}

func (c *Client) shard(key Key) Shard {
	if len(c.cfg.Shards) == 1 {
		return c.cfg.Shards[0]
	}
	return c.cfg.Shards[ShardOf(key, len(c.cfg.Shards))]
}

// ShardOf returns the index of a key's shard among n shards.
func ShardOf(key Key, n int) int {
	d := xxhash.New()
	_, _ = d.WriteString(string(key.Workspace))
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(string(key.Service))
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(key.Caller)
	return int(d.Sum64() % uint64(n))
}

// jitteredRetryAfter adds up to 50 % to d, so that callers do not retry at the
// same time.
func jitteredRetryAfter(d time.Duration) time.Duration {
	return d + time.Duration(rand.Int64N(int64(d)/2+1))
}
