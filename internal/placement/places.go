package placement

import (
	"time"

	"carawayproxy.example/caraway/internal/directory"
	"carawayproxy.example/caraway/internal/fleet"
	"carawayproxy.example/caraway/internal/group"
)

// placeKey names one membership of a group.
type placeKey struct {
	group fleet.GroupID
	epoch fleet.Epoch
}

// places remembers which engines were in which membership, and which
// memberships are over, so that no engine is placed anew while the head of the
// membership that it comes from may still serve.
type places struct {
	memberships map[placeKey]*membership
	engines     map[fleet.InstanceID]*placed
}

// membership is one epoch of a group as it was seen.
type membership struct {
	head            fleet.InstanceID // empty while not known
	headIncarnation uint64
	// over is set once the head serves no more under this membership.
	over bool
	// strandedAt is when the membership surely lacked a member: from then on
	// its head stands still.
	strandedAt time.Time
}

// placed is the last place of an engine.
type placed struct {
	key         placeKey
	incarnation uint64
	model       string
}

func newPlaces() *places {
	return &places{memberships: map[placeKey]*membership{}, engines: map[fleet.InstanceID]*placed{}}
}

// observe takes in what the engines say of their places.
func (p *places) observe(servers map[fleet.InstanceID]directory.Listing, now time.Time) {
	for id, l := range servers {
		if l.Place == nil {
			continue
		}
		key := placeKey{l.Place.Group, l.Place.Epoch}
		m := p.membership(key)
		if l.Place.Rank == 0 && m.head == "" {
			m.head, m.headIncarnation = id, l.Incarnation
		}
		m.over = m.over || isWarm(l.Place.Group)
		e := p.engines[id]
		if e == nil || e.incarnation != l.Incarnation {
			e = &placed{incarnation: l.Incarnation}
			p.engines[id] = e
		}
		e.key = key
		if l.Place.State != directory.PlaceJoining {
			e.model = modelOfID(l.Place.Group)
		}
	}
	for id, e := range p.engines {
		l, listed := servers[id]
		if listed && (l.Place == nil || placeKey{l.Place.Group, l.Place.Epoch} != e.key) {
			if m := p.membership(e.key); m.strandedAt.IsZero() {
				m.strandedAt = now
			}
		}
	}
	for key, m := range p.memberships {
		if m.over || m.head == "" {
			continue
		}
		head, listed := servers[m.head]
		moved := listed && !head.Failed && (head.Place == nil || placeKey{head.Place.Group, head.Place.Epoch} != key)
		broken := listed && head.Place != nil && head.Place.State == directory.PlaceBroken
		restarted := listed && head.Incarnation != m.headIncarnation
		m.over = moved || broken || restarted
	}
}

func (p *places) membership(key placeKey) *membership {
	m := p.memberships[key]
	if m == nil {
		m = &membership{}
		p.memberships[key] = m
	}
	return m
}

// left notes that an engine gave a place up, by its own answer.
func (p *places) left(id fleet.InstanceID, key placeKey, now time.Time) {
	m := p.membership(key)
	if m.head == id {
		m.over = true
	}
	if m.strandedAt.IsZero() {
		m.strandedAt = now
	}
}

// over reports whether the head of a membership surely serves no more: it said
// so, or the membership has lacked a member for longer than a head stands
// still before it is broken.
func (p *places) over(key placeKey, now time.Time, stall time.Duration) bool {
	m := p.memberships[key]
	if m == nil {
		return true
	}
	return m.over || (!m.strandedAt.IsZero() && now.Sub(m.strandedAt) > stall)
}

// free reports whether an engine may be placed anew at once, apart from the
// order to leave that a head gets first.
func (p *places) free(l directory.Listing, now time.Time, stall time.Duration) bool {
	if l.Place != nil && !isWarm(l.Place.Group) {
		return false
	}
	e := p.engines[l.Instance]
	return e == nil || p.over(e.key, now, stall)
}

// wasIn reports whether an engine had its place in the group's present epoch.
func (p *places) wasIn(id fleet.InstanceID, g *group.Group) bool {
	e := p.engines[id]
	return e != nil && e.key == placeKey{g.ID, g.Epoch}
}

// lastModel is the model of the engine's last group since its start.
func (p *places) lastModel(s directory.Server) string {
	e := p.engines[s.Instance]
	if e == nil || e.incarnation != s.Incarnation {
		return ""
	}
	return e.model
}
