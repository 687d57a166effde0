package journal

import (
	"context"
	"time"

	"github.com/google/uuid"
	"golang.org/x/time/rate"

	"carawayproxy.example/caraway/internal/event"
	"carawayproxy.example/caraway/internal/fleet"
)

const (
	// DefaultSnapshotEvery is the time between two snapshots of a stream.
	DefaultSnapshotEvery = 10 * time.Minute
	// DefaultSnapshotRecords is the number of folded records after which a
	// snapshot is written sooner.
	DefaultSnapshotRecords = 20000
	// snapshotTick is how often the need for snapshots is looked at.
	snapshotTick = 5 * time.Second
	// A daemon that comes to hold a stream writes its first snapshot after
	// the tenth part of Every, so that a stream whose holders change often
	// still gets snapshots.
	firstSnapshotPart = 10
)

// SnapshotterConfig sets up a Snapshotter.
type SnapshotterConfig struct {
	Log      Log
	Self     fleet.DaemonID
	Replicas []*Replica
	// Held says whether this daemon writes the snapshots of a stream. Two
	// daemons that both do cost appends and no harm.
	Held func(Stream) bool
	// Every is the time between two snapshots of a stream,
	// DefaultSnapshotEvery when zero. It must be at most a third of the
	// log's retention: snapshots expire like all records and are written
	// again even if nothing has changed.
	Every time.Duration
	// Records is the number of records after which a snapshot is written
	// sooner, DefaultSnapshotRecords when zero.
	Records int
	Budget  *rate.Limiter // shared with the replicas; nil for no bound
	Events  *event.Logger
}

// Snapshotter writes snapshots of the streams that this daemon holds.
type Snapshotter struct {
	cfg   SnapshotterConfig
	marks map[Stream]*snapshotMark
}

// snapshotMark is when and where a held stream was last written.
type snapshotMark struct {
	due  time.Time
	next Offset
}

// NewSnapshotter returns a snapshotter that does nothing until Run.
func NewSnapshotter(cfg SnapshotterConfig) *Snapshotter {
	if cfg.Every == 0 {
		cfg.Every = DefaultSnapshotEvery
	}
	if cfg.Records == 0 {
		cfg.Records = DefaultSnapshotRecords
	}
	return &Snapshotter{cfg: cfg, marks: map[Stream]*snapshotMark{}}
}

// Run writes snapshots as they fall due until ctx ends.
func (s *Snapshotter) Run(ctx context.Context) {
	tick := min(snapshotTick, s.cfg.Every/firstSnapshotPart)
	for ctx.Err() == nil {
		for _, r := range s.cfg.Replicas {
			s.visit(ctx, r)
		}
		sleep(ctx, tick)
	}
}

// visit writes a snapshot of one stream if it is due.
func (s *Snapshotter) visit(ctx context.Context, r *Replica) {
	status := r.Status()
	if !s.cfg.Held(status.Stream) || status.Err != nil || status.ConfirmedAt.IsZero() {
		delete(s.marks, status.Stream)
		return
	}
	now := time.Now()
	m := s.marks[status.Stream]
	if m == nil {
		m = &snapshotMark{due: now.Add(s.cfg.Every / firstSnapshotPart), next: status.Next}
		s.marks[status.Stream] = m
	}
	if now.Before(m.due) && status.Next-m.next < Offset(s.cfg.Records) {
		return
	}
	state, err := r.Export()
	if err == nil {
		err = s.Write(ctx, state)
	}
	if err != nil {
		if ctx.Err() == nil {
			s.cfg.Events.Emit(eventSnapshotFailed, "stream", status.Stream, "err", err)
		}
		return
	}
	m.due = now.Add(s.cfg.Every)
	m.next = state.Next
	s.cfg.Events.Emit(eventSnapshot, "stream", state.Stream, "next", state.Next, "bytes", len(state.Data))
}

// Write appends a state in chunks, now. A snapshot of which a part is missing is
// never used.
func (s *Snapshotter) Write(ctx context.Context, state State) error {
	chunks, err := split(state)
	if err != nil {
		return err
	}
	for _, c := range chunks {
		payload, err := s.encode(c)
		if err != nil {
			return err
		}
		if s.cfg.Budget != nil {
			if err := s.cfg.Budget.Wait(ctx); err != nil {
				return err
			}
		}
		if err := s.append(ctx, payload); err != nil {
			return err
		}
	}
	return nil
}

func (s *Snapshotter) encode(c chunk) ([]byte, error) {
	body, err := Encode(c)
	if err != nil {
		return nil, err
	}
	return EncodeRecord(Record{
		Format:    RecordFormat,
		ID:        RecordID(uuid.New()),
		Kind:      kindSnapshot,
		Author:    s.cfg.Self,
		UnixMilli: time.Now().UnixMilli(),
		Body:      body,
	})
}

func (s *Snapshotter) append(ctx context.Context, payload []byte) error {
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	_, err := s.cfg.Log.Append(ctx, StreamSnapshot, [][]byte{payload})
	return err
}
