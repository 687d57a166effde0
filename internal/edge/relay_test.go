package edge

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestListPositions(t *testing.T) {
	var s listPositions
	assert.Assert(t, s.advance("a", 0))
	assert.Assert(t, s.advance("a", 3))
	assert.Assert(t, !s.advance("a", 2), "an older change of the key must be skipped")
	assert.Assert(t, s.advance("b", 1))
	s.setBase(10)
	assert.Assert(t, !s.advance("gone", 7), "the complete read no longer contained the key")
	assert.Assert(t, s.advance("gone", 10))
	s.setBase(5)
	assert.Assert(t, !s.advance("c", 9), "an older complete read must not lower the base")
}
