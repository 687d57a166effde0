package site

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// serverListStops makes all writes of engines to the server list get lost, or
// lets them through again.
func serverListStops(w *World, lost bool) {
	w.Update(func() {
		for _, e := range w.shared.engines {
			e.writesLost = lost
		}
	})
}

// The server list stops, a group is completed with an engine outside groups, and
// all daemons lose power. The list that they read then shows that engine without a
// place, and it was ordered into a second group while the first one served.
func TestEngineJoinedASecondGroupAfterAllDaemonsRestarted(t *testing.T) {
	for _, test := range []struct {
		name string
		// rank is the rank of the lost member.
		rank int
		// lostAfter is the time from the daemons' restart until another group
		// loses a member.
		lostAfter time.Duration
	}{
		{name: "leader replaced", rank: 0},
		{name: "member replaced", rank: 1},
		{name: "substitutes are needed at once", rank: 0, lostAfter: 10 * time.Millisecond},
		{name: "substitutes are needed later", rank: 1, lostAfter: 2 * time.Second},
	} {
		t.Run(test.name, func(t *testing.T) {
			runWorld(t, func(t *testing.T, w *World) {
				time.Sleep(loadTime + 4*time.Second) // all loads have ended
				groups := w.OpenGroups(ModelOfThree) + w.OpenGroups(ModelOfTwo)
				serverListStops(w, true)
				w.Store.SetUnavailable(true)
				time.Sleep(2 * time.Second)
				w.FreezeEngine(w.Member(ModelOfThree, test.rank))
				countCutAndRejected(t, sendStreams(w, ModelOfThree, 3*time.Second))
				time.Sleep(loadTime + 2*stagedTime) // staging on the host, then loading from it
				assert.Equal(t, w.OpenGroups(ModelOfThree)+w.OpenGroups(ModelOfTwo), groups, "the group was not repaired")
				for _, d := range w.Daemons {
					d.Kill()
				}
				w.Store.SetUnavailable(false)
				for _, d := range w.Daemons {
					assert.NilError(t, d.Start(false))
				}
				want := groups
				if test.lostAfter > 0 {
					time.Sleep(test.lostAfter)
					w.FreezeEngine(w.Member(ModelOfTwo, 1))
					want--
				}
				time.Sleep(4 * time.Second)
				assert.DeepEqual(t, w.Violations(), []string(nil))
				assert.Check(t, w.OpenGroups(ModelOfThree)+w.OpenGroups(ModelOfTwo) >= want, "%d groups open", w.OpenGroups(ModelOfThree)+w.OpenGroups(ModelOfTwo))
				serverListStops(w, false)
				time.Sleep(loadTime)
			})
		})
	}
}
