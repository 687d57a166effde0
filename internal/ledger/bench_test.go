package ledger

import (
	"context"
	"fmt"
	"runtime"
	"sync"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"carawayproxy.example/caraway/internal/fleet"
	"carawayproxy.example/caraway/internal/journal"
)

// immediateProposer folds each proposal immediately and counts the encoded
// bytes.
type immediateProposer struct {
	mu    sync.Mutex
	fold  *Fold
	bytes int
}

func (p *immediateProposer) Propose(_ context.Context, kind journal.Kind, body any) journal.Result {
	p.mu.Lock()
	defer p.mu.Unlock()
	data, err := cbor.Marshal(body)
	if err != nil {
		return journal.Result{Err: err}
	}
	rec := journal.Record{Format: 1, Kind: kind, Author: "daemon-0123456789ab", UnixMilli: time.Now().UnixMilli(), Body: data}
	payload, err := cbor.Marshal(rec)
	if err != nil {
		return journal.Result{Err: err}
	}
	p.bytes += len(payload)
	v, err := p.fold.Apply(0, rec)
	if err != nil || !v.Accepted {
		return journal.Result{Outcome: journal.OutcomeRejected, Verdict: v, Err: err}
	}
	return journal.Result{Outcome: journal.OutcomeAccepted, Verdict: v}
}

func (p *immediateProposer) Status() journal.Status { return journal.Status{} }

func benchKey(n int) Key {
	return Key{Workspace: "gandaki", Service: "logbook", Caller: fmt.Sprintf("018cc251-f400-7000-8000-%012d", n)}
}

var benchAnswer = AnswerOf([]byte(`{"entry":"2030-01-01/dhading-3","credit":12.5,"state":"recorded"}`))

// BenchmarkBegin measures the ledger's work for one non-idempotent request
// without the log: intent, outcome and the folding of both.
func BenchmarkBegin(b *testing.B) {
	p := &immediateProposer{fold: NewFold(0)}
	c := NewClient(ClientConfig{Self: "d", Shards: []Shard{{Proposer: p, Fold: p.fold}}})
	b.ReportAllocs()
	for n := range b.N {
		g := c.Begin(context.Background(), benchKey(n), 7)
		if g.Decision != Run {
			b.Fatal(g.Failure)
		}
		c.Finish(context.Background(), g.Token, benchAnswer)
	}
	b.ReportMetric(float64(p.bytes)/float64(b.N), "log-bytes/op")
}

// BenchmarkReplay measures a repeat of a request that has run.
func BenchmarkReplay(b *testing.B) {
	p := &immediateProposer{fold: NewFold(0)}
	c := NewClient(ClientConfig{Self: "d", Shards: []Shard{{Proposer: p, Fold: p.fold}}})
	c.Finish(context.Background(), c.Begin(context.Background(), benchKey(1), 7).Token, benchAnswer)
	b.ReportAllocs()
	for range b.N {
		if g := c.Begin(context.Background(), benchKey(1), 7); g.Decision != Replay {
			b.Fatal(g.Failure)
		}
	}
}

// BenchmarkEntry measures the cost of one key: memory in each daemon that folds
// the stream, bytes in a snapshot and time to fold its records.
func BenchmarkEntry(b *testing.B) {
	const keys = 100_000
	for range b.N {
		before := heapInUse()
		fold := foldWithKeys(keys)
		b.ReportMetric(float64(heapInUse()-before)/keys, "heap-bytes/entry")
		data, err := fold.Snapshot()
		assert.NilError(b, err)
		b.ReportMetric(float64(len(data))/keys, "snapshot-bytes/entry")
		runtime.KeepAlive(fold)
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*keys), "ns/entry")
}

func heapInUse() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

func foldWithKeys(keys int) *Fold {
	p := &immediateProposer{fold: NewFold(0)}
	for n := range keys {
		k := encodeKey(benchKey(n))
		id := IntentID{byte(n), byte(n >> 8), byte(n >> 16)}
		p.Propose(context.Background(), KindIntent, intentRecord{Key: k, Intent: id, Digest: 7, Window: DefaultWindow.Milliseconds()})
		p.Propose(context.Background(), KindOutcome, outcomeRecord{Key: k, Intent: id, Body: benchAnswer.Body, Digest: benchAnswer.Digest, Size: benchAnswer.Size})
	}
	return p.fold
}

// maxLogBytesPerRequest is the limit for the records of one request with a small
// answer: intent and outcome, including the record headers.
const maxLogBytesPerRequest = 600

// The records of one request must stay within their size budget.
func TestLogBytesPerRequest(t *testing.T) {
	p := &immediateProposer{fold: NewFold(0)}
	c := NewClient(ClientConfig{Self: fleet.DaemonID("d"), Shards: []Shard{{Proposer: p, Fold: p.fold}}})
	g := c.Begin(context.Background(), benchKey(1), 7)
	c.Finish(context.Background(), g.Token, benchAnswer)
	t.Logf("%d bytes", p.bytes)
	assert.Assert(t, p.bytes <= maxLogBytesPerRequest, "%d", p.bytes)
}
