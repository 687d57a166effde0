package suspect

import (
	"cmp"
	"slices"
	"time"

	"carawayproxy.example/caraway/internal/fleet"
)

// minExposure is the share of all group time that the least affected fabric
// domains must make up together.
const minExposure = 0.5

// exposure is one fabric domain's deaths over its groups' time.
type exposure struct {
	deaths  float64
	seconds float64
}

func (x exposure) rate() float64 { return x.deaths / x.seconds }

// hazards returns the deaths per group-second that groups show anyhow, first
// over the least affected fabric domains and then over all. Deaths of one
// domain close in time are one cause and count once. The least affected
// domains are those with the lowest rates, up to half of the whole exposure,
// for the others' rates may come from crashing requests. The deaths with the
// fingerprint itself are left out, for they are what is to be explained, and
// those that a convicted request explains.
func (h *History) hazards(f Fingerprint, now time.Time) (least, overall float64) {
	span := min(max(now.Sub(h.since), time.Minute), memory).Seconds()
	all := h.exposures(f, span)
	slices.SortFunc(all, func(a, b exposure) int { return cmp.Compare(a.rate(), b.rate()) })
	total := 0.0
	for _, x := range all {
		total += x.seconds
	}
	pooled := exposure{deaths: 1, seconds: hazardPrior.Seconds()}
	taken := 0.0
	for _, x := range all {
		if least == 0 && taken >= minExposure*total {
			least = pooled.rate()
		}
		pooled.deaths += x.deaths
		pooled.seconds += x.seconds
		taken += x.seconds
	}
	overall = pooled.rate()
	if least == 0 {
		least = overall
	}
	return least, overall
}

// exposures returns each known fabric domain's deaths without the fingerprint
// and its group time in a span of seconds.
func (h *History) exposures(f Fingerprint, span float64) []exposure {
	causes := map[fleet.FabricDomain]float64{}
	last := map[fleet.FabricDomain]time.Time{}
	for _, d := range h.order {
		if _, with := d.inFlight[f]; with || d.convicted > 0 {
			continue
		}
		if at, ok := last[d.fabric]; !ok || d.at.Sub(at) > burstSpan {
			causes[d.fabric]++
		}
		last[d.fabric] = d.at
	}
	all := make([]exposure, 0, len(h.groups))
	for fabric, n := range h.groups {
		all = append(all, exposure{deaths: causes[fabric], seconds: float64(max(n, 1)) * span})
	}
	return all
}
