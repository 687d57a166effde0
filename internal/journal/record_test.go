package journal_test

import (
	"testing"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"carawayproxy.example/caraway/internal/journal"
)

func TestRecordRoundTrip(t *testing.T) {
	r := journal.Record{
		Format: journal.RecordFormat, ID: journal.RecordID{1, 2}, Kind: kindAdd, Author: "a",
		UnixMilli: -5, Body: []byte{0}, Basis: 7,
	}
	back, err := journal.DecodeRecord(encode(t, r))
	assert.NilError(t, err)
	assert.DeepEqual(t, back, r)
}

// FuzzRecord checks that a payload is either a record or one of the two errors,
// and that a decoded record survives encoding and decoding.
func FuzzRecord(f *testing.F) {
	f.Add([]byte(nil))
	f.Add([]byte("text"))
	f.Add([]byte{0xa1, 0x01, 0x02})
	f.Add([]byte{0xa1, 0x01, 0x1b, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff})
	f.Add([]byte{0xbf, 0x01, 0x01, 0xff})
	f.Add(encode(f, journal.Record{Format: 1, ID: journal.RecordID{9}, Kind: "k", Body: []byte("b"), Basis: 3}))
	f.Fuzz(func(t *testing.T, payload []byte) {
		r, err := journal.DecodeRecord(payload)
		if err != nil {
			known := errors.Is(err, journal.ErrMalformed) || errors.Is(err, journal.ErrUnknownFormat)
			assert.Assert(t, known, "%v", err)
			return
		}
		back, err := journal.DecodeRecord(encode(t, r))
		assert.NilError(t, err)
		assert.DeepEqual(t, back, r)
	})
}

// A truncated record is malformed at every length.
func TestTruncatedRecordIsMalformed(t *testing.T) {
	whole := encode(t, journal.Record{Format: 1, ID: journal.RecordID{9}, Kind: "k", Body: []byte("body")})
	for n := range whole {
		_, err := journal.DecodeRecord(whole[:n])
		assert.Assert(t, errors.Is(err, journal.ErrMalformed), "cut at %d: %v", n, err)
	}
}
