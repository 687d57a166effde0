package routing

import (
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"
)

// maxListedOthers bounds the alternatives that a Decision lists.
const maxListedOthers = 4

// Filter drops candidates that cannot or must not serve the attempt.
type Filter interface {
	// Name returns the filter's stable name in logs.
	Name() string
	// Keep reports whether the candidate may be used and, if not, the reason.
	// It must not modify its arguments.
	Keep(req *Request, c *Candidate) (ok bool, reason string)
}

// Scorer contributes to a candidate's cost.
type Scorer interface {
	// Name returns the scorer's stable name in logs.
	Name() string
	// Cost returns the cost in seconds; lower is better. It may be negative. It
	// must not modify its arguments.
	Cost(req *Request, c *Candidate) float64
}

// Picker selects one of the candidates that passed all filters.
type Picker interface {
	// Pick returns an index into costs, which has one entry for each candidate
	// and is never empty. The order is that of the snapshot, or of the group IDs
	// for a request with a GroupRange.
	Pick(rng *rand.Rand, costs []float64) int
}

// Policy chooses a group for an attempt. The filters drop candidates; the cost
// of a remaining candidate is the sum of the scorers' costs, plus
// OutsideRangeCost for a group outside the request's GroupRange; the picker
// selects one. A Policy is safe for concurrent use if its filters, scorers and
// picker are.
type Policy struct {
	Filters []Filter
	Scorers []Scorer
	Picker  Picker

	scratch *sync.Pool // of *candidateSet; nil disables reuse
}

// candidateSet holds the candidates that passed the filters and their costs.
type candidateSet struct {
	kept  []*Candidate
	costs []float64
}

// DefaultPolicy returns the policy that daemons use. It does not consider
// cached prefixes; see WithPrefixes.
func DefaultPolicy() Policy {
	return newPolicy(
		[]Scorer{Wait{}, TokenInterval{}, OtherZone{}, AvoidedFabric{}, UnreachableZone{}, ColdLeader{}},
		PowerOfTwo{},
	)
}

// WithPrefixes returns a copy of the policy whose costs also account for the
// cached prefixes recorded in index.
func (p Policy) WithPrefixes(index *PrefixIndex) Policy {
	scorers := append([]Scorer{}, p.Scorers...)
	p.Scorers = append(scorers, CachedPrefix{Index: index})
	return p
}

// newPolicy returns a policy that uses the default filters.
func newPolicy(scorers []Scorer, picker Picker) Policy {
	return Policy{
		Filters: DefaultFilters(),
		Scorers: scorers,
		Picker:  picker,
		scratch: &sync.Pool{New: func() any { return new(candidateSet) }},
	}
}

// Choose returns the routing decision for one attempt. If no candidate passes
// all filters, Choose filters again without the SoftFilters, so a group on which
// an attempt failed is used again only when no other is available. rng must not
// be used by others during the call.
func (p Policy) Choose(req Request, candidates []Candidate, rng *rand.Rand) Decision {
	var d Decision
	set := p.getScratch(len(candidates))
	defer p.putScratch(set)
	d.Rejected = p.filter(&req, candidates, set)
	if len(set.kept) == 0 {
		d.RateWait, d.Paused = p.filterWithoutSoft(&req, candidates, set)
	}
	if len(set.kept) == 0 {
		d.Evacuated = allEvacuated(d.Rejected)
		return d
	}
	if req.Groups != (GroupRange{}) {
		sortByGroup(set.kept)
	}
	req.meanInFlight = meanInFlight(set.kept, req.Groups)
	p.score(&req, set)
	picked := p.Picker.Pick(rng, set.costs)
	chosen := *set.kept[picked]
	d.Chosen = &chosen
	d.Cost = set.costs[picked]
	d.Others = set.cheapestExcept(picked)
	d.Wait = PredictWait(&req, &chosen)
	return d
}

// filter adds the candidates that pass every filter to set and returns
// the others.
func (p Policy) filter(req *Request, candidates []Candidate, set *candidateSet) []Rejected {
	var rejected []Rejected
	for i := range candidates {
		c := &candidates[i]
		name, reason, ok := p.firstRejection(req, c, false)
		if !ok {
			rejected = append(rejected, Rejected{Group: c.Group, Filter: name, Reason: reason})
			continue
		}
		set.kept = append(set.kept, c)
	}
	return rejected
}

// allEvacuated reports whether candidates were dropped because their availability zone is
// evacuated, and none for a reason that may pass sooner.
func allEvacuated(rejected []Rejected) bool {
	found := false
	for _, r := range rejected {
		switch r.Filter {
		case evacuationFilter:
			found = true
		case Service{}.Name(), HomeRegion{}.Name():
		default:
			return false
		}
	}
	return found
}

