package placement_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"carawayproxy.example/caraway/internal/fleet"
	"carawayproxy.example/caraway/internal/group"
	"carawayproxy.example/caraway/internal/placement"
)

// loseAndReturn loses instances together and returns them as new processes.
func (f *fleetState) loseAndReturn(domain int, members ...int) {
	for _, i := range members {
		f.lose(instanceID(domain, i))
	}
	f.step(2 * time.Second)
	f.step(10 * time.Second)
	for _, i := range members {
		f.change(instanceID(domain, i), func(st *placement.InstanceState) {
			st.Alive = true
			st.Report.Incarnation++
			st.Report.Assignment, st.Report.Ready = nil, false
		})
	}
	f.step(2 * time.Second)
}

// stepFor plans for a duration and returns the number of groups at the end.
func (f *fleetState) stepFor(d time.Duration) int {
	for range int(d / (5 * time.Second)) {
		f.step(5 * time.Second)
	}
	return len(f.snap.Groups.Groups)
}

// TestFlappingInstancesServeWhenNoOthersCan checks that a group of flapping
// instances is formed when all instances of the service have flapped. Otherwise
// the service would have no group for FlapWindow, half an hour.
func TestFlappingInstancesServeWhenNoOthersCan(t *testing.T) {
	f := newFleet(placement.Policy{}, 1, 3, 1, 2)
	for range 4 {
		for i := range 3 {
			f.loseAndReturn(0, i)
		}
	}
	for _, g := range f.snap.Groups.Groups {
		f.dissolve(g)
	}
	assert.Equal(t, f.stepFor(time.Minute), 1)
}

// TestFailedDomainExcludesNoInstance checks that the instances of a fabric
// domain that failed repeatedly are not treated as flapping: no other domain
// has enough instances for the group.
func TestFailedDomainExcludesNoInstance(t *testing.T) {
	f := newFleet(placement.Policy{}, 2, 2, 2, 2)
	for range 4 {
		f.loseAndReturn(1, 0, 1)
	}
	for _, g := range f.snap.Groups.Groups {
		if slices.ContainsFunc(g.Members, f.inDomain(1)) {
			f.dissolve(g)
		}
	}
	assert.Equal(t, f.stepFor(time.Minute), 2)
}

// inDomain returns a predicate for members in a fabric domain.
func (f *fleetState) inDomain(domain int) func(group.Member) bool {
	return func(m group.Member) bool {
		return f.snap.Instances[m.Instance].Instance.Fabric == fleet.FabricDomain(fmt.Sprintf("f%d", domain))
	}
}
