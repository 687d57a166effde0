package fleet

import "github.com/cespare/xxhash/v2"

// RendezvousRank returns the position of the daemon self among the given daemons,
// itself included, in the order in which they take up a unit of work; zero is
// first. The order depends only on the names, so daemons that see the same set of
// daemons agree without communicating.
func RendezvousRank(unit string, self DaemonID, daemons []DaemonID) int {
	own := rendezvousWeight(unit, self)
	rank := 0
	for _, id := range daemons {
		w := rendezvousWeight(unit, id)
		if id != self && (w > own || w == own && id < self) {
			rank++
		}
	}
	return rank
}

// rendezvousWeight is the rendezvous hash of a daemon for a unit.
func rendezvousWeight(unit string, id DaemonID) uint64 {
	var space [128]byte
	key := append(space[:0], id...)
	key = append(key, 0)
	key = append(key, unit...)
	return xxhash.Sum64(key)
}
