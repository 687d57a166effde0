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
	defaultTerm            = time.Hour
	defaultConvictionDelay = 3 * time.Second
	// sightingRetention is how long this daemon's sightings are sent to peers.
	sightingRetention = time.Minute
	// maxSightings limits this daemon's sightings that are sent at a time.
	maxSightings = 32
	// maxSeenSightings limits the ids of peers' sightings that are remembered.
	maxSeenSightings = 4096
	// proposeTimeout limits one attempt to record a verdict.
	proposeTimeout = 5 * time.Second
	// reviewRetryInterval is the time between reviews while verdicts cannot be
	// recorded.
	reviewRetryInterval = 5 * time.Second
)

// TrackerConfig configures a Tracker.
type TrackerConfig struct {
	Self     fleet.DaemonID
	Fold     *Fold
	Proposer journal.Proposer // of the control stream
	Events   *event.Logger
	Metrics  metrics.Registry
	Policy   Policy // nil means Odds{}
	// Groups returns the current number of groups in each fabric domain. Nil
	// means that it is unknown.
	Groups func() map[fleet.FabricDomain]int
	// Term is the duration of a verdict. Zero means one hour.
	Term time.Duration
	// ConvictionDelay is the minimum delay between the death that triggers a
	// review and that review, which writes convictions to the log. During the
	// delay an outage of a fabric domain shows up as further deaths. Zero means
	// 3 s.
	ConvictionDelay time.Duration
}

// Tracker tracks this daemon's requests and decides how each is to be handled.
// It is safe for concurrent use.
type Tracker struct {
	cfg TrackerConfig

	mu              sync.Mutex
	history         *History
	assessments     map[Fingerprint]cachedAssessment // cleared at each new death
	ownSightings    []Sighting
	seenSightings   map[[16]byte]struct{}
	reviewRequested chan struct{}

	deaths, convictions metrics.Counter
}

// cachedAssessment is an assessment that is valid for assessmentTTL if no group
// dies.
type cachedAssessment struct {
	standing Standing
	at       time.Time
}

// assessmentTTL is how long an assessment is cached.
const assessmentTTL = time.Second

// NewTracker returns a Tracker. Verdicts are recorded only while Run is running.
func NewTracker(cfg TrackerConfig) *Tracker {
	if cfg.Policy == nil {
		cfg.Policy = Odds{}
	}
	if cfg.Term == 0 {
		cfg.Term = defaultTerm
	}
	if cfg.ConvictionDelay == 0 {
		cfg.ConvictionDelay = defaultConvictionDelay
	}
	if cfg.Metrics == nil {
		cfg.Metrics = metrics.NewRegistry()
	}
	return &Tracker{
		cfg:             cfg,
		history:         NewHistory(time.Now()),
		assessments:     map[Fingerprint]cachedAssessment{},
		seenSightings:   map[[16]byte]struct{}{},
		reviewRequested: make(chan struct{}, 1),
		deaths:          metrics.GetOrRegisterCounter("suspect.deaths", cfg.Metrics),
		convictions:     metrics.GetOrRegisterCounter("suspect.convictions", cfg.Metrics),
	}
}

// Standing returns how a request is to be handled. A verdict in the log takes
// precedence. Without one the evidence of this daemon and its peers decides, so
// that suspects are handled even while the log is down.
func (t *Tracker) Standing(f Fingerprint) Standing {
	now := time.Now()
	if v, ok := t.cfg.Fold.Verdict(f, now); ok {
		return v.standing()
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.history.HasDeaths(f) {
		return Clear
	}
	if cached, ok := t.assessments[f]; ok && now.Sub(cached.at) < assessmentTTL {
		return cached.standing
	}
	return t.assess(f, now).Standing
}

// Judge returns how a request is to be handled. Parts of its prompt are not
// tracked.
func (t *Tracker) Judge(s Subjects) Ruling {
	r := Ruling{Standing: t.Standing(s.Request)}
	if r.Standing == Clear {
		return r
	}
	r.Fingerprint = s.Request
	now := time.Now()
	if v, ok := t.cfg.Fold.Verdict(s.Request, now); ok && !v.Cleared {
		r.Remaining = v.remaining(now)
	}
	return r
}

// OneMoreConvicts returns false: a Tracker decides on each death at once.
func (t *Tracker) OneMoreConvicts(Subjects) bool { return false }

// assess judges a request and records in the history whether it is convicted.
func (t *Tracker) assess(f Fingerprint, now time.Time) Assessment {
	a := t.cfg.Policy.Assess(t.history.Evidence(f, now))
	t.history.SetConvicted(f, a.Standing == Convicted)
	t.assessments[f] = cachedAssessment{standing: a.Standing, at: now}
	return a
}

// Started records the start of an attempt on a group.
func (t *Tracker) Started(group fleet.GroupID, epoch fleet.Epoch, s Subjects) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.history.Started(group, epoch, Subjects{Request: s.Request}, time.Now())
}

