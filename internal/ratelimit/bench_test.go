package ratelimit

import (
	"fmt"
	"testing"
	"time"

	"carawayproxy.example/caraway/internal/fleet"
)

// BenchmarkWaitAllLimited looks at the rates of 225 limited servers, as a routing
// decision does, 47 times a second, among 9 and 1,200 daemons.
func BenchmarkWaitAllLimited(b *testing.B) {
	for _, daemons := range []int{9, 1200} {
		b.Run(fmt.Sprint(daemons), func(b *testing.B) {
			c := newCluster(1)
			for i := 1; i < daemons; i++ {
				c.ids = append(c.ids, fleet.DaemonID(fmt.Sprintf("edge-%d", i)))
			}
			servers := make([]fleet.InstanceID, 225)
			for i := range servers {
				servers[i] = fleet.InstanceID(fmt.Sprintf("e-%d", i))
				c.observe(0, servers[i], 2)
			}
			for b.Loop() {
				c.now = c.now.Add(time.Second / 47)
				for _, id := range servers {
					c.limits[0].Wait(id, c.now)
				}
			}
		})
	}
}
