// Package lease holds the aggregate Lease: the right of one daemon to do the
// control work of one scope. Its term is the fencing token of every order
// written under it.
package lease

import (
	"time"

	"carawayproxy.example/caraway/internal/fleet"
)

// Scope names one share of the control work, for example "placement/07".
type Scope string

// Term counts the holders of a scope, from one.
type Term uint64

// Lease is the state of one scope in the control stream.
type Lease struct {
	Scope  Scope
	Term   Term
	Holder fleet.DaemonID
	// Renewals is the number of the latest renewal of this term that counts.
	// It grows while the holder renews; a renewal that was lost leaves a gap
	// in the numbers.
	Renewals uint64
	Released bool
}

// Hold is the right to act that a holder has until a moment on its own
// monotonic clock.
type Hold struct {
	Scope      Scope
	Term       Term
	ValidUntil time.Time
}

// Valid reports whether the hold still stands.
func (h Hold) Valid(now time.Time) bool { return h.Term > 0 && now.Before(h.ValidUntil) }

// Holder tells whether this daemon holds a scope.
type Holder interface {
	// Held returns the daemon's own hold on a scope. The caller checks
	// Valid again immediately before it acts.
	Held(scope Scope) (Hold, bool)
}

// Terms tells the current term of a scope, for rules that fence by it.
type Terms interface {
	Current(scope Scope) (Lease, bool)
}
