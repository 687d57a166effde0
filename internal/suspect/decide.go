package suspect

import (
	"cmp"
	"slices"
	"time"
)

const (
	// decisionDelay is the time between new evidence and the decision on it, in
	// which peers report survivals of the same requests.
	decisionDelay = 300 * time.Millisecond
	// DecisionTime is the time from a death until a Detector has decided on it.
	DecisionTime = decisionDelay + 20*time.Millisecond
	// undecidedAt is the odds at or above which one more death would convict.
	undecidedAt = eliminationConvictAt / 100
	// minTiedDeaths is the number of deaths that count from which on requests or
	// parts that cannot be told apart are rejected, if conclusiveDeaths were seen.
	minTiedDeaths = 3
	// tieFactor is the ratio of the odds up to which two requests that were in
	// flight at the same deaths cannot be told apart.
	tieFactor = 10
	// uncertainTerm is the duration of the first verdict on requests or parts that
	// the evidence does not tell apart, or that groups have survived. The runs that
	// follow tell them apart. It doubles with each verdict.
	uncertainTerm = 10 * time.Second
	// maxTermDoublings bounds the doublings of uncertainTerm.
	maxTermDoublings = 9
)

// review convicts the requests that the evidence speaks against, one after the
// other, because each conviction explains deaths that spoke against others.
func (d *Detector) review() {
	now := time.Now()
	groups := d.cfg.Groups()
	d.mu.Lock()
	d.history.SetGroups(groups)
	d.expire(now)
	lifted := d.liftUnsupported(now)
	var added []Verdict
	var odds []float64
	for accused, uncertain := d.accuse(now); len(accused) > 0; accused, uncertain = d.accuse(now) {
		for _, a := range accused {
			added, odds = append(added, d.convict(a, uncertain, now)), append(odds, a.odds)
		}
	}
	d.mu.Unlock()
	for _, f := range lifted {
		d.cfg.Events.Emit(eventLifted, "fingerprint", f)
	}
	for i, v := range added {
		d.cfg.Announce(v)
		d.convictions.Inc(1)
		d.cfg.Events.Emit(eventConvicted, "fingerprint", v.Fingerprint, "part", v.Part, "service", v.Service,
			"deaths", v.Deaths, "survivals", v.Survivals, "odds", odds[i], "until", time.UnixMilli(v.Until).UTC())
	}
}

// convict puts a verdict in force and returns it. Called with mu held.
func (d *Detector) convict(a accused, uncertain bool, now time.Time) Verdict {
	term := d.cfg.Term
	if uncertain {
		n := d.uncertain[a.fingerprint]
		term = min(uncertainTerm<<min(n, maxTermDoublings), term)
		d.uncertain[a.fingerprint] = n + 1
	}
	v := Verdict{
		Fingerprint: a.fingerprint, Service: d.history.Service(a.fingerprint), Author: d.cfg.Self,
		Until: now.Add(term).UnixMilli(), Deaths: a.deaths, Survivals: a.survivals,
		Part: d.history.IsPart(a.fingerprint), Decided: now.UnixMilli(), Uncertain: uncertain,
	}
	d.put(v)
	d.unrecorded[a.fingerprint] = struct{}{}
	return v
}

// liftUnsupported drops the uncertain verdicts that the evidence no longer
// supports, and returns their fingerprints. Called with mu held.
func (d *Detector) liftUnsupported(now time.Time) []Fingerprint {
	var lifted []Fingerprint
	for f, v := range d.verdicts {
		if v.Uncertain && !v.Cleared && d.history.HasDeaths(f) && d.policy.Assess(d.history.Evidence(f, now)).Standing != Convicted {
			lifted = append(lifted, f)
		}
	}
	for _, f := range lifted {
		d.drop(f)
	}
	return lifted
}

// accused is a request or a part that the evidence speaks against.
type accused struct {
	fingerprint Fingerprint
	odds        float64
	deaths      int // without a known cause that count
	seen        int // without a known cause in all
	survivals   int
}

// conclusive reports whether the deaths suffice to convict without telling the
// request or part from others.
func (a accused) conclusive() bool {
	return a.deaths >= conclusiveDeaths || a.seen >= conclusiveDeaths && a.deaths >= minTiedDeaths
}

// accuse returns the requests or parts to be convicted next; none if there are no
// more. Of several that were in flight at the same deaths and that the evidence
// does not tell apart, it returns none before conclusiveDeaths. uncertain is set for
// these and for one that groups have survived. A request goes before the parts of
// its prompt, because it explains no other request's deaths. Called with mu held.
func (d *Detector) accuse(now time.Time) (convict []accused, uncertain bool) {
	var all []accused
	for _, f := range d.history.Fingerprints() {
		if v, ok := d.verdicts[f]; d.history.Deaths(f) < 2 || ok && v.InForce(now) && !v.Uncertain {
			continue
		}
		e := d.history.Evidence(f, now)
		if a := d.policy.Assess(e); a.Standing == Convicted {
			all = append(all, accused{f, a.Odds, e.unexplainedCauses(), e.unexplained(), e.AllSurvivals.Before + e.AllSurvivals.Since})
		}
	}
	slices.SortFunc(all, func(a, b accused) int { return cmp.Compare(b.odds, a.odds) })
	for _, first := range all {
		tied := slices.DeleteFunc(slices.Clone(all), func(a accused) bool {
			return a.odds*tieFactor < first.odds || !d.history.shareDeath(a.fingerprint, first.fingerprint)
		})
		if requests := slices.DeleteFunc(slices.Clone(tied), func(a accused) bool { return d.history.IsPart(a.fingerprint) }); len(requests) > 0 {
			tied = requests
		}
		if len(tied) == 1 && tied[0].survivals == 0 {
			return tied, false
		}
		rejected := func(a accused) bool { return d.verdicts[a.fingerprint].InForce(now) }
		several := len(tied) > 1
		undecided := slices.DeleteFunc(tied, func(a accused) bool { return rejected(a) || several && !a.conclusive() })
		if len(undecided) > 0 {
			return undecided, true
		}
	}
	return nil, false
}
