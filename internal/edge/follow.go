package edge

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"carawayproxy.example/caraway/internal/directory"
	"carawayproxy.example/caraway/internal/feed"
	"carawayproxy.example/caraway/internal/fleet"
	"carawayproxy.example/caraway/internal/membership"
	"carawayproxy.example/caraway/internal/routes"
)

const (
	// documentWait is how long one read waits for a new document at a daemon that
	// watches the store closely. A read whose answer is lost is given up soon
	// after, within the two seconds in which a new version must be in force.
	documentWait = time.Second
	// documentWaitOthers is that of the others: what they miss they are told by
	// those, and every read that ends without news costs a call.
	documentWaitOthers = 8 * time.Second
	// serversWait is how long one read of the list waits for news, and
	// serversWaitReader that of a daemon which posts the changes to others: a
	// lost answer must show within the bound of two seconds for a server's
	// leaving.
	serversWait       = 3 * time.Second
	serversWaitReader = time.Second
	// serversEvery is the time between two readings of the list at a daemon
	// that reads for others, and leaderServersEvery that of the daemon that
	// forms groups. Each reading takes in all that changed.
	serversEvery       = 400 * time.Millisecond
	leaderServersEvery = 200 * time.Millisecond
	// relayedServersEvery is the time between two readings of the list while
	// another daemon posts its changes, at a daemon that watches the store
	// closely, and relayedServersOthers that of the rest. It makes up for news
	// that were lost.
	relayedServersEvery  = 1500 * time.Millisecond
	relayedServersOthers = 6 * time.Second
	// watchers is how many daemons watch the store closely, however many there
	// are.
	watchers = 5
	// missedAfter is how long a peer may have a newer document until this daemon
	// asks anew: its own read brings it at once as a rule.
	missedAfter = 200 * time.Millisecond
	// daemonsWait is how long one read waits for news of daemons.
	daemonsWait  = 25 * time.Second
	daemonsEvery = 1500 * time.Millisecond
	// announceAgain is the pause after an announcement that failed.
	announceAgain = 500 * time.Millisecond
)

// watches reports whether this daemon is one of the few that watch the store
// closely: of those that hear each other and that the store answers.
func (d *Daemon) watches() bool {
	ahead := 0
	own := xxhash.Sum64String(string(d.id))
	d.hears(func(p membership.Peer) bool {
		if !p.Heartbeat.Draining && !p.Heartbeat.StoreAway && xxhash.Sum64String(string(p.Heartbeat.From)) < own {
			ahead++
		}
		return ahead >= watchers
	})
	return ahead < watchers
}

func (d *Daemon) documentWait() time.Duration {
	if d.watches() {
		return documentWait
	}
	return documentWaitOthers
}

// findMissed wakes the read of the document when a peer has a newer one for
// longer than that read takes to bring it.
func (d *Daemon) findMissed(ctx context.Context) {
	var since time.Time
	for pause(ctx, missedAfter/3) {
		own := d.catalog().Revision
		switch newer := d.hears(func(p membership.Peer) bool { return p.Heartbeat.ConfigRevision > own }); {
		case !newer:
			since = time.Time{}
		case since.IsZero():
			since = time.Now()
		case time.Since(since) >= missedAfter:
			since = time.Time{}
			select {
			case d.missed <- struct{}{}:
			default: // the read is under way
			}
		}
	}
}

func (d *Daemon) followDocument(ctx context.Context) {
	take := func(items []feed.Item[*routes.Document]) {
		for _, item := range items {
			d.takeDocument(item)
		}
	}
	f := feed.Follower[*routes.Document]{
		Source: d.env.Platform.Documents,
		Wait:   d.documentWait,
		Wake:   d.missed,
		Sink: feed.Sink[*routes.Document]{
			All:     func(items []feed.Item[*routes.Document], _ uint64) { take(items) },
			Changes: take,
			Read: func(time.Time) {
				if d.storeAway.Swap(false) {
					d.tenure.Retry()
				}
				d.peersThen.Store(int64(d.countHeard()))
			},
			Failed: func(err error) {
				if !errors.Is(err, feed.ErrGap) { // the store is there
					d.storeAway.Store(true)
				}
				d.events.Emit(eventReadFailed, "what", "routing document", "error", err)
			},
		},
	}
	f.Run(ctx)
}

