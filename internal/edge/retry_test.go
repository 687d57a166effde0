package edge

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"carawayproxy.example/caraway/internal/routes"
)

// Guards against a failure that all daemons see at the same time causing more
// retries in total than the operators allow.
func TestDaemonsShareTheRetrySlack(t *testing.T) {
	d := newIdleDaemon(t)
	d.settings.RetrySlack = 109
	assert.Equal(t, d.retryBurst(), 76, "alone")
	d.settings.RetrySlack = 0
	assert.Equal(t, d.retryBurst(), 1, "a broken stream may still be resumed occasionally")
}

// Guards against a load burst that exceeds the document's rate limit within any
// window that the rule is checked on.
func TestLoadLimitsStayWithinTheDocument(t *testing.T) {
	d := newIdleDaemon(t)
	for version, perSecond := range []float64{0.5, 1, 2, 5, 12} {
		d.routes.Update(&routes.Document{Version: uint64(version + 1), Services: []routes.Service{{Name: "e", Engine: &routes.Engine{
			LoadsPerSecond: perSecond, LoadsAtOnce: 7, Models: []routes.Model{{Name: "m", Size: 2}},
		}}}})
		limits := d.loadLimits()
		const window, over, more = 5, 1.1, 3 // window in seconds, tolerated factor, and extra loads
		assert.Assert(t, window*limits.PerSecond+float64(limits.Burst) <= window*perSecond*over+more, "%+v at %g a second", limits, perSecond)
		assert.Equal(t, limits.MaxConcurrent, 7)
		assert.Equal(t, limits.Reserved, reservedLoads)
	}
}

// The load rate must be limited again before the first request can arrive at any
// daemon, even if this daemon has received none.
func TestIdleEndsBeforeTheFirstRequests(t *testing.T) {
	d := newIdleDaemon(t)
	assert.Assert(t, !d.isIdle(), "not the first start")
	d.settings.FirstStart = true
	assert.Assert(t, d.isIdle())
	d.started = time.Now().Add(-idlePeriod)
	assert.Assert(t, !d.isIdle())
}
