// Package journal turns the platform's append-only log into agreed state. A
// record is a proposal; whether it counts is decided by a pure rule applied
// in offset order, so every daemon that folds the same prefix has the same
// state, and a proposer learns the fate of its record by reading it back.
package journal

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"carawayproxy.example/caraway/internal/fleet"
)

// Stream names one stream of the log.
type Stream string

// Streams of the log. Ledger streams are numbered, see LedgerStream.
const (
	StreamConfig   Stream = "config"
	StreamControl  Stream = "control"
	StreamSnapshot Stream = "snapshot"
)

// Offset is a record's place in its stream, from zero.
type Offset uint64

// Entry is one record as the log keeps it.
type Entry struct {
	Offset  Offset
	Payload []byte
}

// Page is one answer of the log to a read.
type Page struct {
	Entries []Entry
	Oldest  Offset // oldest offset still kept
	Next    Offset // offset that the next record will get
}

// ErrNotAppended marks an append that provably had no effect. Any other
// error of Append leaves open whether the records are in the log.
var ErrNotAppended = errors.New("not appended")

// Log is the port to the platform's log service.
type Log interface {
	// Append adds payloads to the end of a stream, in order and together,
	// and returns the offset of the first.
	Append(ctx context.Context, stream Stream, payloads [][]byte) (Offset, error)
	// Read returns entries from an offset on. It waits up to wait for the
	// first one if there is none yet.
	Read(ctx context.Context, stream Stream, from Offset, limit int, wait time.Duration) (Page, error)
}

// RecordID makes a record's repeat recognisable.
type RecordID [16]byte

// Kind says which rule a record is for, for example "lease.claim".
type Kind string

// Record is the content of one entry. It is encoded as CBOR.
type Record struct {
	Format uint16         `cbor:"1,keyasint"`
	ID     RecordID       `cbor:"2,keyasint"`
	Kind   Kind           `cbor:"3,keyasint"`
	Author fleet.DaemonID `cbor:"4,keyasint"`
	// UnixMilli is the author's wall clock. It informs; no rule trusts it
	// alone.
	UnixMilli int64  `cbor:"5,keyasint"`
	Body      []byte `cbor:"6,keyasint"`
	// Basis is the first offset that the author had not folded when it first
	// sent the record. A record that lands DuplicateWindow or more offsets
	// later does not count, so no repeat can outlive the memory of its id.
	Basis Offset `cbor:"7,keyasint"`
}

// Verdict is a rule's decision about one record.
type Verdict struct {
	Accepted bool
	Reason   string // why it was not accepted
	// Detail is what the rule tells the proposer besides, for example the
	// entry that was there first. It never leaves the process.
	Detail any
}

// Accept is the verdict on a record that counts.
func Accept() Verdict { return Verdict{Accepted: true} }

// Reject is the verdict on a record that does not count.
func Reject(reason string) Verdict { return Verdict{Reason: reason} }

// Fold is the state of one aggregate over one stream. Apply is called in
// offset order by one goroutine at a time; a Fold guards its own state
// against readers.
type Fold interface {
	// Kinds lists the record kinds that the fold knows.
	Kinds() []Kind
	// Apply decides about a record and takes it in if it counts. It must
	// depend on nothing but the state and its arguments. An error means the
	// record can't be understood: the replica then stops taking part.
	Apply(at Offset, r Record) (Verdict, error)
	// Snapshot returns the whole state, the same bytes for the same state.
	Snapshot() ([]byte, error)
	// Restore replaces the state by a snapshot's.
	Restore(data []byte) error
}

// Fate says what became of a proposal.
type Fate uint8

// Fates of a proposal.
const (
	// FateUnknown: the record may be in the log, now or later.
	FateUnknown Fate = iota
	// FateAccepted: the record is in the log and counts.
	FateAccepted
	// FateRejected: the record is in the log and does not count.
	FateRejected
	// FateNotAppended: the record is not in the log and never will be.
	FateNotAppended
)

// Result is the outcome of a proposal.
type Result struct {
	Fate    Fate
	Offset  Offset
	Verdict Verdict
	Err     error // set for FateUnknown and FateNotAppended
}

// State is a fold's snapshot at an offset, as kept in the log's snapshot
// stream and as given to a starting peer.
type State struct {
	Stream   Stream `cbor:"1,keyasint"`
	Next     Offset `cbor:"2,keyasint"` // first offset not in the state
	Format   uint16 `cbor:"3,keyasint"`
	Checksum uint64 `cbor:"4,keyasint"` // xxhash of Data
	Data     []byte `cbor:"5,keyasint"`
}

// Status is how far a replica has come.
type Status struct {
	Stream Stream
	Next   Offset // first offset not folded
	// ConfirmedAt is when the log, or a peer on its behalf, last showed that
	// nothing before that moment is missing. Zero before the first time.
	ConfirmedAt time.Time
	// LogAt is when the log itself last answered this daemon.
	LogAt time.Time
	// Err is set once the replica can't go on folding.
	Err error
}

// Proposer adds records to one stream and learns their fate.
type Proposer interface {
	// Propose encodes body as CBOR, appends it as a record of the given kind
	// and waits until the record is folded, ctx ends, or its fate is known.
	Propose(ctx context.Context, kind Kind, body any) Result
	Status() Status
}

// PeerSource gives what other daemons have folded, for a daemon that starts
// or has lost the log.
type PeerSource interface {
	// FetchState returns the state of the peer that has come furthest.
	FetchState(ctx context.Context, stream Stream) (State, error)
	// FetchEntries returns entries from an offset on, as a peer read them
	// from the log; none when no peer holds them.
	FetchEntries(ctx context.Context, stream Stream, from Offset, limit int) ([]Entry, error)
}
