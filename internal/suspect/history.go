package suspect

import (
	"iter"
	"slices"
	"time"

	"carawayproxy.example/caraway/internal/fleet"
)

const (
	// evidenceRetention is how long a death is used as evidence.
	evidenceRetention = time.Hour
	// maxDeaths limits the deaths kept.
	maxDeaths = 1024
	// maxInFlight limits the fingerprints kept per death.
	maxInFlight = 256
	// burstSpan is the time between deaths up to which they may share a cause.
	burstSpan = 10 * time.Second
	// outageSpan is the time within which the groups of a fabric domain fail if
	// the domain itself does, and partCauseSpan the time within which all groups
	// fail that one cause ends. Deaths at which a part of a prompt was in flight
	// count once within it.
	outageSpan    = 300 * time.Millisecond
	partCauseSpan = 100 * time.Millisecond
	// A burst consists of at least minBurst other deaths, or of fewer if together
	// with the death in question they are more than half of the groups. The other
	// deaths must also be at least minBurstShare of the groups.
	minBurst      = 3
	minBurstShare = 0.05
	// survivalGeneration limits the entries of each of the two maps of survival
	// counts.
	survivalGeneration = 8192
	// hazardPrior is the prior of the hazard: one death per this much time of
	// one group.
	hazardPrior = 24 * time.Hour
	// defaultRunTime is the mean run time before any run has ended.
	defaultRunTime = 10 * time.Second
	// runTimeWeight is the weight of a new run in the moving average.
	runTimeWeight = 0.05
)

// groupEpoch identifies a group at one epoch.
type groupEpoch struct {
	group fleet.GroupID
	epoch fleet.Epoch
}

// death is the failure of one group, merged from all sightings of it.
type death struct {
	group    groupEpoch
	fabric   fleet.FabricDomain
	service  fleet.ServiceName
	at       time.Time
	inFlight map[Fingerprint]struct{} // requests
	parts    map[Fingerprint]struct{} // of their prompts
	// convicted counts the convicted requests that were in flight. Any of them
	// explains the death.
	convicted int
}

// History records the runs and deaths that a daemon knows of. Its methods take
// the current time as an argument. It is not safe for concurrent use.
type History struct {
	inFlight            map[groupEpoch]map[Fingerprint]*inFlightRuns
	deaths              map[groupEpoch]*death
	deathsByTime        []*death // sorted by time
	deathsByFingerprint map[Fingerprint][]*death
	// newer and older are two generations of survival counts. When newer is
	// full, it replaces older.
	newer, older map[Fingerprint]uint32
	runTime      time.Duration
	since        time.Time
	// groups is the number of groups in each fabric domain.
	groups map[fleet.FabricDomain]int
	// convicted holds the convicted requests and parts. They explain the deaths at
	// which they were in flight.
	convicted map[Fingerprint]struct{}
	// causeSpan is the time between deaths up to which they may share a cause.
	causeSpan time.Duration
	// before and peers hold survivals of fingerprints with deaths: those of this
	// daemon before the first death, and those at other daemons.
	before map[Fingerprint]uint32
	peers  map[Fingerprint]Survivals
}

// Survivals counts the runs of a fingerprint that a group survived, before and
// since the first death at which the fingerprint was in flight.
type Survivals struct {
	Before int `cbor:"1,keyasint,omitempty"`
	Since  int `cbor:"2,keyasint,omitempty"`
}

// inFlightRuns describes the runs of one request, or of requests with one part
// in their prompts, on a group that have not ended.
type inFlightRuns struct {
	count int
	since time.Time
	part  bool
}

// NewHistory returns an empty History that starts at the given time.
func NewHistory(now time.Time) *History {
	return &History{
		inFlight:            map[groupEpoch]map[Fingerprint]*inFlightRuns{},
		deaths:              map[groupEpoch]*death{},
		deathsByFingerprint: map[Fingerprint][]*death{},
		newer:               map[Fingerprint]uint32{},
		older:               map[Fingerprint]uint32{},

		convicted: map[Fingerprint]struct{}{},
		before:    map[Fingerprint]uint32{},
		peers:     map[Fingerprint]Survivals{},

		causeSpan: burstSpan,
		runTime:   defaultRunTime,
		since:     now,
	}
}

