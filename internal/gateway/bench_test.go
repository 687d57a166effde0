package gateway

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"

	"connectrpc.com/connect"

	carawayv1 "carawayproxy.example/caraway/api/caraway/v1"
	"carawayproxy.example/caraway/api/caraway/v1/carawayv1connect"
	"carawayproxy.example/caraway/internal/backend"
	"carawayproxy.example/caraway/internal/dispatch"
	"carawayproxy.example/caraway/internal/fleet"
	"carawayproxy.example/caraway/internal/httpx"
)

const benchTokens = 256

// tokens gives a whole answer with some tokens together.
type tokens struct {
	requests
	together uint32
}

func (r *tokens) Generate(_ context.Context, _ dispatch.Generation, sink dispatch.Sink) (backend.End, *fleet.Failure) {
	batch := make([]backend.Token, r.together)
	for at := uint32(0); at < benchTokens; at += r.together {
		for i := range batch {
			batch[i] = backend.Token{Index: at + uint32(i), Text: " token"}
		}
		if err := sink(batch); err != nil {
			return backend.End{}, fleet.Refuse(fleet.ReasonCanceled, 0, "gone")
		}
	}
	return backend.End{TokenCount: benchTokens}, nil
}

// countingListener counts the writes of its connections.
type countingListener struct {
	net.Listener
	writes atomic.Int64
}

func (l *countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return &countingConn{Conn: c, writes: &l.writes}, err
}

type countingConn struct {
	net.Conn
	writes *atomic.Int64
}

func (c *countingConn) Write(p []byte) (int, error) {
	c.writes.Add(1)
	return c.Conn.Write(p)
}

// BenchmarkStream tells what a token costs from dispatch to a caller, the
// caller's side included, as tokens go out alone or together.
func BenchmarkStream(b *testing.B) {
	for _, together := range []uint32{1, 4, 16} {
		b.Run(strconv.Itoa(int(together)), func(b *testing.B) { benchmarkStream(b, together) })
	}
}

func benchmarkStream(b *testing.B, together uint32) {
	opened, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	l := &countingListener{Listener: opened}
	mux := http.NewServeMux()
	mux.Handle(NewInference(&tokens{together: together}).Handler(1 << 20))
	s := httpx.NewServer(httpx.BoundSlowClients(mux), nil)
	go func() { _ = s.Serve(l) }()
	defer s.Close()
	client := httpx.NewClient(httpx.Dialer())
	c := carawayv1connect.NewInferenceServiceClient(client, "http://"+opened.Addr().String())
	b.ReportAllocs()
	for b.Loop() {
		stream, err := c.Generate(b.Context(), connect.NewRequest(&carawayv1.GenerateRequest{Prompt: "p"}))
		if err != nil {
			b.Fatal(err)
		}
		for stream.Receive() {
		}
		if err := stream.Err(); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(l.writes.Load())/float64(b.N*benchTokens), "writes/token")
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*benchTokens), "ns/token")
}
