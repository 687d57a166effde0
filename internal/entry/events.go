package entry

import (
	"github.com/charmbracelet/log"

	"carawayproxy.example/caraway/internal/event"
)

var (
	eventRefused = event.Define(1700, "entry.refused", log.InfoLevel,
		"A request was refused before it was passed on: its route, key, size or form is at fault, or no routing document is there yet.",
		"See the reason; tell the caller when it is the request's fault.")
	eventAccepted = event.Define(1701, "entry.accepted", log.InfoLevel,
		"A request was read and matched to a route of the named version of the routing document.", "None.")
	eventAnswered = event.Define(1702, "entry.answered", log.InfoLevel,
		"A request got its final answer, or lost its caller; late means later than its route's targets.",
		"For one that was not served see the lines before it with the same request.")
	eventWriteDeadlineFailed = event.Define(1703, "entry.no-write-deadline", log.WarnLevel,
		"The time in which a caller must take its answer could not be bounded.", "Report it with the error.")
)
