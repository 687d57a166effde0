// Package routing chooses a group for one attempt of a request: filter, score,
// pick over a snapshot. It is pure: it takes a snapshot, the time and a source
// of randomness and returns a decision.
package routing

import (
	"time"

	"carawayproxy.example/caraway/internal/fleet"
)

// Candidate is one group as the router sees it.
type Candidate struct {
	Group    fleet.GroupID
	Epoch    fleet.Epoch
	Service  fleet.ServiceName
	Leader   fleet.InstanceID
	Address  string // of rank zero
	Zone     fleet.Zone
	Fabric   fleet.FabricDomain
	Version  fleet.Version
	Adapters []fleet.Adapter
	Role     fleet.Role

	Whole       bool
	WholeReason string
	Draining    bool
	Leaving     bool // a member is leaving
	Silent      bool // it seems to have stopped
	Refusing    bool // it has just refused requests

	// Load as the engine last reported it, ReportAge ago.
	Running         uint32
	Queued          uint32
	MaxRunning      uint32
	PendingTokens   uint64
	TokensPerSecond float64
	ReportAge       time.Duration

	// Dispatches in flight as daemons count them now.
	OwnInFlight   uint32
	PeerInFlight  uint32
	SinceReport   uint32 // own dispatches since the report's figures
	Limit         uint32 // learned concurrency limit, zero for none
	OwnWaitTokens uint64 // tokens asked for by own dispatches since the report
}

// Request is what the router needs to know of a request.
type Request struct {
	Service      fleet.ServiceName
	Version      fleet.Version
	Adapter      fleet.Adapter
	Zone         fleet.Zone // of the daemon
	PromptTokens uint32
	MaxTokens    uint32
	// Prefixes are hashes of the prompt's prefixes, longest last.
	Prefixes []uint64
	// Tried lists groups that earlier attempts failed on.
	Tried []fleet.GroupID
	// AvoidFabric lists fabric domains to prefer not to use again.
	AvoidFabric []fleet.FabricDomain
	// Alone asks for a group with nothing in flight.
	Alone bool
	// Role is what the group must do, RoleServe when empty.
	Role fleet.Role
	// Workspace is whose request it is.
	Workspace fleet.Workspace
	// Part is the part of the groups to prefer, all when zero.
	Part Part

	// meanInFlight is set by Choose: the mean over the groups left.
	meanInFlight float64
}

// Part is a part of the groups that passed the filters, in the order of their
// ids: those from the fraction From to the fraction To of them, 0 to 1.
// The zero value is all of them.
type Part struct {
	From float64
	To   float64
}

// Holds reports whether the part has group number at, from zero, of n.
func (p Part) Holds(at, n int) bool {
	if p == (Part{}) {
		return true
	}
	middle := (float64(at) + 0.5) / float64(n)
	return middle >= p.From && middle < p.To
}

// Refusal is why an attempt at a group came to nothing before it ran.
type Refusal uint8

// Reasons of refusals.
const (
	// Elsewhere: the instance says that it does not serve the group.
	Elsewhere Refusal = iota + 1
	// Unreachable: no connection to the instance came about.
	Unreachable
	// Closed: the group takes nothing although it has few requests.
	Closed
	// Full: the group has as many requests as it takes.
	Full
)

// Scored is a candidate with its cost, lower is better.
type Scored struct {
	Candidate Candidate
	Cost      float64 // predicted seconds to the first token, with penalties
}

// Rejected is a candidate that a filter dropped.
type Rejected struct {
	Group  fleet.GroupID
	Filter string
	Reason string
}

// Decision is the outcome of one choice.
type Decision struct {
	Chosen   *Candidate // nil when no candidate is left
	Cost     float64
	Others   []Scored // the cheapest few not chosen, best first
	Rejected []Rejected
	// Wait is the predicted time to the first token at the chosen group.
	Wait time.Duration
}
