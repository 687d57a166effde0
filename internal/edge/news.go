package edge

import (
	"sync"
	"time"

	"carawayproxy.example/caraway/internal/feed"
	"carawayproxy.example/caraway/internal/membership"
)

// All daemons share the store's call limit, and each call has a price. Therefore only
// a reader follows the list of backend servers and the routing document: the lease
// holder, or a daemon that hears of no reader. It broadcasts the changes of the list
// and of the document, and tells up to which position and as of when it has read; its
// heartbeats tell when it last read the document. The others are as current as the
// newest such news that covers what they have. Once that is older than the patience that
// budget allows, they read for themselves, so that nothing rests on a reader: one
// that is dead, cut off, frozen or turned away by the store only costs the others a
// read each.

// minReaderAge is how long after its start a daemon without the lease begins to read for
// others: before, it may not have heard of their readers yet.
const minReaderAge = time.Second

// listNews tracks up to which position of the list all changes are known to this
// daemon, and which of them it has broadcast. It is safe for concurrent use.
type listNews struct {
	patience time.Duration // the maximum age of a position that is told

	mu   sync.Mutex
	next feed.Position // all changes before it have been applied
	asOf time.Time     // when the list certainly ended at next or later
	// relayedSince is the position from which on this daemon has all changes by
	// broadcasts, its own included.
	relayedSince feed.Position
	// sentSince and sentNext are the range of the changes that this daemon has itself
	// broadcast. It read them as of sentAsOf, zero for none.
	sentSince, sentNext feed.Position
	sentAsOf            time.Time
}

// recordRead records a read of this daemon. The changes that it returned have been
// applied and, if broadcast is set, sent to all other daemons.
func (n *listNews) recordRead(r feed.Read, broadcast bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if r.Complete || !r.Next.Before(n.next) {
		n.next, n.asOf = r.Next, latest(n.asOf, r.AsOf)
	}
	switch {
	case r.Complete || !broadcast:
		if r.Complete || r.Next != r.From {
			n.relayedSince = n.next
		}
		n.sentSince, n.sentNext, n.sentAsOf = r.Next, r.Next, time.Time{}
		return
	case n.sentNext != r.From:
		n.sentSince = r.From
	}
	n.sentNext, n.sentAsOf = r.Next, r.AsOf
}

// position returns how far this daemon's broadcasts, or those of all daemons, cover the
// list; nil if that is not known as of lately.
func (n *listNews) position(relayed bool, now time.Time) *membership.ListPosition {
	n.mu.Lock()
	defer n.mu.Unlock()
	since, next, asOf := n.sentSince, n.sentNext, n.sentAsOf
	if relayed {
		since, next, asOf = n.relayedSince, n.next, n.asOf
	}
	if asOf.IsZero() || now.Sub(asOf) > n.patience {
		return nil
	}
	return &membership.ListPosition{Era: next.Era, Since: since.Offset, Next: next.Offset, AgeMilli: ageMilli(now, asOf)}
}

// confirm applies a peer's position: all changes that it covers have been applied, as
// of a time. It reports whether this daemon's copy of the list is more current now.
func (n *listNews) confirm(p membership.ListPosition, asOf time.Time) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.asOf.IsZero() || p.Era != n.next.Era || p.Since > n.next.Offset || p.Next < n.next.Offset || !asOf.After(n.asOf) {
		return false // this daemon lacks changes before it, or knows as much
	}
	n.next.Offset, n.asOf = p.Next, asOf
	return true
}

// knownUpTo returns the position up to which all changes of the list have been applied.
func (n *listNews) knownUpTo() feed.Position {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.next
}

// knownAsOf returns as of when this daemon's copy of the list is current, now if it has
// none.
func (n *listNews) knownAsOf(now time.Time) time.Time {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.asOf.IsZero() {
		return now
	}
	return n.asOf
}

// age returns how old this daemon's copy of the list may be.
func (n *listNews) age(now time.Time) time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	return now.Sub(n.asOf)
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// ageMilli returns an age in milliseconds, rounded up.
func ageMilli(now, at time.Time) uint64 {
	return uint64(max(now.Sub(at)+time.Millisecond-1, 0) / time.Millisecond)
}

// readsForOthers reports whether this daemon is to read the list and the document for
// others: the lease holder, and among daemons with links to all others that hear of no
// holder the one with the lowest ID.
func (d *Daemon) readsForOthers() bool {
	if d.groupController.HoldsLease() {
		return true
	}
	if !d.mesh.IsHub() || time.Since(d.started) < minReaderAge {
		return false
	}
	return !d.anyRecentPeer(func(p membership.Peer) bool {
		return p.Heartbeat.IsReader && (p.Heartbeat.HoldsScope || p.Heartbeat.From < d.id)
	})
}

// isReader reports whether this daemon reads the list for others and has done so
// lately.
func (d *Daemon) isReader() bool {
	read := time.Since(d.started) - time.Duration(d.listReadAt.Load())
	return d.hasServerList.Load() && read <= min(maxReaderAge, d.budget.listPatience) && d.readsForOthers()
}

// onListPosition applies a peer's position of the list.
func (d *Daemon) onListPosition(p membership.ListPosition, asOf time.Time) {
	if d.listNews.confirm(p, asOf) {
		d.recordListKnown(time.Now())
	}
}

// isListDue reports whether this daemon should read the changes of the list.
func (d *Daemon) isListDue() bool {
	if d.readsForOthers() {
		return true
	}
	return d.listNews.age(time.Now()) > d.budget.listPatience
}

// isDocumentDue reports whether this daemon should read the routing document: if there is
// a newer version that no broadcast has brought in time, and if no peer has lately found
// that there is none, and no evacuation that this daemon does not know.
func (d *Daemon) isDocumentDue() bool {
	now := time.Now()
	switch behind := d.documentBehindFor(now); {
	case d.storeUnavailable.Load() || d.readsForOthers():
		return true
	case behind > 0:
		return behind > d.documentReplica.patience()
	}
	revision, evacuations := d.catalog().Revision, d.evacuations.KnownUpTo()
	asOf := d.started.Add(time.Duration(d.documentReadAsOf.Load()))
	for _, p := range d.mesh.View().Peers {
		if h := &p.Heartbeat; h.ConfigRevision == revision && h.DocumentReadAge >= 0 && !p.SentAt.IsZero() && coversEvacuations(evacuations, h.Evacuations) {
			asOf = latest(asOf, p.SentAt.Add(-h.DocumentReadAge))
		}
	}
	return now.Sub(asOf) > d.documentPatience()
}

// documentReadAge returns how long ago this daemon read the document, negative if it
// has not lately.
func (d *Daemon) documentReadAge(now time.Time) time.Duration {
	age := now.Sub(d.started.Add(time.Duration(d.documentReadAsOf.Load())))
	if d.storeUnavailable.Load() || age > d.documentPatience() {
		return -1
	}
	return age
}

// documentPatience returns the maximum age of the present routing document.
func (d *Daemon) documentPatience() time.Duration {
	return d.budget.patienceFor(d.documentReplica.isSmall())
}
