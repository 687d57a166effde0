package service

import (
	"carawayproxy.example/caraway/internal/fleet"
	"carawayproxy.example/caraway/internal/journal"
)

// KindPublish is the record kind of a publication in the config stream.
const KindPublish journal.Kind = "service.publish"

// Syntax is the newest syntax of service files that this version reads. What
// a given syntax accepts never changes: a field or value added to the files
// gets the next number, and a daemon that meets a syntax it does not know
// stops folding.
const Syntax = 1

// Change is one service of a publication.
type Change struct {
	Service fleet.ServiceName `cbor:"1,keyasint"`
	// BaseRevision is the revision at which the service was last changed
	// when this change was written, zero for a service that is not there.
	BaseRevision uint64 `cbor:"2,keyasint"`
	// Body is the service file; empty to remove the service.
	Body string `cbor:"3,keyasint"`
	File string `cbor:"4,keyasint"` // name of the file, for people
	// Owner is the owner that Body names; the Publisher fills it in.
	Owner string `cbor:"5,keyasint"`
	// Syntax of Body; the Publisher fills it in.
	Syntax uint16 `cbor:"6,keyasint"`
}

// Publication is the body of a KindPublish record: changes that count all
// together or not at all.
type Publication struct {
	Author  string   `cbor:"1,keyasint"` // who publishes, as the admin API knows them
	Changes []Change `cbor:"2,keyasint"`
	Note    string   `cbor:"3,keyasint"` // free text for the history
}

// ConflictReason says why a change can't take effect.
type ConflictReason string

// Reasons of a conflict.
const (
	// ReasonBase: the service was changed since the change was written.
	ReasonBase ConflictReason = "base revision is not current"
	// ReasonOwner: the service belongs to another author.
	ReasonOwner ConflictReason = "service belongs to another owner"
)

// Conflict is one change that lost.
type Conflict struct {
	Service         fleet.ServiceName
	Reason          ConflictReason
	BaseRevision    uint64
	CurrentRevision uint64 // zero when the service is not there
	// Author, File and UnixMilli are of the change that is in force or
	// removed the service.
	Author    string
	File      string
	UnixMilli int64
	Owner     string // of the service in force
	// Diff turns the file in force into the one of the change.
	Diff string
}

// Decision is the Detail of the verdict on a publication.
type Decision struct {
	Revision  uint64 // brought by it, when accepted
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
