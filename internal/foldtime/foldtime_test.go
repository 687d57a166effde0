package foldtime

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"carawayproxy.example/caraway/internal/fleet"
)

// The time is unknown with fewer than MinAuthors authors, follows the lower
// median, never decreases, ignores authors without recent records, and continues
// identically after a restore.
func TestClock(t *testing.T) {
	var c Clock
	c.Observe("a", 100)
	c.Observe("wrong", 1_000_000)
	assert.Equal(t, c.Milli(), int64(0))
	c.Observe("b", 200)
	assert.Equal(t, c.Milli(), int64(200))
	c.Observe("d", 50)
	c.Observe("e", 60)
	assert.Equal(t, c.Milli(), int64(200), "the time decreased")

	for i := range 3 * AuthorSpan {
		c.Observe(fleet.DaemonID(fmt.Sprint("n", i%3)), int64(5000+i))
	}
	assert.Equal(t, len(c.State().Authors), MinAuthors, "expired authors are kept")
	assert.Equal(t, c.Milli(), int64(5000+3*AuthorSpan-2))

	var restored Clock
	restored.Restore(c.State())
	for i := range 100 {
		id, at := fleet.DaemonID(fmt.Sprint("m", i)), int64(9000+i)
		assert.Equal(t, restored.Observe(id, at), c.Observe(id, at))
	}
	assert.DeepEqual(t, restored.State(), c.State())
}
