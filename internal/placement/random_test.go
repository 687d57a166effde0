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

// TestRandomFaults has two daemons place two groups for 15 minutes under random
// engine deaths, restarts, network cuts, log outages, late appends and late
// orders. In half of the seeds the engines ignore fencing tokens. At any time
// every serving group must have all its engines and share none, and the records
// must change by the rules of the fold. All groups must be whole once the
// faults have ended.
func TestRandomFaults(t *testing.T) {
	defer invariant.SetHandler(func(b invariant.Breach) { t.Error(b.Error()) })()
	for seed := range uint64(4) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			runInRig(t, 11, seed%2 == 0, func(t *testing.T, r *rig) { testRandomFaults(t, r, seed) })
		})
	}
}

func testRandomFaults(t *testing.T, r *rig, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 3))
	r.groups, r.spares = 2, 1
	daemons := []*rigDaemon{r.add("d1"), r.add("d2")}
	r.await("whole before the faults", time.Minute, isWhole(daemons[0], 2))
	faults, down := 0, 0
	foldCheckers := make([]foldChecker, len(daemons))
	for start := time.Now(); time.Since(start) < 15*time.Minute; {
		faults += r.randomFault(rng, daemons)
		for range 10 * (1 + rng.IntN(20)) {
			time.Sleep(100 * time.Millisecond)
			r.checkServing(daemons...)
			for i, d := range daemons {
				foldCheckers[i].check(r.t, d)
			}
			if daemons[0].whole() < 2 {
				down++
			}
		}
	}
	r.clearFaults(rng, daemons)
	r.setWanted(2)
	for _, e := range r.engines {
		if _, alive := e.state(); !alive {
			e.restart()
		}
	}
	r.await("whole after the faults", 5*time.Minute, func() bool { return daemons[0].whole() == 2 && daemons[1].whole() == 2 })
	assert.Assert(t, faults > 30 && down > 100, "%d faults, down in %d samples: the faults have too little effect", faults, down)
	t.Logf("%d faults, down in %d samples, %d appends lost their response", faults, down, r.log.Stats().Lost)
}

// randomFault ends the previous faults, begins a new one that affects an engine and
// possibly the log or the orders, and returns the number of faults begun.
func (r *rig) randomFault(rng *rand.Rand, daemons []*rigDaemon) int {
	r.clearFaults(rng, daemons)
	e, d := r.engines[rng.IntN(len(r.engines))], daemons[rng.IntN(len(daemons))]
	if i := slices.IndexFunc(daemons, (*rigDaemon).holds); i >= 0 && rng.IntN(3) > 0 {
		d = daemons[i]
	}
	r.setWanted(2 + rng.IntN(2))
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
		d.unreachable.Store(rng.IntN(2) == 0)
	case 2:
		r.log.SetFaults(platform.LogFaults{LoseResponses: 3, Delay: time.Duration(rng.IntN(2000)) * time.Millisecond})
	case 3, 4:
		d.log.setLate(time.Duration(1+rng.IntN(25)) * time.Second)
	case 5, 6:
		d.delay.Store(rng.Int64N(int64(time.Minute)))
	}
	return 1
}

// holds reports whether a daemon holds the scope's lease.
func (d *rigDaemon) holds() bool {
	_, ok := d.leaseHolder.Held(rigScope)
	return ok
}

// clearFaults ends the faults of the log and the orders and brings most of the
// engines back, resumed or restarted.
func (r *rig) clearFaults(rng *rand.Rand, daemons []*rigDaemon) {
	r.log.SetFaults(platform.LogFaults{})
	for _, d := range daemons {
		d.log.setCut(false)
		d.unreachable.Store(false)
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
