package httpx

import (
	"bytes"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"fmt"
	"io"
	"math/big"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// pipeListener accepts the server ends of pipes.
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

// servePipe serves h on a pipe and returns the client's end.
func servePipe(t *testing.T, h http.Handler) net.Conn {
	l := make(pipeListener, 1)
	server := NewServer(h, nil)
	go func() { _ = server.Serve(l) }()
	client, end := net.Pipe()
	l <- end
	t.Cleanup(func() {
		_ = client.Close()
		close(l)
		_ = server.Close()
	})
	return client
}

func TestSlowClientsAreDisconnected(t *testing.T) {
	for name, tc := range map[string]struct {
		send  string
		write bool // the handler writes until an error occurs
	}{
		"silent":          {send: "POST / HTTP/1.1\r\nHost: h\r\n"},
		"body too slow":   {send: "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\nabc"},
		"response unread": {send: "GET / HTTP/1.1\r\nHost: h\r\n\r\n", write: true},
		"no data":         {},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				returned := make(chan struct{}, 1)
				client := servePipe(t, LimitSlowClients(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					defer func() { returned <- struct{}{} }()
					_, err := io.ReadAll(r.Body)
					for tc.write && err == nil {
						_, err = w.Write(bytes.Repeat([]byte("x"), 1<<16))
					}
				})))
				if tc.send != "" {
					_, err := client.Write([]byte(tc.send))
					assert.NilError(t, err)
				}
				if tc.write || name == "body too slow" {
					select {
					case <-returned:
					case <-time.After(time.Minute):
						t.Fatal("the handler has not returned after a minute")
					}
					return
				}
				assert.NilError(t, client.SetReadDeadline(time.Now().Add(2*time.Minute)))
				_, err := io.ReadAll(client)
				assert.NilError(t, err, "the connection is still open")
			})
		})
	}
}

// TestLongResponseOutlivesBodyTimeout checks that the timeout for the request
// body does not end a call whose body has arrived and whose response takes
// longer.
func TestLongResponseOutlivesBodyTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		canceled := make(chan error, 1)
		client := servePipe(t, LimitSlowClients(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.ReadAll(r.Body)
			time.Sleep(2 * bodyTimeout)
			canceled <- r.Context().Err()
		})))
		_, err := client.Write([]byte("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc"))
		assert.NilError(t, err)
		assert.NilError(t, <-canceled)
	})
}

// writePair writes a self-signed certificate for the loopback address, whose
// common name is its serial number.
func writePair(t *testing.T, certFile, keyFile string, serial int64) {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)
	c := &x509.Certificate{
		SerialNumber: big.NewInt(serial),
		Subject:      pkix.Name{CommonName: fmt.Sprint(serial)},
		NotAfter:     time.Now().Add(time.Hour),
		IPAddresses:  []net.IP{net.IPv4(127, 0, 0, 1)},
	}
	der, err := x509.CreateCertificate(rand.Reader, c, c, &key.PublicKey, key)
	assert.NilError(t, err)
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	assert.NilError(t, err)
	assert.NilError(t, os.WriteFile(certFile, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}), 0o600))
	assert.NilError(t, os.WriteFile(keyFile, pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: keyDER}), 0o600))
}

func TestCertificateIsReloadedWhenItChanges(t *testing.T) {
	dir := t.TempDir()
	cert, key := filepath.Join(dir, "cert"), filepath.Join(dir, "key")
	writePair(t, cert, key, 1)
	config, err := ReloadingTLS(cert, key)
	assert.NilError(t, err)
	serial := func() int64 {
		got, err := config.GetCertificate(&tls.ClientHelloInfo{})
		assert.NilError(t, err)
		parsed, err := x509.ParseCertificate(got.Certificate[0])
		assert.NilError(t, err)
		return parsed.SerialNumber.Int64()
	}
	assert.Equal(t, serial(), int64(1))

	r, err := newReloaded(func() (*tls.Certificate, error) {
		c, err := tls.LoadX509KeyPair(cert, key)
		return &c, err
	}, cert, key)
	assert.NilError(t, err)
	config.GetCertificate = func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return r.get(), nil }
	assert.NilError(t, os.WriteFile(cert, []byte("broken"), 0o600))
	later := time.Now().Add(time.Minute)
	assert.NilError(t, os.Chtimes(cert, later, later))
	assert.Equal(t, serial(), int64(1), "an invalid file must leave the old certificate in use")
	writePair(t, cert, key, 2)
	assert.NilError(t, os.Chtimes(cert, later, later))
	r.checkedAt = time.Time{}
	assert.Equal(t, serial(), int64(2))
}

func TestClientCertificatesAreVerified(t *testing.T) {
	dir := t.TempDir()
	file := func(name string) string { return filepath.Join(dir, name) }
	writePair(t, file("server"), file("server-key"), 1)
	writePair(t, file("operator"), file("operator-key"), 2)
	writePair(t, file("other"), file("other-key"), 3)
	config, err := ReloadingTLS(file("server"), file("server-key"))
	assert.NilError(t, err)
	config, err = WithClientCertificates(config, file("operator"))
	assert.NilError(t, err)
	authority, err := ReadAuthority(file("server"))
	assert.NilError(t, err)

	for name, c := range map[string]struct {
		pair    string
		want    string // common name of the verified certificate
		refused bool
	}{
		"of the authority":      {pair: "operator", want: "2"},
		"of another authority":  {pair: "other", refused: true},
		"without a certificate": {},
	} {
		t.Run(name, func(t *testing.T) {
			own := &tls.Config{RootCAs: authority, ServerName: "127.0.0.1"}
			if c.pair != "" {
				pair, err := tls.LoadX509KeyPair(file(c.pair), file(c.pair+"-key"))
				assert.NilError(t, err)
				own.GetClientCertificate = func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return &pair, nil }
			}
			clientEnd, serverEnd := net.Pipe()
			defer clientEnd.Close()
			defer serverEnd.Close()
			go func() { _ = tls.Client(clientEnd, own).Handshake(); _, _ = io.Copy(io.Discard, clientEnd) }()
			server := tls.Server(serverEnd, config)
			err := server.Handshake()
			assert.Equal(t, err != nil, c.refused, "%v", err)
			if c.want != "" {
				assert.Equal(t, server.ConnectionState().VerifiedChains[0][0].Subject.CommonName, c.want)
			}
		})
	}
}
