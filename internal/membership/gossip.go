package membership

import (
	"slices"
	"sort"
	"time"

	"carawayproxy.example/caraway/internal/fleet"
	"carawayproxy.example/caraway/internal/suspect"
)

// Bounds of the items of each kind that are forwarded at a time. Beyond them, new
// items are still processed by this daemon but not forwarded. There are broadcasts
// for each backend server; maxItems bounds those in one message.
const (
	maxGossipItems = 2048
	maxBroadcasts  = maxItems
)

// gossipItem is a leaving instance, a sighting, an acquittal or a broadcast item.
type gossipItem struct {
	number    uint64 // in order of arrival, to track what was sent on a link
	at        time.Time
	from      fleet.DaemonID // peer that sent it, empty for this daemon's source
	relayed   bool           // the peer had it from another daemon
	replaced  bool           // by a later item of the same key
	leaving   fleet.InstanceID
	sighting  *suspect.Sighting
	acquittal *suspect.Acquittal
	broadcast *Broadcast
}

// gossipBuffer holds the items to forward: each once on each link, except to the
// peer that sent it. It is not safe for concurrent use.
type gossipBuffer struct {
	lastNumber uint64
	// order holds the items by number, so that what is new on a link costs no look
	// at the others.
	order      []*gossipItem
	leaving    map[fleet.InstanceID]*gossipItem
	sightings  map[[16]byte]*gossipItem
	acquittals map[[16]byte]*gossipItem
	broadcasts map[string]*gossipItem
	// forwardsPeers is set if peers' acquittals and broadcast items are forwarded.
	// In a full mesh that is not needed and would cost a copy over each link, except
	// for acquittals on a new link, whose peer may have started after their daemon
	// has ended. It would know the deaths and not the survivals.
	forwardsPeers bool
	// relay, if set, decides in place of forwardsPeers which peers' items this
	// daemon passes on.
	relay relayRule
	// ownLeaving holds the instances that this daemon's source listed last, so
	// that an instance that stays listed is added only once.
	ownLeaving map[fleet.InstanceID]bool
}

// relayRule decides which items of peers a daemon passes on.
type relayRule interface {
	// passesOn reports whether an item of a peer is passed on to another one.
	passesOn(item *gossipItem, to fleet.DaemonID) bool
	// teaches reports whether a peer that has just linked gets what this daemon
	// knows of deaths from all daemons.
	teaches(to fleet.DaemonID) bool
}

func newGossipBuffer(forwardsPeers bool) *gossipBuffer {
	return &gossipBuffer{
		forwardsPeers: forwardsPeers,
		leaving:       map[fleet.InstanceID]*gossipItem{},
		sightings:     map[[16]byte]*gossipItem{},
		acquittals:    map[[16]byte]*gossipItem{},
		broadcasts:    map[string]*gossipItem{},
		ownLeaving:    map[fleet.InstanceID]bool{},
	}
}

// addOwn adds the items of this daemon's source.
func (b *gossipBuffer) addOwn(
	now time.Time, leaving []fleet.InstanceID, sightings []suspect.Sighting, acquittals []suspect.Acquittal,
) {
	listed := make(map[fleet.InstanceID]bool, len(leaving))
	for _, id := range leaving {
		listed[id] = true
		if !b.ownLeaving[id] {
			b.addLeaving(id, now, "")
		}
	}
	b.ownLeaving = listed
	for _, s := range sightings {
		if now.Sub(s.At) < evidenceRetention {
			b.addSighting(s, "")
		}
	}
	for _, a := range acquittals {
		if now.Sub(a.At) < evidenceRetention {
			b.addAcquittal(a, "")
		}
	}
}

// addFromPeer adds a peer's items and returns the new ones.
func (b *gossipBuffer) addFromPeer(
	now time.Time, from fleet.DaemonID, msg *gossipMessage,
) (leaving []fleet.InstanceID, sightings []suspect.Sighting, acquittals []suspect.Acquittal) {
	for _, l := range msg.Leaving {
		at := now.Add(-boundedMillis(l.AgeMilli))
		if now.Sub(at) < gossipRetention && b.addLeaving(l.Instance, at, from) {
			leaving = append(leaving, l.Instance)
		}
	}
	for _, s := range msg.Sightings {
		sighting := s.toSighting(now)
		if now.Sub(sighting.At) < evidenceRetention && b.addSighting(sighting, from) {
			sightings = append(sightings, sighting)
		}
	}
	for _, a := range msg.Acquittals {
		acquittal := a.toAcquittal(now)
		if now.Sub(acquittal.At) < evidenceRetention && b.addAcquittal(acquittal, from) {
			acquittals = append(acquittals, acquittal)
		}
	}
	return leaving, sightings, acquittals
}

