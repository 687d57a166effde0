package edge

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"carawayproxy.example/caraway/internal/directory"
	"carawayproxy.example/caraway/internal/feed"
	"carawayproxy.example/caraway/internal/fleet"
	"carawayproxy.example/caraway/internal/membership"
	"carawayproxy.example/caraway/internal/routes"
)

const (
	// documentPollTimeout and serversPollTimeout are the long-poll durations. A
	// read whose response is lost is aborted soon after. For the document this
	// must happen within the 2 s in which a new version has to take effect.
	documentPollTimeout = 1200 * time.Millisecond
	serversPollTimeout  = 3 * time.Second
	// serversInterval is the time between two reads of the list at a daemon that
	// reads it for others, and holderServersInterval the time at the lease
	// holder, which forms groups. Each read returns all changes since the
	// previous one.
	serversInterval       = 400 * time.Millisecond
	holderServersInterval = 200 * time.Millisecond
	// relayedServersInterval is the time between two reads of the list while
	// another daemon broadcasts its changes. These reads compensate for lost
	// broadcasts, and for a reader that the store rejects, within the limit of
	// 2 s for noticing that a server has left.
	relayedServersInterval = 1500 * time.Millisecond
	// daemonsPollTimeout is the long-poll duration for the list of daemons.
	daemonsPollTimeout = 10 * time.Second
	daemonsInterval    = 1500 * time.Millisecond
	// announceRetryDelay is the delay after a failed announcement.
	announceRetryDelay = 500 * time.Millisecond
)

func (d *Daemon) followDocument(ctx context.Context) {
	apply := func(items []feed.Item[*routes.Document]) {
		for _, item := range items {
			d.applyDocument(item)
		}
	}
	f := feed.Follower[*routes.Document]{
		Source:  d.env.Platform.Documents,
		MaxWait: documentPollTimeout,
		Sink: feed.Sink[*routes.Document]{
			OnSnapshot: func(items []feed.Item[*routes.Document], _ uint64) { apply(items) },
			OnChanges:  apply,
			OnRead: func(time.Time) {
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

func (d *Daemon) applyDocument(item feed.Item[*routes.Document]) {
	switch {
	case item.Err != nil:
		d.skipBadRecord("routing document", item.Key, item.Position, item.Err)
	case item.Deleted:
	case d.routes.Update(item.Value):
		d.directory.InvalidateGroups()
		d.mesh.RequestHeartbeat()
		d.events.Emit(eventDocument, "version", item.Value.Version, "routes", len(item.Value.Routes),
			"services", len(item.Value.Services), "workspaces", len(item.Value.Workspaces))
	}
}

func (d *Daemon) followServers(ctx context.Context) {
	f := feed.Follower[directory.Server]{
		Source:      d.env.Platform.Servers,
		MaxWait:     serversPollTimeout,
		MinInterval: d.serversReadInterval,
		Sink: feed.Sink[directory.Server]{
			OnSnapshot: d.applyServerList, OnChanges: d.applyServerChanges,
			OnRead: func(at time.Time) {
				d.listReadAt.Store(int64(at.Sub(d.started)))
				if outage := d.directory.ListRead(at); outage > 0 {
					d.events.Emit(eventListRecovered, "away", outage.Round(time.Millisecond))
				}
			},
			OnError: func(err error) {
				if !errors.Is(err, feed.ErrGap) { // with a gap, the store did respond
					d.directory.ListUnavailable(time.Now())
				}
				d.events.Emit(eventStoreFailed, "what", "list of backend servers", "error", err)
			},
		},
	}
	f.Run(ctx)
}

func (d *Daemon) applyServerList(items []feed.Item[directory.Server], next uint64) {
	now := time.Now()
	listed := map[fleet.InstanceID]bool{}
	for _, item := range items {
		listed[fleet.InstanceID(item.Key)] = !item.Deleted
	}
	d.applyServerChanges(items)
	d.positions.setBase(next)
	d.directory.Retain(listed, now)
	d.hasServerList.Store(true)
}

func (d *Daemon) applyServerChanges(items []feed.Item[directory.Server]) {
	d.updateDirectory(items)
	if d.isReader() {
		d.broadcastChanges(items)
	}
}

// updateDirectory applies changes of the list that this daemon read or that a
// peer broadcast. It skips changes that are older than the known state of a
// server.
func (d *Daemon) updateDirectory(items []feed.Item[directory.Server]) {
	now := time.Now()
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
			d.events.Emit(eventServerUnlisted, "instance", item.Key)
			d.directory.Withdraw(fleet.InstanceID(item.Key), now)
		default:
			d.directory.Announce(item.Value, now.Add(-item.Age))
		}
	}
}

// addressBook holds the addresses of the other daemons.
type addressBook struct {
	mu        sync.Mutex
	addresses map[string]string // daemon name to address
}

// update applies addresses that were read; complete is set if they are those of
// all daemons. A daemon whose address can't be read keeps its last one.
func (b *addressBook) update(items []feed.Item[string], complete bool) []membership.Endpoint {
	b.mu.Lock()
	defer b.mu.Unlock()
	before := b.addresses
	if complete || b.addresses == nil {
		b.addresses = map[string]string{}
	}
	for _, item := range items {
		last, known := before[item.Key]
		switch {
		case item.Deleted:
			delete(b.addresses, item.Key)
		case item.Err == nil:
			b.addresses[item.Key] = item.Value
		case known:
			b.addresses[item.Key] = last
		}
	}
	var out []membership.Endpoint
	for _, name := range slices.Sorted(maps.Keys(b.addresses)) {
		out = append(out, membership.Endpoint{Address: b.addresses[name]})
	}
	return out
}

// names returns the names of the daemons that have an address.
func (b *addressBook) names() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.Collect(maps.Keys(b.addresses))
}

func (d *Daemon) followDaemons(ctx context.Context) {
	f := feed.Follower[string]{
		Source:      d.env.Platform.Daemons,
		MaxWait:     daemonsPollTimeout,
		MinInterval: func() time.Duration { return daemonsInterval },
		Sink: feed.Sink[string]{
			OnSnapshot: func(items []feed.Item[string], _ uint64) { d.applyAddresses(items, true) },
			OnChanges:  func(items []feed.Item[string]) { d.applyAddresses(items, false) },
			OnError:    func(err error) { d.events.Emit(eventStoreFailed, "what", "daemons", "error", err) },
		},
	}
	f.Run(ctx)
}

func (d *Daemon) applyAddresses(items []feed.Item[string], complete bool) {
	for _, item := range items {
		if item.Err != nil {
			d.skipBadRecord("daemons", item.Key, item.Position, item.Err)
		}
	}
	d.mesh.SetEndpoints(d.addresses.update(items, complete))
}

// skipBadRecord counts and logs a record that is skipped because it is invalid.
// Position is its offset in the store, or the version of a peer's broadcast.
func (d *Daemon) skipBadRecord(what string, key any, position uint64, err error) {
	d.badRecords.Inc(1)
	d.events.Emit(eventBadRecord, "what", what, "key", key, "position", position, "error", err)
}

// announce publishes this daemon's address once. It retries until it succeeds.
func (d *Daemon) announce(ctx context.Context) {
	for {
		err := d.env.Platform.Announce(ctx, d.settings.Name, d.peerAddress())
		if err == nil || ctx.Err() != nil {
			return
		}
		d.events.Emit(eventAnnounceFailed, "error", err)
		if !sleep(ctx, announceRetryDelay) {
			return
		}
	}
}
