package backend

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"

	"connectrpc.com/connect"

	carawayv1 "carawayproxy.example/caraway/api/caraway/v1"
	"carawayproxy.example/caraway/api/caraway/v1/carawayv1connect"
	"carawayproxy.example/caraway/internal/httpx"
)

const benchTokens = 256

// generator is an engine that streams one token per message without delay.
type generator struct {
	carawayv1connect.UnimplementedEngineServiceHandler
}

func (generator) Run(_ context.Context, req *connect.Request[carawayv1.RunRequest], stream *connect.ServerStream[carawayv1.RunResponse]) error {
	for i := range uint32(benchTokens) {
		token := &carawayv1.Token{Index: i, Text: " token"}
		m := &carawayv1.RunResponse{RequestId: req.Msg.RequestId, AttemptId: req.Msg.AttemptId, Tokens: []*carawayv1.Token{token}}
		if err := stream.Send(m); err != nil {
			return err
		}
	}
	return nil
}

// BenchmarkRun compares reading an engine's stream through a read-ahead buffer
// with reading each message directly from the connection, including the
// engine's side. The metric ready/token is the share of reads after which the
// next token had already arrived.
func BenchmarkRun(b *testing.B) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	mux := http.NewServeMux()
	mux.Handle(carawayv1connect.NewEngineServiceHandler(generator{}))
	s := httpx.NewServer(mux, nil)
	go func() { _ = s.Serve(l) }()
	defer s.Close()
	address := l.Addr().String()
	client := httpx.NewClient(httpx.Dialer())
	buffered, plain := NewClient(client, client), NewClient(client, client)
	plain.runs.engines.Store(address, carawayv1connect.NewEngineServiceClient(client, "http://"+address, httpx.ClientOptions(maxMessageBytes)))
	b.Run("Buffered", func(b *testing.B) { benchmarkRun(b, buffered, address) })
	b.Run("Plain", func(b *testing.B) { benchmarkRun(b, plain, address) })
}

func benchmarkRun(b *testing.B, c *Client, address string) {
	b.ReportAllocs()
	ready := 0
	for b.Loop() {
		stream, err := c.Run(b.Context(), address, Attempt{Request: "r", ID: "a"})
		if err != nil {
			b.Fatal(err)
		}
		for {
			_, err := stream.Next()
			if errors.Is(err, io.EOF) {
				break
			}
			if err != nil {
				b.Fatal(err)
			}
			if stream.(*runStream).Ready() {
				ready++
			}
		}
		stream.Close()
	}
	b.ReportMetric(float64(ready)/float64(b.N*benchTokens), "ready/token")
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*benchTokens), "ns/token")
}
