package dispatch_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"carawayproxy.example/caraway/internal/fleet"
)

// A request whose servers all refused it, the first one after a silence, was said to
// have possibly run, since another attempt had been planned beside the first.
func TestRefusalsAfterASilenceWereTakenForRuns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newForwardFixture(2, map[string]streamScript{
			"g0": {headerDelay: silence, refuse: true},
			"g1": {refuse: true},
		})
		defer f.Close()
		ctx, cancel := context.WithTimeout(context.Background(), 8*time.Second)
		defer cancel()
		failure := f.stream(ctx, &recordingRelay{})
		assert.Assert(t, failure != nil)
		assert.DeepEqual(t, f.streams.reached(), []string{"g0 after ", "g1 after "})
		assert.Equal(t, failure.State, fleet.NotRun)
	})
}

// Once the daemon's links were lost, one more event that arrived in the grace period
// ended the watch of a stream for good. The stall detector had forgotten it too.
func TestStreamWasNotWatchedAfterItsLinksWereLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newForwardFixture(2, map[string]streamScript{"g0": {silentAfter: 5, silence: time.Minute}})
		defer f.Close()
		time.AfterFunc(210*time.Millisecond, func() { close(f.links) }) // after the fourth event
		ctx, cancel := context.WithTimeout(context.Background(), 8*time.Second)
		defer cancel()
		relay := &recordingRelay{}
		failure := f.stream(ctx, relay)
		assert.Assert(t, failure == nil, "%v after %q", failure, relay.body.String())
		assert.Equal(t, relay.body.String(), completeStream("r"))
		assert.DeepEqual(t, f.streams.reached(), []string{"g0 after ", "g1 after 5"})
	})
}
