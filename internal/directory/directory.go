package directory

import (
	"sync"
	"time"

	"carawayproxy.example/caraway/internal/fleet"
	"carawayproxy.example/caraway/internal/group"
)

// Config sets up a Directory.
type Config struct {
	// ReturnGrace is how long after an outage of the list a server that dropped
	// off it may return.
	ReturnGrace time.Duration
	// LeavingBound is how long a server may still get requests after its entry has been
	// removed.
	LeavingBound time.Duration
	// SizeOf returns the number of instances of one replica of a model, zero if the
	// service does not run the model.
	SizeOf func(service, model string) int
	// ServiceOf returns the name of the service to which requests for a model
	// of an engine service are routed.
	ServiceOf func(service, model string) fleet.ServiceName
	// ModelOf returns the model of a group, "" if placement did not name the group.
	ModelOf func(id fleet.GroupID) string
	// Generates reports whether a service runs models.
	Generates func(service string) bool
	// ColdStart returns how long a server of a service is cold after its start, zero if
	// it never is; nil for never.
	ColdStart func(service string) time.Duration
}

// Directory tracks the listed servers. It is safe for concurrent use.
type Directory struct {
	cfg Config

	mu      sync.Mutex
	entries map[fleet.InstanceID]*entry
	// unavailableSince is the time as of which the list was last known before the
	// present outage, zero while the list can be read. returnUntil is the time until
	// which servers that drop off the list after the last outage may return, and
	// readableSince when the list could be read again, zero if there was none.
	unavailableSince, returnUntil, readableSince time.Time
	version                                      uint64 // of the entries
	view                                         *group.View
	viewVersion                                  uint64
	// leavers holds the servers that have announced in an answer that they leave,
	// also while they are not listed.
	leavers map[fleet.InstanceID]leaver
	// departures holds the servers that were removed from the list lately, and withheld
	// the entries of a restored list that do not count yet.
	departures map[fleet.InstanceID]departure
	withheld   map[fleet.InstanceID]withheldEntry
}

// leaver is a server process that has announced that it leaves.
type leaver struct {
	incarnation uint64
	since       time.Time
}

// leaverRetention is how long a server that left the list is remembered as leaving,
// longer than its entry may be missing while it runs.
const leaverRetention = 10 * time.Minute

// entry is one listed server.
type entry struct {
	server      Server
	announcedAt time.Time // when its last announcement was read
	// placeAsOf is the time as of which the place is known. placeFromServer is
	// set if the server itself reported it, rather than the list.
	placeAsOf       time.Time
	placeFromServer bool
	// answeredAsOf is the time as of which the server itself has last confirmed the
	// known place, zero if it has not since its start.
	answeredAsOf time.Time
	// lastEpoch is the highest epoch of the server's places since its start.
	lastEpoch fleet.Epoch
	// loadedModel is the model of the last place in which the server was ready
	// since its start, and loadedEpoch the epoch of that place.
	loadedModel string
	loadedEpoch fleet.Epoch
	// keptUntil is set while the server is not listed, but may return until then.
	// returnedAt is when it has last done so.
	keptUntil, returnedAt time.Time
	// missingInCopy is set if it is not listed because a copy from which the list was
	// restored lacks it.
	missingInCopy bool
	// failedAt is when the server was found not to respond, zero while it does.
	failedAt time.Time
	// unreadable is set while the newest announcement cannot be read.
	unreadable bool
	// coldUntil is when the server is warm at the latest, zero if it has not been cold.
	// coldDoubtAt is when it may have become cold after its last announcement, zero if
	// that is current, and coldDoubtUntil when its next announcement would have shown it.
	coldUntil, coldDoubtAt, coldDoubtUntil time.Time
	// stallReports counts the reports since stalledAt that its streams have stalled.
	stallReports int
	stalledAt    time.Time
}