// SetGroups sets the number of groups in each fabric domain.
func (h *History) SetGroups(groups map[fleet.FabricDomain]int) { h.groups = groups }

// SetConvicted sets whether a request is considered convicted. Deaths at which a
// convicted request was in flight are not used to estimate hazards and bursts
// for other requests.
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
	for _, d := range h.deathsByFingerprint[f] {
		d.convicted += change
	}
}

// Started records the start of a run on a group.
func (h *History) Started(g fleet.GroupID, e fleet.Epoch, s Subjects, now time.Time) {
	ge := groupEpoch{g, e}
	runs := h.inFlight[ge]
	if runs == nil {
		runs = map[Fingerprint]*inFlightRuns{}
		h.inFlight[ge] = runs
	}
	start := func(f Fingerprint, part bool) {
		run := runs[f]
		if run == nil {
			run = &inFlightRuns{since: now, part: part}
			runs[f] = run
		}
		run.count++
	}
	start(s.Request, false)
	for _, f := range s.Parts {
		start(f, true)
	}
}

// Ended records the end of a run. A run that survived counts as a survival
// unless a death of the group is known.
func (h *History) Ended(g fleet.GroupID, e fleet.Epoch, s Subjects, survived bool, now time.Time) {
	ge := groupEpoch{g, e}
	runs := h.inFlight[ge]
	survived = survived && h.deaths[ge] == nil
	if run := runs[s.Request]; run != nil && survived {
		h.runTime += time.Duration(runTimeWeight * float64(now.Sub(run.since)-h.runTime))
	}
	end := func(f Fingerprint) {
		run := runs[f]
		if run == nil {
			return
		}
		run.count--
		if run.count == 0 {
			delete(runs, f)
		}
		if survived {
			h.recordSurvival(f)
		}
	}
	end(s.Request)
	for _, f := range s.Parts {
		end(f)
	}
	if len(runs) == 0 {
		delete(h.inFlight, ge)
	}
}

// Survivals returns the survivals of a fingerprint at this daemon.
func (h *History) Survivals(f Fingerprint) Survivals {
	total := h.newer[f] + h.older[f]
	before := min(h.before[f], total)
	return Survivals{Before: int(before), Since: int(total - before)}
}

// AddPeerSurvivals adds survivals at another daemon. They may be known before the
// death that they belong to.
func (h *History) AddPeerSurvivals(f Fingerprint, s Survivals) {
	p, known := h.peers[f]
	if !known && !h.HasDeaths(f) && len(h.peers) >= survivalGeneration {
		return
	}
	h.peers[f] = Survivals{Before: p.Before + s.Before, Since: p.Since + s.Since}
}

func (h *History) recordSurvival(f Fingerprint) {
	h.newer[f] = h.newer[f] + h.older[f] + 1
	delete(h.older, f)
	if len(h.newer) >= survivalGeneration {
		h.older = h.newer
		h.newer = make(map[Fingerprint]uint32, survivalGeneration)
	}
}

// GroupDied records the death of a group and returns this daemon's sighting of it,
// without an id. It returns false if the death and the daemon's requests in flight
// are already known.
func (h *History) GroupDied(g fleet.GroupID, e fleet.Epoch, fabric fleet.FabricDomain, s fleet.ServiceName, now time.Time) (Sighting, bool) {
	sighting := Sighting{Group: g, Epoch: e, Fabric: fabric, Service: s, At: now}
	for f, run := range h.inFlight[groupEpoch{g, e}] {
		if run.part {
			sighting.Parts = append(sighting.Parts, f)
		} else {
			sighting.InFlight = append(sighting.InFlight, f)
		}
	}
	for _, ids := range []*[]Fingerprint{&sighting.InFlight, &sighting.Parts} {
		slices.Sort(*ids)
		*ids = (*ids)[:min(len(*ids), maxInFlight)]
	}
	return sighting, h.Observe(sighting, now)
}