func (b *gossipBuffer) addLeaving(id fleet.InstanceID, at time.Time, from fleet.DaemonID) bool {
	if b.leaving[id] != nil {
		return false
	}
	if len(b.leaving) < maxGossipItems {
		item := b.newItem(at, from)
		item.leaving = id
		b.leaving[id] = item
	}
	return true
}

func (b *gossipBuffer) addSighting(s suspect.Sighting, from fleet.DaemonID) bool {
	if b.sightings[s.ID] != nil {
		return false
	}
	if len(b.sightings) < maxGossipItems {
		item := b.newItem(s.At, from)
		item.sighting = &s
		b.sightings[s.ID] = item
	}
	return true
}

// addAcquittal adds an acquittal and reports whether it is new. Those of peers leave
// room for this daemon's own.
func (b *gossipBuffer) addAcquittal(a suspect.Acquittal, from fleet.DaemonID) bool {
	if b.acquittals[a.ID] != nil {
		return false
	}
	if len(b.acquittals) < maxGossipItems || from == "" {
		item := b.newItem(a.At, from)
		item.acquittal = &a
		b.acquittals[a.ID] = item
	}
	return true
}

// addBroadcasts adds broadcast items and returns the new ones. An item of this
// daemon that a peer has sent before becomes its own, so that peers that do not
// hear that one get it. All is false if there was no room to send some of them.
func (b *gossipBuffer) addBroadcasts(now time.Time, from fleet.DaemonID, broadcasts []Broadcast) (added []Broadcast, all bool) {
	all = true
	for _, broadcast := range broadcasts {
		old := b.broadcasts[broadcast.Key]
		adopts := old != nil && from == "" && old.from != "" && old.broadcast.Version == broadcast.Version && old.broadcast.Era == broadcast.Era
		if old != nil && !broadcast.replaces(old.broadcast) && !adopts {
			continue
		}
		if !adopts {
			added = append(added, broadcast)
		}
		if old == nil && len(b.broadcasts) >= maxBroadcasts {
			all = false
			continue
		}
		if old != nil {
			old.replaced = true
		}
		item := b.newItem(now.Add(-broadcast.Age()), from)
		item.broadcast = &broadcast
		b.broadcasts[broadcast.Key] = item
	}
	return added, all
}

func (b *gossipBuffer) newItem(at time.Time, from fleet.DaemonID) *gossipItem {
	b.lastNumber++
	item := &gossipItem{number: b.lastNumber, at: at, from: from}
	b.order = append(b.order, item)
	return item
}

// markRelayed marks the items numbered above last as those that their sender had
// from other daemons.
func (b *gossipBuffer) markRelayed(last uint64) {
	for _, item := range b.after(last) {
		item.relayed = true
	}
}

// after returns the items numbered above last.
func (b *gossipBuffer) after(last uint64) []*gossipItem {
	i := sort.Search(len(b.order), func(i int) bool { return b.order[i].number > last })
	return b.order[i:]
}

// expire removes items older than their retention.
func (b *gossipBuffer) expire(now time.Time) {
	for id, item := range b.leaving {
		if now.Sub(item.at) >= gossipRetention {
			delete(b.leaving, id)
		}
	}
	for id, item := range b.sightings {
		if now.Sub(item.at) >= evidenceRetention {
			delete(b.sightings, id)
		}
	}
	for id, item := range b.acquittals {
		if now.Sub(item.at) >= evidenceRetention {
			delete(b.acquittals, id)
		}
	}
	for key, item := range b.broadcasts {
		if now.Sub(item.at) >= gossipRetention {
			delete(b.broadcasts, key)
		}
	}
	b.order = slices.DeleteFunc(b.order, func(item *gossipItem) bool {
		retention := gossipRetention
		if item.sighting != nil || item.acquittal != nil {
			retention = evidenceRetention
		}
		return item.replaced || now.Sub(item.at) >= retention
	})
}

