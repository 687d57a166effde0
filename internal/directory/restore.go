package directory

import (
	"maps"
	"slices"
	"time"

	"carawayproxy.example/caraway/internal/fleet"
)

// A list that comes back from an older copy lacks the servers that have started since,
// shows servers that have left since, and others in an earlier state. Each server that
// runs writes its entry again soon if it differs. Until then what is known counts, as far
// as an entry contradicts it.

const (
	// departureRetention is how long a server is remembered that was removed from the
	// list, longer than the age of a copy: some seconds.
	departureRetention = time.Minute
	// departedGrace is how long the entry of a server that had left counts for nothing in
	// a restored list: the list drops a server after three silent heartbeat intervals of a
	// second or so, which may begin again when it returns.
	departedGrace = 10 * time.Second
)

// departure is the removal of a server from the list.
type departure struct {
	server Server
	at     time.Time
}

// withheldEntry is an entry of a restored list that contradicts what is known.
type withheldEntry struct {
	server Server
	until  time.Time
}

// remove removes a server that is gone from the list. Called with mu held.
func (d *Directory) remove(id fleet.InstanceID, now time.Time) {
	d.departures[id] = departure{d.entries[id].server, now}
	delete(d.entries, id)
	d.version++
}

// ListRestored records that the list has come back from an older copy: servers that are
// missing in it, or are removed from it soon after, may return.
func (d *Directory) ListRestored(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if until := now.Add(d.cfg.ReturnGrace); until.After(d.returnUntil) {
		d.returnUntil = until
	}
	d.extendDoubts(now)
	for id, gone := range d.departures {
		if now.Sub(gone.at) >= departureRetention {
			delete(d.departures, id)
		}
	}
}

// AnnounceRestored records a server's entry in a restored list. It returns false if the
// entry contradicts what is known, and is withheld until the server announces itself
// again, or for ReturnGrace, after which it is no longer that of a server that would have
// done so. The entry of a server that had left is withheld for departedGrace, and that of
// a process that another one has replaced counts as none.
func (d *Directory) AnnounceRestored(s Server, now time.Time) (accepted bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	e := d.entries[s.Instance]
	gone, left := d.departures[s.Instance]
	grace := d.cfg.ReturnGrace
	switch {
	case e != nil && s.Incarnation < e.server.Incarnation:
		e.missFromCopy(now.Add(grace))
		return false
	case e == nil && left && s.Incarnation < gone.server.Incarnation:
		delete(d.withheld, s.Instance)
		return false
	case e == nil && left && s.Incarnation == gone.server.Incarnation:
		s.Leaving = s.Leaving || gone.server.Leaving
		grace = departedGrace
	case e == nil || s.Incarnation > e.server.Incarnation:
		d.announce(s, now, true)
		return true
	case e.isUnlisted() && !e.missingInCopy:
		grace = departedGrace
	case !affectsViews(&e.server, &s) && slices.Equal(e.server.Staged, s.Staged):
		d.announce(s, now, true)
		return true
	}
	if e != nil && s.Leaving != e.server.Leaving {
		s.Leaving = true // nothing that leaves returns before its next start
		if !e.server.Leaving {
			e.server.Leaving = true
			d.version++
		}
	}
	d.withheld[s.Instance] = withheldEntry{s, now.Add(grace)}
	return false
}

// missFromCopy records that a restored list lacks the entry of a server, which may return
// until a later time.
func (e *entry) missFromCopy(until time.Time) {
	e.missingInCopy = e.missingInCopy || !e.isUnlisted()
	e.keptUntil = until
}

// releaseWithheld announces the withheld entries whose grace has ended. Called with mu
// held.
func (d *Directory) releaseWithheld(now time.Time) {
	for _, w := range d.withheld {
		if !now.Before(w.until) {
			d.announce(w.server, now, true)
		}
	}
}

// dropWithheld drops the withheld entries that are not listed any more. Called with mu
// held.
func (d *Directory) dropWithheld(listed map[fleet.InstanceID]bool) {
	maps.DeleteFunc(d.withheld, func(id fleet.InstanceID, _ withheldEntry) bool { return !listed[id] })
}

// RetainRestored is Retain for a restored list: all servers that are not in listed may
// return.
func (d *Directory) RetainRestored(listed map[fleet.InstanceID]bool, now time.Time) []Withdrawn {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.dropWithheld(listed)
	var kept []Withdrawn
	for id, e := range d.entries {
		if !listed[id] {
			e.missFromCopy(now.Add(d.cfg.ReturnGrace))
			kept = append(kept, Withdrawn{ID: id, Kept: true})
		}
	}
	return kept
}
