package journal_test

import (
	"fmt"
	"testing"

	"github.com/google/uuid"
	"gotest.tools/v3/assert"

	"carawayproxy.example/caraway/internal/journal"
	"carawayproxy.example/caraway/standin/platform"
)

// acceptAllFold accepts every record and has no state.
type acceptAllFold struct{}

func (acceptAllFold) Kinds() []journal.Kind { return []journal.Kind{kindAdd} }
func (acceptAllFold) Apply(journal.Offset, journal.Record) (journal.Verdict, error) {
	return journal.Accept(), nil
}
func (acceptAllFold) Snapshot() ([]byte, error) { return nil, nil }
func (acceptAllFold) Restore([]byte) error      { return nil }

// emptyState returns the state of a stream without records.
func emptyState(b *testing.B) journal.State {
	d := startDaemon(b, "a", platform.NewLog(platform.LogConfig{}), func(c *journal.Config) { c.Fold = acceptAllFold{} })
	defer d.stopAndWait()
	for {
		changed := d.Changed()
		if s, err := d.Export(); err == nil {
			return s
		}
		<-changed
	}
}

// BenchmarkFold measures the cost of folding one record, without that of the
// aggregate.
func BenchmarkFold(b *testing.B) {
	empty := emptyState(b)
	for _, size := range []int{100, 1000} {
		b.Run(fmt.Sprintf("body=%d", size), func(b *testing.B) {
			entries := make([]journal.Entry, b.N)
			for i := range entries {
				entries[i] = journal.Entry{Offset: journal.Offset(i), Payload: encode(b, journal.Record{
					Format: journal.RecordFormat, ID: journal.RecordID(uuid.New()), Kind: kindAdd, Author: "10.0.0.1:7000",
					UnixMilli: 1_760_000_000_000, Body: make([]byte, size), Basis: journal.Offset(i),
				})}
			}
			r := journal.NewReplica(journal.Config{Stream: journal.StreamControl, Fold: acceptAllFold{}})
			assert.NilError(b, r.Adopt(empty))
			b.ReportAllocs()
			b.ResetTimer()
			next := r.FoldRelayed(entries)
			assert.Equal(b, next, journal.Offset(b.N))
		})
	}
}
