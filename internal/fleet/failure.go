package fleet

import (
	"fmt"
	"time"
)

// Reason is a short, fixed, machine-readable cause of a failed request.
type Reason string

// Reasons of failures.
const (
	ReasonInvalid       Reason = "invalid"        // a field is wrong
	ReasonUnknown       Reason = "unknown"        // a named thing does not exist
	ReasonForbidden     Reason = "forbidden"      // the workspace may not use the service
	ReasonOverloaded    Reason = "overloaded"     // over a limit or the workspace's fair share
	ReasonNoGroup       Reason = "no_group"       // no complete, healthy group
	ReasonDeadline      Reason = "deadline"       // cannot or did not finish before the deadline
	ReasonBackendFailed Reason = "backend_failed" // every attempt failed
	ReasonSuspect       Reason = "suspect"        // resembles requests that crash backend servers
	ReasonKeyInUse      Reason = "key_in_use"     // another call with this key has no outcome yet
	ReasonKeyMismatch   Reason = "key_mismatch"   // the key was used for another request
	ReasonKeyExpired    Reason = "key_expired"    // the key is older than the key window
	ReasonLogDown       Reason = "log_down"       // a record that the request requires cannot be written
	ReasonStale         Reason = "stale"          // the daemon's state is too old
	ReasonDraining      Reason = "draining"       // the daemon is stopping
	ReasonCanceled      Reason = "canceled"       // the caller canceled the request or disconnected
)

// Failure is the outcome of a request without a complete response. Dispatch and
// admission return it as a value, and gateways convert it to a protocol error.
type Failure struct {
	State      RunState
	Reason     Reason
	Field      string        // invalid request field, empty if none
	RetryAfter time.Duration // zero if a retry does not help
	Message    string
}

// Error returns the failure as one line.
func (f *Failure) Error() string {
	if f.Field != "" {
		return fmt.Sprintf("%s: %s (%s)", f.Field, f.Message, f.State)
	}
	return fmt.Sprintf("%s (%s)", f.Message, f.State)
}

// NewNotRunFailure returns the failure of a request that was not run.
func NewNotRunFailure(reason Reason, retryAfter time.Duration, format string, args ...any) *Failure {
	return &Failure{State: NotRun, Reason: reason, RetryAfter: retryAfter, Message: fmt.Sprintf(format, args...)}
}

// NewInvalidFieldFailure returns the failure of a request with an invalid field.
func NewInvalidFieldFailure(field, format string, args ...any) *Failure {
	return &Failure{State: NotRun, Reason: ReasonInvalid, Field: field, Message: fmt.Sprintf(format, args...)}
}

// NewUncertainFailure returns the failure of a request that may have run.
func NewUncertainFailure(reason Reason, retryAfter time.Duration, format string, args ...any) *Failure {
	return &Failure{State: MayHaveRun, Reason: reason, RetryAfter: retryAfter, Message: fmt.Sprintf(format, args...)}
}
