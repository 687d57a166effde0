package suspect

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Daemons of two versions that run side by side must recognise the same requests by
// each other's verdicts. The fingerprints are those of commits aeb1337 and b909b5d.
func TestFingerprintsOfEarlierVersions(t *testing.T) {
	assert.Equal(t, FingerprintOf("service", "v2", "body"), Fingerprint(0xc03924872ee06c89))
	assert.Equal(t, FingerprintOf("service", "v2", []byte("body")), Fingerprint(0xc03924872ee06c89))
	assert.Equal(t, PartFingerprint(7), Fingerprint(0x678b37a5f6fdc51c))
}
