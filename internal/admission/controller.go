package admission

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"carawayproxy.example/caraway/internal/fleet"
	"carawayproxy.example/caraway/internal/invariant"
	"carawayproxy.example/caraway/internal/routing"
)

// shardCount is the number of lock shards of a Controller.
const shardCount = 16

// Config configures a Controller. The zero value is usable.
type Config struct {
	// Seed seeds the random jitter of retry delays.
	Seed uint64
	// NewLimiter creates the limiter of one service. It defaults to NewAIMD
	// with default settings.
	NewLimiter func() Limiter
	// OverShareFraction is the fraction of the limit, 0 to 1, up to which
	// workspaces may exceed their fair share while other workspaces are
	// active. It defaults to DefaultOverShareFraction.
	OverShareFraction float64
	// AllGroups lets requests of a flooding workspace use all groups. Idle
	// groups are then used, at the cost of the other workspaces' latency.
	AllGroups bool
}

// DefaultOverShareFraction is the default of Config.OverShareFraction.
const DefaultOverShareFraction = 0.85

// Ticket represents an admitted request. It must be released exactly once.
type Ticket interface {
	// Release ends the request and reports its result.
	Release(now time.Time, res Result)
	// OverShare reports whether the workspace exceeded its fair share when the
	// request was admitted. Such a request must be sent to engines with a lower
	// priority, so that it uses idle capacity without delaying others.
	OverShare() bool
}

// Controller decides whether requests may start. It never queues: a request is
// admitted or refused immediately. The state is sharded by service, and every
// shard has its own lock. A Controller is safe for concurrent use.
type Controller struct {
	cfg    Config
	shards [shardCount]shard
}

type shard struct {
	mu       sync.Mutex
	services map[fleet.ServiceName]*service
}

// NewController returns a Controller with no requests in flight.
func NewController(cfg Config) *Controller {
	if cfg.NewLimiter == nil {
		cfg.NewLimiter = func() Limiter { return NewAIMD(AIMDConfig{}) }
	}
	if cfg.OverShareFraction == 0 {
		cfg.OverShareFraction = DefaultOverShareFraction
	}
	c := &Controller{cfg: cfg}
	for i := range c.shards {
		c.shards[i].services = map[fleet.ServiceName]*service{}
	}
	return c
}

// Admit admits or refuses the request immediately. A refusal has run state
// NOT_RUN, the reason deadline or overloaded, and a retry delay.
func (c *Controller) Admit(now time.Time, req Request) (Ticket, *fleet.Failure) {
	hash := xxhash.Sum64String(string(req.Service))
	sh := &c.shards[hash%shardCount]
	sh.mu.Lock()
	defer sh.mu.Unlock()
	s := sh.services[req.Service]
	if s == nil {
		s = newService(c.cfg, rand.New(rand.NewPCG(c.cfg.Seed, hash)))
		sh.services[req.Service] = s
	}
	w, overShare, failure := s.admit(now, req)
	if failure != nil {
		return nil, failure
	}
	return &ticket{shard: sh, service: s, workspace: w, overShare: overShare}, nil
}

// GroupRange returns the range of a service's groups that requests of a
// workspace should currently use; the zero value means all groups. A workspace
// that floods is confined to its fair share of the groups. The other workspaces
// use the remaining groups and, depending on their load, the last groups of the
// flooding workspaces.
func (c *Controller) GroupRange(now time.Time, name fleet.ServiceName, from fleet.Workspace) routing.GroupRange {
	sh := &c.shards[xxhash.Sum64String(string(name))%shardCount]
	sh.mu.Lock()
	defer sh.mu.Unlock()
	s := sh.services[name]
	if s == nil {
		return routing.GroupRange{}
	}
	return s.groupRange(now, from)
}

// Status describes the admission state of one service.
type Status struct {
	Limit                float64 // learned, before it is capped by the capacity
	InFlight             int
	CompletionsPerSecond float64
}

// Status returns the state of a service, or the zero value if the service has
// had no requests.
func (c *Controller) Status(now time.Time, name fleet.ServiceName) Status {
	sh := &c.shards[xxhash.Sum64String(string(name))%shardCount]
	sh.mu.Lock()
	defer sh.mu.Unlock()
	s := sh.services[name]
	if s == nil {
		return Status{}
	}
	return Status{Limit: s.limiter.Limit(), InFlight: s.inFlight, CompletionsPerSecond: s.completions.perSecond(now)}
}

// ticket implements Ticket.
type ticket struct {
	shard     *shard
	service   *service
	workspace *workspace
	overShare bool
	released  bool // guarded by shard.mu
}

// OverShare implements Ticket.
func (t *ticket) OverShare() bool { return t.overShare }

// Release implements Ticket.
func (t *ticket) Release(now time.Time, res Result) {
	t.shard.mu.Lock()
	defer t.shard.mu.Unlock()
	invariant.Check(!t.released, "admission.released-once", "ticket of workspace %s released twice", t.workspace.name)
	if t.released {
		return
	}
	t.released = true
	t.service.release(now, t.workspace, res)
}
