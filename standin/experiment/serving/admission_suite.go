package serving

import (
	"fmt"
	"slices"
	"strconv"
	"time"

	"carawayproxy.example/caraway/internal/admission"
	"carawayproxy.example/caraway/internal/fleet"
	"carawayproxy.example/caraway/internal/routing"

	"carawayproxy.example/caraway/standin/experiment/table"
)

const (
	largeShare     = 0.3 // share of the load of each of two large workspaces
	largeWeight    = 6   // small workspaces have weight 1
	smallCount     = 8
	smallShare     = 0.05
	floodFactor    = 10
	recoveryTail   = 40 * time.Second // simulated after a flood
	shortQueue     = 200 * time.Millisecond
	overShareNone  = 0.01
	perDaemonSlots = fleetGroups * maxRunning / fleetDaemons
)

// NamedLimit is an admission policy under test.
type NamedLimit struct {
	Name              string
	Limiter           func() admission.Limiter
	OverShareFraction float64
	// LimitOnly policies ignore capacity and deadlines.
	LimitOnly  bool
	NoCapacity bool
	// AllGroups disables the confinement of a flood to some of the groups.
	AllGroups bool
	QueueFor  time.Duration
}

// Limits returns the admission policies, starting with the daemons' own.
func Limits() []NamedLimit {
	learned := func() admission.Limiter { return admission.NewAIMD(admission.AIMDConfig{}) }
	return []NamedLimit{
		{Name: "learned", Limiter: learned},
		{Name: "learned, all groups", Limiter: learned, AllGroups: true},
		{Name: "learned, all groups, borrow none", Limiter: learned, AllGroups: true, OverShareFraction: overShareNone},
		{Name: "learned, borrow 0.7", Limiter: learned, OverShareFraction: 0.7},
		{Name: "learned, borrow all", Limiter: learned, OverShareFraction: 1},
		{Name: "learned, capacity unknown", Limiter: learned, NoCapacity: true},
		{Name: "learned, queue 200 ms", Limiter: learned, QueueFor: shortQueue},
		{Name: "fixed, right", Limiter: fixedLimit(perDaemonSlots), LimitOnly: true},
		{Name: "fixed, three times too high", Limiter: fixedLimit(3 * perDaemonSlots), LimitOnly: true},
		{Name: "none"},
	}
}

func fixedLimit(n int) func() admission.Limiter {
	return func() admission.Limiter { return admission.Fixed(n) }
}

// workspaceSources returns the callers of two large and eight small workspaces.
func workspaceSources(rate float64) []Source {
	all := []Source{
		{Workspace: "large-0", Weight: largeWeight, Rate: largeShare * rate},
		{Workspace: "large-1", Weight: largeWeight, Rate: largeShare * rate},
	}
	for i := range smallCount {
		name := fleet.Workspace(fmt.Sprintf("small-%d", i))
		all = append(all, Source{Workspace: name, Weight: 1, Rate: smallShare * rate})
	}
	return all
}

// limitedScenario returns a scenario with an admission policy.
func limitedScenario(l NamedLimit, seed uint64, from []Source) Scenario {
	return Scenario{
		Seed: seed, Groups: fleetGroups, Daemons: fleetDaemons, Sources: from,
		Warmup: 20 * time.Second, Duration: 30 * time.Second,
		Policy: routing.DefaultPolicy, Prefixes: true,
		Limiter: l.Limiter, OverShareFraction: l.OverShareFraction,
		LimitOnly: l.LimitOnly, NoCapacity: l.NoCapacity, AllGroups: l.AllGroups || l.LimitOnly, QueueFor: l.QueueFor,
	}
}

// AdmissionTable compares the goodput of the admission policies under load.
func AdmissionTable(limits []NamedLimit, loads []float64, seeds int) *table.Table {
	t := &table.Table{
		Name:   "admission",
		Title:  "Admission: answers a second within 15 s, and the first token for 95 in 100 of the admitted",
		Header: []string{"load", "limit", "goodput", "late", "refused", "first token ms", "between tokens ms"},
		Value:  2,
	}
	capacity := Capacity(fleetGroups)
	t.Fill(len(loads)*len(limits), func(i int) []string {
		return admissionRow(limits[i%len(limits)], loads[i/len(limits)], capacity, seeds)
	})
	return t
}

func admissionRow(l NamedLimit, load, capacity float64, seeds int) []string {
	first, interval := newLatency(), newLatency()
	answered, late, refused := 0, 0, 0
	var seconds float64
	for seed := range uint64(seeds) {
		scenario := limitedScenario(l, seed+1, workspaceSources(load*capacity))
		s := Run(scenario)
		first.Merge(s.FirstToken)
		interval.Merge(s.Interval)
		answered += s.Answered
		late += s.Late
		refused += s.Refused
		seconds += scenario.Duration.Seconds()
	}
	return []string{
		fmt.Sprintf("%gx", load), l.Name, formatRate(answered, seconds), formatRate(late, seconds), formatRate(refused, seconds),
		millis(first.At(95)), millis(interval.At(95)),
	}
}

