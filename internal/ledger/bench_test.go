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

// atOnce folds a proposal immediately and counts its bytes.
type atOnce struct {
	mu    sync.Mutex
	book  *Book
	bytes int
}

func (p *atOnce) Propose(_ context.Context, kind journal.Kind, body any) journal.Result {
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
	v, err := p.book.Apply(0, rec)
	if err != nil || !v.Accepted {
		return journal.Result{Fate: journal.FateRejected, Verdict: v, Err: err}
	}
	return journal.Result{Fate: journal.FateAccepted, Verdict: v}
}

func (p *atOnce) Status() journal.Status { return journal.Status{} }

func benchKey(n int) Key {
	return Key{Workspace: "gandaki", Service: "logbook", Caller: fmt.Sprintf("018cc251-f400-7000-8000-%012d", n)}
}

var benchAnswer = AnswerOf([]byte(`{"entry":"2030-01-01/dhading-3","credit":12.5,"state":"recorded"}`))

// BenchmarkBegin is one non-idempotent request's work in the ledger, without
// the log: intent, outcome, and both folds.
func BenchmarkBegin(b *testing.B) {
	p := &atOnce{book: NewBook(0)}
	c := NewClient(ClientConfig{Self: "d", Shards: []Shard{{Proposer: p, Book: p.book}}})
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

// BenchmarkReplay is a repeat of a request that ran.
func BenchmarkReplay(b *testing.B) {
	p := &atOnce{book: NewBook(0)}
	c := NewClient(ClientConfig{Self: "d", Shards: []Shard{{Proposer: p, Book: p.book}}})
	c.Finish(context.Background(), c.Begin(context.Background(), benchKey(1), 7).Token, benchAnswer)
	b.ReportAllocs()
	for range b.N {
		if g := c.Begin(context.Background(), benchKey(1), 7); g.Decision != Replay {
			b.Fatal(g.Failure)
		}
	}
}

// BenchmarkEntry tells what one key costs for as long as it lives: memory of
// each daemon that folds the stream, bytes of a snapshot, time of a fold.
func BenchmarkEntry(b *testing.B) {
	const keys = 100_000
	for range b.N {
		before := heapInUse()
		book := filled(keys)
		b.ReportMetric(float64(heapInUse()-before)/keys, "heap-bytes/entry")
		data, err := book.Snapshot()
		assert.NilError(b, err)
		b.ReportMetric(float64(len(data))/keys, "snapshot-bytes/entry")
		runtime.KeepAlive(book)
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*keys), "ns/entry")
}

func heapInUse() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

func filled(keys int) *Book {
	p := &atOnce{book: NewBook(0)}
	for n := range keys {
		k := encodeKey(benchKey(n))
		id := IntentID{byte(n), byte(n >> 8), byte(n >> 16)}
		p.Propose(context.Background(), KindIntent, intentRecord{Key: k, Intent: id, Digest: 7, Window: DefaultWindow.Milliseconds()})
		p.Propose(context.Background(), KindOutcome, outcomeRecord{Key: k, Intent: id, Body: benchAnswer.Body, Digest: benchAnswer.Digest, Size: benchAnswer.Size})
	}
	return p.book
}

// maxRecordBytes bounds the log's bytes for one request with a small answer:
// intent and outcome together, record frames included.
const maxRecordBytes = 600

// TestLogBytesPerRequest keeps the ledger's part of the log within its budget.
func TestLogBytesPerRequest(t *testing.T) {
	p := &atOnce{book: NewBook(0)}
	c := NewClient(ClientConfig{Self: fleet.DaemonID("d"), Shards: []Shard{{Proposer: p, Book: p.book}}})
	g := c.Begin(context.Background(), benchKey(1), 7)
	c.Finish(context.Background(), g.Token, benchAnswer)
	t.Logf("%d bytes", p.bytes)
	assert.Assert(t, p.bytes <= maxRecordBytes, "%d", p.bytes)
}
