package placement

import (
	"github.com/charmbracelet/log"

	"carawayproxy.example/caraway/internal/event"
)

var (
	eventDecision = event.Define(1400, "placement.decision", log.InfoLevel,
		"A placement decision was made for a group; it says why and at what expected cost.",
		"Nothing; it explains what follows.")
	eventAlternatives = event.Define(1401, "placement.alternatives", log.DebugLevel,
		"The ways that a placement decision did not take, with their expected costs.",
		"Nothing.")
	eventRejected = event.Define(1402, "placement.rejected", log.WarnLevel,
		"A record about a group is in the log and does not count.",
		"Nothing if it is rare: another holder was first. Else compare the daemons' views of the lease.")
	eventUnknown = event.Define(1403, "placement.unknown", log.WarnLevel,
		"The fate of a record about a group is not known; the next round plans on what the log shows.",
		"Check the log service.")
	eventNotAppended = event.Define(1404, "placement.not-appended", log.WarnLevel,
		"A record about a group could not be appended.",
		"Check the log service.")
	eventOrderRefused = event.Define(1405, "placement.order-refused", log.WarnLevel,
		"An engine refused an order.",
		"Nothing if a newer term holds the scope. Else look at the engine's reason.")
	eventOrderFailed = event.Define(1406, "placement.order-failed", log.WarnLevel,
		"An order to an engine got no answer; it is repeated.",
		"Check the instance if it goes on.")
	eventOrderDropped = event.Define(1407, "placement.order-dropped", log.WarnLevel,
		"An order was not written because the lease had lapsed.",
		"Nothing; the new holder of the scope takes over.")
	eventRolloutHalted = event.Define(1408, "placement.rollout-halted", log.ErrorLevel,
		"A rollout stopped because groups of the new version fail to load; the old groups serve on.",
		"Look at the engines' logs, then publish a version that loads, or the previous one.")
	eventScopeTaken = event.Define(1409, "placement.scope-taken", log.InfoLevel,
		"This daemon plans for a scope under a new term.",
		"Nothing.")
	eventScopeLeft = event.Define(1410, "placement.scope-left", log.InfoLevel,
		"This daemon no longer plans for a scope.",
		"Nothing.")
	eventGroupWhole = event.Define(1411, "placement.group-whole", log.InfoLevel,
		"All instances of a group are present and ready.",
		"Nothing.")
	eventGroupBroken = event.Define(1412, "placement.group-broken", log.WarnLevel,
		"A group that could serve can't any more; it says what is missing.",
		"Look at the instance that is named if it stays away.")
	eventPlaceRestored = event.Define(1413, "placement.place-given-back", log.InfoLevel,
		"The log is down and the holder of the scope is gone; a member that returned without a place is ordered into its recorded one.",
		"Nothing; the next holder takes over when the log is back.")
)

// Events of a Conductor.
var (
	eventAdopted = event.Define(1420, "placement.adopted", log.InfoLevel,
		"A new holder of a scope took over the groups that the engines tell of.", "None.")
	eventOrdered = event.Define(1421, "placement.ordered", log.InfoLevel,
		"An engine was given an order about its place in a group, with its answer.", "See the outcome when a group does not become whole.")
	eventEngineDown = event.Define(1422, "placement.engine-down", log.WarnLevel,
		"An engine did not answer and counts as down until it announces itself or answers again.", "See whether the instance is there and reachable.")
)
