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
	Instance      fleet.InstanceID   `cbor:"1,keyasint"`
	Address       string             `cbor:"2,keyasint"` // "ip:port"
	Zone          fleet.Zone         `cbor:"3,keyasint,omitempty"`
	Accelerators  uint32             `cbor:"4,keyasint,omitempty"`
	ChecksFencing bool               `cbor:"5,keyasint,omitempty"`
	Fabric        fleet.FabricDomain `cbor:"6,keyasint,omitempty"`
}

// Group is one replica group as the control stream has it. Values are
// immutable once they are in a View.
type Group struct {
	ID       fleet.GroupID      `cbor:"1,keyasint"`
	Epoch    fleet.Epoch        `cbor:"2,keyasint"`
	Service  fleet.ServiceName  `cbor:"3,keyasint"`
	Model    string             `cbor:"4,keyasint,omitempty"`
	Version  fleet.Version      `cbor:"5,keyasint,omitempty"`
	Adapters []fleet.Adapter    `cbor:"6,keyasint,omitempty"`
	Role     fleet.Role         `cbor:"7,keyasint,omitempty"`
	Fabric   fleet.FabricDomain `cbor:"8,keyasint,omitempty"`
	Members  []Member           `cbor:"9,keyasint"` // in rank order
	// Spares are reserved for this group and idle until a repair. There are
	// fewer spares than members.
	Spares []Member `cbor:"10,keyasint,omitempty"`
	Phase  Phase    `cbor:"11,keyasint"`
	// Scope and Term are those of the lease the record was written under.
	Scope lease.Scope `cbor:"12,keyasint"`
	Term  lease.Term  `cbor:"13,keyasint"`
	// ServiceRevision is the service's revision the group was planned for.
	ServiceRevision uint64 `cbor:"14,keyasint,omitempty"`
}

// View is an immutable state of all groups.
type View struct {
	Groups     map[fleet.GroupID]*Group
	ByInstance map[fleet.InstanceID]fleet.GroupID // members and spares
	// Issued has the last group id given out in each scope.
	Issued map[lease.Scope]IDMark
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
