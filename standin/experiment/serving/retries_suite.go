package serving

import (
	"strconv"
	"time"

	"carawayproxy.example/caraway/internal/admission"
	"carawayproxy.example/caraway/internal/routing"

	"carawayproxy.example/caraway/standin/experiment/table"
)

// Parameters of the runs with a fault, which lasts from faultFrom to faultTo and
// is followed by a recovery.
const (
	faultFrom      = 30 * time.Second
	faultTo        = 60 * time.Second
	runEnd         = 105 * time.Second
	recoveredShare = 0.95 // share of the goodput before the fault that counts as recovered
	budgetRatio    = 0.1
	budgetBurst    = 10
	slowStore      = 8 * time.Second
	keyedShare     = 0.2
)

// NamedRetries is a retry policy under test.
type NamedRetries struct {
	Name    string
	Retries Retries
	Limiter func() admission.Limiter
}

// RetryVariants returns the retry policies, starting with the daemons' own.
func RetryVariants() []NamedRetries {
	learned := func() admission.Limiter { return admission.NewAIMD(admission.AIMDConfig{}) }
	budget := Retries{
		MaxRetries: 3, AvoidFabric: true,
		Budget: func() *admission.RetryBudget { return admission.NewRetryBudget(budgetRatio, budgetBurst) },
	}
	naive := Retries{MaxRetries: 3, FirstTokenTimeout: 2 * time.Second}
	return []NamedRetries{
		{Name: "budget, limit", Retries: budget, Limiter: learned},
		{Name: "budget, no limit", Retries: budget},
		{Name: "naive 3, limit", Retries: naive, Limiter: learned},
		{Name: "naive 3, no limit", Retries: naive},
		{Name: "no retries, limit", Limiter: learned},
	}
}

// RetryCase is one fault at one load.
type RetryCase struct {
	Name         string
	Load         float64
	DomainOutage bool
	SlowStore    bool
}

// RetryCases returns the compared faults.
func RetryCases() []RetryCase {
	return []RetryCase{
		{Name: "dark domain at 60%", Load: 0.6, DomainOutage: true},
		{Name: "dark domain at 90%", Load: 0.9, DomainOutage: true},
		{Name: "slow store at 90%", Load: 0.9, SlowStore: true},
	}
}

// retryScenario returns the scenario of a retry policy under a fault.
func retryScenario(c RetryCase, v NamedRetries, capacity float64, seed uint64) Scenario {
	s := Scenario{
		Name: c.Name, Seed: seed, Groups: fleetGroups, Daemons: fleetDaemons,
		Warmup: 15 * time.Second, Duration: runEnd - 15*time.Second,
		Sources: workspaceSources(c.Load * capacity), Policy: routing.DefaultPolicy, Prefixes: true,
		Limiter: v.Limiter, Retries: v.Retries,
	}
	for i := range s.Sources {
		s.Sources[i].Repeats = 3
		s.Sources[i].IgnoresRetryAfter = true
		s.Sources[i].Keyed = keyedShare
	}
	if c.DomainOutage {
		s.OutageFrom, s.OutageTo = faultFrom, faultTo
	}
	if c.SlowStore {
		s.SlowStoreFrom, s.SlowStoreTo, s.SlowStore = faultFrom, faultTo, slowStore
	}
	return s
}

// FaultOutcome is the effect of a fault on a run.
type FaultOutcome struct {
	Before, During float64 // goodput in answers per second
	Extra          float64 // relative increase of the attempt rate during the fault
	Retried        int
	Offered        int // calls, including repeats by callers
	Recovery       time.Duration
	Recovered      bool
}

// RetryBound returns the number of retries that the daemons' budgets allow.
func (o FaultOutcome) RetryBound() int {
	return int(budgetRatio*float64(o.Offered)) + budgetBurst*fleetDaemons
}

// RunFault runs a scenario with a fault between from and to.
func RunFault(scenario Scenario, from, to time.Duration) FaultOutcome {
	s := Run(scenario)
	before := s.Goodput(scenario.Warmup, from)
	o := FaultOutcome{
		Before: before,
		During: s.Goodput(from, to),
		Extra:  s.AttemptRate(from, to)/s.AttemptRate(scenario.Warmup, from) - 1,
	}
	for _, second := range s.Seconds {
		o.Retried += second.Retries
		o.Offered += second.Offered
	}
	o.Recovery, o.Recovered = s.Recovery(to, func(from, to time.Duration) bool {
		return s.Goodput(from, to) >= recoveredShare*before
	})
	return o
}

// RetriesTable compares the retry policies under each fault.
func RetriesTable(cases []RetryCase, variants []NamedRetries, seeds int) *table.Table {
	t := &table.Table{
		Name:   "retries",
		Title:  "Retries: a fault of 30 s, callers who repeat thrice after a second; recovery is the slowest seed's",
		Header: []string{"fault", "retries", "goodput before", "during", "extra attempts %", "retried", "recovery s"},
		Value:  3,
	}
	capacity := Capacity(fleetGroups)
	t.Fill(len(cases)*len(variants), func(i int) []string {
		return retriesRow(cases[i/len(variants)], variants[i%len(variants)], capacity, seeds)
	})
	return t
}

func retriesRow(c RetryCase, v NamedRetries, capacity float64, seeds int) []string {
	var sum FaultOutcome
	recovered := true
	for seed := range uint64(seeds) {
		o := RunFault(retryScenario(c, v, capacity, seed+1), faultFrom, faultTo)
		sum.Before += o.Before
		sum.During += o.During
		sum.Extra += o.Extra
		sum.Retried += o.Retried
		sum.Recovery = max(sum.Recovery, o.Recovery)
		recovered = recovered && o.Recovered
	}
	n := float64(seeds)
	return []string{
		c.Name, v.Name, strconv.FormatFloat(sum.Before/n, 'f', 1, 64), strconv.FormatFloat(sum.During/n, 'f', 1, 64),
		percent(sum.Extra / n), strconv.Itoa(sum.Retried), formatRecovery(sum.Recovery, recovered),
	}
}
