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

// DefaultWait is the default for Config.Wait.
const DefaultWait = 2 * time.Second

// Config is the configuration of a Replica.
type Config struct {
	Stream Stream
	Self   fleet.DaemonID // must be unique among the running daemons
	Log    Log
	Fold   Fold
	// Budget limits the append rate of all streams of the daemon together; nil
	// means no limit.
	Budget *rate.Limiter
	// Peers supplies entries and states while the log does not respond; may be
	// nil.
	Peers   PeerSource
	Events  *event.Logger
	Metrics metrics.Registry // may be nil
	// Wait is the long-poll time of a read at the end of the stream,
	// DefaultWait if zero. With a healthy log, ConfirmedAt is at most two waits
	// and two round trips old.
	Wait time.Duration
}

// LedgerStream returns the name of a shard's ledger stream. Shards are numbered
// from zero.
func LedgerStream(shard int) Stream { return Stream(fmt.Sprintf("ledger-%02d", shard)) }

// Replica folds one stream on one daemon and appends the daemon's proposals to
// it. It is safe for concurrent use.
type Replica struct {
	cfg          Config
	events       *event.Logger
	counts       counters
	known        map[Kind]bool
	appendSignal chan struct{} // wakes the append loop

	mu              sync.Mutex
	next            Offset
	started         bool
	closed          bool
	needState       bool // records have expired and no snapshot was found
	logUnavailable  bool
	confirmedAt     time.Time
	lastLogResponse time.Time
	err             error
	peerNext        Offset // highest next offset reported by a peer
	changed         chan struct{}
	window          *window
	ring            ring
	queue           []*proposal            // to be appended, oldest first
	pending         map[RecordID]*proposal // not yet settled
}

var _ Proposer = (*Replica)(nil)

// NewReplica returns a replica that is idle until Run is called.
func NewReplica(cfg Config) *Replica {
	if cfg.Wait == 0 {
		cfg.Wait = DefaultWait
	}
	r := &Replica{
		cfg:          cfg,
		events:       cfg.Events.With("stream", cfg.Stream),
		counts:       newCounters(cfg.Metrics, cfg.Stream),
		known:        map[Kind]bool{},
		appendSignal: make(chan struct{}, 1),
		changed:      make(chan struct{}),
		window:       newWindow(),
		pending:      map[RecordID]*proposal{},
	}
	for _, k := range cfg.Fold.Kinds() {
		r.known[k] = true
	}
	return r
}

// Run runs the replica until ctx ends. It must be called only once.
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

// Status returns the current status of the replica.
func (r *Replica) Status() Status {
	r.mu.Lock()
	defer r.mu.Unlock()
	return Status{
		Stream:          r.cfg.Stream,
		Next:            r.next,
		ConfirmedAt:     r.confirmedAt,
		LastLogResponse: r.lastLogResponse,
		Err:             r.err,
	}
}

// Changed returns a channel that is closed when the status next changes.
func (r *Replica) Changed() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.changed
}

// Confirm records that a peer read next as the end of the stream at the local
// time at.
func (r *Replica) Confirm(next Offset, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.peerNext = max(r.peerNext, next)
	r.confirm(next, at)
}

// confirm advances confirmedAt to at if all entries before end are folded. The
// caller holds mu.
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

// FoldRelayed folds the entries relayed by a peer that directly follow the
// folded prefix. It returns the first offset that is not folded.
func (r *Replica) FoldRelayed(entries []Entry) Offset {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.started {
		_ = r.fold(entries) // the next read or Adopt closes a gap
	}
	return r.next
}

// Entries returns up to limit recently folded entries, starting at an offset.
// It returns nil if the first one is no longer kept.
func (r *Replica) Entries(from Offset, limit int) []Entry {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ring.from(from, limit)
}

// start marks the replica as ready to fold entries. The caller holds mu.
func (r *Replica) start() {
	if r.started {
		return
	}
	r.started = true
	r.events.Emit(eventStarted, "next", r.next)
	r.notify()
	r.signalAppendLoop()
}

// stop stops folding permanently. The caller holds mu.
func (r *Replica) stop(err error) {
	r.err = err
	r.events.Emit(eventStopped, "next", r.next, "err", err)
	r.settleAll(err)
	r.notify()
}

// advance advances next, which never decreases.
func (r *Replica) advance(next Offset) {
	invariant.Check(next >= r.next, "journal.forward", "stream %s from %d back to %d", r.cfg.Stream, r.next, next)
	r.next = next
}
