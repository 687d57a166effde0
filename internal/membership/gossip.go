package membership

import (
	"sort"
	"time"

	"carawayproxy.example/caraway/internal/fleet"
	"carawayproxy.example/caraway/internal/suspect"
)

// maxNews bounds the items of each kind that are passed on at a time; beyond
// it new ones still reach this daemon but go no further.
const maxNews = 2048

// newsItem is a leaving instance or a sighting, known for a while.
type newsItem struct {
	number   uint64 // in the order of arrival, for what a link has sent
	at       time.Time
	from     fleet.DaemonID // peer that told it, empty for the own source
	sighting *suspect.Sighting
	bulletin *Bulletin
}

// newsboard holds the items that are passed on: each once on each link, but
// not back to where it came from. It is not safe for concurrent use.
type newsboard struct {
	last      uint64
	leaving   map[fleet.InstanceID]*newsItem
	sightings map[[16]byte]*newsItem
	bulletins map[string]*newsItem
	// passesOn has peers' bulletins passed on: not needed where every daemon is
	// linked to every other, and a copy over each of those links.
	passesOn bool
	// listed are the instances that the own source listed last, so that one
	// that stays listed is news only once.
	listed map[fleet.InstanceID]bool
}

func newNewsboard(passesOn bool) *newsboard {
	return &newsboard{
		passesOn:  passesOn,
		leaving:   map[fleet.InstanceID]*newsItem{},
		sightings: map[[16]byte]*newsItem{},
		bulletins: map[string]*newsItem{},
		listed:    map[fleet.InstanceID]bool{},
	}
}

// takeOwn adds what the own source tells.
func (b *newsboard) takeOwn(now time.Time, leaving []fleet.InstanceID, sightings []suspect.Sighting) {
	listed := make(map[fleet.InstanceID]bool, len(leaving))
	for _, id := range leaving {
		listed[id] = true
		if !b.listed[id] {
			b.addLeaving(id, now, "")
		}
	}
	b.listed = listed
	for _, s := range sightings {
		if now.Sub(s.At) < newsFor {
			b.addSighting(s, "")
		}
	}
}

// takePeer adds a peer's news and returns what was new.
func (b *newsboard) takePeer(now time.Time, from fleet.DaemonID, n *newsMessage) (leaving []fleet.InstanceID, sightings []suspect.Sighting) {
	for _, l := range n.Leaving {
		at := now.Add(-duration(l.AgeMilli))
		if now.Sub(at) < newsFor && b.addLeaving(l.Instance, at, from) {
			leaving = append(leaving, l.Instance)
		}
	}
	for _, s := range n.Sightings {
		sighting := s.sighting(now)
		if now.Sub(sighting.At) < newsFor && b.addSighting(sighting, from) {
			sightings = append(sightings, sighting)
		}
	}
	return leaving, sightings
}

func (b *newsboard) addLeaving(id fleet.InstanceID, at time.Time, from fleet.DaemonID) bool {
	if b.leaving[id] != nil {
		return false
	}
	if len(b.leaving) < maxNews {
		b.leaving[id] = b.item(at, from)
	}
	return true
}

func (b *newsboard) addSighting(s suspect.Sighting, from fleet.DaemonID) bool {
	if b.sightings[s.ID] != nil {
		return false
	}
	if len(b.sightings) < maxNews {
		item := b.item(s.At, from)
		item.sighting = &s
		b.sightings[s.ID] = item
	}
	return true
}

// takeBulletins adds bulletins and returns those that were new.
func (b *newsboard) takeBulletins(now time.Time, from fleet.DaemonID, bulletins []Bulletin) []Bulletin {
	var fresh []Bulletin
	for _, n := range bulletins {
		old := b.bulletins[n.Key]
		if old != nil && old.bulletin.Version >= n.Version {
			continue
		}
		fresh = append(fresh, n)
		if old != nil || len(b.bulletins) < maxNews {
			item := b.item(now.Add(-n.Age()), from)
			item.bulletin = &n
			b.bulletins[n.Key] = item
		}
	}
	return fresh
}

func (b *newsboard) item(at time.Time, from fleet.DaemonID) *newsItem {
	b.last++
	return &newsItem{number: b.last, at: at, from: from}
}

// expire drops what is no longer passed on.
func (b *newsboard) expire(now time.Time) {
	for id, item := range b.leaving {
		if now.Sub(item.at) >= newsFor {
			delete(b.leaving, id)
		}
	}
	for id, item := range b.sightings {
		if now.Sub(item.at) >= newsFor {
			delete(b.sightings, id)
		}
	}
	for key, item := range b.bulletins {
		if now.Sub(item.at) >= newsFor {
			delete(b.bulletins, key)
		}
	}
}

// after returns the items numbered above last for a link to a peer, nil for
// none.
func (b *newsboard) after(now time.Time, last uint64, to fleet.DaemonID) *newsMessage {
	if last == b.last {
		return nil
	}
	n := &newsMessage{}
	for id, item := range b.leaving {
		if item.number > last && item.from != to {
			n.Leaving = append(n.Leaving, leavingNews{Instance: id, AgeMilli: milli(now.Sub(item.at))})
		}
	}
	for _, item := range b.sightings {
		if item.number > last && item.from != to {
			n.Sightings = append(n.Sightings, newSightingNews(now, item.sighting))
		}
	}
	for _, item := range b.bulletins {
		own := item.from == ""
		if item.number > last && item.from != to && (own || b.passesOn) {
			told := *item.bulletin
			told.AgeMilli = milli(now.Sub(item.at))
			n.Bulletins = append(n.Bulletins, told)
		}
	}
	if len(n.Leaving)+len(n.Sightings)+len(n.Bulletins) == 0 {
		return nil
	}
	return n
}

// leavingNow lists the leaving instances that are news.
func (b *newsboard) leavingNow() []fleet.InstanceID {
	out := make([]fleet.InstanceID, 0, len(b.leaving))
	for id := range b.leaving {
		out = append(out, id)
	}
	sort.Slice(out, func(i, j int) bool { return out[i] < out[j] })
	return out
}

func newSightingNews(now time.Time, s *suspect.Sighting) sightingNews {
	return sightingNews{
		ID: s.ID, Group: s.Group, Epoch: s.Epoch, Fabric: s.Fabric, Service: s.Service,
		InFlight: s.InFlight, AgeMilli: milli(now.Sub(s.At)),
	}
}

func (s sightingNews) sighting(now time.Time) suspect.Sighting {
	return suspect.Sighting{
		ID: s.ID, Group: s.Group, Epoch: s.Epoch, Fabric: s.Fabric, Service: s.Service,
		InFlight: s.InFlight, At: now.Add(-duration(s.AgeMilli)),
	}
}
