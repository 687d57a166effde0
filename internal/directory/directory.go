package directory

import (
	"sync"
	"time"

	"carawayproxy.example/caraway/internal/fleet"
	"carawayproxy.example/caraway/internal/group"
)

// Config sets up a Directory.
type Config struct {
	// ReturnGrace is how long after the list was away a server that left it
	// meanwhile still counts as listed.
	ReturnGrace time.Duration
	// SizeOf returns how many instances a replica of a model takes, zero when
	// the model is not known.
	SizeOf func(model string) int
	// ServiceOf names what requests for a model of an engine service are
	// routed to.
	ServiceOf func(service, model string) fleet.ServiceName
	// Generates reports whether a service runs models.
	Generates func(service string) bool
}

// Directory is safe for concurrent use.
type Directory struct {
	cfg Config

	mu      sync.Mutex
	entries map[fleet.InstanceID]*entry
	// awaySince is when the list was last found to be away, zero while it is
	// there; backAt is when it was found to be back.
	awaySince, backAt time.Time
	version           uint64 // of the entries
	view              *group.View
	viewOf            uint64
}

// entry is one listed server.
type entry struct {
	server  Server
	heardAt time.Time // when its last announcement was read
	// placeAt is the moment of which the place is known, and answered is set
	// when the server itself has told it and not the list.
	placeAt  time.Time
	answered bool
	// lastEpoch is the highest epoch of the server's places since its start.
	lastEpoch fleet.Epoch
	// lapsedAt is when it left the list while the list was away or just back.
	lapsedAt time.Time
	// failedAt is when the server was found not to answer, zero while it does.
	failedAt time.Time
}

// New returns an empty directory.
func New(cfg Config) *Directory {
	return &Directory{cfg: cfg, entries: map[fleet.InstanceID]*entry{}}
}

// Announce takes in what a server says of itself in the list.
func (d *Directory) Announce(s Server, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	e := d.entries[s.Instance]
	if e == nil {
		e = &entry{}
		d.entries[s.Instance] = e
	}
	if e.outdates(&s, now) {
		s.Place = e.server.Place
	} else {
		e.placeAt, e.answered = now, false
	}
	if e.heardAt.IsZero() || changed(&e.server, &s) || !e.lapsedAt.IsZero() || !e.failedAt.IsZero() {
		d.version++
	}
	e.take(s)
	e.heardAt = now
	e.lapsedAt = time.Time{}
	e.failedAt = time.Time{}
}

// listLag is how long the list may show an older place of a server than the
// server itself has told: the time to write and to read an announcement.
const listLag = 500 * time.Millisecond

// outdates reports whether the place that the list tells is older than the one
// that the server itself has told just now. An announcement bears no time, and
// its sequence counts other things than an answer's, so that the order of places
// tells: a place that comes before the known one was announced before it.
func (e *entry) outdates(s *Server, now time.Time) bool {
	if e.heardAt.IsZero() || e.server.Incarnation != s.Incarnation || !e.answered || now.Sub(e.placeAt) >= listLag {
		return false
	}
	return s.Place.before(e.server.Place, e.lastEpoch)
}

// changed reports whether views made of a server are out of date.
func changed(old, new *Server) bool {
	if (old.Place == nil) != (new.Place == nil) || old.Place != nil && *old.Place != *new.Place {
		return true
	}
	return old.Incarnation != new.Incarnation || old.Leaving != new.Leaving || old.Address != new.Address || old.Service != new.Service
}

// Withdraw takes a server off the list. While the list was away, and for
// ReturnGrace after it, the server may only not have been able to announce
// itself, and stays.
func (d *Directory) Withdraw(id fleet.InstanceID, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	e := d.entries[id]
	if e == nil {
		return
	}
	if d.lenient(now) {
		if e.lapsedAt.IsZero() {
			e.lapsedAt = now
		}
		return
	}
	delete(d.entries, id)
	d.version++
}

func (d *Directory) lenient(now time.Time) bool {
	return !d.awaySince.IsZero() || (!d.backAt.IsZero() && now.Sub(d.backAt) < d.cfg.ReturnGrace)
}

// Retain takes all servers off the list but those named, after the list was
// read whole.
func (d *Directory) Retain(listed map[fleet.InstanceID]bool, now time.Time) {
	d.mu.Lock()
	var gone []fleet.InstanceID
	for id := range d.entries {
		if !listed[id] {
			gone = append(gone, id)
		}
	}
	d.mu.Unlock()
	for _, id := range gone {
		d.Withdraw(id, now)
	}
}

// ListAway tells that the list can't be read.
func (d *Directory) ListAway(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.awaySince.IsZero() {
		d.awaySince = now
	}
}

// lapseAfter is how long the list must be away for servers to lapse that are
// there: less than the shortest time in which one announces itself again.
const lapseAfter = 800 * time.Millisecond

// ListRead tells that the list was read. It returns how long it had been away.
func (d *Directory) ListRead(now time.Time) (away time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.awaySince.IsZero() {
		away = now.Sub(d.awaySince)
		d.awaySince = time.Time{}
		if away >= lapseAfter {
			d.backAt = now
		}
	}
	if d.lenient(now) {
		return away
	}
	for id, e := range d.entries {
		if !e.lapsedAt.IsZero() {
			delete(d.entries, id)
			d.version++
		}
	}
	return away
}

