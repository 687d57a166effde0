package edge

import (
	"strings"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"carawayproxy.example/caraway/internal/directory"
	"carawayproxy.example/caraway/internal/feed"
	"carawayproxy.example/caraway/internal/membership"
	"carawayproxy.example/caraway/internal/suspect"
)

// maxHeartbeatAge is the maximum age of the heartbeat of a peer that this daemon
// relies on: almost two heartbeat intervals.
const maxHeartbeatAge = 900 * time.Millisecond

func (d *Daemon) anyRecentPeer(match func(membership.Peer) bool) bool {
	now := time.Now()
	for _, p := range d.mesh.View().Peers {
		if p.Alive && now.Sub(p.ReceivedAt) <= maxHeartbeatAge && match(p) {
			return true
		}
	}
	return false
}

func (d *Daemon) serversReadInterval() time.Duration {
	if d.groupController.HoldsLease() {
		return holderServersInterval
	}
	return serversInterval
}

// serverBroadcast is the body of a broadcast: a change of the list, the response
// of an engine about its own state, a verdict on a request, a request rate that
// a backend server announces, or a version of the routing document. Releases that do
// not know a field take the body for what the others say, and log it as invalid if
// they say nothing.
type serverBroadcast struct {
	Server   *directory.Server `cbor:"1,keyasint,omitempty"`
	Deleted  bool              `cbor:"2,keyasint,omitempty"`
	Answered bool              `cbor:"3,keyasint,omitempty"`
	// AgeMilli is the age of an engine's response when it was broadcast, in ms.
	AgeMilli uint64           `cbor:"4,keyasint,omitempty"`
	Verdict  *suspect.Verdict `cbor:"5,keyasint,omitempty"`
	Rate     *rateBroadcast   `cbor:"6,keyasint,omitempty"`
	Pause    *pauseBroadcast  `cbor:"7,keyasint,omitempty"`
	// Unreadable is set if the newest entry of the list can't be read.
	Unreadable bool `cbor:"8,keyasint,omitempty"`
	// MayReturn is set for a server that dropped off the list during an outage of the
	// store, or shortly after one.
	MayReturn bool `cbor:"9,keyasint,omitempty"`
	// Loaded is what Server has loaded. The places that show it may have been replaced
	// by later ones before they were sent.
	Loaded *directory.Loaded `cbor:"10,keyasint,omitempty"`
	// KeepMilli is for how long a server with MayReturn may return, in ms. Releases
	// until 8dd3310 do not set it.
	KeepMilli uint64 `cbor:"11,keyasint,omitempty"`
	// Document is a version of the routing document. Releases until ff36b26 do not know
	// it.
	Document *documentDelta `cbor:"12,keyasint,omitempty"`
}

// mayReturnUntil returns until when the server of a deletion that was broadcast some
// time ago may return; zero if it has left, or if the sender does not say.
func (p serverBroadcast) mayReturnUntil(now time.Time, age time.Duration) time.Time {
	if !p.MayReturn || p.KeepMilli == 0 {
		return time.Time{}
	}
	keep := time.Duration(min(p.KeepMilli, uint64(returnGrace.Milliseconds()))) * time.Millisecond
	return now.Add(keep - age)
}

// isKnown reports whether a body that holds neither a verdict nor a rate is a change
// of the list or an engine's response, by its fields and its key. Others are of a
// later version.
func (p serverBroadcast) isKnown(key string) bool {
	switch {
	case p.Server == nil:
		return p.Deleted || p.Unreadable
	case p.Answered:
		id := string(p.Server.Instance)
		return !p.Deleted && (key == answerKeyPrefix+id || key == leavingKeyPrefix+id)
	default:
		return !p.Deleted && key == string(p.Server.Instance)
	}
}

// broadcastingDirectory is the directory of the lease holder. It broadcasts
// engines' responses about their group membership to the other daemons, before
// the list contains them and while the list is unavailable.
type broadcastingDirectory struct {
	*directory.Directory
	d *Daemon
}

// Answered implements placement.Servers.
func (b broadcastingDirectory) Answered(s directory.Server, at time.Time) {
	if s.Leaving {
		b.d.recordLeaving(s.Instance, s.Incarnation, "report")
	}
	if b.Directory.RecordAnswer(s, at) {
		b.d.broadcastAnswer(s, at)
	}
}

// answerKeyPrefix is the prefix of the broadcast keys of engine responses. No
// server ID starts with it.
const answerKeyPrefix = "answer/"

// answersPerTerm separates the broadcast versions of successive lease holders:
// it exceeds the number of responses that a holder broadcasts in one term.
const answersPerTerm = 1 << 24

func (d *Daemon) broadcastAnswer(s directory.Server, at time.Time) {
	body, err := cbor.Marshal(serverBroadcast{
		Server: &s, Answered: true, AgeMilli: uint64(max(time.Since(at), 0).Milliseconds()), Loaded: d.directory.Loaded(s.Instance, s.Incarnation),
	})
	if err != nil {
		d.events.Emit(eventBadRecord, "what", "bulletin", "key", s.Instance, "error", err)
		return
	}
	held, _ := d.elector.Held(scopePlacement)
	version := uint64(held.Term)*answersPerTerm + d.broadcastCount.Add(1)
	d.mesh.Broadcast([]membership.Broadcast{{Key: answerKeyPrefix + string(s.Instance), Version: version, Body: body}})
}

