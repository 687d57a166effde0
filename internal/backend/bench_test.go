package backend

import (
	"context"
	"net"
	"net/http"
	"testing"

	"connectrpc.com/connect"

	carawayv1 "carawayproxy.example/caraway/api/caraway/v1"
	"carawayproxy.example/caraway/api/caraway/v1/carawayv1connect"
	"carawayproxy.example/caraway/internal/httpx"
)

// reporter is an engine that serves reports.
type reporter struct {
	carawayv1connect.UnimplementedEngineServiceHandler
}

func (reporter) Report(context.Context, *connect.Request[carawayv1.ReportRequest]) (*connect.Response[carawayv1.ReportResponse], error) {
	return connect.NewResponse(&carawayv1.ReportResponse{
		Instance:   "engine-1",
		Assignment: &carawayv1.Assignment{Group: "placement/01.1.1", Epoch: 1, Service: "s", Model: "m", Version: "v1", Members: []string{"10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1"}},
		Ready:      true,
	}), nil
}

// BenchmarkPoll measures the processor time of one poll, including the backend
// server's side.
func BenchmarkPoll(b *testing.B) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	mux := http.NewServeMux()
	mux.Handle(carawayv1connect.NewEngineServiceHandler(reporter{}))
	s := httpx.NewServer(mux, nil)
	go func() { _ = s.Serve(l) }()
	defer s.Close()
	for name, client := range map[string]*http.Client{
		"HTTP2": httpx.NewClient(httpx.Dialer()),
		"HTTP1": httpx.NewPollClient(httpx.Dialer()),
	} {
		b.Run(name, func(b *testing.B) {
			c := NewClient(client, client)
			b.ReportAllocs()
			for b.Loop() {
				if _, err := c.Report(b.Context(), l.Addr().String()); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
