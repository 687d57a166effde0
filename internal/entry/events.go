package entry

import (
	"github.com/charmbracelet/log"

	"carawayproxy.example/caraway/internal/event"
)

var (
	eventRefused = event.Define(1700, "entry.refused", log.InfoLevel,
		"A request was rejected before it was forwarded: its route, key, size or format is invalid, or the daemon has no routing document yet.",
		"See the reason; inform the caller if the request is invalid.")
	eventAccepted = event.Define(1701, "entry.accepted", log.InfoLevel,
		"A request was parsed and matched to a route of the given version of the routing document.", "None.")
	eventAnswered = event.Define(1702, "entry.answered", log.InfoLevel,
		"A request got its final answer, or its caller disconnected; late means later than its route's targets. The event names the version of the routing document that the request was accepted under and the one in force at its end. If it was late or its time ran out, it also has the times from the request's head to the steps that it reached first: read, admitted, chosen, connected, written.",
		"If it was not served, see the earlier events of the same request; if it was late, see \"Late before its first backend server\" in OPERATIONS.md.")
	eventWriteDeadlineFailed = event.Define(1703, "entry.no-write-deadline", log.WarnLevel,
		"The write deadline of a caller's connection could not be set.", "Report it with the error.")
	eventLimitMet = event.Define(1710, "entry.limit-met", log.WarnLevel,
		"A client met a limit: its body is larger than the routing document allows, or there is no memory for it beside the others; the request was not run and the connection is closed. Each client and limit is logged once a minute, at most 64 of them; unlogged counts the ones since the last line.",
		"See \"Under attack\" in OPERATIONS.md.")
)
