package dispatch_test

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync"
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
	// untilClosed is set if what was read of an answer is kept until that is closed, also
	// if the attempt has been ended.
	untilClosed bool

	mu   sync.Mutex
	seen map[fleet.RequestID]bool
	open map[*endlessBody]struct{}
	// mostRead is the most that was read of an endless answer, and keptAtOnce the most
	// that was kept of all of them at one time.
	mostRead, keptAtOnce int
}

func (s *endlessServers) Forward(ctx context.Context, _ string, o backend.Opaque) (backend.OpaqueResponse, error) {
	s.mu.Lock()
	first := !s.seen[o.Request]
	s.seen[o.Request] = true
	s.mu.Unlock()
	if !first || strings.HasPrefix(string(o.Request), "sound") {
		return backend.OpaqueResponse{Status: http.StatusOK, Header: http.Header{}, Body: io.NopCloser(strings.NewReader("id: 1\ndata: x\n\n")), Framed: true}, nil
	}
	b := &endlessBody{servers: s, ctx: ctx}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.open[b] = struct{}{}
	return backend.OpaqueResponse{Status: s.status, Header: http.Header{}, Body: b}, nil
}

// recordRead records that n more bytes of an answer were read.
func (s *endlessServers) recordRead(b *endlessBody, n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	b.read += n
	s.mostRead = max(s.mostRead, b.read)
	kept := 0
	for other := range s.open {
		if s.untilClosed || !other.isDropped() {
			kept += other.read
		}
	}
	s.keptAtOnce = max(s.keptAtOnce, kept)
}

// endlessBody is the body of an endless answer.
type endlessBody struct {
	servers *endlessServers
	ctx     context.Context
	read    int // guarded by the servers' mu
}

func (b *endlessBody) Read(p []byte) (int, error) {
	if err := b.ctx.Err(); err != nil {
		return 0, err
	}
	time.Sleep(50 * time.Microsecond) // all arrive together
	b.servers.recordRead(b, len(p))
	for i := range p {
		p[i] = 'x'
	}
	return len(p), nil
}

func (b *endlessBody) Close() error {
	b.servers.mu.Lock()
	defer b.servers.mu.Unlock()
	delete(b.servers.open, b)
	return nil
}

// isDropped reports whether the daemon has given up what it had read of the answer, for
// want of memory. What reads the answer may be told later, when it gets processor time.
func (b *endlessBody) isDropped() bool {
	cause := context.Cause(b.ctx)
	return cause != nil && strings.Contains(cause.Error(), "too large to be kept in memory")
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
		mostRead   int // of one answer
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
			servers := &endlessServers{
				status: test.status, untilClosed: test.stream, seen: map[fleet.RequestID]bool{}, open: map[*endlessBody]struct{}{},
			}
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
			assert.Check(t, servers.mostRead <= test.mostRead, "%d bytes of one answer were read", servers.mostRead)
			assert.Check(t, servers.keptAtOnce <= memory+requests*onTheWay, "%d bytes were kept at one time", servers.keptAtOnce)
			assert.Check(t, len(servers.open) == 0, "%d answers were not closed", len(servers.open))
		})
	}
}
