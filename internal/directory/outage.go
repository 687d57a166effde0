package directory

import (
	"time"

	"carawayproxy.example/caraway/internal/fleet"
)

// minOutage is the shortest outage after which servers get ReturnGrace. It is
// less than the shortest interval at which a server renews its announcement, so
// a shorter outage can't make a running server drop off the list.
const minOutage = 800 * time.Millisecond

// Withdrawn is a server that was removed from the list.
type Withdrawn struct {
	ID fleet.InstanceID
	// Kept is set if the server is only marked as unlisted, because it may return.
	Kept bool
}

// Withdraw removes a server from the list. During an outage of the list, and for
// ReturnGrace after it, the server is only marked as unlisted, because it may
// have been unable to announce itself. Withdraw reports whether that is so.
func (d *Directory) Withdraw(id fleet.InstanceID, now time.Time) (kept bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	e := d.entries[id]
	if e == nil {
		return false
	}
	if d.inReturnGrace(now) {
		if e.unlistedAt.IsZero() {
			e.unlistedAt = now
		}
		return true
	}
	delete(d.entries, id)
	d.version++
	return false
}

func (d *Directory) inReturnGrace(now time.Time) bool {
	return !d.unavailableSince.IsZero() ||
		(!d.recoveredAt.IsZero() && now.Sub(d.recoveredAt) < d.cfg.ReturnGrace)
}

// Retain removes all servers that are not in listed, and returns them. It is called
// after the whole list was read.
func (d *Directory) Retain(listed map[fleet.InstanceID]bool, now time.Time) []Withdrawn {
	d.mu.Lock()
	var gone []Withdrawn
	for id := range d.entries {
		if !listed[id] {
			gone = append(gone, Withdrawn{ID: id})
		}
	}
	d.mu.Unlock()
	for i := range gone {
		gone[i].Kept = d.Withdraw(gone[i].ID, now)
	}
	return gone
}

// ListUnavailable records that the list can't be read, and since when that may be so.
func (d *Directory) ListUnavailable(since time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.unavailableSince.IsZero() {
		d.unavailableSince = since
	}
}

// InReturnGrace reports whether servers that drop off the list may return.
func (d *Directory) InReturnGrace(now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.inReturnGrace(now)
}

// BeginReturnGrace records that an outage of the list has just ended, of which only
// another daemon knows.
func (d *Directory) BeginReturnGrace(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.inReturnGrace(now) {
		d.recoveredAt = now
	}
}

// ListRead records that the list was read. It returns how long the list had been
// unavailable, and the unlisted servers that it removes because their grace period
// has ended.
func (d *Directory) ListRead(now time.Time) (outage time.Duration, removed []fleet.InstanceID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.unavailableSince.IsZero() {
		outage = now.Sub(d.unavailableSince)
		d.unavailableSince = time.Time{}
		if outage >= minOutage {
			d.recoveredAt = now
		}
	}
	if d.inReturnGrace(now) {
		return outage, nil
	}
	for id, e := range d.entries {
		if !e.unlistedAt.IsZero() {
			delete(d.entries, id)
			removed = append(removed, id)
			d.version++
		}
	}
	return outage, removed
}
