package daemon

import (
	"testing"

	"gotest.tools/v3/assert"

	"carawayproxy.example/caraway/internal/fleet"
	"carawayproxy.example/caraway/internal/group"
)

func TestIsInRecordedGroup(t *testing.T) {
	v := &group.View{
		Groups:     map[fleet.GroupID]*group.Group{"g": {ID: "g", Epoch: 2}},
		ByInstance: map[fleet.InstanceID]fleet.GroupID{"member": "g"},
	}
	matches := func(id fleet.InstanceID, a *fleet.Assignment) bool {
		return isInRecordedGroup(fleet.Report{Instance: id, Assignment: a}, v)
	}
	assert.Assert(t, matches("member", &fleet.Assignment{Group: "g", Epoch: 2}))
	assert.Assert(t, !matches("member", &fleet.Assignment{Group: "g", Epoch: 1}))
	assert.Assert(t, !matches("member", &fleet.Assignment{Group: "other", Epoch: 2}))
	assert.Assert(t, !matches("member", nil))
	assert.Assert(t, !matches("free", &fleet.Assignment{Group: "g", Epoch: 2}))
	assert.Assert(t, !matches("free", &fleet.Assignment{}))
}
