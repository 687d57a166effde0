// Package journal builds replicated state from the platform's append-only log.
// A record in the log is a proposal. Each daemon decides whether it counts with
// a pure function, applied in offset order, so that all daemons that fold the
// same prefix have the same state. A proposer learns the outcome of its record
// by reading it back from the log.
package journal

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"carawayproxy.example/caraway/internal/fleet"
)

// Stream is the name of a stream of the log.
type Stream string

// Streams of the log. Ledger streams are numbered, see LedgerStream.
const (
	StreamConfig   Stream = "config"
	StreamControl  Stream = "control"
	StreamSnapshot Stream = "snapshot"
)

// Offset is the position of a record in its stream, starting at zero.
type Offset uint64

// Entry is one record as stored in the log.
type Entry struct {
	Offset  Offset
	Payload []byte
}

// Page is the result of a read.
type Page struct {
	Entries []Entry
	Oldest  Offset // oldest offset still in the log
	Next    Offset // offset of the next record to be appended
}

// ErrNotAppended is returned for an append that provably had no effect. After
// any other error of Append, the records may be in the log.
var ErrNotAppended = errors.New("not appended")

// Log is the interface to the platform's log service.
type Log interface {
	// Append adds payloads to the end of a stream, atomically and in order, and
	// returns the offset of the first.
	Append(ctx context.Context, stream Stream, payloads [][]byte) (Offset, error)
	// Read returns up to limit entries, starting at an offset. If there are
	// none yet, it waits up to wait for the first one.
	Read(ctx context.Context, stream Stream, from Offset, limit int, wait time.Duration) (Page, error)
}

// RecordID identifies a record, so that duplicates are detected.
type RecordID [16]byte

// Kind selects the rule that is applied to a record, for example "lease.claim".
type Kind string

// Record is the content of one entry, encoded as CBOR.
type Record struct {
	Format uint16         `cbor:"1,keyasint"`
	ID     RecordID       `cbor:"2,keyasint"`
	Kind   Kind           `cbor:"3,keyasint"`
	Author fleet.DaemonID `cbor:"4,keyasint"`
	// UnixMilli is the author's wall clock. It is informational: no rule
	// relies on it alone.
	UnixMilli int64  `cbor:"5,keyasint"`
	Body      []byte `cbor:"6,keyasint"`
	// Basis is the first offset that the author had not folded at the record's
	// first append. A record that lands DuplicateWindow or more offsets later
	// is rejected, so that no duplicate can arrive after its id has left the
	// window.
	Basis Offset `cbor:"7,keyasint"`
}

// Verdict is the decision about one record.
type Verdict struct {
	Accepted bool
	Reason   string // why the record was rejected
	// Detail is additional information for the proposer, for example the
	// existing entry. It never leaves the process.
	Detail any
}

// Accept returns the verdict for a record that counts.
func Accept() Verdict { return Verdict{Accepted: true} }

// Reject returns the verdict for a record that does not count.
func Reject(reason string) Verdict { return Verdict{Reason: reason} }

// Fold is the state of one aggregate over one stream. Apply is called in offset
// order and never concurrently; a Fold must synchronise it with its readers.
type Fold interface {
	// Kinds returns the record kinds that the fold handles.
	Kinds() []Kind
	// Apply decides about a record and applies it if it counts. The result
	// must depend only on the state and the arguments. An error means that the
	// record cannot be interpreted, and stops the replica.
	Apply(at Offset, r Record) (Verdict, error)
	// Snapshot returns the complete state. Equal states give equal bytes.
	Snapshot() ([]byte, error)
	// Restore replaces the state by that of a snapshot.
	Restore(data []byte) error
}

// Outcome is the outcome of a proposal as far as the proposer knows it.
type Outcome uint8

// Outcomes of a proposal.
const (
	// OutcomeUnknown: the record may be in the log, now or later.
	OutcomeUnknown Outcome = iota
	// OutcomeAccepted: the record is in the log and counts.
	OutcomeAccepted
	// OutcomeRejected: the record is in the log and does not count.
	OutcomeRejected
	// OutcomeNotAppended: the record is not in the log and never will be.
	OutcomeNotAppended
)

// Result is the result of a proposal.
type Result struct {
	Outcome Outcome
	Offset  Offset
	Verdict Verdict
	Err     error // set for OutcomeUnknown and OutcomeNotAppended
}

// State is the snapshot of a fold at an offset. It is stored in the snapshot
// stream of the log and sent to peers that start.
type State struct {
	Stream   Stream `cbor:"1,keyasint"`
	Next     Offset `cbor:"2,keyasint"` // first offset not in the state
	Format   uint16 `cbor:"3,keyasint"`
	Checksum uint64 `cbor:"4,keyasint"` // xxhash of Data
	Data     []byte `cbor:"5,keyasint"`
}

// Status is the progress of a replica.
type Status struct {
	Stream Stream
	Next   Offset // first offset not folded
	// ConfirmedAt is the latest time at which the replica is known to have
	// folded the whole stream, as read by this daemon or a peer. It is zero
	// until then.
	ConfirmedAt time.Time
	// LastLogResponse is the time of the log's last response to this daemon.
	LastLogResponse time.Time
	// Err is set once the replica has stopped folding.
	Err error
}

// Proposer appends records to one stream and returns their outcomes.
type Proposer interface {
	// Propose encodes body as CBOR, appends it as a record of the given kind
	// and waits until the outcome is known or ctx ends.
	Propose(ctx context.Context, kind Kind, body any) Result
	Status() Status
}

// PeerSource fetches states and entries from peers, for a daemon that starts or
// has lost the connection to the log.
type PeerSource interface {
	// FetchState returns the state of the peer that has folded the most.
	FetchState(ctx context.Context, stream Stream) (State, error)
	// FetchEntries returns entries starting at an offset, as a peer read them
	// from the log. It returns none if no peer has them.
	FetchEntries(ctx context.Context, stream Stream, from Offset, limit int) ([]Entry, error)
}
