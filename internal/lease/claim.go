package lease

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"carawayproxy.example/caraway/internal/feed"
)

// ErrPositionConflict is returned by ClaimLog.Write if the log does not end at the
// expected position. Nothing was written.
var ErrPositionConflict = errors.New("claim log does not end at the expected position")

// ClaimEntry is a record of a claim log. The member that wrote it holds the
// scope for TTL, counted from when it sent the record.
type ClaimEntry struct {
	// Member is the holder, empty if the scope was released.
	Member string
	// Term is the term of the hold. No other member has a hold of this term.
	Term Term
	// Serial counts the write attempts of the member, including failed ones.
	Serial uint64
	TTL    time.Duration
	// Era is that of the log when the record was written. HasEra is not set in records
	// of releases until ff36b26, which do not name it.
	Era    uint64
	HasEra bool
}

// Tail describes the end of a claim log.
type Tail struct {
	// End is the position of the next record.
	End feed.Position
	// Last is the newest record. It is nil if the log is empty or the record
	// cannot be decoded; in the latter case Unreadable holds the error.
	Last       *ClaimEntry
	Unreadable error
}

// vacant reports whether the scope has no holder: it was never claimed, or the
// last holder released it.
func (t Tail) vacant() bool {
	return t.End.Offset == 0 || t.Last != nil && t.Last.Member == ""
}

// isCurrent reports whether the last record was written since the log last came back
// from an older copy, which lacks the newest records: those may have been claims. It is
// unknown for records of releases that name no era, and for an empty log.
func (t Tail) isCurrent() (current, known bool) {
	switch {
	case t.End.Era == 0: // the log does not come back from copies
		return true, true
	case t.Last == nil || !t.Last.HasEra:
		return false, false
	default:
		return t.Last.Era == t.End.Era, true
	}
}

// ClaimLog is the log by which daemons agree on the holder of a scope. A write
// is conditional on the position at which the writer expects the log to end, so
// of several concurrent writers one succeeds and the others get
// ErrPositionConflict.
type ClaimLog interface {
	// Tail reads the end of the log.
	Tail(ctx context.Context) (Tail, error)
	// Write appends a record at the given position. It returns
	// ErrPositionConflict if the log ends at another position, also in an earlier or a
	// later era. After any other error the record may have been written, or may still
	// be written as long as the log ends there.
	Write(ctx context.Context, at feed.Position, c ClaimEntry) error
}
