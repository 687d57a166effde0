package placement_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"carawayproxy.example/caraway/internal/invariant"
	"carawayproxy.example/caraway/standin/platform"
)

// TestRandomFaults lets two daemons place two groups through random deaths,
// restarts, cuts and outages for a quarter of an hour, half of the seeds with engines
// that ignore fencing tokens. No two groups that serve share an instance at
// any time, and all is whole again when the faults end.
func TestRandomFaults(t *testing.T) {
	defer invariant.SetHandler(func(b invariant.Breach) { t.Error(b.Error()) })()
	for seed := range uint64(4) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			inRig(t, 8, seed%2 == 0, func(t *testing.T, r *rig) { randomFaults(t, r, seed) })
		})
	}
}

func randomFaults(t *testing.T, r *rig, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 3))
	r.groups, r.spares = 2, 1
	daemons := []*rigDaemon{r.add("d1"), r.add("d2")}
	r.await("whole at first", time.Minute, isWhole(daemons[0], 2))
	faults, down := 0, 0
	for start := time.Now(); time.Since(start) < 15*time.Minute; {
		faults += r.randomFault(rng, daemons)
		for range 10 * (3 + rng.IntN(25)) {
			time.Sleep(100 * time.Millisecond)
			r.checkServing(daemons...)
			if daemons[0].whole() < 2 {
				down++
			}
		}
	}
	r.log.SetFaults(platform.LogFaults{})
	for _, d := range daemons {
		d.log.setCut(false)
	}
	for _, e := range r.engines {
		if _, alive := e.state(); !alive {
			e.restart()
		}
	}
	r.await("whole at last", 5*time.Minute, func() bool { return daemons[0].whole() == 2 && daemons[1].whole() == 2 })
	assert.Assert(t, faults > 30 && down > 100, "%d faults, down in %d samples: the faults do not bite", faults, down)
	t.Logf("%d faults, down in %d samples, %d appends lost their answer", faults, down, r.log.Stats().Lost)
}

// randomFault begins or ends one fault and returns how many it began.
func (r *rig) randomFault(rng *rand.Rand, daemons []*rigDaemon) int {
	e := r.engines[rng.IntN(len(r.engines))]
	_, alive := e.state()
	switch rng.IntN(8) {
	case 0, 1:
		if alive {
			e.kill()
		} else {
			e.restart()
		}
	case 2, 3:
		e.restart()
	case 4:
		d := daemons[rng.IntN(len(daemons))]
		d.log.setCut(!d.log.isCut())
	case 5:
		r.log.SetFaults(platform.LogFaults{Down: !r.log.Faults().Down})
	case 6:
		r.log.SetFaults(platform.LogFaults{LoseAnswers: 3, Delay: time.Duration(rng.IntN(2000)) * time.Millisecond})
	default:
		r.log.SetFaults(platform.LogFaults{})
		return 0
	}
	return 1
}
