// Package directory holds what the platform's list says of backend servers
// that announce themselves and keep their own place in a replica group. It
// makes the views that routing and placement work on: instances, reports, and
// groups.
package directory

import (
	"time"

	"carawayproxy.example/caraway/internal/fleet"
)

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
	// Sequence counts the orders that the server has accepted since its start.
	Sequence uint64
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
	// Age is how old the figures are at least.
	Age time.Duration
}
