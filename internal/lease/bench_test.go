package lease_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"carawayproxy.example/caraway/internal/journal"
	"carawayproxy.example/caraway/internal/lease"
)

func manyLeases(tb testing.TB, n int) (*lease.Fold, lease.Renew) {
	fold := lease.NewFold()
	var c lease.Claim
	var r lease.Renew
	for i := range n {
		scope := lease.Scope(fmt.Sprintf("placement/%04d", i))
		c.Items = append(c.Items, lease.ClaimItem{Scope: scope, Term: 1})
		r.Items = append(r.Items, lease.RenewItem{Scope: scope, Term: 1, Renewal: 1})
	}
	assert.Assert(tb, apply(tb, fold, "10.0.0.1:7000/0194", lease.KindClaim, c).Accepted)
	return fold, r
}

// BenchmarkRenew measures the cost of folding one record of renewals.
func BenchmarkRenew(b *testing.B) {
	for _, scopes := range []int{1, 8, 64} {
		b.Run(fmt.Sprintf("scopes=%d", scopes), func(b *testing.B) {
			fold, renewal := manyLeases(b, scopes)
			data, err := journal.Encode(renewal)
			assert.NilError(b, err)
			rec := journal.Record{Format: 1, UnixMilli: 1_760_000_000_000, Basis: 1 << 20, Kind: lease.KindRenew, Author: "10.0.0.1:7000/0194", Body: data}
			payload, err := journal.EncodeRecord(rec)
			assert.NilError(b, err)
			b.ReportAllocs()
			for b.Loop() {
				_, err := fold.Apply(0, rec)
				assert.NilError(b, err)
			}
			b.ReportMetric(float64(len(payload)), "record-B")
		})
	}
}

// BenchmarkSnapshot measures the cost of a snapshot and its size per lease.
func BenchmarkSnapshot(b *testing.B) {
	for _, scopes := range []int{64, 1024} {
		b.Run(fmt.Sprintf("scopes=%d", scopes), func(b *testing.B) {
			fold, _ := manyLeases(b, scopes)
			var data []byte
			for b.Loop() {
				var err error
				data, err = fold.Snapshot()
				assert.NilError(b, err)
			}
			b.ReportMetric(float64(len(data))/float64(scopes), "B/lease")
		})
	}
}
