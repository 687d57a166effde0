package suspect

import (
	"math"
	"time"
)

// Evidence is what is known about one fingerprint. A Policy judges it without
// access to a clock.
type Evidence struct {
	// Part is set if the fingerprint is that of a part of a prompt.
	Part   bool
	Deaths []DeathEvidence // with the fingerprint in flight, oldest first
	// Survivals counts its runs at this daemon that a group survived, and
	// AllSurvivals those at all daemons.
	Survivals    int
	AllSurvivals Survivals
	// Hazard is the base rate of group deaths, per group-second, in the least
	// affected fabric domains.
	Hazard float64
	// HazardOverall is the same rate over all groups, including those that
	// crashing requests may have affected.
	HazardOverall float64
	// RunTime is the mean duration of a run.
	RunTime time.Duration
}

// causes counts the deaths that do not share the cause of an earlier death.
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
	// InFlight counts the distinct requests in flight, including this one or those
	// with this part in their prompts.
	InFlight int
	// Burst is the share of the surrounding groups that died close in time
	// without this fingerprint in flight.
	Burst float64
	// Repeat is set if the evidence contains an earlier death of the same fabric
	// domain that is close in time and so may have the same cause.
	Repeat bool
	// Explained is set if another request in flight is convicted.
	Explained bool
}

// Assessment is the result of a Policy.
type Assessment struct {
	Standing Standing
	// Odds are the odds that the request crashes groups; NaN for a policy that
	// computes none.
	Odds float64
}

// Policy judges evidence. Implementations are pure functions of the evidence.
type Policy interface {
	Assess(e Evidence) Assessment
}

// Strikes convicts after a fixed number of deaths, regardless of other evidence.
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

// Odds computes posterior odds: the prior odds times, for each death, the ratio
// of its likelihood with and without the request as the cause.
type Odds struct {
	// Prior is the share of distinct requests that crash groups. Zero means
	// 1e-5.
	Prior float64
	// Crash is the probability that such a request crashes a group that runs
	// it. Zero means 0.9.
	Crash float64
	// ConvictAt is the odds at or above which a request is rejected: the cost
	// of one rejected caller divided by the cost of one lost group. Zero means
	// 0.3. AloneAt is the odds at or above which a request runs alone. Zero
	// means a tenth of ConvictAt.
	ConvictAt, AloneAt float64
	// MinDeaths is the minimum number of deaths with different causes before a
	// request is isolated or rejected. Zero means 2: of the requests in flight
	// at one death, all but one are innocent.
	MinDeaths int
	// Overall selects the hazard over all groups instead of that over the least
	// affected fabric domains.
	Overall bool
}

const (
	defaultPrior     = 1e-5
	defaultCrash     = 0.9
	defaultConvictAt = 0.3
	defaultMinDeaths = 2
	// defaultAloneShare is the default of AloneAt as a share of ConvictAt.
	defaultAloneShare = 0.1
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
		o.AloneAt = defaultAloneShare * o.ConvictAt
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
		odds *= o.likelihoodRatio(d, hazard*e.RunTime.Seconds())
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

// likelihoodRatio returns how much more likely a death is if the request crashes
// groups than if it does not. In the latter case the death is due to the base
// rate, to another request in flight, or to a burst. spontaneous is the expected
// number of spontaneous deaths during a run.
func (o Odds) likelihoodRatio(d DeathEvidence, spontaneous float64) float64 {
	if d.Repeat {
		return 1
	}
	others := float64(max(d.InFlight-1, 0)) * o.Prior
	innocent := min(spontaneous+others+d.Burst, 1)
	return max(o.Crash/innocent, 1)
}
