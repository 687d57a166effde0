// Package group manages replica groups: the sets of instances that together
// serve one replica. The fold accepts a membership only if no instance of it
// belongs to another group. A group serves only while it is whole: while a
// recent report of every member names this group, its epoch and the member's
// rank.
package group

import (
	"carawayproxy.example/caraway/internal/fleet"
	"carawayproxy.example/caraway/internal/lease"
)

// Phase is the intended state of a group.
type Phase string

// Phases of a group.
const (
	// PhaseActive means that the group loads its model and serves requests.
	PhaseActive Phase = "active"
	// PhaseDraining means that the group accepts no new requests and completes
	// those in flight.
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

// Group is one replica group in the control stream. A Group is immutable once it
// is part of a View.
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
	// Spares are reserved for this group and idle until a repair. A group has
	// fewer spares than members.
	Spares []Member `cbor:"10,keyasint,omitempty"`
	Phase  Phase    `cbor:"11,keyasint"`
	// Scope and Term identify the lease under which the record was written.
	Scope lease.Scope `cbor:"12,keyasint"`
	Term  lease.Term  `cbor:"13,keyasint"`
	// ServiceRevision is the revision of the service for which the group was
	// planned.
	ServiceRevision uint64 `cbor:"14,keyasint,omitempty"`
}

// View is an immutable snapshot of all groups.
type View struct {
	Groups     map[fleet.GroupID]*Group
	ByInstance map[fleet.InstanceID]fleet.GroupID // members and spares
	// Issued is the mark of the last group id issued in each scope.
	Issued map[lease.Scope]IDMark
}

// Reports provides the latest report of each instance.
type Reports interface {
	Report(id fleet.InstanceID) (fleet.Report, bool)
}

// Wholeness is the result of Whole for one group.
type Wholeness struct {
	Whole  bool
	Reason string // why the group is not whole, or "whole"
}
