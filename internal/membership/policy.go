package membership

import (
	"slices"
	"sort"

	"github.com/cespare/xxhash/v2"

	"carawayproxy.example/caraway/internal/fleet"
)

// Place is where a daemon can be reached.
type Place struct {
	Address string
	Zone    fleet.Zone // empty when not known
}

// LinkPolicy chooses the peers to dial. Links also come from the peers' own
// choices; a pair needs only one.
type LinkPolicy interface {
	// Choose returns the addresses to dial out of known, which may hold self.
	Choose(self Place, known []Place) []string
}

// FullMesh links every pair of daemons.
type FullMesh struct{}

// Choose implements LinkPolicy.
func (FullMesh) Choose(self Place, known []Place) []string {
	var out []string
	for _, p := range known {
		if p.Address != self.Address {
			out = append(out, p.Address)
		}
	}
	return out
}

// Bounded links a daemon to a few of its availability zone and fewer outside.
// Daemons of a zone stand on a ring in the order of a hash; each dials those
// 1, 4, 16, 64 ... places on, so that any two are a few hops apart, and the
// daemons at like places of some other zones.
type Bounded struct {
	// Outside is how many other zones to dial into, 1 when zero.
	Outside int
	// Stride is the ratio of one place dialed to the next, 4 when zero.
	Stride int
}

const (
	defaultOutside = 1
	defaultStride  = 4
)

// Choose implements LinkPolicy.
func (b Bounded) Choose(self Place, known []Place) []string {
	rings := ringsOf(self, known)
	own := rings[self.Zone]
	at := indexOf(own, self.Address)
	chosen := map[string]bool{}
	stride := max(b.Stride, 2)
	if b.Stride == 0 {
		stride = defaultStride
	}
	for step := 1; step < len(own); step *= stride {
		chosen[own[(at+step)%len(own)]] = true
	}
	for _, address := range b.outside(self, rings, at) {
		chosen[address] = true
	}
	delete(chosen, self.Address)
	out := make([]string, 0, len(chosen))
	for address := range chosen {
		out = append(out, address)
	}
	sort.Strings(out)
	return out
}

// outside picks one daemon in each of a few other zones. Which zones depends on
// the place in the own ring, so that together a zone reaches all; counted from
// the own zone, so that no daemon is picked by more than its share.
func (b Bounded) outside(self Place, rings map[fleet.Zone][]string, at int) []string {
	want := b.Outside
	if want == 0 {
		want = defaultOutside
	}
	zones := make([]fleet.Zone, 0, len(rings))
	for z := range rings {
		zones = append(zones, z)
	}
	sort.Slice(zones, func(i, j int) bool { return zones[i] < zones[j] })
	own := sort.Search(len(zones), func(i int) bool { return zones[i] >= self.Zone })
	others := len(zones) - 1
	var out []string
	for i := range min(want, others) {
		away := 1 + (at+i)%others
		ring := rings[zones[(own+away)%len(zones)]]
		out = append(out, ring[at%len(ring)])
	}
	return out
}

// ringsOf returns each zone's addresses in the order of their hashes.
func ringsOf(self Place, known []Place) map[fleet.Zone][]string {
	hashes := map[string]uint64{}
	rings := map[fleet.Zone][]string{}
	for _, p := range append([]Place{self}, known...) {
		if _, seen := hashes[p.Address]; !seen {
			hashes[p.Address] = xxhash.Sum64String(p.Address)
			rings[p.Zone] = append(rings[p.Zone], p.Address)
		}
	}
	for _, ring := range rings {
		sort.Slice(ring, func(i, j int) bool {
			if a, b := hashes[ring[i]], hashes[ring[j]]; a != b {
				return a < b
			}
			return ring[i] < ring[j]
		})
	}
	return rings
}

func indexOf(ring []string, address string) int {
	return max(slices.Index(ring, address), 0)
}
