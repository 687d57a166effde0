// Package routing chooses a group for one attempt of a request. It filters the
// candidates of a snapshot, scores the remaining ones and picks one. The package
// performs no I/O: a decision depends only on the request, the snapshot and a
// source of randomness.
package routing

import (
	"time"

	"carawayproxy.example/caraway/internal/fleet"
)

// Candidate is the router's view of one group.
type Candidate struct {
	Group       fleet.GroupID
	Epoch       fleet.Epoch
	Service     fleet.ServiceName
	GroupLeader fleet.InstanceID
	Incarnation uint64 // of the group leader
	Address     string // of the group leader
	Zone        fleet.Zone
	Region      fleet.Region // empty if it is not known
	Fabric      fleet.FabricDomain
	Version     fleet.Version
	Adapters    []fleet.Adapter
	Role        fleet.Role

	Whole       bool
	WholeReason string
	Draining    bool
	Leaving     bool // a member is leaving
	Stalled     bool // streams make no progress
	Refusing    bool // refused requests recently
	// RateWait is the time until this daemon may send the group a request under the
	// request rate that its leader announces; zero for now.
	RateWait time.Duration
	// PauseWait is the time until this daemon may send the group a request after a
	// pause that its leader has asked for; zero for now.
	PauseWait time.Duration
	// Cold is set while the group's leader counts as cold. ColdWait is the time until
	// this daemon may send it a request; zero for now.
	Cold     bool
	ColdWait time.Duration
	// Evacuated is set if a member is in an availability zone that the operator
	// evacuates.
	Evacuated bool

	// Load from the engine's last report, which is ReportAge old.
	Running         uint32
	Queued          uint32
	MaxRunning      uint32
	PendingTokens   uint64
	TokensPerSecond float64
	ReportAge       time.Duration

	// Current in-flight counts of the daemons.
	OwnInFlight          uint32
	PeerInFlight         uint32
	UnreportedDispatches uint32 // own dispatches that the load report does not include
	Limit                uint32 // learned concurrency limit, zero for none
	UnreportedTokens     uint64 // tokens requested by those dispatches
}

// Request holds the properties of a request that routing depends on.
type Request struct {
	Service      fleet.ServiceName
	Version      fleet.Version
	Adapter      fleet.Adapter
	Zone         fleet.Zone // of the daemon
	PromptTokens uint32
	MaxTokens    uint32
	// Prefixes holds the hashes of the prompt's prefixes, shortest first.
	Prefixes []uint64
	// Homes are the regions whose groups may serve the request; empty for all.
	Homes []fleet.Region
	// FailedGroups lists the groups on which earlier attempts failed.
	FailedGroups []fleet.GroupID
	// AvoidFabric lists the fabric domains to avoid if possible.
	AvoidFabric []fleet.FabricDomain
	// UnreachableZones lists the availability zones in which earlier attempts got no
	// connection in time.
	UnreachableZones []fleet.Zone
	// Exclusive requests a group without other requests in flight.
	Exclusive bool
	// Role is the required role of the group; empty means RoleServe.
	Role fleet.Role
	// Workspace is the workspace that sent the request.
	Workspace fleet.Workspace
	// Groups is the range of groups to prefer; zero means all.
	Groups GroupRange

	// meanInFlight is the mean in-flight estimate over the groups that passed
	// the filters and are in Groups. Choose sets it.
	meanInFlight float64
}

// GroupRange selects a contiguous range of the groups that passed the filters,
// sorted by group ID. From and To are fractions of the number of groups, between
// 0 and 1. The zero value selects all groups.
type GroupRange struct {
	From float64
	To   float64
}

// Contains reports whether the range contains the group at zero-based index at
// of n groups. A group is in the range if its midpoint, (at + 0.5) / n, lies in
// [From, To).
func (r GroupRange) Contains(at, n int) bool {
	if r == (GroupRange{}) {
		return true
	}
	middle := (float64(at) + 0.5) / float64(n)
	return middle >= r.From && middle < r.To
}

// Refusal is the reason why an attempt was refused before it ran.
type Refusal uint8

// Refusal reasons.
const (
	// RefusedNotServing: the instance reported that it does not serve the group.
	RefusedNotServing Refusal = iota + 1
	// RefusedUnreachable: no connection to the instance could be established.
	RefusedUnreachable
	// RefusedNotAccepting: the group refuses requests although it has few in flight.
	RefusedNotAccepting
	// RefusedAtCapacity: the group is at its capacity.
	RefusedAtCapacity
)

// Scored is a candidate and its cost; lower is better.
type Scored struct {
	Candidate Candidate
	Cost      float64 // predicted seconds to the first token plus penalties
}

// Rejected is a candidate that a filter dropped.
type Rejected struct {
	Group  fleet.GroupID
	Filter string
	Reason string
}

// Decision is the outcome of Policy.Choose.
type Decision struct {
	Chosen   *Candidate // nil if no candidate is left
	Cost     float64
	Others   []Scored // the cheapest alternatives in ascending order of cost
	Rejected []Rejected
	// Wait is the predicted time to first token at the chosen group.
	Wait time.Duration
	// RateWait is set if no candidate is left and some are excluded only by the
	// request rate that their leaders announce or take while cold, or the pause that
	// they have asked for:
	// the shortest time until one of them may be sent a request. Paused is set if a
	// pause determines it; then none is excluded merely by its load.
	RateWait time.Duration
	Paused   bool
	// Evacuated is set if no candidate is left and each one of the service is in an
	// availability zone that is evacuated.
	Evacuated bool
}
