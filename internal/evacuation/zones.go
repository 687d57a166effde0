// Package evacuation holds which availability zones the operator evacuates: no request
// may reach a backend server of such a zone until the evacuation is taken back.
//
// The operator's records are a log with positions, so that the state of a daemon is one
// position and the set of zones that are evacuated there. It is brought forward by
// single records in their order, or replaced by the state at a later position. Requests
// look it up for each member of a group, which costs a load of a pointer and of a map.
package evacuation

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"carawayproxy.example/caraway/internal/feed"
	"carawayproxy.example/caraway/internal/fleet"
)

// RestoreGrace is how long a zone stays evacuated whose record is missing when the store
// comes back from an older copy. The operator writes the record again, or the evacuation
// has ended.
const RestoreGrace = 10 * time.Second

// Change is a zone whose evacuation has begun or was taken back.
type Change struct {
	Zone      fleet.Zone
	Evacuated bool
	// Missing is set if the evacuation has ended because its record is missing in a store
	// that came back from an older copy.
	Missing bool
}

// State is the zones that are evacuated at a position of the operator's records, sorted.
type State struct {
	At    feed.Position
	Zones []fleet.Zone
}

// Zones tracks the zones that are evacuated. The zero value knows nothing. It is safe for
// concurrent use.
type Zones struct {
	mu sync.Mutex
	// known is set with the first state, and at is the position up to which all records
	// are contained in listed.
	known  bool
	at     feed.Position
	listed map[fleet.Zone]bool
	// missing holds until when zones stay evacuated that a restored store does not list.
	missing map[fleet.Zone]time.Time
	// inForce holds the zones of both, and since when they are in force without a break. It
	// is replaced at each change; nil for none.
	inForce atomic.Pointer[map[fleet.Zone]time.Time]
}

// IsEvacuated reports whether a zone is evacuated.
func (z *Zones) IsEvacuated(zone fleet.Zone) bool {
	zones := z.inForce.Load()
	if zones == nil {
		return false
	}
	_, evacuated := (*zones)[zone]
	return evacuated
}

// InForce returns the zones that are evacuated, sorted.
func (z *Zones) InForce() []fleet.Zone { return slices.Sorted(maps.Keys(z.Since())) }

// Since returns the zones that are evacuated, and when each evacuation became known. The
// caller must not change the map.
func (z *Zones) Since() map[fleet.Zone]time.Time {
	if zones := z.inForce.Load(); zones != nil {
		return *zones
	}
	return nil
}

// State returns the state of the operator's records as far as they are known.
func (z *Zones) State() (s State, known bool) {
	z.mu.Lock()
	defer z.mu.Unlock()
	return State{At: z.at, Zones: slices.Sorted(maps.Keys(z.listed))}, z.known
}

// KnownUpTo returns the position up to which all records are known.
func (z *Zones) KnownUpTo() feed.Position {
	z.mu.Lock()
	defer z.mu.Unlock()
	return z.at
}

// Record applies the record at a position that follows all known ones, and is one of
// several that are read in their order. It skips records that are contained in the known
// state, and those of another era, which need a complete read.
func (z *Zones) Record(zone fleet.Zone, evacuated bool, at feed.Position, now time.Time) []Change {
	z.mu.Lock()
	defer z.mu.Unlock()
	if !z.known || at.Era != z.at.Era || at.Before(z.at) {
		return nil
	}
	z.at = at.Next()
	delete(z.missing, zone)
	listed := maps.Clone(z.listed)
	if evacuated {
		listed[zone] = true
	} else {
		delete(listed, zone)
	}
	return z.set(listed, nil, now)
}

// Advance records that all records from one position to another one were read and
// applied.
func (z *Zones) Advance(from, to feed.Position) {
	z.mu.Lock()
	defer z.mu.Unlock()
	if z.known && from.Era == z.at.Era && to.Era == z.at.Era && !z.at.Before(from) && z.at.Before(to) {
		z.at = to
	}
}

// Replace replaces the state by a later one. If the store has come back from an older
// copy since, the zones that it does not list stay evacuated for RestoreGrace.
func (z *Zones) Replace(s State, now time.Time) []Change {
	z.mu.Lock()
	defer z.mu.Unlock()
	if z.known && s.At.Compare(z.at) <= 0 {
		return nil
	}
	listed := map[fleet.Zone]bool{}
	for _, zone := range s.Zones {
		listed[zone] = true
		delete(z.missing, zone)
	}
	if z.known && s.At.Era > z.at.Era {
		for zone := range z.listed {
			if !listed[zone] {
				z.keep(zone, now.Add(RestoreGrace))
			}
		}
	}
	z.known, z.at = true, s.At
	return z.set(listed, nil, now)
}

// keep keeps a zone evacuated until a time. The caller holds mu.
func (z *Zones) keep(zone fleet.Zone, until time.Time) {
	if z.missing == nil {
		z.missing = map[fleet.Zone]time.Time{}
	}
	z.missing[zone] = until
}

// Expire ends the evacuations that are missing in a restored store for longer than
// RestoreGrace.
func (z *Zones) Expire(now time.Time) []Change {
	z.mu.Lock()
	defer z.mu.Unlock()
	expired := map[fleet.Zone]bool{}
	for zone, until := range z.missing {
		if !now.Before(until) {
			expired[zone] = true
			delete(z.missing, zone)
		}
	}
	if len(expired) == 0 {
		return nil
	}
	return z.set(z.listed, expired, now)
}

// set replaces listed and returns the changes of what is in force, sorted by zone. Those
// in expired end because their record is missing. The caller holds mu.
func (z *Zones) set(listed, expired map[fleet.Zone]bool, now time.Time) []Change {
	before, after := z.Since(), map[fleet.Zone]time.Time{}
	z.listed = listed
	var changes []Change
	for zone := range listed {
		after[zone] = now
	}
	for zone := range z.missing {
		after[zone] = now
	}
	for zone := range after {
		if since, evacuated := before[zone]; evacuated {
			after[zone] = since
		} else {
			changes = append(changes, Change{Zone: zone, Evacuated: true})
		}
	}
	for zone := range before {
		if _, evacuated := after[zone]; !evacuated {
			changes = append(changes, Change{Zone: zone, Missing: expired[zone]})
		}
	}
	if len(changes) > 0 {
		z.inForce.Store(&after)
	}
	slices.SortFunc(changes, func(a, b Change) int { return cmp.Compare(a.Zone, b.Zone) })
	return changes
}
