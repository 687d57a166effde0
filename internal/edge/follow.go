package edge

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"carawayproxy.example/caraway/internal/directory"
	"carawayproxy.example/caraway/internal/evacuation"
	"carawayproxy.example/caraway/internal/feed"
	"carawayproxy.example/caraway/internal/fleet"
	"carawayproxy.example/caraway/internal/membership"
)

const (
	// serversInterval is the time between two reads of the list at a daemon that
	// reads it for others, and holderServersInterval the time at the lease
	// holder, which forms groups. Each read returns all changes since the
	// previous one.
	serversInterval       = 400 * time.Millisecond
	holderServersInterval = 200 * time.Millisecond
	// listMaxBackoff is the longest pause after a read of the list that has failed. With
	// the timeout of a read it bounds how late the end of an outage is noticed, from
	// which returnGrace counts: both must end within 3 s of the outage, when the bound for
	// servers that leave holds again.
	listMaxBackoff = 400 * time.Millisecond
	// documentInterval is the least time between two reads of the document.
	documentInterval = 200 * time.Millisecond
	// daemonsPollTimeout is the long-poll duration for the list of daemons.
	// daemonsInterval is the least time between two reads, discoveryInterval that between
	// the first two, as those that start together appear then, and daemonsIntervalShare
	// what each known daemon adds to it once this one has started, so that restarts
	// do not make each of many daemons read each of their addresses.
	daemonsPollTimeout   = 30 * time.Second
	daemonsInterval      = 1500 * time.Millisecond
	discoveryInterval    = 300 * time.Millisecond
	daemonsIntervalShare = 50 * time.Millisecond
	// announceRetryDelay is the delay after a failed announcement.
	announceRetryDelay = 500 * time.Millisecond
)

// followOperator follows the routing document and the evacuations, which the operator
// writes to one topic.
func (d *Daemon) followOperator(ctx context.Context) {
	apply := func(items []feed.Item[OperatorRecord]) {
		for _, item := range items {
			d.applyOperatorRecord(item)
		}
	}
	f := feed.Follower[OperatorRecord]{
		Source:      operatorSource{d.env.Platform.OperatorRecords, d},
		Known:       d.operatorKnownUpTo,
		Wait:        func() time.Duration { return d.pollTimeout(documentPollTimeout) },
		Due:         d.isDocumentDue,
		MinInterval: func() time.Duration { return documentInterval },
		Sink: feed.Sink[OperatorRecord]{
			OnSnapshot: func(items []feed.Item[OperatorRecord], _ feed.Position) { apply(stateFirst(items)) },
			OnChanges:  func(items []feed.Item[OperatorRecord]) { apply(stateFirst(items)) }, // may be a complete read, too
			OnRead: func(r feed.Read) {
				d.documentReplica.recordRead(r.Next, r.At)
				d.evacuations.Advance(r.From, r.Next)
				d.documentReadAsOf.Store(int64(r.AsOf.Sub(d.started)))
				if d.storeUnavailable.Swap(false) {
					d.elector.RenewNow()
				}
				d.peersAtStoreContact.Store(int64(d.countRecentPeers()))
			},
			OnError: func(err error) {
				if !errors.Is(err, feed.ErrGap) { // with a gap, the store did respond
					d.storeUnavailable.Store(true)
				}
				d.events.Emit(eventStoreFailed, "what", "routing document", "error", err)
			},
		},
	}
	f.Run(ctx)
}

// stateFirst returns the items of a complete read with the evacuations in force before the
// document, and without the single records of evacuations: these are in the order of their
// keys rather than of their positions. Other items are returned as they are.
func stateFirst(items []feed.Item[OperatorRecord]) []feed.Item[OperatorRecord] {
	at := slices.IndexFunc(items, func(item feed.Item[OperatorRecord]) bool { return item.Value.IsState })
	if at < 0 {
		return items
	}
	out := []feed.Item[OperatorRecord]{items[at]}
	for _, item := range items {
		if !item.Value.IsState && item.Value.Zone == "" {
			out = append(out, item)
		}
	}
	return out
}

