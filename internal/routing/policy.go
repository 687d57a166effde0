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
	// Keep reports whether the candidate may be used, and why not. It changes
	// neither.
	Keep(req *Request, c *Candidate) (ok bool, reason string)
}

// Scorer adds to a candidate's cost.
type Scorer interface {
	// Name is the scorer's stable name in logs.
	Name() string
	// Cost returns seconds, lower is better. It may be negative. It changes
	// neither the request nor the candidate.
	Cost(req *Request, c *Candidate) float64
}

// Picker chooses among candidates that passed all filters.
type Picker interface {
	// Pick returns an index into the candidates' costs, which are never empty
	// and stand in the order of the snapshot, or of the groups' ids for a
	// request with a part.
	Pick(rng *rand.Rand, costs []float64) int
}

// Policy chooses a group: filters drop candidates, the sum of the scorers is
// a candidate's cost, with OutsidePartCost for groups outside the request's
// part, the picker decides. A Policy is safe for concurrent use
// when its parts are.
type Policy struct {
	Filters []Filter
	Scorers []Scorer
	Picker  Picker

	scratch *sync.Pool // of *field
}

// field is the candidates that passed the filters and what each costs.
type field struct {
	kept  []*Candidate
	costs []float64
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
		scratch: &sync.Pool{New: func() any { return new(field) }},
	}
}

// Choose returns the group for one attempt. A filter that is a Preference is
// waived when nothing else is left, so a group that was tried is used again
// only when no other exists. rng is used by this call alone.
func (p Policy) Choose(req Request, candidates []Candidate, rng *rand.Rand) Decision {
	var d Decision
	f := p.borrow(len(candidates))
	defer p.giveBack(f)
	d.Rejected = p.filter(&req, candidates, f)
	if len(f.kept) == 0 {
		p.waive(&req, candidates, f)
	}
	if len(f.kept) == 0 {
		return d
	}
	if req.Part != (Part{}) {
		sortByGroup(f.kept)
	}
	req.meanInFlight = meanInFlight(f.kept, req.Part)
	p.score(&req, f)
	picked := p.Picker.Pick(rng, f.costs)
	chosen := *f.kept[picked]
	d.Chosen = &chosen
	d.Cost = f.costs[picked]
	d.Others = f.best(picked)
	d.Wait = PredictWait(&req, &chosen)
	return d
}

// filter keeps the candidates that pass every filter.
func (p Policy) filter(req *Request, candidates []Candidate, f *field) []Rejected {
	var rejected []Rejected
	for i := range candidates {
		c := &candidates[i]
		name, reason, ok := p.keep(req, c, false)
		if !ok {
			rejected = append(rejected, Rejected{Group: c.Group, Filter: name, Reason: reason})
			continue
		}
		f.kept = append(f.kept, c)
	}
	return rejected
}

// waive is filter without the preferences.
func (p Policy) waive(req *Request, candidates []Candidate, f *field) {
	for i := range candidates {
		if _, _, ok := p.keep(req, &candidates[i], true); ok {
			f.kept = append(f.kept, &candidates[i])
		}
	}
}

// score adds up what each candidate that was kept costs.
func (p Policy) score(req *Request, f *field) {
	for i, c := range f.kept {
		cost := 0.0
		if !req.Part.Holds(i, len(f.kept)) {
			cost = OutsidePartCost.Seconds()
		}
		for _, s := range p.Scorers {
			cost += s.Cost(req, c)
		}
		f.costs = append(f.costs, cost)
	}
}

// keep asks the filters in order and names the first that drops c.
func (p Policy) keep(req *Request, c *Candidate, waived bool) (name, reason string, ok bool) {
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

// borrow returns an empty field with room for n.
func (p Policy) borrow(n int) *field {
	f := new(field)
	if p.scratch != nil {
		f = p.scratch.Get().(*field)
	}
	f.kept = slices.Grow(f.kept[:0], n)
	f.costs = slices.Grow(f.costs[:0], n)
	return f
}

// giveBack lets a field be used again. It forgets the candidates, which are
// the caller's.
func (p Policy) giveBack(f *field) {
	if p.scratch == nil {
		return
	}
	clear(f.kept)
	p.scratch.Put(f)
}

// best returns the cheapest of a field without the picked one, best first.
func (f *field) best(picked int) []Scored {
	n := min(listedOthers, len(f.kept)-1)
	if n == 0 {
		return nil
	}
	var order [listedOthers]int
	found := 0
	for i, cost := range f.costs {
		if i == picked {
			continue
		}
		at := found
		for at > 0 && cost < f.costs[order[at-1]] {
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
		others[i] = Scored{*f.kept[order[i]], f.costs[order[i]]}
	}
	return others
}

// sortByGroup puts candidates in the order of their ids, so that all daemons
// see the same part.
func sortByGroup(candidates []*Candidate) {
	byGroup := func(a, b *Candidate) int { return strings.Compare(string(a.Group), string(b.Group)) }
	if !slices.IsSortedFunc(candidates, byGroup) {
		slices.SortFunc(candidates, byGroup)
	}
}

// meanInFlight is the mean estimate of requests at a group of the part, zero
// when the part has no group.
func meanInFlight(candidates []*Candidate, part Part) float64 {
	sum, groups := 0.0, 0
	for i, c := range candidates {
		if !part.Holds(i, len(candidates)) {
			continue
		}
		sum += InFlight(c)
		groups++
	}
	return sum / float64(max(groups, 1))
}

// seconds turns a cost into a duration, which is never negative.
func seconds(s float64) time.Duration {
	return time.Duration(max(s, 0) * float64(time.Second))
}
