package runs

import (
	"math/rand/v2"
	"time"
)

// Bounds of the long faults.
const (
	outageMin   = time.Minute
	outageMax   = 3 * time.Minute
	zoneLostMin = 20 * time.Second
	zoneLostMax = time.Minute

	// alone is how long a long fault lasts when nothing else happens.
	alone = 75 * time.Second
	// takeoverBound is how soon another daemon holds a lost daemon's leases.
	takeoverBound = 10 * time.Second
	// zoneBound is how soon the other zones serve as before: the takeover, and
	// then the requests that waited for it.
	zoneBound = takeoverBound + callDeadline
)

// longFault is a fault that every run meets, alone or amid short ones.
type longFault struct {
	fault
	min, max time.Duration
	// judge checks the calls of the time in which the fault stood alone.
	judge func(s *schedule, alone span)
}

var (
	longOutage = longFault{
		fault: fault{"log down for minutes", false, func(s *schedule, _ *rand.Rand) func() { return s.logDown() }},
		min:   outageMin,
		max:   outageMax,
		judge: func(s *schedule, alone span) { s.callers.checkOutage(alone) },
	}
	zoneKilled = longFault{
		fault: fault{"availability zone killed", false, func(s *schedule, r *rand.Rand) func() { return s.killZone(s.world.zone(r)) }},
		min:   zoneLostMin,
		max:   zoneLostMax,
		judge: func(s *schedule, alone span) { s.callers.checkZone(alone) },
	}
	zoneCut = longFault{
		fault: fault{"availability zone cut off", true, func(s *schedule, r *rand.Rand) func() { return s.cutZone(s.world.zone(r)) }},
		min:   zoneLostMin,
		max:   zoneLostMax,
		judge: func(s *schedule, alone span) { s.callers.checkZone(alone) },
	}
)

// longFaults draws what a run meets alone and what it meets amid short faults.
func longFaults(seed uint64, r *rand.Rand) (lone, amid longFault) {
	lost := zoneKilled
	if r.IntN(2) == 0 {
		lost = zoneCut
	}
	if seed%2 == 0 {
		return lost, longOutage
	}
	return longOutage, lost
}

// lone injects a long fault while nothing else happens and judges the calls.
func (s *schedule) lone(f longFault, r *rand.Rand) {
	began := time.Now()
	s.inject(f.fault, r, alone)
	f.judge(s, span{from: began, to: time.Now()})
}

// checkOutage looks at the calls that need no log.
func (c *callers) checkOutage(alone span) {
	c.checkShare(CheckOutage, alone, func(k *call) bool { return !k.booking })
}

// checkZone looks at the calls to daemons outside the lost zone.
func (c *callers) checkZone(alone span) {
	alone.from = alone.from.Add(zoneBound)
	c.checkShare(CheckZone, alone, func(k *call) bool {
		return c.watch.outsideZones(k.daemon, k.began, k.end)
	})
}

// checkShare finds too few whole ones among the calls of a time that count.
func (c *callers) checkShare(checker Checker, during span, counts func(*call) bool) {
	c.mu.Lock()
	var all []*call
	for _, k := range c.calls {
		if !k.began.Before(during.from) && !k.end.After(during.to) && counts(k) {
			all = append(all, k)
		}
	}
	c.mu.Unlock()
	whole, last := 0, error(nil)
	for _, k := range all {
		if k.whole {
			whole++
		} else {
			last = k.err
		}
	}
	c.watch.add("calls judged in a long fault", len(all))
	if len(all) == 0 || float64(whole) < goodputBound*float64(len(all)) {
		c.watch.find(checker, "only %d of %d calls were whole; one failed with %v", whole, len(all), last)
	}
}
