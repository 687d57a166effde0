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

// Bounds of a spool.
const (
	// maxUrgent and maxUsual are how many lines wait for a writer that does not
	// keep up.
	maxUrgent = 8192
	maxUsual  = 1024
	// usualPerSecond bounds the lines of requests that were served, enough to
	// follow a few of them from end to end.
	usualPerSecond = 60
	// maxTrail bounds the lines that are kept of one request, and trailAge how
	// long a request that never ends is waited for.
	maxTrail  = 64
	trailAge  = time.Minute
	maxTrails = 8192
	// closeWait is how long a stop waits for the last lines to be written.
	closeWait = 300 * time.Millisecond
)

var eventLeftOut = Define(2200, "event.left-out", log.WarnLevel,
	"Log lines were left out since the last such line: of served requests beyond their rate, or because standard output is not read fast enough.",
	"For failed requests or other lines: read the daemon's standard output faster.")

// Spool writes events behind those that emit them, who never wait. The lines of
// a request are kept until it ends: those of failed requests are written whole
// and first, those of served ones as far as their rate allows. It is safe for
// concurrent use.
type Spool struct {
	base  *log.Logger
	level log.Level
	now   time.Time // of the line that is being written; of the writer alone

	mu            sync.Mutex
	trails        map[string]*trail
	urgent, usual []line
	usualRate     *rate.Limiter
	leftOut       counts // since it was told last
	wake          chan struct{}
	done          chan struct{}

	written, leftOutUrgent, leftOutServed metrics.Counter
}

type line struct {
	at      time.Time
	event   *Event
	keyvals []any
}

type trail struct {
	since time.Time
	lines []line
}

type counts struct{ urgent, served int }

// NewSpool returns a spool that writes lines of at least the given level to w,
// and counts what it leaves out in the registry.
func NewSpool(w io.Writer, level log.Level, r metrics.Registry) *Spool {
	s := &Spool{
		level:         level,
		trails:        map[string]*trail{},
		usualRate:     rate.NewLimiter(usualPerSecond, usualPerSecond),
		wake:          make(chan struct{}, 1),
		done:          make(chan struct{}),
		written:       metrics.GetOrRegisterCounter("log.lines", r),
		leftOutUrgent: metrics.GetOrRegisterCounter("log.lines_left_out", r),
		leftOutServed: metrics.GetOrRegisterCounter("log.lines_left_out_of_served_requests", r),
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

// Run writes until ctx ends.
func (s *Spool) Run(ctx context.Context) {
	defer close(s.done)
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	for {
		s.drain()
		select {
		case <-ctx.Done():
			s.drain()
			return
		case <-s.wake:
		case <-tick.C:
			s.sweep(time.Now())
		}
	}
}

// Close waits a moment for what Run still writes after its ctx has ended.
func (s *Spool) Close() {
	select {
	case <-s.done:
	case <-time.After(closeWait):
	}
}

// add takes an event in.
func (s *Spool) add(at time.Time, e *Event, keyvals []any) {
	if e.Level < s.level {
		return
	}
	l := line{at: at, event: e, keyvals: keyvals}
	id := Value(keyvals, "request")
	s.mu.Lock()
	defer s.mu.Unlock()
	if id == "" {
		s.queue(l, true)
		return
	}
	t := s.trails[id]
	if t == nil {
		if len(s.trails) >= maxTrails {
			s.queue(l, true)
			return
		}
		t = &trail{since: at}
		s.trails[id] = t
	}
	if len(t.lines) < maxTrail {
		t.lines = append(t.lines, l)
	} else {
		s.leave(true)
	}
}

// end takes the lines of a request that has ended.
func (s *Spool) end(id string, failed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.trails[id]
	delete(s.trails, id)
	if t == nil {
		return
	}
	if !failed && !s.usualRate.AllowN(time.Now(), len(t.lines)) {
		for range t.lines {
			s.leave(false)
		}
		return
	}
	for _, l := range t.lines {
		s.queue(l, failed)
	}
}

// queue has a line written, or leaves it out when too many wait. Called with
// mu held.
func (s *Spool) queue(l line, urgent bool) {
	lines, most := &s.usual, maxUsual
	if urgent {
		lines, most = &s.urgent, maxUrgent
	}
	if len(*lines) >= most {
		s.leave(urgent)
		return
	}
	*lines = append(*lines, l)
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

func (s *Spool) leave(urgent bool) {
	if urgent {
		s.leftOut.urgent++
		s.leftOutUrgent.Inc(1)
	} else {
		s.leftOut.served++
		s.leftOutServed.Inc(1)
	}
}

// sweep ends requests that never do, and says how many lines were left out.
func (s *Spool) sweep(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, t := range s.trails {
		if now.Sub(t.since) > trailAge {
			delete(s.trails, id)
			for _, l := range t.lines {
				s.queue(l, true)
			}
		}
	}
	if s.leftOut != (counts{}) && len(s.urgent) < maxUrgent {
		s.queue(line{at: now, event: eventLeftOut, keyvals: []any{"lines", s.leftOut.urgent, "of_served_requests", s.leftOut.served}}, true)
		s.leftOut = counts{}
	}
}

// drain writes what waits. Only the writer may wait for the reader of w.
func (s *Spool) drain() {
	for {
		s.mu.Lock()
		lines := append(s.urgent, s.usual...)
		s.urgent, s.usual = nil, nil
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

// NewSpooled returns a logger that writes through a spool.
func NewSpooled(s *Spool) *Logger { return &Logger{spool: s} }

// EndRequest tells that a request has ended and whether it failed, so that its
// lines are written or left out. Without a spool they have been written.
func (l *Logger) EndRequest(id any, failed bool) {
	if l != nil && l.spool != nil {
		l.spool.end(fmt.Sprint(id), failed)
	}
}
