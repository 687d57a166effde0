package edge

import (
	"time"

	"github.com/fxamacker/cbor/v2"

	"carawayproxy.example/caraway/internal/backend"
	"carawayproxy.example/caraway/internal/directory"
	"carawayproxy.example/caraway/internal/fleet"
	"carawayproxy.example/caraway/internal/membership"
)

// A server that asks for a pause means the daemon that the connection comes from.
// Where that connection led through another daemon, this is the other one, which
// can't see the answer. And a daemon that serves tunnels can't see which requests
// pass through them. Therefore such pauses are broadcast: the daemon that is meant
// keeps them, and so do those whose connections may lead through it.

// pauseKeyPrefix is the prefix of the broadcast keys of pauses. No server ID starts
// with it.
const pauseKeyPrefix = "pause/"

// pauseBroadcast is a pause that a backend server has asked a daemon for.
type pauseBroadcast struct {
	Server      fleet.InstanceID `cbor:"1,keyasint"`
	Incarnation uint64           `cbor:"2,keyasint"`
	Daemon      fleet.DaemonID   `cbor:"3,keyasint"`
	// LengthMilli is the length in ms, from when the pause was broadcast.
	LengthMilli uint64 `cbor:"4,keyasint"`
}

// pauses implements dispatch.Pauses.
type pauses struct{ d *Daemon }

// ObservePause implements dispatch.Pauses.
func (p pauses) ObservePause(server fleet.InstanceID, incarnation uint64, pause backend.Pause) {
	d := p.d
	longer := d.pauses.ObservePause(server, incarnation, pause.Length, "answer", time.Now())
	asked := fleet.DaemonID(pause.Via)
	if asked == "" {
		asked = d.id
	}
	if longer && (asked != d.id || d.env.ServerDialer.Served() > 0) {
		d.broadcastPause(pauseBroadcast{
			Server: server, Incarnation: incarnation, Daemon: asked, LengthMilli: uint64(pause.Length.Milliseconds()),
		})
	}
}

func (d *Daemon) broadcastPause(p pauseBroadcast) {
	s, listed := d.directory.Server(p.Server)
	if !listed {
		return // it gets no requests in any case
	}
	body, err := pauseBody(s, p)
	if err != nil {
		d.events.Emit(eventBadRecord, "what", "bulletin", "key", p.Server, "error", err)
		return
	}
	end := time.Now().Add(time.Duration(p.LengthMilli) * time.Millisecond)
	d.mesh.Broadcast([]membership.Broadcast{{
		Key: pauseKeyPrefix + string(p.Daemon) + "/" + string(p.Server), Version: uint64(end.UnixMilli()), Body: body,
	}})
}

// pauseBody returns the body of the broadcast of a pause. Earlier releases take it
// for an answer of the server that is too old to change anything.
func pauseBody(s directory.Server, p pauseBroadcast) ([]byte, error) {
	return cbor.Marshal(serverBroadcast{Server: &s, Answered: true, AgeMilli: uint64(oldAnswerAge.Milliseconds()), Pause: &p})
}

// applyPause applies a pause that a peer broadcast.
func (d *Daemon) applyPause(b membership.Broadcast, p pauseBroadcast) {
	left := time.Duration(min(p.LengthMilli, uint64(maxPeerPause.Milliseconds())))*time.Millisecond - b.Age()
	if left > 0 && (p.Daemon == d.id || d.env.ServerDialer.UsesTunnels()) {
		d.pauses.ObservePause(p.Server, p.Incarnation, left, "peer", time.Now())
	}
}

// maxPeerPause bounds the pauses that peers broadcast, as the adapter bounds those
// in answers.
const maxPeerPause = time.Minute