// operatorKnownUpTo returns the position up to which all records of the operator are
// known. Peers tell of the document and of evacuations apart from each other.
func (d *Daemon) operatorKnownUpTo() feed.Position {
	document, evacuations := d.documentReplica.knownUpTo(), d.evacuations.KnownUpTo()
	if evacuations.Before(document) {
		return evacuations
	}
	return document
}

func (d *Daemon) applyOperatorRecord(item feed.Item[OperatorRecord]) {
	switch {
	case item.Err != nil:
		d.skipBadRecord("routing document", item.Key, item.Position, item.Err)
	case item.Value.IsState:
		d.applyEvacuations(evacuation.State{At: item.Position, Zones: item.Value.Evacuated}, sourceStore)
	case item.Value.Zone != "":
		d.onEvacuationChanges(d.evacuations.Record(item.Value.Zone, !item.Deleted, item.Position, time.Now()), item.Position, sourceStore)
	case item.Deleted:
	default:
		d.onDocumentRead(item.Position, item.Value.Document, item.Read)
	}
}

// pollTimeout returns how long a read may wait for a change: a reader polls, others
// catch up.
func (d *Daemon) pollTimeout(reader time.Duration) time.Duration {
	if d.readsForOthers() {
		return reader
	}
	return 0
}

// listPollTimeout returns how long a read of the list may wait for a change. After an
// error it does not wait, so that the end of an outage is noticed soon.
func (d *Daemon) listPollTimeout() time.Duration {
	if d.directory.IsListUnavailable() {
		return 0
	}
	return d.pollTimeout(readerPollTimeout)
}

func (d *Daemon) followServers(ctx context.Context) {
	broadcast := false // whether the changes of the present read were broadcast
	f := feed.Follower[directory.Server]{
		Source:      d.env.Platform.Servers,
		Wait:        d.listPollTimeout,
		MaxBackoff:  listMaxBackoff,
		Due:         d.isListDue,
		Known:       d.listNews.knownUpTo,
		MinInterval: d.serversReadInterval,
		Sink: feed.Sink[directory.Server]{
			OnSnapshot: d.applyServerList,
			OnChanges: func(items []feed.Item[directory.Server]) {
				broadcast = d.applyServerChanges(items)
			},
			OnRead: func(r feed.Read) {
				if r.Next == r.From {
					broadcast = d.readsForOthers() // there was nothing to broadcast
				}
				d.listNews.recordRead(r, broadcast)
				broadcast = false
				d.listReadAt.Store(int64(r.At.Sub(d.started)))
				d.recordListKnown(r.At)
			},
			OnError: func(err error) {
				now := time.Now()
				if errors.Is(err, feed.ErrGap) { // the store did respond
					d.recordListKnown(now)
				} else {
					d.directory.ListUnavailable(d.listNews.knownAsOf(now))
				}
				d.events.Emit(eventStoreFailed, "what", "list of backend servers", "error", err)
			},
		},
	}
	f.Run(ctx)
}

// recordListKnown records that the store lets the list be read, by this daemon or by a
// peer that has told it all changes.
func (d *Daemon) recordListKnown(now time.Time) {
	outage, removed := d.directory.ListRead(now)
	if outage > 0 {
		d.events.Emit(eventListRecovered, "away", outage.Round(time.Millisecond), "kept_for", max(d.directory.ReturnUntil().Sub(now), 0).Round(time.Millisecond))
	}
	for _, id := range removed {
		d.events.Emit(eventServerNotReturned, "instance", id)
	}
}

func (d *Daemon) applyServerList(items []feed.Item[directory.Server], next feed.Position) {
	now := time.Now()
	listed := map[fleet.InstanceID]bool{}
	for _, item := range items {
		listed[fleet.InstanceID(item.Key)] = !item.Deleted
	}
	d.recordListKnown(now)
	if known := d.positions.end(); d.hasServerList.Load() && known.Era < next.Era {
		d.applyRestoredList(items, known, next, listed, now)
		return
	}
	until := d.directory.ReturnUntil()
	d.updateDirectory(items, sourceStore, func(feed.Position) time.Time { return until })
	d.positions.setBase(next)
	d.logUnlisted(d.directory.Retain(listed, until, now), next)
	d.hasServerList.Store(true)
}

