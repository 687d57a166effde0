// Package lease implements leases: the right of one daemon to do the control
// work of one scope. The term of a lease is the fencing token of every order
// that is issued under it.
package lease

import (
	"time"

	"carawayproxy.example/caraway/internal/fleet"
)

// Scope names one part of the control work, for example "placement/07".
type Scope string

// Term numbers the successive holders of a scope, starting at one.
type Term uint64

// Lease is the state of one scope in the control stream.
type Lease struct {
	Scope  Scope
	Term   Term
	Holder fleet.DaemonID
	// Renewals is the number of the latest accepted renewal of this term. It
	// grows while the holder renews. Lost renewals leave gaps in the numbers.
	Renewals uint64
	Released bool
}

// Hold is a holder's right to act for a scope until ValidUntil, on the holder's
// own monotonic clock.
type Hold struct {
	Scope      Scope
	Term       Term
	ValidUntil time.Time
}

// Valid reports whether the hold is valid at the given time.
func (h Hold) Valid(now time.Time) bool { return h.Term > 0 && now.Before(h.ValidUntil) }

// Holder reports which scopes this daemon holds.
type Holder interface {
	// Held returns the daemon's own hold on a scope. The caller must check
	// Valid again immediately before it acts.
	Held(scope Scope) (Hold, bool)
}

// Terms returns the current lease of a scope, for rules that fence by its term.
type Terms interface {
	Current(scope Scope) (Lease, bool)
}
