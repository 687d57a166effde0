// Package httpx builds the HTTP servers and clients that all listeners and
// links share. They support HTTP/1.1 and cleartext HTTP/2 with limits on header
// size and idle time. Their dialer marks requests that were certainly not sent.
package httpx

import (
	"context"
	"crypto/tls"
	"io"
	"log"
	"net"
	"net/http"
	"strings"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"
)

// Limits of servers and clients.
const (
	readHeaderTimeout = 5 * time.Second
	idleTimeout       = 90 * time.Second
	dialTimeout       = 2 * time.Second
	maxHeaderBytes    = 32 << 10
	pingAfter         = 2 * time.Second
	pingTimeout       = 2 * time.Second
	writeByteTimeout  = 10 * time.Second
	maxIdlePerHost    = 64
)

// compressMinBytes is the minimum size of a message to callers and operators
// that is compressed.
const compressMinBytes = 1 << 10

// ClientOptions returns the options of all connect clients: responses are
// limited to maxBytes and are not compressed, because within a zone compression
// costs more than it saves.
func ClientOptions(maxBytes int) connect.ClientOption {
	return connect.WithClientOptions(
		connect.WithReadMaxBytes(maxBytes),
		connect.WithAcceptCompression("gzip", nil, nil),
	)
}

// HandlerOptions returns the options of all connect handlers: requests are
// limited to maxBytes, and only large responses are compressed.
func HandlerOptions(maxBytes int) connect.HandlerOption {
	return connect.WithHandlerOptions(
		connect.WithReadMaxBytes(maxBytes),
		connect.WithCompressMinBytes(compressMinBytes),
	)
}

// ErrDial marks a request that failed because no connection was established.
var ErrDial = errors.New("dial failed")

// DialFunc opens a connection, like net.Dialer.DialContext.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Dialer returns a DialFunc that uses the network of the machine.
func Dialer() DialFunc {
	d := &net.Dialer{Timeout: dialTimeout, KeepAlive: idleTimeout}
	return d.DialContext
}

// NewServer returns a server for one listener. It serves HTTP/1.1 and HTTP/2,
// with TLS if tlsConfig is not nil and in clear text otherwise. Errors of
// individual connections are not logged, because clients disconnect routinely.
func NewServer(h http.Handler, tlsConfig *tls.Config) *http.Server {
	p := new(http.Protocols)
	p.SetHTTP1(true)
	p.SetHTTP2(true)
	p.SetUnencryptedHTTP2(tlsConfig == nil)
	return &http.Server{
		Handler:           h,
		TLSConfig:         tlsConfig,
		ErrorLog:          log.New(io.Discard, "", 0),
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		Protocols:         p,
		HTTP2: &http.HTTP2Config{
			SendPingTimeout:  pingAfter,
			PingTimeout:      pingTimeout,
			WriteByteTimeout: writeByteTimeout,
		},
	}
}

// NewClient returns a client for concurrent streams and calls. It uses cleartext
// HTTP/2 over connections opened with dial. A failed dial matches ErrDial.
func NewClient(dial DialFunc) *http.Client {
	p := new(http.Protocols)
	p.SetUnencryptedHTTP2(true)
	t := newTransport(dial)
	t.Protocols = p
	t.HTTP2 = &http.HTTP2Config{
		SendPingTimeout:  pingAfter,
		PingTimeout:      pingTimeout,
		WriteByteTimeout: writeByteTimeout,
	}
	return &http.Client{Transport: t}
}

// NewPollClient returns a client for small sequential calls. It uses HTTP/1.1,
// which needs about half the processor time of HTTP/2 for such calls and closes
// the connection of a call that timed out.
func NewPollClient(dial DialFunc) *http.Client {
	return &http.Client{Transport: CheckedTransport{newTransport(dial)}}
}

func newTransport(dial DialFunc) *http.Transport {
	return &http.Transport{
		IdleConnTimeout:     idleTimeout,
		MaxIdleConnsPerHost: maxIdlePerHost,
		DisableCompression:  true,
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			ctx, cancel := context.WithTimeout(ctx, dialTimeout)
			defer cancel()
			conn, err := dial(ctx, network, address)
			if err != nil {
				return nil, &dialError{err}
			}
			return ResetAware(conn), nil
		},
	}
}

// dialError is the error of a failed dial. It matches ErrDial.
type dialError struct{ err error }

func (e *dialError) Error() string        { return "dial: " + e.err.Error() }
func (e *dialError) Unwrap() error        { return e.err }
func (e *dialError) Is(target error) bool { return target == ErrDial }

// hopByHopHeaders are the headers that apply to a single connection.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// RemoveHopByHopHeaders removes the hop-by-hop headers, including those that the
// Connection header lists.
func RemoveHopByHopHeaders(h http.Header) {
	for _, value := range h["Connection"] {
		for name := range strings.SplitSeq(value, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		h.Del(name)
	}
}
