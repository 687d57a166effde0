package suspect

import (
	"github.com/charmbracelet/log"

	"carawayproxy.example/caraway/internal/event"
)

var (
	eventDeath = event.Define(1900, "suspect.group-death", log.WarnLevel,
		"A group died with requests of this daemon in flight.",
		"See the group's events for the cause; the requests are being watched.")
	eventConvicted = event.Define(1901, "suspect.convicted", log.WarnLevel,
		"A request that was in flight at several groups' deaths is refused from now on.",
		"Find the caller by the fingerprint in dispatch.refused-suspect; clear the verdict if the request is harmless.")
	eventNotRecorded = event.Define(1902, "suspect.not-recorded", log.WarnLevel,
		"A verdict could not be recorded; daemons go on by the sightings they share.",
		"Check the log service if it repeats.")
	eventCleared = event.Define(1903, "suspect.cleared", log.InfoLevel,
		"A verdict was lifted on request.",
		"None.")
)
