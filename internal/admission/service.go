package admission

import (
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
	// defaultWeight is the weight of a request that names none.
	defaultWeight = 1.0
)

// service is the requests in flight of one service at this daemon.
type service struct {
	limiter    Limiter
	rng        *rand.Rand
	drain      rateMeter
	inFlight   int
	workspaces []*workspace // in order of arrival
}

// workspace is one workspace's part in a service.
type workspace struct {
	name       fleet.Workspace
	weight     float64
	inFlight   int
	demand     float64 // highest number in flight, fading
	seen       time.Time
	nextReturn time.Time
}

func newService(limiter Limiter, rng *rand.Rand) *service {
	return &service{limiter: limiter, rng: rng}
}

// admit takes a place for the request or says why there is none.
func (s *service) admit(now time.Time, req Request) (*workspace, *fleet.Failure) {
	w := s.workspace(now, req)
	if failure := s.refuseLate(now, req); failure != nil {
		return nil, failure
	}
	if req.MaxInFlight > 0 && w.inFlight >= int(req.MaxInFlight) {
		return nil, s.refuse(now, w, "workspace %s has %d requests in flight, its limit", w.name, w.inFlight)
	}
	limit := s.limit(req)
	if !s.hasRoom(w, limit) {
		return nil, s.refuse(now, w, "service %s is over its limit of %.0f requests at once", req.Service, limit)
	}
	s.inFlight++
	w.inFlight++
	w.demand = max(w.demand, float64(w.inFlight))
	return w, nil
}

// release gives a place back.
func (s *service) release(now time.Time, w *workspace, res Result) {
	s.limiter.Observe(now, s.inFlight, res)
	s.inFlight--
	w.inFlight--
	s.drain.add(now)
	invariant.Check(s.inFlight >= 0 && w.inFlight >= 0, "admission.in_flight_not_negative",
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
		found = &workspace{name: req.Workspace, seen: now}
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

// hasRoom reports whether w may start one more request. Within its fair share
// it may, even a little over the limit; beyond, only in room that others are
// not likely to want.
func (s *service) hasRoom(w *workspace, limit float64) bool {
	weights := 0.0
	for _, other := range s.workspaces {
		weights += other.weight
	}
	share := limit / weights
	after := float64(s.inFlight + 1)
	if float64(w.inFlight+1) <= max(share*w.weight, 1) {
		return after <= limit+max(limit/overshootPart, 1)
	}
	reserved := 0.0
	for _, other := range s.workspaces {
		if other != w {
			reserved += other.reserve(share)
		}
	}
	return after+reserved <= limit
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
		retryAfter = s.spread(max(req.PredictedWait, minRetryAfter))
	}
	return fleet.Refuse(fleet.ReasonDeadline, retryAfter,
		"%s left until the deadline, predicted %s wait and %s run",
		left.Round(time.Millisecond), req.PredictedWait.Round(time.Millisecond), req.PredictedRun.Round(time.Millisecond))
}

// refuse refuses a request for lack of room.
func (s *service) refuse(now time.Time, w *workspace, format string, args ...any) *fleet.Failure {
	return fleet.Refuse(fleet.ReasonOverloaded, s.retryAfter(now, w), format, args...)
}
