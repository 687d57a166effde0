// Package placement plans replica groups: which instances form a group, how a
// broken group is repaired, and how a new version is rolled out. The Planner is
// a pure function of its inputs and history. The Executor and the GroupController
// carry out its plans under a lease.
package placement

import (
	"time"

	"carawayproxy.example/caraway/internal/fleet"
	"carawayproxy.example/caraway/internal/group"
	"carawayproxy.example/caraway/internal/lease"
)

// Weights set the relative cost of downtime and of idle accelerators.
type Weights struct {
	// Downtime is the cost of one second in which a group can't serve requests.
	Downtime float64
	// Stranded is the cost of one healthy accelerator that sits idle in an
	// incomplete group for one second.
	Stranded float64
}

// Wanted describes the groups that a service requests.
type Wanted struct {
	Service  fleet.ServiceName
	Revision uint64
	Pool     fleet.Pool
	Model    string
	Version  fleet.Version
	Adapters []fleet.Adapter
	Role     fleet.Role
	Groups   int
	// Work is the mean number of groups that the service's requests keep busy.
	// Until it is Measured, it is only proportional to that.
	Work     float64
	Measured bool
	Size     int // instances per group
	Spares   int // instances reserved per group
	// LoadTime is the time that one group needs to load the version while no
	// other group loads from the weight store.
	LoadTime time.Duration
	Weights  Weights
}

// InstanceState is the planner's view of one instance.
type InstanceState struct {
	Instance fleet.Instance
	Report   fleet.Report
	Listed   bool // present in the platform's instance list
	Alive    bool // its reports are recent
	// Ended is set if the process of an instance that is not alive is known to have
	// ended, rather than only not to answer.
	Ended bool
	// Unreachable is set if no connection to an instance that is not alive could be
	// opened, several times, while others answered. The host of a process that is only
	// silent accepts connections.
	Unreachable bool
	// Ejected is set for a live member that can't rejoin its group in the
	// current epoch.
	Ejected bool
	// Evacuated is set if the instance is in an availability zone that the operator
	// evacuates.
	Evacuated bool
	// MustLeave is set while the instance holds or may hold a place that it has to
	// leave before it can be assigned another one.
	MustLeave bool
	// LocalLoadTimes maps each model that the instance can load without the
	// weight store to the time that this takes.
	LocalLoadTimes map[string]time.Duration
	// Cold is set while the instance is known to take few requests after its start.
	Cold bool
}

// Snapshot holds all inputs of one planning round.
type Snapshot struct {
	// Scope and Term identify the lease that the plan is made under. The planner
	// changes only groups of this scope.
	Scope lease.Scope
	Term  lease.Term
	// Revision is the revision of the active configuration, zero if unknown.
	// Groups of a service that is not in Wanted are drained only when it is
	// known.
	Revision  uint64
	Wanted    []Wanted
	Groups    *group.View
	Instances map[fleet.InstanceID]InstanceState
	// InFlight counts the requests in flight on each group, summed over all
	// daemons.
	InFlight map[fleet.GroupID]uint32
	// LoadsRunning counts the groups that are loading from the weight store.
	LoadsRunning int
	// FastLoads is set while loading a model takes almost no time.
	FastLoads bool
	// LogDown is set while no record can be appended to the log.
	LogDown bool
}

// isEvacuated reports whether a group has an instance in an availability zone that is
// evacuated. Such a group serves nobody and is left as it is: it is neither counted nor
// taken apart, and is planned for again once the zone is used again.
func (s Snapshot) isEvacuated(g *group.Group) bool {
	for m := range g.All() {
		if s.Instances[m.Instance].Evacuated {
			return true
		}
	}
	return false
}

// ActionKind is the kind of a planned action.
type ActionKind string

// Action kinds.
const (
	ActionForm     ActionKind = "form"     // form a new group from free instances
	ActionRepair   ActionKind = "repair"   // replace members in a new epoch
	ActionDrain    ActionKind = "drain"    // stop sending new requests to the group
	ActionDissolve ActionKind = "dissolve" // release the group's instances
	ActionWait     ActionKind = "wait"     // leave the group as it is; Reason says why
	ActionPromote  ActionKind = "promote"  // use a reserved spare without a log record
	ActionHalt     ActionKind = "halt"     // stop a failing rollout
)

// Action is one step of a plan.
type Action struct {
	Kind    ActionKind
	Service fleet.ServiceName
	// Replaces lists the members that a repair or promotion leaves out.
	Replaces []fleet.InstanceID
	// Group is the group after the action for form, repair and promote, and the
	// current group for the other kinds.
	Group *group.Group
	// Reason says why the action was chosen. Cost is its expected cost.
	Reason string
	Cost   float64
	// Rejected lists the alternatives that were evaluated and not chosen.
	Rejected []Alternative
}

// Alternative is an action that the planner evaluated.
type Alternative struct {
	Kind ActionKind
	Cost float64
}
