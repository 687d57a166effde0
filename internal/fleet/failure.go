package fleet

import (
	"fmt"
	"time"
)

// Reason is a short fixed word that tells a program why a request failed.
type Reason string

// Reasons of failure.
const (
	ReasonInvalid       Reason = "invalid"        // a field is wrong
	ReasonUnknown       Reason = "unknown"        // a named thing does not exist
	ReasonForbidden     Reason = "forbidden"      // the workspace may not use the service
	ReasonOverloaded    Reason = "overloaded"     // over a limit or a fair share
	ReasonNoGroup       Reason = "no_group"       // no whole, healthy group
	ReasonDeadline      Reason = "deadline"       // can't or didn't end in time
	ReasonBackendFailed Reason = "backend_failed" // every attempt failed
	ReasonSuspect       Reason = "suspect"        // resembles requests that crash backend servers
	ReasonKeyInUse      Reason = "key_in_use"     // a call with this key has no outcome yet
	ReasonKeyMismatch   Reason = "key_mismatch"   // the key was used for another request
	ReasonKeyExpired    Reason = "key_expired"    // the key is older than the window
	ReasonLogDown       Reason = "log_down"       // what must be recorded can't be
	ReasonStale         Reason = "stale"          // the daemon's knowledge is too old
	ReasonDraining      Reason = "draining"       // the daemon is stopping
	ReasonCanceled      Reason = "canceled"       // the caller went away
)

// Failure is the outcome of a request that got no whole answer. It is a
// value: dispatch and admission return it, gateways turn it into an error.
type Failure struct {
	State      RunState
	Reason     Reason
	Field      string        // request field at fault, if one is
	RetryAfter time.Duration // zero when coming back does not help
	Message    string
}

// Error describes the failure in one line.
func (f *Failure) Error() string {
	if f.Field != "" {
		return fmt.Sprintf("%s: %s (%s)", f.Field, f.Message, f.State)
	}
	return fmt.Sprintf("%s (%s)", f.Message, f.State)
}

// Refuse makes the failure of a request that was not run.
func Refuse(reason Reason, retryAfter time.Duration, format string, args ...any) *Failure {
	return &Failure{State: NotRun, Reason: reason, RetryAfter: retryAfter, Message: fmt.Sprintf(format, args...)}
}

// RefuseField makes the failure of a request with a wrong field.
func RefuseField(field, format string, args ...any) *Failure {
	return &Failure{State: NotRun, Reason: ReasonInvalid, Field: field, Message: fmt.Sprintf(format, args...)}
}

// Uncertain makes the failure of a request that may have run.
func Uncertain(reason Reason, retryAfter time.Duration, format string, args ...any) *Failure {
	return &Failure{State: MayHaveRun, Reason: reason, RetryAfter: retryAfter, Message: fmt.Sprintf(format, args...)}
}