// broadcastChanges broadcasts changes of the list to all daemons. Servers whose entries
// were removed may return until a time, except at the positions in left. It returns
// false if there are too many changes to send them all.
func (d *Daemon) broadcastChanges(items []feed.Item[directory.Server], mayReturnUntil time.Time, left map[feed.Position]bool) bool {
	var broadcasts []membership.Broadcast
	keep := time.Until(mayReturnUntil).Milliseconds()
	for _, item := range items {
		p := serverBroadcast{Deleted: item.Deleted}
		if item.Deleted && keep > 0 && !left[item.Position] {
			p.MayReturn, p.KeepMilli = true, uint64(keep)
		}
		switch {
		case item.Err != nil && item.Key == "":
			continue // it concerns no known server
		case item.Err != nil:
			p.Unreadable = true
		case !item.Deleted:
			p.Server, p.Loaded = &item.Value, d.directory.Loaded(item.Value.Instance, item.Value.Incarnation)
		}
		body, err := cbor.Marshal(p)
		if err != nil {
			d.events.Emit(eventBadRecord, "what", "bulletin", "key", item.Key, "error", err)
			continue
		}
		broadcasts = append(broadcasts, membership.Broadcast{Key: item.Key, Era: item.Position.Era, Version: item.Position.Offset + 1, Body: body})
	}
	return d.mesh.Broadcast(broadcasts)
}

// errUnreadableEntry is the error of an entry of the list that a peer could not read.
var errUnreadableEntry = errors.New("a peer could not read the entry")

// maxAnswerAgeMilli bounds the age of an engine's response that a peer broadcasts,
// which overflows a duration otherwise. It is many times a response's use.
const maxAnswerAgeMilli = uint64(24 * time.Hour / time.Millisecond)

// check returns an error for a broadcast that contradicts itself.
func (p serverBroadcast) check(version uint64) error {
	switch {
	case version == 0:
		return errors.New("version is missing")
	case p.Deleted && (p.Server != nil || p.Answered):
		return errors.New("a deletion holds a server or an answer")
	case p.Answered && p.Server == nil:
		return errors.New("an answer holds no server")
	}
	return nil
}

// onBroadcasts applies changes of the list and engine responses that a peer
// broadcast.
func (d *Daemon) onBroadcasts(broadcasts []membership.Broadcast) {
	var items []feed.Item[directory.Server]
	var listed []serverBroadcast
	now := time.Now()
	mayReturnUntil := map[feed.Position]time.Time{}
	for _, b := range broadcasts {
		var p serverBroadcast
		err := cbor.Unmarshal(b.Body, &p)
		if err == nil && p.Verdict != nil {
			d.detector.Apply(*p.Verdict, false)
			continue
		}
		if err == nil && p.Rate != nil {
			d.applyRate(b, *p.Rate)
			continue
		}
		if err == nil && p.Pause != nil {
			d.applyPause(b, *p.Pause)
			continue
		}
		if err == nil && p.Document != nil {
			d.onDocumentDelta(b, *p.Document)
			continue
		}
		if err == nil {
			err = p.check(b.Version)
		}
		if err != nil {
			d.skipBadRecord("bulletin", b.Key, b.Version, err)
			continue
		}
		if !p.isKnown(b.Key) {
			d.events.Emit(eventUnknownBroadcast, "key", b.Key)
			continue
		}
		if p.Answered && p.Server.Leaving {
			d.applyLeaving(*p.Server)
		}
		if strings.HasPrefix(b.Key, leavingKeyPrefix) {
			continue // no report: the place in it is not of its time
		}
		if p.Answered {
			age := time.Duration(min(p.AgeMilli, maxAnswerAgeMilli)) * time.Millisecond
			d.directory.RecordAnswer(*p.Server, time.Now().Add(-b.Age()-age))
			d.recordLoaded(p)
			continue
		}
		item := feed.Item[directory.Server]{Key: b.Key, Position: feed.Position{Era: b.Era, Offset: b.Version - 1}, Deleted: p.Deleted, Age: b.Age()}
		if p.Unreadable {
			item.Err = errUnreadableEntry
		}
		if p.Deleted {
			mayReturnUntil[item.Position] = latest(d.directory.ReturnUntil(), p.mayReturnUntil(now, b.Age()))
		}
		if p.Server != nil {
			item.Value = *p.Server
		}
		items = append(items, item)
		listed = append(listed, p)
	}
	d.updateDirectory(items, sourcePeer, func(at feed.Position) time.Time { return mayReturnUntil[at] })
	for _, p := range listed {
		d.recordLoaded(p)
	}
}

// recordLoaded applies what a peer knows that a server has loaded.
func (d *Daemon) recordLoaded(p serverBroadcast) {
	if p.Server != nil && p.Loaded != nil {
		d.directory.RecordLoaded(p.Server.Instance, p.Server.Incarnation, *p.Loaded)
	}
}

// listPositions tracks the position of the last applied change of each key.
type listPositions struct {
	mu   sync.Mutex
	next map[string]feed.Position // of the last change, plus one
	// base is the end position of the last complete read of the list. Earlier
	// changes are already applied.
	base feed.Position
}

// advance reports whether a change is newer than the last one of its key. If so,
// it records the position.
func (s *listPositions) advance(key string, at feed.Position) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.next == nil {
		s.next = map[string]feed.Position{}
	}
	if at.Before(s.next[key]) || at.Before(s.base) {
		return false
	}
	s.next[key] = at.Next()
	return true
}

// setBase records that all changes before position next are applied. A key
// that is missing from the complete read was deleted, although a peer may still
// relay its last value.
func (s *listPositions) setBase(next feed.Position) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.base.Before(next) {
		s.base = next
	}
}

// end returns the end position of the last complete read.
func (s *listPositions) end() feed.Position {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.base
}
