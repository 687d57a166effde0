// Package ratelimit keeps what backend servers in need ask of the daemons.
//
// A server names in its answers how many requests a second it takes from all
// daemons together. A few daemons, the owners, send requests to it, each at an equal
// share of that rate. A server that turns a request away may also ask the daemon
// that it came from for a pause, which that daemon keeps by itself. The package
// performs no I/O.
package ratelimit

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"carawayproxy.example/caraway/internal/event"
	"carawayproxy.example/caraway/internal/fleet"
)

const (
	shardCount = 16
	// ShareTTL is how long the set of daemons, and a daemon's share of a server's
	// rate, are cached.
	ShareTTL = 500 * time.Millisecond
	// announceInterval is the time between two announcements of an unchanged rate.
	announceInterval = 4 * time.Second
	// ownerTurn is how long the owners of a server may send it nothing, before the
	// next daemons in its ranking become its owners. It is more than two
	// announcements long.
	ownerTurn = 10 * time.Second
	// retention is how long a rate is kept without any answer of its server.
	retention = 5 * time.Minute
	// minRate is the rate, in requests a second, at which a server is sent requests
	// that announces a lower one. Without requests its limit would never end.
	minRate = 0.1
	// burstSeconds is how much of its share a daemon may save up, in seconds of it;
	// always one request.
	burstSeconds = 1.0
)

// Announcement is what is known of one server's rate.
type Announcement struct {
	Server fleet.InstanceID
	// PerSecond is the number of requests a second that the server takes from all
	// daemons together. Unlimited is set if it announces none any more.
	PerSecond float64
	Unlimited bool
	// Version orders the announcements for a server.
	Version uint64
	// At is when the answer arrived.
	At time.Time
}

// Config configures Limits. The functions must not block.
type Config struct {
	Self fleet.DaemonID
	// Daemons returns the daemons among which rates are shared. This daemon sends
	// nothing to a limited server while it is not among them.
	Daemons func() []fleet.DaemonID
	// Announce sends what this daemon has learned to the other daemons.
	Announce func(Announcement)
	Events   *event.Logger
}

// Limits tracks the rates that servers announce and this daemon's use of its
// shares. It is safe for concurrent use.
type Limits struct {
	cfg     Config
	limited atomic.Int64 // servers with a rate
	shards  [shardCount]shard
	daemons daemonSet
}

type shard struct {
	mu      sync.Mutex
	servers map[fleet.InstanceID]*server
}

// server is the state of one server.
type server struct {
	Announcement
	announcedAt time.Time
	bucket
	ranking
}

// New returns Limits without any rate.
func New(cfg Config) *Limits {
	l := &Limits{cfg: cfg, daemons: daemonSet{fetch: cfg.Daemons}}
	for i := range l.shards {
		l.shards[i].servers = map[fleet.InstanceID]*server{}
	}
	return l
}

func (l *Limits) shard(id fleet.InstanceID) *shard {
	return &l.shards[xxhash.Sum64String(string(id))%shardCount]
}

// ObserveRate records an answer of a server that announces perSecond requests a
// second.
func (l *Limits) ObserveRate(id fleet.InstanceID, perSecond float64, now time.Time) {
	sh := l.shard(id)
	sh.mu.Lock()
	s := sh.servers[id]
	if s == nil {
		sh.expire(l, now)
		s = &server{Announcement: Announcement{Server: id, Unlimited: true}}
		sh.servers[id] = s
	}
	changed := s.Unlimited || s.PerSecond != perSecond
	if changed {
		s.Version++
		l.setRate(s, perSecond, false, "answer", now)
	}
	s.At = now
	announce := changed || now.Sub(s.announcedAt) >= announceInterval
	if announce {
		if !changed {
			s.Version++
		}
		s.announcedAt = now
	}
	a := s.Announcement
	sh.mu.Unlock()
	if announce {
		l.cfg.Announce(a)
	}
}

