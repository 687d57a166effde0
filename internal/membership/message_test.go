package membership

import (
	"bytes"
	"context"
	"net/http"
	"reflect"
	"testing"
	"time"

	"github.com/coder/websocket"
	"github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"

	"carawayproxy.example/caraway/internal/fleet"
	"carawayproxy.example/caraway/internal/journal"
	"carawayproxy.example/caraway/internal/suspect"
)

func sampleMessages() []any {
	return []any{
		&helloMessage{From: "d", Address: "10.0.0.1:7000", Zone: "z", Incarnation: 3},
		&heartbeatMessage{
			Echo: Echo{Sequence: 8, HeldMilli: 250}, Sequence: 9, Ready: true, ConfigRevision: 4,
			Names: []string{"config", "g-1"}, Streams: []wirePosition{{Stream: 0, Next: 12, AgeMilli: -1}}, InFlight: []uint32{1, 5},
			Reports:      []wireReport{{Instance: 0, Incarnation: 7, Ready: true, Progress: 999, Assignment: &wireAssignment{Group: "g-1", Epoch: 2, Members: []string{"10.0.0.1:1"}}}},
			Loads:        []wireLoad{{Instance: 0, Running: 3, PendingTokens: 900, Age: 20}},
			ReportAges:   []uint64{0, 24},
			Unresponsive: []uint32{0},
			Work:         []uint32{0, 1250}, WorkRequests: 61,
		},
		&gossipMessage{
			Leaving:   []leavingItem{{Instance: "i", AgeMilli: 5}},
			Sightings: []sightingItem{{ID: [16]byte{1}, Group: "g", Epoch: 2, InFlight: []suspect.Fingerprint{3}}},
		},
		&goodbyeMessage{Sequence: 7},
		&loadMessage{InFlight: []uint32{0, 3, 4, 0}},
		&requestMessage{ID: 1, Kind: requestEntries, Stream: "config", From: 3, Limit: 10},
		&responseMessage{ID: 1, State: &journal.State{Stream: "config", Data: []byte("x")}, Payloads: [][]byte{{1}, {2}}},
	}
}

func TestMessageRoundTrip(t *testing.T) {
	for _, m := range sampleMessages() {
		frame, err := encode(m)
		assert.NilError(t, err)
		got, err := decode(frame)
		assert.NilError(t, err)
		assert.Assert(t, reflect.DeepEqual(got, m), "%#v", got)
	}
}

// An instance whose id is not UTF-8 must not end the links of the daemons that tell
// of it.
func TestInstanceIDThatIsNoUTF8EndedLinks(t *testing.T) {
	for _, m := range []any{
		&heartbeatMessage{Sequence: 1, Names: []string{"i-\xff"}, Unresponsive: []uint32{0}},
		&gossipMessage{Leaving: []leavingItem{{Instance: "i-\xff"}}, Broadcasts: []Broadcast{{Key: "i-\xff", Version: 1}}},
	} {
		got, err := decode(mustEncode(m))
		assert.NilError(t, err)
		assert.Assert(t, reflect.DeepEqual(got, m), "%#v", got)
	}
}

func TestDecodeRejectsInvalidMessages(t *testing.T) {
	frame, _ := encode(&heartbeatMessage{Sequence: 1})
	tests := map[string]struct {
		frame []byte
		err   error
	}{
		"empty":                {nil, errTooShort},
		"other version":        {[]byte{9, byte(typeHeartbeat), 0xa0}, errVersion},
		"unknown type":         {[]byte{wireVersion, 200, 0xa0}, errUnknownType},
		"heartbeat w/o number": {[]byte{wireVersion, byte(typeHeartbeat), 0xa0}, errMissingField},
		"hello w/o sender":     {[]byte{wireVersion, byte(typeHello), 0xa0}, errMissingField},
		"request w/o id":       {[]byte{wireVersion, byte(typeRequest), 0xa0}, errMissingField},
		"response w/o id":      {[]byte{wireVersion, byte(typeResponse), 0xa0}, errMissingField},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			_, err := decode(test.frame)
			assert.ErrorIs(t, err, test.err)
		})
	}
	_, err := decode(frame[:len(frame)-1])
	assert.ErrorContains(t, err, "decode message")
}

func TestNamesAreSentOnceAndUnknownNumbersRejected(t *testing.T) {
	out, in := newNameTable(), nameList{}
	streams := map[journal.Stream]StreamPosition{"config": {Next: 4, ConfirmedAgeMilli: 9}}
	loads := map[fleet.GroupID]uint32{"g-1": 2}
	for i := range 3 {
		var b heartbeatMessage
		out.pack(&b, streams, loads)
		assert.Equal(t, len(b.Names), map[int]int{0: 2}[i])
		gotStreams, gotLoads, err := in.unpack(&b)
		assert.NilError(t, err)
		assert.DeepEqual(t, gotStreams, streams)
		assert.DeepEqual(t, gotLoads, loads)
	}
	_, _, err := in.unpack(&heartbeatMessage{InFlight: []uint32{99, 1}})
	assert.ErrorIs(t, err, errUnknownName)
	_, _, err = in.unpack(&heartbeatMessage{InFlight: []uint32{0}})
	assert.ErrorIs(t, err, errUnpairedCount)
	_, _, err = in.unpack(&heartbeatMessage{Names: make([]string, maxNames)})
	assert.ErrorIs(t, err, errTooManyNames)
}

