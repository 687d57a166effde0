package group

import (
	"carawayproxy.example/caraway/internal/fleet"
	"carawayproxy.example/caraway/internal/journal"
	"carawayproxy.example/caraway/internal/lease"
)

// Kinds of group records.
const (
	KindForm     journal.Kind = "group.form"
	KindRepair   journal.Kind = "group.repair"
	KindDrain    journal.Kind = "group.drain"
	KindDissolve journal.Kind = "group.dissolve"
)

// FormRecord proposes a new group at epoch 1.
type FormRecord struct {
	Group Group `cbor:"1,keyasint"`
}

// RepairRecord proposes a new membership of an existing group. It also sets the
// phase of the group to active.
type RepairRecord struct {
	Scope lease.Scope   `cbor:"1,keyasint"`
	Term  lease.Term    `cbor:"2,keyasint"`
	Group fleet.GroupID `cbor:"3,keyasint"`
	// Epoch is the new epoch: the current epoch of the group plus one.
	Epoch           fleet.Epoch `cbor:"4,keyasint"`
	Members         []Member    `cbor:"5,keyasint"` // in rank order
	Spares          []Member    `cbor:"6,keyasint,omitempty"`
	ServiceRevision uint64      `cbor:"7,keyasint,omitempty"`
}

// DrainRecord proposes that a group accepts no new requests.
type DrainRecord struct {
	Scope lease.Scope   `cbor:"1,keyasint"`
	Term  lease.Term    `cbor:"2,keyasint"`
	Group fleet.GroupID `cbor:"3,keyasint"`
	Epoch fleet.Epoch   `cbor:"4,keyasint"` // current epoch of the group
}

// DissolveRecord proposes that a group is removed and its instances are freed.
type DissolveRecord struct {
	Scope lease.Scope   `cbor:"1,keyasint"`
	Term  lease.Term    `cbor:"2,keyasint"`
	Group fleet.GroupID `cbor:"3,keyasint"`
	Epoch fleet.Epoch   `cbor:"4,keyasint"` // current epoch of the group
}
