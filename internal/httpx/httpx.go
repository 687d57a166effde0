// Package httpx builds the HTTP servers and clients that all listeners and
// links share: HTTP/1.1 and cleartext HTTP/2 with bounded headers and idle
// times, over a dialer that says when a request provably was not sent.
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

// Bounds of servers and clients.
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

// compressMinBytes is the size from which messages to callers and operators
// are compressed.
const compressMinBytes = 1 << 10

// ClientOptions are those of every connect client: answers of at most maxBytes,
// without compression, which costs more than it saves within a zone.
func ClientOptions(maxBytes int) connect.ClientOption {
	return connect.WithClientOptions(
		connect.WithReadMaxBytes(maxBytes),
		connect.WithAcceptCompression("gzip", nil, nil),
	)
}

// HandlerOptions are those of every connect handler: requests of at most
// maxBytes, and compression of large answers only.
func HandlerOptions(maxBytes int) connect.HandlerOption {
	return connect.WithHandlerOptions(
		connect.WithReadMaxBytes(maxBytes),
		connect.WithCompressMinBytes(compressMinBytes),
	)
}

// ErrDial marks a request whose connection was never made.
var ErrDial = errors.New("dial failed")

// DialFunc opens a connection, as net.Dialer.DialContext does.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Dialer is the DialFunc of the machine's own network.
func Dialer() DialFunc {
	d := &net.Dialer{Timeout: dialTimeout, KeepAlive: idleTimeout}
	return d.DialContext
}

// NewServer returns a server for one listener. It speaks HTTP/1.1 and HTTP/2,
// with TLS when tlsConfig is set and in clear text otherwise. Errors of single
// connections are not logged: clients come and go.
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

// NewClient returns a client for streams and calls that run side by side. It
// speaks cleartext HTTP/2 over dial. A failed dial shows as ErrDial.
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

// NewPollClient returns a client for small calls that follow one another. It
// speaks HTTP/1.1, which takes about half the processor time of HTTP/2 for
// them, and drops a connection with the call that timed out on it.
func NewPollClient(dial DialFunc) *http.Client {
	return &http.Client{Transport: newTransport(dial)}
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
			return conn, nil
		},
	}
}

// dialError wraps what kept a connection from being made.
type dialError struct{ err error }

func (e *dialError) Error() string        { return "dial: " + e.err.Error() }
func (e *dialError) Unwrap() error        { return e.err }
func (e *dialError) Is(target error) bool { return target == ErrDial }

// connectionHeaders concern one connection only.
var connectionHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// DropConnectionHeaders removes the headers that concern one connection only,
// also those that Connection names.
func DropConnectionHeaders(h http.Header) {
	for _, value := range h["Connection"] {
		for name := range strings.SplitSeq(value, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range connectionHeaders {
		h.Del(name)
	}
}
