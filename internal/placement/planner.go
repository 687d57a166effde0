package placement

import (
	"time"

	"carawayproxy.example/caraway/internal/group"
)

// Planner plans the groups of a scope. It keeps a bounded history of instances,
// groups and versions and is deterministic: the same sequence of snapshots gives
// the same plans. It is not safe for concurrent use.
type Planner struct {
	policy Policy
	hist   *history
	// loadTokens are the tokens of the weight store's rate limit, last refilled at
	// refilledAt.
	loadTokens float64
	refilledAt time.Time
}

// NewPlanner returns a planner with an empty history.
func NewPlanner(policy Policy) *Planner {
	policy = policy.WithDefaults()
	return &Planner{policy: policy, hist: newHistory(len(policy.Returns)), loadTokens: float64(policy.MaxLoads)}
}

// Plan returns the actions to take now, in order. Every broken group that is
// still wanted gets an action, ActionWait with a reason if nothing else.
func (p *Planner) Plan(s Snapshot, now time.Time) []Action {
	if s.Groups == nil {
		s.Groups = &group.View{}
	}
	p.hist.observe(p.policy, s, now)
	p.refill(now)
	before := int(p.loadTokens)
	r := newRound(p.policy, p.hist, s, now, before)
	r.repairBroken()
	if s.LogDown {
		r.undoPromotions()
	} else {
		r.checkLoads()
		r.endDrained()
		r.drainLeaving()
		r.formMissing()
		r.drainSurplus()
	}
	p.loadTokens -= float64(before - r.loadBudget)
	p.hist.forgetGroups(now)
	p.hist.forgetVersions(s.Wanted)
	return r.actions
}

// refill adds the load tokens for the time since the last refill.
func (p *Planner) refill(now time.Time) {
	if !p.refilledAt.IsZero() {
		p.loadTokens += now.Sub(p.refilledAt).Seconds() * p.policy.StoreRate
	}
	p.loadTokens = min(p.loadTokens, float64(p.policy.MaxLoads))
	p.refilledAt = now
}

// Fork returns a planner with the same policy and an empty history, for one scope.
func (p *Planner) Fork() *Planner { return NewPlanner(p.policy) }
