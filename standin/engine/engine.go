// Package engine is the stand-in for a model engine. It has continuous batching
// with a priority queue, a prefix cache of limited size, load reports with a lag,
// cache events that arrive late and with gaps, and orders that it accepts with or
// without checking fencing tokens. Its tokens are a pure function of the request,
// so that a checker can verify an answer.
package engine

import (
	"context"
	"sync"
	"time"

	carawayv1 "carawayproxy.example/caraway/api/caraway/v1"
	"carawayproxy.example/caraway/api/caraway/v1/carawayv1connect"
)

// Config configures an engine. Zero values are replaced by the default given
// with each field.
type Config struct {
	ID      string
	Address string // the engine's "ip:port", as in the members of an assignment

	MaxRunning      int           // requests in one batch, 16
	TokenInterval   time.Duration // between tokens of one stream in an empty batch, 10 ms
	BatchSlowdown   float64       // relative increase of the interval in a full batch, 1
	PrefillPerBlock time.Duration // for each prompt block that is not cached, 2 ms
	LoadTime        time.Duration // time to load fetched weights, 1 s
	ReformTime      time.Duration // time to join an epoch with weights already loaded, 200 ms
	CacheBlocks     int           // capacity of the cache in prompt blocks, 4096
	ReportLag       time.Duration // age of the reported load, 250 ms
	EventLag        time.Duration // age of the reported cache events, 500 ms
	EventGap        int           // every EventGap-th cache event is lost, 10
	ChecksFencing   bool

	// Fetch fetches one artifact from the weight store; nil fetches nothing.
	Fetch func(ctx context.Context, model, version, adapter string) error
	// Member returns a client of another member; nil disables watching
	// the members.
	Member func(address string) carawayv1connect.EngineServiceClient
	// Crashed is called once when the engine crashes.
	Crashed func()
	// Observe is called for each attempt that the engine starts.
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

// Faults are the fault switches of an engine.
type Faults struct {
	Frozen      bool    `json:"frozen"`       // requests block until this is cleared
	Straggle    float64 `json:"straggle"`     // factor on the token interval if above 1
	CrashMarker string  `json:"crash_marker"` // prompts that contain this crash the engine
	Truncate    int     `json:"truncate"`     // number of next streams that close without an end
	Duplicate   int     `json:"duplicate"`    // number of next streams that send each token twice
	Cross       int     `json:"cross"`        // number of next streams with the id of another attempt
	Late        int     `json:"late"`         // number of next streams that pause before their end
	LateDelayMS int     `json:"late_delay_ms"`
	Leaving     bool    `json:"leaving"`
}

// Stats counts the activity of an engine.
type Stats struct {
	Runs       uint64 `json:"runs"`
	Ended      uint64 `json:"ended"`
	Canceled   uint64 `json:"canceled"`
	Refused    uint64 `json:"refused"`
	Orders     uint64 `json:"orders"`
	StaleOrder uint64 `json:"stale_orders"` // orders rejected for an old fencing token
	Loads      uint64 `json:"loads"`
}

// Engine is one stand-in engine. It is safe for concurrent use.
type Engine struct {
	cfg         Config
	incarnation uint64

	mu            sync.Mutex
	faults        Faults
	thawed        chan struct{} // closed unless frozen
	stats         Stats
	assignment    *carawayv1.Assignment
	loadedKey     string // key of the weights in memory
	ready         bool
	progress      float64
	broken        chan struct{} // closed when the current assignment breaks
	assignmentSeq uint64        // incremented with each assignment, so that a superseded load stops
	highestTokens map[string]uint64
	batch         batch
	cache         *prefixCache
	loads         []loadSample
	cancels       map[string]context.CancelFunc
	crashed       bool
}

// New returns an engine without an assignment.
func New(cfg Config) *Engine {
	cfg = cfg.withDefaults()
	thawed := make(chan struct{})
	close(thawed)
	return &Engine{
		cfg:           cfg,
		incarnation:   uint64(time.Now().UnixNano()),
		thawed:        thawed,
		broken:        make(chan struct{}),
		highestTokens: map[string]uint64{},
		batch:         batch{size: cfg.MaxRunning},
		cache:         newPrefixCache(cfg.CacheBlocks, cfg.EventGap),
		cancels:       map[string]context.CancelFunc{},
	}
}

// Watch samples the load and watches the other members until ctx is done.
func (e *Engine) Watch(ctx context.Context) {
	sample := time.NewTicker(loadSampleInterval)
	defer sample.Stop()
	watch := time.NewTicker(memberWatchInterval)
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

// SetFaults replaces the fault switches.
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

// Faults returns the current fault switches.
func (e *Engine) Faults() Faults {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults
}

// Stats returns the counters.
func (e *Engine) Stats() Stats {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.stats
}

// Assignment returns the current assignment, or nil, and whether the engine is
// ready in it.
func (e *Engine) Assignment() (*carawayv1.Assignment, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.assignment, e.ready
}

// ID returns the engine's instance id.
func (e *Engine) ID() string { return e.cfg.ID }

// InFlight returns the number of running and queued requests.
func (e *Engine) InFlight() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.batch.running + len(e.batch.waiting)
}

// Crash crashes the engine. Its state is lost.
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

// waitThawed blocks while the engine is frozen.
func (e *Engine) waitThawed(ctx context.Context) error {
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

// breakAssignment aborts the streams of the current assignment. The caller holds
// the lock.
func (e *Engine) breakAssignment() {
	select {
	case <-e.broken:
	default:
		close(e.broken)
	}
}
