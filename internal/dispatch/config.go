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
	Self          fleet.DaemonID
	Zone          fleet.Zone
	Router        Router
	Admission     Admission
	Ledger        Ledger
	Suspects      Suspects
	CatalogSource CatalogSource
	Engines       backend.Engines
	Plains        backend.Plains
	// Refusals receives the refusals of attempts by groups; may be nil.
	Refusals Refusals
	// Rates learns the request rates of backend servers; nil if they announce none.
	Rates Rates
	// Pauses learns the pauses that backend servers ask for; nil if they ask for none.
	Pauses Pauses
	// Leavers learns which backend servers leave; nil if they do not announce it.
	Leavers Leavers
	// LinksLost returns a channel that is closed while this daemon's own links to
	// the backend servers are lost; nil if that is not tracked. Attempts on
	// connections that have fallen silent then move.
	LinksLost func() <-chan struct{}
	// LivenessProber, if not nil, decides whether a failed attempt's group died.
	// Otherwise the loss of the group does.
	LivenessProber LivenessProber
	// Opaques sends the requests of Forward.
	Opaques backend.Opaques
	// StallDetector may be nil, which disables stall detection.
	StallDetector StallDetector
	Events        *event.Logger
	Metrics       metrics.Registry
	// AnswerMemory is the number of bytes that the answers which Forward buffers may take
	// together, until their callers have read them; DefaultAnswerMemory when zero.
	AnswerMemory int
	// Daemons returns the number of daemons that share the groups' capacity;
	// nil means one.
	Daemons func() int

	// RetryRatio is the retry credit that each request adds to its service,
	// for services that configure none; 0.2 when zero.
	RetryRatio float64
	// RetryBurst returns the maximum retry credit of a service at this daemon;
	// 64 when nil.
	RetryBurst func() int

	Timings
}

// Timings are the timeouts of a Dispatcher. Zero values select the defaults,
// which are given with each field.
type Timings struct {
	// StallTimeout is the maximum wait for the next token. For the first token
	// it is raised to twice the predicted queueing time if that is longer. 5 s.
	StallTimeout time.Duration
	// StragglerGap is the mean time between tokens above which a generation
	// moves to another group, if one is available. 500 ms.
	StragglerGap time.Duration
	// CancelTimeout bounds the call that cancels an attempt at its engine. 2 s.
	CancelTimeout time.Duration
	// DeathGrace is how long after a failed attempt the death of its group is
	// still attributed to the request. 5 s.
	DeathGrace time.Duration
	// ProbeDelay is the time before a backend server that still accepted a
	// connection after a failed attempt is probed again. 250 ms.
	ProbeDelay time.Duration
	// OutcomeGrace is how long a non-idempotent call that was sent continues
	// after its caller's deadline, so that its outcome is recorded. 10 s.
	OutcomeGrace time.Duration
	// ConnectPatience is how long an attempt of Forward waits for its connection before it
	// goes to another group, if there is one. Nothing has been sent by then. Zero leaves
	// the end to the dial.
	ConnectPatience time.Duration
	// StallGrace is how much longer a stream that has received events stays with
	// a stalled group before it moves to another one. 300 ms.
	StallGrace time.Duration
	// BackoffBase and BackoffMax bound the backoff before a retry. 10 ms and
	// 250 ms.
	BackoffBase, BackoffMax time.Duration
	// DefaultDeadline and MaxDeadline apply to services that configure none.
	// 60 s and 10 min.
	DefaultDeadline, MaxDeadline time.Duration
}

// Defaults of the limits that a service's configuration omits.
const (
	defaultMaxAttempts  = 3
	defaultRetryRatio   = 0.2
	defaultMaxBodyBytes = 1 << 20
	defaultMaxTokens    = 4096
	defaultShare        = 1.0
)

// Retry-After values by failure reason, before jitter.
const (
	retryAfterDrain    = 200 * time.Millisecond
	retryAfterNoGroup  = time.Second
	retryAfterFailed   = time.Second
	retryAfterDeadline = time.Second
	retryAfterAlone    = 2 * time.Second
	// retryAfterRateMax bounds the wait for a share of an announced request rate.
	// Other daemons may have one sooner.
	retryAfterRateMax = 3 * time.Second
	// retryAfterPauseMin is the shortest wait for the end of a pause that a backend
	// server has asked for. Only that server's word, not a guess, sets the wait.
	retryAfterPauseMin = 100 * time.Millisecond
)

// maxRechecks bounds how many selected groups may fail the recheck before one
// attempt.
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
	set(&t.ProbeDelay, 250*time.Millisecond)
	set(&t.OutcomeGrace, 10*time.Second)
	set(&t.StallGrace, 300*time.Millisecond)
	set(&t.BackoffBase, 10*time.Millisecond)
	set(&t.BackoffMax, 250*time.Millisecond)
	set(&t.DefaultDeadline, time.Minute)
	set(&t.MaxDeadline, 10*time.Minute)
	return t
}
