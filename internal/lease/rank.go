package lease

import (
	"github.com/cespare/xxhash/v2"

	"carawayproxy.example/caraway/internal/fleet"
)

// First reports whether a daemon is the first of the live daemons in the order
// of a scope. Daemons with the same list of live daemons agree on the order
// without communication.
func First(scope Scope, self fleet.DaemonID, alive []fleet.DaemonID) bool {
	return rank(scope, self, alive) == 0
}

// rank returns how many live daemons precede self in the order of a scope, which
// is given by rendezvous hashing.
func rank(scope Scope, self fleet.DaemonID, alive []fleet.DaemonID) int {
	own := score(scope, self)
	before := 0
	for _, id := range alive {
		if id == self {
			continue
		}
		if s := score(scope, id); s > own || (s == own && id < self) {
			before++
		}
	}
	return before
}

func score(scope Scope, id fleet.DaemonID) uint64 {
	return xxhash.Sum64String(string(scope) + "\x00" + string(id))
}
