package journal

import (
	"github.com/charmbracelet/log"

	"carawayproxy.example/caraway/internal/event"
)

// Events of the package.
var (
	eventStarted = event.Define(1100, "journal.started", log.InfoLevel,
		"The daemon has a state of the stream and follows the log from there.", "Nothing.")
	eventLogDown = event.Define(1101, "journal.log-down", log.WarnLevel,
		"The platform's log does not respond for this stream, or has lost records; peers are polled instead.",
		"Check the platform's log service and the network to it. If the log was replaced by an empty one, restart the daemons and publish again.")
	eventLogUp = event.Define(1102, "journal.log-up", log.InfoLevel,
		"The platform's log responds again for this stream.", "Nothing.")
	eventStopped = event.Define(1103, "journal.stopped", log.ErrorLevel,
		"A record cannot be interpreted, so the daemon stops following this stream.",
		"Upgrade the daemon to the version that wrote the record.")
	eventMalformed = event.Define(1104, "journal.malformed", log.WarnLevel,
		"A payload in the log is not a record. Every daemon skips it.",
		"Find out which other program writes to the stream.")
	eventDuplicate = event.Define(1105, "journal.repeat", log.InfoLevel,
		"A record is in the log twice; the duplicate does not count.", "Nothing.")
	eventStale = event.Define(1106, "journal.stale", log.WarnLevel,
		"A record reached the log too many records after it was proposed and does not count.",
		"Check for long delays between the daemon and the log.")
	eventGap = event.Define(1107, "journal.gap", log.WarnLevel,
		"Records that the daemon has not read yet have expired; it needs a snapshot.", "Nothing if journal.adopted follows.")
	eventAdopted = event.Define(1108, "journal.adopted", log.InfoLevel,
		"The state of the stream was adopted from a snapshot or a peer.", "Nothing.")
	eventNoSnapshot = event.Define(1109, "journal.no-snapshot", log.ErrorLevel,
		"Required records have expired and the log has no usable snapshot; peers are asked for the state.",
		"Keep the daemon running: it adopts the state as soon as a peer has it. If all daemons are new, publish the configuration to a new log.")
	eventBadSnapshot = event.Define(1110, "journal.bad-snapshot", log.WarnLevel,
		"A snapshot is corrupt or of an unknown format; an older one is tried.",
		"Check that all daemons run the same version.")
	eventSnapshot = event.Define(1111, "journal.snapshot", log.InfoLevel,
		"A snapshot of the stream was written to the log.", "Nothing.")
	eventSnapshotFailed = event.Define(1112, "journal.snapshot-failed", log.WarnLevel,
		"A snapshot could not be written; the daemon retries.",
		"If the failure lasts for a large part of the log's retention, check the log service.")
	eventAppendUnknown = event.Define(1113, "journal.append-unknown", log.WarnLevel,
		"An append got no response; the log is read to find out whether the records were appended.", "Nothing.")
)
