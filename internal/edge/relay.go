package edge

import (
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"carawayproxy.example/caraway/internal/directory"
	"carawayproxy.example/caraway/internal/feed"
	"carawayproxy.example/caraway/internal/membership"
)

// Calls to the store are shared by all daemons and bounded, so that only a few
// daemons follow the list: those that lead, and those that hear of no other
// one. They post its changes to the others.

const (
	// heardWithin is how old the heartbeat may be of a daemon that is relied
	// on: nearly two intervals.
	heardWithin = 900 * time.Millisecond
	// readWithin is how long ago a daemon must have read the list to be one
	// that others rely on. A read waits for a change.
	readWithin = serversWaitReader + 600*time.Millisecond
)

// hearsReader reports whether another daemon posts the list's changes.
func (d *Daemon) hearsReader() bool {
	return d.hears(func(p membership.Peer) bool { return p.Heartbeat.Reads && !p.Heartbeat.StoreAway })
}

func (d *Daemon) hears(is func(membership.Peer) bool) bool {
	now := time.Now()
	for _, p := range d.mesh.View().Peers {
		if p.Alive && now.Sub(p.HeardAt) <= heardWithin && is(p) {
			return true
		}
	}
	return false
}

// reads reports whether this daemon follows the list for others. Of two that
// hear each other the one with the lower id goes on, unless the other leads.
func (d *Daemon) reads() bool {
	if !d.listed.Load() || time.Since(d.started)-time.Duration(d.readAt.Load()) > readWithin {
		return false
	}
	if d.conductor.Leads() {
		return true
	}
	return !d.hears(func(p membership.Peer) bool {
		return p.Heartbeat.Reads && (p.Heartbeat.Leads || p.Heartbeat.From < d.id)
	})
}

// serversWait is how long a read of the list may wait.
func (d *Daemon) serversWait() time.Duration {
	if d.conductor.Leads() || !d.hearsReader() {
		return serversWaitReader
	}
	return serversWait
}

func (d *Daemon) serversEvery() time.Duration {
	switch {
	case d.conductor.Leads():
		return leaderServersEvery
	case !d.reads() && d.hearsReader() && d.watches():
		return relayedServersEvery
	case !d.reads() && d.hearsReader():
		return relayedServersOthers
	default:
		return serversEvery
	}
}

// posted is a change of the list in a bulletin, or what an engine itself has
// answered.
type posted struct {
	Server   *directory.Server `cbor:"1,keyasint,omitempty"`
	Dropped  bool              `cbor:"2,keyasint,omitempty"`
	Answered bool              `cbor:"3,keyasint,omitempty"`
	// AgeMilli is how long before it was posted an answer was so.
	AgeMilli uint64 `cbor:"4,keyasint,omitempty"`
}

// telling is the directory of the daemon that leads: it tells the others what
// engines have answered about their places, before the list does and while
// that is away.
type telling struct {
	*directory.Directory
	d *Daemon
}

// Answered implements placement.Servers.
func (t telling) Answered(s directory.Server, moment time.Time) {
	if t.Directory.Answered(s, moment) {
		t.d.postAnswer(s, moment)
	}
}

// answerKey begins the keys of bulletins of answers; no id of a server has it.
const answerKey = "answer/"

// answersPerTerm leaves room for the versions of one holder's answers below those
// of the next.
const answersPerTerm = 1 << 24

func (d *Daemon) postAnswer(s directory.Server, moment time.Time) {
	body, err := cbor.Marshal(posted{Server: &s, Answered: true, AgeMilli: uint64(max(time.Since(moment), 0).Milliseconds())})
	if err != nil {
		d.events.Emit(eventBadRecord, "what", "bulletin", "key", s.Instance, "error", err)
		return
	}
	hold, _ := d.tenure.Held(scopePlacement)
	version := uint64(hold.Term)*answersPerTerm + d.answers.Add(1)
	d.mesh.Post([]membership.Bulletin{{Key: answerKey + string(s.Instance), Version: version, Body: body}})
}

// post tells all daemons of changes of the list.
func (d *Daemon) post(items []feed.Item[directory.Server]) {
	var bulletins []membership.Bulletin
	for _, item := range items {
		if item.Err != nil {
			continue // each reader of the list logs it itself
		}
		p := posted{Dropped: item.Dropped}
		if !item.Dropped {
			p.Server = &item.Value
		}
		body, err := cbor.Marshal(p)
		if err != nil {
			d.events.Emit(eventBadRecord, "what", "bulletin", "key", item.Key, "error", err)
			continue
		}
		bulletins = append(bulletins, membership.Bulletin{Key: item.Key, Version: item.Position + 1, Body: body})
	}
	d.mesh.Post(bulletins)
}

// heardBulletins takes in changes of the list that a peer posted.
func (d *Daemon) heardBulletins(bulletins []membership.Bulletin) {
	var items []feed.Item[directory.Server]
	for _, b := range bulletins {
		var p posted
		err := cbor.Unmarshal(b.Body, &p)
		if err != nil || b.Version == 0 || (p.Server == nil) != p.Dropped {
			d.events.Emit(eventBadRecord, "what", "bulletin", "key", b.Key, "error", err)
			continue
		}
		if p.Answered {
			d.directory.Answered(*p.Server, time.Now().Add(-b.Age()-time.Duration(p.AgeMilli)*time.Millisecond))
			continue
		}
		item := feed.Item[directory.Server]{Key: b.Key, Position: b.Version - 1, Dropped: p.Dropped, Age: b.Age()}
		if p.Server != nil {
			item.Value = *p.Server
		}
		items = append(items, item)
	}
	d.takeNews(items)
}

// seenPositions remembers the position of the last change of each key.
type seenPositions struct {
	mu sync.Mutex
	at map[string]uint64 // position and one
	// from is where a whole reading ended: what lies before it is known.
	from uint64
}

// newer reports whether a change is later than the last one of its key, and
// remembers it.
func (s *seenPositions) newer(key string, position uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.at == nil {
		s.at = map[string]uint64{}
	}
	if s.at[key] > position || position < s.from {
		return false
	}
	s.at[key] = position + 1
	return true
}

// readWhole notes that every change before a position is known. A key of which
// a whole reading told nothing was dropped, and a peer may still pass on its
// last value.
func (s *seenPositions) readWhole(next uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.from = max(s.from, next)
}
