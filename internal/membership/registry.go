package membership

import (
	"sort"
	"sync"

	"github.com/pkg/errors"

	"carawayproxy.example/caraway/internal/fleet"
	"carawayproxy.example/caraway/internal/journal"
)

// Kinds of the registry's records in the control stream.
const (
	KindHello   journal.Kind = "daemon.hello"
	KindGoodbye journal.Kind = "daemon.goodbye"
)

// Limits of a Registry. Ages are measured in offsets of the control stream rather
// than by clocks, so that all daemons expire the same hellos.
const (
	// maxHellos bounds the registered daemons; the oldest hello is dropped first.
	maxHellos = 4096
	// maxHelloAge is the number of records of the control stream after which a
	// hello expires. Daemons repeat their hello well before; see HelloInterval.
	maxHelloAge = 100_000
	// HelloInterval is the number of records of the control stream after which a
	// daemon repeats its hello.
	HelloInterval = maxHelloAge / 4
)

// registryFormat is the version of the registry's snapshot format.
const registryFormat = 1

// Hello announces a daemon in the control stream.
type Hello struct {
	Daemon      fleet.DaemonID `cbor:"1,keyasint"`
	Address     string         `cbor:"2,keyasint"`
	Zone        fleet.Zone     `cbor:"3,keyasint"`
	Incarnation uint64         `cbor:"4,keyasint"`
}

// Goodbye withdraws a daemon's announcement.
type Goodbye struct {
	Daemon fleet.DaemonID `cbor:"1,keyasint"`
}

// Registry is the fold of the daemons' announcements. A hello is rejected if
// its daemon or address is registered with a later incarnation. A daemon stays
// registered until its goodbye, until another daemon takes its address, or
// until its last hello is more than maxHelloAge records old.
type Registry struct {
	mu     sync.RWMutex
	hellos map[fleet.DaemonID]registeredHello
}

type registeredHello struct {
	Hello Hello          `cbor:"1,keyasint"`
	At    journal.Offset `cbor:"2,keyasint"`
}

type registrySnapshot struct {
	Format int               `cbor:"1,keyasint"`
	Hellos []registeredHello `cbor:"2,keyasint"`
}

var _ journal.Fold = (*Registry)(nil)

// NewRegistry returns an empty registry.
func NewRegistry() *Registry {
	return &Registry{hellos: map[fleet.DaemonID]registeredHello{}}
}

// Kinds implements journal.Fold.
func (r *Registry) Kinds() []journal.Kind { return []journal.Kind{KindHello, KindGoodbye} }

// Apply implements journal.Fold.
func (r *Registry) Apply(at journal.Offset, rec journal.Record) (journal.Verdict, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.expire(at)
	switch rec.Kind {
	case KindHello:
		var h Hello
		if err := wireCodec.dec.Unmarshal(rec.Body, &h); err != nil {
			return journal.Reject("malformed: " + err.Error()), nil
		}
		return r.applyHello(at, h), nil
	case KindGoodbye:
		var g Goodbye
		if err := wireCodec.dec.Unmarshal(rec.Body, &g); err != nil {
			return journal.Reject("malformed: " + err.Error()), nil
		}
		return r.applyGoodbye(g), nil
	}
	return journal.Verdict{}, errors.Errorf("unknown kind %q", rec.Kind)
}

func (r *Registry) applyHello(at journal.Offset, h Hello) journal.Verdict {
	if h.Daemon == "" || h.Address == "" {
		return journal.Reject("hello without daemon or address")
	}
	for id, old := range r.hellos {
		if id != h.Daemon && old.Hello.Address != h.Address {
			continue
		}
		if old.Hello.Incarnation > h.Incarnation {
			return journal.Reject("the daemon or address is registered with a later incarnation")
		}
		delete(r.hellos, id)
	}
	if len(r.hellos) >= maxHellos {
		r.dropOldest()
	}
	r.hellos[h.Daemon] = registeredHello{Hello: h, At: at}
	return journal.Accept()
}

func (r *Registry) applyGoodbye(g Goodbye) journal.Verdict {
	if _, known := r.hellos[g.Daemon]; !known {
		return journal.Reject("the daemon is not registered")
	}
	delete(r.hellos, g.Daemon)
	return journal.Accept()
}

func (r *Registry) expire(at journal.Offset) {
	for id, h := range r.hellos {
		if at > h.At+maxHelloAge {
			delete(r.hellos, id)
		}
	}
}

func (r *Registry) dropOldest() {
	var oldest fleet.DaemonID
	for id, h := range r.hellos {
		if oldest == "" || h.At < r.hellos[oldest].At {
			oldest = id
		}
	}
	delete(r.hellos, oldest)
}

// Daemons returns the registered daemons, sorted by id.
func (r *Registry) Daemons() []Hello {
	r.mu.RLock()
	defer r.mu.RUnlock()
	sorted := r.sorted()
	out := make([]Hello, len(sorted))
	for i, h := range sorted {
		out[i] = h.Hello
	}
	return out
}

// AnnouncedAt returns the offset of a daemon's last hello, and whether the
// daemon is registered.
func (r *Registry) AnnouncedAt(id fleet.DaemonID) (journal.Offset, bool) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	h, ok := r.hellos[id]
	return h.At, ok
}

func (r *Registry) sorted() []registeredHello {
	out := make([]registeredHello, 0, len(r.hellos))
	for _, h := range r.hellos {
		out = append(out, h)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Hello.Daemon < out[j].Hello.Daemon })
	return out
}

// Snapshot implements journal.Fold.
func (r *Registry) Snapshot() ([]byte, error) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	data, err := wireCodec.enc.Marshal(registrySnapshot{Format: registryFormat, Hellos: r.sorted()})
	return data, errors.Wrap(err, "encode registry")
}

// Restore implements journal.Fold.
func (r *Registry) Restore(data []byte) error {
	var s registrySnapshot
	if err := wireCodec.dec.Unmarshal(data, &s); err != nil {
		return errors.Wrap(err, "decode registry")
	}
	if s.Format != registryFormat {
		return errors.Errorf("registry snapshot format %d, want %d", s.Format, registryFormat)
	}
	hellos := make(map[fleet.DaemonID]registeredHello, len(s.Hellos))
	for _, h := range s.Hellos {
		hellos[h.Hello.Daemon] = h
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.hellos = hellos
	return nil
}
