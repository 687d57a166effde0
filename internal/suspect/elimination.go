package suspect

import "math"

// Elimination judges by posterior odds, as Odds does, but ignores deaths that a
// convicted request explains, bounds how much a single death can show, and takes
// the survivals at all daemons into account.
type Elimination struct{}

const (
	// eliminationPrior is the share of distinct requests that crash groups.
	eliminationPrior = 1e-5
	// eliminationCrash is the probability that such a request crashes a group
	// that runs it.
	eliminationCrash = 0.99
	// eliminationConvictAt is the odds at or above which a request is rejected:
	// the cost of one rejected caller divided by the cost of one lost group.
	eliminationConvictAt = 0.3
	// unknownCause is the probability that a death during a run has a cause that
	// the observed rate of deaths does not show, and unknownCauseOfOthers the
	// same while other requests are in flight.
	unknownCause         = 0.001
	unknownCauseOfOthers = 0.01
	// maxEarlySurvivals bounds the weight of survivals before the first death: a
	// request that used to run may crash a newer version of the server.
	maxEarlySurvivals = 2
	// conclusiveDeaths without a survival since the first one convict regardless
	// of the rate at which groups die for other reasons.
	conclusiveDeaths = 5
)

var _ Policy = Elimination{}

// Assess implements Policy.
func (Elimination) Assess(e Evidence) Assessment {
	odds := eliminationPrior / (1 - eliminationPrior)
	deaths := e.unexplainedCauses()
	for _, d := range e.Deaths {
		if d.Explained || d.Repeat {
			continue
		}
		innocent := e.Hazard*e.RunTime.Seconds() + d.Burst + unknownCause
		if d.InFlight > 1 {
			innocent += unknownCauseOfOthers
		}
		odds *= max(eliminationCrash/min(innocent, 1), 1)
	}
	survivals := min(e.AllSurvivals.Before, maxEarlySurvivals) + e.AllSurvivals.Since
	odds *= math.Pow(1-eliminationCrash, float64(survivals))
	a := Assessment{Odds: odds}
	switch {
	case e.AllSurvivals.Since >= deaths:
	case odds >= eliminationConvictAt, deaths >= conclusiveDeaths && e.AllSurvivals.Since == 0:
		a.Standing = Convicted
	}
	return a
}

// unexplainedCauses counts the deaths with a cause of their own that no convicted
// request explains.
func (e Evidence) unexplainedCauses() int {
	n := 0
	for _, d := range e.Deaths {
		if !d.Repeat && !d.Explained {
			n++
		}
	}
	return n
}
