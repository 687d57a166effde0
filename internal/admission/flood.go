package admission

import (
	"math"
	"time"

	"carawayproxy.example/caraway/internal/fleet"
	"carawayproxy.example/caraway/internal/routing"
)

const (
	// A workspace floods if at least floodRefusalRatio of its recent requests,
	// and at least minFloodRefusals of them, were refused for lack of capacity.
	floodRefusalRatio = 0.25
	minFloodRefusals  = 3
	// maxFloodWeightRatio is the largest fraction of the total weight that may
	// belong to flooding workspaces for them to be confined. Beyond it, nearly
	// all workspaces would be confined.
	maxFloodWeightRatio = 0.5
	// busyUseRatio is the average utilization of their share of the limit at
	// which the workspaces that do not flood avoid all groups of those that do.
	// At a lower utilization they avoid proportionally fewer groups, starting
	// with the first, so that fewer of their cached prefixes have to be
	// recomputed when a flood begins.
	busyUseRatio = 0.65
	// burstDeviations is the number of standard deviations by which a number of
	// independent requests may exceed its mean. The standard deviation is the
	// square root of the mean.
	burstDeviations = 2.0
)

// burstAllowance returns by how much the number of independent requests in
// flight may exceed its mean by chance. The result is positive even for a mean
// of zero.
func burstAllowance(mean float64) float64 { return burstDeviations * math.Sqrt(mean+1) }

// refusedRecently reports whether a substantial fraction of the workspace's
// recent requests was refused for lack of capacity.
func (w *workspace) refusedRecently(now time.Time) bool {
	refused := w.refusals.countAt(now)
	return refused >= minFloodRefusals && refused >= floodRefusalRatio*w.requests.countAt(now)
}

// isFlooding reports whether the workspace's demand clearly exceeds its fair
// share: either its requests were refused recently, or it exceeds its share and
// its number of in-flight requests rose by more than chance explains.
func (w *workspace) isFlooding(now time.Time, share float64) bool {
	if w.refusedRecently(now) {
		return true
	}
	inFlight, average := float64(w.inFlight), w.averageAt(now)
	return inFlight > w.fairShare(share) && inFlight > average+burstAllowance(average)
}

// isProtected reports whether another workspace floods while w does not, and
// one more request keeps w within its fair share of the whole capacity. If a
// flood lowers the limit, the reduction then falls on the flooding workspaces
// only.
func (s *service) isProtected(now time.Time, w *workspace, share, capacityShare float64) bool {
	if float64(w.inFlight+1) > w.fairShare(capacityShare) || w.isFlooding(now, capacityShare) {
		return false
	}
	for _, other := range s.workspaces {
		if other != w && other.isFlooding(now, share) {
			return true
		}
	}
	return false
}

// isConfined reports whether the workspace is currently confined to its share of
// the groups, so that it may not exceed its fair share.
func (s *service) isConfined(now time.Time, w *workspace) bool {
	return w.refusedRecently(now) && s.groupRange(now, w.name) != routing.GroupRange{}
}

// groupRange returns the range of groups that requests of a workspace should use.
// Each flooding workspace gets its fair share of the groups. The ranges follow
// one another in the order of the workspaces' names, so that all daemons compute
// the same ranges without communication. The other workspaces use the remaining
// groups and, while their utilization is low, also the last of the flooding
// workspaces' groups.
func (s *service) groupRange(now time.Time, name fleet.Workspace) routing.GroupRange {
	weights, flooding, before, own, used := 0.0, 0.0, 0.0, 0.0, 0.0
	if s.allGroups {
		return routing.GroupRange{}
	}
	share := s.share(s.lastLimit)
	for _, w := range s.workspaces {
		weights += w.weight
		if !w.isFlooding(now, share) {
			used += w.averageAt(now)
			continue
		}
		flooding += w.weight
		if w.name < name {
			before += w.weight
		}
		if w.name == name {
			own = w.weight
		}
	}
	if flooding == 0 || flooding > maxFloodWeightRatio*weights {
		return routing.GroupRange{}
	}
	if own == 0 {
		kept := min(used/(busyUseRatio*share*(weights-flooding)), 1)
		return routing.GroupRange{From: kept * flooding / weights, To: 1}
	}
	return routing.GroupRange{From: before / weights, To: (before + own) / weights}
}