// itemsAfter returns a message to a peer with the items numbered above last, which is
// zero for a new link, nil if there are none. With a relay rule, it holds no items of
// peers but the evidence that a new link needs; see relayedAfter.
func (b *gossipBuffer) itemsAfter(now time.Time, last uint64, to fleet.DaemonID) *gossipMessage {
	isNew := last == 0 && (b.relay == nil || b.relay.teaches(to))
	return b.message(now, last, to, func(item *gossipItem) bool {
		switch {
		case item.from == "" || isNew && (item.sighting != nil || item.acquittal != nil):
			return true
		case b.relay != nil:
			return false
		}
		return b.forwardsPeers || item.leaving != "" || item.sighting != nil
	})
}

// relayedAfter returns a message with the peers' items numbered above last that this
// daemon passes on to a peer, nil if there are none. It is the same for all peers to
// which the same items are passed on: it may return items to their sender.
func (b *gossipBuffer) relayedAfter(now time.Time, last uint64, to fleet.DaemonID) *gossipMessage {
	if b.relay == nil {
		return nil
	}
	msg := b.message(now, last, "", func(item *gossipItem) bool { return item.from != "" && b.relay.passesOn(item, to) })
	if msg != nil {
		msg.Relayed = true
	}
	return msg
}

// message returns a message to a peer with the items numbered above last that match,
// nil if there are none. If to is not empty, nothing is sent back to its sender.
func (b *gossipBuffer) message(now time.Time, last uint64, to fleet.DaemonID, match func(item *gossipItem) bool) *gossipMessage {
	msg := &gossipMessage{}
	for _, item := range b.after(last) {
		if item.replaced || to != "" && item.from == to || !match(item) {
			continue
		}
		switch {
		case item.sighting != nil:
			msg.Sightings = append(msg.Sightings, newSightingItem(now, item.sighting))
		case item.acquittal != nil:
			msg.Acquittals = append(msg.Acquittals, newAcquittalItem(now, item.acquittal))
		case item.broadcast != nil:
			broadcast := *item.broadcast
			broadcast.AgeMilli = ceilMillis(now.Sub(item.at))
			msg.Broadcasts = append(msg.Broadcasts, broadcast)
		default:
			msg.Leaving = append(msg.Leaving, leavingItem{Instance: item.leaving, AgeMilli: ceilMillis(now.Sub(item.at))})
		}
	}
	if len(msg.Leaving)+len(msg.Sightings)+len(msg.Acquittals)+len(msg.Broadcasts) == 0 {
		return nil
	}
	return msg
}

// leavingInstances returns the leaving instances in the buffer, sorted by id.
func (b *gossipBuffer) leavingInstances() []fleet.InstanceID {
	out := make([]fleet.InstanceID, 0, len(b.leaving))
	for id := range b.leaving {
		out = append(out, id)
	}
	sort.Slice(out, func(i, j int) bool { return out[i] < out[j] })
	return out
}

func newSightingItem(now time.Time, s *suspect.Sighting) sightingItem {
	return sightingItem{
		ID: s.ID, Group: s.Group, Epoch: s.Epoch, Fabric: s.Fabric, Service: s.Service,
		InFlight: s.InFlight, Parts: s.Parts, AgeMilli: ceilMillis(now.Sub(s.At)),
	}
}

func newAcquittalItem(now time.Time, a *suspect.Acquittal) acquittalItem {
	return acquittalItem{ID: a.ID, Survived: a.Survivals, AgeMilli: ceilMillis(now.Sub(a.At))}
}

func (a acquittalItem) toAcquittal(now time.Time) suspect.Acquittal {
	return suspect.Acquittal{ID: a.ID, Survivals: a.Survived, At: now.Add(-boundedMillis(a.AgeMilli))}
}

func (s sightingItem) toSighting(now time.Time) suspect.Sighting {
	return suspect.Sighting{
		ID: s.ID, Group: s.Group, Epoch: s.Epoch, Fabric: s.Fabric, Service: s.Service,
		InFlight: s.InFlight, Parts: s.Parts, At: now.Add(-boundedMillis(s.AgeMilli)),
	}
}
