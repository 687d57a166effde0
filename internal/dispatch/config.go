package dispatch

import (
	"time"

	metrics "github.com/rcrowley/go-metrics"

	"carawayproxy.example/caraway/internal/backend"
	"carawayproxy.example/caraway/internal/event"
	"carawayproxy.example/caraway/internal/fleet"
)

// Config sets up a Dispatcher.
type Config struct {
	Self      fleet.DaemonID
	Zone      fleet.Zone
	Router    Router
	Admission Admission
	Ledger    Ledger
	Suspects  Suspects
	Knowledge Knowledge
	Engines   backend.Engines
	Plains    backend.Plains
	// Refusals is told of refusals by groups; nil for nobody.
	Refusals Refusals
	// Opaques takes the requests of Forward, and Pulse tells which groups
	// have stopped; nil for not following them.
	Opaques backend.Opaques
	Pulse   Pulse
	Events  *event.Logger
	Metrics metrics.Registry
	// Daemons tells how many daemons share the groups' capacity; one when
	// nil.
	Daemons func() int

	// RetryRatio is how many retries each request adds to a service's credit
	// where the service does not say; 0.2 when zero.
	RetryRatio float64
	// RetryBurst is the largest credit of retries that a service has at this
	// daemon; 64 when nil.
	RetryBurst func() int

	Timings
}

// Timings are the time bounds of a Dispatcher. Zero means the default.
type Timings struct {
	// StallTimeout is the longest wait for the next token; twice the
	// predicted wait counts for the first one when that is longer. 5 s.
	StallTimeout time.Duration
	// StragglerGap is the mean time between tokens from which a group is
	// given up when there is another one to go to. 500 ms.
	StragglerGap time.Duration
	// CancelTimeout bounds telling an engine that an attempt is over. 2 s.
	CancelTimeout time.Duration
	// DeathGrace is how long a failed attempt waits for news of its group's
	// death before its request counts as not involved. 5 s.
	DeathGrace time.Duration
	// OutcomeGrace is how long a non-idempotent call that was sent goes on
	// after its caller's deadline, so that its outcome is recorded. 10 s.
	OutcomeGrace time.Duration
	// SilencePatience is how long a stream that has had events stays with a
	// group that has stopped before it goes on elsewhere. 300 ms.
	SilencePatience time.Duration
	// BackoffBase and BackoffMax bound the wait before another attempt.
	// 10 ms and 250 ms.
	BackoffBase, BackoffMax time.Duration
	// DefaultDeadline and MaxDeadline count for services that set none. 60 s
	// and 10 min.
	DefaultDeadline, MaxDeadline time.Duration
}

// Defaults of a service's limits that its file leaves out.
const (
	defaultMaxAttempts  = 3
	defaultRetryRatio   = 0.2
	defaultMaxBodyBytes = 1 << 20
	defaultMaxTokens    = 4096
	defaultShare        = 1.0
)

// When callers are asked to come back.
const (
	retryAfterDrain    = 200 * time.Millisecond
	retryAfterNoGroup  = time.Second
	retryAfterFailed   = time.Second
	retryAfterDeadline = time.Second
	retryAfterAlone    = 2 * time.Second
)

// maxRechecks bounds how often a choice that no longer stands is replaced
// before one attempt.
const maxRechecks = 8

func (t Timings) withDefaults() Timings {
	set := func(d *time.Duration, def time.Duration) {
		if *d == 0 {
			*d = def
		}
	}
	set(&t.StallTimeout, 5*time.Second)
	set(&t.StragglerGap, 500*time.Millisecond)
	set(&t.CancelTimeout, 2*time.Second)
	set(&t.DeathGrace, 5*time.Second)
	set(&t.OutcomeGrace, 10*time.Second)
	set(&t.SilencePatience, 300*time.Millisecond)
	set(&t.BackoffBase, 10*time.Millisecond)
	set(&t.BackoffMax, 250*time.Millisecond)
	set(&t.DefaultDeadline, time.Minute)
	set(&t.MaxDeadline, 10*time.Minute)
	return t
}
