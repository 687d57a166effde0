package entry

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"carawayproxy.example/caraway/internal/dispatch"
	"carawayproxy.example/caraway/internal/event"
	"carawayproxy.example/caraway/internal/fleet"
	"carawayproxy.example/caraway/internal/routes"
)

type noMeta struct{}

func (noMeta) Decode(http.Header) (Meta, error) { return Meta{Request: "r"}, nil }

// canceledDispatcher fails each request once its context has ended.
type canceledDispatcher struct{ state fleet.RunState }

func (d canceledDispatcher) Forward(ctx context.Context, _ dispatch.Forwarding, _ dispatch.Relay) *fleet.Failure {
	<-ctx.Done()
	return &fleet.Failure{State: d.state, Reason: fleet.ReasonCanceled, Message: "the caller went away"}
}

func testDocument() *routes.Document {
	return &routes.Document{
		Version:  1,
		Routes:   []routes.Route{{Name: "all", Host: "h.example", PathPrefix: "/", Kind: routes.KindSafe, Targets: []routes.WeightedService{{Service: "s", Weight: 1}}}},
		Services: []routes.Service{{Name: "s"}},
	}
}

// A caller that had closed its sending side after its request was taken for gone,
// and its connection was closed without an answer.
func TestCallerThatClosedItsSendingSideGotNoAnswer(t *testing.T) {
	for state, status := range map[fleet.RunState]int{fleet.NotRun: http.StatusServiceUnavailable, fleet.MayHaveRun: http.StatusBadGateway} {
		current := &routes.CurrentDocument{}
		assert.Assert(t, current.Update(testDocument()))
		server := httptest.NewServer(NewHandler(Config{
			Codec: noMeta{}, Routes: current, Dispatcher: canceledDispatcher{state}, Draining: func() bool { return false },
			StopsAt: func() time.Time { return time.Time{} }, Events: event.Discard(),
		}))
		defer server.Close()
		conn, err := net.Dial("tcp", server.Listener.Addr().String())
		assert.NilError(t, err)
		defer conn.Close()
		assert.NilError(t, conn.SetDeadline(time.Now().Add(5*time.Second)))
		_, err = io.WriteString(conn, "GET /x HTTP/1.1\r\nHost: h.example\r\n\r\n")
		assert.NilError(t, err)
		assert.NilError(t, conn.(*net.TCPConn).CloseWrite())
		res, err := http.ReadResponse(bufio.NewReader(conn), nil)
		assert.NilError(t, err)
		assert.Equal(t, res.StatusCode, status)
		assert.NilError(t, res.Body.Close())
	}
}
