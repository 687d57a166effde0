// Package directory holds the state of the backend servers in the platform's
// list, where servers announce themselves and their place in a replica group.
// From it the package builds the instances, reports and groups that routing and
// placement use.
package directory

import (
	"time"

	"carawayproxy.example/caraway/internal/fleet"
)

// PlaceState is the state of an engine's place in a group.
type PlaceState string

// States of a place. Only the leader, rank zero, is ever open or closing.
const (
	PlaceJoining PlaceState = "joining"
	PlaceReady   PlaceState = "ready"
	PlaceOpen    PlaceState = "open"
	PlaceClosing PlaceState = "closing"
	// PlaceBroken: the leader was stalled for too long and no longer serves.
	PlaceBroken PlaceState = "broken"
)

// Place is an engine's place in a group, as the engine reports it.
type Place struct {
	Group fleet.GroupID
	Epoch fleet.Epoch
	Rank  fleet.Rank
	State PlaceState
}

// stateOrder orders the states of a place within one epoch. A leader that has
// closed returns to PlaceReady.
var stateOrder = map[PlaceState]int{PlaceJoining: 1, PlaceReady: 2, PlaceOpen: 3, PlaceClosing: 4, PlaceBroken: 5}

// precedes reports whether p is an older place of a server than the known one;
// nil stands for no place. The epochs of one server never decrease; lastEpoch is
// the highest epoch of its places so far.
func (p *Place) precedes(known *Place, lastEpoch fleet.Epoch) bool {
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
		return stateOrder[p.State] < stateOrder[known.State]
	}
}

// Server is the state that a backend server reports of itself. It is immutable.
type Server struct {
	Instance fleet.InstanceID
	Service  string
	Address  string // "ip:port"
	Zone     fleet.Zone
	Fabric   fleet.FabricDomain
	Slots    uint32
	Leaving  bool
	// Incarnation is the server's start time in Unix milliseconds, so that it
	// grows with each start.
	Incarnation uint64
	// Staged lists the models whose weights are on the instance's host.
	Staged []string
	Place  *Place // nil outside a group
	// ColdLeft is how long the server stays cold, as of its announcement or answer; zero
	// if it is not cold.
	ColdLeft time.Duration `cbor:"ColdLeft,omitempty"`
}

// Status is an engine's answer to a direct status request.
type Status struct {
	Server
}