// ObserveNoRate records an answer of a server that announces no rate, to a
// request that was sent at sentAt. Requests that were sent before the last answer
// with a rate show nothing, because answers overtake each other.
func (l *Limits) ObserveNoRate(id fleet.InstanceID, sentAt, now time.Time) {
	if l.limited.Load() == 0 {
		return
	}
	sh := l.shard(id)
	sh.mu.Lock()
	s := sh.servers[id]
	if s == nil || s.Unlimited || !sentAt.After(s.At) {
		sh.mu.Unlock()
		return
	}
	s.Version++
	l.setRate(s, 0, true, "answer", now)
	s.At, s.announcedAt = now, now
	a := s.Announcement
	sh.mu.Unlock()
	l.cfg.Announce(a)
}

// Apply records what another daemon has learned. Older news than what is known is
// ignored.
func (l *Limits) Apply(a Announcement, now time.Time) {
	sh := l.shard(a.Server)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	s := sh.servers[a.Server]
	if s == nil {
		sh.expire(l, now)
		s = &server{Announcement: Announcement{Server: a.Server, Unlimited: true}}
		sh.servers[a.Server] = s
	}
	s.Version = max(s.Version, a.Version)
	if a.At.Before(s.At) {
		return
	}
	if s.Unlimited != a.Unlimited || s.PerSecond != a.PerSecond {
		l.setRate(s, a.PerSecond, a.Unlimited, "peer", now)
	}
	s.At, s.announcedAt = a.At, a.At
}

// setRate changes the rate of a server. Called with the shard's lock held.
func (l *Limits) setRate(s *server, perSecond float64, unlimited bool, source string, now time.Time) {
	switch {
	case unlimited && !s.Unlimited:
		l.limited.Add(-1)
		l.cfg.Events.Emit(eventRateEnded, "instance", s.Server, "per_second", s.PerSecond, "source", source)
	case !unlimited:
		if s.Unlimited {
			l.limited.Add(1)
			s.credit, s.creditAt, s.share = 0, now, 0
		}
		daemons, _ := l.daemons.current(now)
		l.cfg.Events.Emit(eventRateAnnounced, "instance", s.Server, "per_second", perSecond, "source", source, "daemons", len(daemons))
	}
	s.PerSecond, s.Unlimited = perSecond, unlimited
	s.shareAt = time.Time{}
}

// expire removes the servers that have not answered for retention. Called with mu
// held.
func (sh *shard) expire(l *Limits, now time.Time) {
	for id, s := range sh.servers {
		if now.Sub(s.At) > retention {
			if !s.Unlimited {
				l.limited.Add(-1)
			}
			delete(sh.servers, id)
		}
	}
}

// Wait returns the time until this daemon may send the server a request: zero if
// it may now or the server announces no rate.
func (l *Limits) Wait(id fleet.InstanceID, now time.Time) time.Duration {
	if l.limited.Load() == 0 {
		return 0
	}
	sh := l.shard(id)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	s := sh.servers[id]
	if s == nil || s.Unlimited {
		return 0
	}
	l.update(s, now)
	return s.wait()
}

// Take charges this daemon's share with one request that is about to be sent to
// the server. It returns false if the share is used up.
func (l *Limits) Take(id fleet.InstanceID, now time.Time) bool {
	if l.limited.Load() == 0 {
		return true
	}
	sh := l.shard(id)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	s := sh.servers[id]
	if s == nil || s.Unlimited {
		return true
	}
	l.update(s, now)
	return s.take()
}

// Limited returns the number of servers that announce a rate.
func (l *Limits) Limited() int { return int(l.limited.Load()) }

// update brings the share and the credit up to date. Called with the shard's lock
// held.
func (l *Limits) update(s *server, now time.Time) {
	s.fill(max(1, s.share*burstSeconds), now)
	if now.Sub(s.shareAt) < ShareTTL {
		return
	}
	rank, n := l.daemons.rank(&s.ranking, s.Server, l.cfg.Self, now)
	s.setShare(shareOf(s.Announcement, rank, n, now), now)
}
