package placement

import (
	"math"
	"slices"
)

// ModelDemand describes the demand of one model for engines of a shared pool.
type ModelDemand struct {
	Size int // engines per group
	// Work is the mean number of groups that the model's requests keep busy.
	// Before it is measured, any value proportional to it will do.
	Work float64
	GroupCounts

	demand float64 // proportional to the number of groups that it should have
}

const (
	// A model whose utilization (work per group) exceeds overloadedUtilization
	// may take groups from another model to form one of its own, as long as that
	// one remains less utilized by transferMargin. A group that is taken from a
	// model serves no requests until its engines have loaded the other one.
	overloadedUtilization = 0.85
	transferMargin        = 1.1
	// repairMargin is the same for a group that is taken to repair one that has
	// lost a member: without it the other members would be of no use.
	repairMargin = 1.0
	// targetUtilization is the maximum planned utilization of a model's groups.
	// redundantGroups is the number of groups that each model should be able to
	// lose: for a model with few groups, each one is a large part of its capacity.
	targetUtilization = 0.7
	redundantGroups   = 2
)

// SplitEngines distributes engines over models and returns the number of groups
// for each model. Each next group goes to the model with the highest demand per
// group until at most reserve engines are left. A model keeps its existing groups
// unless measured work shows that another model is overloaded and that this one
// remains less utilized without them, so that a shortage of engines falls on all
// models alike.
func SplitEngines(models []ModelDemand, engines, reserve int, measured bool) []int {
	if measured {
		models = slices.Clone(models)
		for i := range models {
			models[i].demand = models[i].Work/targetUtilization + redundantGroups
		}
	} else {
		for i := range models {
			models[i].demand = models[i].Work
		}
	}
	groups := targetGroups(models, engines, reserve)
	overloadedModel, changing := -1, false
	for i, m := range models {
		overloaded := groups[i] > m.Groups && m.Starting == 0 && m.Work > overloadedUtilization*float64(m.Groups)
		if overloaded && (overloadedModel < 0 || m.utilization() > models[overloadedModel].utilization()) {
			overloadedModel = i
		}
		changing = changing || m.Draining > 0
	}
	for i, m := range models {
		groups[i] = max(groups[i], m.Groups)
		if !measured || overloadedModel < 0 || overloadedModel == i || changing {
			continue
		}
		receiver := models[overloadedModel]
		for n := groupsFor(receiver.Size, m.Size); n > 0; n-- {
			if mayGive(m.Work, m.Groups-n, receiver.Work, receiver.Groups, transferMargin) {
				groups[i] = m.Groups - n
				break
			}
		}
	}
	return groups
}

// mayGive reports whether a model that would be left with groups groups for its
// work may give engines to a model with otherGroups groups for otherWork: the
// giver must remain less utilized than the receiver is now, by a factor of margin.
// Each such change lowers the highest utilization, so models do not exchange
// engines back and forth. Work is in busy groups or, for both models, in any other
// unit.
func mayGive(work float64, groups int, otherWork float64, otherGroups int, margin float64) bool {
	return groups > 0 && utilization(work, groups)*margin < utilization(otherWork, otherGroups)
}

// groupsFor returns how many groups of surplusSize engines provide at least size
// engines.
func groupsFor(size, surplusSize int) int { return (size + surplusSize - 1) / max(surplusSize, 1) }

// utilization returns the mean number of busy groups divided by the number of
// groups. A model without groups counts as having half of one.
func utilization(work float64, groups int) float64 { return work / math.Max(float64(groups), 0.5) }

func (m ModelDemand) utilization() float64 { return utilization(m.Work, m.Groups) }

// targetGroups distributes the engines without regard to the existing groups.
func targetGroups(models []ModelDemand, engines, reserve int) []int {
	groups := make([]int, len(models))
	for left := engines; ; {
		best := -1
		for i, m := range models {
			if m.demand <= 0 || m.Size < 1 {
				continue
			}
			keep := reserve
			if groups[i] == 0 {
				keep = 0
			}
			if left-m.Size >= keep && (best < 0 || hasMoreDemand(models, groups, i, best)) {
				best = i
			}
		}
		if best < 0 {
			return groups
		}
		groups[best]++
		left -= models[best].Size
	}
}

// hasMoreDemand reports whether model a has more demand per group than model b.
// A model without groups ranks first.
func hasMoreDemand(models []ModelDemand, groups []int, a, b int) bool {
	if (groups[a] == 0) != (groups[b] == 0) {
		return groups[a] == 0
	}
	return models[a].demand*float64(groups[b]) > models[b].demand*float64(groups[a])
}
