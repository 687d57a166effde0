package edge

import (
	"context"
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
	d.broadcastLeaving(s)
}

func (d *Daemon) broadcastLeaving(s directory.Server) {
	body, err := leavingBody(s)
	if err != nil {
		d.events.Emit(eventBadRecord, "what", "bulletin", "key", s.Instance, "error", err)
		return
	}
	d.mesh.Broadcast([]membership.Broadcast{{Key: leavingKeyPrefix + string(s.Instance), Version: max(s.Incarnation, 1), Body: body}})
}

// leaversInterval is the time between two broadcasts of the servers that leave. Those
// whose last broadcast is still being forwarded (30 s) are not sent again.
const leaversInterval = 10 * time.Second

// repeatLeavers broadcasts the servers that leave for daemons that have started
// since: if the lease holder did not know of one, it would form groups that the
// others do not use.
func (d *Daemon) repeatLeavers(ctx context.Context) {
	for sleep(ctx, leaversInterval) {
		for _, s := range d.directory.Leavers() {
			d.broadcastLeaving(s)
		}
	}
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
