// Package dispatch runs one request from admission to its final answer: attempts
// at groups, retries, resumption of interrupted streams, and the checks that an
// answer is complete and belongs to the request.
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

// InvocationAnswer is the complete answer to an Invocation.
type InvocationAnswer struct {
	Body     []byte
	Replayed bool // the answer was recorded by an earlier call with the same key
}

// Sink passes tokens to the caller, in order. An error means that the caller
// has disconnected.
type Sink func(tokens []backend.Token) error

// Router selects groups and tracks their load and health.
type Router interface {
	// Route selects a group for an attempt, based on the present state.
	Route(req routing.Request) routing.Decision
	// Started and Ended report attempts, so that the group's load is adjusted.
	Started(group fleet.GroupID, maxTokens uint32)
	Ended(group fleet.GroupID, maxTokens uint32)
	// Recheck reports whether the selected group may still be used. It is called
	// before an attempt is sent, and for forwarded requests again once there is a
	// connection.
	Recheck(c routing.Candidate) bool
	// Charge charges an attempt to the request rate that the group's leader
	// announces, and reports whether it may be sent under that rate and the pauses
	// that the leader asks for. It is called after Recheck, for each attempt of any
	// kind.
	Charge(c routing.Candidate) bool
	// IsLost reports whether the group can no longer answer in that epoch.
	IsLost(group fleet.GroupID, epoch fleet.Epoch) (lost bool)
	// GroupLost returns a channel that is closed once the group can no longer
	// answer in that epoch.
	GroupLost(group fleet.GroupID, epoch fleet.Epoch) <-chan struct{}
}

// Admission decides whether and when requests may start.
type Admission interface {
	Admit(now time.Time, req admission.Request) (Ticket, *fleet.Failure)
}

// Ticket represents an admitted request. It must be released exactly once.
type Ticket interface {
	Release(now time.Time, res admission.Result)
	// OverShare reports whether the request exceeds its workspace's fair share.
	OverShare() bool
}

// Ledger records non-idempotent requests.
type Ledger interface {
	// Begin records the intent and returns whether this call runs the request.
	Begin(ctx context.Context, key ledger.Key, digest uint64) ledger.Grant
	// Finish records the outcome. It continues to retry in the background while
	// the log is unavailable.
	Finish(ctx context.Context, token ledger.Token, answer ledger.Answer)
	// Abandon records that the request was never sent.
	Abandon(ctx context.Context, token ledger.Token)
	// Lookup returns the local entry for a key without accessing the log.
	Lookup(key ledger.Key, digest uint64) (ledger.Grant, bool)
	// IsGrantValid reports whether a grant is still valid. It is called
	// immediately before the request is sent.
	IsGrantValid(token ledger.Token) bool
	// RecordUnknown records that the request was sent without a reliable
	// answer. A later Finish replaces the record.
	RecordUnknown(ctx context.Context, token ledger.Token)
}

// Suspects classifies requests by the group deaths that they were involved in.
type Suspects interface {
	Judge(s suspect.Subjects) suspect.Ruling
	// OneMoreConvicts reports whether one more death would convict the request or a
	// part of its prompt.
	OneMoreConvicts(s suspect.Subjects) bool
	// Started and Ended record which requests are in flight on a group. survived
	// is set if the answer was complete and a success.
	Started(group fleet.GroupID, epoch fleet.Epoch, s suspect.Subjects)
	Ended(group fleet.GroupID, epoch fleet.Epoch, s suspect.Subjects, survived bool)
	// GroupDied reports that a group died while an attempt was in flight on it.
	GroupDied(group fleet.GroupID, epoch fleet.Epoch, fabric fleet.FabricDomain, name fleet.ServiceName)
}

// Refusals records which groups refuse requests, so that later requests are
// routed to other groups.
type Refusals interface {
	// Refused records that a group refused a request, and why.
	RecordRefusal(group fleet.GroupID, epoch fleet.Epoch, why routing.Refusal, now time.Time)
	// Answered records that a group answered a request.
	Reset(group fleet.GroupID, epoch fleet.Epoch)
}

// Rates learns the request rates that backend servers announce in their answers.
type Rates interface {
	// ObserveRate records an answer with a rate, in requests a second.
	ObserveRate(server fleet.InstanceID, perSecond float64, now time.Time)
	// ObserveNoRate records an answer without a rate to a request sent at sentAt.
	ObserveNoRate(server fleet.InstanceID, sentAt, now time.Time)
}

// Pauses learns for how long backend servers want no requests from this daemon.
type Pauses interface {
	// ObservePause records an answer that asks for a pause. The incarnation is that
	// which was known when the request was routed.
	ObservePause(server fleet.InstanceID, incarnation uint64, pause backend.Pause)
}

// Leavers learns that backend servers leave, from what they announce in answers.
type Leavers interface {
	// RecordLeaving records that the server announces that it leaves. The
	// incarnation is that which was known when the request was routed.
	RecordLeaving(server fleet.InstanceID, incarnation uint64)
}

// CatalogSource provides the configuration while it is recent enough to act on.
type CatalogSource interface {
	// Catalog returns the configuration in force, or a failure if it may be out
	// of date.
	Catalog() (*service.Catalog, *fleet.Failure)
}

// LivenessProber tells a backend server that has ended from one that only broke
// off an answer.
type LivenessProber interface {
	// HasEnded reports whether nothing listens at the address any more. It returns
	// false if that is unknown. A server that still takes connections is watched for
	// some time, because those of a process that ends are closed one after the other.
	HasEnded(ctx context.Context, address string, watch time.Duration) bool
	// MayBeReached connects to the address. It returns false if that fails, and not by
	// this daemon's own links.
	MayBeReached(ctx context.Context, address string) bool
}

var (
	_ Ledger   = (*ledger.Client)(nil)
	_ Suspects = (*suspect.Tracker)(nil)
	_ Suspects = (*suspect.Detector)(nil)
)