// filterWithoutSoft adds the candidates that pass every filter that is not a
// SoftFilter to set. If there are none, it returns the shortest wait of those that
// only NotPaused, WithinRate and WithinColdRate drop, zero for no such candidate. A pause counts
// only if no other candidate is merely busy, which is likely to end sooner.
func (p Policy) filterWithoutSoft(req *Request, candidates []Candidate, set *candidateSet) (wait time.Duration, paused bool) {
	busy := false
	for i := range candidates {
		c := &candidates[i]
		name, _, ok := p.firstRejection(req, c, true)
		switch {
		case ok:
			set.kept = append(set.kept, c)
		case name == limitFilter:
			busy = true
		case name == rateFilter || name == pauseFilter || name == coldFilter:
			rateWait := max(c.RateWait, c.ColdWait)
			if w := max(rateWait, c.PauseWait); wait == 0 || w < wait {
				wait, paused = w, c.PauseWait >= rateWait
			}
		}
	}
	if len(set.kept) > 0 || paused && busy {
		return 0, false
	}
	return wait, paused
}

// score computes the cost of every kept candidate.
func (p Policy) score(req *Request, set *candidateSet) {
	for i, c := range set.kept {
		cost := 0.0
		if !req.Groups.Contains(i, len(set.kept)) {
			cost = OutsideRangeCost.Seconds()
		}
		for _, s := range p.Scorers {
			cost += s.Cost(req, c)
		}
		set.costs = append(set.costs, cost)
	}
}

// firstRejection evaluates the filters in order and returns the name and the
// reason of the first one that drops c. It skips SoftFilters if waived is true.
// ok reports whether c passes.
func (p Policy) firstRejection(req *Request, c *Candidate, waived bool) (name, reason string, ok bool) {
	for _, f := range p.Filters {
		if _, soft := f.(SoftFilter); soft && waived {
			continue
		}
		if ok, reason := f.Keep(req, c); !ok {
			return f.Name(), reason, false
		}
	}
	return "", "", true
}

// getScratch returns an empty candidateSet with room for n candidates.
func (p Policy) getScratch(n int) *candidateSet {
	set := new(candidateSet)
	if p.scratch != nil {
		set = p.scratch.Get().(*candidateSet)
	}
	set.kept = slices.Grow(set.kept[:0], n)
	set.costs = slices.Grow(set.costs[:0], n)
	return set
}

// putScratch returns set to the pool. It clears the pointers to the caller's
// candidates, so that the pool does not keep them alive.
func (p Policy) putScratch(set *candidateSet) {
	if p.scratch == nil {
		return
	}
	clear(set.kept)
	p.scratch.Put(set)
}

// cheapestExcept returns up to maxListedOthers candidates other than the picked
// one, in ascending order of cost.
func (set *candidateSet) cheapestExcept(picked int) []Scored {
	n := min(maxListedOthers, len(set.kept)-1)
	if n == 0 {
		return nil
	}
	var order [maxListedOthers]int
	found := 0
	for i, cost := range set.costs {
		if i == picked {
			continue
		}
		at := found
		for at > 0 && cost < set.costs[order[at-1]] {
			at--
		}
		if at >= n {
			continue
		}
		found = min(found+1, n)
		copy(order[at+1:found], order[at:found-1])
		order[at] = i
	}
	others := make([]Scored, n)
	for i := range others {
		others[i] = Scored{*set.kept[order[i]], set.costs[order[i]]}
	}
	return others
}

// sortByGroup sorts candidates by group ID, so that a GroupRange covers
// the same groups at all daemons.
func sortByGroup(candidates []*Candidate) {
	byGroup := func(a, b *Candidate) int { return strings.Compare(string(a.Group), string(b.Group)) }
	if !slices.IsSortedFunc(candidates, byGroup) {
		slices.SortFunc(candidates, byGroup)
	}
}

// meanInFlight returns the mean estimate of in-flight requests over the groups
// in the range, or zero if the range contains no group.
func meanInFlight(candidates []*Candidate, groupRange GroupRange) float64 {
	sum, groups := 0.0, 0
	for i, c := range candidates {
		if !groupRange.Contains(i, len(candidates)) {
			continue
		}
		sum += InFlight(c)
		groups++
	}
	return sum / float64(max(groups, 1))
}

// secondsToDuration converts seconds to a duration; a negative value becomes
// zero.
func secondsToDuration(s float64) time.Duration {
	return time.Duration(max(s, 0) * float64(time.Second))
}
