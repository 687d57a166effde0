package edge

import (
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"carawayproxy.example/caraway/internal/directory"
	"carawayproxy.example/caraway/internal/fleet"
	"carawayproxy.example/caraway/internal/membership"
)

func listedServer() directory.Server {
	return directory.Server{Instance: "e", Service: "engines", Address: "10.0.0.1:1", Zone: "a", Fabric: "d0", Slots: 8, Incarnation: 7,
		Staged: []string{"duo"}, Place: &directory.Place{Group: "duo.1.1", Epoch: 3, State: directory.PlaceOpen}}
}

// Earlier releases take the broadcast that a server leaves for an answer about its
// place. It must change nothing there but the mark of leaving.
func TestLeavingBroadcastAtAnEarlierRelease(t *testing.T) {
	older := listedServer() // as the sender of the broadcast knows it
	older.Leaving, older.Staged, older.Place = true, nil, nil
	body, err := leavingBody(older)
	assert.NilError(t, err)
	p := decodeAsEarlierRelease(t, body)
	d := newIdleDaemon(t).directory
	now := time.Now()
	d.Announce(listedServer(), now.Add(-time.Hour))
	confirmedAt := now.Add(-time.Minute)
	d.RecordAnswer(listedServer(), confirmedAt)
	d.RecordAnswer(*p.Server, now.Add(-time.Duration(p.AgeMilli)*time.Millisecond))
	got := d.Servers()["e"]
	assert.Assert(t, got.AnsweredAsOf.Equal(confirmedAt), "the place was not confirmed")
	want := listedServer()
	want.Leaving = true
	assert.DeepEqual(t, got.Server, want)
}

func TestLeavingBroadcastIsApplied(t *testing.T) {
	d := newIdleDaemon(t)
	d.directory.Announce(listedServer(), time.Now())
	leaving := listedServer()
	leaving.Leaving, leaving.Place = true, nil
	body, err := leavingBody(leaving)
	assert.NilError(t, err)
	d.onBroadcasts([]membership.Broadcast{{Key: leavingKeyPrefix + "e", Version: 7, Body: body}})
	assert.Assert(t, d.directory.Leaving("e"))
	assert.DeepEqual(t, d.directory.Servers()["e"].Place, listedServer().Place)

	deleted, err := cbor.Marshal(serverBroadcast{Deleted: true, Answered: true})
	assert.NilError(t, err)
	d.onBroadcasts([]membership.Broadcast{{Key: answerKeyPrefix + "x", Version: 1, Body: deleted}}) // must not panic
	assert.Equal(t, len(d.directory.Servers()), 1)
}

// A server's word costs only that server.
func TestLeavingServerIsTold(t *testing.T) {
	d := newIdleDaemon(t)
	d.directory.Announce(listedServer(), time.Now())
	other := listedServer()
	other.Instance = "f"
	d.directory.Announce(other, time.Now())
	leavers{d}.RecordLeaving("e", 7)
	leavers{d}.RecordLeaving("unknown", 1)
	for id, want := range map[fleet.InstanceID]bool{"e": true, "f": false} {
		assert.Equal(t, d.directory.Leaving(id), want, "%s", id)
	}
}
