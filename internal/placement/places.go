package placement

import (
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
func (p *places) observe(servers map[fleet.InstanceID]directory.Listing) {
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
func (p *places) left(id fleet.InstanceID, key placeKey) {
	if m := p.membership(key); m.head == id {
		m.over = true
	}
}

// over reports whether a membership surely serves no more.
func (p *places) over(key placeKey) bool {
	m := p.memberships[key]
	return m == nil || m.over
}

// free reports whether an engine may be placed anew at once. One that has left
// its group may, also while the head does not know: a head that lacks a member
// stands still until it breaks.
func free(l directory.Listing) bool { return l.Place == nil || isWarm(l.Place.Group) }

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
