package edge

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestSeenPositions(t *testing.T) {
	var s seenPositions
	assert.Assert(t, s.newer("a", 0))
	assert.Assert(t, s.newer("a", 3))
	assert.Assert(t, !s.newer("a", 2), "an older change of the key")
	assert.Assert(t, s.newer("b", 1))
	s.readWhole(10)
	assert.Assert(t, !s.newer("gone", 7), "the whole reading had it no more")
	assert.Assert(t, s.newer("gone", 10))
	s.readWhole(5)
	assert.Assert(t, !s.newer("c", 9), "a reading never takes knowledge back")
}
