package lease

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// ErrPositionConflict is returned by ClaimLog.Write if the log does not end at the
// expected position. Nothing was written.
var ErrPositionConflict = errors.New("claim log does not end at the expected position")

// ClaimEntry is a record of a claim log. The member that wrote it holds the
// scope for TTL, counted from when it sent the record.
type ClaimEntry struct {
	// Member is the holder, empty if the scope was released.
	Member string
	// Term is the term of the hold: the position of its first record plus one.
	Term Term
	// Serial counts the write attempts of the member, including failed ones.
	Serial uint64
	TTL    time.Duration
}

// Tail describes the end of a claim log.
type Tail struct {
	// End is the position of the next record.
	End uint64
	// Last is the newest record. It is nil if the log is empty or the record
	// cannot be decoded; in the latter case Unreadable holds the error.
	Last       *ClaimEntry
	Unreadable error
}

// vacant reports whether the scope has no holder: it was never claimed, or the
// last holder released it.
func (t Tail) vacant() bool {
	return t.End == 0 || t.Last != nil && t.Last.Member == ""
}

// ClaimLog is the log by which daemons agree on the holder of a scope. A write
// is conditional on the position at which the writer expects the log to end, so
// of several concurrent writers one succeeds and the others get
// ErrPositionConflict.
type ClaimLog interface {
	// Tail reads the end of the log.
	Tail(ctx context.Context) (Tail, error)
	// Write appends a record at the given position. It returns
	// ErrPositionConflict if the log ends at another position. After any other
	// error the record may have been written, or may still be written as long
	// as the log ends there.
	Write(ctx context.Context, at uint64, c ClaimEntry) error
}
