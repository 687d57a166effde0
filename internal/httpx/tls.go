package httpx

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// fileCheckInterval is the minimum time between two checks for changed files.
const fileCheckInterval = 10 * time.Second

// ReloadingTLS returns a server configuration that reloads its certificate when
// one of the files changes. If a changed file cannot be loaded, the previous
// certificate remains in use.
func ReloadingTLS(certificateFile, keyFile string) (*tls.Config, error) {
	certificate, err := newReloaded(func() (*tls.Certificate, error) {
		c, err := tls.LoadX509KeyPair(certificateFile, keyFile)
		return &c, errors.Wrap(err, "load certificate")
	}, certificateFile, keyFile)
	if err != nil {
		return nil, err
	}
	return &tls.Config{
		MinVersion:     tls.VersionTLS12,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return certificate.get(), nil },
	}, nil
}

// WithClientCertificates returns a copy of a server configuration that also
// requests client certificates and verifies them with the authority in a PEM
// file. Clients without a certificate are accepted, those with a certificate of
// another authority are rejected. As with ReloadingTLS, the file is reloaded
// when it changes.
func WithClientCertificates(config *tls.Config, authorityFile string) (*tls.Config, error) {
	authority, err := newReloaded(func() (*x509.CertPool, error) { return ReadAuthority(authorityFile) }, authorityFile)
	if err != nil {
		return nil, err
	}
	out := config.Clone()
	out.ClientAuth = tls.VerifyClientCertIfGiven
	out.GetConfigForClient = func(*tls.ClientHelloInfo) (*tls.Config, error) {
		c := config.Clone()
		c.ClientAuth = tls.VerifyClientCertIfGiven
		c.ClientCAs = authority.get()
		return c, nil
	}
	return out, nil
}

// ReadAuthority returns the certificates in a PEM file.
func ReadAuthority(file string) (*x509.CertPool, error) {
	pem, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Wrap(err, "load authority")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, errors.Errorf("%s holds no PEM certificate", file)
	}
	return pool, nil
}

// reloaded is a value that is loaded from files and reloaded when they change.
// If a reload fails, the previous value remains. It is safe for concurrent use.
type reloaded[T any] struct {
	files []string
	load  func() (T, error)

	mu        sync.Mutex
	value     T
	changedAt time.Time
	checkedAt time.Time
}

func newReloaded[T any](load func() (T, error), files ...string) (*reloaded[T], error) {
	r := &reloaded[T]{files: files, load: load}
	return r, r.reload()
}

func (r *reloaded[T]) get() T {
	r.mu.Lock()
	defer r.mu.Unlock()
	if now := time.Now(); now.Sub(r.checkedAt) >= fileCheckInterval {
		r.checkedAt = now
		if lastChange(r.files).After(r.changedAt) {
			_ = r.reload()
		}
	}
	return r.value
}

func (r *reloaded[T]) reload() error {
	changedAt := lastChange(r.files)
	value, err := r.load()
	if err != nil {
		return err
	}
	r.value = value
	r.changedAt = changedAt
	return nil
}

// lastChange returns the latest modification time of the files.
func lastChange(files []string) time.Time {
	var last time.Time
	for _, file := range files {
		if info, err := os.Stat(file); err == nil && info.ModTime().After(last) {
			last = info.ModTime()
		}
	}
	return last
}
