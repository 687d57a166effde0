package edge

import (
	"testing"

	"gotest.tools/v3/assert"

	"carawayproxy.example/caraway/internal/membership"
)

func TestLargerDaemonsClaimFirst(t *testing.T) {
	d := newIdleDaemon(t)
	d.settings.Processors = 0.4
	assert.Assert(t, d.claimsBefore(membership.Heartbeat{From: "larger", Processors: 0.8}))
	assert.Assert(t, !d.claimsBefore(membership.Heartbeat{From: "smaller", Processors: 0.192}))
	other := newIdleDaemon(t)
	other.settings.Processors = 0.4
	first := d.claimsBefore(membership.Heartbeat{From: other.id, Processors: 0.4})
	second := other.claimsBefore(membership.Heartbeat{From: d.id, Processors: 0.4})
	assert.Assert(t, first != second, "exactly one of two equal daemons claims first")
}
