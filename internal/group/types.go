// Package group holds the aggregate ReplicaGroup: which instances together
// hold one replica. The fold accepts a membership only if every instance is
// free; the wholeness gate lets a group serve only while every member's fresh
// report names this group, epoch and rank.
package group

import (
	"carawayproxy.example/caraway/internal/fleet"
	"carawayproxy.example/caraway/internal/lease"
)

// Phase is what a group is meant to do.
type Phase string

// Phases of a group.
const (
	// PhaseActive: the group loads and serves.
	PhaseActive Phase = "active"
	// PhaseDraining: the group takes no new requests and ends its own.
	PhaseDraining Phase = "draining"
)

// Member is one instance of a group.
type Member struct {
	Instance      fleet.InstanceID
	Address       string // "ip:port"
	Zone          fleet.Zone
	Accelerators  uint32
	ChecksFencing bool
}

// Group is one replica group as the control stream has it. Values are
// immutable once they are in a View.
type Group struct {
	ID       fleet.GroupID
	Epoch    fleet.Epoch
	Service  fleet.ServiceName
	Model    string
	Version  fleet.Version
	Adapters []fleet.Adapter
	Role     fleet.Role
	Fabric   fleet.FabricDomain
	Members  []Member // in rank order
	// Spares are reserved for this group and idle until a repair.
	Spares []Member
	Phase  Phase
	// Scope and Term are those of the lease the record was written under.
	Scope lease.Scope
	Term  lease.Term
	// ServiceRevision is the service's revision the group was planned for.
	ServiceRevision uint64
}

// View is an immutable state of all groups.
type View struct {
	Groups     map[fleet.GroupID]*Group
	ByInstance map[fleet.InstanceID]fleet.GroupID // members and spares
}

// Reports gives the latest report of an instance.
type Reports interface {
	Report(id fleet.InstanceID) (fleet.Report, bool)
}

// Wholeness is the gate's finding about one group.
type Wholeness struct {
	Whole  bool
	Reason string // what is missing, in one phrase
}
