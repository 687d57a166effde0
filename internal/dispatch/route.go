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

// choice is a routing decision with the id of the attempt that it is for.
type choice struct {
	routing.Decision
	attempt fleet.AttemptID
}

// decide takes the choice that was made ahead, or routes.
func (a *attempts) decide() choice {
	if a.next == nil {
		return a.routeNow()
	}
	ahead := *a.next
	a.next = nil
	return ahead
}

// routeNow asks the router and writes the decision to the log.
func (a *attempts) routeNow() choice {
	id := fleet.AttemptID(uuid.NewString())
	req := a.route
	req.Tried = a.d.solo.exclude(req.Tried)
	dec := a.d.cfg.Router.Route(req)
	if dec.Chosen != nil && slices.Contains(req.Tried, dec.Chosen.Group) {
		dec.Chosen = nil
	}
	a.logDecision(dec, id)
	return choice{Decision: dec, attempt: id}
}

func (a *attempts) logDecision(dec routing.Decision, id fleet.AttemptID) {
	var c routing.Candidate
	if dec.Chosen != nil {
		c = *dec.Chosen
	}
	events := a.d.cfg.Events
	events.Emit(eventRouted, "request", a.id, "attempt", id, "service", a.spec.Service, "group", c.Group,
		"reason", decisionReason(dec, a.made), "cost", dec.Cost, "wait", dec.Wait, "others", len(dec.Others), "rejected", len(dec.Rejected),
		"instance", c.Leader, "epoch", c.Epoch, "own", c.OwnInFlight, "peers", c.PeerInFlight, "limit", c.Limit, "report_age", c.ReportAge.Round(time.Millisecond))
	if events.Enabled(log.DebugLevel) {
		events.Emit(eventCandidates, "request", a.id, "attempt", id, "losers", losers(dec))
	}
}

func decisionReason(dec routing.Decision, made int) string {
	switch {
	case dec.Chosen == nil && len(dec.Rejected) == 0:
		return "no group of the service"
	case dec.Chosen == nil:
		return "every group was dropped, the first by " + dec.Rejected[0].Filter
	case made > 0:
		return "another attempt"
	case len(dec.Others) == 0:
		return "only candidate"
	default:
		return "lowest cost of the pick"
	}
}

func losers(dec routing.Decision) string {
	var b strings.Builder
	for _, s := range dec.Others {
		fmt.Fprintf(&b, "%s=%.3f ", s.Candidate.Group, s.Cost)
	}
	for _, r := range dec.Rejected {
		fmt.Fprintf(&b, "%s:%s(%s) ", r.Group, r.Filter, r.Reason)
	}
	return strings.TrimSpace(b.String())
}
