package service

import (
	"carawayproxy.example/caraway/internal/fleet"
	"carawayproxy.example/caraway/internal/journal"
)

// KindPublish is the record kind of a publication in the config stream.
const KindPublish journal.Kind = "service.publish"

// Syntax is the newest syntax of service files that this version reads. What a
// syntax accepts never changes: a field or value added to the files gets a new
// syntax number, and a daemon that reads an unknown syntax stops folding.
const Syntax = 1

// Change is the change of one service in a publication.
type Change struct {
	Service fleet.ServiceName `cbor:"1,keyasint"`
	// BaseRevision is the revision of the service's last change when this
	// change was written, or zero for a service that does not exist.
	BaseRevision uint64 `cbor:"2,keyasint"`
	// Body is the service file, or empty to remove the service.
	Body string `cbor:"3,keyasint"`
	File string `cbor:"4,keyasint"` // name of the file, for display only
	// Owner is the owner in Body. The Publisher sets it.
	Owner string `cbor:"5,keyasint"`
	// Syntax is the syntax of Body. The Publisher sets it.
	Syntax uint16 `cbor:"6,keyasint"`
}

// Publication is the body of a KindPublish record: changes that take effect
// together or not at all.
type Publication struct {
	Author  string   `cbor:"1,keyasint"` // the author's name at the admin API
	Changes []Change `cbor:"2,keyasint"`
	Note    string   `cbor:"3,keyasint"` // free text for the history
}

// ConflictReason is the reason why a change can't take effect.
type ConflictReason string

// Reasons of a conflict.
const (
	// ReasonBase means that the service has changed since the change was
	// written.
	ReasonBase ConflictReason = "base revision is not current"
	// ReasonOwner means that the service has another owner.
	ReasonOwner ConflictReason = "service belongs to another owner"
)

// Conflict describes a change that can't take effect.
type Conflict struct {
	Service         fleet.ServiceName
	Reason          ConflictReason
	BaseRevision    uint64
	CurrentRevision uint64 // zero if the service does not exist
	// Author, File and UnixMilli belong to the service's latest change, which
	// may be its removal.
	Author    string
	File      string
	UnixMilli int64
	Owner     string // current owner of the service
	// Diff is the difference from the current file to the file of the change.
	Diff string
}

// Decision is the Detail of the verdict on a publication.
type Decision struct {
	Revision  uint64 // revision of an accepted publication
	Conflicts []Conflict
}

// HistoryEntry is one accepted change of a service.
type HistoryEntry struct {
	Revision  uint64 `cbor:"1,keyasint"`
	Author    string `cbor:"2,keyasint"`
	UnixMilli int64  `cbor:"3,keyasint"`
	File      string `cbor:"4,keyasint"`
	Note      string `cbor:"5,keyasint"`
	Removed   bool   `cbor:"6,keyasint"`
	// Body is the service file. It is dropped from older entries once the
	// bodies of a service exceed MaxHistoryBytes.
	Body string `cbor:"7,keyasint"`
}
