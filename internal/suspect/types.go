// Package suspect identifies suspects: requests, or parts of their prompts, that
// appear to crash the backend servers that run them. A death is the failure of a group, and a sighting is
// one daemon's account of a death with the requests that were in flight. Daemons
// exchange sightings by heartbeats and record verdicts in the control stream.
package suspect

import (
	"time"

	"carawayproxy.example/caraway/internal/fleet"
)

// Fingerprint is a hash of the service, version and body of a request, by which
// any daemon recognises a repetition of the request.
type Fingerprint uint64

// Subjects is what a request can be recognised by: itself, and the parts of its
// prompt that other requests may share.
type Subjects struct {
	Request Fingerprint
	Parts   []Fingerprint // distinct
}

// Ruling is how a request is to be handled.
type Ruling struct {
	Standing Standing
	// Fingerprint is the request or the part of its prompt that the standing
	// rests on; zero for Clear.
	Fingerprint Fingerprint
	// Remaining is how much longer a conviction lasts, or how long a decision takes
	// at most; zero if that is unknown.
	Remaining time.Duration
	// Deaths is the number of known deaths with the request in flight.
	Deaths int
}

// Sighting is the death of one group with the requests in flight on it, as
// observed by one daemon.
type Sighting struct {
	ID       [16]byte
	Group    fleet.GroupID
	Epoch    fleet.Epoch
	Fabric   fleet.FabricDomain
	Service  fleet.ServiceName
	InFlight []Fingerprint
	Parts    []Fingerprint // of the prompts of the requests in flight
	At       time.Time     // on the clock of the daemon that holds the sighting
}

// Acquittal is one daemon's account of runs that a group survived, of requests
// and parts of prompts that were in flight at deaths.
type Acquittal struct {
	ID        [16]byte
	Survivals map[Fingerprint]Survivals
	At        time.Time // on the clock of the daemon that holds the acquittal
}

// Standing determines how a request is handled.
type Standing uint8

// Standings of a request.
const (
	// Clear means that the request runs as usual.
	Clear Standing = iota
	// Alone means that the request runs only on a group with no other request
	// in flight.
	Alone
	// Undecided means that the request waits for the decision on recent deaths,
	// which may convict it.
	Undecided
	// Convicted means that the request is rejected.
	Convicted
)
