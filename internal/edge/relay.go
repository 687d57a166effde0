package edge

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
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
	readWithin = serversWait + time.Second
)

// The store deals a scope anew whenever the daemons change that ask for it, and
// for a while nobody holds it then. So only its holder asks, and while nobody
// leads one daemon more after each standAfter.
const standAfter = 900 * time.Millisecond

// stands reports whether this daemon asks for scopes. Those that hear each
// other take turns in an order that has nothing to do with their places.
func (d *Daemon) stands() bool {
	ahead, leader := 0, false
	own := xxhash.Sum64String(string(d.id))
	d.hears(func(p membership.Peer) bool {
		if !p.Heartbeat.Draining && xxhash.Sum64String(string(p.Heartbeat.From)) < own {
			ahead++
		}
		leader = leader || p.Heartbeat.Leads
		return false
	})
	now := time.Since(d.started)
	if leader {
		d.leaderAt.Store(int64(now))
		return false
	}
	return now-time.Duration(d.leaderAt.Load()) > time.Duration(ahead)*standAfter
}

// hearsReader reports whether another daemon posts the list's changes.
func (d *Daemon) hearsReader() bool {
	return d.hears(func(p membership.Peer) bool { return p.Heartbeat.Reads })
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

func (d *Daemon) serversEvery() time.Duration {
	switch {
	case d.conductor.Leads():
		return leaderServersEvery
	case !d.reads() && d.hearsReader():
		return relayedServersEvery
	default:
		return serversEvery
	}
}

// posted is a change of the list in a bulletin.
type posted struct {
	Server  *directory.Server `cbor:"1,keyasint,omitempty"`
	Dropped bool              `cbor:"2,keyasint,omitempty"`
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
		item := feed.Item[directory.Server]{Key: b.Key, Position: b.Version - 1, Dropped: p.Dropped}
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
}

// newer reports whether a change is later than the last one of its key, and
// remembers it.
func (s *seenPositions) newer(key string, position uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.at == nil {
		s.at = map[string]uint64{}
	}
	if s.at[key] > position {
		return false
	}
	s.at[key] = position + 1
	return true
}
