package suspect

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/google/uuid"
	metrics "github.com/rcrowley/go-metrics"

	"carawayproxy.example/caraway/internal/event"
	"carawayproxy.example/caraway/internal/fleet"
)

const (
	// decisionDelay is the time between new evidence and the decision on it, in
	// which peers report survivals of the same requests.
	decisionDelay = 300 * time.Millisecond
	// minTiedDeaths is the number of deaths that count from which on requests or
	// parts that cannot be told apart are rejected, if conclusiveDeaths were seen.
	minTiedDeaths = 3
	// tieFactor is the ratio of the odds up to which two requests that were in
	// flight at the same deaths cannot be told apart.
	tieFactor = 10
	// uncertainTerm is the duration of the first verdict on requests or parts that
	// the evidence does not tell apart, or that groups have survived. The runs that
	// follow tell them apart. It doubles with each verdict.
	uncertainTerm = 10 * time.Second
	// maxTermDoublings bounds the doublings of uncertainTerm.
	maxTermDoublings = 9
	// acquittalsUntil bounds the survivals of one request or part that a daemon
	// reports.
	acquittalsUntil = 8
)

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
// servers, on daemons without a control stream. Daemons exchange sightings and acquittals and decide by the
// same evidence, each for itself; the verdicts are kept outside, for daemons
// that start later. It is safe for concurrent use.
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
	if len(d.verdicts) == 0 {
		return Ruling{}
	}
	if r := d.ruling(s.Request, now); r.Standing != Clear {
		return r
	}
	for _, f := range s.Parts {
		if r := d.ruling(f, now); r.Standing != Clear {
			return r
		}
	}
	return Ruling{}
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
		fresh = d.history.Observe(s, now) || fresh
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

// review convicts the requests that the evidence speaks against, one after the
// other, because each conviction explains deaths that spoke against others.
func (d *Detector) review() {
	now := time.Now()
	groups := d.cfg.Groups()
	d.mu.Lock()
	d.history.SetGroups(groups)
	d.expire(now)
	lifted := d.liftUnsupported(now)
	var added []Verdict
	var odds []float64
	for {
		accused, uncertain := d.accuse(now)
		if len(accused) == 0 {
			break
		}
		for _, a := range accused {
			term := d.cfg.Term
			if uncertain {
				n := d.uncertain[a.fingerprint]
				term = min(uncertainTerm<<min(n, maxTermDoublings), term)
				d.uncertain[a.fingerprint] = n + 1
			}
			v := Verdict{
				Fingerprint: a.fingerprint, Service: d.history.Service(a.fingerprint), Author: d.cfg.Self,
				Until: now.Add(term).UnixMilli(), Deaths: a.deaths, Survivals: a.survivals,
				Part: d.history.IsPart(a.fingerprint), Decided: now.UnixMilli(), Uncertain: uncertain,
			}
			d.put(v)
			d.unrecorded[a.fingerprint] = struct{}{}
			added, odds = append(added, v), append(odds, a.odds)
		}
	}
	d.mu.Unlock()
	for _, f := range lifted {
		d.cfg.Events.Emit(eventLifted, "fingerprint", f)
	}
	for i, v := range added {
		d.cfg.Announce(v)
		d.convictions.Inc(1)
		d.cfg.Events.Emit(eventConvicted, "fingerprint", v.Fingerprint, "part", v.Part, "service", v.Service,
			"deaths", v.Deaths, "survivals", v.Survivals, "odds", odds[i], "until", time.UnixMilli(v.Until).UTC())
	}
}

// liftUnsupported drops the uncertain verdicts that the evidence no longer
// supports, and returns their fingerprints. Called with mu held.
func (d *Detector) liftUnsupported(now time.Time) []Fingerprint {
	var lifted []Fingerprint
	for f, v := range d.verdicts {
		if v.Uncertain && !v.Cleared && d.history.HasDeaths(f) && d.policy.Assess(d.history.Evidence(f, now)).Standing != Convicted {
			lifted = append(lifted, f)
		}
	}
	for _, f := range lifted {
		d.drop(f)
	}
	return lifted
}

// accused is a request or a part that the evidence speaks against.
type accused struct {
	fingerprint Fingerprint
	odds        float64
	deaths      int // without a known cause that count
	seen        int // without a known cause in all
	survivals   int
}

// conclusive reports whether the deaths suffice to convict without telling the
// request or part from others.
func (a accused) conclusive() bool {
	return a.deaths >= conclusiveDeaths || a.seen >= conclusiveDeaths && a.deaths >= minTiedDeaths
}

