package dispatch_test

import (
	"context"
	"encoding/binary"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"connectrpc.com/connect"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	carawayv1 "carawayproxy.example/caraway/api/caraway/v1"
	"carawayproxy.example/caraway/api/caraway/v1/carawayv1connect"
	"carawayproxy.example/caraway/internal/backend"
	"carawayproxy.example/caraway/internal/fleet"
	"carawayproxy.example/caraway/internal/httpx"
)

// burst gives chunks of a stream in bursts that arrived together.
type burst struct {
	*stream
	size  int
	queue []arrival
}

type arrival struct {
	chunk backend.Chunk
	err   error
}

func (b *burst) Next() (backend.Chunk, error) {
	for len(b.queue) == 0 || (len(b.queue) < b.size && b.queue[len(b.queue)-1].err == nil) {
		chunk, err := b.stream.Next()
		b.queue = append(b.queue, arrival{chunk: chunk, err: err})
	}
	first := b.queue[0]
	b.queue = b.queue[1:]
	return first.chunk, first.err
}

func (b *burst) Ready() bool { return len(b.queue) > 0 }

// TestBurstsAreWholeOrTruthful is TestGenerationsAreWholeOrTruthful for
// engines whose chunks arrive together, with the fault among them.
func TestBurstsAreWholeOrTruthful(t *testing.T) {
	seen := map[fleet.RunState]int{}
	rapid.Check(t, func(rt *rapid.T) {
		script := drawScript(engineFaults).Draw(rt, "script")
		groups := rapid.IntRange(1, 5).Draw(rt, "groups")
		leave := rapid.SampledFrom([]uint32{0, 0, 0, 7}).Draw(rt, "leave")
		size := rapid.IntRange(2, 12).Draw(rt, "burst")
		var problem error
		synctest.Test(t, func(*testing.T) {
			b := newBench(groups, script...)
			b.servers.burst = size
			problem = generateOnce(b, leave, seen)
		})
		if problem != nil {
			rt.Fatal(problem)
		}
	})
	assert.Assert(t, seen[fleet.Done] > 10 && seen[fleet.NotRun] > 3 && seen[fleet.MayHaveRun] > 3, "states not met: %v", seen)
}

// TestTokensBeforeAFaultReachTheCaller: what arrived together with a fault is
// given, not asked for again.
func TestTokensBeforeAFaultReachTheCaller(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(1, behaviour{Fault: "crossed", At: 6})
		defer b.Close()
		b.servers.burst = 12
		c := &caller{id: "r1"}
		_, f := b.Generate(t.Context(), generation(), c.sink)
		assert.Assert(t, f != nil)
		assert.NilError(t, c.wrong)
		assert.Equal(t, c.next, uint32(6))
	})
}

// pieces is an engine over HTTP whose answer arrives in pieces: each run's
// body is made first and then written, cut anywhere, with a pause before each
// piece.
type pieces struct {
	carawayv1connect.UnimplementedEngineServiceHandler
	tokens uint32
	cuts   []int           // lengths of the pieces in turn, in bytes
	pauses []time.Duration // before the pieces in turn
	ready  []time.Time     // when each token had arrived whole
	writes int
}

func (p *pieces) Run(_ context.Context, req *connect.Request[carawayv1.RunRequest], stream *connect.ServerStream[carawayv1.RunResponse]) error {
	m := &carawayv1.RunResponse{RequestId: req.Msg.RequestId, AttemptId: req.Msg.AttemptId}
	for i := range p.tokens {
		m.Tokens = []*carawayv1.Token{{Index: i, Text: tokenText(fleet.RequestID(req.Msg.RequestId), i)}}
		if err := stream.Send(m); err != nil {
			return err
		}
	}
	m.Tokens, m.End = nil, &carawayv1.End{TokenCount: p.tokens}
	return stream.Send(m)
}

func (p *pieces) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	_, h := carawayv1connect.NewEngineServiceHandler(p)
	whole := httptest.NewRecorder()
	h.ServeHTTP(whole, r)
	w.Header().Set("Content-Type", whole.Header().Get("Content-Type"))
	body, sent, next := whole.Body.Bytes(), 0, envelopeEnd(whole.Body.Bytes(), 0)
	for i := 0; sent < len(body); i++ {
		time.Sleep(p.pauses[i%len(p.pauses)])
		cut := min(sent+p.cuts[i%len(p.cuts)], len(body))
		_, _ = w.Write(body[sent:cut])
		w.(http.Flusher).Flush()
		p.writes++
		for sent = cut; next <= sent && next < len(body); next = envelopeEnd(body, next) {
			p.ready = append(p.ready, time.Now())
		}
	}
}

// envelopeEnd is the end of the message that begins at an offset of a body.
func envelopeEnd(body []byte, at int) int {
	return at + 5 + int(binary.BigEndian.Uint32(body[at+1:]))
}

// over starts an engine and returns a client of it.
func over(engine http.Handler) (client *backend.Client, stop func()) {
	l := make(pipes, 1)
	server := httpx.NewServer(engine, nil)
	go func() { _ = server.Serve(l) }()
	near, far := net.Pipe()
	l <- far
	runs := httpx.NewClient(func(context.Context, string, string) (net.Conn, error) { return near, nil })
	return backend.NewClient(runs, runs), func() {
		_ = near.Close()
		close(l)
		_ = server.Close()
		time.Sleep(time.Hour) // to the end of the engine's pauses
	}
}

// pipes is a listener that accepts the ends of pipes.
type pipes chan net.Conn

func (l pipes) Accept() (net.Conn, error) {
	c, ok := <-l
	if !ok {
		return nil, net.ErrClosed
	}
	return c, nil
}

func (l pipes) Close() error   { return nil }
func (l pipes) Addr() net.Addr { return &net.TCPAddr{} }

// run generates once over the engine and returns when each token was given
// and in how many messages.
func (p *pieces) run() (given []time.Time, messages int, problem error) {
	client, stop := over(p)
	defer stop()
	b := newBench(1)
	defer b.Close()
	b.servers.real = client
	c := &caller{id: "r1"}
	_, f := b.Generate(context.Background(), generation(), func(tokens []backend.Token) error {
		messages++
		for range tokens {
			given = append(given, time.Now())
		}
		return c.sink(tokens)
	})
	if f != nil {
		return nil, 0, f
	}
	return given, messages, c.wrong
}

// TestReadyTokensAreNeverHeld: however an engine's bytes are cut and paused,
// each token is given at the moment at which its message has arrived whole,
// and tokens that arrive together go out together.
func TestReadyTokensAreNeverHeld(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		p := &pieces{
			tokens: rapid.Uint32Range(1, 20).Draw(rt, "tokens"),
			cuts:   rapid.SliceOfN(rapid.IntRange(1, 600), 1, 6).Draw(rt, "cuts"),
			pauses: rapid.SliceOfN(rapid.SampledFrom([]time.Duration{time.Millisecond, 25 * time.Millisecond}), 1, 4).Draw(rt, "pauses"),
		}
		var given []time.Time
		var messages int
		var problem error
		synctest.Test(t, func(*testing.T) { given, messages, problem = p.run() })
		if problem != nil {
			rt.Fatal(problem)
		}
		if !slices.Equal(given, p.ready[:len(given)]) || len(given) != int(p.tokens) {
			rt.Fatalf("arrived %v, given %v", p.ready, given)
		}
		if messages > p.writes {
			rt.Fatalf("%d messages for %d arrivals", messages, p.writes)
		}
	})
}
