package suspect

import (
	"math"
	"time"
)

// Evidence is what is known of one fingerprint. It is a value that a Policy
// judges without a clock.
type Evidence struct {
	Deaths []DeathEvidence // at which it was in flight, oldest first
	// Survivals counts its runs that a group outlived.
	Survivals int
	// Hazard is how often a group dies anyhow, in deaths per group-second.
	Hazard float64
	// HazardOverall is the same over all groups, the crashed ones included.
	HazardOverall float64
	// RunTime is how long a run takes.
	RunTime time.Duration
}

// causes counts the deaths that do not repeat an earlier one's cause.
func (e Evidence) causes() int {
	n := 0
	for _, d := range e.Deaths {
		if !d.Repeat {
			n++
		}
	}
	return n
}

// DeathEvidence is one death at which a fingerprint was in flight.
type DeathEvidence struct {
	// InFlight counts the distinct fingerprints there, this one included.
	InFlight int
	// Burst is the share of the groups around that died close in time
	// without this fingerprint.
	Burst float64
	// Repeat is set when an earlier death of the same fabric domain, close
	// in time, is in the evidence: one cause may have done both.
	Repeat bool
}

// Assessment is a policy's finding.
type Assessment struct {
	Standing Standing
	// Odds that the request crashes groups; NaN for a policy without odds.
	Odds float64
}

// Policy judges evidence. Policies are pure.
type Policy interface {
	Assess(e Evidence) Assessment
}

// Strikes convicts after a fixed number of deaths, whatever else is known.
type Strikes struct {
	Limit int
}

// Assess implements Policy.
func (s Strikes) Assess(e Evidence) Assessment {
	a := Assessment{Odds: math.NaN()}
	if len(e.Deaths) >= s.Limit {
		a.Standing = Convicted
	}
	return a
}

// Odds weighs each death by how likely it was without this request: prior
// odds times likelihood ratios.
type Odds struct {
	// Prior is the share of distinct requests that crash groups, 1e-5 when
	// zero.
	Prior float64
	// Crash is the chance that such a request crashes a group that runs it,
	// 0.9 when zero.
	Crash float64
	// ConvictAt is the odds from which a request is refused: what one refused
	// caller costs over what one lost group costs, 0.3 when zero. AloneAt is
	// the odds from which it runs alone, a tenth of ConvictAt when zero.
	ConvictAt, AloneAt float64
	// MinDeaths is how many deaths that do not share a cause it takes to
	// treat a request other than as usual, 2 when zero: of those in flight at
	// one death all but one are innocent.
	MinDeaths int
	// Overall takes the hazard over all groups in place of that of the
	// least affected ones.
	Overall bool
}

const (
	defaultPrior     = 1e-5
	defaultCrash     = 0.9
	defaultConvictAt = 0.3
	defaultMinDeaths = 2
	// aloneShare is AloneAt as a share of ConvictAt.
	aloneShare = 0.1
)

func (o Odds) withDefaults() Odds {
	if o.Prior == 0 {
		o.Prior = defaultPrior
	}
	if o.Crash == 0 {
		o.Crash = defaultCrash
	}
	if o.ConvictAt == 0 {
		o.ConvictAt = defaultConvictAt
	}
	if o.AloneAt == 0 {
		o.AloneAt = aloneShare * o.ConvictAt
	}
	if o.MinDeaths == 0 {
		o.MinDeaths = defaultMinDeaths
	}
	return o
}

// Assess implements Policy.
func (o Odds) Assess(e Evidence) Assessment {
	o = o.withDefaults()
	hazard := e.Hazard
	if o.Overall {
		hazard = e.HazardOverall
	}
	odds := o.Prior / (1 - o.Prior)
	for _, d := range e.Deaths {
		odds *= o.ratio(d, hazard*e.RunTime.Seconds())
	}
	odds *= math.Pow(1-o.Crash, float64(e.Survivals))
	a := Assessment{Odds: odds}
	switch {
	case e.causes() < o.MinDeaths:
	case odds >= o.ConvictAt:
		a.Standing = Convicted
	case odds >= o.AloneAt:
		a.Standing = Alone
	}
	return a
}

// ratio is how much likelier one death is if the request crashes groups than
// if it does not: then the death came of itself, of another request in
// flight, or of what struck the groups around.
func (o Odds) ratio(d DeathEvidence, ownDeath float64) float64 {
	if d.Repeat {
		return 1
	}
	others := float64(max(d.InFlight-1, 0)) * o.Prior
	innocent := min(ownDeath+others+d.Burst, 1)
	return max(o.Crash/innocent, 1)
}
