// Package placementexp measures the planner of replica groups over seeded
// schedules of failures in virtual time, beside two baselines.
package placementexp

import (
	"math/rand/v2"
	"slices"
	"time"

	"carawayproxy.example/caraway/internal/placement"
)

// Sizes of the fleet of a run.
const (
	domains           = 3
	instancesOfDomain = 21
	// roomyDomain has room for a spare of each group.
	roomyDomain  = 25
	groupSize    = 4
	wantedGroups = 15
	accelerators = 8
	loadTime     = time.Minute
)

// loss is one time that a slot's instance is not there, or is slow.
type loss struct {
	slot     int
	at, ends time.Duration // from the start of the run
	reload   bool          // returns without its weights
	replaced bool          // returns as another instance
	slow     float64       // share of its rate that it keeps; zero for none
}

// Scenario is one kind of trouble.
type Scenario struct {
	Name     string
	Length   time.Duration
	Domain   int // instances of each fabric domain
	Spares   int // reserved for each group
	MaxLoads int // groups that the weight store serves at full rate
	// LogDown is when the log is down; empty for never.
	LogDownFrom, LogDownTo time.Duration
	// Rollout is when a new version is wanted; zero for never.
	Rollout time.Duration
	// BadVersion is set when the new version never loads.
	BadVersion bool
	losses     func(rng *rand.Rand, s Scenario) []loss
}

// Scenarios lists the scenarios in the order of the table.
func Scenarios() []Scenario {
	return []Scenario{
		{Name: "single", Length: 2 * time.Hour, Domain: instancesOfDomain, MaxLoads: 4, losses: singleLosses},
		{Name: "flapping", Length: 2 * time.Hour, Domain: instancesOfDomain, MaxLoads: 4, losses: flapping},
		{Name: "straggler", Length: 150 * time.Minute, Domain: instancesOfDomain, MaxLoads: 4, losses: straggler},
		{Name: "dark-domain", Length: 90 * time.Minute, Domain: instancesOfDomain, MaxLoads: 4, losses: darkDomain},
		{Name: "slow-store", Length: 2 * time.Hour, Domain: instancesOfDomain, MaxLoads: 1, losses: singleLosses},
		{Name: "log-down", Length: time.Hour, Domain: roomyDomain, MaxLoads: 4, LogDownFrom: 10 * time.Minute, LogDownTo: 20 * time.Minute, losses: deathInOutage},
		{Name: "log-down+spare", Length: time.Hour, Spares: 1, Domain: roomyDomain, MaxLoads: 4, LogDownFrom: 10 * time.Minute, LogDownTo: 20 * time.Minute, losses: deathInOutage},
		{Name: "log-down+spare, mixed", Length: time.Hour, Spares: 1, Domain: roomyDomain, MaxLoads: 4, LogDownFrom: 10 * time.Minute, LogDownTo: 20 * time.Minute, losses: lossesInOutage},
		{Name: "rack-loss", Length: 3 * time.Hour, Domain: instancesOfDomain, MaxLoads: 4, losses: rackLoss},
	}
}

// Rollouts lists the scenarios of a rollout.
func Rollouts() []Scenario {
	none := func(*rand.Rand, Scenario) []loss { return nil }
	return []Scenario{
		{Name: "rollout", Length: 2 * time.Hour, Domain: instancesOfDomain, MaxLoads: 4, Rollout: 10 * time.Minute, losses: none},
		{Name: "rollout+deaths", Length: 2 * time.Hour, Domain: instancesOfDomain, MaxLoads: 4, Rollout: 10 * time.Minute, losses: singleLosses},
		{Name: "rollout-bad", Length: 2 * time.Hour, Domain: instancesOfDomain, MaxLoads: 4, Rollout: 10 * time.Minute, BadVersion: true, losses: none},
	}
}

func (s Scenario) slots() int { return domains * s.Domain }

