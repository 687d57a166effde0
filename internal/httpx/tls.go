package httpx

import (
	"crypto/tls"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// certificateCheckEvery is the least time between two looks at the files.
const certificateCheckEvery = 10 * time.Second

// ReloadingTLS returns a server configuration whose certificate is read again
// when its files change. A changed file that can't be read leaves the old
// certificate in use.
func ReloadingTLS(certificateFile, keyFile string) (*tls.Config, error) {
	r := &reloader{certificateFile: certificateFile, keyFile: keyFile}
	if err := r.load(); err != nil {
		return nil, err
	}
	return &tls.Config{MinVersion: tls.VersionTLS12, GetCertificate: r.get}, nil
}

type reloader struct {
	certificateFile, keyFile string

	mu          sync.Mutex
	certificate *tls.Certificate
	changedAt   time.Time
	checkedAt   time.Time
}

func (r *reloader) get(*tls.ClientHelloInfo) (*tls.Certificate, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if now := time.Now(); now.Sub(r.checkedAt) >= certificateCheckEvery {
		r.checkedAt = now
		if changed(r.certificateFile, r.changedAt) || changed(r.keyFile, r.changedAt) {
			_ = r.load()
		}
	}
	return r.certificate, nil
}

func changed(file string, since time.Time) bool {
	info, err := os.Stat(file)
	return err == nil && info.ModTime().After(since)
}

func (r *reloader) load() error {
	c, err := tls.LoadX509KeyPair(r.certificateFile, r.keyFile)
	if err != nil {
		return errors.Wrap(err, "load certificate")
	}
	info, err := os.Stat(r.certificateFile)
	if err != nil {
		return errors.Wrap(err, "load certificate")
	}
	r.certificate = &c
	r.changedAt = info.ModTime()
	if key, err := os.Stat(r.keyFile); err == nil && key.ModTime().After(r.changedAt) {
		r.changedAt = key.ModTime()
	}
	return nil
}
