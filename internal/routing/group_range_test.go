package routing

import (
	"slices"
	"testing"

	"gotest.tools/v3/assert"
)

// choiceCounts returns how often each group is chosen in 200 decisions.
func choiceCounts(req Request, candidates []Candidate) map[string]int {
	p, rng := DefaultPolicy(), newRand(1)
	times := map[string]int{}
	for range 200 {
		times[string(p.Choose(req, candidates, rng).Chosen.Group)]++
	}
	return times
}

func TestAdjacentRangesCoverEveryGroupOnce(t *testing.T) {
	first, second := GroupRange{From: 0, To: 0.3}, GroupRange{From: 0.3, To: 1}
	for n := 1; n < 50; n++ {
		for at := range n {
			assert.Assert(t, first.Contains(at, n) != second.Contains(at, n), "%d of %d", at, n)
		}
	}
}

func TestRequestsKeepToTheirGroupRange(t *testing.T) {
	times := choiceCounts(Request{Service: model, Groups: GroupRange{From: 0.5, To: 1}}, wholeGroups(8))
	for _, group := range []string{"g0", "g1", "g2", "g3"} {
		assert.Equal(t, times[group], 0, group)
	}
	assert.Equal(t, len(times), 4)
}

func TestGroupRangeIsIndependentOfTheSnapshotOrder(t *testing.T) {
	candidates := wholeGroups(8)
	slices.Reverse(candidates)
	times := choiceCounts(Request{Service: model, Groups: GroupRange{From: 0, To: 0.25}}, candidates)
	assert.Equal(t, times["g0"]+times["g1"], 200)
}

func TestOtherGroupsAreUsedWhenTheRangeIsOverloaded(t *testing.T) {
	candidates := wholeGroups(8)
	for i := range 4 {
		candidates[i].Running, candidates[i].Queued = 40, 200
	}
	times := choiceCounts(Request{Service: model, Groups: GroupRange{From: 0, To: 0.5}}, candidates)
	for _, group := range []string{"g0", "g1", "g2", "g3"} {
		assert.Equal(t, times[group], 0, group)
	}
}

func TestGroupRangeWithoutAGroupChangesNothing(t *testing.T) {
	none := choiceCounts(Request{Service: model, Groups: GroupRange{From: 0, To: 0.01}}, wholeGroups(8))
	assert.DeepEqual(t, none, choiceCounts(Request{Service: model}, wholeGroups(8)))
}