func exponential(rng *rand.Rand, mean time.Duration) time.Duration {
	return time.Duration(rng.ExpFloat64() * float64(mean))
}

// singleLosses lets each instance be lost every four hours on average: half
// of the losses are pauses, a third restarts, the rest replacements.
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
	return sorted(all)
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

// slotInUse picks a slot whose instance is in a group at first: the first
// groups take the first slots of each domain.
func slotInUse(rng *rand.Rand, sc Scenario) int {
	return rng.IntN(domains)*sc.Domain + rng.IntN(wantedGroups/domains*groupSize)
}

// flapping lets one instance restart every three minutes, beside the ordinary
// losses of the others.
func flapping(rng *rand.Rand, sc Scenario) []loss {
	flapper := slotInUse(rng, sc)
	all := slices.DeleteFunc(singleLosses(rng, sc), func(l loss) bool { return l.slot == flapper })
	for at := time.Minute; at < sc.Length; at += time.Minute + exponential(rng, 2*time.Minute) {
		l := loss{slot: flapper, at: at, ends: at + 5*time.Second + exponential(rng, 25*time.Second), reload: true}
		all = append(all, l)
		at = l.ends
	}
	return sorted(all)
}

// straggler slows one instance to a fifth for two hours.
func straggler(rng *rand.Rand, sc Scenario) []loss {
	return []loss{{slot: slotInUse(rng, sc), at: 5 * time.Minute, ends: 125 * time.Minute, slow: 0.2}}
}

// darkDomain takes a whole fabric domain away; it returns with its weights or
// without.
func darkDomain(rng *rand.Rand, sc Scenario) []loss {
	at := time.Duration(5+rng.IntN(10)) * time.Minute
	return domainLoss(sc, rng.IntN(domains), loss{at: at, ends: at + time.Minute + exponential(rng, 15*time.Minute), reload: rng.IntN(2) == 0})
}

// rackLoss replaces every instance of a domain, beside the ordinary losses.
func rackLoss(rng *rand.Rand, sc Scenario) []loss {
	d := rng.IntN(domains)
	at := time.Duration(30+rng.IntN(30)) * time.Minute
	all := slices.DeleteFunc(singleLosses(rng, sc), func(l loss) bool { return l.slot/sc.Domain == d })
	return sorted(append(all, domainLoss(sc, d, loss{at: at, ends: at + 2*time.Hour, reload: true, replaced: true})...))
}

func domainLoss(sc Scenario, domain int, each loss) []loss {
	var all []loss
	for i := range sc.Domain {
		l := each
		l.slot = domain*sc.Domain + i
		all = append(all, l)
	}
	return all
}

// deathInOutage loses three instances just after the log went down.
func deathInOutage(rng *rand.Rand, sc Scenario) []loss {
	var all []loss
	for i, s := range rng.Perm(sc.slots())[:3] {
		at := 10*time.Minute + time.Duration(10+20*i)*time.Second
		all = append(all, loss{slot: s, at: at, ends: at + 15*time.Minute, reload: true, replaced: true})
	}
	return sorted(all)
}

// lossesInOutage loses six instances while the log is down, for as long and in
// the ways that instances are lost otherwise.
func lossesInOutage(rng *rand.Rand, sc Scenario) []loss {
	var all []loss
	for i, s := range rng.Perm(sc.slots())[:6] {
		all = append(all, randomLoss(rng, s, 10*time.Minute+time.Duration(10+60*i)*time.Second))
	}
	return sorted(all)
}

func sorted(all []loss) []loss {
	slices.SortFunc(all, func(a, b loss) int {
		if a.at != b.at {
			return int(a.at - b.at)
		}
		return a.slot - b.slot
	})
	return all
}

// Weights of the two deployments: the Council's downtime weighs more, the
// Trust's stranded accelerators.
var (
	Council = placement.Weights{Downtime: 1, Stranded: 0.003}
	Trust   = placement.Weights{Downtime: 1, Stranded: 0.3}
)
