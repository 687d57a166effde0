package journal

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

const (
	// RecordFormat is the newest record format that this version supports.
	RecordFormat = 1
	// MaxRecordBytes is the maximum size of an encoded record.
	MaxRecordBytes = 1 << 20
	// recordOverhead is an upper bound for the size of a record without its
	// body.
	recordOverhead = 1 << 10
)

// Errors of encoding and decoding records.
var (
	// ErrMalformed is returned for a payload that is not a record of any
	// format. Every replica skips it.
	ErrMalformed = errors.New("malformed record")
	// ErrUnknownFormat is returned for a record of a newer format. The replica
	// stops.
	ErrUnknownFormat = errors.New("unknown record format")
	// ErrTooLarge is returned for a proposal that exceeds MaxRecordBytes and for
	// a state that exceeds the size of a snapshot.
	ErrTooLarge = errors.New("record too large")
)

var (
	encMode     = mustEnc()
	strictMode  = mustDec(cbor.ExtraDecErrorUnknownField)
	lenientMode = mustDec(cbor.ExtraDecErrorNone)
)

func mustEnc() cbor.EncMode {
	m, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(err)
	}
	return m
}

func mustDec(extra cbor.ExtraDecErrorCond) cbor.DecMode {
	m, err := cbor.DecOptions{
		DupMapKey:         cbor.DupMapKeyEnforcedAPF,
		ExtraReturnErrors: extra,
		MaxNestedLevels:   16,
		MaxArrayElements:  1 << 20,
		MaxMapPairs:       1 << 20,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return m
}

// Encode returns the deterministic CBOR encoding of v.
func Encode(v any) ([]byte, error) { return encMode.Marshal(v) }

// Decode decodes CBOR strictly: unknown fields, repeated keys and trailing
// bytes are errors.
func Decode(data []byte, v any) error { return strictMode.Unmarshal(data, v) }

// EncodeRecord returns the CBOR encoding of a record.
func EncodeRecord(r Record) ([]byte, error) { return Encode(r) }

// DecodeRecord decodes one payload. Its errors wrap ErrMalformed or
// ErrUnknownFormat. In every format, past and future, a record is a CBOR map
// with the format number under key 1.
func DecodeRecord(payload []byte) (Record, error) {
	var header struct {
		Format uint64 `cbor:"1,keyasint"`
	}
	if err := lenientMode.Unmarshal(payload, &header); err != nil {
		return Record{}, errors.Wrap(ErrMalformed, err.Error())
	}
	if header.Format == 0 {
		return Record{}, errors.Wrap(ErrMalformed, "format is missing")
	}
	if header.Format > RecordFormat {
		return Record{}, errors.Wrapf(ErrUnknownFormat, "format %d", header.Format)
	}
	var r Record
	if err := Decode(payload, &r); err != nil {
		return Record{}, errors.Wrap(ErrMalformed, err.Error())
	}
	if r.Kind == "" || r.ID == (RecordID{}) {
		return Record{}, errors.Wrap(ErrMalformed, "kind or id is missing")
	}
	return r, nil
}
