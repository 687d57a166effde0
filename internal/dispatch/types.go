// Package dispatch carries one request through its life: admission, attempts
// at groups, retries, resumption of a cut stream, and the check that an answer
// is whole and belongs to the request.
package dispatch

import (
	"context"
	"time"

	"carawayproxy.example/caraway/internal/admission"
	"carawayproxy.example/caraway/internal/backend"
	"carawayproxy.example/caraway/internal/fleet"
	"carawayproxy.example/caraway/internal/ledger"
	"carawayproxy.example/caraway/internal/routing"
	"carawayproxy.example/caraway/internal/service"
	"carawayproxy.example/caraway/internal/suspect"
)

// Generation is a caller's request for a generation.
type Generation struct {
	ID        fleet.RequestID
	Workspace fleet.Workspace
	Service   fleet.ServiceName
	Version   fleet.Version // the default version when empty
	Adapter   fleet.Adapter
	Prompt    string
	MaxTokens uint32 // the service's limit when zero
	Priority  uint32
}

// Invocation is a caller's request for a method of a plain service.
type Invocation struct {
	ID             fleet.RequestID
	Workspace      fleet.Workspace
	Service        fleet.ServiceName
	Method         fleet.Method
	IdempotencyKey string
	Body           []byte
}

// InvocationAnswer is the whole answer to an Invocation.
type InvocationAnswer struct {
	Body     []byte
	Replayed bool // recorded by an earlier call with the same key
}

// Sink takes tokens to the caller, in order. An error means that the caller
// has gone.
type Sink func(tokens []backend.Token) error

// Router gives the present choice of group.
type Router interface {
	// Route chooses a group for an attempt now.
	Route(req routing.Request) routing.Decision
	// Started and Ended tell of a dispatch, so that load is corrected.
	Started(group fleet.GroupID, maxTokens uint32)
	Ended(group fleet.GroupID, maxTokens uint32)
	// Recheck is the wholeness gate asked immediately before an attempt is
	// sent: it reports whether the chosen group still may be used.
	Recheck(c routing.Candidate) bool
	// LostSince reports whether the group was seen dead or taken apart after
	// the moment, with the sighting's fabric domain.
	Lost(group fleet.GroupID, epoch fleet.Epoch) (lost bool)
	// Lapsed is closed once the group can no longer be trusted to answer.
	Lapsed(group fleet.GroupID, epoch fleet.Epoch) <-chan struct{}
}

// Admission lets requests start.
type Admission interface {
	Admit(now time.Time, req admission.Request) (Ticket, *fleet.Failure)
}

// Ticket is an admitted request's place; it is returned exactly once.
type Ticket interface {
	Release(now time.Time, res admission.Result)
	// Borrowed reports whether the request goes beyond its workspace's fair
	// share.
	Borrowed() bool
}

// Ledger records non-idempotent requests.
type Ledger interface {
	// Begin records the intent and says whether this call runs the request.
	Begin(ctx context.Context, key ledger.Key, digest uint64) ledger.Grant
	// Finish records the outcome. It keeps trying after it returns when the
	// log is down.
	Finish(ctx context.Context, token ledger.Token, answer ledger.Answer)
	// Abandon records that the request was never sent.
	Abandon(ctx context.Context, token ledger.Token)
	// Lookup says what is known of a key without asking the log.
	Lookup(key ledger.Key, digest uint64) (ledger.Grant, bool)
	// Holds reports whether a grant still stands, immediately before the
	// request is sent.
	Holds(token ledger.Token) bool
	// Doubt records that the request was sent and got no answer that can be
	// trusted. A later Finish replaces it.
	Doubt(ctx context.Context, token ledger.Token)
}

// Suspects tells how requests stand and learns of group deaths.
type Suspects interface {
	Standing(f suspect.Fingerprint) suspect.Standing
	// Started and Ended keep what is in flight on a group.
	Started(group fleet.GroupID, epoch fleet.Epoch, f suspect.Fingerprint)
	Ended(group fleet.GroupID, epoch fleet.Epoch, f suspect.Fingerprint)
	// Died tells that an attempt ended by the group's death.
	Died(group fleet.GroupID, epoch fleet.Epoch, fabric fleet.FabricDomain, name fleet.ServiceName)
}

// Refusals learns which groups refuse requests, so that the next ones go
// elsewhere.
type Refusals interface {
	// Refused tells that a group refused a request, and why.
	Refused(group fleet.GroupID, epoch fleet.Epoch, why routing.Refusal, now time.Time)
	// Answered tells that a group answers one.
	Answered(group fleet.GroupID, epoch fleet.Epoch)
}

// Knowledge tells whether the daemon knows enough of the present to act.
type Knowledge interface {
	// Catalog returns the configuration in force, and a failure instead when
	// it may be out of date.
	Catalog() (*service.Catalog, *fleet.Failure)
}

var (
	_ Ledger   = (*ledger.Client)(nil)
	_ Suspects = (*suspect.Tracker)(nil)
)
