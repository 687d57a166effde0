package service_test

import (
	"fmt"
	"runtime"
	"testing"

	"gotest.tools/v3/assert"

	"carawayproxy.example/caraway/internal/fleet"
	"carawayproxy.example/caraway/internal/journal"
	"carawayproxy.example/caraway/internal/service"
)

func engineChange(base uint64, i, revision int) service.Change {
	name := fmt.Sprintf("drafts-%04d", i)
	body := "service: " + name + engineFile[len("service: drafts"):] + fmt.Sprintf("# revision %d\n", revision)
	return service.Change{Service: fleet.ServiceName(name), BaseRevision: base, Body: body, File: name + ".yaml", Owner: "gandaki", Syntax: service.Syntax}
}

func publishTo(tb testing.TB, f *service.Fold, changes ...service.Change) journal.Verdict {
	data, err := journal.Encode(publication("gandaki", changes...))
	assert.NilError(tb, err)
	v, err := f.Apply(0, journal.Record{Kind: service.KindPublish, Body: data})
	assert.NilError(tb, err)
	assert.Assert(tb, v.Accepted, v.Reason)
	return v
}

func newFoldWithServices(tb testing.TB, n, revisions int) *service.Fold {
	f := service.NewFold()
	for i := range n {
		base := uint64(0)
		for r := range revisions {
			publishTo(tb, f, engineChange(base, i, r))
			base = f.Catalog().Revision
		}
	}
	return f
}

// BenchmarkPublish measures folding one publication of one service.
func BenchmarkPublish(b *testing.B) {
	for _, services := range []int{1, 100, 500} {
		b.Run(fmt.Sprintf("services=%d", services), func(b *testing.B) {
			fold := newFoldWithServices(b, services, 1)
			base := fold.Catalog().Services["drafts-0000"].Revision
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				publishTo(b, fold, engineChange(base, 0, i))
				base = fold.Catalog().Revision
			}
		})
	}
}

// BenchmarkState measures the bytes per service in a snapshot and on the heap,
// with one revision and with a full history.
func BenchmarkState(b *testing.B) {
	for _, revisions := range []int{1, service.MaxHistory} {
		b.Run(fmt.Sprintf("revisions=%d", revisions), func(b *testing.B) {
			const services = 200
			for b.Loop() {
				before := heapBytes()
				fold := newFoldWithServices(b, services, revisions)
				b.ReportMetric(float64(heapBytes()-before)/services, "heap-B/service")
				data, err := fold.Snapshot()
				assert.NilError(b, err)
				b.ReportMetric(float64(len(data))/services, "snapshot-B/service")
			}
		})
	}
}

func heapBytes() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
