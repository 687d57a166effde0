package routing

import (
	"math"
	"slices"
	"time"
)

// Defaults of the scorers.
const (
	// DefaultPrefillRate is how many prompt tokens a group reads a second.
	DefaultPrefillRate = 20_000.0
	// DefaultTokenInterval is the time between tokens that users ask for.
	DefaultTokenInterval = 38 * time.Millisecond
	// DefaultZonePenalty is the cost of leaving the availability zone.
	DefaultZonePenalty = 5 * time.Millisecond
	// OwnCost is the cost of each of the daemon's own requests at a group,
	// and DispatchCost what one costs besides until a report shows it.
	OwnCost      = 2 * time.Millisecond
	DispatchCost = 10 * time.Millisecond
	// DefaultFabricPenalty is the cost of a fabric domain to avoid.
	DefaultFabricPenalty = 5 * time.Second
	// OutsidePartCost is the cost of a group outside the request's part: the
	// time to the first token that users ask for.
	OutsidePartCost = 770 * time.Millisecond
	// DefaultLoadBound is how far above the mean a group's load may be for
	// its cached prefixes to count.
	DefaultLoadBound = 1.25
	// unknownRate stands in for a group that reports no rate, in tokens a
	// second for each running request.
	unknownRate = 25.0
	// unknownTokens stands in for the length of an answer.
	unknownTokens = 128.0
)

// InFlight estimates how many requests a group has now. The report says how
// many it had ReportAge ago; own dispatches since are added. Daemons' own
// counts know of ends as well as starts, so the larger of both is taken.
func InFlight(c *Candidate) float64 {
	reported := float64(c.Running + c.Queued + c.SinceReport)
	counted := float64(c.OwnInFlight + c.PeerInFlight)
	return max(reported, counted)
}

// PredictWait predicts the time to the first token at the group.
func PredictWait(req *Request, c *Candidate) time.Duration {
	return seconds(queueSeconds(c) + float64(req.PromptTokens)/DefaultPrefillRate)
}

// queueSeconds predicts how long a request waits for a place in the batch.
func queueSeconds(c *Candidate) float64 {
	if c.MaxRunning == 0 {
		return 0
	}
	ahead := InFlight(c) - float64(c.MaxRunning) + 1
	if ahead <= 0 {
		return 0
	}
	return ahead * tokensPerRequest(c) / rate(c)
}

// tokensPerRequest is the mean of tokens left to a request of the group.
func tokensPerRequest(c *Candidate) float64 {
	requests := float64(c.Running + c.Queued + c.SinceReport)
	tokens := float64(c.PendingTokens + c.OwnWaitTokens)
	if requests == 0 || tokens == 0 {
		return unknownTokens
	}
	return tokens / requests
}

// rate is the group's reported rate in tokens a second.
func rate(c *Candidate) float64 {
	if c.TokensPerSecond > 0 {
		return c.TokensPerSecond
	}
	return unknownRate * float64(max(c.MaxRunning, 1))
}

// Wait costs the predicted time to the first token from the lagging report,
// corrected by own and peers' dispatches since. The daemon's own requests add
// OwnCost, and DispatchCost until a report shows them: prompts that arrive
// together are read one after the other, and only its own are known to a
// daemon without a lag.
type Wait struct{}

// Name implements Scorer.
func (Wait) Name() string { return "wait" }

// Cost implements Scorer.
func (Wait) Cost(req *Request, c *Candidate) float64 {
	prefill := float64(req.PromptTokens) / DefaultPrefillRate
	own := float64(c.OwnInFlight)*OwnCost.Seconds() + float64(c.SinceReport)*DispatchCost.Seconds()
	return queueSeconds(c) + prefill + own
}

// TokenInterval costs the part of the time between tokens that is beyond the
// target, over a usual answer, so that slow groups go last. Below the target
// all groups are alike: daemons that share a lagging view would else all
// chase the group that was quickest.
type TokenInterval struct {
	// Target is the time between tokens that is good enough,
	// DefaultTokenInterval when zero.
	Target time.Duration
}

// Name implements Scorer.
func (TokenInterval) Name() string { return "token_interval" }

// Cost implements Scorer.
func (s TokenInterval) Cost(_ *Request, c *Candidate) float64 {
	target := s.Target
	if target == 0 {
		target = DefaultTokenInterval
	}
	if c.TokensPerSecond <= 0 || c.Running == 0 {
		return 0
	}
	interval := float64(c.Running) / c.TokensPerSecond
	return max(interval-target.Seconds(), 0) * unknownTokens
}

// CachedPrefix lowers the cost by the prefill that a cached prefix saves. The
// knowledge is a hint: it counts only while the group's load is at most
// LoadBound times the mean.
type CachedPrefix struct {
	Index *PrefixIndex
	// LoadBound is DefaultLoadBound when zero.
	LoadBound float64
}

// Name implements Scorer.
func (CachedPrefix) Name() string { return "cached_prefix" }

// Cost implements Scorer.
func (s CachedPrefix) Cost(req *Request, c *Candidate) float64 {
	if s.Index == nil || len(req.Prefixes) == 0 {
		return 0
	}
	bound := s.LoadBound
	if bound == 0 {
		bound = DefaultLoadBound
	}
	if InFlight(c) > math.Ceil(req.meanInFlight*bound) {
		return 0
	}
	cached := s.Index.Match(c.Group, req.Prefixes)
	saved := float64(req.PromptTokens) * float64(cached) / float64(len(req.Prefixes))
	return -saved / DefaultPrefillRate
}

// OtherZone costs leaving the daemon's availability zone.
type OtherZone struct {
	// Penalty is DefaultZonePenalty when zero.
	Penalty time.Duration
}

// Name implements Scorer.
func (OtherZone) Name() string { return "zone" }

// Cost implements Scorer.
func (s OtherZone) Cost(req *Request, c *Candidate) float64 {
	if req.Zone == "" || c.Zone == req.Zone {
		return 0
	}
	if s.Penalty == 0 {
		return DefaultZonePenalty.Seconds()
	}
	return s.Penalty.Seconds()
}

// AvoidedFabric costs fabric domains in which an earlier attempt failed.
type AvoidedFabric struct {
	// Penalty is DefaultFabricPenalty when zero.
	Penalty time.Duration
}

// Name implements Scorer.
func (AvoidedFabric) Name() string { return "fabric" }

// Cost implements Scorer.
func (s AvoidedFabric) Cost(req *Request, c *Candidate) float64 {
	if !slices.Contains(req.AvoidFabric, c.Fabric) {
		return 0
	}
	if s.Penalty == 0 {
		return DefaultFabricPenalty.Seconds()
	}
	return s.Penalty.Seconds()
}
