package site

import "time"

// EvacuationBound is how long after its evacuation was stored requests may still reach
// the backend servers of a zone.
const EvacuationBound = 5 * time.Second

// evacuatedZone is an availability zone that the operator evacuates.
type evacuatedZone struct{ since time.Time }

// Evacuate stores that the operator evacuates an availability zone. Requests that reach
// its backend servers later than EvacuationBound are violations.
func (w *World) Evacuate(zone string) {
	w.Store.Put("keyed.op", "evacuate/"+zone, []byte("{}"))
	w.Update(func() {
		if w.shared.evacuated[zone] == nil {
			w.shared.evacuated[zone] = &evacuatedZone{since: time.Now()}
		}
	})
}

// TakeBack takes the evacuation of an availability zone back.
func (w *World) TakeBack(zone string) {
	w.Update(func() { delete(w.shared.evacuated, zone) })
	w.Store.Put("keyed.op", "evacuate/"+zone, nil)
}

// ZoneArrivals returns the number of requests that reached backend servers of a zone.
func (w *World) ZoneArrivals(zone string) int {
	w.shared.mu.Lock()
	defer w.shared.mu.Unlock()
	return w.shared.zoneArrivals[zone]
}

// recordZoneArrival records a request at a backend server of a zone. The caller holds mu.
func (s *sharedState) recordZoneArrival(zone, server string) {
	s.zoneArrivals[zone]++
	if e := s.evacuated[zone]; e != nil && time.Since(e.since) > EvacuationBound {
		s.addViolation("a request reached %s in zone %s %s after its evacuation", server, zone, time.Since(e.since))
	}
}
