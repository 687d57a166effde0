package placement

import (
	"github.com/charmbracelet/log"

	"carawayproxy.example/caraway/internal/event"
)

var (
	eventDecision = event.Define(1400, "placement.decision", log.InfoLevel,
		"A placement decision was made for a group; the fields give its reason and expected cost.",
		"Nothing; it explains the actions that follow.")
	eventAlternatives = event.Define(1401, "placement.alternatives", log.DebugLevel,
		"An alternative that a placement decision rejected, with its expected cost.",
		"Nothing.")
	eventRejected = event.Define(1402, "placement.rejected", log.WarnLevel,
		"A record about a group was appended to the log but rejected when it was applied.",
		"Nothing if it is rare: another lease holder's record came first. Otherwise compare the daemons' views of the lease.")
	eventUnknown = event.Define(1403, "placement.unknown", log.WarnLevel,
		"It is unknown whether a record about a group was appended; the next round plans from the state of the log.",
		"Check the log service.")
	eventNotAppended = event.Define(1404, "placement.not-appended", log.WarnLevel,
		"A record about a group could not be appended.",
		"Check the log service.")
	eventOrderRefused = event.Define(1405, "placement.order-refused", log.WarnLevel,
		"An engine rejected an order.",
		"Nothing if a newer term holds the scope. Otherwise check the engine's reason.")
	eventOrderFailed = event.Define(1406, "placement.order-failed", log.WarnLevel,
		"An order to an engine failed without an answer; it is retried.",
		"Check the instance if this continues.")
	eventOrderDropped = event.Define(1407, "placement.order-dropped", log.WarnLevel,
		"An order was not sent because the lease had expired.",
		"Nothing; the new holder of the scope takes over.")
	eventRolloutHalted = event.Define(1408, "placement.rollout-halted", log.ErrorLevel,
		"A rollout was halted because groups of the new version fail to load; the old groups keep serving.",
		"Check the engines' logs, then publish a version that loads, or the previous one.")
	eventScopeTaken = event.Define(1409, "placement.scope-taken", log.InfoLevel,
		"This daemon started planning for a scope under a new term.",
		"Nothing.")
	eventScopeLeft = event.Define(1410, "placement.scope-left", log.InfoLevel,
		"This daemon stopped planning for a scope.",
		"Nothing.")
	eventGroupWhole = event.Define(1411, "placement.group-whole", log.InfoLevel,
		"All instances of a group are present and ready.",
		"Nothing.")
	eventGroupBroken = event.Define(1412, "placement.group-broken", log.WarnLevel,
		"A group that was able to serve no longer is; the reason field says what is missing.",
		"Check the named instance if it does not return.")
	eventPlaceRestored = event.Define(1413, "placement.place-given-back", log.InfoLevel,
		"The log is down and the scope's holder is unavailable; a member that returned without a place was ordered back into its recorded one.",
		"Nothing; the next holder takes over when the log is available again.")
)

// Events of the GroupController.
var (
	eventAdopted = event.Define(1420, "placement.adopted", log.InfoLevel,
		"A new holder of a scope took over the groups that the engines report. The unconfirmed field counts the engines that have not confirmed their places; they get no orders until they do.", "None.")
	eventOrdered = event.Define(1421, "placement.ordered", log.InfoLevel,
		"An order about an engine's place in a group was sent; the outcome field gives the engine's answer.", "Check the outcome if a group does not become whole.")
	eventEngineDown = event.Define(1422, "placement.engine-down", log.WarnLevel,
		"An engine did not answer its probes and is treated as down until it reports or answers again.", "Check whether the instance is running and reachable.")
	eventEngineBack = event.Define(1423, "placement.engine-back", log.InfoLevel,
		"An engine that was treated as down answered a probe. If it was down for a moment and has not restarted, the probes rather than the engine were slow.",
		"None, unless many engines are down for a moment at the same time; then check the processor time of the holder.")
	eventSplit = event.Define(1424, "placement.split", log.InfoLevel,
		"The number of groups that a service should have has changed; the work field is the mean number of groups that its requests keep busy or, until it is measured, proportional to it.",
		"None.")
	eventIdle = event.Define(1425, "placement.idle", log.InfoLevel,
		"For how long engines have served nobody since the last such line, in engine-seconds by cause: down, without a model, in a group that lacks a member, in a group that is not ready, spare.",
		"None. If broken and forming grow, engines are lost faster than groups are repaired; check why they are lost.")
)
