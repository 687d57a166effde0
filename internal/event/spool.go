package event

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/rcrowley/go-metrics"
	"golang.org/x/time/rate"
)

// Limits of a spool.
const (
	// maxUrgentLines and maxServedLines limit the lines that are queued while
	// the writer does not keep up.
	maxUrgentLines = 8192
	maxServedLines = 1024
	// servedLinesPerSecond limits the lines of successful requests. It is enough
	// to follow a few requests from end to end.
	servedLinesPerSecond = 60
	// maxRequestLines limits the lines buffered for one request. maxRequestAge
	// is when the lines of a request that has not ended are written anyway.
	maxRequestLines = 64
	maxRequestAge   = time.Minute
	maxOpenRequests = 8192
	// closeTimeout is how long Close waits for the last lines to be written.
	closeTimeout = 300 * time.Millisecond
)

var eventLinesDropped = Define(2200, "event.left-out", log.WarnLevel,
	"Log lines were dropped since the previous event of this kind: lines of served requests that exceed the rate limit, or lines that standard output did not accept fast enough.",
	"If lines other than those of served requests are dropped, read the daemon's standard output faster.")

// Spool writes events in the background, so that callers never block. It buffers
// the lines of a request until the request ends. The lines of failed requests
// are written in full and first, those of served requests subject to a rate
// limit. It is safe for concurrent use.
type Spool struct {
	base  *log.Logger
	level log.Level
	now   time.Time // time of the line being written; used by the writer only

	mu             sync.Mutex
	requests       map[string]*requestLines
	urgent, served []line
	servedRate     *rate.Limiter
	dropped        dropCounts // since the last event about dropped lines
	wake           chan struct{}
	done           chan struct{}

	written, droppedUrgent, droppedServed metrics.Counter
}

type line struct {
	at      time.Time
	event   *Event
	keyvals []any
}

type requestLines struct {
	since time.Time
	lines []line
}

type dropCounts struct{ urgent, served int }

// NewSpool returns a spool that writes lines of at least the given level to w
// and counts written and dropped lines in r.
func NewSpool(w io.Writer, level log.Level, r metrics.Registry) *Spool {
	s := &Spool{
		level:         level,
		requests:      map[string]*requestLines{},
		servedRate:    rate.NewLimiter(servedLinesPerSecond, servedLinesPerSecond),
		wake:          make(chan struct{}, 1),
		done:          make(chan struct{}),
		written:       metrics.GetOrRegisterCounter("log.lines", r),
		droppedUrgent: metrics.GetOrRegisterCounter("log.lines_left_out", r),
		droppedServed: metrics.GetOrRegisterCounter("log.lines_left_out_of_served_requests", r),
	}
	s.base = log.NewWithOptions(w, log.Options{
		Level:           level,
		ReportTimestamp: true,
		TimeFormat:      time.RFC3339Nano,
		TimeFunction:    func(time.Time) time.Time { return s.now },
		Formatter:       log.LogfmtFormatter,
	})
	return s
}

// Run writes queued lines until ctx ends.
func (s *Spool) Run(ctx context.Context) {
	defer close(s.done)
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	for {
		s.writeQueued()
		select {
		case <-ctx.Done():
			s.writeQueued()
			return
		case <-s.wake:
		case <-tick.C:
			s.flushExpired(time.Now())
		}
	}
}

// Close waits up to closeTimeout for Run to finish after its ctx has ended.
func (s *Spool) Close() {
	select {
	case <-s.done:
	case <-time.After(closeTimeout):
	}
}

// add buffers an event of a request and queues any other event.
func (s *Spool) add(at time.Time, e *Event, keyvals []any) {
	if e.Level < s.level {
		return
	}
	l := line{at: at, event: e, keyvals: keyvals}
	id := Value(keyvals, "request")
	s.mu.Lock()
	defer s.mu.Unlock()
	if id == "" {
		s.enqueue(l, true)
		return
	}
	r := s.requests[id]
	if r == nil {
		if len(s.requests) >= maxOpenRequests {
			s.enqueue(l, true)
			return
		}
		r = &requestLines{since: at}
		s.requests[id] = r
	}
	if len(r.lines) < maxRequestLines {
		r.lines = append(r.lines, l)
	} else {
		s.countDropped(true)
	}
}

// endRequest queues or drops the buffered lines of a request that has ended.
func (s *Spool) endRequest(id string, failed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.requests[id]
	delete(s.requests, id)
	if r == nil {
		return
	}
	if !failed && !s.servedRate.AllowN(time.Now(), len(r.lines)) {
		for range r.lines {
			s.countDropped(false)
		}
		return
	}
	for _, l := range r.lines {
		s.enqueue(l, failed)
	}
}

// enqueue queues a line, or drops it if the queue is full. The caller must hold
// mu.
func (s *Spool) enqueue(l line, urgent bool) {
	lines, limit := &s.served, maxServedLines
	if urgent {
		lines, limit = &s.urgent, maxUrgentLines
	}
	if len(*lines) >= limit {
		s.countDropped(urgent)
		return
	}
	*lines = append(*lines, l)
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

func (s *Spool) countDropped(urgent bool) {
	if urgent {
		s.dropped.urgent++
		s.droppedUrgent.Inc(1)
	} else {
		s.dropped.served++
		s.droppedServed.Inc(1)
	}
}

// flushExpired queues the lines of requests that have not ended within
// maxRequestAge, and an event with the number of dropped lines.
func (s *Spool) flushExpired(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, r := range s.requests {
		if now.Sub(r.since) > maxRequestAge {
			delete(s.requests, id)
			for _, l := range r.lines {
				s.enqueue(l, true)
			}
		}
	}
	if s.dropped != (dropCounts{}) && len(s.urgent) < maxUrgentLines {
		s.enqueue(line{at: now, event: eventLinesDropped, keyvals: []any{"lines", s.dropped.urgent, "of_served_requests", s.dropped.served}}, true)
		s.dropped = dropCounts{}
	}
}

// writeQueued writes the queued lines. Only the goroutine of Run may call it,
// because writes to w can block.
func (s *Spool) writeQueued() {
	for {
		s.mu.Lock()
		lines := append(s.urgent, s.served...)
		s.urgent, s.served = nil, nil
		s.mu.Unlock()
		if len(lines) == 0 {
			return
		}
		for _, l := range lines {
			s.now = l.at
			s.base.Log(l.event.Level, l.event.Name, append([]any{"event", l.event.Number}, l.keyvals...)...)
		}
		s.written.Inc(int64(len(lines)))
	}
}

// NewSpoolLogger returns a logger that writes to a spool.
func NewSpoolLogger(s *Spool) *Logger { return &Logger{spool: s} }

// EndRequest marks the end of a request, so that the spool writes or drops its
// buffered lines. It has no effect without a spool.
func (l *Logger) EndRequest(id any, failed bool) {
	if l != nil && l.spool != nil {
		l.spool.endRequest(fmt.Sprint(id), failed)
	}
}
