package admission

import (
	"math"
	"math/rand/v2"
	"time"

	"carawayproxy.example/caraway/internal/fleet"
	"carawayproxy.example/caraway/internal/invariant"
)

const (
	// activeWindow is how long after its last request a workspace counts.
	activeWindow = 10 * time.Second
	// demandDecay is the time in which the memory of a workspace's highest
	// number in flight halves.
	demandDecay = 5 * time.Second
	// overshootPart is the part of the limit by which a workspace under its
	// fair share may go over the limit while others give back.
	overshootPart = 8
	// averageTime is the time over which a workspace's number in flight is
	// averaged.
	averageTime = 10 * time.Second
	// modestPart is the part of its fair share that a modest workspace uses
	// on average, at most.
	modestPart = 0.8
	// defaultWeight is the weight of a request that names none.
	defaultWeight = 1.0
)

// service is the requests in flight of one service at this daemon.
type service struct {
	limiter    Limiter
	borrow     float64 // part of the limit that borrowers may fill
	allGroups  bool
	rng        *rand.Rand
	drain      rateMeter
	inFlight   int
	lastLimit  float64      // of the last request, zero before
	workspaces []*workspace // in order of arrival
}

// workspace is one workspace's part in a service.
type workspace struct {
	name       fleet.Workspace
	weight     float64
	inFlight   int
	demand     float64 // highest number in flight, fading
	average    float64 // of the number in flight, at counted
	counted    time.Time
	seen       time.Time
	nextReturn time.Time
	asked      rateMeter // requests
	refused    rateMeter // of these, for lack of room
}

func newService(cfg Config, rng *rand.Rand) *service {
	return &service{limiter: cfg.NewLimiter(), borrow: cfg.BorrowShare, allGroups: cfg.AllGroups, rng: rng}
}

// admit takes a place for the request or says why there is none. The place
// is borrowed when the workspace is beyond its fair share.
func (s *service) admit(now time.Time, req Request) (w *workspace, borrowed bool, failure *fleet.Failure) {
	w = s.workspace(now, req)
	if failure := s.refuseLate(now, req); failure != nil {
		return nil, false, failure
	}
	if req.MaxInFlight > 0 && w.inFlight >= int(req.MaxInFlight) {
		return nil, false, s.refuse(now, w, "workspace %s has %d requests in flight, its limit", w.name, w.inFlight)
	}
	limit, share := s.bounds(now, w, req)
	borrowed = w.borrows(now, share)
	hasRoom := s.hasRoom(now, w, limit, share, borrowed)
	w.asked.add(now)
	if !hasRoom {
		w.refused.add(now)
	}
	if !hasRoom && borrowed {
		return nil, false, s.refuse(now, w, "workspace %s is beyond its fair share of service %s", w.name, req.Service)
	}
	if !hasRoom {
		return nil, false, s.refuse(now, w, "service %s is over its limit of %.0f requests at once", req.Service, limit)
	}
	s.inFlight++
	w.count(now, 1)
	w.demand = max(w.demand, float64(w.inFlight))
	return w, borrowed, nil
}

// bounds returns the limit for a request of w, and the fair share of it for
// each unit of weight. A workspace that is spared has those of the capacity.
func (s *service) bounds(now time.Time, w *workspace, req Request) (limit, share float64) {
	limit = s.limit(req)
	share = s.share(limit)
	s.lastLimit = limit
	whole := float64(req.Capacity)
	if whole > limit && s.spared(now, w, share, s.share(whole)) {
		return whole, s.share(whole)
	}
	return limit, share
}

// release gives a place back.
func (s *service) release(now time.Time, w *workspace, res Result) {
	if !s.confines(now, w) { // else late in groups of its own
		s.limiter.Observe(now, s.inFlight, res)
	}
	s.inFlight--
	w.count(now, -1)
	s.drain.add(now)
	invariant.Check(s.inFlight >= 0 && w.inFlight >= 0, "admission.in-flight-not-negative",
		"service has %d, workspace %s has %d in flight", s.inFlight, w.name, w.inFlight)
}

