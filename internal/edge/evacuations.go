package edge

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"carawayproxy.example/caraway/internal/datastore"
	"carawayproxy.example/caraway/internal/evacuation"
	"carawayproxy.example/caraway/internal/feed"
	"carawayproxy.example/caraway/internal/fleet"
	"carawayproxy.example/caraway/internal/membership"
)

// The operator evacuates an availability zone by a record beside the routing document.
// Reads of the document bring it, and heartbeats tell which zones are evacuated at which
// position of the operator's records. A state is complete, so that it does not matter
// which heartbeats were lost; and who does not hear a peer that has read lately reads by
// itself, see isDocumentDue.

// OperatorRecord is a record of the operator: a version of the routing document, or the
// evacuation of an availability zone.
type OperatorRecord struct {
	Document StoredDocument
	// Zone is the availability zone that the record evacuates or, if it is deleted, takes
	// back into use; empty for other records.
	Zone fleet.Zone
	// IsState is set for an item that holds no record, but follows all of a complete read.
	// Evacuated lists the zones that are evacuated by them.
	IsState   bool
	Evacuated []fleet.Zone
}

const (
	// evacuationCheckInterval is the time between two checks whether evacuated zones have
	// no more requests of this daemon.
	evacuationCheckInterval = 200 * time.Millisecond
	// maxToldZones bounds the zones in a heartbeat. With more of them, which no
	// deployment has, daemons read for themselves.
	maxToldZones = 256
)

// applyEvacuations applies the state of the operator's records at a position.
func (d *Daemon) applyEvacuations(s evacuation.State, source string) {
	d.onEvacuationChanges(d.evacuations.Replace(s, time.Now()), s.At, source)
}

// onEvacuationChanges makes changes take effect at once and tells the peers.
func (d *Daemon) onEvacuationChanges(changes []evacuation.Change, at feed.Position, source string) {
	if len(changes) == 0 {
		return
	}
	d.store.InvalidateViews()
	d.mesh.RequestHeartbeat()
	for _, c := range changes {
		if c.Evacuated {
			d.events.Emit(eventZoneEvacuated, "zone", c.Zone, "source", source, "position", at, "requests", d.requestsInZones()[c.Zone])
		} else {
			d.events.Emit(eventZoneTakenBack, "zone", c.Zone, "source", source, "position", at, "missing", c.Missing)
		}
	}
	d.zonesEvacuated.Update(int64(len(d.evacuations.InForce())))
}

// onPeerEvacuations applies what a peer knows of evacuations. Records that are no version
// of the document move the end of the operator's records, too, so that peers also tell up
// to where they know that there is no later one.
func (d *Daemon) onPeerEvacuations(e membership.Evacuations) {
	d.documentReplica.confirm(e.Document, feed.Position{Era: e.DocumentEra, Offset: e.DocumentNext}, time.Now())
	d.applyEvacuations(evacuation.State{At: feed.Position{Era: e.Era, Offset: e.Next}, Zones: e.Zones}, sourcePeer)
}

// toldEvacuations returns what this daemon tells its peers of evacuations, nil if it knows
// nothing.
func (d *Daemon) toldEvacuations() *membership.Evacuations {
	s, known := d.evacuations.State()
	if !known || len(s.Zones) > maxToldZones {
		return nil
	}
	version, document := d.documentReplica.newest()
	return &membership.Evacuations{
		Era: s.At.Era, Next: s.At.Offset, Zones: s.Zones,
		Document: version, DocumentEra: document.Era, DocumentNext: document.Offset,
	}
}

// coversEvacuations reports whether a state that is known up to a position covers what a
// peer knows. Peers of earlier releases know nothing, so that their reads show nothing.
func coversEvacuations(known feed.Position, e *membership.Evacuations) bool {
	return e != nil && !known.Before(feed.Position{Era: e.Era, Offset: e.Next})
}

// zoneRequests tracks this daemon's requests in evacuated availability zones. It is safe
// for concurrent use.
type zoneRequests struct {
	checking sync.Mutex // held by checkEvacuatedZones, so that no check replaces a later one

	mu sync.Mutex
	// groupZones holds the zones of the groups with requests in flight, also of groups that
	// are no longer listed: their requests may still run.
	groupZones map[fleet.GroupID][]fleet.Zone
	// zones holds what was last found in the evacuated zones.
	zones map[fleet.Zone]zoneState
}

