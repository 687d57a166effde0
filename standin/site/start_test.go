package site

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// A holder that forms all groups at once sent hundreds of orders at the same time.
// They starved the renewals of the lease that allowed them, so that the holder lost it
// and dropped the rest.
func TestOrdersOfManyGroupsWereSentAtOnce(t *testing.T) {
	const maxOrders = 48 // at one time
	synctest.Test(t, func(t *testing.T) {
		w, err := New(Options{Daemons: 3, Engines: 240, Plains: 2})
		assert.NilError(t, err)
		defer time.Sleep(settleTime) // lets pending dials end
		defer w.Close()
		w.Update(func() { w.shared.orderTime = 30 * time.Millisecond })
		whole := func() int { return w.OpenGroups(ModelOfThree) + w.OpenGroups(ModelOfTwo) }
		var first time.Duration
		for first == 0 && time.Since(w.started) < leadTime {
			time.Sleep(50 * time.Millisecond)
			if whole() > 0 {
				first = time.Since(w.started)
			}
		}
		time.Sleep(leadTime - time.Since(w.started))
		w.Update(func() {
			assert.Check(t, w.shared.mostOrders <= maxOrders, "%d orders at one time", w.shared.mostOrders)
		})
		assert.Check(t, first < 5*time.Second, "first whole group after %s", first)
		assert.Check(t, whole() >= 60, "%d whole groups before the first requests", whole())
		assert.Equal(t, len(holders(w)), 1)
		assert.DeepEqual(t, w.Violations(), []string(nil))
	})
}
