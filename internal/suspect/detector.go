package suspect

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/google/uuid"
	metrics "github.com/rcrowley/go-metrics"

	"carawayproxy.example/caraway/internal/event"
	"carawayproxy.example/caraway/internal/fleet"
)

// acquittalsUntil bounds the survivals of one request or part that a daemon
// reports.
const acquittalsUntil = 8

// DetectorConfig configures a Detector.
type DetectorConfig struct {
	Self    fleet.DaemonID
	Events  *event.Logger
	Metrics metrics.Registry // nil for none
	// Groups returns the current number of groups in each fabric domain.
	Groups func() map[fleet.FabricDomain]int
	// Notify is called when there is new evidence for the peers. It must not
	// block; nil for none.
	Notify func()
	// Announce sends a verdict of this daemon to the peers. It must not block; nil
	// for none.
	Announce func(Verdict)
	// Term is the duration of a verdict. Zero means one hour.
	Term time.Duration
}

// Detector finds the requests, and the parts of prompts, that crash backend
// servers, on daemons without a control stream. Daemons exchange sightings and
// acquittals, and each decides by what it has received so far and announces its
// verdicts. The verdicts are also kept outside, for daemons that start later. It
// is safe for concurrent use.
type Detector struct {
	cfg    DetectorConfig
	policy Policy

	mu              sync.Mutex
	history         *History
	verdicts        map[Fingerprint]Verdict
	unrecorded      map[Fingerprint]struct{} // verdicts that may not be kept outside yet
	reported        map[Fingerprint]Survivals
	uncertain       map[Fingerprint]int // verdicts of uncertainTerm so far
	ownSightings    []Sighting
	ownAcquittals   []Acquittal
	seen, seenOlder map[[16]byte]struct{} // evidence of peers, two generations
	reviewRequested chan struct{}
	evidenceAt      time.Time // when the last death was learned of

	deaths, convictions metrics.Counter
}

// NewDetector returns a Detector. It decides only while Run is running.
func NewDetector(cfg DetectorConfig) *Detector {
	if cfg.Term == 0 {
		cfg.Term = defaultTerm
	}
	if cfg.Metrics == nil {
		cfg.Metrics = metrics.NewRegistry()
	}
	if cfg.Notify == nil {
		cfg.Notify = func() {}
	}
	if cfg.Announce == nil {
		cfg.Announce = func(Verdict) {}
	}
	h := NewHistory(time.Now())
	h.causeSpan = outageSpan
	return &Detector{
		cfg:             cfg,
		policy:          Elimination{},
		history:         h,
		verdicts:        map[Fingerprint]Verdict{},
		unrecorded:      map[Fingerprint]struct{}{},
		reported:        map[Fingerprint]Survivals{},
		uncertain:       map[Fingerprint]int{},
		seen:            map[[16]byte]struct{}{},
		reviewRequested: make(chan struct{}, 1),
		deaths:          metrics.GetOrRegisterCounter("suspect.deaths", cfg.Metrics),
		convictions:     metrics.GetOrRegisterCounter("suspect.convictions", cfg.Metrics),
	}
}

// Judge returns how a request is to be handled. It is convicted if it or a part
// of its prompt is.
func (d *Detector) Judge(s Subjects) Ruling {
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	if r := d.ruling(s.Request, now); r.Standing != Clear {
		return r
	}
	for _, f := range s.Parts {
		if r := d.ruling(f, now); r.Standing != Clear {
			return r
		}
	}
	return d.pendingRuling(s, now)
}

// pendingRuling returns the ruling on a request without a verdict. It is undecided
// if recent evidence has not been reviewed and one more death would convict it or
// a part of its prompt. Called with mu held.
func (d *Detector) pendingRuling(s Subjects, now time.Time) Ruling {
	r := Ruling{Deaths: d.history.Deaths(s.Request)}
	remaining := d.evidenceAt.Add(DecisionTime).Sub(now)
	if remaining <= 0 {
		return r
	}
	if f, ok := d.nextConvicted(s, now); ok {
		r.Standing, r.Fingerprint, r.Remaining = Undecided, f, remaining
	}
	return r
}

// nextConvicted returns the request, or the first part of its prompt, that one more death
// would convict. Called with mu held.
func (d *Detector) nextConvicted(s Subjects, now time.Time) (f Fingerprint, ok bool) {
	for _, f := range append([]Fingerprint{s.Request}, s.Parts...) {
		survivals := d.history.allSurvivals(f)
		if d.history.Deaths(f) < 2 || survivals.Before+survivals.Since >= acquittingSurvivals {
			continue
		}
		if d.policy.Assess(d.history.Evidence(f, now)).Odds >= undecidedAt {
			return f, true
		}
	}
	return 0, false
}

// OneMoreConvicts reports whether one more death would convict a request or a part of its
// prompt. Judge tells so only while there is recent evidence.
func (d *Detector) OneMoreConvicts(s Subjects) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	_, ok := d.nextConvicted(s, time.Now())
	return ok
}

// ruling returns the ruling on one fingerprint. Called with mu held.
func (d *Detector) ruling(f Fingerprint, now time.Time) Ruling {
	v, ok := d.verdicts[f]
	if !ok || !v.InForce(now) || v.Cleared {
		return Ruling{}
	}
	return Ruling{Standing: Convicted, Fingerprint: f, Remaining: v.remaining(now)}
}

// Started records the start of an attempt on a group.
func (d *Detector) Started(group fleet.GroupID, epoch fleet.Epoch, s Subjects) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.history.Started(group, epoch, s, time.Now())
}

