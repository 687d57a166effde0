package suspect

import (
	"cmp"
	"slices"
	"time"

	"carawayproxy.example/caraway/internal/fleet"
)

// minExposure is the share of the total group time that the least affected
// fabric domains must cover.
const minExposure = 0.5

// domainExposure is the number of deaths and the total group time of one fabric
// domain.
type domainExposure struct {
	deaths  float64
	seconds float64
}

func (x domainExposure) rate() float64 { return x.deaths / x.seconds }

// hazards returns the base rate of deaths per group-second, first over the least
// affected fabric domains and then over all. Deaths of one domain close in time
// are assumed to have one cause and count once. The least affected domains are
// those with the lowest rates that together cover minExposure of the group time;
// the higher rates of the others may be caused by crashing requests. Deaths with
// the fingerprint itself in flight are excluded because they are what is to be
// explained, and deaths with a convicted request in flight because that request
// explains them.
func (h *History) hazards(f Fingerprint, now time.Time) (least, overall float64) {
	span := min(max(now.Sub(h.since), time.Minute), evidenceRetention).Seconds()
	all := h.exposures(f, span)
	slices.SortFunc(all, func(a, b domainExposure) int { return cmp.Compare(a.rate(), b.rate()) })
	total := 0.0
	for _, x := range all {
		total += x.seconds
	}
	pooled := domainExposure{deaths: 1, seconds: hazardPrior.Seconds()}
	covered := 0.0
	for _, x := range all {
		if least == 0 && covered >= minExposure*total {
			least = pooled.rate()
		}
		pooled.deaths += x.deaths
		pooled.seconds += x.seconds
		covered += x.seconds
	}
	overall = pooled.rate()
	if least == 0 {
		least = overall
	}
	return least, overall
}

// exposures returns, for each known fabric domain, the deaths without the
// fingerprint in flight and the group time within a span of seconds.
func (h *History) exposures(f Fingerprint, span float64) []domainExposure {
	causes := map[fleet.FabricDomain]float64{}
	last := map[fleet.FabricDomain]time.Time{}
	for _, d := range h.deathsByTime {
		if d.has(f) || d.convicted > 0 {
			continue
		}
		if at, ok := last[d.fabric]; !ok || d.at.Sub(at) > h.causeSpan {
			causes[d.fabric]++
		}
		last[d.fabric] = d.at
	}
	all := make([]domainExposure, 0, len(h.groups))
	for fabric, n := range h.groups {
		all = append(all, domainExposure{deaths: causes[fabric], seconds: float64(max(n, 1)) * span})
	}
	return all
}
