package lease

import (
	"github.com/charmbracelet/log"

	"carawayproxy.example/caraway/internal/event"
)

// Events of the package.
var (
	eventClaimed = event.Define(1300, "lease.claimed", log.InfoLevel,
		"The daemon holds a scope of the control work under a new term.", "Nothing.")
	eventLapsed = event.Define(1301, "lease.lapsed", log.WarnLevel,
		"The daemon's hold on a scope ran out before a renewal counted.",
		"Look for an outage of the log, a pause of the daemon, or another holder.")
	eventExpired = event.Define(1302, "lease.expired", log.InfoLevel,
		"A holder stopped renewing a scope; the daemon claims it.", "Check the holder if it was not stopped on purpose.")
	eventReleased = event.Define(1303, "lease.released", log.InfoLevel,
		"The daemon gave up scopes, for a planned stop or to spread the work.", "Nothing.")
)

var (
	eventShareTaken = event.Define(1306, "lease.share-taken", log.InfoLevel,
		"This daemon has claimed a scope of control work and acts for it under the term given.", "None.")
	eventShareLost = event.Define(1307, "lease.share-lost", log.InfoLevel,
		"Another daemon has claimed a scope of control work that this one held.", "None.")
	eventShareFailed = event.Define(1308, "lease.share-failed", log.WarnLevel,
		"The store did not renew this daemon's hold on a scope of control work; it ends by itself.", "See whether the store answers.")
)
