package ledger

import (
	"github.com/charmbracelet/log"

	"carawayproxy.example/caraway/internal/event"
)

var (
	eventIntentUnknown = event.Define(1500, "ledger.intent-unknown", log.WarnLevel,
		"The append of an intent got no response; the request was rejected as not run and the intent is being abandoned.",
		"Check the log service if it repeats.")
	eventRecordQueued = event.Define(1501, "ledger.record-queued", log.WarnLevel,
		"An outcome or abandonment could not be recorded yet and is kept in memory.",
		"Check the log service; do not kill the daemon before ledger.pending is zero.")
	eventRecordWritten = event.Define(1502, "ledger.record-written", log.InfoLevel,
		"A queued outcome or abandonment was recorded.",
		"None.")
	eventRecordRejected = event.Define(1503, "ledger.record-rejected", log.WarnLevel,
		"A queued outcome or abandonment was rejected, for example because its key has expired.",
		"None, unless the log was down for longer than the key window.")
	eventReplayed = event.Define(1504, "ledger.replayed", log.InfoLevel,
		"A request whose key was used before got the recorded answer.",
		"None.")
	eventUncertain = event.Define(1505, "ledger.uncertain", log.WarnLevel,
		"A request with this key may have run and its outcome is unknown.",
		"Check at the backend server, by the request's key, whether the request took effect.")
)
