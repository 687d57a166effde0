// Package placement plans replica groups: which instances form a group, how a
// broken group is repaired, and how a version rolls out. The planner is pure;
// the executor proposes its actions and sends orders under a lease.
package placement

import (
	"time"

	"carawayproxy.example/caraway/internal/fleet"
	"carawayproxy.example/caraway/internal/group"
	"carawayproxy.example/caraway/internal/lease"
)

// Weights price the two measures against each other.
type Weights struct {
	// Downtime is the cost of one second in which a group can't serve.
	Downtime float64
	// Stranded is the cost of one healthy accelerator idle in an incomplete
	// group for one second.
	Stranded float64
}

// Wanted is what a service asks of the planner.
type Wanted struct {
	Service  fleet.ServiceName
	Revision uint64
	Pool     fleet.Pool
	Model    string
	Version  fleet.Version
	Adapters []fleet.Adapter
	Role     fleet.Role
	Groups   int
	Size     int // instances of one group
	Spares   int // reserved for each group
	// LoadTime is how long one group needs to load the version when the
	// weight store is free.
	LoadTime time.Duration
	Weights  Weights
	// Spare is how many of its groups the service can do without, so that their
	// instances may repair another service's.
	Spare int
}

// InstanceState is one instance as the planner sees it.
type InstanceState struct {
	Instance fleet.Instance
	Report   fleet.Report
	Listed   bool // in the platform's list
	Alive    bool // its reports are fresh
	// Ejected is set for a member that is there and can't take its place in its
	// group's epoch again.
	Ejected bool
	// MustLeave is set while the instance has a place that it must leave before it
	// can be given another one.
	MustLeave bool
	// LocalLoadTimes has the models that the instance can load without the weight store,
	// and how long that takes.
	LocalLoadTimes map[string]time.Duration
}

// Snapshot is all that one round of planning rests on.
type Snapshot struct {
	// Scope and Term are those of the lease that the plan is made under. The
	// planner touches only groups of this scope.
	Scope lease.Scope
	Term  lease.Term
	// Revision is that of the configuration in force, zero when it is not
	// known. Groups of a service that is not wanted are ended only when it
	// is known.
	Revision  uint64
	Wanted    []Wanted
	Groups    *group.View
	Instances map[fleet.InstanceID]InstanceState
	// InFlight counts the requests on each group as all daemons report them.
	InFlight map[fleet.GroupID]uint32
	// LoadsRunning counts groups that are loading from the weight store now.
	LoadsRunning int
	// FastLoads is set while loads take hardly any time.
	FastLoads bool
	// LogDown is set while nothing can be agreed.
	LogDown bool
}

// ActionKind is what the planner wants done.
type ActionKind string

// Kinds of action.
const (
	ActionForm     ActionKind = "form"     // a new group from free instances
	ActionRepair   ActionKind = "repair"   // replace members, next epoch
	ActionDrain    ActionKind = "drain"    // no new requests
	ActionDissolve ActionKind = "dissolve" // free the instances
	ActionWait     ActionKind = "wait"     // do nothing, for a stated reason
	ActionPromote  ActionKind = "promote"  // use a reserved spare, no agreement
	ActionHalt     ActionKind = "halt"     // stop a rollout that fails
)

// Action is one step of a plan.
type Action struct {
	Kind    ActionKind
	Service fleet.ServiceName
	// Replaces lists the members that a repair or promotion leaves out.
	Replaces []fleet.InstanceID
	Group    *group.Group // the group as it shall be; as it is for drain, dissolve, wait
	// Reason says why, and Cost what it is expected to cost.
	Reason string
	Cost   float64
	// Rejected lists the ways that were costed and not chosen.
	Rejected []Alternative
}

// Alternative is a way that the planner weighed.
type Alternative struct {
	Kind ActionKind
	Cost float64
}
