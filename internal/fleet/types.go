// Package fleet defines the types that the other packages share: the names of
// instances, services and groups, and the reports of backend servers.
package fleet

import "time"

type (
	// InstanceID identifies an instance of the platform.
	InstanceID string
	// DaemonID identifies a running carawayd. A restarted daemon has a new id.
	DaemonID string
	// Zone is the name of an availability zone.
	Zone string
	// Region is the name of a set of availability zones.
	Region string
	// FabricDomain is the name of a set of instances with a fast interconnect.
	FabricDomain string
	// Pool is the name of a set of similar instances that services draw from.
	Pool string
	// ServiceName is the name of a service.
	ServiceName string
	// Workspace is the name of a caller's workspace.
	Workspace string
	// Version is the name of a version of a service's model.
	Version string
	// Adapter is the name of an adapter of a service's model.
	Adapter string
	// Method is the name of a method of a plain service.
	Method string
	// GroupID identifies a replica group. A group that is dissolved and formed
	// again gets a new id.
	GroupID string
	// Epoch numbers the successive memberships of a group, starting at one.
	Epoch uint64
	// Rank is the position of an instance in its group, starting at zero. The
	// instance of rank zero receives the group's requests.
	Rank uint32
	// Role is the function of a group in its service, for example "serve".
	Role string
	// RequestID identifies a request as seen by its caller.
	RequestID string
	// AttemptID identifies one attempt to run a request on a group.
	AttemptID string
)

// InstanceKind is the kind of process that runs on an instance.
type InstanceKind string

// Kinds of instances.
const (
	KindEngine InstanceKind = "engine"
	KindPlain  InstanceKind = "plain"
	KindDaemon InstanceKind = "daemon"
)

// Instance is an entry of the platform's list of instances, which lags behind
// the actual state.
type Instance struct {
	ID            InstanceID
	Address       string // "ip:port"
	Zone          Zone
	Fabric        FabricDomain
	Pool          Pool
	Kind          InstanceKind
	Accelerators  uint32
	Leaving       bool
	ChecksFencing bool
}

// Assignment is a membership in a group, as ordered or as reported.
type Assignment struct {
	Group    GroupID
	Epoch    Epoch
	Rank     Rank
	Service  ServiceName
	Model    string
	Version  Version
	Adapters []Adapter
	Role     Role
	Members  []string // addresses in rank order
}

// Report is the result of the last poll of a backend server.
type Report struct {
	Instance        InstanceID
	Incarnation     uint64
	Assignment      *Assignment // nil when the instance belongs to no group
	Ready           bool
	Leaving         bool
	Running         uint32
	Queued          uint32
	MaxRunning      uint32
	PendingTokens   uint64
	TokensPerSecond float64
	LoadProgress    float64       // 0 to 1
	LoadAge         time.Duration // age of the load figures when received
	ReceivedAt      time.Time     // local, monotonic
	Failed          bool          // the last poll failed
	FailedSince     time.Time     // start of the first of the current run of failed polls
}

// RunState says whether a request without a response was run.
type RunState uint8

// Run states, as in the callers' protocol.
const (
	RunStateUnknown RunState = iota
	// NotRun: no backend server ran any part of the request, and none will.
	NotRun
	// MayHaveRun: a backend server may have run the request.
	MayHaveRun
	// Done: the request ran to completion.
	Done
)

// String returns the name of the state in the callers' protocol.
func (s RunState) String() string {
	switch s {
	case NotRun:
		return "NOT_RUN"
	case MayHaveRun:
		return "MAY_HAVE_RUN"
	case Done:
		return "DONE"
	default:
		return "UNKNOWN"
	}
}
