package suspect

import "math"

// Elimination judges by posterior odds, as Odds does, but ignores deaths that a
// convicted request explains, bounds how much one death and all deaths can show,
// and takes the survivals at all daemons into account.
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
	// same while other requests are in flight or for a part of a prompt, next to
	// which there are always others.
	unknownCause         = 0.001
	unknownCauseOfOthers = 0.01
	// maxWeighedDeaths bounds the deaths that count. More of them show that groups
	// die often, but not who is the cause; acquittingSurvivals outweigh them all.
	maxWeighedDeaths    = 6
	acquittingSurvivals = 4
	// conclusiveDeaths without any survival convict regardless of the rate at which
	// groups die for other reasons.
	conclusiveDeaths = 5
)

var _ Policy = Elimination{}

// Assess implements Policy.
func (Elimination) Assess(e Evidence) Assessment {
	odds := eliminationPrior / (1 - eliminationPrior)
	deaths := 0
	for _, d := range e.Deaths {
		if d.Explained || d.Repeat {
			continue
		}
		deaths++
		if deaths > maxWeighedDeaths {
			continue
		}
		innocent := e.Hazard*e.RunTime.Seconds() + d.Burst + unknownCause
		if d.InFlight > 1 || e.Part {
			innocent += unknownCauseOfOthers
		}
		odds *= max(eliminationCrash/min(innocent, 1), 1)
	}
	survivals := e.AllSurvivals.Before + e.AllSurvivals.Since
	odds *= math.Pow(1-eliminationCrash, float64(survivals))
	a := Assessment{Odds: odds}
	if odds >= eliminationConvictAt || deaths >= conclusiveDeaths && survivals == 0 {
		a.Standing = Convicted
	}
	return a
}

// unexplained counts the deaths that no convicted request explains.
func (e Evidence) unexplained() int {
	n := 0
	for _, d := range e.Deaths {
		if !d.Explained {
			n++
		}
	}
	return n
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
