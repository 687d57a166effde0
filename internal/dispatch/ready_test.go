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

// burstStream returns the chunks of a stream in bursts.
type burstStream struct {
	*stream
	size  int
	queue []arrival
}

type arrival struct {
	chunk backend.Chunk
	err   error
}

func (b *burstStream) Next() (backend.Chunk, error) {
	for len(b.queue) == 0 || (len(b.queue) < b.size && b.queue[len(b.queue)-1].err == nil) {
		chunk, err := b.stream.Next()
		b.queue = append(b.queue, arrival{chunk: chunk, err: err})
	}
	first := b.queue[0]
	b.queue = b.queue[1:]
	return first.chunk, first.err
}

func (b *burstStream) Ready() bool { return len(b.queue) > 0 }

// TestBurstsAreCompleteOrFailWithTrueRunState repeats the checks of
// TestGenerationsAreCompleteOrFailWithTrueRunState for engines whose chunks
// arrive in bursts, with the fault within a burst.
func TestBurstsAreCompleteOrFailWithTrueRunState(t *testing.T) {
	seen := map[fleet.RunState]int{}
	rapid.Check(t, func(rt *rapid.T) {
		script := drawScript(engineFaults).Draw(rt, "script")
		groups := rapid.IntRange(1, 5).Draw(rt, "groups")
		leaveAt := rapid.SampledFrom([]uint32{0, 0, 0, 7}).Draw(rt, "leave")
		size := rapid.IntRange(2, 12).Draw(rt, "burst")
		var problem error
		synctest.Test(t, func(*testing.T) {
			b := newFixture(groups, script...)
			b.servers.burst = size
			problem = generateOnce(b, leaveAt, seen)
		})
		if problem != nil {
			rt.Fatal(problem)
		}
	})
	assert.Assert(t, seen[fleet.Done] > 10 && seen[fleet.NotRun] > 3 && seen[fleet.MayHaveRun] > 3, "run states not covered: %v", seen)
}

// TestTokensBeforeAFaultAreDelivered checks that tokens that arrive in the same
// burst as a fault are delivered and not requested again.
func TestTokensBeforeAFaultAreDelivered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newFixture(1, behaviour{Fault: "crossed", At: 6})
		defer b.Close()
		b.servers.burst = 12
		c := &caller{id: "r1"}
		_, f := b.Generate(t.Context(), generation(), c.sink)
		assert.Assert(t, f != nil)
		assert.NilError(t, c.err)
		assert.Equal(t, c.next, uint32(6))
	})
}

// chunkedEngine is an engine over HTTP that generates the whole response body
// first and then writes it in pieces of arbitrary size, with a pause before
// each.
type chunkedEngine struct {
	carawayv1connect.UnimplementedEngineServiceHandler
	tokens     uint32
	pieceSizes []int           // sizes of the pieces in bytes, used cyclically
	pauses     []time.Duration // pauses before the pieces, used cyclically
	arrivedAt  []time.Time     // when each token was completely written
	writes     int
}

func (p *chunkedEngine) Run(_ context.Context, req *connect.Request[carawayv1.RunRequest], stream *connect.ServerStream[carawayv1.RunResponse]) error {
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

func (p *chunkedEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	_, h := carawayv1connect.NewEngineServiceHandler(p)
	recorded := httptest.NewRecorder()
	h.ServeHTTP(recorded, r)
	w.Header().Set("Content-Type", recorded.Header().Get("Content-Type"))
	body, sent, next := recorded.Body.Bytes(), 0, envelopeEnd(recorded.Body.Bytes(), 0)
	for i := 0; sent < len(body); i++ {
		time.Sleep(p.pauses[i%len(p.pauses)])
		cut := min(sent+p.pieceSizes[i%len(p.pieceSizes)], len(body))
		_, _ = w.Write(body[sent:cut])
		w.(http.Flusher).Flush()
		p.writes++
		for sent = cut; next <= sent && next < len(body); next = envelopeEnd(body, next) {
			p.arrivedAt = append(p.arrivedAt, time.Now())
		}
	}
}

// envelopeEnd returns the end offset of the message that begins at offset at.
func envelopeEnd(body []byte, at int) int {
	return at + 5 + int(binary.BigEndian.Uint32(body[at+1:]))
}

// newEngineClient starts an engine's server and returns a client of it.
func newEngineClient(engine http.Handler) (client *backend.Client, stop func()) {
	l := make(pipeListener, 1)
	server := httpx.NewServer(engine, nil)
	go func() { _ = server.Serve(l) }()
	clientEnd, serverEnd := net.Pipe()
	l <- serverEnd
	runs := httpx.NewClient(func(context.Context, string, string) (net.Conn, error) { return clientEnd, nil })
	return backend.NewClient(runs, runs), func() {
		_ = clientEnd.Close()
		close(l)
		_ = server.Close()
		time.Sleep(time.Hour) // lets the engine finish its pauses
	}
}

// pipeListener is a listener that accepts connections sent on the channel.
type pipeListener chan net.Conn

func (l pipeListener) Accept() (net.Conn, error) {
	c, ok := <-l
	if !ok {
		return nil, net.ErrClosed
	}
	return c, nil
}

func (l pipeListener) Close() error   { return nil }
func (l pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// generate runs one generation over the engine and returns when each token was
// delivered and in how many messages.
func (p *chunkedEngine) generate() (delivered []time.Time, messages int, problem error) {
	client, stop := newEngineClient(p)
	defer stop()
	b := newFixture(1)
	defer b.Close()
	b.servers.engines = client
	c := &caller{id: "r1"}
	_, f := b.Generate(context.Background(), generation(), func(tokens []backend.Token) error {
		messages++
		for range tokens {
			delivered = append(delivered, time.Now())
		}
		return c.sink(tokens)
	})
	if f != nil {
		return nil, 0, f
	}
	return delivered, messages, c.err
}

// TestArrivedTokensAreDeliveredImmediately checks that, however an engine's
// bytes are split and delayed, each token is delivered as soon as its message
// has arrived completely, and that tokens arriving together are joined.
func TestArrivedTokensAreDeliveredImmediately(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		p := &chunkedEngine{
			tokens:     rapid.Uint32Range(1, 20).Draw(rt, "tokens"),
			pieceSizes: rapid.SliceOfN(rapid.IntRange(1, 600), 1, 6).Draw(rt, "cuts"),
			pauses:     rapid.SliceOfN(rapid.SampledFrom([]time.Duration{time.Millisecond, 25 * time.Millisecond}), 1, 4).Draw(rt, "pauses"),
		}
		var delivered []time.Time
		var messages int
		var problem error
		synctest.Test(t, func(*testing.T) { delivered, messages, problem = p.generate() })
		if problem != nil {
			rt.Fatal(problem)
		}
		if !slices.Equal(delivered, p.arrivedAt[:len(delivered)]) || len(delivered) != int(p.tokens) {
			rt.Fatalf("arrived %v, delivered %v", p.arrivedAt, delivered)
		}
		if messages > p.writes {
			rt.Fatalf("%d messages for %d arrivals", messages, p.writes)
		}
	})
}