// New returns an empty directory.
func New(cfg Config) *Directory {
	return &Directory{
		cfg: cfg, entries: map[fleet.InstanceID]*entry{}, leavers: map[fleet.InstanceID]leaver{},
		departures: map[fleet.InstanceID]departure{}, withheld: map[fleet.InstanceID]withheldEntry{},
	}
}

// Announce records a server's announcement in the list.
func (d *Directory) Announce(s Server, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.announce(s, now, false)
}

// announce is Announce, with mu held. FromCopy is set for an entry of a list that was
// restored from an older copy.
func (d *Directory) announce(s Server, now time.Time, fromCopy bool) {
	delete(d.departures, s.Instance)
	delete(d.withheld, s.Instance)
	e := d.entries[s.Instance]
	if e == nil {
		e = &entry{}
		d.entries[s.Instance] = e
	}
	s.Leaving = s.Leaving || d.hasAnnouncedLeaving(s.Instance, s.Incarnation)
	if e.hasNewerPlace(&s, now) {
		s.Place = e.server.Place
	} else {
		e.placeAsOf, e.placeFromServer = now, false
	}
	if e.announcedAt.IsZero() || affectsViews(&e.server, &s) || e.isUnlisted() || !e.failedAt.IsZero() {
		d.version++
	}
	e.recordAnnouncedCold(&s, now, fromCopy || now.Sub(d.readableSince) <= maxListLag)
	e.update(s, d.cfg.ModelOf)
	e.announcedAt = now
	if e.isUnlisted() {
		e.keptUntil, e.returnedAt, e.missingInCopy = time.Time{}, now, false
	}
	e.failedAt = time.Time{}
	e.unreadable = false
}

// RecordLeaving records that a server process has announced in an answer that it
// leaves. It counts as leaving until the server's next start: an announcement in the
// list that shows it as ready may have been written earlier, and some servers never
// announce there that they leave. RecordLeaving returns the server as listed and
// reports whether this was unknown and the server is listed.
func (d *Directory) RecordLeaving(id fleet.InstanceID, incarnation uint64, now time.Time) (s Server, updated bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	e := d.entries[id]
	known, marked := d.leavers[id]
	switch {
	case marked && known.incarnation == incarnation:
		return Server{}, false
	case e != nil && e.server.Incarnation > incarnation, e == nil && marked && known.incarnation > incarnation:
		return Server{}, false // that process has ended
	}
	for other, l := range d.leavers {
		if d.entries[other] == nil && now.Sub(l.since) > leaverRetention {
			delete(d.leavers, other)
		}
	}
	d.leavers[id] = leaver{incarnation, now}
	if e == nil || e.server.Incarnation != incarnation {
		return Server{}, false
	}
	if !e.server.Leaving {
		e.server.Leaving = true
		d.version++
	}
	return e.server, true
}

// Leavers returns the listed servers that have announced in an answer that they
// leave.
func (d *Directory) Leavers() []Server {
	d.mu.Lock()
	defer d.mu.Unlock()
	var out []Server
	for id := range d.leavers {
		if e := d.entries[id]; e != nil && d.hasAnnouncedLeaving(id, e.server.Incarnation) {
			out = append(out, e.server)
		}
	}
	return out
}

func (d *Directory) hasAnnouncedLeaving(id fleet.InstanceID, incarnation uint64) bool {
	l, marked := d.leavers[id]
	return marked && l.incarnation == incarnation
}

// Unreadable records that the newest announcement of a server cannot be read. The
// server gets no new requests until the next valid one, because the announcement
// may have replaced one that it leaves. It keeps its place in its group: the
// server announces itself again within a heartbeat interval.
func (d *Directory) Unreadable(id fleet.InstanceID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if e := d.entries[id]; e != nil {
		e.unreadable = true
	}
}

// maxListLag is how long the list may show an older place than the server itself
// has reported: the time to write and read an announcement.
const maxListLag = 500 * time.Millisecond

