package soak

import (
	"context"
	"math/rand/v2"
	"time"

	"carawayproxy.example/caraway/standin/site"
)

const (
	// serverZones is the number of availability zones of the backend servers, each with one
	// fabric domain. Zone a is never evacuated and domain-0 never silent; faults freeze
	// engines there.
	serverZones = 3
	// lastZone is evacuated when the faults have ended, for evacuatedTime at least.
	lastZone      = "b"
	evacuatedTime = site.EvacuationBound + time.Second
	// maxEventTime is the longest time for which a zone is evacuated or a domain silent,
	// and the longest one between two such events.
	maxEventTime = 3 * time.Second
)

// coldServers is the cold start of engines, with the daemons' default overshoot and slack.
var coldServers = site.ColdServers{Start: 3 * time.Second, PerSecond: 6, Overshoot: 1}

// evacuateZones evacuates a zone at a time and takes it back, until ctx ends. The bound is
// not checked meanwhile: other faults keep all daemons from the store.
func (r *run) evacuateZones(ctx context.Context) {
	rng := rand.New(rand.NewPCG(r.o.Seed, 1<<33))
	for ctx.Err() == nil {
		key := "evacuate/" + []string{"b", "c"}[rng.IntN(2)]
		r.world.Store.Put("keyed.op", key, []byte("{}"))
		r.mu.Lock()
		r.result.Evacuations++
		r.mu.Unlock()
		pause(ctx, rng)
		r.world.Store.Put("keyed.op", key, nil)
		pause(ctx, rng)
	}
}

// returnCold makes the engines of a domain fall silent and return cold, until ctx ends.
func (r *run) returnCold(ctx context.Context) {
	rng := rand.New(rand.NewPCG(r.o.Seed, 1<<34))
	for ctx.Err() == nil {
		r.world.ReturnCold([]string{"domain-1", "domain-2"}[rng.IntN(2)], time.Duration(rng.Int64N(int64(maxEventTime))))
		r.mu.Lock()
		r.result.ColdReturns++
		r.mu.Unlock()
		pause(ctx, rng)
	}
}

// pause waits for a random time, or until ctx ends.
func pause(ctx context.Context, rng *rand.Rand) {
	select {
	case <-time.After(time.Duration(rng.Int64N(int64(maxEventTime)))):
	case <-ctx.Done():
	}
}
