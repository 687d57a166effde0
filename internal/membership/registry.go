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

// Bounds of a Registry. Ages are counted in offsets of the control stream,
// never by clocks, so that every daemon ages alike.
const (
	// maxHellos bounds the daemons kept; the oldest hello goes first.
	maxHellos = 4096
	// maxHelloAge is how many records of the control stream later a hello
	// still counts. A daemon says hello again well before; see HelloEvery.
	maxHelloAge = 100_000
	// HelloEvery is after how many records of the control stream a daemon
	// says hello again.
	HelloEvery = maxHelloAge / 4
)

// registryFormat is the version of the registry's snapshot.
const registryFormat = 1

// Hello is a daemon's announcement in the control stream.
type Hello struct {
	Daemon      fleet.DaemonID `cbor:"1,keyasint"`
	Address     string         `cbor:"2,keyasint"`
	Zone        fleet.Zone     `cbor:"3,keyasint"`
	Incarnation uint64         `cbor:"4,keyasint"`
}

// Goodbye takes a daemon's announcement back.
type Goodbye struct {
	Daemon fleet.DaemonID `cbor:"1,keyasint"`
}

// Registry is the fold of the daemons' announcements. A hello with an older
// incarnation than its address or daemon already has is rejected. A daemon
// counts until its goodbye, until another takes its address, or until its
// last hello is maxHelloAge records old.
type Registry struct {
	mu     sync.RWMutex
	hellos map[fleet.DaemonID]placedHello
}

type placedHello struct {
	Hello Hello          `cbor:"1,keyasint"`
	At    journal.Offset `cbor:"2,keyasint"`
}

type registrySnapshot struct {
	Format int           `cbor:"1,keyasint"`
	Hellos []placedHello `cbor:"2,keyasint"`
}

var _ journal.Fold = (*Registry)(nil)

// NewRegistry returns an empty registry.
func NewRegistry() *Registry {
	return &Registry{hellos: map[fleet.DaemonID]placedHello{}}
}

// Kinds implements journal.Fold.
func (r *Registry) Kinds() []journal.Kind { return []journal.Kind{KindHello, KindGoodbye} }

// Apply implements journal.Fold.
func (r *Registry) Apply(at journal.Offset, rec journal.Record) (journal.Verdict, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.age(at)
	switch rec.Kind {
	case KindHello:
		var h Hello
		if err := wire.dec.Unmarshal(rec.Body, &h); err != nil {
			return journal.Reject("malformed: " + err.Error()), nil
		}
		return r.hello(at, h), nil
	case KindGoodbye:
		var g Goodbye
		if err := wire.dec.Unmarshal(rec.Body, &g); err != nil {
			return journal.Reject("malformed: " + err.Error()), nil
		}
		return r.goodbye(g), nil
	}
	return journal.Verdict{}, errors.Errorf("unknown kind %q", rec.Kind)
}

func (r *Registry) hello(at journal.Offset, h Hello) journal.Verdict {
	if h.Daemon == "" || h.Address == "" {
		return journal.Reject("a hello needs a daemon and an address")
	}
	for id, old := range r.hellos {
		if id != h.Daemon && old.Hello.Address != h.Address {
			continue
		}
		if old.Hello.Incarnation > h.Incarnation {
			return journal.Reject("the daemon or address has a later incarnation")
		}
		delete(r.hellos, id)
	}
	if len(r.hellos) >= maxHellos {
		r.dropOldest()
	}
	r.hellos[h.Daemon] = placedHello{Hello: h, At: at}
	return journal.Accept()
}

func (r *Registry) goodbye(g Goodbye) journal.Verdict {
	if _, known := r.hellos[g.Daemon]; !known {
		return journal.Reject("the daemon is not known")
	}
	delete(r.hellos, g.Daemon)
	return journal.Accept()
}

func (r *Registry) age(at journal.Offset) {
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

// Daemons returns the announced daemons in the order of their ids.
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

// AnnouncedAt returns the offset of a daemon's hello.
func (r *Registry) AnnouncedAt(id fleet.DaemonID) (journal.Offset, bool) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	h, ok := r.hellos[id]
	return h.At, ok
}

func (r *Registry) sorted() []placedHello {
	out := make([]placedHello, 0, len(r.hellos))
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
	data, err := wire.enc.Marshal(registrySnapshot{Format: registryFormat, Hellos: r.sorted()})
	return data, errors.Wrap(err, "encode registry")
}

// Restore implements journal.Fold.
func (r *Registry) Restore(data []byte) error {
	var s registrySnapshot
	if err := wire.dec.Unmarshal(data, &s); err != nil {
		return errors.Wrap(err, "decode registry")
	}
	if s.Format != registryFormat {
		return errors.Errorf("registry snapshot format %d, want %d", s.Format, registryFormat)
	}
	hellos := make(map[fleet.DaemonID]placedHello, len(s.Hellos))
	for _, h := range s.Hellos {
		hellos[h.Hello.Daemon] = h
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.hellos = hellos
	return nil
}
