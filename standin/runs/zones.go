package runs

import (
	"math/rand/v2"
	"time"

	"carawayproxy.example/caraway/internal/fleet"
)

// zone is the daemons and backend servers of an availability zone.
type zone struct {
	name    fleet.Zone
	daemons []*daemonHost
	engines []*engineHost
	plains  []*plainHost
}

// zone chooses an availability zone that has engines.
func (w *World) zone(r *rand.Rand) zone {
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

// ips lists the places of the zone.
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

// killZone kills all that runs in a zone; it returns together.
func (s *schedule) killZone(z zone) (end func()) {
	over := s.watch.zoneLost(z.name, len(z.ips()))
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
		over()
	}
}

// cutZone cuts a zone from the others, the platform and the callers.
func (s *schedule) cutZone(z zone) (end func()) {
	over := s.watch.zoneLost(z.name, len(z.ips()))
	var restore []func()
	for _, d := range z.daemons {
		restore = append(restore, s.cutOff(d))
	}
	s.betweenZones(z, s.world.net.CutBoth)
	return func() {
		s.betweenZones(z, s.world.net.Heal)
		for _, f := range restore {
			f()
		}
		over()
	}
}

// betweenZones does something to each pair of a place inside and one outside a
// zone.
func (s *schedule) betweenZones(z zone, do func(inside, outside string)) {
	inside := map[string]bool{}
	for _, ip := range z.ips() {
		inside[ip] = true
	}
	for _, other := range s.world.places() {
		if inside[other] {
			continue
		}
		for ip := range inside {
			do(ip, other)
		}
	}
}

// places lists every ip of the world.
func (w *World) places() []string {
	everything := zone{daemons: w.daemons, engines: w.engines, plains: w.plains}
	return append(everything.ips(), platformIP, callersIP, operatorsIP)
}

// zoneLost notes the loss of a zone and returns what notes its return.
func (w *watch) zoneLost(name fleet.Zone, instances int) (end func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.counts["availability zones lost"]++
	w.counts["instances of lost zones"] += instances
	i := len(w.zones)
	w.zones = append(w.zones, lostZone{name: name, span: span{from: time.Now()}})
	return func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.zones[i].to = time.Now()
	}
}

// lostZone is a zone that was away.
type lostZone struct {
	name fleet.Zone
	span
}

// outsideZones reports whether no lost zone that held a daemon touched a time.
func (w *watch) outsideZones(d *daemonHost, from, to time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, z := range w.zones {
		if z.name == zoneOf(d.number) && z.overlaps(from, to) {
			return false
		}
	}
	return true
}
