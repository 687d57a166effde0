package routing

import (
	"github.com/charmbracelet/log"

	"carawayproxy.example/caraway/internal/event"
	"carawayproxy.example/caraway/internal/fleet"
)

// Events of the package.
var (
	EventChosen = event.Define(1700, "routing.chosen", log.InfoLevel,
		"A group was chosen for an attempt; cost and wait are in seconds.",
		"None. Raise the level to debug to see the groups not chosen.")
	EventNoGroup = event.Define(1701, "routing.no_group", log.WarnLevel,
		"No group was left for an attempt; each reason is counted.",
		"Look at the reasons: groups that are not whole point to placement, limits to load.")
	EventOthers = event.Define(1702, "routing.others", log.DebugLevel,
		"The cheapest groups not chosen for an attempt and the groups dropped.",
		"None.")
)

// Emit writes a decision's log lines.
func (d Decision) Emit(l *event.Logger, request fleet.RequestID, attempt fleet.AttemptID) {
	if d.Chosen == nil {
		l.Emit(EventNoGroup, "request", request, "attempt", attempt, "reasons", d.reasons())
		return
	}
	l.Emit(EventChosen, "request", request, "attempt", attempt, "group", d.Chosen.Group,
		"cost", d.Cost, "wait", d.Wait.Seconds(), "dropped", len(d.Rejected))
	if !l.Enabled(log.DebugLevel) {
		return
	}
	keyvals := []any{"request", request, "attempt", attempt}
	for _, o := range d.Others {
		keyvals = append(keyvals, "group."+string(o.Candidate.Group), o.Cost)
	}
	l.Emit(EventOthers, append(keyvals, "reasons", d.reasons())...)
}

// reasons counts the dropped groups by filter and reason.
func (d Decision) reasons() map[string]int {
	counts := map[string]int{}
	for _, r := range d.Rejected {
		counts[r.Filter+": "+r.Reason]++
	}
	return counts
}
