package httpx

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// TestStreamSurvivesLongPause checks that a handler which does not write for
// longer than stallTimeout keeps its stream.
func TestStreamSurvivesLongPause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := make(pipeListener, 1)
		server := NewServer(LimitSlowClients(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = w.Write([]byte("first "))
			w.(http.Flusher).Flush()
			time.Sleep(2 * stallTimeout)
			_, _ = w.Write([]byte("second"))
		})), nil)
		go func() { _ = server.Serve(l) }()
		client := NewClient(func(context.Context, string, string) (net.Conn, error) {
			clientEnd, serverEnd := net.Pipe()
			l <- serverEnd
			return clientEnd, nil
		})
		defer func() {
			client.CloseIdleConnections()
			close(l)
			_ = server.Close()
		}()
		resp, err := client.Get("http://server/")
		assert.NilError(t, err)
		defer resp.Body.Close()
		body, err := io.ReadAll(resp.Body)
		assert.NilError(t, err)
		assert.Equal(t, string(body), "first second")
	})
}