// Observe merges a sighting and reports whether it added new information.
// Observing a sighting repeatedly has no further effect.
func (h *History) Observe(s Sighting, now time.Time) bool {
	h.expire(now)
	if now.Sub(s.At) > evidenceRetention {
		return false
	}
	ge := groupEpoch{s.Group, s.Epoch}
	d := h.deaths[ge]
	fresh := d == nil
	if fresh {
		d = &death{group: ge, fabric: s.Fabric, service: s.Service, at: s.At, inFlight: map[Fingerprint]struct{}{}, parts: map[Fingerprint]struct{}{}}
		h.insert(d)
	}
	for _, f := range s.InFlight {
		fresh = h.addInFlight(d, d.inFlight, f) || fresh
	}
	for _, f := range s.Parts {
		fresh = h.addInFlight(d, d.parts, f) || fresh
	}
	return fresh
}

// addInFlight adds a fingerprint to one of the sets of a death and reports
// whether it is new there.
func (h *History) addInFlight(d *death, set map[Fingerprint]struct{}, f Fingerprint) bool {
	if _, known := set[f]; known || len(set) >= maxInFlight {
		return false
	}
	set[f] = struct{}{}
	if _, convicted := h.convicted[f]; convicted {
		d.convicted++
	}
	if len(h.deathsByFingerprint[f]) == 0 {
		h.before[f] = h.newer[f] + h.older[f]
	}
	h.deathsByFingerprint[f] = append(h.deathsByFingerprint[f], d)
	return true
}

func (h *History) insert(d *death) {
	h.deaths[d.group] = d
	i := len(h.deathsByTime)
	for i > 0 && d.at.Before(h.deathsByTime[i-1].at) {
		i--
	}
	h.deathsByTime = slices.Insert(h.deathsByTime, i, d)
	if len(h.deathsByTime) > maxDeaths {
		h.dropOldest()
	}
}

// expire drops deaths older than evidenceRetention.
func (h *History) expire(now time.Time) {
	for len(h.deathsByTime) > 0 && now.Sub(h.deathsByTime[0].at) > evidenceRetention {
		h.dropOldest()
	}
}

func (h *History) dropOldest() {
	d := h.deathsByTime[0]
	h.deathsByTime = h.deathsByTime[1:]
	delete(h.deaths, d.group)
	for f := range d.all() {
		h.deathsByFingerprint[f] = slices.DeleteFunc(h.deathsByFingerprint[f], func(x *death) bool { return x == d })
		if len(h.deathsByFingerprint[f]) == 0 {
			delete(h.deathsByFingerprint, f)
			delete(h.convicted, f)
			delete(h.before, f)
			delete(h.peers, f)
		}
	}
}

// all returns the fingerprints in flight at the death, of requests and parts.
func (d *death) all() iter.Seq[Fingerprint] {
	return func(yield func(Fingerprint) bool) {
		for _, set := range []map[Fingerprint]struct{}{d.inFlight, d.parts} {
			for f := range set {
				if !yield(f) {
					return
				}
			}
		}
	}
}

// has reports whether a fingerprint was in flight at the death.
func (d *death) has(f Fingerprint) bool {
	_, request := d.inFlight[f]
	_, part := d.parts[f]
	return request || part
}

// IsPart reports whether a fingerprint with deaths is that of a part of a prompt.
func (h *History) IsPart(f Fingerprint) bool {
	deaths := h.deathsByFingerprint[f]
	if len(deaths) == 0 {
		return false
	}
	_, part := deaths[0].parts[f]
	return part
}

// HasDeaths reports whether a fingerprint was in flight at any known death.
func (h *History) HasDeaths(f Fingerprint) bool { return len(h.deathsByFingerprint[f]) > 0 }

// Deaths returns the number of deaths at which a fingerprint was in flight.
func (h *History) Deaths(f Fingerprint) int { return len(h.deathsByFingerprint[f]) }

// Fingerprints lists the fingerprints that were in flight at any known death.
func (h *History) Fingerprints() []Fingerprint {
	all := make([]Fingerprint, 0, len(h.deathsByFingerprint))
	for f := range h.deathsByFingerprint {
		all = append(all, f)
	}
	slices.Sort(all)
	return all
}

// Service returns the service of the last recorded death of a fingerprint.
func (h *History) Service(f Fingerprint) fleet.ServiceName {
	deaths := h.deathsByFingerprint[f]
	if len(deaths) == 0 {
		return ""
	}
	return deaths[len(deaths)-1].service
}
