// Package suspects compares policies against requests that crash backend
// servers, in a small discrete-event simulation with the history and policies
// of internal/suspect.
package suspects

import (
	"time"

	"carawayproxy.example/caraway/internal/suspect"
)

// Scenario is one combination of load and faults.
type Scenario struct {
	Name     string
	Domains  int // fabric domains
	Groups   int // in each domain
	Daemons  int
	Duration time.Duration
	Rate     float64 // requests per second
	// Popular is the share of requests with one of popularBodies bodies.
	Popular float64
	// Crashers is the number of distinct requests that crash groups.
	Crashers int
	// Deaths is the number of group failures not caused by a request.
	Deaths int
	// DomainOutages is the number of outages of one fabric domain, ZoneOutages
	// that of simultaneous outages of zoneDomains domains.
	DomainOutages, ZoneOutages int
}

const (
	popularBodies    = 20
	zoneDomains      = 3
	repairTime       = 2 * time.Minute // of a failed group
	gossipDelay      = time.Second     // until peers have a sighting
	maxAttempts      = 3
	maxCrashSends    = 8 // how often a crashing request's caller sends it
	crashProbability = 0.95
)

// Scenarios returns the scenarios of the table.
func Scenarios() []Scenario {
	base := Scenario{Domains: 8, Groups: 4, Daemons: 4, Duration: 30 * time.Minute, Rate: 15, Popular: 0.1}
	with := func(name string, change func(*Scenario)) Scenario {
		s := base
		s.Name = name
		change(&s)
		return s
	}
	return []Scenario{
		with("crashing", func(s *Scenario) { s.Crashers = 10 }),
		with("crashing+deaths", func(s *Scenario) { s.Crashers, s.Deaths = 10, 2 }),
		with("crashing+flapping", func(s *Scenario) { s.Crashers, s.Deaths = 10, 30 }),
		with("flapping", func(s *Scenario) { s.Deaths = 60 }),
		with("dark-domains", func(s *Scenario) { s.DomainOutages = 8 }),
		with("dark-zones", func(s *Scenario) { s.ZoneOutages = 4 }),
		with("crashing+dark", func(s *Scenario) { s.Crashers, s.Deaths, s.DomainOutages, s.ZoneOutages = 10, 2, 2, 1 }),
		with("all", func(s *Scenario) { s.Crashers, s.Deaths, s.DomainOutages, s.ZoneOutages = 10, 30, 4, 2 }),
	}
}

// NamedPolicy is a policy with its name in the table.
type NamedPolicy struct {
	Name   string
	Policy suspect.Policy
}

// Policies returns the compared policies: two baselines by number of strikes, and
// the odds with different thresholds, base rates and minimum numbers of deaths.
func Policies() []NamedPolicy {
	return []NamedPolicy{
		{"two-strikes", suspect.Strikes{Limit: 2}},
		{"three-strikes", suspect.Strikes{Limit: 3}},
		{"odds-20", suspect.Odds{ConvictAt: 20, AloneAt: 0.5, MinDeaths: 1}},
		{"odds-least", suspect.Odds{}},
		{"odds-overall", suspect.Odds{Overall: true}},
		{"odds-1", suspect.Odds{ConvictAt: 1}},
		{"odds-0.1", suspect.Odds{ConvictAt: 0.1}},
		{"odds-0.01", suspect.Odds{ConvictAt: 0.01}},
		{"odds-first-death", suspect.Odds{ConvictAt: 0.01, MinDeaths: 1}},
	}
}

// Outcome holds the counts of one run.
type Outcome struct {
	Requests int
	// Crashed counts the groups lost to crashing requests.
	Crashed int
	// Refused counts the innocent requests refused as convicted. NoIdle counts
	// those that had to run alone and found no idle group.
	Refused, NoIdle int
	// Failed counts the innocent requests that ended without a complete answer
	// for another reason.
	Failed int
	// Lost counts all group failures.
	Lost int
}

func (o *Outcome) add(p Outcome) {
	o.Requests += p.Requests
	o.Crashed += p.Crashed
	o.Refused += p.Refused
	o.NoIdle += p.NoIdle
	o.Failed += p.Failed
	o.Lost += p.Lost
}
