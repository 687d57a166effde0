// Package placementexp measures the planner of replica groups against two
// baselines, over seeded schedules of failures in virtual time.
package placementexp

import (
	"math/rand/v2"
	"slices"
	"time"

	"carawayproxy.example/caraway/internal/placement"
)

// Sizes of the simulated fleet.
const (
	domains            = 3
	instancesPerDomain = 21
	// instancesPerLargeDomain leaves room for a spare of each group.
	instancesPerLargeDomain = 25
	groupSize               = 4
	wantedGroups            = 15
	accelerators            = 8
	loadTime                = time.Minute
)

// loss is a period in which the instance of a slot is absent or slow.
type loss struct {
	slot     int
	at, ends time.Duration // since the start of the run
	reload   bool          // the instance returns without its weights
	replaced bool          // another instance returns
	slow     float64       // remaining share of the instance's rate; zero for an absent instance
}

// Scenario is one kind of failure schedule.
type Scenario struct {
	Name               string
	Length             time.Duration
	InstancesPerDomain int // instances of each fabric domain
	Spares             int // reserved for each group
	MaxLoads           int // groups that the weight store serves at full rate
	// LogDownFrom and LogDownTo bound an outage of the log; zero for none.
	LogDownFrom, LogDownTo time.Duration
	// Rollout is when a new version is wanted; zero for never.
	Rollout time.Duration
	// BadVersion is set if the new version never finishes loading.
	BadVersion bool
	losses     func(rng *rand.Rand, s Scenario) []loss
}

// Scenarios returns the scenarios in the order of the table.
func Scenarios() []Scenario {
	return []Scenario{
		{Name: "single", Length: 2 * time.Hour, InstancesPerDomain: instancesPerDomain, MaxLoads: 4, losses: singleLosses},
		{Name: "flapping", Length: 2 * time.Hour, InstancesPerDomain: instancesPerDomain, MaxLoads: 4, losses: flappingLosses},
		{Name: "straggler", Length: 150 * time.Minute, InstancesPerDomain: instancesPerDomain, MaxLoads: 4, losses: stragglerLosses},
		{Name: "dark-domain", Length: 90 * time.Minute, InstancesPerDomain: instancesPerDomain, MaxLoads: 4, losses: domainOutage},
		{Name: "slow-store", Length: 2 * time.Hour, InstancesPerDomain: instancesPerDomain, MaxLoads: 1, losses: singleLosses},
		{Name: "log-down", Length: time.Hour, InstancesPerDomain: instancesPerLargeDomain, MaxLoads: 4, LogDownFrom: 10 * time.Minute, LogDownTo: 20 * time.Minute, losses: deathInOutage},
		{Name: "log-down+spare", Length: time.Hour, Spares: 1, InstancesPerDomain: instancesPerLargeDomain, MaxLoads: 4, LogDownFrom: 10 * time.Minute, LogDownTo: 20 * time.Minute, losses: deathInOutage},
		{Name: "log-down+spare, mixed", Length: time.Hour, Spares: 1, InstancesPerDomain: instancesPerLargeDomain, MaxLoads: 4, LogDownFrom: 10 * time.Minute, LogDownTo: 20 * time.Minute, losses: lossesInOutage},
		{Name: "rack-loss", Length: 3 * time.Hour, InstancesPerDomain: instancesPerDomain, MaxLoads: 4, losses: rackLoss},
	}
}

// Rollouts returns the scenarios of a rollout.
func Rollouts() []Scenario {
	none := func(*rand.Rand, Scenario) []loss { return nil }
	return []Scenario{
		{Name: "rollout", Length: 2 * time.Hour, InstancesPerDomain: instancesPerDomain, MaxLoads: 4, Rollout: 10 * time.Minute, losses: none},
		{Name: "rollout+deaths", Length: 2 * time.Hour, InstancesPerDomain: instancesPerDomain, MaxLoads: 4, Rollout: 10 * time.Minute, losses: singleLosses},
		{Name: "rollout-bad", Length: 2 * time.Hour, InstancesPerDomain: instancesPerDomain, MaxLoads: 4, Rollout: 10 * time.Minute, BadVersion: true, losses: none},
	}
}

func (s Scenario) slots() int { return domains * s.InstancesPerDomain }

func exponential(rng *rand.Rand, mean time.Duration) time.Duration {
	return time.Duration(rng.ExpFloat64() * float64(mean))
}

