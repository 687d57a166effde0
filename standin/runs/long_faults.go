package runs

import (
	"math/rand/v2"
	"time"
)

// Durations and limits of the long faults.
const (
	outageMin   = time.Minute
	outageMax   = 3 * time.Minute
	zoneLostMin = 20 * time.Second
	zoneLostMax = time.Minute

	// isolatedFaultTime is how long a long fault lasts while no other fault is
	// injected.
	isolatedFaultTime = 75 * time.Second
	// takeoverBound is the time within which a lost daemon's leases are taken
	// over.
	takeoverBound = 10 * time.Second
	// zoneBound is the time within which the other zones serve as before: the
	// takeover, and then the requests that waited for it.
	zoneBound = takeoverBound + callDeadline
)

// longFault is a fault that every run has, either alone or among short ones.
type longFault struct {
	fault
	min, max time.Duration
	// check checks the calls made while the fault was the only one.
	check func(s *schedule, alone span)
}

var (
	longOutage = longFault{
		fault: fault{"log down for minutes", false, func(s *schedule, _ *rand.Rand) func() { return s.logDown() }},
		min:   outageMin,
		max:   outageMax,
		check: func(s *schedule, alone span) { s.callers.checkOutage(alone) },
	}
	zoneKilled = longFault{
		fault: fault{"availability zone killed", false, func(s *schedule, r *rand.Rand) func() { return s.killZone(s.world.randomZone(r)) }},
		min:   zoneLostMin,
		max:   zoneLostMax,
		check: func(s *schedule, alone span) { s.callers.checkZone(alone) },
	}
	zoneCut = longFault{
		fault: fault{"availability zone cut off", true, func(s *schedule, r *rand.Rand) func() { return s.cutZone(s.world.randomZone(r)) }},
		min:   zoneLostMin,
		max:   zoneLostMax,
		check: func(s *schedule, alone span) { s.callers.checkZone(alone) },
	}
)

// longFaults returns the long fault that a run has alone and the one that it has
// among short faults.
func longFaults(seed uint64, r *rand.Rand) (isolated, overlapping longFault) {
	lost := zoneKilled
	if r.IntN(2) == 0 {
		lost = zoneCut
	}
	if seed%2 == 0 {
		return lost, longOutage
	}
	return longOutage, lost
}

// injectIsolated injects a long fault without others and checks the calls made
// meanwhile.
func (s *schedule) injectIsolated(f longFault, r *rand.Rand) {
	began := time.Now()
	s.inject(f.fault, r, isolatedFaultTime)
	f.check(s, span{from: began, to: time.Now()})
}

// checkOutage checks the calls that need no log.
func (c *callers) checkOutage(during span) {
	c.checkShare(CheckOutage, during, func(k *call) bool { return !k.booking })
}

// checkZone checks the calls to daemons outside the lost zone.
func (c *callers) checkZone(during span) {
	during.from = during.from.Add(zoneBound)
	c.checkShare(CheckZone, during, func(k *call) bool {
		return c.monitor.isOutsideLostZones(k.daemon, k.began, k.end)
	})
}

// checkShare adds a finding if too few of the selected calls of a time span are
// complete.
func (c *callers) checkShare(checker Checker, during span, counts func(*call) bool) {
	c.mu.Lock()
	var all []*call
	for _, k := range c.calls {
		if !k.began.Before(during.from) && !k.end.After(during.to) && counts(k) {
			all = append(all, k)
		}
	}
	c.mu.Unlock()
	complete, last := 0, error(nil)
	for _, k := range all {
		if k.complete {
			complete++
		} else {
			last = k.err
		}
	}
	c.monitor.add("calls judged in a long fault", len(all))
	if len(all) == 0 || float64(complete) < minCompleteShare*float64(len(all)) {
		c.monitor.addFinding(checker, "only %d of %d calls were complete; last failure: %v", complete, len(all), last)
	}
}
