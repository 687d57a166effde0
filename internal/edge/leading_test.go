package edge

import (
	"testing"

	"gotest.tools/v3/assert"

	"carawayproxy.example/caraway/internal/membership"
)

func TestLargerDaemonsGoAhead(t *testing.T) {
	d := newIdleDaemon(t)
	d.set.Processors = 0.4
	assert.Assert(t, d.goesAhead(membership.Heartbeat{From: "larger", Processors: 0.8}))
	assert.Assert(t, !d.goesAhead(membership.Heartbeat{From: "smaller", Processors: 0.192}))
	other := newIdleDaemon(t)
	other.set.Processors = 0.4
	first := d.goesAhead(membership.Heartbeat{From: other.id, Processors: 0.4})
	second := other.goesAhead(membership.Heartbeat{From: d.id, Processors: 0.4})
	assert.Assert(t, first != second, "of two equals one goes ahead")
}
