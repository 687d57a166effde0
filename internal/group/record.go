package group

import (
	"carawayproxy.example/caraway/internal/fleet"
	"carawayproxy.example/caraway/internal/journal"
	"carawayproxy.example/caraway/internal/lease"
)

// Kinds of the records about groups.
const (
	KindForm     journal.Kind = "group.form"
	KindRepair   journal.Kind = "group.repair"
	KindDrain    journal.Kind = "group.drain"
	KindDissolve journal.Kind = "group.dissolve"
)

// FormRecord proposes a new group at epoch one.
type FormRecord struct {
	Group Group `cbor:"1,keyasint"`
}

// RepairRecord proposes the next membership of a group. The group is active
// afterwards.
type RepairRecord struct {
	Scope lease.Scope   `cbor:"1,keyasint"`
	Term  lease.Term    `cbor:"2,keyasint"`
	Group fleet.GroupID `cbor:"3,keyasint"`
	// Epoch is the new one, one more than the group's.
	Epoch           fleet.Epoch `cbor:"4,keyasint"`
	Members         []Member    `cbor:"5,keyasint"` // in rank order
	Spares          []Member    `cbor:"6,keyasint,omitempty"`
	ServiceRevision uint64      `cbor:"7,keyasint,omitempty"`
}

// DrainRecord proposes that a group takes no new requests.
type DrainRecord struct {
	Scope lease.Scope   `cbor:"1,keyasint"`
	Term  lease.Term    `cbor:"2,keyasint"`
	Group fleet.GroupID `cbor:"3,keyasint"`
	Epoch fleet.Epoch   `cbor:"4,keyasint"` // the group's
}

// DissolveRecord proposes that a group ends and its instances are free.
type DissolveRecord struct {
	Scope lease.Scope   `cbor:"1,keyasint"`
	Term  lease.Term    `cbor:"2,keyasint"`
	Group fleet.GroupID `cbor:"3,keyasint"`
	Epoch fleet.Epoch   `cbor:"4,keyasint"` // the group's
}
