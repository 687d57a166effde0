package runs

import (
	"math/rand/v2"
	"time"

	"carawayproxy.example/caraway/internal/fleet"
)

// zone holds the daemons and backend servers of an availability zone.
type zone struct {
	name    fleet.Zone
	daemons []*daemonHost
	engines []*engineHost
	plains  []*plainHost
}

// randomZone returns a random availability zone that has engines.
func (w *World) randomZone(r *rand.Rand) zone {
	z := zone{name: w.engines[r.IntN(len(w.engines))].zone()}
	for _, d := range w.daemons {
		if zoneOf(d.number) == z.name {
			z.daemons = append(z.daemons, d)
		}
	}
	for _, e := range w.engines {
		if e.zone() == z.name {
			z.engines = append(z.engines, e)
		}
	}
	for _, p := range w.plains {
		if zoneOf(p.number) == z.name {
			z.plains = append(z.plains, p)
		}
	}
	return z
}

// ips returns the addresses of all hosts in the zone.
func (z zone) ips() []string {
	var ips []string
	for _, d := range z.daemons {
		ips = append(ips, d.ip)
	}
	for _, e := range z.engines {
		ips = append(ips, e.ip)
	}
	for _, p := range z.plains {
		ips = append(ips, p.ip)
	}
	return ips
}

// killZone kills all daemons and backend servers of a zone. end restarts them.
func (s *schedule) killZone(z zone) (end func()) {
	recordEnd := s.monitor.recordZoneLost(z.name, len(z.ips()))
	for _, d := range z.daemons {
		d.kill()
	}
	for _, e := range z.engines {
		e.kill()
	}
	for _, p := range z.plains {
		p.kill()
	}
	return func() {
		for _, e := range z.engines {
			_ = e.start()
		}
		for _, p := range z.plains {
			_ = p.start()
		}
		for _, d := range z.daemons {
			_ = d.start()
		}
		recordEnd()
	}
}

// cutZone cuts a zone off from the other zones, the platform and the callers.
// end heals the cut.
func (s *schedule) cutZone(z zone) (end func()) {
	recordEnd := s.monitor.recordZoneLost(z.name, len(z.ips()))
	var restore []func()
	for _, d := range z.daemons {
		restore = append(restore, s.markCutOff(d))
	}
	s.forEachPairAcross(z, s.world.net.CutBoth)
	return func() {
		s.forEachPairAcross(z, s.world.net.Heal)
		for _, f := range restore {
			f()
		}
		recordEnd()
	}
}

// forEachPairAcross calls do for each pair of a host inside a zone and one
// outside.
func (s *schedule) forEachPairAcross(z zone, do func(inside, outside string)) {
	inside := map[string]bool{}
	for _, ip := range z.ips() {
		inside[ip] = true
	}
	for _, other := range s.world.hostIPs() {
		if inside[other] {
			continue
		}
		for ip := range inside {
			do(ip, other)
		}
	}
}

// hostIPs returns the addresses of all hosts.
func (w *World) hostIPs() []string {
	everything := zone{daemons: w.daemons, engines: w.engines, plains: w.plains}
	return append(everything.ips(), platformIP, callersIP, operatorsIP)
}

// recordZoneLost records the loss of a zone. end records its return.
func (m *monitor) recordZoneLost(name fleet.Zone, instances int) (end func()) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.counts["availability zones lost"]++
	m.counts["instances of lost zones"] += instances
	i := len(m.zones)
	m.zones = append(m.zones, lostZone{name: name, span: span{from: time.Now()}})
	return func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		m.zones[i].to = time.Now()
	}
}

// lostZone is an availability zone and the time for which it was lost.
type lostZone struct {
	name fleet.Zone
	span
}

// isOutsideLostZones reports whether the daemon's zone was not lost at any time
// between from and to.
func (m *monitor) isOutsideLostZones(d *daemonHost, from, to time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, z := range m.zones {
		if z.name == zoneOf(d.number) && z.overlaps(from, to) {
			return false
		}
	}
	return true
}
