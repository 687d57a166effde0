package daemon

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"carawayproxy.example/caraway/internal/journal"
)

// TestLogConfirmedByPeerIsNoOutage guards against a daemon that has lost its
// own connection to the log and declares an outage although a peer has the log.
func TestLogConfirmedByPeerIsNoOutage(t *testing.T) {
	now := time.Now()
	unavailable := func(log, confirmed time.Duration) bool {
		return isLogUnavailable(journal.Status{LastLogResponse: now.Add(-log), ConfirmedAt: now.Add(-confirmed)}, now)
	}
	assert.Assert(t, !unavailable(time.Second, time.Minute), "the log answers, but the replica is behind")
	assert.Assert(t, !unavailable(time.Minute, time.Second), "a peer has the log")
	assert.Assert(t, unavailable(6*time.Second, 6*time.Second))
}
