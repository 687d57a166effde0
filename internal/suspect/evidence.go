package suspect

import (
	"slices"
	"sort"
	"time"
)

// Evidence returns the evidence about a fingerprint.
func (h *History) Evidence(f Fingerprint, now time.Time) Evidence {
	h.expire(now)
	own := h.Survivals(f)
	e := Evidence{Survivals: own.Before + own.Since, RunTime: h.runTime, AllSurvivals: h.allSurvivals(f)}
	e.Hazard, e.HazardOverall = h.hazards(f, now)
	deaths := slices.Clone(h.deathsByFingerprint[f])
	slices.SortFunc(deaths, func(a, b *death) int { return a.at.Compare(b.at) })
	e.Part = h.IsPart(f)
	var counted []*death // those that are no repeats
	for _, d := range deaths {
		byPart, byRequest := h.explanations(f, d)
		x := DeathEvidence{InFlight: len(d.inFlight), Burst: h.burstShare(f, d)}
		if e.Part {
			// Common parts are in flight everywhere when many groups fail together,
			// and a request that is sent again has the same parts each time.
			x.Explained = byPart
			x.Repeat = len(counted) > 0 && d.at.Sub(counted[len(counted)-1].at) < partCauseSpan || h.sharesConvictedRequest(counted, d)
		} else {
			x.Explained = byPart || byRequest
			x.Repeat = h.sharesCause(counted, d)
		}
		if !x.Repeat {
			counted = append(counted, d)
		}
		e.Deaths = append(e.Deaths, x)
	}
	return e
}

// allSurvivals returns the survivals of a fingerprint at all daemons.
func (h *History) allSurvivals(f Fingerprint) Survivals {
	own, peers := h.Survivals(f), h.peers[f]
	return Survivals{Before: own.Before + peers.Before, Since: own.Since + peers.Since}
}

// explanations reports whether a convicted part and a convicted request other
// than f were in flight at a death.
func (h *History) explanations(f Fingerprint, d *death) (byPart, byRequest bool) {
	if d.convicted == 0 {
		return false, false
	}
	other := func(set map[Fingerprint]struct{}) bool {
		for x := range set {
			if _, convicted := h.convicted[x]; convicted && x != f {
				return true
			}
		}
		return false
	}
	return other(d.parts), other(d.inFlight)
}

// sharesConvictedRequest reports whether a convicted request was in flight at a
// death and at an earlier one.
func (h *History) sharesConvictedRequest(earlier []*death, d *death) bool {
	if d.convicted == 0 {
		return false
	}
	for x := range d.inFlight {
		_, convicted := h.convicted[x]
		if convicted && slices.ContainsFunc(earlier, func(e *death) bool { return e.has(x) }) {
			return true
		}
	}
	return false
}

// sharesCause reports whether one of the earlier deaths may have had the same
// cause as d, regardless of the requests in flight. Single servers belong to no
// fabric domain.
func (h *History) sharesCause(earlier []*death, d *death) bool {
	return d.fabric != "" && slices.ContainsFunc(earlier, func(x *death) bool {
		return x.fabric == d.fabric && h.closeInTime(x, d)
	})
}

// shareDeath reports whether two fingerprints were in flight at the same death
// that, of the first one's, nothing convicted explains.
func (h *History) shareDeath(a, b Fingerprint) bool {
	return slices.ContainsFunc(h.deathsByFingerprint[a], func(d *death) bool {
		if !d.has(b) {
			return false
		}
		byPart, byRequest := h.explanations(a, d)
		return !byPart && (h.IsPart(a) || !byRequest)
	})
}

func (h *History) closeInTime(a, b *death) bool { return a.at.Sub(b.at).Abs() <= h.causeSpan }

// burstShare returns the share of the fabric domain's groups that died close in
// time to the given death without the fingerprint or a convicted request in
// flight. If the domain has a single group, which cannot show an outage of the
// domain, all groups are considered instead. The share is zero below the limits
// of a burst, because single deaths are covered by the hazard.
func (h *History) burstShare(f Fingerprint, target *death) float64 {
	domain, all := 0, 0
	first := sort.Search(len(h.deathsByTime), func(i int) bool { return !h.deathsByTime[i].at.Before(target.at.Add(-h.causeSpan)) })
	for _, d := range h.deathsByTime[first:] {
		if !h.closeInTime(d, target) {
			break
		}
		if d.has(f) || d.convicted > 0 {
			continue
		}
		all++
		if d.fabric == target.fabric {
			domain++
		}
	}
	if h.groups[target.fabric] > 1 {
		return failedShare(domain, h.groups[target.fabric])
	}
	return failedShare(all, h.groupCount())
}

// failedShare returns the share of groups that died in addition to the death in
// question. It is zero if that is too few to indicate a common cause.
func failedShare(others, whole int) float64 {
	if others == 0 || (others < minBurst && 2*(others+1) <= whole) {
		return 0
	}
	if float64(others) < minBurstShare*float64(whole) {
		return 0
	}
	return min(float64(others)/float64(max(whole, others)), 1)
}

func (h *History) groupCount() int {
	n := 0
	for _, g := range h.groups {
		n += g
	}
	return n
}
