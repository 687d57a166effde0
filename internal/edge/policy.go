package edge

import (
	"time"

	"carawayproxy.example/caraway/internal/placement"
	"carawayproxy.example/caraway/internal/routing"
)

const (
	// returnGrace is how long after the store recovers an unlisted server may
	// still register again, as specified by the operators.
	returnGrace = 2 * time.Second
	// startupPeriod is how long after its start a daemon may know fewer servers
	// than the others. During that time it delays its claim to the scope by
	// startupClaimDelay if an older daemon exists.
	startupPeriod     = 5 * time.Second
	startupClaimDelay = time.Second
	// scopeTTL is the time from the holder's last renewal until its lease
	// expires, and scopeRenewalInterval the time between renewals, of which three
	// fit into a TTL. The target for a takeover is 2 s.
	scopeTTL             = 1200 * time.Millisecond
	scopeRenewalInterval = 400 * time.Millisecond
	// maxHoldInOutage is how long a lease holder continues during a confirmed
	// store outage, in which no other daemon can claim the scope. It is much
	// longer than the store outages in the operators' days of operation.
	maxHoldInOutage = 30 * time.Second
	// storeCheckTimeout bounds the probe of the store after a peer reported it
	// as unavailable; it is many times the usual response time.
	// storeCheckInterval is the time between two probes.
	storeCheckTimeout  = 300 * time.Millisecond
	storeCheckInterval = scopeRenewalInterval
	// storeCheckValidity is how long a successful probe remains valid while the
	// store is unavailable to others.
	storeCheckValidity = 2 * time.Second
	// outageEndGrace is the time that a holder has to renew its lease once the
	// store recovers. It is shorter than the time that a new holder waits before
	// it acts.
	outageEndGrace = 400 * time.Millisecond
	// takeoverSettle, with the margin at the end of a lease, covers the duration
	// of an order that the previous holder sent at the end of its lease.
	takeoverSettle = 500 * time.Millisecond
	// rejoinTime is how long an engine takes to join a group of its last model,
	// according to the protocol's specification.
	rejoinTime = 200 * time.Millisecond
	// loadRateFraction and burstSeconds keep the loads in any five seconds below
	// the limit of the weight store: 5 x 0.84 + 1.2 is below the allowed 5.5.
	loadRateFraction = 0.84
	burstSeconds     = 1.2
	// reservedLoads is the number of concurrent loads, of those that the weight
	// store serves at full speed, that are reserved for engines without a model.
	reservedLoads = 2
	// brokenSettle is how long a group with requests in flight and a member that
	// does not answer is left as it is. A sound engine may be silent for a second or
	// so, after which its requests go on; they end if a member leaves.
	brokenSettle = 3 * time.Second
	// idlePeriod is how long after the first start loads may exceed the weight
	// store's rate limit. It is bounded because other daemons may receive
	// requests before this one does. According to the logs of both sites, the
	// first request arrives 10 s after the start; no document specifies this.
	idlePeriod = 9 * time.Second
	// defaultLoadLimit applies to limits that the document does not state.
	defaultLoadLimit = 2
	// retryBackoff is the delay before another attempt. It is short, because the
	// next attempt goes to another group.
	retryBackoff = time.Millisecond
	// groupLimitFactor is the maximum number of requests at a group, as a
	// multiple of those that it can run concurrently. Requests queued in an
	// engine start without a gap; a longer queue would make them late.
	groupLimitFactor = 1.12
)

// reservePolicy bears the loss of two engines of a group every three seconds, which
// happens on ordinary days, until others have loaded a model.
var reservePolicy = placement.ReservePolicy{LossesPerSecond: 2.0 / 3, MaxShare: 0.18}

// planningPolicy is the placement policy for groups that form within one or two
// seconds from engines that can load the model locally.
var planningPolicy = placement.Policy{
	BrokenSettle:        brokenSettle,
	UnknownMemberSettle: returnGrace,
	LocalModelsOnly:     true,
	DrainSettle:         time.Second,
	DrainBound:          10 * time.Second,
	FlapWindow:          20 * time.Second,
	MaxLoads:            64,
	StoreRate:           64,
	Spread:              true,
	Hysteresis:          1.2,
}

// groupLimit returns the maximum number of in-flight requests of a group.
func groupLimit(c *routing.Candidate) uint32 {
	return uint32(groupLimitFactor * float64(c.MaxRunning))
}