// hasNewerPlace reports whether the known place, reported by the server itself a
// moment ago, is newer than the one in an announcement. Announcements carry no
// time, and their sequence numbers can't be compared with those of answers, so
// the order of places decides: a place that precedes the known one was announced
// earlier.
func (e *entry) hasNewerPlace(s *Server, now time.Time) bool {
	if e.announcedAt.IsZero() || e.server.Incarnation != s.Incarnation || !e.placeFromServer || now.Sub(e.placeAsOf) >= maxListLag {
		return false
	}
	return s.Place.precedes(e.server.Place, e.lastEpoch)
}

// affectsViews reports whether views built from old differ from those built from
// new.
func affectsViews(old, new *Server) bool {
	return !samePlace(old.Place, new.Place) || old.Incarnation != new.Incarnation || old.Leaving != new.Leaving || old.Address != new.Address || old.Service != new.Service
}

func samePlace(a, b *Place) bool {
	return a == b || a != nil && b != nil && *a == *b
}

// Fail records that a server does not respond. The server counts as failed until
// its next announcement or direct answer.
func (d *Directory) Fail(id fleet.InstanceID, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if e := d.entries[id]; e != nil && e.failedAt.IsZero() {
		e.failedAt = now
		e.doubtCold(now)
		d.version++
	}
}

// RecordAnswer records a server's direct answer, valid as of asOf, and reports
// whether it changes the views. The answer's place and staged models are
// ignored if the place is known as of a later time.
func (d *Directory) RecordAnswer(s Server, asOf time.Time) (updated bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	e := d.entries[s.Instance]
	if e == nil || e.server.Incarnation > s.Incarnation {
		return false
	}
	confirmed := true
	if e.server.Incarnation == s.Incarnation && asOf.Before(e.placeAsOf) {
		confirmed = samePlace(s.Place, e.server.Place)
		s.Place, s.Staged = e.server.Place, e.server.Staged
	} else {
		e.placeAsOf, e.placeFromServer = asOf, true
	}
	s.Address, s.Zone, s.Service, s.Slots = e.server.Address, e.server.Zone, e.server.Service, e.server.Slots
	s.Leaving = s.Leaving || e.server.Leaving && e.server.Incarnation == s.Incarnation || d.hasAnnouncedLeaving(s.Instance, s.Incarnation)
	if affectsViews(&e.server, &s) || !e.failedAt.IsZero() {
		d.version++
		updated = true
	}
	e.recordAnsweredCold(&s, asOf)
	e.update(s, d.cfg.ModelOf)
	e.failedAt = time.Time{}
	if confirmed && asOf.After(e.answeredAsOf) {
		if e.answeredAsOf.IsZero() {
			d.version++ // the engine may now hold a rank that another entry reports
		}
		e.answeredAsOf = asOf
	}
	return updated
}

// update replaces the entry's server.
func (e *entry) update(s Server, modelOf func(fleet.GroupID) string) {
	if e.server.Incarnation != s.Incarnation {
		e.lastEpoch, e.loadedModel, e.loadedEpoch, e.answeredAsOf = 0, "", 0, time.Time{}
	}
	if s.Place != nil {
		e.lastEpoch = max(e.lastEpoch, s.Place.Epoch)
		e.recordLoaded(s.Place, modelOf)
	}
	e.server = s
}

func (e *entry) recordLoaded(p *Place, modelOf func(fleet.GroupID) string) {
	if p.State != PlaceJoining && p.Epoch >= e.loadedEpoch {
		e.loadedModel, e.loadedEpoch = modelOf(p.Group), p.Epoch
	}
}

// Loaded is the model of the last place in which a server was ready since its start.
type Loaded struct {
	Model string `cbor:"1,keyasint"`
	// Epoch is that of the place.
	Epoch fleet.Epoch `cbor:"2,keyasint"`
}

