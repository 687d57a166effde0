package admission

import (
	"math"
	"math/rand/v2"
	"time"

	"carawayproxy.example/caraway/internal/fleet"
	"carawayproxy.example/caraway/internal/invariant"
)

const (
	// activeWindow is how long a workspace without requests in flight counts as
	// active after its last request.
	activeWindow = 10 * time.Second
	// demandHalfLife is the half-life of a workspace's recorded peak of requests
	// in flight.
	demandHalfLife = 5 * time.Second
	// overshootDivisor bounds how far a workspace below its fair share may
	// exceed the limit while others still release capacity: by at most
	// limit/overshootDivisor, or by one request.
	overshootDivisor = 8
	// averagingTime is the time constant of the average number of requests in
	// flight.
	averagingTime = 10 * time.Second
	// lightUseRatio is the largest average utilization of its fair share at
	// which a workspace counts as a light user.
	lightUseRatio = 0.8
	// defaultWeight is the weight of a workspace whose requests state none.
	defaultWeight = 1.0
)

// service tracks the in-flight requests of one service at this daemon.
type service struct {
	limiter           Limiter
	overShareFraction float64 // see Config.OverShareFraction
	allGroups         bool
	rng               *rand.Rand
	completions       rateMeter
	inFlight          int
	lastLimit         float64      // at the last request, initially zero
	workspaces        []*workspace // in order of their first request
}

// workspace tracks one workspace's use of a service.
type workspace struct {
	name        fleet.Workspace
	weight      float64
	inFlight    int
	demand      float64 // peak of inFlight, decaying
	average     float64 // average of inFlight, as of averagedAt
	averagedAt  time.Time
	lastRequest time.Time
	nextRetry   time.Time
	requests    rateMeter
	refusals    rateMeter // requests refused for lack of capacity
}

func newService(cfg Config, rng *rand.Rand) *service {
	return &service{limiter: cfg.NewLimiter(), overShareFraction: cfg.OverShareFraction, allGroups: cfg.AllGroups, rng: rng}
}

// admit admits the request or returns the refusal. overShare reports whether the
// workspace exceeds its fair share.
func (s *service) admit(now time.Time, req Request) (w *workspace, overShare bool, failure *fleet.Failure) {
	w = s.workspace(now, req)
	if failure := s.checkDeadline(now, req); failure != nil {
		return nil, false, failure
	}
	if req.MaxInFlight > 0 && w.inFlight >= int(req.MaxInFlight) {
		return nil, false, s.refuse(now, w, "workspace %s has %d requests in flight, its limit", w.name, w.inFlight)
	}
	limit, share := s.bounds(now, w, req)
	overShare = w.exceedsShare(now, share)
	hasRoom := s.hasRoom(now, w, limit, share, overShare)
	w.requests.add(now)
	if !hasRoom {
		w.refusals.add(now)
	}
	if !hasRoom && overShare {
		return nil, false, s.refuse(now, w, "workspace %s is beyond its fair share of service %s", w.name, req.Service)
	}
	if !hasRoom {
		return nil, false, s.refuse(now, w, "service %s is over its limit of %.0f requests at once", req.Service, limit)
	}
	s.inFlight++
	w.addInFlight(now, 1)
	w.demand = max(w.demand, float64(w.inFlight))
	return w, overShare, nil
}

// bounds returns the limit for a request of w and the fair share of it per unit
// of weight. For a protected workspace both are those of the whole capacity.
func (s *service) bounds(now time.Time, w *workspace, req Request) (limit, share float64) {
	limit = s.limit(req)
	share = s.share(limit)
	s.lastLimit = limit
	capacity := float64(req.Capacity)
	if capacity > limit && s.isProtected(now, w, share, s.share(capacity)) {
		return capacity, s.share(capacity)
	}
	return limit, share
}

// release ends a request of w and records its result.
func (s *service) release(now time.Time, w *workspace, res Result) {
	if !s.isConfined(now, w) { // a confined workspace is late only in its own groups
		s.limiter.Observe(now, s.inFlight, res)
	}
	s.inFlight--
	w.addInFlight(now, -1)
	s.completions.add(now)
	invariant.Check(s.inFlight >= 0 && w.inFlight >= 0, "admission.in-flight-not-negative",
		"service has %d, workspace %s has %d in flight", s.inFlight, w.name, w.inFlight)
}

// workspace returns the request's workspace and removes inactive ones.
func (s *service) workspace(now time.Time, req Request) *workspace {
	weight := req.Weight
	if weight <= 0 {
		weight = defaultWeight
	}
	var found *workspace
	kept := s.workspaces[:0]
	for _, w := range s.workspaces {
		if w.name == req.Workspace {
			found = w
		} else if w.inFlight == 0 && now.Sub(w.lastRequest) > activeWindow {
			continue
		}
		kept = append(kept, w)
	}
	clear(s.workspaces[len(kept):])
	if found == nil {
		found = &workspace{name: req.Workspace, lastRequest: now, averagedAt: now}
		kept = append(kept, found)
	}
	s.workspaces = kept
	found.weight = weight
	found.demand = decay(found.demand, now.Sub(found.lastRequest))
	found.lastRequest = now
	return found
}

