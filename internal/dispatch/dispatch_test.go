package dispatch_test

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"carawayproxy.example/caraway/internal/backend"
	"carawayproxy.example/caraway/internal/dispatch"
	"carawayproxy.example/caraway/internal/fleet"
	"carawayproxy.example/caraway/internal/invariant"
	"carawayproxy.example/caraway/internal/routing"
	"carawayproxy.example/caraway/standin/property"
)

// TestMain fixes the seed of the property tests unless one is given.
func TestMain(m *testing.M) { property.Main(m, property.Seeded("1").With("rapid.checks", "400")) }

func generation() dispatch.Generation {
	return dispatch.Generation{ID: "r1", Workspace: "w", Service: "svc", Prompt: "p"}
}

func discard([]backend.Token) error { return nil }

func TestBadRequestsNameTheField(t *testing.T) {
	cases := []struct {
		field, message string
		reason         fleet.Reason
		change         func(*dispatch.Generation)
	}{
		{"service", "allowed: book, svc", fleet.ReasonUnknown, func(g *dispatch.Generation) { g.Service = "x" }},
		{"service", "kind plain", fleet.ReasonInvalid, func(g *dispatch.Generation) { g.Service = "book" }},
		{"workspace", "may not use", fleet.ReasonForbidden, func(g *dispatch.Generation) { g.Workspace = "x" }},
		{"version", "allowed: v1, v2", fleet.ReasonUnknown, func(g *dispatch.Generation) { g.Version = "x" }},
		{"adapter", "allowed: nepali", fleet.ReasonUnknown, func(g *dispatch.Generation) { g.Adapter = "x" }},
		{"max_tokens", "allowed: 1 to 64", fleet.ReasonInvalid, func(g *dispatch.Generation) { g.MaxTokens = 65 }},
		{"priority", "allowed: 0 to 9", fleet.ReasonInvalid, func(g *dispatch.Generation) { g.Priority = 10 }},
		{"prompt", "at most 1000", fleet.ReasonInvalid, func(g *dispatch.Generation) { g.Prompt = strings.Repeat("x", 1001) }},
	}
	for _, c := range cases {
		t.Run(c.field, func(t *testing.T) {
			b := newFixture(1)
			defer b.Close()
			g := generation()
			c.change(&g)
			_, f := b.Generate(t.Context(), g, discard)
			assert.Assert(t, f != nil)
			assert.Equal(t, f.Field, c.field)
			assert.Equal(t, f.State, fleet.NotRun)
			assert.Equal(t, f.Reason, c.reason)
			assert.Assert(t, strings.Contains(f.Message, c.message), f.Message)
			assert.Equal(t, len(b.servers.runs), 0)
		})
	}
	b := newFixture(1)
	defer b.Close()
	_, f := b.Invoke(t.Context(), dispatch.Invocation{ID: "r", Workspace: "w", Service: "book", Method: "add"})
	assert.Equal(t, f.Field, "idempotency_key")
	_, f = b.Invoke(t.Context(), dispatch.Invocation{ID: "r", Workspace: "w", Service: "book", Method: "x"})
	assert.Equal(t, f.Field, "method")
	spent, cancel := context.WithDeadline(t.Context(), time.Now().Add(-time.Second))
	defer cancel()
	_, f = b.Generate(spent, generation(), discard)
	assert.Equal(t, f.Field, "deadline")
	assert.Equal(t, f.State, fleet.NotRun)
}

// TestRouterReceivesTheRequest checks that the router receives the properties
// it routes by, with the prompt's prefixes hashed as in its index.
func TestRouterReceivesTheRequest(t *testing.T) {
	b := newFixture(1)
	defer b.Close()
	g := generation()
	g.Prompt = strings.Repeat("reading ", 100)
	_, f := b.Generate(t.Context(), g, discard)
	assert.Assert(t, f == nil)
	req := b.router.requests[0]
	assert.DeepEqual(t, req.Prefixes, routing.Prefixes(g.Prompt))
	assert.Equal(t, len(req.Prefixes), 3)
	assert.Equal(t, req.Version, fleet.Version("v2"))
	assert.Equal(t, req.MaxTokens, uint32(64))
	assert.Equal(t, req.Workspace, fleet.Workspace("w"))
	assert.Assert(t, req.PromptTokens > 100)
}

