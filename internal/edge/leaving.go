package edge

import (
	"time"

	"github.com/fxamacker/cbor/v2"

	"carawayproxy.example/caraway/internal/directory"
	"carawayproxy.example/caraway/internal/fleet"
	"carawayproxy.example/caraway/internal/membership"
)

// leavingKeyPrefix is the prefix of the broadcast keys of servers that announce in
// answers that they leave. No server ID starts with it.
const leavingKeyPrefix = "leaving/"

// oldAnswerAge is the age of the server's state in broadcasts that earlier releases
// take for a server's answer about its place. At this age they use only its mark of
// leaving, and keep the place that they know.
const oldAnswerAge = 24 * time.Hour

// leavers implements dispatch.Leavers.
type leavers struct{ d *Daemon }

// RecordLeaving implements dispatch.Leavers.
func (l leavers) RecordLeaving(id fleet.InstanceID, incarnation uint64) {
	l.d.recordLeaving(id, incarnation, "answer")
}

// recordLeaving records that a server has announced to this daemon that it leaves,
// and tells the other daemons.
func (d *Daemon) recordLeaving(id fleet.InstanceID, incarnation uint64, source string) {
	s, updated := d.directory.RecordLeaving(id, incarnation, time.Now())
	if !updated {
		return
	}
	d.events.Emit(eventServerLeaving, "instance", id, "incarnation", incarnation, "source", source)
	body, err := leavingBody(s)
	if err != nil {
		d.events.Emit(eventBadRecord, "what", "bulletin", "key", id, "error", err)
		return
	}
	d.mesh.Broadcast([]membership.Broadcast{{Key: leavingKeyPrefix + string(id), Version: max(incarnation, 1), Body: body}})
}

// leavingBody returns the body of the broadcast that a server leaves.
func leavingBody(s directory.Server) ([]byte, error) {
	return cbor.Marshal(serverBroadcast{Server: &s, Answered: true, AgeMilli: uint64(oldAnswerAge.Milliseconds())})
}

// applyLeaving applies a peer's broadcast that a server leaves.
func (d *Daemon) applyLeaving(s directory.Server) {
	if _, updated := d.directory.RecordLeaving(s.Instance, s.Incarnation, time.Now()); updated {
		d.events.Emit(eventServerLeaving, "instance", s.Instance, "incarnation", s.Incarnation, "source", "peer")
	}
}
