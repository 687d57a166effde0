package edge

import (
	"testing"

	"gotest.tools/v3/assert"
)

// A loss that all daemons see at once must not make them retry more together
// than the operators allow.
func TestDaemonsShareTheRetrySlack(t *testing.T) {
	d := newIdleDaemon(t)
	d.set.RetrySlack = 109
	assert.Equal(t, d.retryBurst(), 76, "alone")
	d.set.RetrySlack = 0
	assert.Equal(t, d.retryBurst(), 1, "a stream that breaks may still go on once in a while")
}