// TestEachDecisionIsLogged checks that each routing decision emits one event
// with the ids of the request and of the attempt sent, the group and the reason.
func TestEachDecisionIsLogged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newFixture(4, behaviour{Fault: "cut", At: 8})
		defer b.Close()
		_, f := b.Generate(t.Context(), generation(), discard)
		assert.Assert(t, f == nil)
		lines := b.eventsNamed("dispatch.routed")
		assert.Equal(t, len(lines), 2)
		for i, group := range []string{"g0", "g2"} {
			assert.Assert(t, strings.Contains(lines[i], "request=r1 attempt="+string(b.servers.attempts[i])+" "), lines[i])
			assert.Assert(t, strings.Contains(lines[i], "group="+group+" reason="), lines[i])
		}
	})
}

// TestNoAttemptAfterFailedRecheck checks that no attempt is sent to a group
// that fails the recheck immediately before sending.
func TestNoAttemptAfterFailedRecheck(t *testing.T) {
	b := newFixture(3)
	defer b.Close()
	b.router.failsRecheck["g0"] = true
	_, f := b.Generate(t.Context(), generation(), discard)
	assert.Assert(t, f == nil)
	b.router.failsRecheck["g1"], b.router.failsRecheck["g2"] = true, true
	_, f = b.Generate(t.Context(), generation(), discard)
	assert.Equal(t, f.Reason, fleet.ReasonNoGroup)
	assert.Equal(t, f.State, fleet.NotRun)
	assert.Assert(t, f.RetryAfter > 0)
}

func TestStaleCatalogRejectsRequests(t *testing.T) {
	b := newFixture(1)
	defer b.Close()
	b.catalog.stale = true
	_, f := b.Generate(t.Context(), generation(), discard)
	assert.Equal(t, f.State, fleet.NotRun)
	assert.Equal(t, f.Reason, fleet.ReasonStale)
}

// TestCutStreamResumesElsewhere checks that the next attempt resumes at the
// next expected token, in another fabric domain, within the stall timeout.
func TestCutStreamResumesElsewhere(t *testing.T) {
	for _, fault := range []string{"cut", "truncated", "stall", "dies", "gap", "crossed"} {
		t.Run(fault, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newFixture(4, behaviour{Fault: fault, At: 8})
				defer b.Close()
				c := &caller{id: "r1"}
				began := time.Now()
				end, f := b.Generate(t.Context(), generation(), c.sink)
				assert.Assert(t, f == nil, "%v", f)
				assert.NilError(t, c.err)
				assert.Equal(t, end.TokenCount, uint32(20))
				assert.Assert(t, time.Since(began) < 6*time.Second+500*time.Millisecond, "%s", time.Since(began))
				synctest.Wait()
				assert.Equal(t, b.servers.cancels, 1, "the first attempt was not canceled at its engine")
				time.Sleep(time.Minute)
				assert.NilError(t, b.checkReleased())
			})
		})
	}
}

// A generation was cut when its group left the view or sent nothing for a while,
// although no other group was there to go on.
func TestGenerationWasCutWithoutAnotherGroup(t *testing.T) {
	for _, fault := range []string{"silent", "unlisted"} {
		t.Run(fault, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newFixture(1, behaviour{Fault: fault, At: 8})
				defer b.Close()
				c := &caller{id: "r1"}
				_, f := b.Generate(t.Context(), generation(), c.sink)
				assert.Assert(t, f == nil, "%v after %d tokens", f, c.next)
				assert.NilError(t, c.err)
				assert.Equal(t, c.next, uint32(20))
				time.Sleep(time.Minute)
				assert.NilError(t, b.checkReleased())
			})
		})
	}
}

// TestNoBackoffWithoutAnotherGroup checks that a request fails without backoff
// if no other group is available.
func TestNoBackoffWithoutAnotherGroup(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newFixture(1, behaviour{Fault: "refused"})
		defer b.Close()
		began := time.Now()
		_, f := b.Generate(t.Context(), generation(), discard)
		assert.Equal(t, f.State, fleet.NotRun)
		assert.Assert(t, f.RetryAfter > 0)
		assert.Equal(t, time.Since(began), time.Duration(0))
	})
}

