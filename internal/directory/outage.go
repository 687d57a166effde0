package directory

import (
	"time"

	"carawayproxy.example/caraway/internal/fleet"
)

// An entry of the list is removed when its server leaves, and also when the server
// could not renew it, as in an outage of the list. In the latter case the server goes
// on serving, and its entry returns soon after the outage. A server whose entry is
// removed then is kept for a while, unless it has left for certain.

const (
	// minOutage is the shortest outage after which servers that drop off the list are
	// kept. It is less than the shortest interval at which a server renews its entry,
	// so that a shorter outage can't remove the entry of a running server.
	minOutage = 800 * time.Millisecond
	// RequestWay is the time that a request may take to its server from the last check
	// that the server has not left, when there is a connection to it.
	RequestWay = 150 * time.Millisecond
)

// Withdrawn is a server that was removed from the list.
type Withdrawn struct {
	ID fleet.InstanceID
	// Kept is set if the server is only marked as unlisted, because it may return.
	Kept bool
}

// Withdraw removes a server from the list. If its entry may return until a later time,
// the server is only marked as unlisted until then, and Withdraw returns true.
func (d *Directory) Withdraw(id fleet.InstanceID, mayReturnUntil, now time.Time) (kept bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.withheld, id)
	e := d.entries[id]
	if e == nil {
		return false
	}
	// The entry of a server that has just returned is too new to have expired.
	hasReturned := !e.returnedAt.IsZero() && now.Sub(e.returnedAt) < d.cfg.ReturnGrace
	if now.Before(mayReturnUntil) && !hasReturned {
		if e.keptUntil.IsZero() {
			e.keptUntil = mayReturnUntil
			e.doubtCold(now)
		}
		return true
	}
	d.remove(id, now)
	return false
}

// isUnlisted reports whether the server has dropped off the list.
func (e *entry) isUnlisted() bool { return !e.keptUntil.IsZero() }

// isExpired reports whether the server has dropped off the list and can't return.
func (e *entry) isExpired(now time.Time) bool {
	return e.isUnlisted() && !now.Before(e.keptUntil)
}

// Retain removes all servers that are not in listed, like Withdraw, and returns them.
// It is called after the whole list was read.
func (d *Directory) Retain(listed map[fleet.InstanceID]bool, mayReturnUntil, now time.Time) []Withdrawn {
	d.mu.Lock()
	d.dropWithheld(listed)
	var gone []Withdrawn
	for id := range d.entries {
		if !listed[id] {
			gone = append(gone, Withdrawn{ID: id})
		}
	}
	d.mu.Unlock()
	for i := range gone {
		gone[i].Kept = d.Withdraw(gone[i].ID, mayReturnUntil, now)
	}
	return gone
}

// ListUnavailable records that the list can't be read. Since is the time as of which
// it was last known.
func (d *Directory) ListUnavailable(since time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.unavailableSince.IsZero() {
		d.unavailableSince = since
	}
}

// IsListUnavailable reports whether the last attempt to read the list has failed.
func (d *Directory) IsListUnavailable() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return !d.unavailableSince.IsZero()
}

// ReturnUntil returns the time until which servers that drop off the list may return,
// zero or past if they have left.
func (d *Directory) ReturnUntil() time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.returnUntil
}

// ListRead records that the list was read, before its changes are applied. It returns
// how long the list had been unavailable, and the unlisted servers that it removes
// because they have not returned in time.
func (d *Directory) ListRead(now time.Time) (outage time.Duration, removed []fleet.InstanceID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if since := d.unavailableSince; !since.IsZero() {
		outage = now.Sub(since)
		d.extendDoubts(now)
		d.unavailableSince, d.readableSince = time.Time{}, now
		d.returnUntil = d.returnAfter(since, now)
	}
	for id, e := range d.entries {
		if e.isExpired(now) {
			d.remove(id, now)
			removed = append(removed, id)
		}
	}
	d.releaseWithheld(now)
	return outage, removed
}

// returnAfter returns until when servers that drop off the list may return, after the
// list was known as of since and could be read again now.
//
// A lost answer or a pause of this process look like an outage. Servers that have left
// meanwhile did so after since, and none is kept too long until LeavingBound after it.
// Only an outage that has lasted for that long grants the whole ReturnGrace.
func (d *Directory) returnAfter(since, now time.Time) time.Time {
	switch outage := now.Sub(since); {
	case outage < minOutage:
		return time.Time{}
	case outage < d.cfg.LeavingBound:
		return since.Add(d.cfg.LeavingBound - RequestWay)
	default:
		return now.Add(d.cfg.ReturnGrace)
	}
}
