package daemon

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"carawayproxy.example/caraway/internal/admission"
	"carawayproxy.example/caraway/internal/datastore"
	"carawayproxy.example/caraway/internal/fleet"
	"carawayproxy.example/caraway/internal/group"
	"carawayproxy.example/caraway/internal/routing"
	"carawayproxy.example/caraway/internal/service"
)

// alwaysReady reports every instance as ready at the current time.
type alwaysReady struct{}

func (alwaysReady) Report(id fleet.InstanceID) (fleet.Report, bool) {
	return fleet.Report{Instance: id, Ready: true, ReceivedAt: time.Now()}, true
}

// plainStore returns a datastore with ten plain servers of one service.
func plainStore() *datastore.Store {
	instances := map[fleet.InstanceID]fleet.Instance{}
	for i := range 10 {
		id := fleet.InstanceID(fmt.Sprintf("i%d", i))
		instances[id] = fleet.Instance{ID: id, Kind: fleet.KindPlain, Pool: "p"}
	}
	spec := &service.Published{Spec: service.Spec{Service: "s", Kind: fleet.KindPlain, Pool: "p"}}
	return datastore.New(datastore.Config{
		Groups:    func() *group.View { return &group.View{} },
		Reports:   alwaysReady{},
		Instances: func() map[fleet.InstanceID]fleet.Instance { return instances },
		Catalog: func() *service.Catalog {
			return &service.Catalog{Services: map[fleet.ServiceName]*service.Published{"s": spec}}
		},
		Leaving:      func(fleet.InstanceID) bool { return false },
		PeerInFlight: func(fleet.GroupID) uint32 { return 0 },
		Policy:       routing.DefaultPolicy(),
		Rand:         rand.New(rand.NewPCG(1, 1)),
	})
}

func TestFloodingWorkspaceUsesSeparateGroups(t *testing.T) {
	controller := admission.NewController(admission.Config{NewLimiter: func() admission.Limiter { return admission.Fixed(10) }})
	r := router{Store: plainStore(), admission: controller}
	now := time.Now()
	admit := func(at time.Time, name fleet.Workspace, weight float64) {
		_, _ = controller.Admit(at, admission.Request{Service: "s", Workspace: name, Weight: weight})
	}
	for range 7 { // small has used its share for a minute
		admit(now.Add(-time.Minute), "small", 7)
	}
	for range 100 {
		admit(now, "large", 3)
	}
	usedBy := map[fleet.GroupID]fleet.Workspace{}
	for range 100 {
		for _, name := range []fleet.Workspace{"small", "large"} {
			id := r.Route(routing.Request{Service: "s", Workspace: name}).Chosen.Group
			other, known := usedBy[id]
			assert.Assert(t, !known || other == name, "%s is used by both", id)
			usedBy[id] = name
		}
	}
	assert.Equal(t, len(usedBy), 10, "%v", usedBy)
}
