// Package fleet holds the vocabulary that the other packages share: the names
// of instances, services and groups, and the reports of backend servers.
package fleet

import "time"

type (
	// InstanceID names one instance of the platform.
	InstanceID string
	// DaemonID names one running carawayd; a restarted daemon has a new one.
	DaemonID string
	// Zone names an availability zone.
	Zone string
	// FabricDomain names a set of instances with a fast interconnect.
	FabricDomain string
	// Pool names a set of like instances from which a service takes its own.
	Pool string
	// ServiceName names a service.
	ServiceName string
	// Workspace names a caller's workspace.
	Workspace string
	// Version names one version of a service's model.
	Version string
	// Adapter names one adapter of a service's model.
	Adapter string
	// Method names one method of a plain service.
	Method string
	// GroupID names a replica group. A group that is formed again after it
	// was dissolved has a new id.
	GroupID string
	// Epoch counts the memberships that a group has had, from one.
	Epoch uint64
	// Rank is an instance's place in its group, from zero. Rank zero takes
	// the group's requests.
	Rank uint32
	// Role is what a group does for its service, for example "serve".
	Role string
	// RequestID names a request as its caller sees it.
	RequestID string
	// AttemptID names one try of a request at one group.
	AttemptID string
)

// InstanceKind says what runs on an instance.
type InstanceKind string

// Kinds of instance.
const (
	KindEngine InstanceKind = "engine"
	KindPlain  InstanceKind = "plain"
	KindDaemon InstanceKind = "daemon"
)

// Instance is one entry of the platform's lagging list.
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

// Assignment is a place in a group, as ordered or as reported.
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

// Report is what one backend server last said of itself.
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
	Failed          bool          // the last poll got no answer
	FailedSince     time.Time     // when polls began to fail
}

// RunState says whether a request that got no answer was run.
type RunState uint8

// Run states, as in the callers' protocol.
const (
	RunStateUnknown RunState = iota
	// NotRun: no backend server ran any part of it, and none will.
	NotRun
	// MayHaveRun: a backend server may have run it.
	MayHaveRun
	// Done: it ran to its end.
	Done
)

// String returns the state's name as callers see it.
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
