package routing

import (
	"math"
	"slices"
	"time"
)

// Defaults and weights of the scorers.
const (
	// DefaultPrefillRate is the assumed prefill speed in prompt tokens/s.
	DefaultPrefillRate = 20_000.0
	// DefaultTokenInterval is the inter-token latency that users ask for.
	DefaultTokenInterval = 38 * time.Millisecond
	// DefaultZonePenalty is the cost of routing to another availability zone.
	DefaultZonePenalty = 5 * time.Millisecond
	// OwnInFlightCost is the cost of each in-flight request of this daemon at a
	// group. UnreportedDispatchCost is the extra cost of each dispatch that the
	// group's load report does not include yet.
	OwnInFlightCost        = 2 * time.Millisecond
	UnreportedDispatchCost = 10 * time.Millisecond
	// DefaultFabricPenalty is the cost of a fabric domain in which an earlier
	// attempt failed.
	DefaultFabricPenalty = 5 * time.Second
	// UnreachableZoneCost is the cost of an availability zone in which an earlier attempt
	// got no connection: a zone that is cut off or loses its servers costs further dials.
	UnreachableZoneCost = 100 * time.Millisecond
	// ColdCost is the cost of a group whose leader is cold: its share is for requests
	// that would wait elsewhere.
	ColdCost = 50 * time.Millisecond
	// OutsideRangeCost is the cost of a group outside the request's GroupRange.
	// It equals the time to first token that users ask for.
	OutsideRangeCost = 770 * time.Millisecond
	// DefaultLoadBound is the ratio of a group's load to the mean load up to
	// which its cached prefixes lower its cost.
	DefaultLoadBound = 1.25
	// defaultRatePerRequest is the rate, in tokens/s per running request,
	// assumed for a group that reports none.
	defaultRatePerRequest = 25.0
	// defaultAnswerTokens is the assumed length of an answer.
	defaultAnswerTokens = 128.0
)

// InFlight estimates the current number of in-flight requests at a group. It
// adds this daemon's dispatches since the load report to the reported number,
// which is ReportAge old. It returns that sum or the daemons' own counts,
// whichever is larger, because the counts also reflect completed requests.
func InFlight(c *Candidate) float64 {
	reported := float64(c.Running + c.Queued + c.UnreportedDispatches)
	counted := float64(c.OwnInFlight + c.PeerInFlight)
	return max(reported, counted)
}

// PredictWait predicts the time to first token at the group.
func PredictWait(req *Request, c *Candidate) time.Duration {
	return secondsToDuration(queueSeconds(c) + float64(req.PromptTokens)/DefaultPrefillRate)
}

// queueSeconds predicts how long a request waits for a slot in the batch, in
// seconds.
func queueSeconds(c *Candidate) float64 {
	if c.MaxRunning == 0 {
		return 0
	}
	ahead := InFlight(c) - float64(c.MaxRunning) + 1
	if ahead <= 0 {
		return 0
	}
	return ahead * tokensPerRequest(c) / tokenRate(c)
}

// tokensPerRequest estimates the mean number of tokens that the group still has
// to generate for each of its requests.
func tokensPerRequest(c *Candidate) float64 {
	requests := float64(c.Running + c.Queued + c.UnreportedDispatches)
	tokens := float64(c.PendingTokens + c.UnreportedTokens)
	if requests == 0 || tokens == 0 {
		return defaultAnswerTokens
	}
	return tokens / requests
}

// tokenRate returns the group's reported rate in tokens/s, or a default if the
// group reports none.
func tokenRate(c *Candidate) float64 {
	if c.TokensPerSecond > 0 {
		return c.TokensPerSecond
	}
	return defaultRatePerRequest * float64(max(c.MaxRunning, 1))
}

// Wait scores a group by its predicted time to first token. The prediction
// starts from the delayed load report and adds the dispatches of this daemon
// and its peers since. The daemon's own requests add OwnInFlightCost each, and
// UnreportedDispatchCost until a load report includes them, because a group
// prefills concurrent prompts one after another and a daemon knows without
// delay only of its own dispatches.
type Wait struct{}

// Name implements Scorer.
func (Wait) Name() string { return "wait" }

// Cost implements Scorer.
func (Wait) Cost(req *Request, c *Candidate) float64 {
	prefill := float64(req.PromptTokens) / DefaultPrefillRate
	own := float64(c.OwnInFlight)*OwnInFlightCost.Seconds() + float64(c.UnreportedDispatches)*UnreportedDispatchCost.Seconds()
	return queueSeconds(c) + prefill + own
}

// TokenInterval scores a group by how far its inter-token latency exceeds
// Target, multiplied by the length of a typical answer, so that slow groups are
// used last. Groups that meet the target cost the same; otherwise daemons that
// share a delayed report would all choose the group that was fastest.
type TokenInterval struct {
	// Target is the acceptable inter-token latency; it defaults to
	// DefaultTokenInterval.
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
	return max(interval-target.Seconds(), 0) * defaultAnswerTokens
}

// CachedPrefix lowers a group's cost by the prefill time that a cached prefix
// saves. The index is only a hint, so the reduction applies only while the
// group's load is at most LoadBound times the mean.
type CachedPrefix struct {
	Index *PrefixIndex
	// LoadBound defaults to DefaultLoadBound.
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

// OtherZone adds a penalty for groups outside the daemon's availability zone.
type OtherZone struct {
	// Penalty defaults to DefaultZonePenalty.
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

// AvoidedFabric adds a penalty for fabric domains in which an earlier attempt
// failed.
type AvoidedFabric struct {
	// Penalty defaults to DefaultFabricPenalty.
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

// UnreachableZone adds UnreachableZoneCost for groups in availability zones in which an
// earlier attempt got no connection.
type UnreachableZone struct{}

// Name implements Scorer.
func (UnreachableZone) Name() string { return "unreachable" }

// Cost implements Scorer.
func (UnreachableZone) Cost(req *Request, c *Candidate) float64 {
	if slices.Contains(req.UnreachableZones, c.Zone) {
		return UnreachableZoneCost.Seconds()
	}
	return 0
}

// ColdLeader adds ColdCost for groups whose leader is cold.
type ColdLeader struct{}

// Name implements Scorer.
func (ColdLeader) Name() string { return "cold" }

// Cost implements Scorer.
func (ColdLeader) Cost(_ *Request, c *Candidate) float64 {
	if c.Cold {
		return ColdCost.Seconds()
	}
	return 0
}
