package platform

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/time/rate"

	"carawayproxy.example/caraway/internal/journal"
)

// Errors of the log in addition to journal.ErrNotAppended.
var (
	// ErrOutage is returned during an outage.
	ErrOutage = errors.New("log outage")
	// ErrResponseLost is returned when an append took effect but its response
	// was dropped.
	ErrResponseLost = errors.New("answer lost")
)

// LogConfig configures a Log.
type LogConfig struct {
	// AppendsPerSecond is the rate limit on appends, 300 if zero.
	AppendsPerSecond float64
	// Retention is how long records are kept, one hour if zero.
	Retention time.Duration
}

// LogFaults are the fault switches of a Log.
type LogFaults struct {
	Down          bool          `json:"down"`         // fail every call
	Delay         time.Duration `json:"delay"`        // added to every call, in nanoseconds
	LoseResponses int           `json:"lose_answers"` // number of next appends that lose their response
}

// LogStats counts the calls of a Log by result.
type LogStats struct {
	Appends uint64 // calls that took effect
	Records uint64
	Reads   uint64
	Refused uint64 // calls rejected by the rate limit
	Lost    uint64 // responses dropped after the append took effect
	Outages uint64 // calls failed during an outage
}

type logRecord struct {
	at      time.Time
	payload []byte
}

type logStream struct {
	base     journal.Offset // offset of records[0]
	records  []logRecord
	appended chan struct{} // closed when a record is added
}

// Log is an append-only log with offsets, streams, a rate limit and limited
// retention. It implements journal.Log and is safe for concurrent use.
type Log struct {
	mu      sync.Mutex
	cfg     LogConfig
	limiter *rate.Limiter
	streams map[journal.Stream]*logStream
	faults  LogFaults
	stats   LogStats
}

var _ journal.Log = (*Log)(nil)

// NewLog returns an empty log.
func NewLog(cfg LogConfig) *Log {
	if cfg.AppendsPerSecond == 0 {
		cfg.AppendsPerSecond = 300
	}
	if cfg.Retention == 0 {
		cfg.Retention = time.Hour
	}
	return &Log{
		cfg:     cfg,
		limiter: rate.NewLimiter(rate.Limit(cfg.AppendsPerSecond), int(cfg.AppendsPerSecond)),
		streams: map[journal.Stream]*logStream{},
	}
}

// SetFaults replaces the fault switches.
func (l *Log) SetFaults(f LogFaults) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = f
}

// Faults returns the current fault switches.
func (l *Log) Faults() LogFaults {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.faults
}

// Stats returns the counters.
func (l *Log) Stats() LogStats {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.stats
}

// Append implements journal.Log.
func (l *Log) Append(ctx context.Context, name journal.Stream, payloads [][]byte) (journal.Offset, error) {
	if err := l.applyFaults(ctx); err != nil {
		return 0, errors.Wrap(journal.ErrNotAppended, err.Error())
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.limiter.Allow() {
		l.stats.Refused++
		return 0, errors.Wrap(journal.ErrNotAppended, "rate limit")
	}
	s := l.stream(name)
	first := s.base + journal.Offset(len(s.records))
	now := time.Now()
	for _, p := range payloads {
		s.records = append(s.records, logRecord{at: now, payload: append([]byte(nil), p...)})
	}
	l.stats.Appends++
	l.stats.Records += uint64(len(payloads))
	close(s.appended)
	s.appended = make(chan struct{})
	if l.faults.LoseResponses > 0 {
		l.faults.LoseResponses--
		l.stats.Lost++
		return 0, ErrResponseLost
	}
	return first, nil
}

// Read implements journal.Log.
func (l *Log) Read(ctx context.Context, name journal.Stream, from journal.Offset, limit int, wait time.Duration) (journal.Page, error) {
	if err := l.applyFaults(ctx); err != nil {
		return journal.Page{}, err
	}
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	for {
		page, appended, err := l.page(name, from, limit)
		if err != nil || len(page.Entries) > 0 || page.Oldest > from || wait <= 0 {
			return page, err
		}
		select {
		case <-appended:
		case <-timeout.C:
			wait = 0
		case <-ctx.Done():
			return journal.Page{}, ctx.Err()
		}
	}
}

// applyFaults applies the outage and delay switches to a call.
func (l *Log) applyFaults(ctx context.Context) error {
	l.mu.Lock()
	f := l.faults
	if f.Down {
		l.stats.Outages++
	}
	l.mu.Unlock()
	if f.Down {
		return ErrOutage
	}
	if f.Delay <= 0 {
		return nil
	}
	select {
	case <-time.After(f.Delay):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// page returns up to limit records from an offset, and the channel that is
// closed at the next append.
func (l *Log) page(name journal.Stream, from journal.Offset, limit int) (journal.Page, <-chan struct{}, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.faults.Down {
		return journal.Page{}, nil, ErrOutage
	}
	l.stats.Reads++
	s := l.stream(name)
	l.expire(s)
	p := journal.Page{Oldest: s.base, Next: s.base + journal.Offset(len(s.records))}
	if from < s.base {
		return p, s.appended, nil
	}
	for i := int(from - s.base); i < len(s.records) && len(p.Entries) < limit; i++ {
		p.Entries = append(p.Entries, journal.Entry{Offset: s.base + journal.Offset(i), Payload: s.records[i].payload})
	}
	return p, s.appended, nil
}

func (l *Log) stream(name journal.Stream) *logStream {
	s := l.streams[name]
	if s == nil {
		s = &logStream{appended: make(chan struct{})}
		l.streams[name] = s
	}
	return s
}

// expire drops the records that exceed the retention.
func (l *Log) expire(s *logStream) {
	cutoff := time.Now().Add(-l.cfg.Retention)
	n := 0
	for n < len(s.records) && s.records[n].at.Before(cutoff) {
		n++
	}
	s.records = s.records[n:]
	s.base += journal.Offset(n)
}
