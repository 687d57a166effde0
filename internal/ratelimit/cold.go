package ratelimit

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rcrowley/go-metrics"

	"carawayproxy.example/caraway/internal/event"
	"carawayproxy.example/caraway/internal/fleet"
)

const (
	// windowShare is the part of the requests that a cold server may get in one second
	// that the owners together may send. The rest is for daemons that see another set of
	// daemons, and so take themselves for owners.
	windowShare = 0.75
	// After the end of cold, what all daemons together may send doubles every rampStep,
	// for rampSteps of them: the times of all daemons agree, and without it they would
	// all send what they hold back at one moment.
	rampStep  = 250 * time.Millisecond
	rampSteps = 4
	rampTime  = rampSteps * rampStep
	// coldRetention is how long the state of a server that is not asked for is kept.
	coldRetention = time.Minute
)

// ColdServer is what is known of a server that may be cold.
type ColdServer struct {
	// Until is the time at which it is warm at the latest; zero if it is not cold.
	Until time.Time
	// PerSecond is the number of requests a second that it takes while cold from all
	// daemons together; zero if it is never cold.
	PerSecond float64
}

// ColdConfig configures Cold. The functions must not block.
type ColdConfig struct {
	Self fleet.DaemonID
	// Daemons returns all daemons that may send requests, whether this one hears of
	// them or not. This daemon sends nothing to a cold server while it is not among
	// them.
	Daemons func() []fleet.DaemonID
	// Server returns what is known of a server.
	Server func(id fleet.InstanceID, now time.Time) ColdServer
	// In any second, a cold server may get Overshoot times its requests a second, and
	// Slack requests more.
	Overshoot, Slack float64
	Events           *event.Logger
	Metrics          metrics.Registry
}

// Cold limits what this daemon sends to servers that have started, or become cold,
// lately. Unlike an announced rate, the bound holds in each second, and it does not
// rest on hearing the other daemons: the owners of a server follow from its id and the
// names of the daemons alone. It is safe for concurrent use.
type Cold struct {
	cfg     ColdConfig
	daemons daemonSet
	shards  [shardCount]coldShard
	count   atomic.Int64 // servers that count as cold

	servers, skipped, sent metrics.Counter
}

type coldShard struct {
	mu      sync.Mutex
	servers map[fleet.InstanceID]*coldServer
}

// coldServer is the state of a server that counts as cold.
type coldServer struct {
	bucket
	ranking
	step   int // of the ramp, as of shareAt
	since  time.Time
	usedAt time.Time
}

// NewCold returns Cold without any server.
func NewCold(cfg ColdConfig) *Cold {
	c := &Cold{
		cfg: cfg, daemons: daemonSet{fetch: cfg.Daemons},
		servers: metrics.GetOrRegisterCounter("ratelimit.cold_servers", cfg.Metrics),
		skipped: metrics.GetOrRegisterCounter("ratelimit.cold_skipped", cfg.Metrics),
		sent:    metrics.GetOrRegisterCounter("ratelimit.cold_sent", cfg.Metrics),
	}
	for i := range c.shards {
		c.shards[i].servers = map[fleet.InstanceID]*coldServer{}
	}
	return c
}

// Wait returns whether a server counts as cold, and the time until this daemon may send
// it a request: zero if it may now.
func (c *Cold) Wait(id fleet.InstanceID, now time.Time) (cold bool, wait time.Duration) {
	c.with(id, now, func(s *coldServer, known ColdServer) {
		cold, wait = true, s.wait()
		if wait == never {
			wait = max(known.Until.Add(rampTime).Sub(now), rampStep)
		}
		if wait > 0 {
			c.skipped.Inc(1)
		}
	})
	return cold, wait
}

// Take charges this daemon's share with one request that is about to be sent to the
// server. It returns false if the server is cold and the share is used up.
func (c *Cold) Take(id fleet.InstanceID, now time.Time) bool {
	ok := true
	c.with(id, now, func(s *coldServer, _ ColdServer) {
		if ok = s.take(); ok {
			c.sent.Inc(1)
		} else {
			c.skipped.Inc(1)
		}
	})
	return ok
}

