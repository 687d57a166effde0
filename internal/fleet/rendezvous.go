package fleet

import "github.com/cespare/xxhash/v2"

// RendezvousRank returns the position of the daemon self among the given daemons,
// itself included, in the order in which they take up a unit of work; zero is
// first. The order depends only on the names, so daemons that see the same set of
// daemons agree without communicating.
func RendezvousRank(unit string, self DaemonID, daemons []DaemonID) int {
	var space [128]byte
	own, key := rendezvousWeight(space[:0], unit, self)
	rank := 0
	for _, id := range daemons {
		var w uint64
		w, key = rendezvousWeight(key[:0], unit, id)
		if id != self && (w > own || w == own && id < self) {
			rank++
		}
	}
	return rank
}

// rendezvousWeight is the rendezvous hash of a daemon for a unit. It appends the key to
// buf and returns it, so that the next call can reuse its memory.
func rendezvousWeight(buf []byte, unit string, id DaemonID) (weight uint64, key []byte) {
	key = append(buf, id...)
	key = append(key, 0)
	key = append(key, unit...)
	return xxhash.Sum64(key), key
}
