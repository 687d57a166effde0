// Package ledger holds the aggregate Entry: the life of one non-idempotent
// request from intent to outcome. The first intent for a key in the log wins;
// only its owner may run the request, once.
package ledger

import (
	"time"

	"carawayproxy.example/caraway/internal/fleet"
)

// Key identifies a non-idempotent request: a caller's idempotency key within
// its workspace and service.
type Key struct {
	Workspace fleet.Workspace
	Service   fleet.ServiceName
	Caller    string
}

// Phase is how far an entry has come.
type Phase string

// Phases of an entry.
const (
	// PhaseIntent: its owner may be running it.
	PhaseIntent Phase = "intent"
	// PhaseDone: it ran, the outcome is recorded.
	PhaseDone Phase = "done"
	// PhaseUnknown: it was sent and its owner has given up waiting for the
	// answer. A late answer may still replace it.
	PhaseUnknown Phase = "unknown"
	// PhaseAbandoned: its owner never sent it; the next intent may win.
	PhaseAbandoned Phase = "abandoned"
)

// Answer is the recorded outcome of a request.
type Answer struct {
	Body   []byte // absent when larger than the inline limit
	Digest uint64 // xxhash of the whole body
	Size   int
	// Failed is set when the backend server answered with an error of its
	// own, which is as final as any other answer.
	Failed  bool
	Message string
}

// Whole reports whether the answer holds its body.
func (a Answer) Whole() bool { return len(a.Body) == a.Size }

// Entry is the state of one key. Values are immutable.
type Entry struct {
	Key    Key
	Phase  Phase
	Intent IntentID // the winning one
	Owner  fleet.DaemonID
	Digest uint64
	Answer Answer // when done
	// ExpiresAt is when the key is forgotten, in Unix milliseconds of the
	// stream's time.
	ExpiresAt int64
	// AbandonedIntents lists intents that lost their right to win.
	AbandonedIntents []IntentID
}

// Decision says what the caller of Begin does next.
type Decision uint8

// Decisions of Begin.
const (
	// Refused: see Failure.
	Refused Decision = iota
	// Run: this call owns the intent and runs the request, once.
	Run
	// Replay: the request ran before; Answer has its outcome.
	Replay
	// Await: an earlier call with the key has no outcome yet. Only Lookup
	// says so; Begin waits.
	Await
)

// Grant is the outcome of Begin.
type Grant struct {
	Decision Decision
	Token    Token
	Answer   Answer
	Failure  *fleet.Failure
}

// IntentID names one intent. A daemon draws a new one for each try.
type IntentID [16]byte

// Token proves to Finish and Abandon which intent is meant.
type Token struct {
	Key    Key
	Intent [16]byte
	// GrantedAt is the local, monotonic time of the grant.
	GrantedAt time.Time
}
