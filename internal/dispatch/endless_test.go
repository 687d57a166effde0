package dispatch_test

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"gotest.tools/v3/assert"

	"carawayproxy.example/caraway/internal/backend"
	"carawayproxy.example/caraway/internal/dispatch"
	"carawayproxy.example/caraway/internal/event"
	"carawayproxy.example/caraway/internal/fleet"
	"carawayproxy.example/caraway/internal/service"
	"carawayproxy.example/caraway/internal/suspect"
)

// endlessServers answer the first attempt of each request with bytes without end, and all
// others soundly.
type endlessServers struct {
	status int
	mu     sync.Mutex
	seen   map[fleet.RequestID]bool
	// mostRead is the most that was read of an endless answer, and keptAtOnce the most
	// that all of them had been read at one time.
	mostRead, kept, keptAtOnce atomic.Int64
}

func (s *endlessServers) Forward(ctx context.Context, _ string, o backend.Opaque) (backend.OpaqueResponse, error) {
	s.mu.Lock()
	first := !s.seen[o.Request]
	s.seen[o.Request] = true
	s.mu.Unlock()
	if !first || strings.HasPrefix(string(o.Request), "sound") {
		return backend.OpaqueResponse{Status: http.StatusOK, Header: http.Header{}, Body: io.NopCloser(strings.NewReader("id: 1\ndata: x\n\n")), Framed: true}, nil
	}
	return backend.OpaqueResponse{Status: s.status, Header: http.Header{}, Body: &endlessBody{servers: s, ctx: ctx}}, nil
}

// endlessBody is the body of an endless answer.
type endlessBody struct {
	servers *endlessServers
	ctx     context.Context
	read    int64
}

func (b *endlessBody) Read(p []byte) (int, error) {
	if err := b.ctx.Err(); err != nil {
		return 0, err
	}
	time.Sleep(50 * time.Microsecond) // all arrive together
	b.read += int64(len(p))
	raise(&b.servers.mostRead, b.read)
	raise(&b.servers.keptAtOnce, b.servers.kept.Add(int64(len(p))))
	for i := range p {
		p[i] = 'x'
	}
	return len(p), nil
}

func (b *endlessBody) Close() error {
	b.servers.kept.Add(-b.read)
	b.read = 0
	return nil
}

func raise(most *atomic.Int64, n int64) {
	for old := most.Load(); n > old && !most.CompareAndSwap(old, n); old = most.Load() {
	}
}

// Servers sent bytes without end, and this daemon kept up to 32 MiB of the answer to each
// of their requests at a time, in all more than its memory. What is kept of all answers
// together is bounded, sound answers beside them are passed on, and requests that may be
// repeated are served elsewhere.
func TestAnswersWithoutEndWereKept(t *testing.T) {
	const (
		requests = 40
		memory   = 4 << 20
		onTheWay = 64 << 10 // per request, which is read before it counts
	)
	for _, test := range []struct {
		name       string
		status     int
		stream     bool
		repeatable bool
		mostRead   int64 // of one answer
		served     bool
	}{
		{"error, repeatable", http.StatusInternalServerError, false, true, 128 << 10, true},
		{"error, of a stream", http.StatusBadGateway, true, true, 128 << 10, true},
		{"error, not repeatable", http.StatusInternalServerError, false, false, memory + onTheWay, false},
		{"success, repeatable", http.StatusOK, false, true, memory + onTheWay, true},
		{"success, not repeatable", http.StatusOK, false, false, memory + onTheWay, false},
		{"not found", http.StatusNotFound, false, true, memory + onTheWay, true},
		{"an event", http.StatusOK, true, true, 2 << 20, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			servers := &endlessServers{status: test.status, seen: map[fleet.RequestID]bool{}}
			verdicts := suspect.NewFold()
			d := dispatch.New(dispatch.Config{
				Self: "d", Events: event.NewLogger(io.Discard, log.InfoLevel, nil), Router: newFakeRouter(4), Admission: &fakeAdmission{},
				CatalogSource: &fakeCatalog{specs: []service.Spec{plainSpec}}, Opaques: servers, AnswerMemory: memory,
				RetryBurst: func() int { return 10 * requests },
				Suspects:   suspect.NewTracker(suspect.TrackerConfig{Self: "d", Fold: verdicts, Proposer: &immediateProposer{fold: verdicts}}),
			})
			defer d.Close()
			send := func(id string, stream, repeatable bool) (*fakeRelay, *fleet.Failure) {
				ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
				defer cancel()
				relay := &fakeRelay{}
				return relay, d.Forward(ctx, dispatch.Forwarding{
					Workspace: "w", Service: "book", Kind: fleet.KindPlain, Stream: stream, Repeatable: repeatable, MaxAttempts: 3,
					Message: backend.Opaque{Request: fleet.RequestID(id), Method: http.MethodPost, Header: http.Header{}},
				}, relay)
			}
			var calls sync.WaitGroup
			for n := range requests {
				calls.Go(func() {
					relay, f := send(strings.Repeat("e", n+1), test.stream, test.repeatable)
					assert.Check(t, (f == nil && relay.status == http.StatusOK) == test.served, "%v, status %d", f, relay.status)
				})
				calls.Go(func() {
					relay, f := send("sound"+strings.Repeat("e", n), false, false)
					assert.Check(t, f == nil && relay.status == http.StatusOK, "%v", f)
				})
			}
			calls.Wait()
			assert.Check(t, servers.mostRead.Load() <= test.mostRead, "%d bytes of one answer were read", servers.mostRead.Load())
			assert.Check(t, servers.keptAtOnce.Load() <= memory+requests*onTheWay, "%d bytes were kept at one time", servers.keptAtOnce.Load())
		})
	}
}