// singleLosses loses each instance every four hours on average. Half of the
// losses are pauses, 35% are restarts and the rest are replacements.
func singleLosses(rng *rand.Rand, sc Scenario) []loss {
	var all []loss
	for s := range sc.slots() {
		at := exponential(rng, 4*time.Hour)
		for at < sc.Length {
			l := randomLoss(rng, s, at)
			all = append(all, l)
			at = l.ends + time.Minute + exponential(rng, 4*time.Hour)
		}
	}
	return sortLosses(all)
}

func randomLoss(rng *rand.Rand, slot int, at time.Duration) loss {
	l := loss{slot: slot, at: at}
	switch p := rng.Float64(); {
	case p < 0.5:
		l.ends = at + time.Second + exponential(rng, 5*time.Second)
	case p < 0.85:
		l.ends, l.reload = at+exponential(rng, 75*time.Second), true
	default:
		l.ends, l.reload, l.replaced = at+2*time.Minute+exponential(rng, 15*time.Minute), true, true
	}
	return l
}

// slotInUse returns a random slot whose instance is initially in a group: the
// initial groups take the first slots of each domain.
func slotInUse(rng *rand.Rand, sc Scenario) int {
	return rng.IntN(domains)*sc.InstancesPerDomain + rng.IntN(wantedGroups/domains*groupSize)
}

// flappingLosses restarts one instance about every three minutes, in addition to
// the single losses of the others.
func flappingLosses(rng *rand.Rand, sc Scenario) []loss {
	flapper := slotInUse(rng, sc)
	all := slices.DeleteFunc(singleLosses(rng, sc), func(l loss) bool { return l.slot == flapper })
	for at := time.Minute; at < sc.Length; at += time.Minute + exponential(rng, 2*time.Minute) {
		l := loss{slot: flapper, at: at, ends: at + 5*time.Second + exponential(rng, 25*time.Second), reload: true}
		all = append(all, l)
		at = l.ends
	}
	return sortLosses(all)
}

// stragglerLosses slows one instance to a fifth of its rate for two hours.
func stragglerLosses(rng *rand.Rand, sc Scenario) []loss {
	return []loss{{slot: slotInUse(rng, sc), at: 5 * time.Minute, ends: 125 * time.Minute, slow: 0.2}}
}

// domainOutage takes down one fabric domain. With equal probability, its
// instances return with or without their weights.
func domainOutage(rng *rand.Rand, sc Scenario) []loss {
	at := time.Duration(5+rng.IntN(10)) * time.Minute
	return domainLoss(sc, rng.IntN(domains), loss{at: at, ends: at + time.Minute + exponential(rng, 15*time.Minute), reload: rng.IntN(2) == 0})
}

// rackLoss replaces every instance of one domain, in addition to the single
// losses of the other domains.
func rackLoss(rng *rand.Rand, sc Scenario) []loss {
	d := rng.IntN(domains)
	at := time.Duration(30+rng.IntN(30)) * time.Minute
	all := slices.DeleteFunc(singleLosses(rng, sc), func(l loss) bool { return l.slot/sc.InstancesPerDomain == d })
	return sortLosses(append(all, domainLoss(sc, d, loss{at: at, ends: at + 2*time.Hour, reload: true, replaced: true})...))
}

func domainLoss(sc Scenario, domain int, each loss) []loss {
	var all []loss
	for i := range sc.InstancesPerDomain {
		l := each
		l.slot = domain*sc.InstancesPerDomain + i
		all = append(all, l)
	}
	return all
}

// deathInOutage permanently loses three instances shortly after the log goes down.
func deathInOutage(rng *rand.Rand, sc Scenario) []loss {
	var all []loss
	for i, s := range rng.Perm(sc.slots())[:3] {
		at := 10*time.Minute + time.Duration(10+20*i)*time.Second
		all = append(all, loss{slot: s, at: at, ends: at + 15*time.Minute, reload: true, replaced: true})
	}
	return sortLosses(all)
}

// lossesInOutage loses six instances while the log is down, with the same kinds
// and durations as single losses.
func lossesInOutage(rng *rand.Rand, sc Scenario) []loss {
	var all []loss
	for i, s := range rng.Perm(sc.slots())[:6] {
		all = append(all, randomLoss(rng, s, 10*time.Minute+time.Duration(10+60*i)*time.Second))
	}
	return sortLosses(all)
}

func sortLosses(all []loss) []loss {
	slices.SortFunc(all, func(a, b loss) int {
		if a.at != b.at {
			return int(a.at - b.at)
		}
		return a.slot - b.slot
	})
	return all
}

// Weights of the two deployments: the Council gives more weight to downtime, the
// Trust to stranded accelerators.
var (
	Council = placement.Weights{Downtime: 1, Stranded: 0.003}
	Trust   = placement.Weights{Downtime: 1, Stranded: 0.3}
)
