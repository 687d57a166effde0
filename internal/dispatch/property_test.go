package dispatch_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"carawayproxy.example/caraway/internal/backend"
	"carawayproxy.example/caraway/internal/dispatch"
	"carawayproxy.example/caraway/internal/fleet"
)

func drawScript(faults []string) *rapid.Generator[[]behaviour] {
	one := rapid.Custom(func(t *rapid.T) behaviour {
		return behaviour{Fault: rapid.SampledFrom(faults).Draw(t, "fault"), At: rapid.Uint32Range(0, 18).Draw(t, "at")}
	})
	return rapid.SliceOfN(one, 1, 6)
}

// caller receives tokens and records the first error in their sequence.
type caller struct {
	id      fleet.RequestID
	next    uint32
	leaveAt uint32 // token at which the caller disconnects; never when zero
	err     error
	cancel  context.CancelFunc
}

func (c *caller) sink(tokens []backend.Token) error {
	for _, t := range tokens {
		if t.Index != c.next || t.Text != tokenText(c.id, t.Index) {
			c.err = errors.Errorf("%s got token %d %q, expected %d", c.id, t.Index, t.Text, c.next)
		}
		c.next++
	}
	if c.leaveAt > 0 && c.next >= c.leaveAt {
		c.cancel()
		return errors.New("gone")
	}
	return nil
}

// TestGenerationsAreCompleteOrFailWithTrueRunState checks that, whatever the
// engines do, a caller receives only its own tokens without gaps or duplicates,
// a success only with a complete answer, and NOT_RUN only if no engine ran any
// part of the request.
func TestGenerationsAreCompleteOrFailWithTrueRunState(t *testing.T) {
	seen := map[fleet.RunState]int{}
	rapid.Check(t, func(rt *rapid.T) {
		script := drawScript(engineFaults).Draw(rt, "script")
		groups := rapid.IntRange(1, 5).Draw(rt, "groups")
		leaveAt := rapid.SampledFrom([]uint32{0, 0, 0, 7}).Draw(rt, "leave")
		var problem error
		synctest.Test(t, func(*testing.T) { problem = generateOnce(newFixture(groups, script...), leaveAt, seen) })
		if problem != nil {
			rt.Fatal(problem)
		}
	})
	assert.Assert(t, seen[fleet.Done] > 10 && seen[fleet.NotRun] > 3 && seen[fleet.MayHaveRun] > 3, "run states not covered: %v", seen)
}

func generateOnce(b *fixture, leaveAt uint32, seen map[fleet.RunState]int) error {
	defer b.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	c := &caller{id: "r1", leaveAt: leaveAt, cancel: cancel}
	began := time.Now()
	end, f := b.Generate(ctx, dispatch.Generation{ID: "r1", Workspace: "w", Service: "svc", Prompt: "p"}, c.sink)
	ran := b.servers.runs["r1"]
	if c.err != nil {
		return c.err
	}
	if f == nil {
		seen[fleet.Done]++
		if end.TokenCount != 20 || c.next != 20 || end.Version != "v2" {
			return errors.Errorf("complete answer of %d tokens, delivered %d, version %s", end.TokenCount, c.next, end.Version)
		}
	} else {
		seen[f.State]++
		if f.State == fleet.NotRun && ran > 0 {
			return errors.Errorf("NOT_RUN, but %d attempts ran: %v", ran, f)
		}
		if f.State == fleet.RunStateUnknown || f.Message == "" {
			return errors.Errorf("failure without state or message: %+v", f)
		}
	}
	if took := time.Since(began); took > 30*time.Second {
		return errors.Errorf("answer after %s", took)
	}
	time.Sleep(time.Minute)
	return b.checkReleased()
}

// checkReleased returns an error if the dispatcher has not released a resource.
func (b *fixture) checkReleased() error {
	if b.InFlight() != 0 || b.admission.tickets != 0 || b.router.inFlight != 0 {
		return errors.Errorf("in flight %d, tickets %d, dispatches %d after the end", b.InFlight(), b.admission.tickets, b.router.inFlight)
	}
	return nil
}

// TestNonIdempotentRunsOnce checks that, whatever the instances do and however
// often the caller repeats a call, a key runs at most once, a successful answer
// is that of the run, and NOT_RUN is reported only for a call that did not run.
func TestNonIdempotentRunsOnce(t *testing.T) {
	seen := map[fleet.RunState]int{}
	rapid.Check(t, func(rt *rapid.T) {
		script := drawScript(plainFaults).Draw(rt, "script")
		groups := rapid.IntRange(1, 4).Draw(rt, "groups")
		repeats := rapid.SliceOfN(rapid.IntRange(0, 30), 1, 4).Draw(rt, "pauses")
		var problem error
		synctest.Test(t, func(*testing.T) { problem = invokeRepeatedly(script, groups, repeats, seen) })
		if problem != nil {
			rt.Fatal(problem)
		}
	})
	assert.Assert(t, seen[fleet.Done] > 10 && seen[fleet.NotRun] > 3 && seen[fleet.MayHaveRun] > 3, "run states not covered: %v", seen)
}

func invokeRepeatedly(script []behaviour, groups int, pauses []int, seen map[fleet.RunState]int) error {
	b := newFixture(groups, script...)
	defer b.Close()
	problems := make(chan error, len(pauses))
	for n, pause := range pauses {
		go func() {
			time.Sleep(time.Duration(pause) * time.Second)
			problems <- invokeOne(b, fleet.RequestID(fmt.Sprint("r", n)), seen)
		}()
	}
	for range pauses {
		if err := <-problems; err != nil {
			return err
		}
	}
	time.Sleep(2 * time.Minute)
	if n := b.servers.runsByBody["reading"]; n > 1 {
		return errors.Errorf("the key ran %d times", n)
	}
	return b.checkReleased()
}

func invokeOne(b *fixture, id fleet.RequestID, seen map[fleet.RunState]int) error {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	began := time.Now()
	ans, f := b.Invoke(ctx, dispatch.Invocation{
		ID: id, Workspace: "w", Service: "book", Method: "add", IdempotencyKey: "k", Body: []byte("reading"),
	})
	if took := time.Since(began); took > 10*time.Second {
		return errors.Errorf("answer after %s", took)
	}
	b.servers.mu.Lock()
	defer b.servers.mu.Unlock()
	ran := b.servers.runs[id]
	switch {
	case f == nil:
		seen[fleet.Done]++
		if string(ans.Body) != "did reading" {
			return errors.Errorf("answer %q", ans.Body)
		}
		return nil
	case f.State == fleet.NotRun && ran > 0:
		return errors.Errorf("%s: NOT_RUN, but it ran: %v", id, f)
	case f.State == fleet.Done && f.Message != "no such plant":
		return errors.Errorf("%s: %v", id, f)
	}
	seen[f.State]++
	return nil
}
