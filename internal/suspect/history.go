package suspect

import (
	"slices"
	"sort"
	"time"

	"carawayproxy.example/caraway/internal/fleet"
)

const (
	// memory is how long a death is evidence.
	memory = time.Hour
	// maxDeaths bounds the deaths kept.
	maxDeaths = 1024
	// maxInFlight bounds the fingerprints kept of one death.
	maxInFlight = 256
	// burstSpan is how close in time deaths count as of one cause.
	burstSpan = 10 * time.Second
	// minBurst deaths besides one, or as many as leave half of the groups or
	// fewer, and minBurstShare of the groups, make a burst.
	minBurst      = 3
	minBurstShare = 0.05
	// generation bounds each half of the survival counts.
	generation = 8192
	// hazardPrior is one death for this much time of one group, from before
	// anything is observed.
	hazardPrior = 24 * time.Hour
	// firstRunTime is taken for a run before any was seen.
	firstRunTime = 10 * time.Second
	// runTimeWeight is the weight of a new run in the mean.
	runTimeWeight = 0.05
)

// groupEpoch is one membership of a group.
type groupEpoch struct {
	group fleet.GroupID
	epoch fleet.Epoch
}

// death is one group's death, pieced together from all sightings of it.
type death struct {
	of       groupEpoch
	fabric   fleet.FabricDomain
	service  fleet.ServiceName
	at       time.Time
	inFlight map[Fingerprint]struct{}
	// convicted counts those in flight that are held to crash groups; they
	// explain the death.
	convicted int
}

// History is what a daemon knows of runs and deaths. It is pure: it takes the
// time as an argument. It is not safe for concurrent use.
type History struct {
	flight map[groupEpoch]map[Fingerprint]*flight
	deaths map[groupEpoch]*death
	order  []*death // by time
	of     map[Fingerprint][]*death
	// Survival counts in two halves: when the newer is full, it becomes the
	// older.
	newer, older map[Fingerprint]uint32
	runTime      time.Duration
	since        time.Time
	// groups counts the groups of each fabric domain.
	groups map[fleet.FabricDomain]int
	// convicted requests explain the deaths at which they were in flight.
	convicted map[Fingerprint]struct{}
}

type flight struct {
	count int
	since time.Time
}

// NewHistory returns an empty history that starts now.
func NewHistory(now time.Time) *History {
	return &History{
		flight: map[groupEpoch]map[Fingerprint]*flight{},
		deaths: map[groupEpoch]*death{},
		of:     map[Fingerprint][]*death{},
		newer:  map[Fingerprint]uint32{},
		older:  map[Fingerprint]uint32{},

		convicted: map[Fingerprint]struct{}{},

		runTime: firstRunTime,
		since:   now,
	}
}

// SetGroups tells how many groups each fabric domain has.
func (h *History) SetGroups(groups map[fleet.FabricDomain]int) { h.groups = groups }

// SetConvicted tells whether a request is held to crash groups. The deaths at
// which a convicted one was in flight say nothing of the others.
func (h *History) SetConvicted(f Fingerprint, convicted bool) {
	if _, was := h.convicted[f]; was == convicted {
		return
	}
	change := -1
	delete(h.convicted, f)
	if convicted {
		change = 1
		h.convicted[f] = struct{}{}
	}
	for _, d := range h.of[f] {
		d.convicted += change
	}
}

// Started notes a run on a group.
func (h *History) Started(g fleet.GroupID, e fleet.Epoch, f Fingerprint, now time.Time) {
	ge := groupEpoch{g, e}
	on := h.flight[ge]
	if on == nil {
		on = map[Fingerprint]*flight{}
		h.flight[ge] = on
	}
	fl := on[f]
	if fl == nil {
		fl = &flight{since: now}
		on[f] = fl
	}
	fl.count++
}

// Ended notes the end of a run. It is a survival unless the group has died.
func (h *History) Ended(g fleet.GroupID, e fleet.Epoch, f Fingerprint, now time.Time) {
	ge := groupEpoch{g, e}
	on := h.flight[ge]
	fl := on[f]
	if fl == nil {
		return
	}
	fl.count--
	if fl.count == 0 {
		delete(on, f)
	}
	if len(on) == 0 {
		delete(h.flight, ge)
	}
	if h.deaths[ge] == nil {
		h.survived(f, now.Sub(fl.since))
	}
}

func (h *History) survived(f Fingerprint, took time.Duration) {
	h.runTime += time.Duration(runTimeWeight * float64(took-h.runTime))
	h.newer[f] = h.newer[f] + h.older[f] + 1
	delete(h.older, f)
	if len(h.newer) >= generation {
		h.older = h.newer
		h.newer = make(map[Fingerprint]uint32, generation)
	}
}

