package directory

import (
	"time"

	"carawayproxy.example/caraway/internal/fleet"
)

// A server says in its announcements how long it stays cold. It may become cold at any
// moment, and above all while nobody hears of it: while it restarts, does not respond, or
// is off the list. Once it is heard of again it counts as cold, until an announcement that
// was written later says how it is, or until one that says that it is cold would have been
// read: servers announce themselves again only when something has changed.

const (
	// coldEntryDelay is how long after a server is heard of again an entry may come that
	// shows it as cold: a heartbeat interval of a server, and the way of the entry.
	coldEntryDelay = 2 * time.Second
	// stallDoubt is how long after its streams have stalled a server that is silent may be
	// back, and be sent requests again: a stalled group is left out for 3 s.
	stallDoubt = 4 * time.Second
	// StallReports is how many peers must report within stallReportWindow that streams of
	// a server have stalled. A silent server stalls those of all daemons, while the stream
	// of one may only wait for others.
	StallReports      = 3
	stallReportWindow = time.Second
	// maxColdDoubt is how long a server counts as cold while the list can't be read, in
	// times of how long it is cold after a start.
	maxColdDoubt = 5
)

// ColdUntil returns the service of a listed server and the time at which it is warm at the
// latest, zero if it is not known to have been cold.
func (d *Directory) ColdUntil(id fleet.InstanceID, now time.Time) (service string, until time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	e := d.entries[id]
	if e == nil {
		return "", time.Time{}
	}
	until = e.coldUntil
	if coldStart := d.coldStart(e.server.Service); d.mayHaveBecomeCold(e, coldStart, now) {
		until = later(until, now.Add(coldStart))
	}
	return e.server.Service, until
}

// mayHaveBecomeCold reports whether a server is in doubt. Called with mu held.
func (d *Directory) mayHaveBecomeCold(e *entry, coldStart time.Duration, now time.Time) bool {
	if e.coldDoubtAt.IsZero() {
		return false
	}
	until := e.coldDoubtUntil
	if !d.unavailableSince.IsZero() {
		until = later(until, e.coldDoubtAt.Add(maxColdDoubt*coldStart))
	}
	return now.Before(until)
}

// MarkUnconfirmed records that a server may have become cold up to now, without an
// announcement that shows it yet.
func (d *Directory) MarkUnconfirmed(id fleet.InstanceID, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if e := d.entries[id]; e != nil {
		e.doubtCold(now)
	}
}

// MarkStalled records reports that a server's streams have stalled. With StallReports of
// them it may be silent altogether, and become cold meanwhile, unless it has just
// announced itself.
func (d *Directory) MarkStalled(id fleet.InstanceID, reports int, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	e := d.entries[id]
	if e == nil {
		return
	}
	if now.Sub(e.stalledAt) > stallReportWindow {
		e.stalledAt, e.stallReports = now, 0
	}
	if e.stallReports += reports; e.stallReports < StallReports || now.Sub(e.announcedAt) <= maxListLag {
		return
	}
	// Its silence began before, so that its next announcement counts.
	e.coldDoubtAt = later(e.coldDoubtAt, now.Add(-maxListLag))
	e.coldDoubtUntil = later(e.coldDoubtUntil, now.Add(stallDoubt))
}

func (d *Directory) coldStart(service string) time.Duration {
	if d.cfg.ColdStart == nil {
		return 0
	}
	return d.cfg.ColdStart(service)
}

func (e *entry) doubtCold(now time.Time) {
	e.coldDoubtAt = later(e.coldDoubtAt, now)
	e.coldDoubtUntil = later(e.coldDoubtUntil, now.Add(coldEntryDelay))
}

// recordAnnouncedCold records how long a server stays cold by its announcement, which is
// to replace the known one. What is left was written earlier than it was read, so that
// the server is warm by then. MayBeOld is set for an entry that may have been written at any
// time before, and so before the server became cold, or came into doubt.
func (e *entry) recordAnnouncedCold(s *Server, now time.Time, mayBeOld bool) {
	isNewProcess := e.announcedAt.IsZero() || e.server.Incarnation != s.Incarnation
	mayPrecedeDoubt := !e.coldDoubtAt.IsZero() && now.Sub(e.coldDoubtAt) <= maxListLag
	switch {
	case mayBeOld, mayPrecedeDoubt && !isNewProcess:
		if s.ColdLeft > 0 {
			e.coldUntil = later(e.coldUntil, now.Add(s.ColdLeft))
		}
		return
	case s.ColdLeft > 0:
		e.coldUntil = now.Add(s.ColdLeft)
	case e.coldUntil.After(now):
		e.coldUntil = now
	}
	e.coldDoubtAt, e.coldDoubtUntil = time.Time{}, time.Time{}
}

// recordAnsweredCold records how long a server stays cold by its direct answer, which is
// to replace the known state. A process that has not announced itself yet, or a server
// that did not respond before, may be cold although its answer does not say so.
func (e *entry) recordAnsweredCold(s *Server, asOf time.Time) {
	if s.ColdLeft > 0 {
		e.coldUntil = later(e.coldUntil, asOf.Add(s.ColdLeft))
	}
	if e.server.Incarnation != s.Incarnation || !e.failedAt.IsZero() {
		e.doubtCold(asOf)
	}
}

// extendDoubts extends the doubts that have not ended, because servers can announce
// themselves only from now on. Called with mu held.
func (d *Directory) extendDoubts(now time.Time) {
	for _, e := range d.entries {
		if d.mayHaveBecomeCold(e, d.coldStart(e.server.Service), now) {
			e.coldDoubtUntil = later(e.coldDoubtUntil, now.Add(coldEntryDelay))
		}
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