// Ended records the end of an attempt and whether its answer was complete. If
// the group died, GroupDied must be called first.
func (t *Tracker) Ended(group fleet.GroupID, epoch fleet.Epoch, s Subjects, survived bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.history.Ended(group, epoch, Subjects{Request: s.Request}, survived, time.Now())
}

// GroupDied records the death of a group. Repeated calls for a death have no
// effect.
func (t *Tracker) GroupDied(group fleet.GroupID, epoch fleet.Epoch, fabric fleet.FabricDomain, name fleet.ServiceName) {
	now := time.Now()
	t.mu.Lock()
	t.refreshGroups()
	sighting, fresh := t.history.GroupDied(group, epoch, fabric, name, now)
	if fresh {
		clear(t.assessments)
		sighting.ID = uuid.New()
		t.addSighting(sighting)
	}
	t.mu.Unlock()
	if !fresh {
		return
	}
	t.deaths.Inc(1)
	t.cfg.Events.Emit(eventDeath, "group", group, "epoch", epoch, "fabric", fabric, "service", name, "in_flight", len(sighting.InFlight))
	t.requestReview()
}

// addSighting adds one of this daemon's sightings, keeping at most maxSightings.
func (t *Tracker) addSighting(s Sighting) {
	t.ownSightings = append(t.ownSightings, s)
	if len(t.ownSightings) > maxSightings {
		t.ownSightings = t.ownSightings[1:]
	}
}

// Sightings returns this daemon's recent sightings, to be sent in heartbeats.
func (t *Tracker) Sightings() []Sighting {
	oldest := time.Now().Add(-sightingRetention)
	t.mu.Lock()
	defer t.mu.Unlock()
	for len(t.ownSightings) > 0 && t.ownSightings[0].At.Before(oldest) {
		t.ownSightings = t.ownSightings[1:]
	}
	return append([]Sighting(nil), t.ownSightings...)
}

// Observe merges sightings of peers. Sightings already seen have no effect.
func (t *Tracker) Observe(sightings []Sighting) {
	now := time.Now()
	fresh := false
	t.mu.Lock()
	t.refreshGroups()
	for _, s := range sightings {
		if _, known := t.seenSightings[s.ID]; known {
			continue
		}
		if len(t.seenSightings) >= maxSeenSightings {
			clear(t.seenSightings)
		}
		t.seenSightings[s.ID] = struct{}{}
		if s.At.IsZero() || s.At.After(now) {
			s.At = now
		}
		fresh = t.history.Observe(s, now) || fresh
	}
	if fresh {
		clear(t.assessments)
	}
	t.mu.Unlock()
	if fresh {
		t.requestReview()
	}
}

func (t *Tracker) refreshGroups() {
	if t.cfg.Groups != nil {
		t.history.SetGroups(t.cfg.Groups())
	}
}

func (t *Tracker) requestReview() {
	select {
	case t.reviewRequested <- struct{}{}:
	default:
	}
}

// Run records verdicts until ctx ends.
func (t *Tracker) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.reviewRequested:
		}
		// All daemons have the same sightings. The random delay lets one daemon
		// write the verdict first and the others see it.
		if !sleep(ctx, t.cfg.ConvictionDelay+rand.N(t.cfg.ConvictionDelay)) {
			return
		}
		for t.review(ctx) && sleep(ctx, reviewRetryInterval) {
		}
	}
}

// review records pending convictions. It reports whether some could not be
// recorded.
func (t *Tracker) review(ctx context.Context) (retry bool) {
	for _, c := range t.pendingConvictions() {
		res := t.propose(ctx, KindConvict, c)
		switch res.Outcome {
		case journal.OutcomeAccepted:
			t.convictions.Inc(1)
			t.cfg.Events.Emit(eventConvicted, "fingerprint", c.Fingerprint, "service", c.Service, "deaths", c.Deaths)
		case journal.OutcomeRejected:
		default:
			t.cfg.Events.Emit(eventNotRecorded, "fingerprint", c.Fingerprint, "error", res.Err)
			retry = true
		}
	}
	return retry
}

// pendingConvictions returns the convictions that the log does not contain.
func (t *Tracker) pendingConvictions() []convictRecord {
	now := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	var pending []convictRecord
	for _, f := range t.history.Fingerprints() {
		if v, decided := t.cfg.Fold.Verdict(f, now); decided {
			t.history.SetConvicted(f, !v.Cleared)
			continue
		}
		if t.assess(f, now).Standing != Convicted {
			continue
		}
		pending = append(pending, convictRecord{
			Fingerprint: f,
			Service:     t.history.Service(f),
			Term:        t.cfg.Term.Milliseconds(),
			Deaths:      t.history.Deaths(f),
		})
	}
	return pending
}

// Clear records a clearance for a request, which lets it run as usual for
// TrackerConfig.Term regardless of the evidence.
func (t *Tracker) Clear(ctx context.Context, f Fingerprint) journal.Result {
	res := t.propose(ctx, KindClear, clearRecord{Fingerprint: f, Term: t.cfg.Term.Milliseconds()})
	if res.Outcome == journal.OutcomeAccepted {
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
