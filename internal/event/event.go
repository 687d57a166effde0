// Package event writes numbered log events. Each package defines its events as
// variables. docs/EVENTS.md lists all events; a test compares it with the code.
package event

import (
	"fmt"
	"io"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/charmbracelet/log"
)

// Event is one kind of log line.
type Event struct {
	Number  int
	Name    string // "package.event"
	Level   log.Level
	Meaning string // one or two sentences for operators
	Action  string // what operators should do
}

var registry = struct {
	sync.Mutex
	byNumber map[int]*Event
}{byNumber: map[int]*Event{}}

// Define registers an event. It panics if the number is already in use.
func Define(number int, name string, level log.Level, meaning, action string) *Event {
	e := &Event{Number: number, Name: name, Level: level, Meaning: meaning, Action: action}
	registry.Lock()
	defer registry.Unlock()
	if old, taken := registry.byNumber[number]; taken {
		panic(fmt.Sprintf("event %d is both %s and %s", number, old.Name, name))
	}
	registry.byNumber[number] = e
	return e
}

// All returns the defined events, ordered by number.
func All() []*Event {
	registry.Lock()
	defer registry.Unlock()
	all := make([]*Event, 0, len(registry.byNumber))
	for _, e := range registry.byNumber {
		all = append(all, e)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].Number < all[j].Number })
	return all
}

// Sink receives every emitted event, regardless of its level. It must not block.
type Sink func(at time.Time, e *Event, keyvals []any)

// Logger emits events. The zero value and a nil Logger discard them.
type Logger struct {
	base    *log.Logger
	spool   *Spool
	sink    Sink
	keyvals []any
}

// NewLogger returns a logger that writes events of at least the given level to w
// and passes every event to sink, which may be nil.
func NewLogger(w io.Writer, level log.Level, sink Sink) *Logger {
	base := log.NewWithOptions(w, log.Options{
		Level:           level,
		ReportTimestamp: true,
		TimeFormat:      time.RFC3339Nano,
		Formatter:       log.LogfmtFormatter,
	})
	return &Logger{base: base, sink: sink}
}

// Discard returns a logger that discards all events.
func Discard() *Logger { return nil }

// With returns a logger that adds keyvals to every event.
func (l *Logger) With(keyvals ...any) *Logger {
	if l == nil {
		return nil
	}
	joined := append(append([]any{}, l.keyvals...), keyvals...)
	return &Logger{base: l.base, spool: l.spool, sink: l.sink, keyvals: joined}
}

// Enabled reports whether events of this level are written, so that callers can
// skip keyvals that are expensive to compute.
func (l *Logger) Enabled(level log.Level) bool {
	if l != nil && l.spool != nil {
		return l.spool.level <= level
	}
	return l != nil && l.base != nil && l.base.GetLevel() <= level
}

// Emit writes one event with alternating keys and values.
func (l *Logger) Emit(e *Event, keyvals ...any) {
	if l == nil {
		return
	}
	if len(l.keyvals) > 0 {
		keyvals = append(append([]any{}, l.keyvals...), keyvals...)
	}
	if l.sink != nil {
		l.sink(time.Now(), e, keyvals)
	}
	if l.spool != nil {
		l.spool.add(time.Now(), e, keyvals)
	}
	if l.base != nil && l.base.GetLevel() <= e.Level {
		l.base.Log(e.Level, e.Name, append([]any{"event", e.Number}, keyvals...)...)
	}
}

// Text renders keyvals as "key=value" pairs on one line.
func Text(keyvals []any) string {
	var b strings.Builder
	for i := 0; i+1 < len(keyvals); i += 2 {
		if i > 0 {
			b.WriteByte(' ')
		}
		fmt.Fprintf(&b, "%v=%v", keyvals[i], keyvals[i+1])
	}
	return b.String()
}

// Value returns the value of a key as text, or "" if the key is missing.
func Value(keyvals []any, key string) string {
	for i := 0; i+1 < len(keyvals); i += 2 {
		if k, ok := keyvals[i].(string); ok && k == key {
			return fmt.Sprint(keyvals[i+1])
		}
	}
	return ""
}
