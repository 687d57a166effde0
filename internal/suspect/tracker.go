package suspect

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/google/uuid"
	metrics "github.com/rcrowley/go-metrics"

	"carawayproxy.example/caraway/internal/event"
	"carawayproxy.example/caraway/internal/fleet"
	"carawayproxy.example/caraway/internal/journal"
)

const (
	defaultTerm   = time.Hour
	defaultSettle = 3 * time.Second
	// sightingAge is how long own sightings are told to peers.
	sightingAge = time.Minute
	// maxSightings bounds the own sightings told at once.
	maxSightings = 32
	// maxSeen bounds the ids of peers' sightings remembered.
	maxSeen = 4096
	// proposeTimeout bounds one try to record a verdict.
	proposeTimeout = 5 * time.Second
	// reviewEvery is how often evidence is looked at again.
	reviewEvery = 5 * time.Second
)

// TrackerConfig sets up a Tracker.
type TrackerConfig struct {
	Self     fleet.DaemonID
	Book     *Book
	Proposer journal.Proposer // of the control stream
	Events   *event.Logger
	Metrics  metrics.Registry
	Policy   Policy // Odds{} when nil
	// Groups tells how many groups each fabric domain has now; nil for not
	// knowing.
	Groups func() map[fleet.FabricDomain]int
	// Term is how long a verdict lasts, an hour when zero.
	Term time.Duration
	// Settle is how long after its last death a request is not yet written
	// to the log as convicted, so that a dark fabric domain shows itself
	// first; 3 s when zero.
	Settle time.Duration
}

// Tracker watches this daemon's requests and says how each stands. It is safe
// for concurrent use.
type Tracker struct {
	cfg TrackerConfig

	mu      sync.Mutex
	history *History
	judged  map[Fingerprint]judgement // since the last death
	own     []Sighting
	seen    map[[16]byte]struct{}
	changed chan struct{}

	deaths, convictions metrics.Counter
}

// judgement is an assessment that holds for a while if no group dies.
type judgement struct {
	standing Standing
	at       time.Time
}

// judgementAge is how long an assessment is not made again.
const judgementAge = time.Second

// NewTracker returns a tracker. Run must run for verdicts to be recorded.
func NewTracker(cfg TrackerConfig) *Tracker {
	if cfg.Policy == nil {
		cfg.Policy = Odds{}
	}
	if cfg.Term == 0 {
		cfg.Term = defaultTerm
	}
	if cfg.Settle == 0 {
		cfg.Settle = defaultSettle
	}
	if cfg.Metrics == nil {
		cfg.Metrics = metrics.NewRegistry()
	}
	return &Tracker{
		cfg:         cfg,
		history:     NewHistory(time.Now()),
		judged:      map[Fingerprint]judgement{},
		seen:        map[[16]byte]struct{}{},
		changed:     make(chan struct{}, 1),
		deaths:      metrics.GetOrRegisterCounter("suspect.deaths", cfg.Metrics),
		convictions: metrics.GetOrRegisterCounter("suspect.convictions", cfg.Metrics),
	}
}

// Standing says how a request is to be treated. The log's verdict comes
// first; without one the evidence seen here and told by peers decides, so
// that it holds while the log is down.
func (t *Tracker) Standing(f Fingerprint) Standing {
	now := time.Now()
	if v, ok := t.cfg.Book.Verdict(f, now); ok {
		if v.Cleared {
			return Clear
		}
		return Convicted
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.history.Touched(f) {
		return Clear
	}
	if j, ok := t.judged[f]; ok && now.Sub(j.at) < judgementAge {
		return j.standing
	}
	return t.assess(f, now).Standing
}

// assess judges a request and remembers whether it explains deaths.
func (t *Tracker) assess(f Fingerprint, now time.Time) Assessment {
	a := t.cfg.Policy.Assess(t.history.Evidence(f, now))
	t.history.SetConvicted(f, a.Standing == Convicted)
	t.judged[f] = judgement{standing: a.Standing, at: now}
	return a
}

// Started notes an attempt on a group.
func (t *Tracker) Started(group fleet.GroupID, epoch fleet.Epoch, f Fingerprint) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.history.Started(group, epoch, f, time.Now())
}

// Ended notes the end of an attempt, after Died if the group died.
func (t *Tracker) Ended(group fleet.GroupID, epoch fleet.Epoch, f Fingerprint) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.history.Ended(group, epoch, f, time.Now())
}