func FuzzMessage(f *testing.F) {
	for _, m := range sampleMessages() {
		frame, err := encode(m)
		assert.NilError(f, err)
		f.Add(frame)
		f.Add(frame[:len(frame)/2])
	}
	f.Add([]byte{wireVersion, byte(typeHeartbeat), 0xbf, 0xff})
	f.Add([]byte{wireVersion, byte(typeResponse), 0x9a, 0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, frame []byte) {
		body, err := decode(frame)
		if err != nil {
			return
		}
		if b, ok := body.(*heartbeatMessage); ok {
			var n nameList
			_, _, _ = n.unpack(b)
			_, _ = n.unpackReports(b, time.Now(), map[uint32]fleet.Report{})
			_, _ = unpackNew[fleet.InstanceID](n, b.Unresponsive)
			_, _ = unpackNew[fleet.GroupID](n, b.Stalled)
		}
		again, err := encode(body)
		assert.NilError(t, err)
		_, err = decode(again)
		assert.NilError(t, err)
	})
}

// TestInvalidMessagesFromPeer sends frames to a mesh over a link like a peer's.
func TestInvalidMessagesFromPeer(t *testing.T) {
	tests := map[string]struct {
		frame  []byte
		closes bool
	}{
		"unknown type is ignored":               {[]byte{wireVersion, 99}, false},
		"malformed body closes the link":        {[]byte{wireVersion, byte(typeHeartbeat), 0xff}, true},
		"other version closes the link":         {[]byte{7, byte(typeHeartbeat), 0xa0}, true},
		"gossip of another type is ignored":     {append([]byte{wireVersion, byte(typeGossip)}, 0xa1, 0x01, 0x05), false},
		"counts of another type are ignored":    {append([]byte{wireVersion, byte(typeLoad)}, 0xa1, 0x01, 0x61, 'x'), false},
		"malformed request is ignored":          {[]byte{wireVersion, byte(typeRequest), 0xa0}, false},
		"heartbeat with a sequence only":        {[]byte{wireVersion, byte(typeHeartbeat), 0xa1, 0x02, 0x01}, false},
		"unknown stream is answered":            {mustEncode(&requestMessage{ID: 1, Kind: requestState, Stream: "no"}), false},
		"response without a request is ignored": {mustEncode(&responseMessage{ID: 77}), false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			runCluster(t, 1, func(t *testing.T, c *cluster) {
				conn := c.dialAs(t, "10.9.9.9", helloMessage{From: "stranger", Address: "10.9.9.9:7000", Incarnation: 1})
				defer conn.CloseNow()
				m := newMeters(metrics.NewRegistry())
				assert.NilError(t, writeFrame(t.Context(), conn, test.frame, &m))
				time.Sleep(100 * time.Millisecond)
				linked := c.members[0].linkTo("10.9.9.9:7000") != nil
				assert.Equal(t, !linked, test.closes)
			})
		})
	}
}

func mustEncode(body any) []byte {
	frame, err := encode(body)
	if err != nil {
		panic(err)
	}
	return frame
}

// dialAs opens a link to the first member from another host.
func (c *cluster) dialAs(t *testing.T, ip string, hello helloMessage) *websocket.Conn {
	client := &http.Client{Transport: &http.Transport{DialContext: c.net.Host(ip).Dial, DisableKeepAlives: true}}
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	conn, _, err := websocket.Dial(ctx, "ws://"+c.members[0].cfg.Address+PeerPath, &websocket.DialOptions{HTTPClient: client})
	assert.NilError(t, err)
	m := newMeters(metrics.NewRegistry())
	assert.NilError(t, writeFrame(t.Context(), conn, mustEncode(&hello), &m))
	_, err = readFrame(t.Context(), conn, time.Second, &m)
	assert.NilError(t, err)
	return conn
}

// Messages that are nested deeply, or announce more than they hold, must cost their
// link only, and neither the stack nor memory.
func TestMessagesNestedDeeply(t *testing.T) {
	for name, body := range map[string][]byte{
		"arrays":          bytes.Repeat([]byte{0x81}, 1<<20),
		"maps":            bytes.Repeat([]byte{0xa1, 0x01}, 1<<20),
		"unknown field":   append([]byte{0xa1, 0x18, 0x63}, bytes.Repeat([]byte{0x81}, 1<<20)...),
		"endless array":   {0xa1, 0x03, 0x9b, 0x7f, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff},
		"endless map":     {0xbb, 0x7f, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff},
		"endless bytes":   {0xa1, 0x03, 0x5b, 0x7f, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff},
		"open array":      bytes.Repeat([]byte{0x9f}, 1<<20),
		"tags":            bytes.Repeat([]byte{0xc1}, 1<<20),
		"too many items":  append([]byte{0xa1, 0x03, 0x99, 0xff, 0xff}, bytes.Repeat([]byte{0x00}, 1<<16)...),
		"number too wide": {0xa1, 0x02, 0xc2, 0x49, 1, 1, 1, 1, 1, 1, 1, 1, 1},
	} {
		for kind := typeHello; kind <= typeLoad; kind++ {
			_, err := decode(append([]byte{wireVersion, byte(kind)}, body...))
			assert.Check(t, err != nil, "%s in a message of type %d", name, kind)
		}
	}
}