// zoneState is what a daemon knows of an evacuated availability zone.
type zoneState struct {
	since    time.Time // when the daemon learned of the evacuation
	inFlight uint32    // its requests that run there
	emptyAt  time.Time // when it last found none, zero if it has not since then
}

// count returns the number of requests in each zone, of those in flight at each group. A
// group counts in each of its zones; zonesOf returns none for a group that is not listed.
func (r *zoneRequests) count(inFlight map[fleet.GroupID]uint32, zonesOf func(fleet.GroupID) []fleet.Zone) map[fleet.Zone]uint32 {
	r.mu.Lock()
	defer r.mu.Unlock()
	out, groupZones := map[fleet.Zone]uint32{}, make(map[fleet.GroupID][]fleet.Zone, len(inFlight))
	for id, n := range inFlight {
		zones := zonesOf(id)
		if len(zones) == 0 {
			zones = r.groupZones[id]
		}
		groupZones[id] = zones
		for _, zone := range zones {
			out[zone] += n
		}
	}
	r.groupZones = groupZones
	return out
}

// update records the requests in the evacuated zones. It returns what is known of them, and
// those that have become empty, sorted.
func (r *zoneRequests) update(evacuated map[fleet.Zone]time.Time, requests map[fleet.Zone]uint32, now time.Time) (zones map[fleet.Zone]zoneState, emptied []fleet.Zone) {
	r.mu.Lock()
	defer r.mu.Unlock()
	zones = make(map[fleet.Zone]zoneState, len(evacuated))
	for zone, since := range evacuated {
		before, state := r.zones[zone], zoneState{since: since, inFlight: requests[zone]}
		if before.since.Equal(since) {
			state.emptyAt = before.emptyAt
		}
		if state.inFlight == 0 {
			if state.emptyAt.IsZero() || before.inFlight > 0 {
				emptied = append(emptied, zone)
			}
			state.emptyAt = now
		}
		zones[zone] = state
	}
	r.zones = zones
	slices.Sort(emptied)
	return zones, emptied
}

// watchEvacuations logs when evacuated zones have no more requests of this daemon, and
// ends evacuations that a restored store no longer has.
func (d *Daemon) watchEvacuations(ctx context.Context) {
	for sleep(ctx, evacuationCheckInterval) {
		d.onEvacuationChanges(d.evacuations.Expire(time.Now()), d.evacuations.KnownUpTo(), sourceStore)
		d.checkEvacuatedZones()
	}
}

// checkEvacuatedZones returns what is known of the evacuated zones now, and logs those that
// have become empty.
func (d *Daemon) checkEvacuatedZones() map[fleet.Zone]zoneState {
	d.zoneRequests.checking.Lock()
	defer d.zoneRequests.checking.Unlock()
	evacuated := d.evacuations.Since()
	var requests map[fleet.Zone]uint32
	if len(evacuated) > 0 {
		requests = d.requestsInZones()
	}
	zones, emptied := d.zoneRequests.update(evacuated, requests, time.Now())
	for _, zone := range emptied {
		d.events.Emit(eventZoneEmpty, "zone", zone)
	}
	total := uint32(0)
	for _, z := range zones {
		total += z.inFlight
	}
	d.requestsThere.Update(int64(total))
	return zones
}

// requestsInZones returns the number of this daemon's requests in flight in each
// availability zone. A group counts in each zone of its members.
func (d *Daemon) requestsInZones() map[fleet.Zone]uint32 {
	groups, instances := d.directory.Groups().Groups, d.directory.Instances()
	return d.zoneRequests.count(d.store.InFlight(), func(id fleet.GroupID) []fleet.Zone {
		var zones []fleet.Zone
		if g := groups[id]; g != nil {
			for _, m := range g.Members {
				if m.Zone != "" && !slices.Contains(zones, m.Zone) {
					zones = append(zones, m.Zone)
				}
			}
		} else if server, plain := strings.CutPrefix(string(id), string(datastore.PlainGroup(""))); plain {
			if instance, listed := instances[fleet.InstanceID(server)]; listed {
				zones = append(zones, instance.Zone)
			}
		}
		return zones
	})
}
