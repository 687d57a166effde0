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

// Earlier releases take the broadcast of a pause for an answer about the server's
// place, of which it must change nothing there.
func TestPauseBroadcastAtAnEarlierRelease(t *testing.T) {
	older := listedServer()
	older.Staged, older.Place = nil, nil
	body, err := pauseBody(older, pauseBroadcast{Server: "e", Incarnation: 7, Daemon: "d", LengthMilli: 5000})
	assert.NilError(t, err)
	p := decodeAsEarlierRelease(t, body)
	d := newIdleDaemon(t).directory
	d.Announce(listedServer(), time.Now())
	updated := d.RecordAnswer(*p.Server, time.Now().Add(-time.Duration(p.AgeMilli)*time.Millisecond))
	assert.Assert(t, !updated)
	assert.DeepEqual(t, d.Servers()["e"].Server, listedServer())
}

func TestPauseIsForOneDaemon(t *testing.T) {
	for _, test := range []struct {
		name   string
		daemon func(d *Daemon) fleet.DaemonID
		length time.Duration
		age    time.Duration
		least  time.Duration
		most   time.Duration
	}{
		{"this daemon", func(d *Daemon) fleet.DaemonID { return d.id }, 5 * time.Second, 0, 4 * time.Second, 5 * time.Second},
		{"this daemon, some time ago", func(d *Daemon) fleet.DaemonID { return d.id }, 5 * time.Second, 2 * time.Second, 2 * time.Second, 3 * time.Second},
		{"this daemon, over", func(d *Daemon) fleet.DaemonID { return d.id }, time.Second, 2 * time.Second, 0, 0},
		{"this daemon, odd", func(d *Daemon) fleet.DaemonID { return d.id }, 1 << 62, 0, maxPeerPause - time.Second, maxPeerPause},
		{"another one, with links of its own here", func(*Daemon) fleet.DaemonID { return "other" }, 5 * time.Second, 0, 0, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			d := newIdleDaemon(t)
			d.directory.Announce(listedServer(), time.Now())
			body, err := pauseBody(listedServer(), pauseBroadcast{
				Server: "e", Incarnation: 7, Daemon: test.daemon(d), LengthMilli: uint64(test.length.Milliseconds()),
			})
			assert.NilError(t, err)
			d.onBroadcasts([]membership.Broadcast{{Key: pauseKeyPrefix + "x/e", Version: 1, Body: body, AgeMilli: uint64(test.age.Milliseconds())}})
			wait := d.pauses.Wait("e", 7, time.Now())
			assert.Assert(t, wait >= test.least && wait <= test.most, "%s", wait)
			assert.DeepEqual(t, d.directory.Servers()["e"].Server, listedServer())
		})
	}
}

// earlierBroadcast holds the fields of a serverBroadcast that earlier releases decode.
type earlierBroadcast struct {
	Server   *directory.Server `cbor:"1,keyasint,omitempty"`
	Deleted  bool              `cbor:"2,keyasint,omitempty"`
	Answered bool              `cbor:"3,keyasint,omitempty"`
	AgeMilli uint64            `cbor:"4,keyasint,omitempty"`
}

func decodeAsEarlierRelease(t *testing.T, body []byte) earlierBroadcast {
	t.Helper()
	var p earlierBroadcast
	assert.NilError(t, cbor.Unmarshal(body, &p))
	assert.Assert(t, p.Answered && p.Server != nil && !p.Deleted, "earlier releases log anything else as invalid")
	return p
}
