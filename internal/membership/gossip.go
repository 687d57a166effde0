package membership

import (
	"sort"
	"time"

	"carawayproxy.example/caraway/internal/fleet"
	"carawayproxy.example/caraway/internal/suspect"
)

// maxGossipItems bounds the items of each kind that are forwarded at a time.
// Beyond it, new items are still processed by this daemon but not forwarded.
const maxGossipItems = 2048

// gossipItem is a leaving instance, a sighting, an acquittal or a broadcast item.
type gossipItem struct {
	number    uint64 // in order of arrival, to track what was sent on a link
	at        time.Time
	from      fleet.DaemonID // peer that sent it, empty for this daemon's source
	sighting  *suspect.Sighting
	acquittal *suspect.Acquittal
	broadcast *Broadcast
}

// gossipBuffer holds the items to forward: each once on each link, except to the
// peer that sent it. It is not safe for concurrent use.
type gossipBuffer struct {
	lastNumber uint64
	leaving    map[fleet.InstanceID]*gossipItem
	sightings  map[[16]byte]*gossipItem
	acquittals map[[16]byte]*gossipItem
	broadcasts map[string]*gossipItem
	// forwardsPeers is set if peers' acquittals and broadcast items are forwarded.
	// In a full mesh that is not needed and would cost a copy over each link, except
	// for acquittals on a new link, whose peer may have started after their daemon
	// has ended. It would know the deaths and not the survivals.
	forwardsPeers bool
	// ownLeaving holds the instances that this daemon's source listed last, so
	// that an instance that stays listed is added only once.
	ownLeaving map[fleet.InstanceID]bool
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
		b.leaving[id] = b.newItem(at, from)
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

// addBroadcasts adds broadcast items and returns the new ones.
func (b *gossipBuffer) addBroadcasts(now time.Time, from fleet.DaemonID, broadcasts []Broadcast) []Broadcast {
	var added []Broadcast
	for _, broadcast := range broadcasts {
		old := b.broadcasts[broadcast.Key]
		if old != nil && old.broadcast.Version >= broadcast.Version {
			continue
		}
		added = append(added, broadcast)
		if old != nil || len(b.broadcasts) < maxGossipItems {
			item := b.newItem(now.Add(-broadcast.Age()), from)
			item.broadcast = &broadcast
			b.broadcasts[broadcast.Key] = item
		}
	}
	return added
}

func (b *gossipBuffer) newItem(at time.Time, from fleet.DaemonID) *gossipItem {
	b.lastNumber++
	return &gossipItem{number: b.lastNumber, at: at, from: from}
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
}

// itemsAfter returns a message to a peer with the items numbered above last, which is
// zero for a new link, nil if there are none.
func (b *gossipBuffer) itemsAfter(now time.Time, last uint64, to fleet.DaemonID) *gossipMessage {
	if last == b.lastNumber {
		return nil
	}
	msg := &gossipMessage{}
	for id, item := range b.leaving {
		if item.number > last && item.from != to {
			msg.Leaving = append(msg.Leaving, leavingItem{
				Instance: id, AgeMilli: ceilMillis(now.Sub(item.at)),
			})
		}
	}
	for _, item := range b.sightings {
		if item.number > last && item.from != to {
			msg.Sightings = append(msg.Sightings, newSightingItem(now, item.sighting))
		}
	}
	for _, item := range b.acquittals {
		if item.number > last && item.from != to && (item.from == "" || b.forwardsPeers || last == 0) {
			msg.Acquittals = append(msg.Acquittals, newAcquittalItem(now, item.acquittal))
		}
	}
	for _, item := range b.broadcasts {
		own := item.from == ""
		if item.number > last && item.from != to && (own || b.forwardsPeers) {
			broadcast := *item.broadcast
			broadcast.AgeMilli = ceilMillis(now.Sub(item.at))
			msg.Broadcasts = append(msg.Broadcasts, broadcast)
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
