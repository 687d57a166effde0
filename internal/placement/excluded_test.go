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

// bounce loses instances together and brings them back, with new processes.
func (f *fleetState) bounce(domain int, members ...int) {
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

// settle plans for a while and returns how many groups stand then.
func (f *fleetState) settle(d time.Duration) int {
	for range int(d / (5 * time.Second)) {
		f.step(5 * time.Second)
	}
	return len(f.snap.Groups.Groups)
}

// TestUnsteadyInstancesServeWhenNoOthersCan: every instance of the service has
// flapped; a group of them is better than none for half an hour.
func TestUnsteadyInstancesServeWhenNoOthersCan(t *testing.T) {
	f := newFleet(placement.Policy{}, 1, 3, 1, 2)
	for range 4 {
		for i := range 3 {
			f.bounce(0, i)
		}
	}
	for _, g := range f.snap.Groups.Groups {
		f.dissolve(g)
	}
	assert.Equal(t, f.settle(time.Minute), 1)
}

// TestDarkDomainMakesNoInstanceUnsteady: a domain that went dark three times
// still gets the group that no other domain has room for.
func TestDarkDomainMakesNoInstanceUnsteady(t *testing.T) {
	f := newFleet(placement.Policy{}, 2, 2, 2, 2)
	for range 4 {
		f.bounce(1, 0, 1)
	}
	for _, g := range f.snap.Groups.Groups {
		if slices.ContainsFunc(g.Members, f.inDomain(1)) {
			f.dissolve(g)
		}
	}
	assert.Equal(t, f.settle(time.Minute), 2)
}

// inDomain returns whether a member lies in the domain.
func (f *fleetState) inDomain(domain int) func(group.Member) bool {
	return func(m group.Member) bool {
		return f.snap.Instances[m.Instance].Instance.Fabric == fleet.FabricDomain(fmt.Sprintf("f%d", domain))
	}
}
