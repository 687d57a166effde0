package placement_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"carawayproxy.example/caraway/internal/invariant"
	"carawayproxy.example/caraway/standin/platform"
)

// TestRandomFaults lets two daemons place two groups through random deaths,
// restarts, cuts, outages, late appends and late orders for a quarter of an
// hour, half of the seeds with engines that ignore fencing tokens. At any time
// every group that serves has all its engines and shares none, and the books
// change by the rules of the fold; all is whole again when the faults end.
func TestRandomFaults(t *testing.T) {
	defer invariant.SetHandler(func(b invariant.Breach) { t.Error(b.Error()) })()
	for seed := range uint64(4) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			inRig(t, 11, seed%2 == 0, func(t *testing.T, r *rig) { randomFaults(t, r, seed) })
		})
	}
}

func randomFaults(t *testing.T, r *rig, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 3))
	r.groups, r.spares = 2, 1
	daemons := []*rigDaemon{r.add("d1"), r.add("d2")}
	r.await("whole at first", time.Minute, isWhole(daemons[0], 2))
	faults, down := 0, 0
	watches := make([]foldWatch, len(daemons))
	for start := time.Now(); time.Since(start) < 15*time.Minute; {
		faults += r.randomFault(rng, daemons)
		for range 10 * (1 + rng.IntN(20)) {
			time.Sleep(100 * time.Millisecond)
			r.checkServing(daemons...)
			for i, d := range daemons {
				watches[i].look(r.t, d)
			}
			if daemons[0].whole() < 2 {
				down++
			}
		}
	}
	r.calm(rng, daemons)
	r.want(2)
	for _, e := range r.engines {
		if _, alive := e.state(); !alive {
			e.restart()
		}
	}
	r.await("whole at last", 5*time.Minute, func() bool { return daemons[0].whole() == 2 && daemons[1].whole() == 2 })
	assert.Assert(t, faults > 30 && down > 100, "%d faults, down in %d samples: the faults do not bite", faults, down)
	t.Logf("%d faults, down in %d samples, %d appends lost their answer", faults, down, r.log.Stats().Lost)
}

// randomFault ends the last fault, begins another that strikes an engine and
// perhaps the log or the orders, and returns how many it began.
func (r *rig) randomFault(rng *rand.Rand, daemons []*rigDaemon) int {
	r.calm(rng, daemons)
	e, d := r.engines[rng.IntN(len(r.engines))], daemons[rng.IntN(len(daemons))]
	if i := slices.IndexFunc(daemons, (*rigDaemon).holds); i >= 0 && rng.IntN(3) > 0 {
		d = daemons[i]
	}
	r.want(2 + rng.IntN(2))
	if rng.IntN(2) == 0 {
		e.restart()
	} else {
		e.kill()
	}
	switch rng.IntN(8) {
	case 0:
		d.log.setCut(true)
	case 1:
		r.log.SetFaults(platform.LogFaults{Down: true})
		d.unheard.Store(rng.IntN(2) == 0)
	case 2:
		r.log.SetFaults(platform.LogFaults{LoseAnswers: 3, Delay: time.Duration(rng.IntN(2000)) * time.Millisecond})
	case 3, 4:
		d.log.setLate(time.Duration(1+rng.IntN(25)) * time.Second)
	case 5, 6:
		d.delay.Store(rng.Int64N(int64(time.Minute)))
	}
	return 1
}

// holds reports whether a daemon holds the scope now.
func (d *rigDaemon) holds() bool {
	_, ok := d.keeper.Held(rigScope)
	return ok
}

// calm ends the faults of the log and the orders and brings most of the
// engines back, with their state or without.
func (r *rig) calm(rng *rand.Rand, daemons []*rigDaemon) {
	r.log.SetFaults(platform.LogFaults{})
	for _, d := range daemons {
		d.log.setCut(false)
		d.unheard.Store(false)
		d.log.setLate(0)
		d.delay.Store(0)
	}
	for _, e := range r.engines {
		if _, alive := e.state(); alive {
			continue
		}
		switch rng.IntN(3) {
		case 0:
			e.resume()
		case 1:
			e.restart()
		}
	}
}
