package suspect

import (
	"fmt"
	"testing"
	"time"

	"carawayproxy.example/caraway/internal/fleet"
)

// BenchmarkReview measures a decision on a history that is full: 1,024 deaths of
// 225 groups with 16 requests each, of which all share a part and each shares
// another one with 1 of 200. The parts have survived; no request has.
func BenchmarkReview(b *testing.B) {
	d := NewDetector(DetectorConfig{Groups: func() map[fleet.FabricDomain]int {
		groups := map[fleet.FabricDomain]int{}
		for n := range 15 {
			groups[fleet.FabricDomain(fmt.Sprint("f", n))] = 15
		}
		return groups
	}})
	now := time.Now()
	for n := range maxDeaths {
		s := Sighting{
			Group: fleet.GroupID(fmt.Sprint("g", n)), Epoch: 1, Fabric: fleet.FabricDomain(fmt.Sprint("f", n%15)), Service: "svc",
			At: now.Add(time.Duration(n-maxDeaths) * time.Second), Parts: []Fingerprint{1},
		}
		for r := range 16 {
			s.InFlight = append(s.InFlight, Fingerprint(1e6+16*n+r))
			s.Parts = append(s.Parts, Fingerprint(100+(16*n+r*7)%200))
		}
		d.history.Observe(s, now)
	}
	for f := range d.history.deathsByFingerprint {
		if d.history.IsPart(f) {
			d.history.AddPeerSurvivals(f, Survivals{Before: 20, Since: 20})
		}
	}
	for b.Loop() {
		d.review()
	}
}
