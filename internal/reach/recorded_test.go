package reach

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"carawayproxy.example/caraway/standin/wiretest"
)

// Addresses of backend servers in the recorded handshakes. Nothing listens at
// goneServer.
const (
	recordedServer = "10.0.0.9:80"
	goneServer     = "10.0.0.8:80"
)

// recordedDialer returns a dialer whose connections to recordedServer echo.
func recordedDialer() *Dialer {
	d := NewDialer(func(ctx context.Context, network, address string) (net.Conn, error) {
		switch address {
		case recordedServer:
			near, far := net.Pipe()
			go func() { _, _ = io.Copy(far, far) }()
			return near, nil
		case goneServer:
			return nil, &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}
		}
		return (&net.Dialer{}).DialContext(ctx, network, address)
	})
	servers := []string{recordedServer, goneServer}
	d.Attach(Config{
		Self: "edge-1-0123abcd", Key: "ABCDEFGHIJKLMNOPQRSTUVWXYZ",
		Peers: func() []Peer { return nil }, Servers: func() []string { return servers }, ServerCount: func() int { return len(servers) },
		OnLost: func() {}, OnBack: func() {}, OnPeersChanged: func() {},
	})
	return d
}

// captureRequest returns the request by which a daemon asks another one for a tunnel
// to recordedServer, and what it makes of the answer.
func captureRequest(answer []byte) (request []byte, linked bool, err error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, false, err
	}
	defer l.Close()
	received := make(chan []byte, 1)
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		var all bytes.Buffer
		if _, err := http.ReadRequest(bufio.NewReader(io.TeeReader(c, &all))); err != nil {
			return
		}
		received <- all.Bytes()
		_, _ = c.Write(answer)
	}()
	_, linked, err = recordedDialer().openTunnel(context.Background(), Peer{ID: "edge-2", Address: l.Addr().String(), Key: "KEY2"}, recordedServer)
	select {
	case request = <-received:
		return request, linked, err
	case <-time.After(time.Second):
		return nil, false, err
	}
}

// askFor sends a request to a daemon and returns the connection.
func askFor(request []byte) (net.Conn, error) {
	server := httptest.NewServer(recordedDialer().Handler(func() bool { return true }))
	c, err := net.Dial("tcp", strings.TrimPrefix(server.URL, "http://"))
	if err != nil {
		return nil, err
	}
	if err := c.SetDeadline(time.Now().Add(5 * time.Second)); err != nil {
		return nil, err
	}
	_, err = c.Write(request)
	return c, err
}

// requestTo returns a request for a tunnel to a server in the recorded form.
func requestTo(request []byte, server string) []byte {
	text := strings.Replace(string(request), "10.0.0.9", strings.TrimSuffix(server, ":80"), 1)
	return []byte(strings.Replace(text, "KEY2", "ABCDEFGHIJKLMNOPQRSTUVWXYZ", 1))
}

// Daemons of an earlier version run beside this one during an upgrade: each must
// open tunnels through the other.
func TestTunnelsOfEarlierVersions(t *testing.T) {
	f, err := os.Open("testdata/recorded-b909b5d.txt")
	assert.NilError(t, err)
	defer f.Close()
	recorded, err := wiretest.Parse(f)
	assert.NilError(t, err)

	t.Run("request that is served", func(t *testing.T) {
		c, err := askFor(requestTo(recorded["request"], recordedServer))
		assert.NilError(t, err)
		defer c.Close()
		answers := bufio.NewReader(c)
		res, err := http.ReadResponse(answers, nil)
		assert.NilError(t, err)
		assert.Equal(t, res.StatusCode, http.StatusSwitchingProtocols)
		_, err = c.Write([]byte{0x82, 0x82, 0, 0, 0, 0, 'h', 'i'}) // a binary frame, masked with zeros
		assert.NilError(t, err)
		frame := make([]byte, 4)
		_, err = io.ReadFull(answers, frame)
		assert.NilError(t, err)
		assert.DeepEqual(t, frame, []byte{0x82, 2, 'h', 'i'})
	})
	t.Run("request that fails", func(t *testing.T) {
		c, err := askFor(requestTo(recorded["request"], goneServer))
		assert.NilError(t, err)
		defer c.Close()
		res, err := http.ReadResponse(bufio.NewReader(c), nil)
		assert.NilError(t, err)
		defer res.Body.Close()
		old, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(recorded["failure"])), nil)
		assert.NilError(t, err)
		defer old.Body.Close()
		assert.Equal(t, res.StatusCode, old.StatusCode)
		assert.Equal(t, res.Header.Get(headerLinks), old.Header.Get(headerLinks))
	})
	t.Run("failure that is received", func(t *testing.T) {
		_, linked, err := captureRequest(recorded["failure"])
		assert.ErrorContains(t, err, "502")
		assert.Assert(t, linked)
	})
	t.Run("request that is sent", func(t *testing.T) {
		present, _, _ := captureRequest(recorded["failure"])
		got, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(present)))
		assert.NilError(t, err)
		old, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(recorded["request"])))
		assert.NilError(t, err)
		assert.Equal(t, got.Method+" "+got.URL.String(), old.Method+" "+old.URL.String())
		for name := range old.Header {
			if name != "Sec-Websocket-Key" {
				assert.Equal(t, got.Header.Get(name), old.Header.Get(name), name)
			}
		}
	})
}
