package serving

import (
	"fmt"
	"math/rand/v2"
	"time"

	"carawayproxy.example/caraway/internal/admission"
	"carawayproxy.example/caraway/internal/fleet"
	"carawayproxy.example/caraway/internal/routing"
)

const (
	serviceName      fleet.ServiceName = "drafting"
	zoneCount                          = 3
	fabricCount                        = 4
	indexSize                          = 2 * cacheBlocks
	minCacheLag                        = 250 * time.Millisecond
	cacheLagSpan                       = 1750 * time.Millisecond
	cacheEventLoss                     = 0.05 // share of cache events lost
	sameZoneLatency                    = 250 * time.Microsecond
	crossZoneLatency                   = 1500 * time.Microsecond
	connectTimeout                     = 500 * time.Millisecond
)

// epoch is the wall time at the start of a run.
var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// Retries is a retry policy for failed attempts.
type Retries struct {
	// MaxRetries is the maximum number of retries of a call.
	MaxRetries int
	// Budget returns a daemon's retry budget; nil for no budget.
	Budget func() *admission.RetryBudget
	// AvoidFabric prefers fabric domains without a failed attempt.
	AvoidFabric bool
	// FirstTokenTimeout is the timeout of an attempt until its first token;
	// zero for none.
	FirstTokenTimeout time.Duration
}

// Scenario configures one run.
type Scenario struct {
	Name     string
	Seed     uint64
	Groups   int
	Daemons  int
	Warmup   time.Duration // not measured
	Duration time.Duration // measured
	Tail     time.Duration // after Duration, measured in Stats.Seconds only

	Sources []Source
	// Policy returns a daemon's routing policy. Prefixes adds the index of
	// cached prefixes to it.
	Policy   func() routing.Policy
	Prefixes bool
	// Limiter returns a daemon's limiter; nil disables admission.
	Limiter func() admission.Limiter
	// OverShareFraction is admission.Config.OverShareFraction.
	OverShareFraction float64
	// AllGroups is admission.Config.AllGroups.
	AllGroups bool
	// LimitOnly hides the capacity and the deadlines from admission.
	LimitOnly bool
	// NoCapacity hides the capacity from admission.
	NoCapacity bool
	// QueueFor is the maximum time that an overloaded daemon queues a call.
	QueueFor time.Duration
	Retries  Retries

	// Straggler is a factor on the step duration of the first group; zero for
	// none.
	Straggler float64
	// OutageFrom and OutageTo bound the outage of one fabric domain.
	OutageFrom, OutageTo time.Duration
	// SlowStoreFrom and SlowStoreTo bound the period in which the store takes
	// SlowStore for the record of a keyed request.
	SlowStoreFrom, SlowStoreTo time.Duration
	SlowStore                  time.Duration
}

// run is the state of one run.
type run struct {
	Scenario
	loop    loop
	rng     *rand.Rand
	engines []*engine
	daemons []*daemon
	index   *routing.PrefixIndex
	stats   *Stats
}

// Run simulates a scenario and returns its measurements.
func Run(s Scenario) *Stats {
	r := &run{
		Scenario: s,
		rng:      rand.New(rand.NewPCG(s.Seed, 1)),
		index:    routing.NewPrefixIndex(indexSize),
		stats:    newStats(s),
	}
	r.addEngines()
	r.addDaemons()
	r.addFaults()
	for i := range s.Sources {
		r.scheduleArrival(newCallers(&r.Sources[i], s.Seed, i, len(s.Sources)))
	}
	r.loop.runUntil(s.Warmup + s.Duration + s.Tail)
	for _, e := range r.engines {
		r.stats.Groups = append(r.stats.Groups, e.ended)
	}
	return r.stats
}

func (r *run) addEngines() {
	for i := range r.Groups {
		e := &engine{
			loop: &r.loop, slow: 1, cache: newPrefixCache(cacheBlocks),
			group:  fleet.GroupID(fmt.Sprintf("g%03d", i)),
			zone:   fleet.Zone(fmt.Sprintf("z%d", i%zoneCount)),
			fabric: fleet.FabricDomain(fmt.Sprintf("f%d", i%fabricCount)),
		}
		if i == 0 && r.Straggler > 0 {
			e.slow = r.Straggler
		}
		e.onCache = func(added, evicted []uint64) { r.publishCacheEvents(e.group, added, evicted) }
		r.engines = append(r.engines, e)
	}
}

