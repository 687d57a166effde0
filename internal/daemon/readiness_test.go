package daemon

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"carawayproxy.example/caraway/internal/journal"
)

// TestLogOfAPeerIsNoOutage: a daemon that has lost its own way to the log must
// not act as if nobody had it.
func TestLogOfAPeerIsNoOutage(t *testing.T) {
	now := time.Now()
	silent := func(log, confirmed time.Duration) bool {
		return logSilent(journal.Status{LogAt: now.Add(-log), ConfirmedAt: now.Add(-confirmed)}, now)
	}
	assert.Assert(t, !silent(time.Second, time.Minute), "the log answers but not up to date")
	assert.Assert(t, !silent(time.Minute, time.Second), "a peer has the log")
	assert.Assert(t, silent(6*time.Second, 6*time.Second))
}
