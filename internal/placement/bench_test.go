package placement_test

import (
	"fmt"
	"testing"
	"time"

	"carawayproxy.example/caraway/internal/placement"
)

// benchSizes are numbers of groups of 16 engines. 225 groups are 3,600 engines.
var benchSizes = []int{28, 56, 112, 225}

func benchFleet(groups int) *fleetState {
	const size = 16
	domains := (groups + 3) / 4 // four groups in each fabric domain
	return newFleet(placement.Policy{MaxLoads: 1000, StoreRate: 1000}, domains, 4*size, groups, size)
}

// BenchmarkPlan measures one planning round for a healthy fleet and for one
// that has lost 5% of its instances.
func BenchmarkPlan(b *testing.B) {
	for _, groups := range benchSizes {
		f := benchFleet(groups)
		if len(f.groupsOf()) != groups {
			b.Fatalf("%d groups of %d", len(f.groupsOf()), groups)
		}
		f.plan(time.Second)
		b.Run(name("well", groups), func(b *testing.B) { benchmarkPlan(b, f) })
		for i := range len(f.snap.Instances) / 20 {
			f.lose(instanceID(i%(groups/4), 3*(i/(groups/4))))
		}
		f.plan(time.Second)
		b.Run(name("losses", groups), func(b *testing.B) { benchmarkPlan(b, f) })
	}
}

func name(state string, groups int) string { return fmt.Sprintf("%s/%d-groups", state, groups) }

func benchmarkPlan(b *testing.B, f *fleetState) {
	b.ReportAllocs()
	for b.Loop() {
		f.planner.Plan(f.snap, f.now)
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(len(f.snap.Instances)), "ns/instance")
}
