package routing

import (
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"
)

// listedOthers is how many groups not chosen a Decision lists.
const listedOthers = 4

// Filter drops candidates that can't or must not take the attempt.
type Filter interface {
	// Name is the filter's stable name in logs.
	Name() string
	// Keep reports whether the candidate may be used, and why not.
	Keep(req Request, c Candidate) (ok bool, reason string)
}

// Scorer adds to a candidate's cost.
type Scorer interface {
	// Name is the scorer's stable name in logs.
	Name() string
	// Cost returns seconds, lower is better. It may be negative.
	Cost(req Request, c Candidate) float64
}

// Picker chooses among candidates that passed all filters.
type Picker interface {
	// Pick returns an index into scored, which is never empty and stands in
	// the order of the snapshot, or of the groups' ids for a request with a
	// part.
	Pick(rng *rand.Rand, scored []Scored) int
}

// Policy chooses a group: filters drop candidates, the sum of the scorers is
// a candidate's cost, with OutsidePartCost for groups outside the request's
// part, the picker decides. A Policy is safe for concurrent use
// when its parts are.
type Policy struct {
	Filters []Filter
	Scorers []Scorer
	Picker  Picker

	scratch *sync.Pool // of *[]Scored
}

// DefaultPolicy returns the policy that daemons use, without knowledge of
// cached prefixes; see WithPrefixes.
func DefaultPolicy() Policy {
	return newPolicy(
		[]Scorer{Wait{}, TokenInterval{}, OtherZone{}, AvoidedFabric{}},
		PowerOfTwo{},
	)
}

// WithPrefixes returns the policy with the cached prefixes that index holds
// counted in its costs.
func (p Policy) WithPrefixes(index *PrefixIndex) Policy {
	scorers := append([]Scorer{}, p.Scorers...)
	p.Scorers = append(scorers, CachedPrefix{Index: index})
	return p
}

// newPolicy returns a policy with the default filters.
func newPolicy(scorers []Scorer, picker Picker) Policy {
	return Policy{
		Filters: DefaultFilters(),
		Scorers: scorers,
		Picker:  picker,
		scratch: &sync.Pool{New: func() any { return new([]Scored) }},
	}
}

// Choose returns the group for one attempt. A filter that is a Preference is
// waived when nothing else is left, so a group that was tried is used again
// only when no other exists. rng is used by this call alone.
func (p Policy) Choose(req Request, candidates []Candidate, rng *rand.Rand) Decision {
	var d Decision
	scored, done := p.borrow(len(candidates))
	defer func() { done(scored) }()
	scored, d.Rejected = p.filter(req, candidates, scored)
	if len(scored) == 0 {
		scored = p.waive(req, candidates, scored)
	}
	if len(scored) == 0 {
		return d
	}
	if req.Part != (Part{}) {
		sortByGroup(scored)
	}
	req.meanInFlight = meanInFlight(scored, req.Part)
	for i := range scored {
		if !req.Part.Holds(i, len(scored)) {
			scored[i].Cost = OutsidePartCost.Seconds()
		}
		for _, s := range p.Scorers {
			scored[i].Cost += s.Cost(req, scored[i].Candidate)
		}
	}
	picked := p.Picker.Pick(rng, scored)
	chosen := scored[picked].Candidate
	d.Chosen = &chosen
	d.Cost = scored[picked].Cost
	d.Others = best(scored, picked)
	d.Wait = PredictWait(req, chosen)
	return d
}

// filter appends the candidates that pass every filter to kept.
func (p Policy) filter(req Request, candidates []Candidate, kept []Scored) ([]Scored, []Rejected) {
	var rejected []Rejected
	for i := range candidates {
		name, reason, ok := p.keep(req, candidates[i], false)
		if !ok {
			rejected = append(rejected, Rejected{Group: candidates[i].Group, Filter: name, Reason: reason})
			continue
		}
		kept = append(kept, Scored{Candidate: candidates[i]})
	}
	return kept, rejected
}

// waive is filter without the preferences.
func (p Policy) waive(req Request, candidates []Candidate, kept []Scored) []Scored {
	for i := range candidates {
		if _, _, ok := p.keep(req, candidates[i], true); ok {
			kept = append(kept, Scored{Candidate: candidates[i]})
		}
	}
	return kept
}

// keep asks the filters in order and names the first that drops c.
func (p Policy) keep(req Request, c Candidate, waived bool) (name, reason string, ok bool) {
	for _, f := range p.Filters {
		if _, preference := f.(Preference); preference && waived {
			continue
		}
		if ok, reason := f.Keep(req, c); !ok {
			return f.Name(), reason, false
		}
	}
	return "", "", true
}

// borrow returns an empty slice with room for n and what takes it back.
func (p Policy) borrow(n int) ([]Scored, func([]Scored)) {
	if p.scratch == nil {
		return make([]Scored, 0, n), func([]Scored) {}
	}
	held := p.scratch.Get().(*[]Scored)
	return slices.Grow((*held)[:0], n), func(used []Scored) {
		*held = used
		p.scratch.Put(held)
	}
}

// best returns the cheapest of scored without the picked one, best first.
func best(scored []Scored, picked int) []Scored {
	n := min(listedOthers, len(scored)-1)
	if n == 0 {
		return nil
	}
	var order [listedOthers]int
	found := 0
	for i := range scored {
		if i == picked {
			continue
		}
		at := found
		for at > 0 && scored[i].Cost < scored[order[at-1]].Cost {
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
		others[i] = scored[order[i]]
	}
	return others
}

// sortByGroup puts candidates in the order of their ids, so that all daemons
// see the same part.
func sortByGroup(scored []Scored) {
	byGroup := func(a, b Scored) int { return strings.Compare(string(a.Candidate.Group), string(b.Candidate.Group)) }
	if !slices.IsSortedFunc(scored, byGroup) {
		slices.SortFunc(scored, byGroup)
	}
}

// meanInFlight is the mean estimate of requests at a group of the part, zero
// when the part has no group.
func meanInFlight(scored []Scored, part Part) float64 {
	sum, groups := 0.0, 0
	for i := range scored {
		if !part.Holds(i, len(scored)) {
			continue
		}
		sum += InFlight(scored[i].Candidate)
		groups++
	}
	return sum / float64(max(groups, 1))
}

// seconds turns a cost into a duration, which is never negative.
func seconds(s float64) time.Duration {
	return time.Duration(max(s, 0) * float64(time.Second))
}