// Fail tells that a server does not answer. It counts as down until it
// announces or proves itself again.
func (d *Directory) Fail(id fleet.InstanceID, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if e := d.entries[id]; e != nil && e.failedAt.IsZero() {
		e.failedAt = now
		d.version++
	}
}

// Answered takes in what a server said of itself directly, of which it was so at
// a moment, and reports whether that changes what is known of it. What is known
// of a later moment stays.
func (d *Directory) Answered(s Server, moment time.Time) (news bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	e := d.entries[s.Instance]
	if e == nil || e.server.Incarnation > s.Incarnation {
		return false
	}
	if e.server.Incarnation == s.Incarnation && moment.Before(e.placeAt) {
		s.Place, s.Staged = e.server.Place, e.server.Staged
	} else {
		e.placeAt, e.answered = moment, true
	}
	s.Address, s.Zone, s.Service, s.Slots = e.server.Address, e.server.Zone, e.server.Service, e.server.Slots
	s.Leaving = s.Leaving || e.server.Leaving
	if changed(&e.server, &s) || !e.failedAt.IsZero() {
		d.version++
		news = true
	}
	e.take(s)
	e.failedAt = time.Time{}
	return news
}

// take makes a server's word the known one.
func (e *entry) take(s Server) {
	if e.server.Incarnation != s.Incarnation {
		e.lastEpoch = 0
	}
	if s.Place != nil {
		e.lastEpoch = max(e.lastEpoch, s.Place.Epoch)
	}
	e.server = s
}

// Listing is a server with what is known of it besides.
type Listing struct {
	Server
	HeardAt time.Time
	Failed  bool
	Lapsed  bool
}

// Servers returns all listed servers.
func (d *Directory) Servers() map[fleet.InstanceID]Listing {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := make(map[fleet.InstanceID]Listing, len(d.entries))
	for id, e := range d.entries {
		out[id] = Listing{Server: e.server, HeardAt: e.heardAt, Failed: !e.failedAt.IsZero(), Lapsed: !e.lapsedAt.IsZero()}
	}
	return out
}

// Len returns how many servers are listed.
func (d *Directory) Len() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.entries)
}

// Groups returns the groups as their members tell them.
func (d *Directory) Groups() *group.View {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.view == nil || d.viewOf != d.version {
		d.view = d.buildView()
		d.viewOf = d.version
	}
	return d.view
}

// Instances returns the listed servers as instances.
func (d *Directory) Instances() map[fleet.InstanceID]fleet.Instance {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := make(map[fleet.InstanceID]fleet.Instance, len(d.entries))
	for id, e := range d.entries {
		out[id] = d.instance(e)
	}
	return out
}

func (d *Directory) instance(e *entry) fleet.Instance {
	kind := fleet.KindPlain
	if d.cfg.Generates(e.server.Service) {
		kind = fleet.KindEngine
	}
	return fleet.Instance{
		ID:           e.server.Instance,
		Address:      e.server.Address,
		Zone:         e.server.Zone,
		Fabric:       e.server.Fabric,
		Pool:         fleet.Pool(e.server.Service),
		Kind:         kind,
		Accelerators: 1,
		Leaving:      e.server.Leaving,
	}
}

// Leaving reports whether the list says that a server is leaving. One that is
// not listed is.
func (d *Directory) Leaving(id fleet.InstanceID) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	e := d.entries[id]
	return e == nil || e.server.Leaving
}

// Report implements group.Reports: what the list last said of a server, as a
// report of this moment. The list's own news of a server's end takes the place
// of an age: a server that is listed and has not been found to fail is fresh.
func (d *Directory) Report(id fleet.InstanceID) (fleet.Report, bool) {
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	e := d.entries[id]
	if e == nil {
		return fleet.Report{}, false
	}
	r := fleet.Report{
		Instance:    id,
		Incarnation: e.server.Incarnation,
		Ready:       e.server.Place == nil,
		Leaving:     e.server.Leaving,
		MaxRunning:  e.server.Slots,
		ReceivedAt:  now,
		Failed:      !e.failedAt.IsZero(),
		FailedSince: e.failedAt,
	}
	if p := e.server.Place; p != nil {
		r.Ready = p.State == PlaceOpen || (p.Rank > 0 && p.State == PlaceReady)
		r.Assignment = &fleet.Assignment{Group: p.Group, Epoch: p.Epoch, Rank: p.Rank, Members: d.membersOf(p)}
	}
	return r, true
}

// membersOf lists the addresses of the group that a place is in.
func (d *Directory) membersOf(p *Place) []string {
	if d.view == nil || d.viewOf != d.version {
		d.view = d.buildView()
		d.viewOf = d.version
	}
	g := d.view.Groups[p.Group]
	if g == nil || g.Epoch != p.Epoch {
		return nil
	}
	members := make([]string, len(g.Members))
	for i, m := range g.Members {
		members[i] = m.Address
	}
	return members
}

var _ group.Reports = (*Directory)(nil)
