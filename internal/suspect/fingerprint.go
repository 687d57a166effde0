package suspect

import (
	"github.com/cespare/xxhash/v2"

	"carawayproxy.example/caraway/internal/fleet"
)

// FingerprintOf returns the fingerprint of a request.
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
