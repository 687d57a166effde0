// Package directory holds what the platform's list says of backend servers
// that announce themselves and keep their own place in a replica group. It
// makes the views that routing and placement work on: instances, reports, and
// groups.
package directory

import "carawayproxy.example/caraway/internal/fleet"

// PlaceState is how far an engine is with its place in a group.
type PlaceState string

// States of a place. Only the head, rank zero, opens and closes.
const (
	PlaceJoining PlaceState = "joining"
	PlaceReady   PlaceState = "ready"
	PlaceOpen    PlaceState = "open"
	PlaceClosing PlaceState = "closing"
	// PlaceBroken: the head has stood still for too long and serves no more.
	PlaceBroken PlaceState = "broken"
)

// Place is an engine's place in a group, as it says itself.
type Place struct {
	Group fleet.GroupID
	Epoch fleet.Epoch
	Rank  fleet.Rank
	State PlaceState
}

// stages orders the states of a place in one epoch. A closed head is ready again.
var stages = map[PlaceState]int{PlaceJoining: 1, PlaceReady: 2, PlaceOpen: 3, PlaceClosing: 4, PlaceBroken: 5}

// before reports whether a server had one place before another one that is
// known: nil is none. Epochs never fall at a server, and lastEpoch is the highest
// of its places so far.
func (p *Place) before(known *Place, lastEpoch fleet.Epoch) bool {
	switch {
	case p == nil && known == nil:
		return false
	case p == nil:
		return known.State == PlaceJoining
	case known == nil:
		return p.Epoch <= lastEpoch
	case p.Epoch != known.Epoch:
		return p.Epoch < known.Epoch
	default:
		return stages[p.State] < stages[known.State]
	}
}

// Server is what one backend server says of itself. It is immutable.
type Server struct {
	Instance fleet.InstanceID
	Service  string
	Address  string // "ip:port"
	Zone     fleet.Zone
	Fabric   fleet.FabricDomain
	Slots    uint32
	Leaving  bool
	// Incarnation grows with each start of the server: the Unix millisecond
	// of it.
	Incarnation uint64
	// Staged lists the models whose weights are on the instance's host.
	Staged []string
	Place  *Place // nil outside a group
}

// Status is what an engine answers when it is asked directly.
type Status struct {
	Server
	Running, Queued uint32
	// Pace is how many times slower than usual the engine works.
	Pace float64
}