// accuse returns the requests or parts to be convicted next; none if there are no
// more. Of several that were in flight at the same deaths and that the evidence
// does not tell apart, it returns none before conclusiveDeaths. uncertain is set for
// these and for one that groups have survived. A request goes before the parts of
// its prompt, because it explains no other request's deaths. Called with mu held.
func (d *Detector) accuse(now time.Time) (convict []accused, uncertain bool) {
	var all []accused
	for _, f := range d.history.Fingerprints() {
		if v, ok := d.verdicts[f]; d.history.Deaths(f) < 2 || ok && v.InForce(now) && !v.Uncertain {
			continue
		}
		e := d.history.Evidence(f, now)
		if a := d.policy.Assess(e); a.Standing == Convicted {
			all = append(all, accused{f, a.Odds, e.unexplainedCauses(), e.unexplained(), e.AllSurvivals.Before + e.AllSurvivals.Since})
		}
	}
	slices.SortFunc(all, func(a, b accused) int { return cmp.Compare(b.odds, a.odds) })
	for _, first := range all {
		tied := slices.DeleteFunc(slices.Clone(all), func(a accused) bool {
			return a.odds*tieFactor < first.odds || !d.history.shareDeath(a.fingerprint, first.fingerprint)
		})
		if requests := slices.DeleteFunc(slices.Clone(tied), func(a accused) bool { return d.history.IsPart(a.fingerprint) }); len(requests) > 0 {
			tied = requests
		}
		if len(tied) == 1 && tied[0].survivals == 0 {
			return tied, false
		}
		rejected := func(a accused) bool { return d.verdicts[a.fingerprint].InForce(now) }
		several := len(tied) > 1
		undecided := slices.DeleteFunc(tied, func(a accused) bool { return rejected(a) || several && !a.conclusive() })
		if len(undecided) > 0 {
			return undecided, true
		}
	}
	return nil, false
}

// put stores a verdict and keeps their number within maxVerdicts. Called with mu
// held.
func (d *Detector) put(v Verdict) {
	d.verdicts[v.Fingerprint] = v
	// An uncertain verdict explains no deaths.
	d.history.SetConvicted(v.Fingerprint, !v.Cleared && !v.Uncertain)
	if len(d.verdicts) > maxVerdicts {
		d.drop(firstToExpire(d.verdicts))
	}
}

func (d *Detector) drop(f Fingerprint) {
	delete(d.verdicts, f)
	delete(d.unrecorded, f)
	d.history.SetConvicted(f, false)
}

// expire drops verdicts that are no longer in force. Called with mu held.
func (d *Detector) expire(now time.Time) {
	for f, v := range d.verdicts {
		if !v.InForce(now) {
			d.drop(f)
		}
	}
	noDeaths := func(f Fingerprint) bool { return !d.history.HasDeaths(f) }
	maps.DeleteFunc(d.reported, func(f Fingerprint, _ Survivals) bool { return noDeaths(f) })
	maps.DeleteFunc(d.uncertain, func(f Fingerprint, _ int) bool { return noDeaths(f) })
}

// Apply adopts a verdict of another daemon or of an earlier time, unless a later
// one on the same fingerprint is known. recorded is set if it is kept outside.
func (d *Detector) Apply(v Verdict, recorded bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	old, known := d.verdicts[v.Fingerprint]
	if now := time.Now(); !v.InForce(now) || known && old.InForce(now) && old != v && !v.replaces(old) {
		return
	}
	d.put(v)
	if recorded {
		delete(d.unrecorded, v.Fingerprint)
	} else {
		d.unrecorded[v.Fingerprint] = struct{}{}
	}
}

// Clear lets a request run as usual for DetectorConfig.Term regardless of the
// evidence, and returns the verdict.
func (d *Detector) Clear(f Fingerprint) Verdict {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	v := Verdict{
		Fingerprint: f, Service: d.verdicts[f].Service, Author: d.cfg.Self, Deaths: d.history.Deaths(f), Cleared: true,
		Part: d.verdicts[f].Part, Until: now.Add(d.cfg.Term).UnixMilli(), Decided: now.UnixMilli(),
	}
	d.put(v)
	d.unrecorded[f] = struct{}{}
	d.cfg.Events.Emit(eventCleared, "fingerprint", f)
	return v
}

// Verdicts returns the verdicts in force, sorted by fingerprint.
func (d *Detector) Verdicts() []Verdict {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.expire(time.Now())
	return sortedVerdicts(d.verdicts)
}

// Unrecorded returns the verdicts that may not be kept outside yet.
func (d *Detector) Unrecorded() []Verdict {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.expire(time.Now())
	return slices.DeleteFunc(sortedVerdicts(d.verdicts), func(v Verdict) bool {
		_, unrecorded := d.unrecorded[v.Fingerprint]
		return !unrecorded
	})
}

// Recorded notes that a verdict is kept outside. A failure to do so is logged.
func (d *Detector) Recorded(v Verdict, err error) {
	if err != nil {
		d.cfg.Events.Emit(eventNotRecorded, "fingerprint", v.Fingerprint, "error", err)
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.verdicts[v.Fingerprint] == v {
		delete(d.unrecorded, v.Fingerprint)
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