// applyRestoredList applies a complete read of a list that has come back from an older
// copy since the position up to which it was known.
func (d *Daemon) applyRestoredList(items []feed.Item[directory.Server], known, next feed.Position, listed map[fleet.InstanceID]bool, now time.Time) {
	withheld := 0
	d.directory.ListRestored(now)
	for _, item := range items {
		switch {
		case !d.positions.advance(item.Key, item.Position):
		case item.Err != nil:
			d.skipBadRecord("list of backend servers", item.Key, item.Position, item.Err)
			d.directory.Unreadable(fleet.InstanceID(item.Key))
		case !item.Deleted && !d.directory.AnnounceRestored(item.Value, now):
			withheld++
		}
	}
	d.positions.setBase(next)
	d.detector.RecordAgain()
	missing := d.directory.RetainRestored(listed, now)
	d.events.Emit(eventStoreRestored, "era", next.Era, "before", known.Era, "position", next, "known", known,
		"servers", len(items), "withheld", withheld, "missing", len(missing))
	d.logUnlisted(missing, next)
}

func (d *Daemon) logUnlisted(servers []directory.Withdrawn, at feed.Position) {
	for _, w := range servers {
		d.events.Emit(eventServerUnlisted, "instance", w.ID, "source", sourceStore, "position", at, "kept", w.Kept)
	}
}

// applyServerChanges applies changes that this daemon has read. It reports whether all
// of them were broadcast to the other daemons.
func (d *Daemon) applyServerChanges(items []feed.Item[directory.Server]) bool {
	d.recordListKnown(time.Now())
	until := d.directory.ReturnUntil()
	left := d.updateDirectory(items, sourceStore, func(feed.Position) time.Time { return until })
	return d.readsForOthers() && d.broadcastChanges(items, until, left)
}

// Sources of changes of the list, for the log.
const (
	sourceStore = "store"
	sourcePeer  = "peer"
)

// updateDirectory applies changes of the list that this daemon read or that a
// peer broadcast. It skips changes that are older than the known state of a
// server. MayReturnUntil returns until when a server whose entry was removed at a
// position may return. updateDirectory returns the positions of the removals of
// servers that have left for certain.
func (d *Daemon) updateDirectory(items []feed.Item[directory.Server], source string, mayReturnUntil func(at feed.Position) time.Time) (left map[feed.Position]bool) {
	now := time.Now()
	left = map[feed.Position]bool{}
	for _, item := range items {
		if !d.positions.advance(item.Key, item.Position) {
			if item.Err == nil && !item.Deleted {
				d.directory.AnnouncedBefore(item.Value)
			}
			continue
		}
		switch {
		case item.Err != nil:
			d.skipBadRecord("list of backend servers", item.Key, item.Position, item.Err)
			d.directory.Unreadable(fleet.InstanceID(item.Key))
		case item.Deleted:
			kept := d.directory.Withdraw(fleet.InstanceID(item.Key), mayReturnUntil(item.Position), now)
			left[item.Position] = !kept
			d.events.Emit(eventServerUnlisted, "instance", item.Key, "source", source, "position", item.Position, "age", item.Age.Round(time.Millisecond), "kept", kept)
		default:
			d.directory.Announce(item.Value, now.Add(-item.Age))
		}
	}
	return left
}

// addressBook holds the endpoints of the other daemons.
type addressBook struct {
	mu        sync.Mutex
	endpoints map[string]membership.Endpoint // by daemon name
	era       uint64                         // of the last complete read
}

// showsAll reports whether a complete read that ended at position next has the endpoints
// of all daemons. After a restore of the store some may be missing, which their daemons
// publish again.
func (b *addressBook) showsAll(next feed.Position) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	restored := b.endpoints != nil && b.era < next.Era
	b.era = next.Era
	return !restored
}

