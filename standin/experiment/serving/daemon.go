package serving

import (
	"math/rand/v2"
	"time"

	"carawayproxy.example/caraway/internal/admission"
	"carawayproxy.example/caraway/internal/fleet"
	"carawayproxy.example/caraway/internal/routing"
)

// Periods and delays of the load information of the daemons.
const (
	reportPeriod      = 250 * time.Millisecond
	minReportLag      = 250 * time.Millisecond
	reportLagSpan     = 750 * time.Millisecond
	heartbeatPeriod   = 500 * time.Millisecond
	dispatchRetention = 3 * time.Second
)

// report is the last load of a group that a daemon received.
type report struct {
	at              time.Duration
	running, queued uint32
	pendingTokens   uint64
	rate            float64
}

// dispatch is one attempt sent by a daemon.
type dispatch struct {
	at     time.Duration
	tokens uint64
}

// groupView is one daemon's view of a group.
type groupView struct {
	engine *engine
	report report
	own    uint32
	peers  uint32
	recent []dispatch
	down   bool // the daemon has detected that the group is down
}

// daemon holds the routing and admission of one daemon.
type daemon struct {
	zone      fleet.Zone
	policy    routing.Policy
	admission *admission.Controller
	budget    *admission.RetryBudget
	rng       *rand.Rand
	groups    []*groupView

	candidates []routing.Candidate
}

// snapshot returns the routing candidates as the daemon sees them.
func (d *daemon) snapshot(now time.Duration) []routing.Candidate {
	d.candidates = d.candidates[:0]
	for _, g := range d.groups {
		d.candidates = append(d.candidates, g.candidate(now))
	}
	return d.candidates
}

// candidate returns the group as a routing candidate.
func (g *groupView) candidate(now time.Duration) routing.Candidate {
	c := routing.Candidate{
		Group: g.engine.group, Service: serviceName, Zone: g.engine.zone, Fabric: g.engine.fabric,
		Whole: !g.down, WholeReason: "no fresh report",
		Running: g.report.running, Queued: g.report.queued, MaxRunning: maxRunning,
		PendingTokens: g.report.pendingTokens, TokensPerSecond: g.report.rate,
		ReportAge: now - g.report.at, OwnInFlight: g.own, PeerInFlight: g.peers,
	}
	g.recent = removeIf(g.recent, func(s dispatch) bool { return now-s.at > dispatchRetention })
	for _, s := range g.recent {
		if s.at >= g.report.at {
			c.UnreportedDispatches++
			c.UnreportedTokens += s.tokens
		}
	}
	return c
}

// recordDispatch counts an attempt sent to the group.
func (g *groupView) recordDispatch(now time.Duration) {
	g.own++
	g.recent = append(g.recent, dispatch{at: now, tokens: meanOutput})
}

// updateReport replaces the report unless r is older.
func (g *groupView) updateReport(r report) {
	if r.at >= g.report.at {
		g.report = r
	}
}
