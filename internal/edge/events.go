package edge

import (
	"github.com/charmbracelet/log"

	"carawayproxy.example/caraway/internal/event"
)

var (
	eventStarted = event.Define(1801, "edge.started", log.InfoLevel,
		"The daemon listens and reads the routing document and the list of backend servers.", "Nothing; it turns ready by itself.")
	eventStopped = event.Define(1802, "edge.stopped", log.InfoLevel,
		"The daemon has ended.", "Nothing after a planned stop.")
	eventDraining = event.Define(1803, "edge.draining", log.InfoLevel,
		"A planned stop has begun.", "Wait for edge.stopped before the instance is taken away.")
	eventDrained = event.Define(1804, "edge.drained", log.InfoLevel,
		"No request is in flight.", "Nothing.")
	eventDrainCut = event.Define(1805, "edge.drain-timeout", log.ErrorLevel,
		"The planned stop took longer than drain-timeout and ended with requests in flight.", "Raise drain-timeout above the longest deadline.")
	eventServeFailed = event.Define(1806, "edge.serve-failed", log.ErrorLevel,
		"A listener ended with an error.", "Restart the daemon; look for the address being in use.")
	eventDocument = event.Define(1807, "edge.document", log.InfoLevel,
		"A newer routing document is in force here.", "Nothing.")
	eventBadRecord = event.Define(1808, "edge.bad-record", log.WarnLevel,
		"A record of the store can't be read and was passed over; the error names its field.", "Tell the record's writer.")
	eventReadFailed = event.Define(1809, "edge.store-failed", log.WarnLevel,
		"The store did not answer a call; what was known stands.", "See whether the store answers.")
	eventListBack = event.Define(1810, "edge.list-back", log.InfoLevel,
		"The list of backend servers can be read again.", "Nothing.")
	eventUnlisted = event.Define(1811, "edge.unlisted", log.InfoLevel,
		"A backend server was taken off the list.", "Nothing unless it should be there.")
	eventAnnounceFailed = event.Define(1812, "edge.announce-failed", log.WarnLevel,
		"The daemon could not tell the others where it is; it tries again.", "See whether the store answers.")
	eventStalled = event.Define(1813, "edge.group-stalled", log.WarnLevel,
		"No stream of this daemon at a group moves; it is passed over and its members are asked.", "See placement.engine-down for the member at fault.")
	eventHangup = event.Define(1814, "edge.hangup", log.InfoLevel,
		"The daemon was told that its settings changed; it takes them at its next start.", "Restart the daemon for them to count.")
)
