package suspect

import (
	"github.com/charmbracelet/log"

	"carawayproxy.example/caraway/internal/event"
)

var (
	eventDeath = event.Define(1900, "suspect.group-death", log.WarnLevel,
		"A group or a single backend server failed while it ran requests of this daemon.",
		"Check the events of the group for the cause. The requests are now tracked as suspects.")
	eventConvicted = event.Define(1901, "suspect.convicted", log.WarnLevel,
		"A request, or a part of a prompt, was in flight at the failures of several groups or backend servers; it, or each request with that part, is rejected from now on.",
		"Find the caller by the fingerprint in dispatch.refused-suspect; clear the verdict if the request is harmless.")
	eventNotRecorded = event.Define(1902, "suspect.not-recorded", log.WarnLevel,
		"A verdict could not be recorded on the platform; daemons rely on the sightings they exchange.",
		"Check the log service or the store if it repeats.")
	eventLifted = event.Define(1904, "suspect.lifted", log.InfoLevel,
		"A verdict ended early: it rested on evidence that did not tell several requests or parts of prompts apart, and a run has survived since.",
		"None.")
	eventCleared = event.Define(1903, "suspect.cleared", log.InfoLevel,
		"A verdict was cleared on an operator's request.",
		"None.")
)