// Died notes a group's death, as often as it is told.
func (t *Tracker) Died(group fleet.GroupID, epoch fleet.Epoch, fabric fleet.FabricDomain, name fleet.ServiceName) {
	now := time.Now()
	t.mu.Lock()
	t.refreshGroups()
	in, fresh := t.history.Died(group, epoch, fabric, name, now)
	if fresh {
		clear(t.judged)
		t.keep(Sighting{
			ID:       uuid.New(),
			Group:    group,
			Epoch:    epoch,
			Fabric:   fabric,
			Service:  name,
			InFlight: in,
			At:       now,
		})
	}
	t.mu.Unlock()
	if !fresh {
		return
	}
	t.deaths.Inc(1)
	t.cfg.Events.Emit(eventDeath, "group", group, "epoch", epoch, "fabric", fabric, "service", name, "in_flight", len(in))
	t.wake()
}

// keep adds an own sighting within the bound.
func (t *Tracker) keep(s Sighting) {
	t.own = append(t.own, s)
	if len(t.own) > maxSightings {
		t.own = t.own[1:]
	}
}

// Sightings returns this daemon's own recent sightings, for its heartbeats.
func (t *Tracker) Sightings() []Sighting {
	oldest := time.Now().Add(-sightingAge)
	t.mu.Lock()
	defer t.mu.Unlock()
	for len(t.own) > 0 && t.own[0].At.Before(oldest) {
		t.own = t.own[1:]
	}
	return append([]Sighting(nil), t.own...)
}

// Observe takes in sightings of peers. A sighting that comes again changes
// nothing.
func (t *Tracker) Observe(sightings []Sighting) {
	now := time.Now()
	fresh := false
	t.mu.Lock()
	t.refreshGroups()
	for _, s := range sightings {
		if _, known := t.seen[s.ID]; known {
			continue
		}
		if len(t.seen) >= maxSeen {
			clear(t.seen)
		}
		t.seen[s.ID] = struct{}{}
		if s.At.IsZero() || s.At.After(now) {
			s.At = now
		}
		fresh = t.history.Observe(s, now) || fresh
	}
	if fresh {
		clear(t.judged)
	}
	t.mu.Unlock()
	if fresh {
		t.wake()
	}
}

func (t *Tracker) refreshGroups() {
	if t.cfg.Groups != nil {
		t.history.SetGroups(t.cfg.Groups())
	}
}

func (t *Tracker) wake() {
	select {
	case t.changed <- struct{}{}:
	default:
	}
}

// Run records verdicts until ctx ends.
func (t *Tracker) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.changed:
		}
		// Daemons have the same sightings; the spread lets one write first
		// and the others see its verdict.
		if !sleep(ctx, t.cfg.Settle+rand.N(t.cfg.Settle)) {
			return
		}
		for t.review(ctx) && sleep(ctx, reviewEvery) {
		}
	}
}

// review records the verdicts that are due and reports whether some could not
// be recorded.
func (t *Tracker) review(ctx context.Context) (again bool) {
	for _, c := range t.due() {
		res := t.propose(ctx, KindConvict, c)
		switch res.Fate {
		case journal.FateAccepted:
			t.convictions.Inc(1)
			t.cfg.Events.Emit(eventConvicted, "fingerprint", c.Fingerprint, "service", c.Service, "deaths", c.Deaths)
		case journal.FateRejected:
		default:
			t.cfg.Events.Emit(eventNotRecorded, "fingerprint", c.Fingerprint, "error", res.Err)
			again = true
		}
	}
	return again
}

// due lists the convictions that the log does not have.
func (t *Tracker) due() []convictRecord {
	now := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	var due []convictRecord
	for _, f := range t.history.Fingerprints() {
		if v, decided := t.cfg.Book.Verdict(f, now); decided {
			t.history.SetConvicted(f, !v.Cleared)
			continue
		}
		if t.assess(f, now).Standing != Convicted {
			continue
		}
		due = append(due, convictRecord{
			Fingerprint: f,
			Service:     t.history.Service(f),
			Term:        t.cfg.Term.Milliseconds(),
			Deaths:      t.history.Deaths(f),
		})
	}
	return due
}

// Clear lifts a verdict and lets the request run for the term of a verdict,
// whatever evidence there is.
func (t *Tracker) Clear(ctx context.Context, f Fingerprint) journal.Result {
	res := t.propose(ctx, KindClear, clearRecord{Fingerprint: f, Term: t.cfg.Term.Milliseconds()})
	if res.Fate == journal.FateAccepted {
		t.cfg.Events.Emit(eventCleared, "fingerprint", f)
	}
	return res
}

func (t *Tracker) propose(ctx context.Context, kind journal.Kind, body any) journal.Result {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	return t.cfg.Proposer.Propose(ctx, kind, body)
}

func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
