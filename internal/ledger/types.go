// Package ledger records the non-idempotent requests, so that each runs at most
// once. Its aggregate Entry follows a request from intent to outcome. The first
// intent for a key in the log wins; only its owner may run the request, once.
package ledger

import (
	"time"

	"carawayproxy.example/caraway/internal/fleet"
)

// Key identifies a non-idempotent request by the caller's idempotency key within
// its workspace and service.
type Key struct {
	Workspace fleet.Workspace
	Service   fleet.ServiceName
	Caller    string
}

// Phase is the state of an entry.
type Phase string

// Phases of an entry.
const (
	// PhaseIntent: the owner may be running the request.
	PhaseIntent Phase = "intent"
	// PhaseDone: the request ran and its outcome is recorded.
	PhaseDone Phase = "done"
	// PhaseUnknown: the request was sent and the owner no longer waits for the
	// answer. A late answer may still replace this phase.
	PhaseUnknown Phase = "unknown"
	// PhaseAbandoned: the owner did not send the request; the next intent for
	// the key may win.
	PhaseAbandoned Phase = "abandoned"
)

// Answer is the recorded outcome of a request.
type Answer struct {
	Body   []byte // empty if larger than the inline limit
	Digest uint64 // xxhash of the complete body
	Size   int
	// Failed is set if the backend server answered with an error, which is as
	// final as any other answer.
	Failed  bool
	Message string
}

// Whole reports whether the answer has its complete body.
func (a Answer) Whole() bool { return len(a.Body) == a.Size }

// Entry is the state of one key. Entries are immutable.
type Entry struct {
	Key    Key
	Phase  Phase
	Intent IntentID // the winning intent
	Owner  fleet.DaemonID
	Digest uint64
	Answer Answer // set in PhaseDone
	// ExpiresAt is when the key expires, in Unix milliseconds of the fold's
	// clock.
	ExpiresAt int64
	// AbandonedIntents lists intents that can no longer win.
	AbandonedIntents []IntentID
}

// Decision is what the caller of Begin has to do next.
type Decision uint8

// Decisions of Begin.
const (
	// Refused: the request is not run; Failure has the reason.
	Refused Decision = iota
	// Run: this call owns the intent and runs the request, once.
	Run
	// Replay: the request has already run; Answer has its outcome.
	Replay
	// Await: an earlier call with the key has no outcome yet. Only Lookup
	// returns it; Begin waits instead.
	Await
)

// Grant is the result of Begin.
type Grant struct {
	Decision Decision
	Token    Token
	Answer   Answer
	Failure  *fleet.Failure
}

// IntentID identifies one intent. Each attempt to begin gets a new random one.
type IntentID [16]byte

// Token identifies a granted intent, for IsGrantValid, Finish,
// RecordUnknown and Abandon.
type Token struct {
	Key    Key
	Intent [16]byte
	// GrantedAt is the local, monotonic time of the grant.
	GrantedAt time.Time
}
