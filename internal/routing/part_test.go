package routing

import (
	"slices"
	"testing"

	"gotest.tools/v3/assert"
)

// chosenOf returns how often each of the candidates is chosen.
func chosenOf(req Request, candidates []Candidate) map[string]int {
	p, rng := DefaultPolicy(), seeded(1)
	times := map[string]int{}
	for range 200 {
		times[string(p.Choose(req, candidates, rng).Chosen.Group)]++
	}
	return times
}

func TestPartsThatMeetCoverEveryGroupOnce(t *testing.T) {
	first, second := Part{From: 0, To: 0.3}, Part{From: 0.3, To: 1}
	for n := 1; n < 50; n++ {
		for at := range n {
			assert.Assert(t, first.Holds(at, n) != second.Holds(at, n), "%d of %d", at, n)
		}
	}
}

func TestRequestsKeepToTheirPart(t *testing.T) {
	times := chosenOf(Request{Service: model, Part: Part{From: 0.5, To: 1}}, whole(8))
	for _, group := range []string{"g0", "g1", "g2", "g3"} {
		assert.Equal(t, times[group], 0, group)
	}
	assert.Equal(t, len(times), 4)
}

func TestPartIsTheSameWhateverTheOrderOfTheSnapshot(t *testing.T) {
	candidates := whole(8)
	slices.Reverse(candidates)
	times := chosenOf(Request{Service: model, Part: Part{From: 0, To: 0.25}}, candidates)
	assert.Equal(t, times["g0"]+times["g1"], 200)
}

func TestOtherGroupsAreUsedOnceThePartIsFarBehind(t *testing.T) {
	candidates := whole(8)
	for i := range 4 {
		candidates[i].Running, candidates[i].Queued = 40, 200
	}
	times := chosenOf(Request{Service: model, Part: Part{From: 0, To: 0.5}}, candidates)
	for _, group := range []string{"g0", "g1", "g2", "g3"} {
		assert.Equal(t, times[group], 0, group)
	}
}

func TestPartWithoutAGroupChangesNothing(t *testing.T) {
	none := chosenOf(Request{Service: model, Part: Part{From: 0, To: 0.01}}, whole(8))
	assert.DeepEqual(t, none, chosenOf(Request{Service: model}, whole(8)))
}