// with calls f with the state of a server if that counts as cold.
func (c *Cold) with(id fleet.InstanceID, now time.Time, f func(s *coldServer, known ColdServer)) {
	known := c.cfg.Server(id, now)
	isCold := known.PerSecond > 0 && !known.Until.IsZero() && now.Before(known.Until.Add(rampTime))
	if !isCold && c.count.Load() == 0 {
		return
	}
	sh := &c.shards[xxhash.Sum64String(string(id))%shardCount]
	sh.mu.Lock()
	defer sh.mu.Unlock()
	s := sh.servers[id]
	switch {
	case s == nil && !isCold:
		return
	case !isCold:
		c.end(sh, id, now)
		return
	case s == nil:
		c.expire(sh, now)
		s = &coldServer{bucket: bucket{credit: startCredit(id, c.cfg.Self), creditAt: now}, since: now}
		sh.servers[id] = s
		c.count.Add(1)
		c.servers.Inc(1)
		c.cfg.Events.Emit(eventColdServer, "instance", id, "for", known.Until.Sub(now).Round(time.Millisecond), "per_second", known.PerSecond)
	}
	s.usedAt = now
	c.update(id, s, known, now)
	f(s, known)
}

// startCredit returns the credit of a daemon for a server that has just become cold, between
// zero and one request. The daemons begin at different parts of one, so that they neither
// all wait nor all send at once.
func startCredit(server fleet.InstanceID, self fleet.DaemonID) float64 {
	const parts = 1000
	return float64(xxhash.Sum64String(string(server)+"/"+string(self))%parts) / parts
}

// update brings the share and the credit up to date. Called with the shard's lock held.
func (c *Cold) update(id fleet.InstanceID, s *coldServer, known ColdServer, now time.Time) {
	s.fill(1, now)
	step := rampStepAt(known.Until, now)
	if step == s.step && now.Sub(s.shareAt) < ShareTTL {
		return
	}
	s.step = step
	rank, n := c.daemons.rank(&s.ranking, id, c.cfg.Self, now)
	s.setShare(coldShare(rank, n, known.PerSecond, c.cfg.Overshoot, c.cfg.Slack, step), now)
}

// rampStepAt returns how often the rate has doubled at a time, for a server that is warm
// from until on.
func rampStepAt(until, now time.Time) int {
	if now.Before(until) {
		return 0
	}
	return 1 + int(now.Sub(until)/rampStep)
}

// coldShare returns the number of requests a second that the daemon at a rank in a cold
// server's ranking of n daemons may send to it, zero if it is no owner. With a credit of at most one request, a daemon sends
// at most 1 + share, rounded down, in any second, so that shares stay below the whole
// number that leaves all owners together within the bound.
func coldShare(rank, n int, perSecond, overshoot, slack float64, step int) float64 {
	bound := perSecond*overshoot + slack
	if bound < 1 || rank < 0 {
		return 0
	}
	scale := math.Pow(2, float64(step))
	window := max(math.Floor(bound*windowShare), 1) * scale
	owners := min(n, int(window))
	if !isOwner(rank, n, owners, 0) {
		return 0
	}
	most := math.Floor(window/float64(owners)) - 1e-6
	return min(perSecond*scale/float64(owners), most)
}

// end forgets a server that is warm. Called with the shard's lock held.
func (c *Cold) end(sh *coldShard, id fleet.InstanceID, now time.Time) {
	since := sh.servers[id].since
	delete(sh.servers, id)
	c.count.Add(-1)
	c.servers.Dec(1)
	c.cfg.Events.Emit(eventWarmServer, "instance", id, "after", now.Sub(since).Round(time.Millisecond))
}

// expire forgets the servers that have not been asked for. Called with the shard's lock
// held.
func (c *Cold) expire(sh *coldShard, now time.Time) {
	for id, s := range sh.servers {
		if now.Sub(s.usedAt) > coldRetention {
			c.end(sh, id, now)
		}
	}
}
