package daemon

import (
	"sync"
	"time"

	"carawayproxy.example/caraway/internal/event"
)

// decision is one event about a request, kept for explain.
type decision struct {
	at      time.Time
	event   *event.Event
	keyvals []any
}

// decisions keeps the latest events that name a request or a group, in a ring
// of fixed size. It is safe for concurrent use.
type decisions struct {
	mu   sync.Mutex
	ring []decision
	next int
}

func newDecisions(size int) *decisions { return &decisions{ring: make([]decision, size)} }

// record is an event.Sink.
func (d *decisions) record(at time.Time, e *event.Event, keyvals []any) {
	if len(d.ring) == 0 || subject(keyvals) == "" {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.ring[d.next] = decision{at: at, event: e, keyvals: keyvals}
	d.next = (d.next + 1) % len(d.ring)
}

// about returns the events of one request, or of one group, oldest first.
func (d *decisions) about(id string) []decision {
	d.mu.Lock()
	defer d.mu.Unlock()
	var out []decision
	for i := range d.ring {
		x := d.ring[(d.next+i)%len(d.ring)]
		if x.event != nil && names(x.keyvals, id) {
			out = append(out, x)
		}
	}
	return out
}

// subject returns the request or else the group that an event names.
func subject(keyvals []any) string {
	for _, key := range []string{"request", "group"} {
		if v := event.Value(keyvals, key); v != "" {
			return v
		}
	}
	return ""
}

func names(keyvals []any, id string) bool {
	return event.Value(keyvals, "request") == id || event.Value(keyvals, "group") == id
}
