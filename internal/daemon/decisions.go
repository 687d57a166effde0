package daemon

import (
	"sync"
	"time"

	"carawayproxy.example/caraway/internal/event"
)

// decision is one event about a request or group, recorded for the Explain
// call.
type decision struct {
	at      time.Time
	event   *event.Event
	keyvals []any
}

// decisions is a ring buffer of the latest events that name a request or a
// group. It is safe for concurrent use.
type decisions struct {
	mu   sync.Mutex
	ring []decision
	next int
}

func newDecisions(size int) *decisions { return &decisions{ring: make([]decision, size)} }

// record implements event.Sink.
func (d *decisions) record(at time.Time, e *event.Event, keyvals []any) {
	if len(d.ring) == 0 || subjectID(keyvals) == "" {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.ring[d.next] = decision{at: at, event: e, keyvals: keyvals}
	d.next = (d.next + 1) % len(d.ring)
}

// forSubject returns the recorded events of one request or group, oldest first.
func (d *decisions) forSubject(id string) []decision {
	d.mu.Lock()
	defer d.mu.Unlock()
	var out []decision
	for i := range d.ring {
		x := d.ring[(d.next+i)%len(d.ring)]
		if x.event != nil && mentions(x.keyvals, id) {
			out = append(out, x)
		}
	}
	return out
}

// subjectID returns the id of the request that an event names, or of the group
// if it names no request.
func subjectID(keyvals []any) string {
	for _, key := range []string{"request", "group"} {
		if v := event.Value(keyvals, key); v != "" {
			return v
		}
	}
	return ""
}

func mentions(keyvals []any, id string) bool {
	return event.Value(keyvals, "request") == id || event.Value(keyvals, "group") == id
}
