package placement

// ModelDemand is what one model asks of the engines that models share.
type ModelDemand struct {
	Size int // engines of one group
	// Work is the model's part of the work, in groups kept busy or as a share.
	Work float64
}

// SplitEngines divides engines over models and returns how many groups each is
// to have: one after the other, the next group goes to the model whose groups
// are the fullest, until reserve engines are left. Every model with work gets
// a group first.
func SplitEngines(models []ModelDemand, engines, reserve int) []int {
	groups := make([]int, len(models))
	left := engines
	for {
		best, fullest := -1, 0.0
		for i, m := range models {
			if m.Work <= 0 || m.Size < 1 {
				continue
			}
			keep := reserve
			if groups[i] == 0 {
				keep = 0
			}
			if left-m.Size < keep {
				continue
			}
			load := m.Work / float64(groups[i]+1)
			if groups[i] == 0 {
				load = m.Work * float64(engines)
			}
			if best < 0 || load > fullest {
				best, fullest = i, load
			}
		}
		if best < 0 {
			return groups
		}
		groups[best]++
		left -= models[best].Size
	}
}