// formatRate formats a number of events as a rate per second.
func formatRate(n int, seconds float64) string {
	return strconv.FormatFloat(float64(n)/seconds, 'f', 1, 64)
}

// FloodOutcome is the effect of a large workspace's flood on the small ones.
type FloodOutcome struct {
	CalmFirst, FloodFirst *Latency // time to first token of the small workspaces
	CalmTotal, FloodTotal *Latency // total time of the small workspaces
	CalmRefused           int      // refused requests of the small workspaces
	FloodRefused          int
	SmallAnswered         int
	Recovery              time.Duration
	Recovered             bool
}

// RunFlood compares runs with and without a flood of one large workspace on the
// same seeds.
func RunFlood(l NamedLimit, load, capacity float64, seeds int) FloodOutcome {
	f := newFloodOutcome()
	for seed := range uint64(seeds) {
		f.add(limitedScenario(l, seed+1, workspaceSources(load*capacity)), recoveryTail)
	}
	return f
}

func newFloodOutcome() FloodOutcome {
	return FloodOutcome{
		CalmFirst: newLatency(), FloodFirst: newLatency(), CalmTotal: newLatency(), FloodTotal: newLatency(),
		Recovered: true,
	}
}

// add runs a scenario without and with the flood, the latter with a tail for the
// recovery.
func (f *FloodOutcome) add(calm Scenario, tail time.Duration) {
	end := calm.Warmup + calm.Duration
	c, s := Run(calm), Run(withFlood(calm, tail))
	f.CalmRefused += c.mergeSmall(f.CalmFirst, f.CalmTotal, c.RefusedOf)
	f.FloodRefused += s.mergeSmall(f.FloodFirst, f.FloodTotal, s.RefusedOf)
	f.SmallAnswered = int(f.FloodTotal.Count())
	recovery, ok := s.Recovery(end, s.FirstTokensInTime)
	f.Recovery = max(f.Recovery, recovery)
	f.Recovered = f.Recovered && ok
}

// withFlood returns the scenario with a flood of the first workspace.
func withFlood(s Scenario, tail time.Duration) Scenario {
	s.Sources = slices.Clone(s.Sources)
	s.Sources[0].Flood = floodFactor
	s.Sources[0].FloodFrom, s.Sources[0].FloodTo = s.Warmup, s.Warmup+s.Duration
	s.Tail = tail
	return s
}

// mergeSmall merges the latencies of the small workspaces and returns the sum of
// their counts.
func (s *Stats) mergeSmall(first, total *Latency, counts map[fleet.Workspace]int) int {
	sum := 0
	for i := range smallCount {
		name := fleet.Workspace(fmt.Sprintf("small-%d", i))
		first.Merge(s.ByWorkspace[name])
		total.Merge(s.TotalOf[name])
		sum += counts[name]
	}
	return sum
}

// FloodTable shows the effect of a large workspace's flood on the small ones.
func FloodTable(limits []NamedLimit, loads []float64, seeds int) *table.Table {
	t := &table.Table{
		Name:  "flood",
		Title: "A large workspace asks for ten times its load: small ones, 95 in 100, against the same seeds without",
		Header: []string{"load before", "limit", "first token ms, calm", "flood", "moved %",
			"total ms, calm", "flood", "moved %", "refused, calm", "flood", "answered", "recovery s"},
		Value: 4,
	}
	capacity := Capacity(fleetGroups)
	t.Fill(len(loads)*len(limits), func(i int) []string {
		return floodRow(limits[i%len(limits)], loads[i/len(limits)], capacity, seeds)
	})
	return t
}

func floodRow(l NamedLimit, load, capacity float64, seeds int) []string {
	f := RunFlood(l, load, capacity, seeds)
	return []string{
		fmt.Sprintf("%g", load), l.Name,
		millis(f.CalmFirst.At(95)), millis(f.FloodFirst.At(95)), percent(RelativeChange(f.CalmFirst, f.FloodFirst)),
		millis(f.CalmTotal.At(95)), millis(f.FloodTotal.At(95)), percent(RelativeChange(f.CalmTotal, f.FloodTotal)),
		strconv.Itoa(f.CalmRefused), strconv.Itoa(f.FloodRefused), strconv.Itoa(f.SmallAnswered),
		formatRecovery(f.Recovery, f.Recovered),
	}
}

// RelativeChange returns the relative change of the 95th percentile by the flood.
func RelativeChange(calm, flood *Latency) float64 {
	return float64(flood.At(95))/float64(calm.At(95)) - 1
}

// formatRecovery formats a recovery time in seconds.
func formatRecovery(d time.Duration, ok bool) string {
	if !ok {
		return "never"
	}
	return strconv.Itoa(int(d.Seconds()))
}