// Ended records the end of an attempt and whether its answer was complete. If
// the group died, GroupDied must be called first.
func (d *Detector) Ended(group fleet.GroupID, epoch fleet.Epoch, s Subjects, survived bool) {
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.history.Ended(group, epoch, s, survived, now)
	if !survived {
		return
	}
	d.reportSurvivals(now, s.Request)
	d.reportSurvivals(now, s.Parts...)
	for _, f := range s.Parts {
		if d.verdicts[f].Uncertain {
			d.requestReview()
		}
	}
}

// GroupDied records the death of a group. Repeated calls for a death have no
// effect.
func (d *Detector) GroupDied(group fleet.GroupID, epoch fleet.Epoch, fabric fleet.FabricDomain, name fleet.ServiceName) {
	now := time.Now()
	d.mu.Lock()
	s, fresh := d.history.GroupDied(group, epoch, fabric, name, now)
	if fresh {
		s.ID = uuid.New()
		d.evidenceAt = now
		d.ownSightings = append(d.ownSightings, s)
		d.ownSightings = d.ownSightings[max(len(d.ownSightings)-maxSightings, 0):]
		d.reportSurvivals(now, s.InFlight...)
		d.reportSurvivals(now, s.Parts...)
	}
	d.mu.Unlock()
	if !fresh {
		return
	}
	d.deaths.Inc(1)
	d.cfg.Events.Emit(eventDeath, "group", group, "epoch", epoch, "fabric", fabric, "service", name,
		"in_flight", len(s.InFlight), "fingerprints", fingerprintList(s.InFlight), "parts", fingerprintList(s.Parts))
	d.cfg.Notify()
	d.requestReview()
}

// reportSurvivals adds an acquittal with the survivals at this daemon of
// fingerprints with deaths that were not reported yet, and returns whether there
// are any. Called with mu held.
func (d *Detector) reportSurvivals(now time.Time, fingerprints ...Fingerprint) bool {
	fresh := map[Fingerprint]Survivals{}
	for _, f := range fingerprints {
		if !d.history.HasDeaths(f) {
			continue
		}
		s, told := d.history.Survivals(f), d.reported[f]
		s = Survivals{Before: min(s.Before, acquittalsUntil), Since: min(s.Since, acquittalsUntil)}
		if s == told {
			continue
		}
		fresh[f] = Survivals{Before: max(s.Before-told.Before, 0), Since: max(s.Since-told.Since, 0)}
		d.reported[f] = s
	}
	if len(fresh) == 0 {
		return false
	}
	d.ownAcquittals = append(d.ownAcquittals, Acquittal{ID: uuid.New(), Survivals: fresh, At: now})
	d.ownAcquittals = d.ownAcquittals[max(len(d.ownAcquittals)-maxSightings, 0):]
	return true
}

// Evidence returns this daemon's recent sightings and acquittals, to be sent to
// the peers.
func (d *Detector) Evidence() ([]Sighting, []Acquittal) {
	oldest := time.Now().Add(-sightingRetention)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.ownSightings = slices.DeleteFunc(d.ownSightings, func(s Sighting) bool { return s.At.Before(oldest) })
	d.ownAcquittals = slices.DeleteFunc(d.ownAcquittals, func(a Acquittal) bool { return a.At.Before(oldest) })
	return slices.Clone(d.ownSightings), slices.Clone(d.ownAcquittals)
}

// Observe merges sightings and acquittals of peers. Evidence already seen has no
// effect.
func (d *Detector) Observe(sightings []Sighting, acquittals []Acquittal) {
	now := time.Now()
	d.mu.Lock()
	fresh, reports := false, false
	for _, s := range sightings {
		if !d.isNew(s.ID) {
			continue
		}
		s.At = notAfter(s.At, now)
		if d.history.Observe(s, now) {
			fresh, d.evidenceAt = true, now
		}
		reports = d.reportSurvivals(now, s.InFlight...) || reports
		reports = d.reportSurvivals(now, s.Parts...) || reports
	}
	for _, a := range acquittals {
		if !d.isNew(a.ID) {
			continue
		}
		for f, s := range a.Survivals {
			d.history.AddPeerSurvivals(f, s)
			fresh = fresh || d.verdicts[f].Uncertain
		}
	}
	d.mu.Unlock()
	if reports {
		d.cfg.Notify()
	}
	if fresh {
		d.requestReview()
	}
}

func notAfter(t, now time.Time) time.Time {
	if t.IsZero() || t.After(now) {
		return now
	}
	return t
}

// isNew records the id of a peer's evidence and reports whether it is new.
// Called with mu held.
func (d *Detector) isNew(id [16]byte) bool {
	_, newer := d.seen[id]
	_, older := d.seenOlder[id]
	if newer || older {
		return false
	}
	if len(d.seen) >= maxSeenSightings {
		d.seenOlder, d.seen = d.seen, map[[16]byte]struct{}{}
	}
	d.seen[id] = struct{}{}
	return true
}

func (d *Detector) requestReview() {
	select {
	case d.reviewRequested <- struct{}{}:
	default:
	}
}

// Run decides on new evidence until ctx ends.
func (d *Detector) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-d.reviewRequested:
		}
		if !sleep(ctx, decisionDelay) {
			return
		}
		d.review()
	}
}

// maxLoggedFingerprints limits the fingerprints in one log line.
const maxLoggedFingerprints = 16

func fingerprintList(all []Fingerprint) []string {
	var out []string
	for _, f := range all[:min(len(all), maxLoggedFingerprints)] {
		out = append(out, f.String())
	}
	return out
}