func (d *Daemon) takeDocument(item feed.Item[*routes.Document]) {
	switch {
	case item.Err != nil:
		d.events.Emit(eventBadRecord, "what", "routing document", "key", item.Key, "error", item.Err)
	case item.Dropped:
	case d.routes.Offer(item.Value):
		d.mesh.Hurry()
		d.events.Emit(eventDocument, "version", item.Value.Version, "routes", len(item.Value.Routes),
			"services", len(item.Value.Services), "workspaces", len(item.Value.Workspaces))
	}
}

func (d *Daemon) followServers(ctx context.Context) {
	f := feed.Follower[directory.Server]{
		Source: d.env.Platform.Servers,
		Wait:   d.serversWait,
		Every:  d.serversEvery,
		Sink: feed.Sink[directory.Server]{
			All: d.takeServers, Changes: d.takeServerChanges,
			Read: func(at time.Time) {
				d.readAt.Store(int64(at.Sub(d.started)))
				if away := d.directory.ListRead(at); away > 0 {
					d.events.Emit(eventListBack, "away", away.Round(time.Millisecond))
				}
			},
			Failed: func(err error) {
				if !errors.Is(err, feed.ErrGap) { // the store is there
					d.directory.ListAway(time.Now())
				}
				d.events.Emit(eventReadFailed, "what", "list of backend servers", "error", err)
			},
		},
	}
	f.Run(ctx)
}

func (d *Daemon) takeServers(items []feed.Item[directory.Server], next uint64) {
	now := time.Now()
	listed := map[fleet.InstanceID]bool{}
	for _, item := range items {
		listed[fleet.InstanceID(item.Key)] = !item.Dropped
	}
	d.takeServerChanges(items)
	d.seen.readWhole(next)
	d.directory.Retain(listed, now)
	d.listed.Store(true)
}

func (d *Daemon) takeServerChanges(items []feed.Item[directory.Server]) {
	d.takeNews(items)
	if d.reads() {
		d.post(items)
	}
}

// takeNews takes in changes of the list, read or posted by a peer. Those that
// are older than what is known of a server are passed over.
func (d *Daemon) takeNews(items []feed.Item[directory.Server]) {
	now := time.Now()
	for _, item := range items {
		if !d.seen.newer(item.Key, item.Position) {
			continue
		}
		switch {
		case item.Err != nil:
			d.events.Emit(eventBadRecord, "what", "list of backend servers", "key", item.Key, "error", item.Err)
		case item.Dropped:
			d.events.Emit(eventUnlisted, "instance", item.Key)
			d.directory.Withdraw(fleet.InstanceID(item.Key), now)
		default:
			d.directory.Announce(item.Value, now.Add(-item.Age))
		}
	}
}

// placeBook is where the other daemons can be reached.
type placeBook struct {
	mu sync.Mutex
	at map[string]string // address by name
}

func (b *placeBook) take(items []feed.Item[string], whole bool) []membership.Place {
	b.mu.Lock()
	defer b.mu.Unlock()
	if whole || b.at == nil {
		b.at = map[string]string{}
	}
	for _, item := range items {
		if item.Err == nil && !item.Dropped {
			b.at[item.Key] = item.Value
		} else {
			delete(b.at, item.Key)
		}
	}
	var out []membership.Place
	for _, name := range slices.Sorted(maps.Keys(b.at)) {
		out = append(out, membership.Place{Address: b.at[name]})
	}
	return out
}

func (d *Daemon) followDaemons(ctx context.Context) {
	f := feed.Follower[string]{
		Source: d.env.Platform.Daemons,
		Wait:   func() time.Duration { return daemonsWait },
		Every:  func() time.Duration { return daemonsEvery },
		Sink: feed.Sink[string]{
			All:     func(items []feed.Item[string], _ uint64) { d.mesh.SetPlaces(d.places.take(items, true)) },
			Changes: func(items []feed.Item[string]) { d.mesh.SetPlaces(d.places.take(items, false)) },
			Failed:  func(err error) { d.events.Emit(eventReadFailed, "what", "daemons", "error", err) },
		},
	}
	f.Run(ctx)
}

// announce tells the other daemons where this one is, once.
func (d *Daemon) announce(ctx context.Context) {
	for {
		err := d.env.Platform.Announce(ctx, d.set.Name, d.peerAddress())
		if err == nil || ctx.Err() != nil {
			return
		}
		d.events.Emit(eventAnnounceFailed, "error", err)
		if !pause(ctx, announceAgain) {
			return
		}
	}
}
