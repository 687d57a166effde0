package edge

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"carawayproxy.example/caraway/internal/fleet"
	"carawayproxy.example/caraway/internal/membership"
	"carawayproxy.example/caraway/internal/ratelimit"
	"carawayproxy.example/caraway/internal/settings"
)

// rateKeyPrefix is the prefix of the broadcast keys of request rates. No server ID
// starts with it.
const rateKeyPrefix = "rate/"

// silentOwnerTime is how long a daemon that has fallen silent keeps its shares of
// announced request rates. It may still send requests while it does not receive
// the heartbeats of others, so that its shares must not be given away at once.
const silentOwnerTime = 10 * time.Second

// rateBroadcast is a request rate that a backend server announces to one daemon.
type rateBroadcast struct {
	Server    fleet.InstanceID `cbor:"1,keyasint"`
	PerSecond float64          `cbor:"2,keyasint,omitempty"`
	Unlimited bool             `cbor:"3,keyasint,omitempty"`
}

// broadcastRate sends what this daemon has learned of a server's rate to all
// daemons.
func (d *Daemon) broadcastRate(a ratelimit.Announcement) {
	body, err := cbor.Marshal(serverBroadcast{Rate: &rateBroadcast{Server: a.Server, PerSecond: a.PerSecond, Unlimited: a.Unlimited}})
	if err != nil {
		d.events.Emit(eventBadRecord, "what", "bulletin", "key", a.Server, "error", err)
		return
	}
	d.mesh.Broadcast([]membership.Broadcast{{Key: rateKeyPrefix + string(a.Server), Version: a.Version, Body: body}})
}

// applyRate applies a rate that a peer broadcast.
func (d *Daemon) applyRate(b membership.Broadcast, r rateBroadcast) {
	if !(r.PerSecond >= 0) || math.IsInf(r.PerSecond, 0) {
		d.skipBadRecord("bulletin", b.Key, b.Version, errors.Errorf("the rate of server %q is %g requests a second", r.Server, r.PerSecond))
		return
	}
	now := time.Now()
	d.rates.Apply(ratelimit.Announcement{
		Server: r.Server, PerSecond: r.PerSecond, Unlimited: r.Unlimited, Version: b.Version, At: now.Add(-b.Age()),
	}, now)
}

// daemonsSharingRates returns the daemons among which announced request rates are
// shared, by the names of their instances: names outlast restarts. Where daemons
// hear of only some of the others, it returns every daemon that has announced an
// address.
func (d *Daemon) daemonsSharingRates() []fleet.DaemonID {
	names := map[fleet.DaemonID]bool{}
	if !d.mesh.LinksAll() {
		for _, name := range d.addresses.names() {
			names[fleet.DaemonID(name)] = true
		}
	}
	now := time.Now()
	for id, p := range d.mesh.View().Peers {
		name := fleet.DaemonID(settings.InstanceName(id))
		switch {
		case name == "":
			name = id
		case name == fleet.DaemonID(d.settings.Name):
			continue // an earlier process of this instance
		}
		if now.Sub(p.ReceivedAt) <= silentOwnerTime && !p.Departing && !p.Heartbeat.Draining {
			names[name] = true
		}
	}
	delete(names, fleet.DaemonID(d.settings.Name))
	if !d.draining.Load() {
		names[fleet.DaemonID(d.settings.Name)] = true
	}
	return slices.Sorted(maps.Keys(names))
}
