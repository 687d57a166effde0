package membership

import (
	"cmp"
	"maps"
	"slices"
	"sort"

	"github.com/cespare/xxhash/v2"

	"carawayproxy.example/caraway/internal/fleet"
)

// Endpoint is the address at which a daemon can be reached, with its zone.
type Endpoint struct {
	Address string
	Zone    fleet.Zone // empty if unknown
	// Processors is the number of cores that the daemon may use, 0 if unknown.
	Processors float64
}

// LinkPolicy chooses the peers to dial. Peers dial by their own choices, too, and
// each pair needs only one link.
type LinkPolicy interface {
	// Choose returns the addresses to dial out of known, which may contain self.
	Choose(self Endpoint, known []Endpoint) []string
}

// FullMesh links every pair of daemons.
type FullMesh struct{}

// Choose implements LinkPolicy.
func (FullMesh) Choose(self Endpoint, known []Endpoint) []string {
	var out []string
	for _, e := range known {
		if e.Address != self.Address {
			out = append(out, e.Address)
		}
	}
	return out
}

// Hubs links every daemon to the hubs, a few daemons of each availability zone, and
// the hubs to each other. Daemons with more processors come first, since a hub has
// a link to every daemon. Where there are few daemons all are hubs.
type Hubs struct{}

// minHubs is the number of hubs in all zones together, or more so that each zone has
// equally many. It is the number of daemons up to which all are linked.
const minHubs = 12

// Choose implements LinkPolicy.
func (h Hubs) Choose(self Endpoint, known []Endpoint) []string {
	hubs := h.Hubs(self, known)
	delete(hubs, self.Address)
	return slices.Sorted(maps.Keys(hubs))
}

// Hubs returns the addresses of the hubs among the known daemons, which include
// self, with their zones.
func (Hubs) Hubs(self Endpoint, known []Endpoint) map[string]fleet.Zone {
	rings := zoneRings(self, known)
	processors := make(map[string]float64, len(known)+1)
	for _, e := range append([]Endpoint{self}, known...) {
		processors[e.Address] = max(processors[e.Address], e.Processors)
	}
	perZone := (minHubs + len(rings) - 1) / len(rings)
	hubs := map[string]fleet.Zone{}
	for zone, ring := range rings {
		slices.SortStableFunc(ring, func(a, b string) int { return cmp.Compare(processors[b], processors[a]) })
		for _, address := range ring[:min(perZone, len(ring))] {
			hubs[address] = zone
		}
	}
	return hubs
}

// Bounded links a daemon to a few daemons of its availability zone and to fewer
// outside it. The daemons of a zone form a ring in the order of their hashes.
// Each dials those 1, 4, 16, 64 ... positions further, so that any two are a
// few hops apart, and the daemons at the same position in the rings of some
// other zones.
type Bounded struct {
	// Outside is the number of other zones to dial into; 1 if zero.
	Outside int
	// Stride is the ratio of successive distances on the ring; 4 if zero, and at
	// least 2.
	Stride int
}

const (
	defaultOutside = 1
	defaultStride  = 4
)

// Choose implements LinkPolicy.
func (b Bounded) Choose(self Endpoint, known []Endpoint) []string {
	rings := zoneRings(self, known)
	own := rings[self.Zone]
	position := indexOf(own, self.Address)
	chosen := map[string]bool{}
	stride := max(b.Stride, 2)
	if b.Stride == 0 {
		stride = defaultStride
	}
	for step := 1; step < len(own); step *= stride {
		chosen[own[(position+step)%len(own)]] = true
	}
	for _, address := range b.chooseOutside(self, rings, position) {
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

// chooseOutside returns one daemon in each of a few other zones. The zones
// depend on self's position in the ring of its zone, so that the daemons of a
// zone together reach all zones. They are counted from self's zone, so that the
// load on the chosen daemons is even.
func (b Bounded) chooseOutside(self Endpoint, rings map[fleet.Zone][]string, position int) []string {
	count := b.Outside
	if count == 0 {
		count = defaultOutside
	}
	zones := make([]fleet.Zone, 0, len(rings))
	for z := range rings {
		zones = append(zones, z)
	}
	sort.Slice(zones, func(i, j int) bool { return zones[i] < zones[j] })
	own := sort.Search(len(zones), func(i int) bool { return zones[i] >= self.Zone })
	others := len(zones) - 1
	var out []string
	for i := range min(count, others) {
		distance := 1 + (position+i)%others
		ring := rings[zones[(own+distance)%len(zones)]]
		out = append(out, ring[position%len(ring)])
	}
	return out
}

// zoneRings returns each zone's addresses, ordered by their hashes.
func zoneRings(self Endpoint, known []Endpoint) map[fleet.Zone][]string {
	hashes := map[string]uint64{}
	rings := map[fleet.Zone][]string{}
	for _, e := range append([]Endpoint{self}, known...) {
		if _, seen := hashes[e.Address]; !seen {
			hashes[e.Address] = xxhash.Sum64String(e.Address)
			rings[e.Zone] = append(rings[e.Zone], e.Address)
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
