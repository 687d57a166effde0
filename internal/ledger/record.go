package ledger

import (
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"carawayproxy.example/caraway/internal/fleet"
	"carawayproxy.example/caraway/internal/journal"
)

// Kinds of ledger records.
const (
	KindIntent    journal.Kind = "ledger.intent"
	KindOutcome   journal.Kind = "ledger.outcome"
	KindAbandoned journal.Kind = "ledger.abandoned"
)

// Reasons for which the fold rejects a record.
const (
	rejectTaken     = "taken"     // another intent has won
	rejectMismatch  = "mismatch"  // the key was used for another request
	rejectExpired   = "expired"   // the time in the key is outside the window
	rejectAbandoned = "void"      // the intent was abandoned
	rejectNoIntent  = "no intent" // the record's intent is not the winning one
	rejectFinal     = "final"     // the entry already has an outcome
)

// keyRecord is the encoding of a Key in the log.
type keyRecord struct {
	_         struct{} `cbor:",toarray"`
	Workspace fleet.Workspace
	Service   fleet.ServiceName
	Caller    string
}

func encodeKey(k Key) keyRecord {
	return keyRecord{Workspace: k.Workspace, Service: k.Service, Caller: k.Caller}
}

func (k keyRecord) key() Key {
	return Key{Workspace: k.Workspace, Service: k.Service, Caller: k.Caller}
}

// intentRecord is the body of KindIntent.
type intentRecord struct {
	Key    keyRecord `cbor:"1,keyasint"`
	Intent IntentID  `cbor:"2,keyasint"`
	Digest uint64    `cbor:"3,keyasint"`
	// Window is the lifetime of the key, in milliseconds. It is part of the
	// record so that daemons with different settings decide equally.
	Window int64 `cbor:"4,keyasint"`
}

// outcomeRecord is the body of KindOutcome.
type outcomeRecord struct {
	Key     keyRecord `cbor:"1,keyasint"`
	Intent  IntentID  `cbor:"2,keyasint"`
	Unknown bool      `cbor:"3,keyasint,omitempty"`
	Body    []byte    `cbor:"4,keyasint,omitempty"`
	Digest  uint64    `cbor:"5,keyasint,omitempty"`
	Size    int       `cbor:"6,keyasint,omitempty"`
	Failed  bool      `cbor:"7,keyasint,omitempty"`
	Message string    `cbor:"8,keyasint,omitempty"`
}

// abandonedRecord is the body of KindAbandoned.
type abandonedRecord struct {
	Key    keyRecord `cbor:"1,keyasint"`
	Intent IntentID  `cbor:"2,keyasint"`
	Window int64     `cbor:"3,keyasint"`
}

func (r outcomeRecord) answer() Answer {
	return Answer{Body: r.Body, Digest: r.Digest, Size: r.Size, Failed: r.Failed, Message: r.Message}
}

// DigestOf returns the digest of a request, as passed to Begin.
func DigestOf(method fleet.Method, body []byte) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(string(method))
	_, _ = d.Write([]byte{0})
	_, _ = d.Write(body)
	return d.Sum64()
}

// AnswerOf returns a successful answer with the given body.
func AnswerOf(body []byte) Answer {
	return Answer{Body: body, Digest: xxhash.Sum64(body), Size: len(body)}
}

var strictMode = func() cbor.DecMode {
	m, err := cbor.DecOptions{DupMapKey: cbor.DupMapKeyEnforcedAPF}.DecMode()
	if err != nil {
		panic(err)
	}
	return m
}()

func decode(data []byte, into any) error {
	return errors.WithStack(strictMode.Unmarshal(data, into))
}

// Limits of the lifetime of a key.
const (
	DefaultWindow = 24 * time.Hour
	minWindow     = time.Minute
	maxWindow     = 30 * 24 * time.Hour
)

// clampWindow limits a window in milliseconds to minWindow and maxWindow.
func clampWindow(milli int64) int64 {
	return min(max(milli, minWindow.Milliseconds()), maxWindow.Milliseconds())
}
