// Package engine is the stand-in for a model engine: continuous batching with
// a priority queue, a prefix cache of limited size, load reports that lag,
// cache events that come late and with gaps, and orders that it obeys with or
// without checking fencing tokens. Its tokens are a pure function of the
// request, so that a checker can tell whether an answer is right.
package engine

import (
	"context"
	"sync"
	"time"

	carawayv1 "carawayproxy.example/caraway/api/caraway/v1"
	"carawayproxy.example/caraway/api/caraway/v1/carawayv1connect"
)

// Config sets how an engine behaves. Zero values take the defaults given.
type Config struct {
	ID      string
	Address string // its own "ip:port", as members know it

	MaxRunning      int           // requests in one batch, 16
	TokenInterval   time.Duration // between tokens of one stream in an empty batch, 10 ms
	BatchSlowdown   float64       // added share of the interval in a full batch, 1
	PrefillPerBlock time.Duration // for each prompt block that is not cached, 2 ms
	LoadTime        time.Duration // after the weights were fetched, 1 s
	ReformTime      time.Duration // to join an epoch with weights in place, 200 ms
	CacheBlocks     int           // prompt blocks kept, 4096
	ReportLag       time.Duration // age of the load figures, 250 ms
	EventLag        time.Duration // age of cache events, 500 ms
	EventGap        int           // every how manyth event is lost, 10
	ChecksFencing   bool

	// Fetch gets one artifact from the weight store; nil takes no time.
	Fetch func(ctx context.Context, model, version, adapter string) error
	// Member returns a client of another member; nil means that members are
	// not watched.
	Member func(address string) carawayv1connect.EngineServiceClient
	// Crashed is called once when the engine crashes.
	Crashed func()
	// Observe is called for each run that the engine starts.
	Observe func(e *Engine, req *carawayv1.RunRequest)
}

func (c Config) withDefaults() Config {
	setDefault(&c.MaxRunning, 16)
	setDefault(&c.TokenInterval, 10*time.Millisecond)
	setDefault(&c.BatchSlowdown, 1)
	setDefault(&c.PrefillPerBlock, 2*time.Millisecond)
	setDefault(&c.LoadTime, time.Second)
	setDefault(&c.ReformTime, 200*time.Millisecond)
	setDefault(&c.CacheBlocks, 4096)
	setDefault(&c.ReportLag, 250*time.Millisecond)
	setDefault(&c.EventLag, 500*time.Millisecond)
	setDefault(&c.EventGap, 10)
	return c
}

func setDefault[T comparable](v *T, def T) {
	var zero T
	if *v == zero {
		*v = def
	}
}

// Faults are the switches of an engine.
type Faults struct {
	Frozen      bool    `json:"frozen"`       // answers nothing until thawed
	Straggle    float64 `json:"straggle"`     // token interval times this, when over 1
	CrashMarker string  `json:"crash_marker"` // a prompt that holds it crashes the engine
	Truncate    int     `json:"truncate"`     // how many next streams stop without an end
	Duplicate   int     `json:"duplicate"`    // how many next streams send each token twice
	Cross       int     `json:"cross"`        // how many next streams carry another attempt's id
	Late        int     `json:"late"`         // how many next streams pause before their end
	LateDelayMS int     `json:"late_delay_ms"`
	Leaving     bool    `json:"leaving"`
}

// Stats counts what an engine did.
type Stats struct {
	Runs       uint64 `json:"runs"`
	Ended      uint64 `json:"ended"`
	Canceled   uint64 `json:"canceled"`
	Refused    uint64 `json:"refused"`
	Orders     uint64 `json:"orders"`
	StaleOrder uint64 `json:"stale_orders"` // refused for an old fencing token
	Loads      uint64 `json:"loads"`
}

// Engine is one stand-in engine. It is safe for concurrent use.
type Engine struct {
	cfg         Config
	incarnation uint64

	mu       sync.Mutex
	faults   Faults
	thawed   chan struct{} // closed unless frozen
	stats    Stats
	assigned *carawayv1.Assignment
	loaded   string // key of the weights in memory
	ready    bool
	progress float64
	broken   chan struct{} // closed when the present assignment is broken
	order    uint64        // counts assignments, so that an old load stops
	fencing  map[string]uint64
	batch    batch
	cache    *prefixCache
	loads    []loadSample
	canceled map[string]context.CancelFunc
	crashed  bool
}

// New returns an engine that has been assigned nothing.
func New(cfg Config) *Engine {
	cfg = cfg.withDefaults()
	thawed := make(chan struct{})
	close(thawed)
	return &Engine{
		cfg:         cfg,
		incarnation: uint64(time.Now().UnixNano()),
		thawed:      thawed,
		broken:      make(chan struct{}),
		fencing:     map[string]uint64{},
		batch:       batch{size: cfg.MaxRunning},
		cache:       newPrefixCache(cfg.CacheBlocks, cfg.EventGap),
		canceled:    map[string]context.CancelFunc{},
	}
}

// Watch samples the load and watches the other members until ctx ends.
func (e *Engine) Watch(ctx context.Context) {
	sample := time.NewTicker(loadSampleEvery)
	defer sample.Stop()
	watch := time.NewTicker(memberWatchEvery)
	defer watch.Stop()
	for {
		select {
		case <-sample.C:
			e.sampleLoad()
		case <-watch.C:
			e.watchMembers(ctx)
		case <-ctx.Done():
			return
		}
	}
}

// SetFaults replaces the switches.
func (e *Engine) SetFaults(f Faults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if f.Frozen && !e.faults.Frozen {
		e.thawed = make(chan struct{})
	}
	if !f.Frozen && e.faults.Frozen {
		close(e.thawed)
	}
	e.faults = f
}

// Faults returns the switches as they stand.
func (e *Engine) Faults() Faults {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults
}

// Stats returns the counts so far.
func (e *Engine) Stats() Stats {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.stats
}

// Assignment returns the present assignment, nil for none, and whether the
// engine is ready in it.
func (e *Engine) Assignment() (*carawayv1.Assignment, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.assigned, e.ready
}

// ID returns the engine's instance id.
func (e *Engine) ID() string { return e.cfg.ID }

// InFlight returns how many requests run or wait.
func (e *Engine) InFlight() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.batch.running + len(e.batch.waiting)
}

// Crash ends the engine: nothing it holds survives.
func (e *Engine) Crash() {
	e.mu.Lock()
	if e.crashed {
		e.mu.Unlock()
		return
	}
	e.crashed = true
	e.breakAssignment()
	e.mu.Unlock()
	if e.cfg.Crashed != nil {
		e.cfg.Crashed()
	}
}

// thaw waits while the engine is frozen.
func (e *Engine) thaw(ctx context.Context) error {
	e.mu.Lock()
	thawed := e.thawed
	e.mu.Unlock()
	select {
	case <-thawed:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// breakAssignment cuts the streams of the present assignment. It is called
// with the lock held.
func (e *Engine) breakAssignment() {
	select {
	case <-e.broken:
	default:
		close(e.broken)
	}
}
