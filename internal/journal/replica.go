package journal

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"golang.org/x/time/rate"

	"carawayproxy.example/caraway/internal/event"
	"carawayproxy.example/caraway/internal/fleet"
	"carawayproxy.example/caraway/internal/invariant"
)

// DefaultWait is how long a read of a quiet stream waits.
const DefaultWait = 2 * time.Second

// Config sets up a Replica.
type Config struct {
	Stream Stream
	Self   fleet.DaemonID // must differ from that of any other live process
	Log    Log
	Fold   Fold
	// Budget bounds the appends a second of all streams of the daemon; nil
	// for no bound.
	Budget *rate.Limiter
	// Peers stand in while the log does not answer; may be nil.
	Peers   PeerSource
	Events  *event.Logger
	Metrics metrics.Registry // may be nil
	// Wait is how long a read of a quiet stream waits, DefaultWait when zero.
	// ConfirmedAt is at most two waits and two round trips old on a healthy
	// log.
	Wait time.Duration
}

// LedgerStream names the ledger stream of one shard, from zero.
func LedgerStream(shard int) Stream { return Stream(fmt.Sprintf("ledger-%02d", shard)) }

// Replica keeps one daemon's fold of one stream up to date and appends the
// daemon's proposals to it. It is safe for concurrent use.
type Replica struct {
	cfg    Config
	events *event.Logger
	counts counters
	known  map[Kind]bool
	kick   chan struct{} // wakes the append loop

	mu          sync.Mutex
	next        Offset
	started     bool
	closed      bool
	needState   bool // records have expired and no snapshot was found
	logDown     bool
	confirmedAt time.Time
	logAt       time.Time
	err         error
	peerNext    Offset // highest next offset that a peer told of
	changed     chan struct{}
	window      *window
	ring        ring
	queue       []*proposal            // to be appended, oldest first
	pending     map[RecordID]*proposal // not settled
}

var _ Proposer = (*Replica)(nil)

// NewReplica returns a replica that does nothing until Run.
func NewReplica(cfg Config) *Replica {
	if cfg.Wait == 0 {
		cfg.Wait = DefaultWait
	}
	r := &Replica{
		cfg:     cfg,
		events:  cfg.Events.With("stream", cfg.Stream),
		counts:  newCounters(cfg.Metrics, cfg.Stream),
		known:   map[Kind]bool{},
		kick:    make(chan struct{}, 1),
		changed: make(chan struct{}),
		window:  newWindow(),
		pending: map[RecordID]*proposal{},
	}
	for _, k := range cfg.Fold.Kinds() {
		r.known[k] = true
	}
	return r
}

// Run keeps the replica going until ctx ends. It must be called once.
func (r *Replica) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { r.tailLoop(ctx) })
	wg.Go(func() { r.appendLoop(ctx) })
	wg.Go(func() { r.peerLoop(ctx) })
	wg.Wait()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
	r.settleAll(ErrClosed)
}

// Status returns how far the replica has come.
func (r *Replica) Status() Status {
	r.mu.Lock()
	defer r.mu.Unlock()
	return Status{
		Stream:      r.cfg.Stream,
		Next:        r.next,
		ConfirmedAt: r.confirmedAt,
		LogAt:       r.logAt,
		Err:         r.err,
	}
}

// Changed returns a channel that is closed at the next change of the status.
func (r *Replica) Changed() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.changed
}

// Confirm takes in that a peer's log showed next as the stream's end at the
// local time at.
func (r *Replica) Confirm(next Offset, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.peerNext = max(r.peerNext, next)
	r.confirm(next, at)
}

// confirm moves ConfirmedAt if nothing before end is missing. The caller
// holds mu.
func (r *Replica) confirm(end Offset, at time.Time) {
	if !r.started || r.err != nil || r.next < end || !at.After(r.confirmedAt) {
		return
	}
	r.confirmedAt = at
	r.notify()
}

// notify wakes the waiters of Changed. The caller holds mu.
func (r *Replica) notify() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// Offer folds entries that a peer relayed as far as they are contiguous, and
// returns the first offset not folded.
func (r *Replica) Offer(entries []Entry) Offset {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.started {
		_ = r.fold(entries) // a gap is for the next read or Adopt
	}
	return r.next
}

// Entries returns up to limit of the entries folded last, from an offset on,
// for a peer. It returns nil if the first is not held any more.
func (r *Replica) Entries(from Offset, limit int) []Entry {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ring.from(from, limit)
}

// start marks the state as one to fold on from. The caller holds mu.
func (r *Replica) start() {
	if r.started {
		return
	}
	r.started = true
	r.events.Emit(eventStarted, "next", r.next)
	r.notify()
	r.wake()
}

// stop ends the folding for good. The caller holds mu.
func (r *Replica) stop(err error) {
	r.err = err
	r.events.Emit(eventStopped, "next", r.next, "err", err)
	r.settleAll(err)
	r.notify()
}

func (r *Replica) moveTo(next Offset) {
	invariant.Check(next >= r.next, "journal.forward", "stream %s from %d back to %d", r.cfg.Stream, r.next, next)
	r.next = next
}
