package placement

import (
	"carawayproxy.example/caraway/internal/directory"
	"carawayproxy.example/caraway/internal/fleet"
	"carawayproxy.example/caraway/internal/group"
)

// placeKey identifies one membership: a group in one epoch.
type placeKey struct {
	group fleet.GroupID
	epoch fleet.Epoch
}

// placeHistory records the memberships that each engine was in and which
// memberships have ended. An engine gets a new place only when the group leader
// (the engine of rank zero) of its previous membership can no longer serve under
// that membership.
type placeHistory struct {
	memberships map[placeKey]*membership
	engines     map[fleet.InstanceID]*lastPlace
}

// membership is the observed state of one epoch of a group.
type membership struct {
	groupLeader            fleet.InstanceID // empty if unknown
	groupLeaderIncarnation uint64
	// isLeaderConfirmed is set once the group leader itself has confirmed its place.
	// Until then, another server that reports its rank may be the leader.
	isLeaderConfirmed bool
	// ended is set once the group leader no longer serves under this membership.
	ended bool
}

// lastPlace is the most recent place of an engine.
type lastPlace struct {
	key         placeKey
	incarnation uint64
}

func newPlaceHistory() *placeHistory {
	return &placeHistory{memberships: map[placeKey]*membership{}, engines: map[fleet.InstanceID]*lastPlace{}}
}

// observe updates the history from the places that the engines report. A membership
// ends only if isConfirmed holds for its group leader: the list may be older than the
// leader's state, and an entry in it may come from another writer.
func (p *placeHistory) observe(servers map[fleet.InstanceID]directory.Listing, isConfirmed func(directory.Listing) bool) {
	for id, l := range servers {
		if l.Place == nil {
			continue
		}
		key := placeKey{l.Place.Group, l.Place.Epoch}
		m := p.membership(key)
		if l.Place.Rank == 0 && (m.groupLeader == "" || !m.isLeaderConfirmed && isConfirmed(l)) {
			m.groupLeader, m.groupLeaderIncarnation, m.isLeaderConfirmed = id, l.Incarnation, isConfirmed(l)
		}
		m.ended = m.ended || isWarmup(l.Place.Group)
		e := p.engines[id]
		if e == nil || e.incarnation != l.Incarnation {
			e = &lastPlace{incarnation: l.Incarnation}
			p.engines[id] = e
		}
		e.key = key
	}
	for key, m := range p.memberships {
		if m.ended || m.groupLeader == "" {
			continue
		}
		groupLeader, listed := servers[m.groupLeader]
		if !listed || !isConfirmed(groupLeader) {
			continue
		}
		moved := !groupLeader.Failed && (groupLeader.Place == nil || placeKey{groupLeader.Place.Group, groupLeader.Place.Epoch} != key)
		broken := groupLeader.Place != nil && groupLeader.Place.State == directory.PlaceBroken
		restarted := groupLeader.Incarnation != m.groupLeaderIncarnation
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

// recordLeave records that an engine confirmed leaving a membership.
func (p *placeHistory) recordLeave(id fleet.InstanceID, key placeKey) {
	if m := p.membership(key); m.groupLeader == id {
		m.ended = true
	}
}

// hasEnded reports whether a membership can no longer serve. A membership that
// was never observed counts as ended.
func (p *placeHistory) hasEnded(key placeKey) bool {
	m := p.memberships[key]
	return m == nil || m.ended
}

// isUnplaced reports whether an engine can be assigned a new place immediately.
// An engine that has left its group can be reassigned even if the group leader
// does not know that it left, because a leader that lacks a member stops serving
// and then marks the group as broken.
func isUnplaced(l directory.Listing) bool { return l.Place == nil || isWarmup(l.Place.Group) }

// wasPlacedIn reports whether the engine's last place is in the group's current
// epoch.
func (p *placeHistory) wasPlacedIn(id fleet.InstanceID, g *group.Group) bool {
	e := p.engines[id]
	return e != nil && e.key == placeKey{g.ID, g.Epoch}
}
