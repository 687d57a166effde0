// Package suspect holds the aggregate Suspect: a request that seems to crash
// the backend servers that run it. Sightings travel between daemons; verdicts
// are records of the control stream.
package suspect

import (
	"time"

	"carawayproxy.example/caraway/internal/fleet"
)

// Fingerprint is a hash over service, version and body, so that a repeat at
// any daemon is recognised.
type Fingerprint uint64

// Sighting is the death of one group with the requests in flight on it.
type Sighting struct {
	ID       [16]byte
	Group    fleet.GroupID
	Epoch    fleet.Epoch
	Fabric   fleet.FabricDomain
	Service  fleet.ServiceName
	InFlight []Fingerprint
	At       time.Time // local time of the daemon that holds it
}

// Standing says how a request is to be treated.
type Standing uint8

// Standings of a request.
const (
	// Clear: run as usual.
	Clear Standing = iota
	// Alone: run only on a group with nothing else in flight.
	Alone
	// Convicted: refuse.
	Convicted
)
