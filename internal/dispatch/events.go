package dispatch

import (
	"github.com/charmbracelet/log"

	"carawayproxy.example/caraway/internal/event"
)

var (
	eventRouted = event.Define(1600, "dispatch.routed", log.InfoLevel,
		"An attempt was routed to a group, or no group was available for it.",
		"None; see the reason and the cost if the choice of group was unexpected.")
	eventCandidates = event.Define(1601, "dispatch.candidates", log.DebugLevel,
		"The candidates that a routing decision did not choose, with their costs or the filter that rejected them.",
		"None.")
	eventAttemptFailed = event.Define(1602, "dispatch.attempt-failed", log.WarnLevel,
		"An attempt ended without a complete answer. The event says what ended it, the attempt's age, how long its server had been silent, the events received, and its number among those allowed.",
		"See the cause; inspect the group or instance if it repeats there.")
	eventCrossed = event.Define(1603, "dispatch.crossed-answer", log.ErrorLevel,
		"A backend server answered with the ids of another request; the answer was discarded.",
		"Report it to the owner of the backend server.")
	eventRefused = event.Define(1604, "dispatch.refused", log.InfoLevel,
		"A request failed; the event carries the final reason and the run state.",
		"See the reason.")
	eventUncertain = event.Define(1605, "dispatch.uncertain", log.WarnLevel,
		"A non-idempotent call was sent and no reliable answer was received.",
		"Check by the request id at the backend server whether the call took effect.")
	eventLateOutcome = event.Define(1606, "dispatch.late-outcome", log.InfoLevel,
		"The outcome of a non-idempotent call was received after its caller had been answered, and was recorded.",
		"None.")
	eventDraining = event.Define(1607, "dispatch.draining", log.InfoLevel,
		"The daemon rejects new requests; requests in flight continue.",
		"None.")
	eventSuspectRefused = event.Define(1608, "dispatch.refused-suspect", log.WarnLevel,
		"A request was refused because it resembles requests that crash backend servers.",
		"Identify the caller; clear the verdict by its fingerprint if the request is harmless.")
	eventBadRate = event.Define(1610, "dispatch.bad-rate", log.WarnLevel,
		"A backend server's answer announces a request rate that is no number; the answer is passed on and the last known rate stays in force.",
		"Report the error to the owner of the backend server.")
	eventBadAnnouncement = event.Define(1614, "dispatch.bad-announcement", log.WarnLevel,
		"A backend server's answer announces something of its own state in an invalid form; the answer is passed on, and the announcement is ignored or bounded.",
		"Report the error to the owner of the backend server.")
	eventRelayed = event.Define(1611, "dispatch.relayed", log.InfoLevel,
		"An attempt is sent on a connection that leads through another daemon.",
		"See reach.links-lost at this daemon, and the lines of the daemon named by via.")
	eventFailover = event.Define(1612, "dispatch.failover", log.InfoLevel,
		"An attempt's server is silent and the attempt is doubted; another attempt is planned beside it. The first one that sends something new answers the request.",
		"None; see the doubt. If servers often turn out sound, see dispatch.failovers_needless and datastore.stalls_ended.")
	eventSuperseded = event.Define(1613, "dispatch.superseded", log.InfoLevel,
		"An attempt was ended because another attempt of its request sent something new first.",
		"None.")
	eventDecisionAwaited = event.Define(1609, "dispatch.decision-awaited", log.InfoLevel,
		"An attempt waits for the decision on recent deaths of groups, which may convict the request or a part of its prompt.",
		"None.")
)
