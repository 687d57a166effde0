package edge

import (
	"bytes"
	"math"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"carawayproxy.example/caraway/internal/directory"
	"carawayproxy.example/caraway/internal/feed"
	"carawayproxy.example/caraway/internal/membership"
)

func TestListPositions(t *testing.T) {
	var s listPositions
	at := func(era, offset uint64) feed.Position { return feed.Position{Era: era, Offset: offset} }
	assert.Assert(t, s.advance("a", at(0, 0)))
	assert.Assert(t, s.advance("a", at(0, 3)))
	assert.Assert(t, !s.advance("a", at(0, 2)), "an older change of the key must be skipped")
	assert.Assert(t, s.advance("b", at(0, 1)))
	s.setBase(at(0, 10))
	assert.Assert(t, !s.advance("gone", at(0, 7)), "the complete read no longer contained the key")
	assert.Assert(t, s.advance("gone", at(0, 10)))
	s.setBase(at(0, 5))
	assert.Assert(t, !s.advance("c", at(0, 9)), "an older complete read must not lower the base")
	assert.Assert(t, s.advance("a", at(1, 2)), "the store was restored since")
	assert.Assert(t, !s.advance("a", at(0, 12)), "a peer has not heard of that yet")
	s.setBase(at(1, 4))
	assert.Assert(t, !s.advance("d", at(1, 3)))
	assert.Assert(t, s.advance("d", at(3, 0)), "it was restored twice since")
}

// A broadcast that is both an engine's answer and a deletion names no server, and
// ended the process.
func TestBroadcastWithoutServerEndedTheProcess(t *testing.T) {
	for name, test := range map[string]struct {
		body serverBroadcast
		bad  int64
	}{
		"answer and deletion":   {serverBroadcast{Answered: true, Deleted: true}, 1},
		"answer without server": {serverBroadcast{Answered: true}, 1},
		"server and deletion":   {serverBroadcast{Server: &directory.Server{Instance: "e"}, Deleted: true}, 1},
		"of a later version":    {serverBroadcast{}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			d := newIdleDaemon(t)
			d.directory.Announce(directory.Server{Instance: "e"}, time.Now())
			body, err := cbor.Marshal(test.body)
			assert.NilError(t, err)
			d.onBroadcasts([]membership.Broadcast{{Key: "e", Version: 1, Body: body}})
			assert.Equal(t, d.directory.Len(), 1)
			assert.Equal(t, d.badRecords.Count(), test.bad)
		})
	}
}

// A peer's deletion started a grace of its own at each daemon that heard of it, however
// little was left of the peer's.
func TestPeersDeletionStartedAnotherGrace(t *testing.T) {
	for name, test := range map[string]struct {
		body serverBroadcast
		age  uint64 // in ms
		kept time.Duration
	}{
		"has left":                    {serverBroadcast{Deleted: true}, 0, 0},
		"may return":                  {serverBroadcast{Deleted: true, MayReturn: true, KeepMilli: 700}, 0, 700 * time.Millisecond},
		"may return, on its way":      {serverBroadcast{Deleted: true, MayReturn: true, KeepMilli: 700}, 400, 300 * time.Millisecond},
		"may return, too late":        {serverBroadcast{Deleted: true, MayReturn: true, KeepMilli: 700}, 700, 0},
		"may return, of 8dd3310":      {serverBroadcast{Deleted: true, MayReturn: true}, 0, 0},
		"may return, longer than any": {serverBroadcast{Deleted: true, MayReturn: true, KeepMilli: math.MaxUint64}, 0, returnGrace},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := newIdleDaemon(t)
				d.directory.Announce(directory.Server{Instance: "e"}, time.Now())
				body, err := cbor.Marshal(test.body)
				assert.NilError(t, err)
				d.onBroadcasts([]membership.Broadcast{{Key: "e", Version: 1, Body: body, AgeMilli: test.age}})
				assert.Equal(t, !d.directory.Leaving("e"), test.kept > 0)
				time.Sleep(test.kept - time.Millisecond)
				assert.Equal(t, !d.directory.Leaving("e"), test.kept > 0)
				time.Sleep(time.Millisecond)
				assert.Assert(t, d.directory.Leaving("e"))
			})
		})
	}
}

// Peers' broadcasts that can't be decoded must leave the others alone.
func TestBroadcastsThatCannotBeDecoded(t *testing.T) {
	good, err := cbor.Marshal(serverBroadcast{Server: &directory.Server{Instance: "good"}})
	assert.NilError(t, err)
	for name, body := range map[string][]byte{
		"empty":            nil,
		"cut":              good[:len(good)-1],
		"nested":           bytes.Repeat([]byte{0x81}, 1<<16),
		"nested maps":      bytes.Repeat([]byte{0xa1, 0x01}, 1<<16),
		"endless array":    {0x9b, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff},
		"endless text":     {0x7b, 0x7f, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff},
		"indefinite array": {0xa1, 0x01, 0x9f},
		"a number":         {0x01},
		"server a text":    {0xa1, 0x01, 0x61, 'x'},
	} {
		t.Run(name, func(t *testing.T) {
			d := newIdleDaemon(t)
			d.onBroadcasts([]membership.Broadcast{{Key: "bad", Version: 1, Body: body}, {Key: "good", Version: 2, Body: good}})
			_, listed := d.directory.Servers()["good"]
			assert.Assert(t, listed)
			assert.Equal(t, d.badRecords.Count(), int64(1))
		})
	}
}

// The age of a peer's answer overflowed, so that the answer counted as one of the
// future, and the engine's later ones as older.
func TestAgeOfAPeersAnswerOverflowed(t *testing.T) {
	d := newIdleDaemon(t)
	d.directory.Announce(directory.Server{Instance: "e"}, time.Now())
	const anHourAhead = math.MaxUint64/uint64(time.Millisecond) - uint64(time.Hour/time.Millisecond) // as a duration
	body, err := cbor.Marshal(serverBroadcast{Server: &directory.Server{Instance: "e"}, Answered: true, AgeMilli: anHourAhead})
	assert.NilError(t, err)
	d.onBroadcasts([]membership.Broadcast{{Key: "answer/e", Version: 1, Body: body}})
	assert.Assert(t, !d.directory.Servers()["e"].AnsweredAsOf.After(time.Now()), "answered as of %s", d.directory.Servers()["e"].AnsweredAsOf)
}

// A later version may broadcast a server for another purpose. That is no change of
// the list, which it would set back.
func TestUnknownBroadcastChangedTheList(t *testing.T) {
	server := &directory.Server{Instance: "i-1"}
	for _, test := range []struct {
		key  string
		body serverBroadcast
		want bool
	}{
		{"i-1", serverBroadcast{Server: server}, true},
		{"i-1", serverBroadcast{Deleted: true}, true},
		{"answer/i-1", serverBroadcast{Server: server, Answered: true}, true},
		{"later/i-1", serverBroadcast{Server: server}, false},
		{"later/i-1", serverBroadcast{Server: server, Answered: true}, false},
		{"later/i-1", serverBroadcast{}, false},
		{"i-1", serverBroadcast{Server: server, Deleted: true}, false},
	} {
		assert.Equal(t, test.body.isKnown(test.key), test.want, "%s: %+v", test.key, test.body)
	}
}
