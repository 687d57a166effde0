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
	// DefaultSnapshotInterval is the default for SnapshotterConfig.Interval.
	DefaultSnapshotInterval = 10 * time.Minute
	// DefaultSnapshotRecords is the default for SnapshotterConfig.Records.
	DefaultSnapshotRecords = 20000
	// snapshotTick is the maximum interval between checks for due snapshots.
	snapshotTick = 5 * time.Second
	// firstSnapshotDivisor divides Interval to give the delay of the first
	// snapshot after a daemon becomes the holder of a stream. The delay is short
	// so that a stream whose holder changes often still gets snapshots.
	firstSnapshotDivisor = 10
)

// SnapshotterConfig is the configuration of a Snapshotter.
type SnapshotterConfig struct {
	Log      Log
	Self     fleet.DaemonID
	Replicas []*Replica
	// IsHolder reports whether this daemon writes the snapshots of a stream. If
	// two daemons do, the only cost is redundant appends.
	IsHolder func(Stream) bool
	// Interval is the interval between snapshots of a stream,
	// DefaultSnapshotInterval if zero. It must be at most a third of the log's
	// retention, because snapshots expire like all records. A snapshot is
	// written even if the state has not changed.
	Interval time.Duration
	// Records is the number of folded records after which a snapshot is written
	// before the interval is over, DefaultSnapshotRecords if zero.
	Records int
	Budget  *rate.Limiter // shared with the replicas; nil means no limit
	Events  *event.Logger
}

// Snapshotter writes snapshots of the streams whose holder is this daemon.
type Snapshotter struct {
	cfg       SnapshotterConfig
	schedules map[Stream]*snapshotSchedule
}

// snapshotSchedule is the schedule of a stream: the time of the next snapshot
// and the offset of the last one.
type snapshotSchedule struct {
	nextWrite  time.Time
	lastOffset Offset
}

// NewSnapshotter returns a snapshotter that is idle until Run is called.
func NewSnapshotter(cfg SnapshotterConfig) *Snapshotter {
	if cfg.Interval == 0 {
		cfg.Interval = DefaultSnapshotInterval
	}
	if cfg.Records == 0 {
		cfg.Records = DefaultSnapshotRecords
	}
	return &Snapshotter{cfg: cfg, schedules: map[Stream]*snapshotSchedule{}}
}

// Run writes snapshots when they are due, until ctx ends.
func (s *Snapshotter) Run(ctx context.Context) {
	tick := min(snapshotTick, s.cfg.Interval/firstSnapshotDivisor)
	for ctx.Err() == nil {
		for _, r := range s.cfg.Replicas {
			s.snapshotIfDue(ctx, r)
		}
		sleep(ctx, tick)
	}
}

// snapshotIfDue writes a snapshot of one stream if it is due.
func (s *Snapshotter) snapshotIfDue(ctx context.Context, r *Replica) {
	status := r.Status()
	if !s.cfg.IsHolder(status.Stream) || status.Err != nil || status.ConfirmedAt.IsZero() {
		delete(s.schedules, status.Stream)
		return
	}
	now := time.Now()
	schedule := s.schedules[status.Stream]
	if schedule == nil {
		schedule = &snapshotSchedule{nextWrite: now.Add(s.cfg.Interval / firstSnapshotDivisor), lastOffset: status.Next}
		s.schedules[status.Stream] = schedule
	}
	if now.Before(schedule.nextWrite) && status.Next-schedule.lastOffset < Offset(s.cfg.Records) {
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
	schedule.nextWrite = now.Add(s.cfg.Interval)
	schedule.lastOffset = state.Next
	s.cfg.Events.Emit(eventSnapshot, "stream", state.Stream, "next", state.Next, "bytes", len(state.Data))
}

// Write appends a state immediately, in chunks. Readers ignore a snapshot with
// missing chunks.
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
