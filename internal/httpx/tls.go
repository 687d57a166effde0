package httpx

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// fileCheckEvery is the least time between two looks at files that may change.
const fileCheckEvery = 10 * time.Second

// ReloadingTLS returns a server configuration whose certificate is read again
// when its files change. A changed file that can't be read leaves the old
// certificate in use.
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

// AskClients returns a copy of a server configuration that also asks clients
// for a certificate of the authority in a PEM file. A client may go without
// one; one of another authority is refused. The file is read again when it
// changes, as with ReloadingTLS.
func AskClients(config *tls.Config, authorityFile string) (*tls.Config, error) {
	authority, err := newReloaded(func() (*x509.CertPool, error) { return ReadAuthority(authorityFile) }, authorityFile)
	if err != nil {
		return nil, err
	}
	asking := config.Clone()
	asking.ClientAuth = tls.VerifyClientCertIfGiven
	asking.GetConfigForClient = func(*tls.ClientHelloInfo) (*tls.Config, error) {
		c := config.Clone()
		c.ClientAuth = tls.VerifyClientCertIfGiven
		c.ClientCAs = authority.get()
		return c, nil
	}
	return asking, nil
}

// ReadAuthority reads the certificates of a PEM file.
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

// reloaded is a value that is loaded from files, and again when they change.
// A failed load leaves the old value. It is safe for concurrent use.
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
	if now := time.Now(); now.Sub(r.checkedAt) >= fileCheckEvery {
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

// lastChange is the latest time that any of the files was written.
func lastChange(files []string) time.Time {
	var last time.Time
	for _, file := range files {
		if info, err := os.Stat(file); err == nil && info.ModTime().After(last) {
			last = info.ModTime()
		}
	}
	return last
}
