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

// shardCount is the number of shards of a controller.
const shardCount = 16

// Config holds a controller's settings. The zero value is usable.
type Config struct {
	// Seed starts the random numbers that spread callers' returns.
	Seed uint64
	// NewLimiter makes the limiter of one service, NewAIMD with its defaults
	// when nil.
	NewLimiter func() Limiter
	// BorrowShare is the part of the limit up to which workspaces beyond
	// their fair share may fill it while others are active, 0 to 1;
	// DefaultBorrowShare when zero.
	BorrowShare float64
	// AllGroups lets the requests of a flooding workspace go to all groups,
	// so that idle groups are used at the cost of the others' latency.
	AllGroups bool
}

// DefaultBorrowShare is the part of a limit that borrowers may fill.
const DefaultBorrowShare = 0.85

// Ticket is an admitted request's place; it is returned exactly once.
type Ticket interface {
	// Release gives the place back and tells what became of the request.
	Release(now time.Time, res Result)
	// Borrowed reports whether the workspace was beyond its fair share. Such
	// a request must go to engines with a lower priority than others, so
	// that it uses idle capacity without delaying them.
	Borrowed() bool
}

// Controller decides whether requests may start. It never queues: a request
// is admitted or refused at once. Its state is sharded by service, each shard
// under its own lock; it is safe for concurrent use.
type Controller struct {
	cfg    Config
	shards [shardCount]shard
}

type shard struct {
	mu       sync.Mutex
	services map[fleet.ServiceName]*service
}

// NewController returns a controller without any request in flight.
func NewController(cfg Config) *Controller {
	if cfg.NewLimiter == nil {
		cfg.NewLimiter = func() Limiter { return NewAIMD(AIMDConfig{}) }
	}
	if cfg.BorrowShare == 0 {
		cfg.BorrowShare = DefaultBorrowShare
	}
	c := &Controller{cfg: cfg}
	for i := range c.shards {
		c.shards[i].services = map[fleet.ServiceName]*service{}
	}
	return c
}

// Admit lets the request start or refuses it at once. A refusal is NOT_RUN
// with reason deadline or overloaded, and tells when to come back.
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
	w, borrowed, failure := s.admit(now, req)
	if failure != nil {
		return nil, failure
	}
	return &ticket{shard: sh, service: s, workspace: w, borrowed: borrowed}, nil
}

// Part returns the part of a service's groups that requests of a workspace
// should go to at present, the zero value for all of them. While a workspace
// asks for clearly more than its fair share, it keeps to its share of the
// groups and others to the rest and the last of its groups.
func (c *Controller) Part(now time.Time, name fleet.ServiceName, from fleet.Workspace) routing.Part {
	sh := &c.shards[xxhash.Sum64String(string(name))%shardCount]
	sh.mu.Lock()
	defer sh.mu.Unlock()
	s := sh.services[name]
	if s == nil {
		return routing.Part{}
	}
	return s.part(now, from)
}

// Status is what a controller holds of one service.
type Status struct {
	Limit         float64 // learned, before the capacity bounds it
	InFlight      int
	EndsPerSecond float64
}

// Status returns what is held of a service, the zero value when nothing is.
func (c *Controller) Status(now time.Time, name fleet.ServiceName) Status {
	sh := &c.shards[xxhash.Sum64String(string(name))%shardCount]
	sh.mu.Lock()
	defer sh.mu.Unlock()
	s := sh.services[name]
	if s == nil {
		return Status{}
	}
	return Status{Limit: s.limiter.Limit(), InFlight: s.inFlight, EndsPerSecond: s.drain.perSecond(now)}
}

// ticket is a place in a service's and a workspace's requests in flight.
type ticket struct {
	shard     *shard
	service   *service
	workspace *workspace
	borrowed  bool
	released  bool // under the shard's lock
}

// Borrowed implements Ticket.
func (t *ticket) Borrowed() bool { return t.borrowed }

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