// Loaded returns what a server process has loaded, nil if it is not known.
func (d *Directory) Loaded(id fleet.InstanceID, incarnation uint64) *Loaded {
	d.mu.Lock()
	defer d.mu.Unlock()
	e := d.entries[id]
	if e == nil || e.server.Incarnation != incarnation || e.loadedModel == "" {
		return nil
	}
	return &Loaded{Model: e.loadedModel, Epoch: e.loadedEpoch}
}

// RecordLoaded records what a server process has loaded, as another daemon knows it.
// That one may have seen places that this one has not.
func (d *Directory) RecordLoaded(id fleet.InstanceID, incarnation uint64, l Loaded) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if e := d.entries[id]; e != nil && e.server.Incarnation == incarnation && l.Epoch > e.loadedEpoch {
		e.loadedModel, e.loadedEpoch = l.Model, l.Epoch
	}
}

// AnnouncedBefore records an announcement that a later one has replaced already.
// Only the model that the server had loaded is taken from it.
func (d *Directory) AnnouncedBefore(s Server) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if e := d.entries[s.Instance]; e != nil && e.server.Incarnation == s.Incarnation && s.Place != nil {
		e.recordLoaded(s.Place, d.cfg.ModelOf)
	}
}

// Listing is a server with its state in the directory.
type Listing struct {
	Server
	AnnouncedAt time.Time
	// AnsweredAsOf is the time as of which the server itself, rather than the list,
	// has last confirmed its place; zero if it has not since its start.
	AnsweredAsOf time.Time
	Failed       bool
	Unlisted     bool
	// LoadedModel is the model of the last place in which the server was ready
	// since its start, "" if it is not known.
	LoadedModel string
	// ColdUntil is when the server is warm by what it has announced, zero if it has not
	// been cold or the servers of its service never are.
	ColdUntil time.Time
}

// Servers returns all listed servers.
func (d *Directory) Servers() map[fleet.InstanceID]Listing {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := make(map[fleet.InstanceID]Listing, len(d.entries))
	for id, e := range d.entries {
		l := Listing{Server: e.server, AnnouncedAt: e.announcedAt, AnsweredAsOf: e.answeredAsOf, Failed: !e.failedAt.IsZero(), Unlisted: e.isUnlisted(), LoadedModel: e.loadedModel}
		if d.coldStart(e.server.Service) > 0 {
			l.ColdUntil = e.coldUntil
		}
		out[id] = l
	}
	return out
}

// Server returns a listed server.
func (d *Directory) Server(id fleet.InstanceID) (Server, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	e := d.entries[id]
	if e == nil {
		return Server{}, false
	}
	return e.server, true
}

// Len returns how many servers are listed.
func (d *Directory) Len() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.entries)
}

// InvalidateGroups causes the groups to be built again, because the models or
// their sizes may have changed.
func (d *Directory) InvalidateGroups() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.version++
}

// Groups returns the groups that the listed servers report.
func (d *Directory) Groups() *group.View {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.view == nil || d.viewVersion != d.version {
		d.view = d.buildView()
		d.viewVersion = d.version
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

// Leaving reports whether a server is announced as leaving, in the list or by an
// answer of its own. It is true for servers that are not listed, unless they may
// return, and for those whose newest announcement cannot be read.
func (d *Directory) Leaving(id fleet.InstanceID) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	e := d.entries[id]
	return e == nil || e.server.Leaving || e.unreadable || e.isExpired(time.Now())
}

// Report implements group.Reports. It returns the last known state of a server
// as a report received now: since the list itself shows when a server stops, a
// listed server that has not been found to fail counts as fresh.
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

// membersOf returns the addresses of the members of a place's group, nil if the
// group is not known in that epoch. Called with mu held.
func (d *Directory) membersOf(p *Place) []string {
	if d.view == nil || d.viewVersion != d.version {
		d.view = d.buildView()
		d.viewVersion = d.version
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