// TestRetriesStayWithinTheBudget checks that, when every attempt fails, the
// retries are bounded by the service's initial credit plus its retry ratio.
func TestRetriesStayWithinTheBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const requests = 1000
		var script []behaviour
		for range 3 * requests {
			script = append(script, behaviour{Fault: "broken_before"})
		}
		b := newFixture(6, script...)
		defer b.Close()
		for range requests {
			_, f := b.Generate(t.Context(), generation(), discard)
			assert.Assert(t, f != nil && f.State == fleet.MayHaveRun)
		}
		attempts := len(script) - len(b.servers.script)
		assert.Assert(t, attempts > requests && attempts <= requests+64+requests/5, "%d attempts", attempts)
	})
}

// TestDrainCompletesRequestsInFlight checks that a drained dispatcher completes
// its requests and rejects new ones with NOT_RUN.
func TestDrainCompletesRequestsInFlight(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newFixture(1)
		defer b.Close()
		done := make(chan *fleet.Failure)
		go func() {
			_, f := b.Generate(t.Context(), generation(), discard)
			done <- f
		}()
		time.Sleep(100 * time.Millisecond)
		b.Drain()
		assert.Equal(t, b.InFlight(), 1)
		_, f := b.Generate(t.Context(), generation(), discard)
		assert.Equal(t, f.Reason, fleet.ReasonDraining)
		assert.Equal(t, f.State, fleet.NotRun)
		assert.Assert(t, f.RetryAfter > 0)
		assert.Assert(t, <-done == nil)
		assert.Equal(t, b.InFlight(), 0)
	})
}

// TestLateOutcomeIsReplayed checks that a call that is answered after its
// caller's deadline completes, and that a repeat of it receives that answer.
func TestLateOutcomeIsReplayed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newFixture(1, behaviour{Fault: "slow"})
		defer b.Close()
		call := dispatch.Invocation{ID: "r", Workspace: "w", Service: "book", Method: "add", IdempotencyKey: "k", Body: []byte("x")}
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		_, f := b.Invoke(ctx, call)
		assert.Equal(t, f.State, fleet.MayHaveRun)
		assert.Equal(t, b.InFlight(), 1, "a planned stop must wait for the outcome")
		time.Sleep(8 * time.Second)
		assert.Equal(t, b.InFlight(), 0)
		ans, f := b.Invoke(t.Context(), call)
		assert.Assert(t, f == nil, "%v", f)
		assert.Assert(t, ans.Replayed)
		assert.Equal(t, string(ans.Body), "did x")
		assert.Equal(t, b.servers.runsByBody["x"], 1)
	})
}

// TestRepeatOfPendingCallIsNotReportedNotRun checks that a repeat that finds no
// group does not fail with NOT_RUN while an earlier call with the key may run.
func TestRepeatOfPendingCallIsNotReportedNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newFixture(1, behaviour{Fault: "slow"})
		defer b.Close()
		call := dispatch.Invocation{ID: "r", Workspace: "w", Service: "book", Method: "add", IdempotencyKey: "k", Body: []byte("x")}
		go func() { _, _ = b.Invoke(t.Context(), call) }()
		time.Sleep(time.Second)
		b.router.mu.Lock()
		b.router.groups = nil
		b.router.mu.Unlock()
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		_, f := b.Invoke(ctx, call)
		assert.Equal(t, f.State, fleet.MayHaveRun)
		time.Sleep(10 * time.Second)
	})
}

// TestSuspectsAreRefused checks that a request that was in flight at two group
// deaths is not sent to a third group.
func TestSuspectsAreRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var breaches int
		defer invariant.SetHandler(func(invariant.Breach) { breaches++ })()
		b := newFixture(8, behaviour{Fault: "dies"}, behaviour{Fault: "dies"}, behaviour{Fault: "dies"})
		defer b.Close()
		_, f := b.Generate(t.Context(), generation(), discard)
		assert.Equal(t, f.Reason, fleet.ReasonSuspect)
		assert.Equal(t, f.State, fleet.MayHaveRun)
		_, f = b.Generate(t.Context(), generation(), discard)
		assert.Equal(t, f.Reason, fleet.ReasonSuspect)
		assert.Equal(t, f.State, fleet.NotRun)
		assert.Equal(t, b.servers.runs["r1"], 2)
		assert.Equal(t, breaches, 0)
	})
}

