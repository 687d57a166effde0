package placement

// ModelDemand is what one model asks of the engines that models share.
type ModelDemand struct {
	Size int // engines of one group
	// Work is how many groups the model's requests keep busy, or any figure in
	// proportion to it.
	Work float64
	// Standing is how many groups the model has.
	Standing int
}

// shortBy is how many of its groups a model must be short of before a group of
// another one is taken apart for it: that costs a load.
const shortBy = 2

// SplitEngines divides engines over models and returns how many groups each is
// to have: the next group goes to the model whose groups are the fullest, until
// no more than reserve engines are left. A model keeps the groups that it has
// unless another one is short of several.
func SplitEngines(models []ModelDemand, engines, reserve int) []int {
	target := targets(models, engines, reserve)
	short := false
	for i, m := range models {
		short = short || m.Standing > 0 && target[i]-m.Standing >= shortBy
	}
	if short {
		return target
	}
	for i, m := range models {
		target[i] = max(target[i], m.Standing)
	}
	return target
}

// targets is SplitEngines without regard to the groups that there are.
func targets(models []ModelDemand, engines, reserve int) []int {
	groups := make([]int, len(models))
	for left := engines; ; {
		best := -1
		for i, m := range models {
			if m.Work <= 0 || m.Size < 1 {
				continue
			}
			keep := reserve
			if groups[i] == 0 {
				keep = 0
			}
			if left-m.Size >= keep && (best < 0 || fuller(models, groups, i, best)) {
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
func fuller(models []ModelDemand, groups []int, a, b int) bool {
	if (groups[a] == 0) != (groups[b] == 0) {
		return groups[a] == 0
	}
	return models[a].Work*float64(groups[b]) > models[b].Work*float64(groups[a])
}