// Died notes a group's death and returns what was in flight on it here. It
// returns false when the death is known already.
func (h *History) Died(g fleet.GroupID, e fleet.Epoch, fabric fleet.FabricDomain, s fleet.ServiceName, now time.Time) ([]Fingerprint, bool) {
	ge := groupEpoch{g, e}
	var in []Fingerprint
	for f := range h.flight[ge] {
		in = append(in, f)
	}
	slices.Sort(in)
	in = in[:min(len(in), maxInFlight)]
	return in, h.Observe(Sighting{Group: g, Epoch: e, Fabric: fabric, Service: s, InFlight: in, At: now}, now)
}

// Observe takes a sighting in, as often as it comes, and reports whether it
// told anything new.
func (h *History) Observe(s Sighting, now time.Time) bool {
	h.forget(now)
	if now.Sub(s.At) > memory {
		return false
	}
	ge := groupEpoch{s.Group, s.Epoch}
	d := h.deaths[ge]
	fresh := d == nil
	if fresh {
		d = &death{of: ge, fabric: s.Fabric, service: s.Service, at: s.At, inFlight: map[Fingerprint]struct{}{}}
		h.insert(d)
	}
	for _, f := range s.InFlight {
		if _, known := d.inFlight[f]; known || len(d.inFlight) >= maxInFlight {
			continue
		}
		d.inFlight[f] = struct{}{}
		if _, convicted := h.convicted[f]; convicted {
			d.convicted++
		}
		h.of[f] = append(h.of[f], d)
		fresh = true
	}
	return fresh
}

func (h *History) insert(d *death) {
	h.deaths[d.of] = d
	i := len(h.order)
	for i > 0 && d.at.Before(h.order[i-1].at) {
		i--
	}
	h.order = slices.Insert(h.order, i, d)
	if len(h.order) > maxDeaths {
		h.dropOldest()
	}
}

// forget drops the deaths that are no longer evidence.
func (h *History) forget(now time.Time) {
	for len(h.order) > 0 && now.Sub(h.order[0].at) > memory {
		h.dropOldest()
	}
}

func (h *History) dropOldest() {
	d := h.order[0]
	h.order = h.order[1:]
	delete(h.deaths, d.of)
	for f := range d.inFlight {
		h.of[f] = slices.DeleteFunc(h.of[f], func(x *death) bool { return x == d })
		if len(h.of[f]) == 0 {
			delete(h.of, f)
			delete(h.convicted, f)
		}
	}
}

// Touched reports whether a fingerprint was in flight at any death.
func (h *History) Touched(f Fingerprint) bool { return len(h.of[f]) > 0 }

// Deaths counts the deaths at which a fingerprint was in flight.
func (h *History) Deaths(f Fingerprint) int { return len(h.of[f]) }

// Fingerprints lists the fingerprints that were in flight at a death.
func (h *History) Fingerprints() []Fingerprint {
	all := make([]Fingerprint, 0, len(h.of))
	for f := range h.of {
		all = append(all, f)
	}
	slices.Sort(all)
	return all
}

// Service returns the service of a fingerprint's latest death.
func (h *History) Service(f Fingerprint) fleet.ServiceName {
	ds := h.of[f]
	if len(ds) == 0 {
		return ""
	}
	return ds[len(ds)-1].service
}

// Evidence gathers what is known of a fingerprint.
func (h *History) Evidence(f Fingerprint, now time.Time) Evidence {
	h.forget(now)
	e := Evidence{Survivals: int(h.newer[f] + h.older[f]), RunTime: h.runTime}
	e.Hazard, e.HazardOverall = h.hazards(f, now)
	mine := slices.Clone(h.of[f])
	slices.SortFunc(mine, func(a, b *death) int { return a.at.Compare(b.at) })
	for i, d := range mine {
		e.Deaths = append(e.Deaths, DeathEvidence{
			InFlight: len(d.inFlight),
			Burst:    h.burst(f, d),
			Repeat:   i > 0 && repeats(mine[:i], d),
		})
	}
	return e
}

// repeats reports whether one of the earlier deaths may have had the same
// cause as d, whatever requests were there.
func repeats(earlier []*death, d *death) bool {
	return slices.ContainsFunc(earlier, func(x *death) bool {
		return x.fabric == d.fabric && near(x, d)
	})
}

func near(a, b *death) bool { return a.at.Sub(b.at).Abs() <= burstSpan }

// burst returns the share of the fabric domain's groups that died close to a
// death without the fingerprint. Where the domain has a single group, which
// can't show that the domain went dark, all groups count. It is zero unless a
// good part of them did: single deaths are in the hazard.
func (h *History) burst(f Fingerprint, of *death) float64 {
	domain, all := 0, 0
	first := sort.Search(len(h.order), func(i int) bool { return !h.order[i].at.Before(of.at.Add(-burstSpan)) })
	for _, d := range h.order[first:] {
		if !near(d, of) {
			break
		}
		if _, with := d.inFlight[f]; with || d.convicted > 0 {
			continue
		}
		all++
		if d.fabric == of.fabric {
			domain++
		}
	}
	if h.groups[of.fabric] > 1 {
		return share(domain, h.groups[of.fabric])
	}
	return share(all, h.groupCount())
}

// share returns which part of whole groups died besides one, zero for too
// small a part to be of one cause.
func share(others, whole int) float64 {
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