// TestRequestMovesOffStraggler checks that a slow stream resumes at another
// group if there is one, and otherwise completes where it is.
func TestRequestMovesOffStraggler(t *testing.T) {
	for groups, limit := range map[int]time.Duration{1: time.Minute, 2: 30 * time.Second} {
		synctest.Test(t, func(t *testing.T) {
			b := newFixture(groups, behaviour{Fault: "slow"})
			defer b.Close()
			b.servers.tokens = 40
			c := &caller{id: "r1"}
			began := time.Now()
			end, f := b.Generate(t.Context(), generation(), c.sink)
			assert.Assert(t, f == nil, "%v", f)
			assert.NilError(t, c.err)
			assert.Equal(t, end.TokenCount, uint32(40))
			took := time.Since(began)
			assert.Assert(t, took < limit, "%d groups: %s", groups, took)
			assert.Equal(t, b.servers.runs["r1"], groups)
		})
	}
}

// TestPausedProcessSendsNothing checks that a process that is paused during the
// recheck until after the deadline sends neither a generation nor a call.
func TestPausedProcessSendsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newFixture(1)
		defer b.Close()
		b.router.recheckDelay = time.Hour
		_, f := b.Generate(context.WithoutCancel(t.Context()), generation(), discard)
		assert.Equal(t, f.Reason, fleet.ReasonDeadline)
		assert.Equal(t, f.State, fleet.NotRun)
		_, f = b.Invoke(t.Context(), dispatch.Invocation{ID: "r2", Workspace: "w", Service: "book", Method: "add", IdempotencyKey: "k", Body: []byte("x")})
		assert.Equal(t, f.Reason, fleet.ReasonDeadline)
		assert.Equal(t, f.State, fleet.NotRun)
		assert.Equal(t, len(b.servers.runs), 0)
		b.router.recheckDelay = 0
		_, f = b.Invoke(t.Context(), dispatch.Invocation{ID: "r3", Workspace: "w", Service: "book", Method: "add", IdempotencyKey: "k", Body: []byte("x")})
		assert.Assert(t, f == nil, "the key was not released: %v", f)
	})
}

// TestRequestStaysOnStragglerWithoutBudget checks that a slow stream is not
// canceled if the retry budget does not allow another attempt.
func TestRequestStaysOnStragglerWithoutBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var script []behaviour
		for range 200 {
			script = append(script, behaviour{Fault: "broken_before"})
		}
		b := newFixture(6, script...)
		defer b.Close()
		for len(b.servers.script) > 0 {
			_, _ = b.Generate(t.Context(), generation(), discard)
		}
		b.servers.script = []behaviour{{Fault: "slow"}}
		b.servers.tokens = 40
		c := &caller{id: "r2"}
		g := generation()
		g.ID = "r2"
		_, f := b.Generate(t.Context(), g, c.sink)
		assert.Assert(t, f == nil, "%v", f)
		assert.NilError(t, c.err)
		assert.Equal(t, b.servers.runs["r2"], 1)
	})
}

// TestOverShareRequestsHaveLowestEnginePriority checks that a request beyond
// its workspace's fair share has the lowest priority at the engine, whatever
// priority its caller requests.
func TestOverShareRequestsHaveLowestEnginePriority(t *testing.T) {
	for name, tc := range map[string]struct {
		overShare         bool
		requested, passed uint32
	}{
		"within the share":                          {requested: 0, passed: 1},
		"within the share, high priority requested": {requested: 9, passed: 10},
		"over share":                                {overShare: true, requested: 0, passed: 0},
		"over share, high priority requested":       {overShare: true, requested: 9, passed: 0},
	} {
		t.Run(name, func(t *testing.T) {
			b := newFixture(1)
			defer b.Close()
			b.admission.overShare = tc.overShare
			g := generation()
			g.Priority = tc.requested
			_, f := b.Generate(t.Context(), g, discard)
			assert.Assert(t, f == nil)
			assert.DeepEqual(t, b.servers.priorities, []uint32{tc.passed})
		})
	}
}