// workspace returns the request's workspace and forgets idle ones.
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
		} else if w.inFlight == 0 && now.Sub(w.seen) > activeWindow {
			continue
		}
		kept = append(kept, w)
	}
	clear(s.workspaces[len(kept):])
	if found == nil {
		found = &workspace{name: req.Workspace, seen: now, counted: now}
		kept = append(kept, found)
	}
	s.workspaces = kept
	found.weight = weight
	found.demand = fade(found.demand, now.Sub(found.seen))
	found.seen = now
	return found
}

// limit is the number of requests that may be in flight.
func (s *service) limit(req Request) float64 {
	s.limiter.Expect(float64(req.Capacity))
	limit := s.limiter.Limit()
	if req.Capacity > 0 {
		limit = min(limit, float64(req.Capacity))
	}
	return max(limit, 1)
}

// share is the fair share of the limit for each unit of weight.
func (s *service) share(limit float64) float64 {
	weights := 0.0
	for _, w := range s.workspaces {
		weights += w.weight
	}
	return limit / weights
}

// hasRoom reports whether w may start one more request. Beyond its fair share
// it may fill the borrowed part of the limit, less what others are likely to
// want of it. A workspace that stays under its share, and only such a one,
// may go a little over the limit while others give back.
func (s *service) hasRoom(now time.Time, w *workspace, limit, share float64, borrowed bool) bool {
	after := float64(s.inFlight + 1)
	overshoot := max(limit/overshootPart, 1)
	if s.confines(now, w) {
		return after <= limit && float64(w.inFlight+1) <= w.fair(share)
	}
	if !borrowed {
		return after <= limit || after <= limit+overshoot && w.under(now, share)
	}
	reserved := -overshoot
	for _, other := range s.workspaces {
		if other != w {
			reserved += other.reserve(share)
		}
	}
	return after <= min(limit-reserved, limit*s.borrow)
}

// count changes the number in flight and keeps its average.
func (w *workspace) count(now time.Time, change int) {
	w.average = w.averageAt(now)
	w.counted = now
	w.inFlight += change
}

// averageAt is the average number in flight, recent times counting most.
func (w *workspace) averageAt(now time.Time) float64 {
	old := math.Exp(-now.Sub(w.counted).Seconds() / averageTime.Seconds())
	return w.average*old + float64(w.inFlight)*(1-old)
}

// fair is the workspace's fair share, at least one request.
func (w *workspace) fair(share float64) float64 { return max(share*w.weight, 1) }

// modest reports whether the average is well within the fair share, so that
// the workspace is not one that fills it all the time.
func (w *workspace) modest(now time.Time, share float64) bool {
	return w.averageAt(now) <= modestPart*w.fair(share)
}

// under reports whether one more request of a modest workspace is within its
// fair share.
func (w *workspace) under(now time.Time, share float64) bool {
	return float64(w.inFlight+1) <= w.fair(share) && w.modest(now, share)
}

// borrows reports whether one more request is beyond the fair share. The
// bursts of a modest workspace are not.
func (w *workspace) borrows(now time.Time, share float64) bool {
	after := float64(w.inFlight + 1)
	fair := w.fair(share)
	if after <= fair {
		return false
	}
	return after > fair+spread(fair) || !w.modest(now, share)
}

// reserve is the room kept for the workspace: up to its recent demand and one
// more, within its fair share.
func (w *workspace) reserve(share float64) float64 {
	wanted := min(w.demand+1, share*w.weight)
	return max(wanted-float64(w.inFlight), 0)
}

// refuseLate refuses a request that can't end before its deadline.
func (s *service) refuseLate(now time.Time, req Request) *fleet.Failure {
	if req.Deadline.IsZero() {
		return nil
	}
	left := req.Deadline.Sub(now)
	if req.PredictedWait+req.PredictedRun <= left {
		return nil
	}
	var retryAfter time.Duration
	if req.PredictedRun <= left {
		retryAfter = s.delayed(max(req.PredictedWait, minRetryAfter))
	}
	return fleet.Refuse(fleet.ReasonDeadline, retryAfter,
		"%s left until the deadline, predicted %s wait and %s run",
		left.Round(time.Millisecond), req.PredictedWait.Round(time.Millisecond), req.PredictedRun.Round(time.Millisecond))
}

// refuse refuses a request for lack of room.
func (s *service) refuse(now time.Time, w *workspace, format string, args ...any) *fleet.Failure {
	return fleet.Refuse(fleet.ReasonOverloaded, s.retryAfter(now, w), format, args...)
}
