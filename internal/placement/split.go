package placement

import (
	"math"
	"slices"
)

// ModelDemand is what one model asks of the engines that models share.
type ModelDemand struct {
	Size int // engines of one group
	// Work is how many groups the model's requests keep busy, or while that is
	// not known any figure in proportion to it.
	Work float64
	Standing

	demand float64 // in proportion to the groups that it should have
}

const (
	// starvedAt is the part of its groups' time from which a model is starved,
	// and idleBelow the one below which another model may give a group to it:
	// a group that is taken apart serves nobody until its engines have loaded.
	overloadedUtilization = 0.85
	idleUtilization       = 0.7
	// fullShare is the part of its groups' time that a model should use at
	// most, and lostGroups how many of its groups it should be able to miss:
	// of a model with few groups each one is a large part.
	targetUtilization = 0.7
	redundantGroups   = 2
)

// SplitEngines divides engines over models and returns how many groups each is
// to have: the next group goes to the model whose groups are the fullest, until
// no more than reserve engines are left. A model keeps the groups that it has
// unless measured work shows that another one is starved while it is idle.
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
	needy, changing := -1, false
	for i, m := range models {
		starved := groups[i] > m.Groups && m.Coming == 0 && m.Work > overloadedUtilization*float64(m.Groups)
		if starved && (needy < 0 || m.utilization() > models[needy].utilization()) {
			needy = i
		}
		changing = changing || m.Going > 0
	}
	for i, m := range models {
		groups[i] = max(groups[i], m.Groups)
		if !measured || needy < 0 || needy == i || changing {
			continue
		}
		if give := min(m.Spare(), groupsFor(models[needy].Size, m.Size)); give > 0 {
			groups[i] = m.Groups - give
		}
	}
	return groups
}

// groupsFor is how many groups of one size have the engines of one of another.
func groupsFor(size, of int) int { return (size + of - 1) / max(of, 1) }

// fullness is the part of its groups' time that a model's work takes.
func (m ModelDemand) utilization() float64 { return m.Work / math.Max(float64(m.Groups), 0.5) }

// Spare is how many of its groups the model can do without.
func (m ModelDemand) Spare() int {
	return min(max(int(float64(m.Groups)-m.Work/idleUtilization), 0), m.Groups)
}

// targets is SplitEngines without regard to the groups that there are.
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

// fuller reports whether the groups of model a have more work each than those
// of model b. A model without a group comes first.
func hasMoreDemand(models []ModelDemand, groups []int, a, b int) bool {
	if (groups[a] == 0) != (groups[b] == 0) {
		return groups[a] == 0
	}
	return models[a].demand*float64(groups[b]) > models[b].demand*float64(groups[a])
}
