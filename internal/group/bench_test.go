package group

import (
	"fmt"
	"runtime"
	"testing"

	"carawayproxy.example/caraway/internal/fleet"
)

// benchFold returns a Fold with groups of 16 members, as the planner forms them.
func benchFold(b *testing.B, groups int) *Fold {
	const size = 16
	fold := NewFold(testTerms{testScope: heldBy(testScope, 1, "d1")})
	for n := range groups {
		g := testGroup(uint64(n + 1))
		for i := range size {
			g.Members = append(g.Members, Member{
				Instance: fleet.InstanceID(fmt.Sprintf("engine-%04d-%02d", n, i)), Address: fmt.Sprintf("10.1.%d.%d:7000", n, i),
				Zone: "regina-a", Accelerators: 8, Fabric: "f1",
			})
		}
		if v := applyTo(b, fold, "d1", KindForm, FormRecord{Group: g}); !v.Accepted {
			b.Fatal(v.Reason)
		}
	}
	return fold
}

// BenchmarkState measures the memory of a Fold with its view and the size of a
// snapshot, per group of 16 members.
func BenchmarkState(b *testing.B) {
	for _, groups := range []int{28, 56, 112, 225} {
		b.Run(fmt.Sprintf("%d-groups", groups), func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			fold := benchFold(b, groups)
			view := fold.View()
			runtime.GC()
			runtime.ReadMemStats(&after)
			data, err := fold.Snapshot()
			if err != nil {
				b.Fatal(err)
			}
			for b.Loop() {
				if err := fold.Restore(data); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(groups), "memory-B/group")
			b.ReportMetric(float64(len(data))/float64(groups), "snapshot-B/group")
			runtime.KeepAlive(view)
		})
	}
}

// BenchmarkWhole measures Whole for a group of 16 members that is whole.
func BenchmarkWhole(b *testing.B) {
	for _, spares := range []int{0, 1} {
		b.Run(fmt.Sprintf("%d-spares", spares), func(b *testing.B) {
			fold := benchFold(b, 1)
			var g Group
			for _, only := range fold.View().Groups {
				g = *only
			}
			r := reportsOf(&g, g.Members)
			g.Spares = testMembers("f1", 99)[:spares]
			b.ReportAllocs()
			for b.Loop() {
				if w := Whole(&g, r, testNow, 0); !w.Whole {
					b.Fatal(w.Reason)
				}
			}
		})
	}
}