// limit returns the number of requests of the service that may be in flight.
func (s *service) limit(req Request) float64 {
	s.limiter.SetCapacity(float64(req.Capacity))
	limit := s.limiter.Limit()
	if req.Capacity > 0 {
		limit = min(limit, float64(req.Capacity))
	}
	return max(limit, 1)
}

// share returns the fair share of the limit per unit of weight.
func (s *service) share(limit float64) float64 {
	weights := 0.0
	for _, w := range s.workspaces {
		weights += w.weight
	}
	return limit / weights
}

// hasRoom reports whether w may start one more request. Beyond its fair share, w
// may use overShareFraction of the limit, less the capacity reserved for other
// workspaces. A light user within its fair share may slightly exceed the limit
// while other workspaces still release capacity.
func (s *service) hasRoom(now time.Time, w *workspace, limit, share float64, overShare bool) bool {
	after := float64(s.inFlight + 1)
	overshoot := max(limit/overshootDivisor, 1)
	if s.isConfined(now, w) {
		return after <= limit && float64(w.inFlight+1) <= w.fairShare(share)
	}
	if !overShare {
		return after <= limit || after <= limit+overshoot && w.isWithinShare(now, share)
	}
	reserved := -overshoot
	for _, other := range s.workspaces {
		if other != w {
			reserved += other.reservation(share)
		}
	}
	return after <= min(limit-reserved, limit*s.overShareFraction)
}

// addInFlight adds delta to the number of requests in flight and updates its
// average.
func (w *workspace) addInFlight(now time.Time, delta int) {
	w.average = w.averageAt(now)
	w.averagedAt = now
	w.inFlight += delta
}

// averageAt returns the exponentially weighted average of requests in flight.
func (w *workspace) averageAt(now time.Time) float64 {
	old := math.Exp(-now.Sub(w.averagedAt).Seconds() / averagingTime.Seconds())
	return w.average*old + float64(w.inFlight)*(1-old)
}

// fairShare returns the workspace's fair share, at least one request.
func (w *workspace) fairShare(share float64) float64 { return max(share*w.weight, 1) }

// isLightUser reports whether the average number of requests in flight is well
// below the fair share, so that the workspace does not fill it all the time.
func (w *workspace) isLightUser(now time.Time, share float64) bool {
	return w.averageAt(now) <= lightUseRatio*w.fairShare(share)
}

// isWithinShare reports whether the workspace is a light user and one more
// request keeps it within its fair share.
func (w *workspace) isWithinShare(now time.Time, share float64) bool {
	return float64(w.inFlight+1) <= w.fairShare(share) && w.isLightUser(now, share)
}

// exceedsShare reports whether one more request exceeds the fair share. A light
// user may exceed its share by burstAllowance.
func (w *workspace) exceedsShare(now time.Time, share float64) bool {
	after := float64(w.inFlight + 1)
	fair := w.fairShare(share)
	if after <= fair {
		return false
	}
	return after > fair+burstAllowance(fair) || !w.isLightUser(now, share)
}

// reservation returns the capacity to reserve for the workspace: its recent peak
// demand plus one request, within its fair share, less what it already uses.
func (w *workspace) reservation(share float64) float64 {
	wanted := min(w.demand+1, share*w.weight)
	return max(wanted-float64(w.inFlight), 0)
}

// checkDeadline refuses a request that cannot end before its deadline.
func (s *service) checkDeadline(now time.Time, req Request) *fleet.Failure {
	if req.Deadline.IsZero() {
		return nil
	}
	left := req.Deadline.Sub(now)
	if req.PredictedWait+req.PredictedRun <= left {
		return nil
	}
	var retryAfter time.Duration
	if req.PredictedRun <= left {
		retryAfter = s.withJitter(max(req.PredictedWait, minRetryAfter))
	}
	return fleet.NewNotRunFailure(fleet.ReasonDeadline, retryAfter,
		"%s left until the deadline, predicted %s wait and %s run",
		left.Round(time.Millisecond), req.PredictedWait.Round(time.Millisecond), req.PredictedRun.Round(time.Millisecond))
}

// refuse returns the refusal of a request for lack of capacity.
func (s *service) refuse(now time.Time, w *workspace, format string, args ...any) *fleet.Failure {
	return fleet.NewNotRunFailure(fleet.ReasonOverloaded, s.retryAfter(now, w), format, args...)
}
