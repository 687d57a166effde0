package suspect

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"carawayproxy.example/caraway/internal/fleet"
)

// FingerprintOf returns the fingerprint of a request: a hash of the service, the
// version and the body.
func FingerprintOf[T ~string | ~[]byte](s fleet.ServiceName, v fleet.Version, body T) Fingerprint {
	d := xxhash.New()
	_, _ = d.WriteString(string(s))
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(string(v))
	_, _ = d.WriteString("\x00")
	switch b := any(body).(type) {
	case string:
		_, _ = d.WriteString(b)
	case []byte:
		_, _ = d.Write(b)
	default:
		_, _ = d.WriteString(string(body))
	}
	return Fingerprint(d.Sum64())
}

// PartFingerprint returns the fingerprint of a part of a prompt, by its id. It
// does not depend on the service, since a part may crash any engine.
func PartFingerprint(id uint64) Fingerprint {
	d := xxhash.New()
	_, _ = d.WriteString("part\x00")
	_, _ = d.WriteString(strconv.FormatUint(id, fingerprintBase))
	return Fingerprint(d.Sum64())
}

// fingerprintBase is the number base of fingerprints in events and commands.
const fingerprintBase = 16

// String returns the fingerprint in hexadecimal.
func (f Fingerprint) String() string { return strconv.FormatUint(uint64(f), fingerprintBase) }

// ParseFingerprint parses the output of Fingerprint.String.
func ParseFingerprint(s string) (Fingerprint, error) {
	n, err := strconv.ParseUint(s, fingerprintBase, 64)
	if err != nil {
		return 0, errors.Errorf("fingerprint %q is not a hexadecimal number of up to 16 digits", s)
	}
	return Fingerprint(n), nil
}
