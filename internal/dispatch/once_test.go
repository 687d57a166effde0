package dispatch

import (
	"testing"

	"gotest.tools/v3/assert"

	"carawayproxy.example/caraway/internal/invariant"
)

// TestSecondSendViolatesInvariant checks that sending a call that may have run
// a second time violates the send-once invariant.
func TestSecondSendViolatesInvariant(t *testing.T) {
	defer invariant.SetHandler(func(b invariant.Breach) { panic(b) })()
	defer func() {
		b, ok := recover().(invariant.Breach)
		assert.Assert(t, ok, "the call was sent again")
		assert.Equal(t, b.Name, "dispatch.send-once")
	}()
	o := &onceInvocation{invocation: &invocation{}, sent: true}
	o.send(t.Context(), target{})
}