// publishCacheEvents sends cache events to the daemons, with a lag and with gaps.
func (r *run) publishCacheEvents(group fleet.GroupID, added, evicted []uint64) {
	lag := minCacheLag + time.Duration(r.rng.Float64()*float64(cacheLagSpan))
	lost := func(uint64) bool { return r.rng.Float64() < cacheEventLoss }
	added = removeIf(added, lost)
	evicted = removeIf(evicted, lost)
	r.loop.after(lag, func() {
		for _, b := range added {
			r.index.Observe(group, b, false)
		}
		for _, b := range evicted {
			r.index.Observe(group, b, true)
		}
	})
}

func (r *run) addDaemons() {
	for i := range r.Daemons {
		d := &daemon{
			zone:   fleet.Zone(fmt.Sprintf("z%d", i%zoneCount)),
			policy: r.Policy(),
			rng:    rand.New(rand.NewPCG(r.Seed, uint64(100+i))),
		}
		if r.Prefixes {
			d.policy = d.policy.WithPrefixes(r.index)
		}
		if r.Limiter != nil {
			d.admission = admission.NewController(admission.Config{
				Seed: r.Seed + uint64(i), NewLimiter: r.Limiter, OverShareFraction: r.OverShareFraction, AllGroups: r.AllGroups,
			})
		}
		if r.Retries.Budget != nil {
			d.budget = r.Retries.Budget()
		}
		for _, e := range r.engines {
			d.groups = append(d.groups, &groupView{engine: e})
		}
		r.daemons = append(r.daemons, d)
		for at := range d.groups {
			offset := time.Duration(r.rng.Float64() * float64(reportPeriod))
			r.loop.every(offset, reportPeriod, func() { r.sendReport(d.groups[at]) })
		}
		offset := time.Duration(r.rng.Float64() * float64(heartbeatPeriod))
		r.loop.every(offset, heartbeatPeriod, func() { r.updatePeerCounts(d) })
	}
}

// sendReport samples a group's load and delivers it to the daemon after a lag.
func (r *run) sendReport(g *groupView) {
	if g.engine.down {
		return
	}
	sampled := report{
		at: r.loop.now, running: uint32(len(g.engine.running)), queued: uint32(len(g.engine.queue)),
		pendingTokens: g.engine.pendingTokens(), rate: g.engine.rate,
	}
	lag := minReportLag + time.Duration(r.rng.Float64()*float64(reportLagSpan))
	r.loop.after(lag, func() { g.updateReport(sampled) })
}

// updatePeerCounts sends a daemon its peers' numbers of requests in flight.
func (r *run) updatePeerCounts(d *daemon) {
	counts := make([]uint32, len(d.groups))
	for _, peer := range r.daemons {
		if peer == d {
			continue
		}
		for i, g := range peer.groups {
			counts[i] += g.own
		}
	}
	r.loop.after(crossZoneLatency, func() {
		for i, g := range d.groups {
			g.peers = counts[i]
		}
	})
}

func (r *run) addFaults() {
	if r.OutageTo == 0 {
		return
	}
	detect := func() time.Duration { return time.Second + time.Duration(r.rng.Float64()*float64(time.Second)) }
	r.loop.after(r.OutageFrom, func() {
		for i := 0; i < len(r.engines); i += fabricCount {
			r.engines[i].fail(detect)
			for _, d := range r.daemons {
				g := d.groups[i]
				r.loop.after(detect(), func() { g.down = true })
			}
		}
	})
	r.loop.after(r.OutageTo, func() {
		for i := 0; i < len(r.engines); i += fabricCount {
			r.engines[i].restart()
			r.index.Forget(r.engines[i].group)
			for _, d := range r.daemons {
				g := d.groups[i]
				r.loop.after(detect(), func() { g.down = false })
			}
		}
	})
}

// scheduleArrival schedules the next arrival of a source's Poisson process.
func (r *run) scheduleArrival(from *callers) {
	rate := from.rate(r.loop.now)
	if rate <= 0 {
		r.loop.after(time.Second, func() { r.scheduleArrival(from) })
		return
	}
	r.loop.after(time.Duration(from.rng.ExpFloat64()/rate*float64(time.Second)), func() {
		r.arrive(from)
		r.scheduleArrival(from)
	})
}

func (r *run) arrive(from *callers) {
	c := &call{run: r, source: from.Source, prompt: from.prompts.next(), output: from.prompts.output()}
	c.keyed = from.rng.Float64() < from.Keyed
	c.start()
}

// wallTime returns the current virtual time as a wall time.
func (r *run) wallTime() time.Time { return epoch.Add(r.loop.now) }

// capacity returns a daemon's share of the capacity of the groups that it
// considers up, or zero if admission does not receive the capacity.
func (r *run) capacity(d *daemon) uint32 {
	if r.LimitOnly || r.NoCapacity {
		return 0
	}
	up := 0
	for _, g := range d.groups {
		if !g.down {
			up++
		}
	}
	return uint32(max(up*maxRunning/r.Daemons, 1))
}
