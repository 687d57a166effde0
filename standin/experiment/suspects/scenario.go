// Package suspects compares policies against requests that crash backend
// servers, in a small discrete run in virtual time over the real history and
// policies of internal/suspect.
package suspects

import (
	"time"

	"carawayproxy.example/caraway/internal/suspect"
)

// Scenario is one mix of load and faults.
type Scenario struct {
	Name    string
	Domains int // fabric domains
	Groups  int // of each domain
	Daemons int
	Span    time.Duration
	Rate    float64 // requests a second
	// Popular is the share of requests whose body is one of popularBodies.
	Popular float64
	// Crashers is how many distinct requests that crash groups appear.
	Crashers int
	// Deaths is how many groups die of themselves.
	Deaths int
	// Dark is how many fabric domains go dark, one at a time; Zones is how
	// often three of them do together.
	Dark, Zones int
}

const (
	popularBodies = 20
	zoneDomains   = 3
	repair        = 2 * time.Minute // of a dead group
	gossip        = time.Second     // until peers have a sighting
	maxAttempts   = 3
	crashSends    = 8 // how often a crashing request's caller sends it
	crashChance   = 0.95
)

// Scenarios are the mixes of the table.
func Scenarios() []Scenario {
	base := Scenario{Domains: 8, Groups: 4, Daemons: 4, Span: 30 * time.Minute, Rate: 15, Popular: 0.1}
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
		with("dark-domains", func(s *Scenario) { s.Dark = 8 }),
		with("dark-zones", func(s *Scenario) { s.Zones = 4 }),
		with("crashing+dark", func(s *Scenario) { s.Crashers, s.Deaths, s.Dark, s.Zones = 10, 2, 2, 1 }),
		with("all", func(s *Scenario) { s.Crashers, s.Deaths, s.Dark, s.Zones = 10, 30, 4, 2 }),
	}
}

// NamedPolicy is a policy with its name in the table.
type NamedPolicy struct {
	Name   string
	Policy suspect.Policy
}

// Policies are those compared: both baselines, the odds with a high threshold,
// with either base rate, and by the odds from which they refuse.
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

// Outcome is what one run came to.
type Outcome struct {
	Requests int
	// Crashed counts groups lost to crashing requests.
	Crashed int
	// Refused counts innocent requests refused as convicted; NoIdle those
	// that were to run alone and found no idle group.
	Refused, NoIdle int
	// Failed counts innocent requests that ended without a whole answer for
	// another reason.
	Failed int
	// Lost counts all dead groups.
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
