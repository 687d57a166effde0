package datastore

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"carawayproxy.example/caraway/internal/routing"
)

func TestRefusals(t *testing.T) {
	for _, test := range []struct {
		name   string
		reason routing.Refusal
		// excluded is how long the group is excluded after its first, second and
		// tenth refusal in a row.
		excluded [3]time.Duration
	}{
		{"elsewhere", routing.RefusedNotServing, [3]time.Duration{2 * time.Second, 4 * time.Second, 8 * time.Second}},
		{"unreachable", routing.RefusedUnreachable, [3]time.Duration{time.Second, 2 * time.Second, 4 * time.Second}},
		{"closed", routing.RefusedNotAccepting, [3]time.Duration{500 * time.Millisecond, time.Second, 4 * time.Second}},
		{"full", routing.RefusedAtCapacity, [3]time.Duration{100 * time.Millisecond, 200 * time.Millisecond, 400 * time.Millisecond}},
	} {
		t.Run(test.name, func(t *testing.T) {
			r, now := NewRefusals(), time.Now()
			refuse := func() time.Duration {
				r.RecordRefusal("g", 1, test.reason, now)
				r.RecordRefusal("g", 1, test.reason, now) // of a concurrent request
				excluded := time.Duration(0)
				for r.Refusing("g", 1, now) {
					now = now.Add(10 * time.Millisecond)
					excluded += 10 * time.Millisecond
				}
				return excluded
			}
			assert.Equal(t, refuse(), test.excluded[0])
			assert.Assert(t, !r.Refusing("other", 1, now) && !r.Refusing("g", 2, now))
			assert.Equal(t, refuse(), test.excluded[1])
			for range 7 {
				refuse()
			}
			assert.Equal(t, refuse(), test.excluded[2])

			r.Reset("g", 1)
			assert.Equal(t, refuse(), test.excluded[0], "an answer resets the count")
			now = now.Add(refusalRetention + time.Second)
			r.RecordRefusal("other", 1, test.reason, now)
			assert.Equal(t, len(r.groups), 1, "expired counts are removed")
		})
	}
}
