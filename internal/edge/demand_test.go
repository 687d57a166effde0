package edge

import (
	"testing"

	"gotest.tools/v3/assert"
)

// A request that is counted before the first routing document ended the process.
func TestEngineModelBeforeTheFirstDocument(t *testing.T) {
	engine, model := newIdleDaemon(t).engineModel("s/m")
	assert.Assert(t, engine == nil && model == nil)
}
