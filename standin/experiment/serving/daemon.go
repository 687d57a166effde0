package serving

import (
	"math/rand/v2"
	"time"

	"carawayproxy.example/caraway/internal/admission"
	"carawayproxy.example/caraway/internal/fleet"
	"carawayproxy.example/caraway/internal/routing"
)

// How daemons learn of load.
const (
	reportPeriod    = 250 * time.Millisecond
	reportLagLeast  = 250 * time.Millisecond
	reportLagSpan   = 750 * time.Millisecond
	heartbeatPeriod = 500 * time.Millisecond
	keepDispatches  = 3 * time.Second
)

// report is the load of a group as a daemon last heard of it.
type report struct {
	at              time.Duration
	running, queued uint32
	pendingTokens   uint64
	rate            float64
}

// dispatch is one attempt that a daemon sent.
type dispatch struct {
	at     time.Duration
	tokens uint64
}

// groupView is what one daemon knows of one group.
type groupView struct {
	engine *engine
	report report
	own    uint32
	peers  uint32
	recent []dispatch
	down   bool // known to be dark
}

// daemon is one daemon's routing and admission.
type daemon struct {
	zone      fleet.Zone
	policy    routing.Policy
	admission *admission.Controller
	budget    *admission.RetryBudget
	rng       *rand.Rand
	groups    []*groupView

	candidates []routing.Candidate
}

// snapshot returns the candidates as the daemon sees them.
func (d *daemon) snapshot(now time.Duration) []routing.Candidate {
	d.candidates = d.candidates[:0]
	for _, g := range d.groups {
		d.candidates = append(d.candidates, g.candidate(now))
	}
	return d.candidates
}

// candidate returns the group as routing takes it.
func (g *groupView) candidate(now time.Duration) routing.Candidate {
	c := routing.Candidate{
		Group: g.engine.group, Service: serviceName, Zone: g.engine.zone, Fabric: g.engine.fabric,
		Whole: !g.down, WholeReason: "no fresh report",
		Running: g.report.running, Queued: g.report.queued, MaxRunning: maxRunning,
		PendingTokens: g.report.pendingTokens, TokensPerSecond: g.report.rate,
		ReportAge: now - g.report.at, OwnInFlight: g.own, PeerInFlight: g.peers,
	}
	g.recent = without(g.recent, func(s dispatch) bool { return now-s.at > keepDispatches })
	for _, s := range g.recent {
		if s.at >= g.report.at {
			c.SinceReport++
			c.OwnWaitTokens += s.tokens
		}
	}
	return c
}

// started counts an attempt.
func (g *groupView) started(now time.Duration) {
	g.own++
	g.recent = append(g.recent, dispatch{at: now, tokens: meanOutput})
}

// take replaces the report by a later one.
func (g *groupView) take(r report) {
	if r.at >= g.report.at {
		g.report = r
	}
}
