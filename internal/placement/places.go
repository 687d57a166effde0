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
type placeHistory struct {
	memberships map[placeKey]*membership
	engines     map[fleet.InstanceID]*lastPlace
}

// membership is one epoch of a group as it was seen.
type membership struct {
	groupLeader            fleet.InstanceID // empty while not known
	groupLeaderIncarnation uint64
	// over is set once the head serves no more under this membership.
	ended bool
}

// placed is the last place of an engine.
type lastPlace struct {
	key         placeKey
	incarnation uint64
	model       string
}

func newPlaceHistory() *placeHistory {
	return &placeHistory{memberships: map[placeKey]*membership{}, engines: map[fleet.InstanceID]*lastPlace{}}
}

// observe takes in what the engines say of their places.
func (p *placeHistory) observe(servers map[fleet.InstanceID]directory.Listing) {
	for id, l := range servers {
		if l.Place == nil {
			continue
		}
		key := placeKey{l.Place.Group, l.Place.Epoch}
		m := p.membership(key)
		if l.Place.Rank == 0 && m.groupLeader == "" {
			m.groupLeader, m.groupLeaderIncarnation = id, l.Incarnation
		}
		m.ended = m.ended || isWarmup(l.Place.Group)
		e := p.engines[id]
		if e == nil || e.incarnation != l.Incarnation {
			e = &lastPlace{incarnation: l.Incarnation}
			p.engines[id] = e
		}
		e.key = key
		if l.Place.State != directory.PlaceJoining {
			e.model = modelOfID(l.Place.Group)
		}
	}
	for key, m := range p.memberships {
		if m.ended || m.groupLeader == "" {
			continue
		}
		groupLeader, listed := servers[m.groupLeader]
		moved := listed && !groupLeader.Failed && (groupLeader.Place == nil || placeKey{groupLeader.Place.Group, groupLeader.Place.Epoch} != key)
		broken := listed && groupLeader.Place != nil && groupLeader.Place.State == directory.PlaceBroken
		restarted := listed && groupLeader.Incarnation != m.groupLeaderIncarnation
		m.ended = moved || broken || restarted
	}
}

func (p *placeHistory) membership(key placeKey) *membership {
	m := p.memberships[key]
	if m == nil {
		m = &membership{}
		p.memberships[key] = m
	}
	return m
}

// left notes that an engine gave a place up, by its own answer.
func (p *placeHistory) recordLeave(id fleet.InstanceID, key placeKey) {
	if m := p.membership(key); m.groupLeader == id {
		m.ended = true
	}
}

// over reports whether a membership surely serves no more.
func (p *placeHistory) hasEnded(key placeKey) bool {
	m := p.memberships[key]
	return m == nil || m.ended
}

// free reports whether an engine may be placed anew at once. One that has left
// its group may, also while the head does not know: a head that lacks a member
// stands still until it breaks.
func isUnplaced(l directory.Listing) bool { return l.Place == nil || isWarmup(l.Place.Group) }

// wasIn reports whether an engine had its place in the group's present epoch.
func (p *placeHistory) wasPlacedIn(id fleet.InstanceID, g *group.Group) bool {
	e := p.engines[id]
	return e != nil && e.key == placeKey{g.ID, g.Epoch}
}

// lastModel is the model of the engine's last group since its start.
func (p *placeHistory) lastModel(s directory.Server) string {
	e := p.engines[s.Instance]
	if e == nil || e.incarnation != s.Incarnation {
		return ""
	}
	return e.model
}