// update applies endpoints that were read; complete is set if they are those of
// all daemons. A daemon whose endpoint can't be read keeps its last one.
func (b *addressBook) update(items []feed.Item[membership.Endpoint], complete bool) []membership.Endpoint {
	b.mu.Lock()
	defer b.mu.Unlock()
	before := b.endpoints
	if complete || b.endpoints == nil {
		b.endpoints = map[string]membership.Endpoint{}
	}
	for _, item := range items {
		last, known := before[item.Key]
		switch {
		case item.Deleted:
			delete(b.endpoints, item.Key)
		case item.Err == nil:
			b.endpoints[item.Key] = item.Value
		case known:
			b.endpoints[item.Key] = last
		}
	}
	var out []membership.Endpoint
	for _, name := range slices.Sorted(maps.Keys(b.endpoints)) {
		out = append(out, b.endpoints[name])
	}
	return out
}

// names returns the names of the daemons that have an endpoint.
func (b *addressBook) names() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.Collect(maps.Keys(b.endpoints))
}

func (b *addressBook) len() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.endpoints)
}

// daemonsReadInterval is the least time between two reads of the list of daemons.
func (d *Daemon) daemonsReadInterval() time.Duration {
	switch age := time.Since(d.started); {
	case age < 2*discoveryInterval:
		return discoveryInterval
	case age < startupPeriod:
		return daemonsInterval
	default:
		return d.longestDaemonsInterval()
	}
}

// longestDaemonsInterval is the longest time between two reads of the list of daemons, as
// every daemon computes it.
func (d *Daemon) longestDaemonsInterval() time.Duration {
	return max(daemonsInterval, time.Duration(d.addresses.len())*daemonsIntervalShare)
}

func (d *Daemon) followDaemons(ctx context.Context) {
	f := feed.Follower[membership.Endpoint]{
		Source:      d.env.Platform.Daemons,
		MaxWait:     daemonsPollTimeout,
		MinInterval: d.daemonsReadInterval,
		Sink: feed.Sink[membership.Endpoint]{
			OnSnapshot: func(items []feed.Item[membership.Endpoint], next feed.Position) {
				d.applyAddresses(items, d.addresses.showsAll(next))
				if d.announced.Load() && !d.isAnnounced(items) {
					go d.announce(ctx) // the store was restored from a copy without it
				}
			},
			OnChanges: func(items []feed.Item[membership.Endpoint]) { d.applyAddresses(items, false) },
			OnError:   func(err error) { d.events.Emit(eventStoreFailed, "what", "daemons", "error", err) },
		},
	}
	f.Run(ctx)
}

func (d *Daemon) applyAddresses(items []feed.Item[membership.Endpoint], complete bool) {
	for _, item := range items {
		if item.Err != nil {
			d.skipBadRecord("daemons", item.Key, item.Position, item.Err)
		}
	}
	d.mesh.SetEndpoints(d.addresses.update(items, complete))
	if d.addressReadAt.Load() == 0 && slices.Contains(d.addresses.names(), d.settings.Name) {
		d.addressReadAt.Store(int64(time.Since(d.started)))
	}
}

// endpoint returns the endpoint of this daemon.
func (d *Daemon) endpoint() membership.Endpoint {
	return membership.Endpoint{Address: d.peerAddress(), Zone: fleet.Zone(d.settings.Zone), Processors: d.settings.Processors}
}

// isAnnounced reports whether the endpoints of all daemons have that of this one.
func (d *Daemon) isAnnounced(items []feed.Item[membership.Endpoint]) bool {
	return slices.ContainsFunc(items, func(item feed.Item[membership.Endpoint]) bool {
		return item.Key == d.settings.Name && item.Err == nil && item.Value == d.endpoint()
	})
}

// skipBadRecord counts and logs a record that is skipped because it is invalid.
// Position is its offset in the store, or the version of a peer's broadcast.
func (d *Daemon) skipBadRecord(what string, key, position any, err error) {
	d.badRecords.Inc(1)
	d.events.Emit(eventBadRecord, "what", what, "key", key, "position", position, "error", err)
}

// announce publishes this daemon's endpoint once. It retries until it succeeds.
func (d *Daemon) announce(ctx context.Context) {
	d.announced.Store(false)
	for {
		err := d.env.Platform.Announce(ctx, d.settings.Name, d.endpoint())
		if err == nil {
			d.announced.Store(true)
		}
		if err == nil || ctx.Err() != nil {
			return
		}
		d.events.Emit(eventAnnounceFailed, "error", err)
		if !sleep(ctx, announceRetryDelay) {
			return
		}
	}
}
