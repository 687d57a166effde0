package journal

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

const (
	// RecordFormat is the newest record format that this version folds.
	RecordFormat = 1
	// MaxRecordBytes bounds one encoded record.
	MaxRecordBytes = 1 << 20
	// recordOverhead covers all of a record but its body.
	recordOverhead = 1 << 10
)

// Errors of decoding a record.
var (
	// ErrMalformed marks a payload that is no record of any format. It can't
	// count, so every replica skips it.
	ErrMalformed = errors.New("malformed record")
	// ErrUnknownFormat marks a record of a newer format. A replica stops.
	ErrUnknownFormat = errors.New("unknown record format")
	// ErrTooLarge marks a proposal over MaxRecordBytes.
	ErrTooLarge = errors.New("record too large")
)

var (
	encMode    = mustEnc()
	strictMode = mustDec(cbor.ExtraDecErrorUnknownField)
	headMode   = mustDec(cbor.ExtraDecErrorNone)
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

// Decode decodes CBOR strictly: an unknown field, a repeated key or trailing
// bytes are errors.
func Decode(data []byte, v any) error { return strictMode.Unmarshal(data, v) }

// EncodeRecord encodes one record.
func EncodeRecord(r Record) ([]byte, error) { return Encode(r) }

// DecodeRecord decodes one payload. Its errors are ErrMalformed and
// ErrUnknownFormat. Every format, past and future, is a CBOR map that has the
// format's number under key 1.
func DecodeRecord(payload []byte) (Record, error) {
	var head struct {
		Format uint64 `cbor:"1,keyasint"`
	}
	if err := headMode.Unmarshal(payload, &head); err != nil {
		return Record{}, errors.Wrap(ErrMalformed, err.Error())
	}
	if head.Format == 0 {
		return Record{}, errors.Wrap(ErrMalformed, "no format")
	}
	if head.Format > RecordFormat {
		return Record{}, errors.Wrapf(ErrUnknownFormat, "format %d", head.Format)
	}
	var r Record
	if err := Decode(payload, &r); err != nil {
		return Record{}, errors.Wrap(ErrMalformed, err.Error())
	}
	if r.Kind == "" || r.ID == (RecordID{}) {
		return Record{}, errors.Wrap(ErrMalformed, "no kind or id")
	}
	return r, nil
}
