package dispatch

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/charmbracelet/log"
	"github.com/google/uuid"

	"carawayproxy.example/caraway/internal/fleet"
	"carawayproxy.example/caraway/internal/routing"
)

// attemptDecision is a routing decision with the id of the attempt it is for.
type attemptDecision struct {
	routing.Decision
	attempt fleet.AttemptID
}

// takeDecision returns the decision made in advance, or routes now.
func (a *attempts) takeDecision() attemptDecision {
	if a.nextDecision == nil {
		return a.routeAnew()
	}
	next := *a.nextDecision
	a.nextDecision = nil
	return next
}

// routeAnew routes as routeNow does. Once no other group is left, the groups whose dials
// were given up may be chosen again, and are then waited for.
func (a *attempts) routeAnew() attemptDecision {
	dec := a.routeNow()
	if dec.Chosen != nil || len(a.givenUp) == 0 {
		return dec
	}
	a.route.FailedGroups = slices.DeleteFunc(slices.Clone(a.route.FailedGroups), func(g fleet.GroupID) bool { return slices.Contains(a.givenUp, g) })
	a.givenUp, a.givenUpCount = nil, maxGivenUp
	return a.routeNow()
}

// routeNow calls the router and logs its decision.
func (a *attempts) routeNow() attemptDecision {
	id := fleet.AttemptID(uuid.NewString())
	req := a.route
	req.FailedGroups = a.d.isolated.exclude(req.FailedGroups)
	dec := a.d.cfg.Router.Route(req)
	if dec.Chosen != nil && slices.Contains(req.FailedGroups, dec.Chosen.Group) {
		dec.Chosen = nil
	}
	a.logDecision(dec, id)
	return attemptDecision{Decision: dec, attempt: id}
}

func (a *attempts) logDecision(dec routing.Decision, id fleet.AttemptID) {
	var c routing.Candidate
	if dec.Chosen != nil {
		c = *dec.Chosen
	}
	events := a.d.cfg.Events
	events.Emit(eventRouted, "request", a.id, "attempt", id, "service", a.spec.Service, "group", c.Group,
		"reason", decisionReason(dec, a.sentCount), "cost", dec.Cost, "wait", dec.Wait, "others", len(dec.Others), "rejected", len(dec.Rejected),
		"instance", c.GroupLeader, "epoch", c.Epoch, "own", c.OwnInFlight, "peers", c.PeerInFlight, "limit", c.Limit, "report_age", c.ReportAge.Round(time.Millisecond))
	if events.Enabled(log.DebugLevel) {
		events.Emit(eventCandidates, "request", a.id, "attempt", id, "losers", formatAlternatives(dec))
	}
}

func decisionReason(dec routing.Decision, sent int) string {
	switch {
	case dec.Chosen == nil && len(dec.Rejected) == 0:
		return "no group of the service"
	case dec.Chosen == nil:
		return "every group was dropped, the first by " + dec.Rejected[0].Filter
	case sent > 0:
		return "another attempt"
	case len(dec.Others) == 0:
		return "only candidate"
	default:
		return "lowest cost of the pick"
	}
}

func formatAlternatives(dec routing.Decision) string {
	var b strings.Builder
	for _, s := range dec.Others {
		fmt.Fprintf(&b, "%s=%.3f ", s.Candidate.Group, s.Cost)
	}
	for _, r := range dec.Rejected {
		fmt.Fprintf(&b, "%s:%s(%s) ", r.Group, r.Filter, r.Reason)
	}
	return strings.TrimSpace(b.String())
}
