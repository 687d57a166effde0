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
	serviceName  fleet.ServiceName = "drafting"
	zoneCount                      = 3
	fabricCount                    = 4
	indexSize                      = 2 * cacheBlocks
	cacheLagLow                    = 250 * time.Millisecond
	cacheLagSpan                   = 1750 * time.Millisecond
	cacheLost                      = 0.05 // share of cache events lost
	sameZone                       = 250 * time.Microsecond
	crossZone                      = 1500 * time.Microsecond
	connectFails                   = 500 * time.Millisecond
)

// epoch is the virtual time zero.
var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// Retries says how failed attempts are repeated.
type Retries struct {
	// Most is how often an attempt is repeated, zero for never.
	Most int
	// Budget makes the daemon's retry budget, nil for no bound.
	Budget func() *admission.RetryBudget
	// AvoidFabric prefers other fabric domains than those that failed.
	AvoidFabric bool
	// FirstToken gives an attempt up that has no token in time, zero for
	// never.
	FirstToken time.Duration
}

// Scenario is one run.
type Scenario struct {
	Name     string
	Seed     uint64
	Groups   int
	Daemons  int
	Warmup   time.Duration // not counted
	Duration time.Duration // counted
	Tail     time.Duration // after it, not counted but in Seconds

	Sources []Source
	// Policy makes one daemon's routing policy; Prefixes adds what it knows
	// of cached prefixes.
	Policy   func() routing.Policy
	Prefixes bool
	// Limiter makes a daemon's limiter; without one nothing is refused.
	Limiter func() admission.Limiter
	// BorrowShare is admission's.
	BorrowShare float64
	// AllGroups is admission's.
	AllGroups bool
	// LimitOnly leaves the capacity and the deadline out of admission.
	LimitOnly bool
	// NoCapacity leaves the capacity out.
	NoCapacity bool
	// QueueFor is how long a call without room may wait in the daemon.
	QueueFor time.Duration
	Retries  Retries

	// Straggler is the factor of the first group's step time, zero for none.
	Straggler float64
	// DarkFrom and DarkTo are when a fabric domain is dark.
	DarkFrom, DarkTo time.Duration
	// SlowStoreFrom and SlowStoreTo are when the store takes SlowStore for
	// the record of a keyed request.
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

// Run carries out a scenario and returns what it measured.
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
		r.arriveNext(newCallers(&r.Sources[i], s.Seed, i, len(s.Sources)))
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
		e.onCache = func(added, evicted []uint64) { r.publishCache(e.group, added, evicted) }
		r.engines = append(r.engines, e)
	}
}

// publishCache tells the daemons of cache changes, late and with gaps.
func (r *run) publishCache(group fleet.GroupID, added, evicted []uint64) {
	lag := cacheLagLow + time.Duration(r.rng.Float64()*float64(cacheLagSpan))
	lost := func(uint64) bool { return r.rng.Float64() < cacheLost }
	added = without(added, lost)
	evicted = without(evicted, lost)
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
			d.admission = admission.NewController(admission.Config{Seed: r.Seed + uint64(i), NewLimiter: r.Limiter, BorrowShare: r.BorrowShare, AllGroups: r.AllGroups})
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
		r.loop.every(offset, heartbeatPeriod, func() { r.hearPeers(d) })
	}
}

// sendReport takes a group's load now and lets the daemon have it later.
func (r *run) sendReport(g *groupView) {
	if g.engine.dark {
		return
	}
	taken := report{
		at: r.loop.now, running: uint32(len(g.engine.running)), queued: uint32(len(g.engine.queue)),
		pendingTokens: g.engine.pendingTokens(), rate: g.engine.rate,
	}
	lag := reportLagLeast + time.Duration(r.rng.Float64()*float64(reportLagSpan))
	r.loop.after(lag, func() { g.take(taken) })
}

// hearPeers takes the peers' counts of their requests in flight.
func (r *run) hearPeers(d *daemon) {
	counts := make([]uint32, len(d.groups))
	for _, peer := range r.daemons {
		if peer == d {
			continue
		}
		for i, g := range peer.groups {
			counts[i] += g.own
		}
	}
	r.loop.after(crossZone, func() {
		for i, g := range d.groups {
			g.peers = counts[i]
		}
	})
}

func (r *run) addFaults() {
	if r.DarkTo == 0 {
		return
	}
	detect := func() time.Duration { return time.Second + time.Duration(r.rng.Float64()*float64(time.Second)) }
	r.loop.after(r.DarkFrom, func() {
		for i := 0; i < len(r.engines); i += fabricCount {
			r.engines[i].goDark(detect)
			for _, d := range r.daemons {
				g := d.groups[i]
				r.loop.after(detect(), func() { g.down = true })
			}
		}
	})
	r.loop.after(r.DarkTo, func() {
		for i := 0; i < len(r.engines); i += fabricCount {
			r.engines[i].comeBack()
			r.index.Forget(r.engines[i].group)
			for _, d := range r.daemons {
				g := d.groups[i]
				r.loop.after(detect(), func() { g.down = false })
			}
		}
	})
}

// arriveNext lets the source's requests arrive at random.
func (r *run) arriveNext(from *callers) {
	rate := from.rate(r.loop.now)
	if rate <= 0 {
		r.loop.after(time.Second, func() { r.arriveNext(from) })
		return
	}
	r.loop.after(time.Duration(from.rng.ExpFloat64()/rate*float64(time.Second)), func() {
		r.arrive(from)
		r.arriveNext(from)
	})
}

func (r *run) arrive(from *callers) {
	c := &call{run: r, source: from.Source, prompt: from.prompts.next(), output: from.prompts.output()}
	c.keyed = from.rng.Float64() < from.Keyed
	c.begin()
}

// at returns virtual time as the packages take it.
func (r *run) at() time.Time { return epoch.Add(r.loop.now) }

// capacity is a daemon's part of what the groups it knows whole can run, or
// zero for none known.
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
