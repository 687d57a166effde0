package fleet

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Daemons share work by the order without communicating, so it must be the same at
// all versions that run side by side. The ranks are those of commit b909b5d.
func TestRanksOfEarlierVersions(t *testing.T) {
	daemons := []DaemonID{"edge-1", "edge-2", "edge-3", "edge-4", "edge-5"}
	for unit, want := range map[string][]int{"i-1": {3, 2, 0, 1, 4}, "i-2": {3, 2, 0, 4, 1}} {
		for i, id := range daemons {
			assert.Equal(t, RendezvousRank(unit, id, daemons), want[i], "%s for %s", id, unit)
		}
	}
}
