package edge

import (
	"time"

	"carawayproxy.example/caraway/internal/placement"
	"carawayproxy.example/caraway/internal/routing"
)

const (
	// returnGrace is how long after the store's return a server that is not
	// listed may still come back, by the operators' word.
	returnGrace = 2 * time.Second
	// youngFor is how long after its start a daemon may know less of the servers
	// than others, and youngDelay what it lets them go ahead by in claiming the
	// scope.
	youngFor   = 5 * time.Second
	youngDelay = time.Second
	// scopeTTL is how long a scope outlasts its holder's last renewal, and
	// scopeRenewal the time between renewals: three fit into a TTL. Two
	// seconds for a takeover are the target.
	scopeTTL     = 1200 * time.Millisecond
	scopeRenewal = 400 * time.Millisecond
	// maxVouched is how long a holder that nobody can replace goes on without
	// the store, well beyond the outages of the operators' days.
	maxVouched = 30 * time.Second
	// storeCheck is how long the store may take to answer a daemon that is asked
	// whether it is away for it too, many times its usual answer, and
	// storeCheckEvery the time between two such questions.
	storeCheck      = 300 * time.Millisecond
	storeCheckEvery = scopeRenewal
	// storeChecked is how long an answer counts that the store gave here while it
	// turns others away.
	storeChecked = 2 * time.Second
	// vouchGrace is the time that a holder has to renew once the store is back:
	// less than a new holder waits before it acts.
	vouchGrace = 400 * time.Millisecond
	// takeoverSettle covers, with the margin at the end of a hold, the time of
	// an order that the last holder sent at its end.
	takeoverSettle = 500 * time.Millisecond
	// rejoinTime is how long an engine takes to join a group of its last model,
	// by the protocol's page.
	rejoinTime = 200 * time.Millisecond
	// loadPart and burstSeconds keep the loads of any five seconds below the
	// weight store's rate: 5 x 0.84 + 1.2 is under the 5.5 that it allows.
	loadPart     = 0.84
	burstSeconds = 1.2
	// keptLoads is how many of the loads that the weight store serves at full
	// speed are kept for engines that have no model yet.
	keptLoads = 2
	// idleFor is how long after the first start loads may be begun without
	// regard to the weight store's rate, since other daemons may have requests
	// before this one. Days of both sites have their first request ten seconds
	// after the start, as seen in logs; no page states it.
	idleFor = 9 * time.Second
	// unknownLoads stands in for limits that the document does not state.
	unknownLoads = 2
	// retryBackoff is the pause before another attempt: the next one goes to
	// another group, so that there is nothing to wait for.
	retryBackoff = time.Millisecond
	// reservePart of the engines is kept free to repair groups with.
	reservePart = 0.18
	// fullGroup is how many requests a group may have, as a multiple of those
	// that it can run at once. What waits in an engine is started without a
	// pause; what waits longer is late.
	fullGroup = 1.12
)

// planningPolicy suits groups that form in a second or two from engines that
// have the model at hand.
var planningPolicy = placement.Policy{
	BrokenSettle: time.Millisecond,
	UnseenSettle: returnGrace,
	NearOnly:     true,
	DrainSettle:  time.Second,
	DrainBound:   10 * time.Second,
	FlapWindow:   20 * time.Second,
	MaxLoads:     64,
	StoreRate:    64,
	Spread:       true,
	Hysteresis:   1.2,
}

// limitOf is how many requests a group may have at once.
func limitOf(c *routing.Candidate) uint32 {
	return uint32(fullGroup * float64(c.MaxRunning))
}
