package lease

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// ErrMoved: the log does not end where a record was to be written, so nothing
// was written.
var ErrMoved = errors.New("the log of claims ends elsewhere")

// ClaimEntry is a record of a claim log: its writer holds the scope for the time to
// live from when it sent the record.
type ClaimEntry struct {
	// Member is the holder, empty when the scope was given back.
	Member string
	// Term is that of the hold: one more than the position of its first record.
	Term Term
	// Serial counts the writes of the hold, those too that came to nothing.
	Serial uint64
	TTL    time.Duration
}

// Tail is how a claim log ends.
type Tail struct {
	// End is the position that the next record gets.
	End uint64
	// Last is the newest record, nil while there is none or none that can be
	// read; Unreadable says why not.
	Last       *ClaimEntry
	Unreadable error
}

// vacant reports whether nobody holds the scope: no claim was ever made, or the
// last one was given back.
func (t Tail) vacant() bool {
	return t.End == 0 || t.Last != nil && t.Last.Member == ""
}

// ClaimLog is the log in which daemons agree who holds a scope. A record is
// written only where its writer expects the log to end, so that of several
// writers one goes through and the others learn of it.
type ClaimLog interface {
	// Tail returns how the log ends.
	Tail(ctx context.Context) (Tail, error)
	// Write appends a record at a position. ErrMoved tells that the log ends
	// elsewhere; any other error leaves open whether the record is written, or
	// will be while the log still ends there.
	Write(ctx context.Context, at uint64, c ClaimEntry) error
}
