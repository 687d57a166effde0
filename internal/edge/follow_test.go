package edge

import (
	"testing"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"carawayproxy.example/caraway/internal/directory"
	"carawayproxy.example/caraway/internal/feed"
	"carawayproxy.example/caraway/internal/fleet"
	"carawayproxy.example/caraway/internal/membership"
)

// An address of a daemon that can't be read took the last one away, without a line
// in the log, so that no new link to that daemon was opened.
func TestUnreadableAddressOfADaemonKeepsTheLastOne(t *testing.T) {
	for name, complete := range map[string]bool{"a change": false, "a complete read": true} {
		t.Run(name, func(t *testing.T) {
			d := newIdleDaemon(t)
			d.applyAddresses([]feed.Item[membership.Endpoint]{{Key: "edge-1", Value: membership.Endpoint{Address: "10.0.0.1:1"}}, {Key: "edge-2", Value: membership.Endpoint{Address: "10.0.0.2:1"}}}, true)
			d.applyAddresses([]feed.Item[membership.Endpoint]{
				{Key: "edge-1", Position: feed.Position{Offset: 7}, Err: errors.New("no address")},
				{Key: "edge-2", Position: feed.Position{Offset: 8}, Value: membership.Endpoint{Address: "10.0.0.2:2"}},
				{Position: feed.Position{Offset: 9}, Err: errors.New("no key")},
			}, complete)
			assert.DeepEqual(t, d.addresses.endpoints, map[string]membership.Endpoint{"edge-1": {Address: "10.0.0.1:1"}, "edge-2": {Address: "10.0.0.2:2"}})
			assert.Equal(t, d.badRecords.Count(), int64(2))
		})
	}
}

// An odd entry is named by key, position and error, and leaves the others and the
// known state of its server alone.
func TestOddEntryCostsItself(t *testing.T) {
	d := newIdleDaemon(t)
	d.applyServerList([]feed.Item[directory.Server]{
		{Key: "e", Position: feed.Position{Offset: 1}, Value: directory.Server{Instance: "e", Slots: 8}},
		{Key: "f", Position: feed.Position{Offset: 2}, Value: directory.Server{Instance: "f", Slots: 8}},
	}, feed.Position{Offset: 3})
	d.applyServerChanges([]feed.Item[directory.Server]{
		{Key: "e", Position: feed.Position{Offset: 3}, Err: errors.New("slots is 0")},
		{Position: feed.Position{Offset: 4}, Err: errors.New("no key")},
		{Key: "f", Position: feed.Position{Offset: 5}, Value: directory.Server{Instance: "f", Slots: 9}},
	})
	assert.Equal(t, d.directory.Servers()["e"].Slots, uint32(8))
	assert.Equal(t, d.directory.Servers()["f"].Slots, uint32(9))
	assert.Assert(t, d.directory.Leaving(fleet.InstanceID("e")))
	assert.Equal(t, d.badRecords.Count(), int64(2))
}
